use super::*;
use crate::node::fake_store::FakeStore;
use spindle_relay::pool::ConnectionPool;
use spindle_types::SystemClock;

struct Following {
    store: FakeStore,
    daemons: Arc<AtomicU32>,
}

/// Follows the registrations as one of some daemons.
fn follow(daemons: u32) -> Following {
    let (store, clock) = (FakeStore::default(), SystemClock::new());
    let board = Balancer::new("a".try_into().unwrap(), ConnectionPool::default());
    let daemons = Arc::new(AtomicU32::new(daemons));
    let follower = RegistrationFollower::new(store.clone(), clock, board, Arc::clone(&daemons));
    tokio::spawn(follower.run());
    Following { store, daemons }
}

/// The calls of one daemon in 60 s.
async fn calls(daemons: u32) -> u64 {
    let following = follow(daemons);
    tokio::time::sleep(Duration::from_secs(60)).await;
    following.store.calls.load(Ordering::Relaxed)
}

#[tokio::test(start_paused = true)]
async fn all_daemons_together_read_four_times_a_second_until_sixteen_of_them() {
    let mut together = Vec::new();
    for daemons in [1, 6, 8, 16] {
        together.push(u64::from(daemons) * calls(daemons).await / 60);
    }
    assert_eq!(together, [4, 4, 4, 4]);
    assert_eq!(calls(58).await, 15);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_hears_no_other_one_any_more_soon_reads_for_itself() {
    let following = follow(58);
    tokio::time::sleep(Duration::from_millis(100)).await;
    following.daemons.store(1, Ordering::Relaxed);
    let before = following.store.calls.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(following.store.calls.load(Ordering::Relaxed) > before);
}
