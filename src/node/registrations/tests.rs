use super::*;
use crate::node::fake_store::FakeStore;
use spindle_relay::pool::ConnectionPool;
use spindle_types::SystemClock;

struct TestFollower {
    store: FakeStore,
    daemon_count: Arc<AtomicU32>,
}

/// Starts a follower that is one of `daemon_count` daemons.
fn follow(daemon_count: u32) -> TestFollower {
    let (store, clock) = (FakeStore::default(), SystemClock::new());
    let balancer = Balancer::new("a".try_into().unwrap(), ConnectionPool::default());
    let daemon_count = Arc::new(AtomicU32::new(daemon_count));
    let follower =
        RegistrationFollower::new(store.clone(), clock, balancer, Arc::clone(&daemon_count));
    tokio::spawn(follower.run());
    TestFollower { store, daemon_count }
}

/// Counts the store calls of one daemon in 60 s.
async fn calls_per_minute(daemon_count: u32) -> u64 {
    let test = follow(daemon_count);
    tokio::time::sleep(Duration::from_secs(60)).await;
    test.store.calls.load(Ordering::Relaxed)
}

#[tokio::test(start_paused = true)]
async fn up_to_sixteen_daemons_together_read_four_times_a_second() {
    let mut total_reads_per_second = Vec::new();
    for daemon_count in [1, 6, 8, 16] {
        total_reads_per_second
            .push(u64::from(daemon_count) * calls_per_minute(daemon_count).await / 60);
    }
    assert_eq!(total_reads_per_second, [4, 4, 4, 4]);
    assert_eq!(calls_per_minute(58).await, 15);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_loses_contact_with_the_others_soon_reads_for_itself() {
    let test = follow(58);
    tokio::time::sleep(Duration::from_millis(100)).await;
    test.daemon_count.store(1, Ordering::Relaxed);
    let before = test.store.calls.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(test.store.calls.load(Ordering::Relaxed) > before);
}
