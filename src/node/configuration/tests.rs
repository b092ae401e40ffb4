use super::*;
use crate::node::fake_store::FakeStore;
use spindle_policy::cluster_clock::ClusterClock;
use spindle_policy::shared_limits::{QuotaTolerance, RetryBudgetSpec};
use spindle_relay::usage::UsageRules;
use spindle_types::{SystemClock, UtcInstant};
use std::sync::atomic::Ordering;

struct TestFollower {
    store: FakeStore,
    config: watch::Receiver<Arc<ActiveConfig>>,
    outages: watch::Sender<u64>,
}

fn follow() -> TestFollower {
    let store = FakeStore::default();
    store.set(1);
    let usage = UsageTracker::new(
        UsageRules {
            retries: RetryBudgetSpec { ratio: 0.2, slack: 1.0, window: Duration::from_secs(1) },
            tolerance: QuotaTolerance { overage: 0.0, slack: 0.0, window: Duration::from_secs(1) },
            window: Duration::from_secs(5),
        },
        ClusterClock::new(MonotonicInstant::default(), UtcInstant(0)),
    );
    let (sender, config) = watch::channel(Arc::new(ActiveConfig::default()));
    let senders = (sender, watch::Sender::new(Limits::default()));
    let outages = watch::Sender::new(0);
    let clock = SystemClock::new();
    let follower =
        ConfigurationFollower::new(store.clone(), clock, usage, senders, outages.subscribe());
    tokio::spawn(follower.run());
    TestFollower { store, config, outages }
}

async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

#[tokio::test(start_paused = true)]
async fn a_change_takes_effect_within_one_store_call() {
    let TestFollower { store, config, .. } = follow();
    sleep_ms(1_000).await;
    store.set(2);
    sleep_ms(100).await;
    assert_eq!(config.borrow().version, 2);
}

/// Guards against a slow recovery (found by hunt-28a7-7): a read that started during the outage
/// waited for its whole timeout of 6.5 s before the store was read again.
#[tokio::test(start_paused = true)]
async fn a_change_right_after_an_outage_takes_effect_within_two_seconds() {
    for outage_ms in (7_000..14_000).step_by(500) {
        let TestFollower { store, config, .. } = follow();
        sleep_ms(1_000).await;
        store.unreachable.store(true, Ordering::Relaxed);
        sleep_ms(outage_ms).await;
        store.unreachable.store(false, Ordering::Relaxed);
        store.set(2);
        sleep_ms(2_000).await;
        assert_eq!(config.borrow().version, 2, "after {outage_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_read_is_abandoned_when_another_reader_reports_an_outage() {
    let TestFollower { store, config, outages } = follow();
    sleep_ms(1_000).await;
    store.unreachable.store(true, Ordering::Relaxed);
    sleep_ms(500).await;
    outages.send_modify(|count| *count += 1);
    sleep_ms(500).await;
    store.unreachable.store(false, Ordering::Relaxed);
    store.set(2);
    sleep_ms(2_000).await;
    assert_eq!(config.borrow().version, 2);
}

#[tokio::test(start_paused = true)]
async fn an_older_version_never_replaces_a_newer_one() {
    let TestFollower { store, config, outages } = follow();
    store.set(5);
    sleep_ms(1_000).await;
    assert_eq!(config.borrow().version, 5);
    store.set(4);
    outages.send_modify(|count| *count += 1);
    sleep_ms(5_000).await;
    assert_eq!(config.borrow().version, 5);
}
