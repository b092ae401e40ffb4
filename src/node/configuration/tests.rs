use super::*;
use crate::node::fake_store::FakeStore;
use spindle_policy::cluster_clock::ClusterClock;
use spindle_policy::shared_limits::{QuotaTolerance, RetryBudgetSpec};
use spindle_relay::usage::UsageRules;
use spindle_types::{SystemClock, UtcInstant};
use std::sync::atomic::Ordering;

struct Following {
    store: FakeStore,
    serving: watch::Receiver<Arc<ActiveConfig>>,
    outages: watch::Sender<u64>,
}

fn follow() -> Following {
    let store = FakeStore::default();
    store.set(1);
    let accounts = UsageTracker::new(
        UsageRules {
            retries: RetryBudgetSpec { ratio: 0.2, slack: 1.0, window: Duration::from_secs(1) },
            tolerance: QuotaTolerance { overage: 0.0, slack: 0.0, window: Duration::from_secs(1) },
            window: Duration::from_secs(5),
        },
        ClusterClock::new(MonotonicInstant::default(), UtcInstant(0)),
    );
    let (sender, serving) = watch::channel(Arc::new(ActiveConfig::default()));
    let outlets = (sender, watch::Sender::new(Limits::default()));
    let outages = watch::Sender::new(0);
    let clock = SystemClock::new();
    let follower =
        ConfigurationFollower::new(store.clone(), clock, accounts, outlets, outages.subscribe());
    tokio::spawn(follower.run());
    Following { store, serving, outages }
}

async fn after(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_within_the_time_of_a_call() {
    let Following { store, serving, .. } = follow();
    after(1_000).await;
    store.set(2);
    after(100).await;
    assert_eq!(serving.borrow().version, 2);
}

/// Found by hunt-28a7-7: the read that came into the outage waited its whole 6.5 s.
#[tokio::test(start_paused = true)]
async fn a_change_right_after_an_outage_is_in_force_within_two_seconds() {
    for length in (7_000..14_000).step_by(500) {
        let Following { store, serving, .. } = follow();
        after(1_000).await;
        store.dark.store(true, Ordering::Relaxed);
        after(length).await;
        store.dark.store(false, Ordering::Relaxed);
        store.set(2);
        after(2_000).await;
        assert_eq!(serving.borrow().version, 2, "after {length} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn a_read_that_has_fallen_silent_is_given_up_when_others_see_an_outage() {
    let Following { store, serving, outages } = follow();
    after(1_000).await;
    store.dark.store(true, Ordering::Relaxed);
    after(500).await;
    outages.send_modify(|count| *count += 1);
    after(500).await;
    store.dark.store(false, Ordering::Relaxed);
    store.set(2);
    after(2_000).await;
    assert_eq!(serving.borrow().version, 2);
}

#[tokio::test(start_paused = true)]
async fn an_older_version_never_replaces_a_newer_one() {
    let Following { store, serving, outages } = follow();
    store.set(5);
    after(1_000).await;
    assert_eq!(serving.borrow().version, 5);
    store.set(4);
    outages.send_modify(|count| *count += 1);
    after(5_000).await;
    assert_eq!(serving.borrow().version, 5);
}
