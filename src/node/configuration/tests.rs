use super::*;
use spindle_policy::civil::CivilTime;
use spindle_policy::sharing::{QuotaTolerance, RetryLimit};
use spindle_relay::accounts::AccountRules;
use spindle_relay::outside::{Appended, Records, Topic};
use spindle_types::{Instance, SystemClock, UtcInstant};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// A store that holds one configuration, answers no call while it is dark, and never answers those
/// that came then.
#[derive(Clone, Debug, Default)]
struct FakeStore {
    dark: Arc<AtomicBool>,
    version: Arc<AtomicU64>,
}

fn serving(version: u64) -> Serving {
    let (services, routes, teams) = (HashMap::new(), Vec::new(), Vec::new());
    Serving::new(version, Limits::default(), services, routes, teams)
}

impl FakeStore {
    fn set(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
    }

    async fn answer(&self, from: u64, wait: Duration) -> Result<Batch, StoreError> {
        let timeout = wait + Duration::from_millis(1_500);
        if self.dark.load(Ordering::Relaxed) {
            tokio::time::sleep(timeout).await;
            return Err(StoreError::Lost("no answer in time".to_owned()));
        }
        let mut left = wait;
        let step = Duration::from_millis(10);
        while self.version.load(Ordering::Relaxed) < from && !left.is_zero() {
            tokio::time::sleep(step).await;
            left = left.saturating_sub(step);
            if self.dark.load(Ordering::Relaxed) {
                tokio::time::sleep(timeout).await;
                return Err(StoreError::Lost("no answer in time".to_owned()));
            }
        }
        let version = self.version.load(Ordering::Relaxed);
        let item = Item::Configuration(Arc::new(serving(version)), Bytes::new());
        let items = if version >= from { vec![item] } else { Vec::new() };
        Ok(Batch { items, next: version + 1 })
    }
}

impl Store for FakeStore {
    async fn newest(&self, _feed: Feed) -> Result<Batch, StoreError> {
        self.answer(0, Duration::ZERO).await
    }

    async fn read(&self, _feed: Feed, from: u64, wait: Duration) -> Result<Batch, StoreError> {
        self.answer(from, wait).await
    }

    async fn records(&self, _topic: Topic, _from: u64) -> Result<Records, StoreError> {
        Err(StoreError::Refused("not held here".to_owned()))
    }

    async fn append(
        &self,
        _topic: Topic,
        _at: u64,
        _record: Bytes,
    ) -> Result<Appended, StoreError> {
        Err(StoreError::Refused("not held here".to_owned()))
    }

    async fn announce(&self, _instance: &Instance, _peer: SocketAddr) -> Result<(), StoreError> {
        Err(StoreError::Refused("not held here".to_owned()))
    }

    async fn announced(&self) -> Result<Vec<SocketAddr>, StoreError> {
        Err(StoreError::Refused("not held here".to_owned()))
    }

    fn configuration(&self, _document: &[u8]) -> Result<Serving, String> {
        Err("not held here".to_owned())
    }
}

struct Following {
    store: FakeStore,
    serving: watch::Receiver<Arc<Serving>>,
    outages: watch::Sender<u64>,
}

fn follow() -> Following {
    let store = FakeStore::default();
    store.set(1);
    let accounts = Accounts::new(
        AccountRules {
            retries: RetryLimit { ratio: 0.2, slack: 1.0, window: Duration::from_secs(1) },
            tolerance: QuotaTolerance { overage: 0.0, slack: 0.0, window: Duration::from_secs(1) },
            window: Duration::from_secs(5),
        },
        CivilTime::new(MonotonicInstant::default(), UtcInstant(0)),
    );
    let (sender, serving) = watch::channel(Arc::new(Serving::default()));
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
