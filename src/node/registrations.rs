//! Follows the registrations of upstreams in the store.

use spindle_relay::Balancer;
use spindle_relay::backends::{Feed, FeedBatch, FeedRecord, Store, StoreError};
use spindle_types::{Clock, Instance, MonotonicInstant};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// The time between two reads of all daemons together, which tell each other who leaves. An
/// eighth of the time in which a leaving upstream must get nothing new.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// The longest time between two reads of one daemon, so that it soon sends to new upstreams too. Who
/// leaves is told by the daemon that read it first.
const READ_INTERVAL_MAX: Duration = Duration::from_secs(4);

/// The pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Follows the registrations.
#[derive(Clone, Debug)]
pub struct RegistrationFollower<S, K> {
    store: S,
    clock: K,
    board: Balancer,
    daemons: Arc<AtomicU32>,
    outages: watch::Sender<u64>,
    contact: Arc<Mutex<Option<MonotonicInstant>>>,
}

impl<S: Store, K: Clock> RegistrationFollower<S, K> {
    /// A follower that knows no upstream; `daemons` share the reads.
    pub fn new(store: S, clock: K, board: Balancer, daemons: Arc<AtomicU32>) -> Self {
        let outages = watch::Sender::new(0);
        Self { store, clock, board, daemons, outages, contact: Arc::default() }
    }

    /// Counts the times at which the store was lost or came back.
    pub fn outages(&self) -> watch::Receiver<u64> {
        self.outages.subscribe()
    }

    /// When the store last answered.
    pub fn contact(&self) -> Option<MonotonicInstant> {
        *self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads until the process ends.
    pub async fn run(self) {
        let mut next = None;
        let mut lost = false;
        loop {
            let complete = next.is_none();
            let result = match next {
                None => self.store.read_latest(Feed::Upstreams).await,
                Some(from) => self.store.read_feed(Feed::Upstreams, from, Duration::ZERO).await,
            };
            let now = self.clock.now();
            match result {
                Ok(batch) => {
                    if lost {
                        log::info!("event=store_regained feed=upstreams");
                        self.outages.send_modify(|count| *count += 1);
                        self.board.on_outage(now);
                    }
                    lost = false;
                    next = Some(batch.next);
                    *self.contact.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
                    self.take_in(now, batch, complete);
                    self.board.prune(now);
                    self.wait(now).await;
                }
                Err(StoreError::Expired(_)) => {
                    log::info!("event=history_expired feed=upstreams from={next:?}");
                    next = None;
                }
                Err(error) => {
                    if !lost {
                        log::warn!("event=store_lost feed=upstreams error={error:?}");
                        self.outages.send_modify(|count| *count += 1);
                    }
                    lost = true;
                    self.board.on_outage(now);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until the next read is due. A daemon that does not hear the others any more reads for
    /// itself, so the time is looked at again and again.
    async fn wait(&self, read: MonotonicInstant) {
        while self.clock.now().since(read) < self.interval() {
            tokio::time::sleep(READ_INTERVAL.min(self.interval())).await;
        }
    }

    /// The time between two reads of this daemon.
    pub fn interval(&self) -> Duration {
        let daemons = self.daemons.load(Ordering::Relaxed).max(1);
        (READ_INTERVAL * daemons).min(READ_INTERVAL_MAX)
    }

    fn take_in(&self, now: MonotonicInstant, batch: FeedBatch, complete: bool) {
        let mut present: Vec<Instance> = Vec::new();
        for item in batch.items {
            match item {
                FeedRecord::Registered(registration) => {
                    present.push(registration.id.instance.clone());
                    self.board.on_registration(now, registration, "store");
                }
                FeedRecord::Removed(instance) => self.board.on_removal(now, &instance, "store"),
                FeedRecord::Unreadable { key, cause } => {
                    log::warn!("event=registration_unreadable key={key} error={cause:?}");
                }
                FeedRecord::Configuration(..) => {}
            }
        }
        if complete {
            self.board.on_full_list(now, &present);
        }
    }
}

#[cfg(test)]
mod tests;
