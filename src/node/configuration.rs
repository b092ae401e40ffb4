//! Keeps the operators' configuration up to date, from the store or from other daemons.

use super::config_archive::{ConfigArchive, Document};
use super::feed_position::{Continuation, FeedPosition};
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spindle_policy::read_schedule::{config_rest, time_until_read};
use spindle_policy::store_era::FeedMark;
use spindle_relay::backends::{Feed, FeedBatch, FeedRecord, Store, StoreError};
use spindle_relay::{ActiveConfig, ConfigVersions, Limits, UsageTracker};
use spindle_types::{Clock, MonotonicInstant};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Long-poll timeout of a read: how long the store waits for a change before it answers. Every call
/// is billed, which favours a long wait; a dead connection is only noticed after it, which favours a
/// short one.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Interval at which a resting daemon checks whether enough others are left.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before a failed read is retried. With it, all daemons together stay far below the rate
/// limits of the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Channels that publish the configuration in force and its limits.
type Senders = (watch::Sender<Arc<ActiveConfig>>, watch::Sender<Limits>);

#[derive(Debug)]
struct State {
    position: FeedPosition,
    last_success: Option<MonotonicInstant>,
}

/// Reads the configuration from the store and publishes every newer version.
#[derive(Clone, Debug)]
pub struct ConfigurationFollower<S, K> {
    store: S,
    clock: K,
    usage: UsageTracker,
    versions: ConfigVersions,
    senders: Arc<Senders>,
    outages: watch::Receiver<u64>,
    daemon_count: Arc<AtomicU32>,
    seed: u64,
    archive: ConfigArchive,
    is_reading: Arc<AtomicBool>,
    state: Arc<Mutex<State>>,
}

impl<S: Store, K: Clock> ConfigurationFollower<S, K> {
    /// Creates a follower that has no configuration yet. `outages` changes whenever another reader
    /// of the store loses or regains its connection; the read in progress is then restarted.
    /// `daemon_count` is the number of live daemons, among which the reads are divided; `seed` differs
    /// between daemons.
    pub fn new(
        store: S,
        clock: K,
        (usage, versions): (UsageTracker, ConfigVersions),
        senders: Senders,
        outages: watch::Receiver<u64>,
        (daemon_count, seed): (Arc<AtomicU32>, u64),
    ) -> Self {
        let position = FeedPosition::new(Feed::Configuration);
        Self {
            store,
            clock,
            usage,
            versions,
            senders: Arc::new(senders),
            outages,
            daemon_count,
            seed,
            archive: ConfigArchive::default(),
            is_reading: Arc::default(),
            state: Arc::new(Mutex::new(State { position, last_success: None })),
        }
    }

    /// The time of the last successful read from the store.
    pub fn last_success(&self) -> Option<MonotonicInstant> {
        self.state().last_success
    }

    /// The newest versions, for other daemons.
    pub const fn archive(&self) -> &ConfigArchive {
        &self.archive
    }

    /// The versions known to this daemon.
    pub const fn versions(&self) -> &ConfigVersions {
        &self.versions
    }

    /// Whether a read of the store is in progress, which ends when there is a newer version.
    pub fn is_reading(&self) -> bool {
        self.is_reading.load(Ordering::Relaxed)
    }

    /// Applies a configuration received from another daemon, if it is newer.
    pub fn on_document(&self, document: &Document) {
        if document.version <= self.versions.own() {
            return;
        }
        match self.store.decode_configuration(&document.content) {
            Ok(config) => {
                if let Some(mark) = document.mark {
                    self.state().position.advance(mark);
                }
                let content = document.content.clone();
                self.put_in_force(Arc::new(config), content, document.mark, "daemon");
            }
            Err(cause) => log::warn!(
                "event=configuration_unreadable version={} source=daemon error={cause:?}",
                document.version
            ),
        }
    }

    /// Reads the feed until the process exits.
    pub async fn run(self) {
        let mut store_lost = false;
        let mut outages = self.outages.clone();
        let mut generator = ChaCha8Rng::seed_from_u64(self.seed);
        loop {
            let sent = self.clock.now();
            self.is_reading.store(true, Ordering::Relaxed);
            let result = self.read(store_lost, &mut outages).await;
            self.is_reading.store(false, Ordering::Relaxed);
            match result {
                Ok(batch) => {
                    let batch = match self.state().position.on_batch(batch) {
                        Continuation::Valid(batch) => Some(batch),
                        Continuation::Restored => continue,
                        Continuation::Outdated => None,
                    };
                    let Some(batch) = batch else {
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    };
                    if store_lost {
                        log::info!("event=store_regained feed=configuration");
                    }
                    store_lost = false;
                    self.state().last_success = Some(self.clock.now());
                    let is_unchanged = batch.items.is_empty();
                    if !is_unchanged {
                        log::info!(
                            "event=configuration_read records={} bytes={} left={} call_ms={}",
                            batch.items.len(),
                            document_bytes(&batch),
                            batch.end.saturating_sub(batch.next),
                            self.clock.now().since(sent).as_millis(),
                        );
                    }
                    if batch.next < batch.end {
                        self.state().position.skip_outdated();
                    }
                    self.apply_batch(batch);
                    // After a change, the next read starts at once: another one may follow.
                    if is_unchanged {
                        self.rest(&mut outages, &mut generator).await;
                    }
                }
                Err(StoreError::Expired(_)) => self.state().position.on_expired(),
                Err(StoreError::Form(cause)) if self.has_position() => {
                    self.state().position.on_unreadable(&cause);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(error) => {
                    if !store_lost {
                        log::warn!("event=store_lost feed=configuration error={error:?}");
                    }
                    store_lost = true;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads what is new, or the newest version if the position in the feed is unknown.
    async fn read(
        &self,
        store_lost: bool,
        outages: &mut watch::Receiver<u64>,
    ) -> Result<FeedBatch, StoreError> {
        // During an outage, a long poll would notice too late that the store is back.
        let wait = if store_lost { Duration::ZERO } else { READ_WAIT };
        let next = self.state().position.next();
        let read = async {
            match next {
                None => self.store.read_latest(Feed::Configuration).await,
                Some(from) => self.store.read_feed(Feed::Configuration, from, wait).await,
            }
        };
        tokio::select! {
            result = read => result,
            // The branch is disabled on an error: the registration follower is gone, so no
            // outages are reported.
            Ok(()) = outages.changed() => {
                Err(StoreError::Lost("another reader reported an outage".to_owned()))
            }
        }
    }

    /// Leaves the waiting at the store to other daemons for a while. Ends early if fewer of them are
    /// heard, if another reader of the store reports an outage, or if this daemon has known for some
    /// time that it lacks a version.
    async fn rest(&self, outages: &mut watch::Receiver<u64>, generator: &mut ChaCha8Rng) {
        let mut started = self.clock.now();
        let mut draw = generator.random();
        let patience = generator.random();
        let mut versions = self.versions.subscribe();
        loop {
            let behind_since = versions.borrow_and_update().behind_since;
            if let Some(since) = behind_since {
                match time_until_read(self.clock.now(), since, patience) {
                    Duration::ZERO => return,
                    left => tokio::select! {
                        () = tokio::time::sleep(left) => {}
                        // The sender lives as long as the follower.
                        _ = versions.changed() => {}
                    },
                }
                continue;
            }
            let daemon_count = self.daemon_count.load(Ordering::Relaxed);
            let rest = config_rest(daemon_count, READ_WAIT, draw);
            if rest.is_zero() {
                return;
            }
            let left = rest.saturating_sub(self.clock.now().since(started));
            if left.is_zero() {
                (started, draw) = (self.clock.now(), generator.random());
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(left.min(CHECK_INTERVAL)) => {}
                Ok(()) = outages.changed() => return,
                _ = versions.changed() => {}
            }
        }
    }

    fn apply_batch(&self, batch: FeedBatch) {
        let mark = FeedMark { era: batch.era, next: batch.next };
        for item in batch.items {
            match item {
                FeedRecord::Configuration(config, document) => {
                    self.put_in_force(config, document, Some(mark), "store");
                }
                FeedRecord::Unreadable { key, cause } => {
                    log::warn!(
                        "event=configuration_unreadable key={key} source=store error={cause:?}"
                    );
                }
                FeedRecord::Registered(_) | FeedRecord::Removed(_) => {}
            }
        }
    }

    /// Puts a configuration in force, unless the current one is as new or newer.
    fn put_in_force(
        &self,
        config: Arc<ActiveConfig>,
        content: Bytes,
        mark: Option<FeedMark>,
        source: &'static str,
    ) {
        let (config_sender, limits_sender) = &*self.senders;
        let before = config_sender.borrow().version;
        if config.version <= before {
            return;
        }
        let now = self.clock.now();
        let behind = self.versions.behind(now);
        log::info!(
            "event=configuration_in_force version={} before={before} source={source} routes={} \
             teams={} behind_ms={}",
            config.version,
            config.routes().len(),
            config.teams().len(),
            behind.as_millis(),
        );
        self.usage.on_configuration(now, &config);
        self.archive.add(Document { version: config.version, content, mark });
        limits_sender.send_if_modified(|limits| {
            let before = std::mem::replace(limits, config.limits);
            if before != config.limits {
                log::info!(
                    "event=limits_changed version={} limits={limits:?} before={before:?}",
                    config.version
                );
            }
            before != config.limits
        });
        let version = config.version;
        config_sender.send_replace(config);
        self.versions.on_in_force(now, version, source);
    }

    fn has_position(&self) -> bool {
        self.state().position.next().is_some()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The size of the documents in a batch, in bytes.
fn document_bytes(batch: &FeedBatch) -> usize {
    let sizes = batch.items.iter().map(|item| match item {
        FeedRecord::Configuration(_, document) => document.len(),
        _ => 0,
    });
    sizes.sum()
}

#[cfg(test)]
mod tests;
