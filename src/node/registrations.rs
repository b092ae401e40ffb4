//! Keeps the balancer up to date with the upstream registrations in the store.

use super::feed_position::{Continuation, FeedPosition};
use opentelemetry::KeyValue;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use spindle_policy::read_schedule::{ReadReason, ReadSchedule};
use spindle_relay::Balancer;
use spindle_relay::backends::{Feed, FeedBatch, FeedRecord, Store, StoreError};
use spindle_relay::metrics::METRICS;
use spindle_types::{Clock, Instance, MonotonicInstant};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Fraction of the time allowed for acting on a leaving upstream after which a daemon that has not
/// heard of a recent read reads the store itself. The rest is left for the read and for stalls.
const MAX_AGE_FRACTION: f64 = 0.6;

/// Interval at which a waiting daemon checks whether its next read has been brought forward.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Minimum time between two reads for decisions that need newer registrations.
const QUESTION_INTERVAL: Duration = Duration::from_millis(50);

/// Reads registrations from the store and passes them to the balancer.
#[derive(Clone, Debug)]
pub struct RegistrationFollower<S, K> {
    store: S,
    clock: K,
    balancer: Balancer,
    daemon_count: Arc<AtomicU32>,
    outages: watch::Sender<u64>,
    restores: watch::Sender<u64>,
    reads: Arc<Mutex<Reads>>,
    questions: Arc<Notify>,
    read_count: watch::Sender<u64>,
    drain: Duration,
}

/// When this daemon reads, with the generator that keeps its reads apart from those of others.
#[derive(Debug)]
struct Reads {
    schedule: ReadSchedule,
    generator: ChaCha8Rng,
}

impl<S: Store, K: Clock> RegistrationFollower<S, K> {
    /// Creates a follower that knows no upstream. `daemon_count` is the number of live daemons,
    /// among which the reads are divided. `drain` is the time allowed for acting on a leaving
    /// upstream, and `seed` differs between daemons.
    pub fn new(
        store: S,
        clock: K,
        balancer: Balancer,
        daemon_count: Arc<AtomicU32>,
        drain: Duration,
        seed: u64,
    ) -> Self {
        let (outages, restores) = (watch::Sender::new(0), watch::Sender::new(0));
        let schedule = ReadSchedule::new(drain.mul_f64(MAX_AGE_FRACTION));
        let generator = ChaCha8Rng::seed_from_u64(seed);
        let reads = Arc::new(Mutex::new(Reads { schedule, generator }));
        let (questions, read_count) = (Arc::default(), watch::Sender::new(0));
        Self {
            store,
            clock,
            balancer,
            daemon_count,
            outages,
            restores,
            reads,
            questions,
            read_count,
            drain,
        }
    }

    /// A counter that increases whenever the store is lost, regained or restored from an older
    /// copy.
    pub fn outages(&self) -> watch::Receiver<u64> {
        self.outages.subscribe()
    }

    /// A counter that increases whenever the store was restored from an older copy.
    pub fn restores(&self) -> watch::Receiver<u64> {
        self.restores.subscribe()
    }

    /// When the last successful read from the store was sent.
    pub fn last_success(&self) -> Option<MonotonicInstant> {
        self.reads().schedule.last_read()
    }

    /// Reads the store soon, and waits until all is known that it had acknowledged before `since`.
    /// Returns whether that succeeded within `timeout`.
    pub async fn read_after(&self, since: MonotonicInstant, timeout: Duration) -> bool {
        let mut reads = self.read_count.subscribe();
        self.questions.notify_one();
        let is_read = || self.last_success().is_some_and(|sent| sent >= since);
        tokio::time::timeout(timeout, reads.wait_for(|_| is_read())).await.is_ok()
    }

    /// Has the store read soon if the last read is older than `age_max`.
    pub fn request_read(&self, now: MonotonicInstant, age_max: Duration) {
        if self.last_success().is_none_or(|sent| now.since(sent) >= age_max) {
            self.questions.notify_one();
        }
    }

    /// The time for which this daemon may have missed that an upstream is leaving; none before its
    /// first read.
    pub fn age(&self, now: MonotonicInstant) -> Option<Duration> {
        self.reads().schedule.age(now)
    }

    /// Records that all leaving upstreams are known here that a peer knew `age` before its answer
    /// to a call sent at `sent`.
    pub fn on_peer(&self, sent: MonotonicInstant, age: Duration) {
        self.reads().schedule.on_peer(self.clock.now(), sent, age);
    }

    /// The longest interval between two reads by this daemon while the store answers.
    pub fn read_interval_max(&self) -> Duration {
        ReadSchedule::interval_max(self.daemon_count.load(Ordering::Relaxed))
    }

    /// Reads the feed until the process exits.
    pub async fn run(self) {
        let mut position = FeedPosition::new(Feed::Upstreams);
        let mut store_lost = false;
        let mut reason = ReadReason::Interval;
        loop {
            let is_full_list = position.next().is_none();
            let sent = self.clock.now();
            let result = match position.next() {
                None => self.store.read_latest(Feed::Upstreams).await,
                Some(from) => self.store.read_feed(Feed::Upstreams, from, Duration::ZERO).await,
            };
            let now = self.clock.now();
            match result.map(|batch| position.on_batch(batch)) {
                Ok(Continuation::Valid(batch)) => {
                    if store_lost {
                        log::info!("event=store_regained feed=upstreams");
                        self.on_store_disturbance(now);
                    }
                    store_lost = false;
                    let (records, is_complete) = (batch.items.len(), batch.next >= batch.end);
                    let age = self.age(now);
                    self.check_age(age, reason);
                    self.apply_batch(now, batch, is_full_list);
                    self.balancer.prune(now);
                    log::info!(
                        "event=upstreams_read reason={reason} records={records} \
                         full_list={is_full_list} complete={is_complete} call_ms={} age_ms={:?}",
                        now.since(sent).as_millis(),
                        age.map(|age| age.as_millis()),
                    );
                    if is_complete {
                        self.on_complete_read(sent);
                        reason = self.wait_until_due().await;
                    } else if records == 0 {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
                // Registrations that are missing from the copy count as lapsed, not as removed.
                Ok(Continuation::Restored) => {
                    self.on_store_disturbance(now);
                    self.restores.send_modify(|count| *count += 1);
                }
                Ok(Continuation::Outdated) => tokio::time::sleep(RETRY_DELAY).await,
                Err(StoreError::Expired(_)) => position.on_expired(),
                Err(StoreError::Form(cause)) if !is_full_list => {
                    position.on_unreadable(&cause);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(error) => {
                    if store_lost {
                        self.balancer.on_outage(now);
                    } else {
                        log::warn!("event=store_lost feed=upstreams error={error:?}");
                        self.on_store_disturbance(now);
                    }
                    store_lost = true;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Records that the store has become unavailable, has become available again, or was restored
    /// from an older copy. The other reader of the store is told, and all daemons may read in step.
    fn on_store_disturbance(&self, now: MonotonicInstant) {
        self.outages.send_modify(|count| *count += 1);
        self.balancer.on_outage(now);
        self.reads().schedule.on_disturbance();
    }

    /// Reports the age that a read has ended, and whether it was more than is allowed.
    fn check_age(&self, age: Option<Duration>, reason: ReadReason) {
        let Some(age) = age else { return };
        let reason: &'static str = reason.into();
        METRICS.upstreams_age_seconds.record(age.as_secs_f64(), &[KeyValue::new("reason", reason)]);
        if age > self.drain {
            log::warn!(
                "event=upstreams_stale age_ms={} allowed_ms={}",
                age.as_millis(),
                self.drain.as_millis()
            );
        }
    }

    fn on_complete_read(&self, sent: MonotonicInstant) {
        {
            let Reads { schedule, generator } = &mut *self.reads();
            schedule.on_read(sent, generator);
        }
        self.read_count.send_modify(|count| *count += 1);
    }

    /// Waits until the next read is due, and returns the reason for it. The time is evaluated
    /// repeatedly: answers of peers postpone it, and it is brought forward when this daemon loses
    /// contact with the others and has to read for itself.
    async fn wait_until_due(&self) -> ReadReason {
        loop {
            let (due, reason) =
                self.reads().schedule.next_read(self.daemon_count.load(Ordering::Relaxed));
            let remaining = due.since(self.clock.now());
            if remaining.is_zero() {
                return reason;
            }
            tokio::select! {
                () = tokio::time::sleep(remaining.min(CHECK_INTERVAL)) => {}
                () = self.questions.notified() => {
                    tokio::time::sleep(QUESTION_INTERVAL.min(remaining)).await;
                    return ReadReason::Question;
                }
            }
        }
    }

    fn reads(&self) -> MutexGuard<'_, Reads> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.reads.lock().unwrap_or_else(PoisonError::into_inner)
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
