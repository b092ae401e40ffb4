//! Keeps the balancer up to date with the upstream registrations in the store.

use spindle_relay::Balancer;
use spindle_relay::backends::{Feed, FeedBatch, FeedRecord, Store, StoreError};
use spindle_types::{Clock, Instance, MonotonicInstant};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Interval between two reads across all daemons, which tell each other about leaving upstreams.
/// It is an eighth of the time within which a leaving upstream must stop receiving new requests.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum interval between two reads by one daemon, so that it soon uses new upstreams. Daemons
/// learn about leaving upstreams earlier, from the daemon that read the change first.
const READ_INTERVAL_MAX: Duration = Duration::from_secs(4);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Reads registrations from the store and passes them to the balancer.
#[derive(Clone, Debug)]
pub struct RegistrationFollower<S, K> {
    store: S,
    clock: K,
    balancer: Balancer,
    daemon_count: Arc<AtomicU32>,
    outages: watch::Sender<u64>,
    last_success: Arc<Mutex<Option<MonotonicInstant>>>,
}

impl<S: Store, K: Clock> RegistrationFollower<S, K> {
    /// Creates a follower that knows no upstream. `daemon_count` is the number of live daemons,
    /// among which the reads are divided.
    pub fn new(store: S, clock: K, balancer: Balancer, daemon_count: Arc<AtomicU32>) -> Self {
        let outages = watch::Sender::new(0);
        Self { store, clock, balancer, daemon_count, outages, last_success: Arc::default() }
    }

    /// A counter that increases whenever the connection to the store is lost or regained.
    pub fn outages(&self) -> watch::Receiver<u64> {
        self.outages.subscribe()
    }

    /// The time of the last successful read from the store.
    pub fn last_success(&self) -> Option<MonotonicInstant> {
        *self.last_success.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the feed until the process exits.
    pub async fn run(self) {
        let mut next = None;
        let mut store_lost = false;
        loop {
            let is_full_list = next.is_none();
            let sent = self.clock.now();
            let result = match next {
                None => self.store.read_latest(Feed::Upstreams).await,
                Some(from) => self.store.read_feed(Feed::Upstreams, from, Duration::ZERO).await,
            };
            let now = self.clock.now();
            match result {
                Ok(batch) => {
                    if store_lost {
                        log::info!("event=store_regained feed=upstreams");
                        self.outages.send_modify(|count| *count += 1);
                        self.balancer.on_outage(now);
                    }
                    store_lost = false;
                    next = Some(batch.next);
                    log::info!(
                        "event=upstreams_read records={} full_list={is_full_list} call_ms={} \
                         since_last_ms={:?}",
                        batch.items.len(),
                        now.since(sent).as_millis(),
                        self.last_success().map(|at| now.since(at).as_millis()),
                    );
                    *self.last_success.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
                    self.apply_batch(now, batch, is_full_list);
                    self.balancer.prune(now);
                    self.wait_until_due(now).await;
                }
                Err(StoreError::Expired(_)) => {
                    log::info!("event=history_expired feed=upstreams from={next:?}");
                    next = None;
                }
                Err(error) => {
                    if !store_lost {
                        log::warn!("event=store_lost feed=upstreams error={error:?}");
                        self.outages.send_modify(|count| *count += 1);
                    }
                    store_lost = true;
                    self.balancer.on_outage(now);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until the next read is due. The interval is evaluated repeatedly, because it shrinks
    /// when this daemon loses contact with the others and has to read for itself.
    async fn wait_until_due(&self, last_read: MonotonicInstant) {
        while self.clock.now().since(last_read) < self.read_interval() {
            tokio::time::sleep(READ_INTERVAL.min(self.read_interval())).await;
        }
    }

    /// The interval between two reads by this daemon: longer with more daemons, at most
    /// [`READ_INTERVAL_MAX`].
    pub fn read_interval(&self) -> Duration {
        let daemon_count = self.daemon_count.load(Ordering::Relaxed).max(1);
        (READ_INTERVAL * daemon_count).min(READ_INTERVAL_MAX)
    }

    fn apply_batch(&self, now: MonotonicInstant, batch: FeedBatch, is_full_list: bool) {
        let mut present: Vec<Instance> = Vec::new();
        for item in batch.items {
            match item {
                FeedRecord::Registered(registration) => {
                    present.push(registration.id.instance.clone());
                    self.balancer.on_registration(now, registration, "store");
                }
                FeedRecord::Removed(instance) => self.balancer.on_removal(now, &instance, "store"),
                FeedRecord::Unreadable { key, cause } => {
                    log::warn!("event=registration_unreadable key={key} error={cause:?}");
                }
                FeedRecord::Configuration(..) => {}
            }
        }
        if is_full_list {
            self.balancer.on_full_list(now, &present);
        }
    }
}

#[cfg(test)]
mod tests;
