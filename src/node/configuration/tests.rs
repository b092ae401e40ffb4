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
    versions: ConfigVersions,
    clock: SystemClock,
}

fn follow() -> TestFollower {
    let store = FakeStore::default();
    store.set(1);
    follow_among(store, &Arc::new(AtomicU32::new(1)), 7)
}

/// Starts a follower that is one of `daemon_count` daemons.
fn follow_among(store: FakeStore, daemon_count: &Arc<AtomicU32>, seed: u64) -> TestFollower {
    let usage = UsageTracker::new(
        UsageRules {
            retries: RetryBudgetSpec { ratio: 0.2, slack: 1.0, window: Duration::from_secs(1) },
            tolerance: QuotaTolerance { overage: 0.0, slack: 0.0, window: Duration::from_secs(1) },
            window: Duration::from_secs(5),
        },
        ClusterClock::new(MonotonicInstant::default(), UtcInstant(0)),
        tokio::sync::mpsc::channel(1).0,
    );
    let (sender, config) = watch::channel(Arc::new(ActiveConfig::default()));
    let senders = (sender, watch::Sender::new(Limits::default()));
    let outages = watch::Sender::new(0);
    let clock = SystemClock::new();
    let versions = ConfigVersions::new(Duration::from_secs(1));
    let follower = ConfigurationFollower::new(
        store.clone(),
        clock,
        (usage, versions.clone()),
        senders,
        outages.subscribe(),
        (Arc::clone(daemon_count), seed),
    );
    tokio::spawn(follower.run());
    TestFollower { store, config, outages, versions, clock }
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

/// A read whose answer could not be decoded was sent again the same way, without end.
#[tokio::test(start_paused = true)]
async fn a_change_behind_a_record_that_cannot_be_read_takes_effect_from_the_list() {
    let TestFollower { store, config, .. } = follow();
    sleep_ms(1_000).await;
    store.unreadable.store(true, Ordering::Relaxed);
    store.set(2);
    sleep_ms(7_000).await;
    store.set(3);
    sleep_ms(1_000).await;
    assert_eq!(config.borrow().version, 3);
    // It is no reason to call the store more often than after other errors.
    let calls = store.calls.load(Ordering::Relaxed);
    assert!(calls < 40, "{calls} calls");
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
    let TestFollower { store, config, outages, .. } = follow();
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
    let TestFollower { store, config, outages, .. } = follow();
    store.set(5);
    sleep_ms(1_000).await;
    assert_eq!(config.borrow().version, 5);
    store.set(4);
    outages.send_modify(|count| *count += 1);
    sleep_ms(5_000).await;
    assert_eq!(config.borrow().version, 5);
}

/// Followers of one store, one for each of `count` daemons that start within 0.3 s.
async fn follow_together(count: u32) -> (FakeStore, Arc<AtomicU32>, Vec<TestFollower>) {
    let store = FakeStore::default();
    store.set(1);
    let daemon_count = Arc::new(AtomicU32::new(count));
    let mut followers = Vec::new();
    for index in 0..count {
        followers.push(follow_among(store.clone(), &daemon_count, u64::from(index)));
        tokio::time::sleep(Duration::from_millis(300) / count).await;
    }
    (store, daemon_count, followers)
}

/// In an earlier version each daemon always waited at the store: 0.2 reads a second each, and one
/// more at each change.
#[tokio::test(start_paused = true)]
async fn reads_of_the_configuration_stop_growing_with_the_daemons() {
    for count in [1, 9, 61, 195, 400] {
        let (store, _, _followers) = follow_together(count).await;
        let before = store.calls.load(Ordering::Relaxed);
        sleep_ms(60_000).await;
        let rate = (store.calls.load(Ordering::Relaxed) - before) as f64 / 60.0;
        println!("{count} daemons: {rate:.2} reads a second");
        assert!(rate <= 6.0, "{count} daemons: {rate}");
    }
}

/// Few informed daemons are enough: the others hear of the version within ten rounds.
#[tokio::test(start_paused = true)]
async fn a_change_reaches_some_of_many_daemons_at_any_moment() {
    for count in [1, 9, 61, 195, 400] {
        let (store, _, followers) = follow_together(count).await;
        for version in 2..12 {
            sleep_ms(3_000 + 700 * version).await;
            store.set(version);
            sleep_ms(100).await;
            let informed =
                followers.iter().filter(|found| found.config.borrow().version == version);
            let informed = informed.count();
            assert!(informed >= count.min(5) as usize, "{informed} of {count}, version {version}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_no_longer_hears_the_others_reads_the_configuration_itself() {
    let (store, daemon_count, followers) = follow_together(195).await;
    sleep_ms(20_000).await;
    daemon_count.store(1, Ordering::Relaxed);
    sleep_ms(300).await;
    store.set(2);
    sleep_ms(100).await;
    let informed = followers.iter().filter(|found| found.config.borrow().version == 2).count();
    assert_eq!(informed, 195);
}

/// Half of the shortest time that the users' documentation allows for a change.
const IN_FORCE_MS: u64 = 1_000;

#[tokio::test(start_paused = true)]
async fn a_daemon_that_heard_of_a_version_rests_on_and_has_it_late() {
    for count in [1, 9, 25, 58, 195, 400] {
        let (store, _, followers) = follow_together(count).await;
        sleep_ms(20_000).await;
        store.set(2);
        for follower in &followers {
            follower.versions.on_heard(follower.clock.now(), 2, "status");
        }
        sleep_ms(IN_FORCE_MS).await;
        let late = followers.iter().filter(|found| found.config.borrow().version != 2).count();
        assert_eq!(late, 0, "{count} daemons");
    }
}
