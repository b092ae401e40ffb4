//! Follows the operators' configuration in the store and takes it from other daemons.

use bytes::Bytes;
use spindle_daemon::ConfigDocument;
use spindle_relay::backends::{Feed, FeedBatch, FeedRecord, Store, StoreError};
use spindle_relay::{ActiveConfig, Limits, UsageTracker};
use spindle_types::{Clock, MonotonicInstant};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// How long the store holds a read until a change comes. Each return is a call that is paid for;
/// a connection that has fallen silent is noticed after it.
const READ_WAIT: Duration = Duration::from_secs(5);

/// The pause after a failed read. All daemons together stay far below the store's rates.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Where the configuration in force goes.
type Outlets = (watch::Sender<Arc<ActiveConfig>>, watch::Sender<Limits>);

#[derive(Debug, Default)]
struct Known {
    document: Option<ConfigDocument>,
    contact: Option<MonotonicInstant>,
}

/// Follows the configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationFollower<S, K> {
    store: S,
    clock: K,
    accounts: UsageTracker,
    outlets: Arc<Outlets>,
    outages: watch::Receiver<u64>,
    known: Arc<Mutex<Known>>,
}

impl<S: Store, K: Clock> ConfigurationFollower<S, K> {
    /// A follower that knows no configuration; `outages` counts the failures that other readers of
    /// the store see.
    pub fn new(
        store: S,
        clock: K,
        accounts: UsageTracker,
        outlets: Outlets,
        outages: watch::Receiver<u64>,
    ) -> Self {
        let known = Arc::default();
        Self { store, clock, accounts, outlets: Arc::new(outlets), outages, known }
    }

    /// When the store last answered.
    pub fn contact(&self) -> Option<MonotonicInstant> {
        self.known().contact
    }

    /// The configuration in force as it was read.
    pub fn document(&self) -> Option<ConfigDocument> {
        self.known().document.clone()
    }

    /// Takes a configuration that another daemon has read.
    pub fn on_document(&self, document: &ConfigDocument) {
        match self.store.decode_configuration(&document.content) {
            Ok(serving) => {
                self.put_in_force(Arc::new(serving), document.content.clone().into(), "daemon");
            }
            Err(cause) => log::warn!(
                "event=configuration_unreadable version={} source=daemon error={cause:?}",
                document.version
            ),
        }
    }

    /// Reads until the process ends.
    pub async fn run(self) {
        let mut next = None;
        let mut lost = false;
        let mut outages = self.outages.clone();
        loop {
            // A read that waits would not notice in time that the store is back.
            let wait = if lost { Duration::ZERO } else { READ_WAIT };
            let reading = async {
                match next {
                    None => self.store.read_latest(Feed::Configuration).await,
                    Some(from) => self.store.read_feed(Feed::Configuration, from, wait).await,
                }
            };
            let result = tokio::select! {
                result = reading => result,
                // An error means that nobody follows the registrations, so no news come.
                Ok(()) = outages.changed() => Err(StoreError::Lost("others see an outage".to_owned())),
            };
            match result {
                Ok(batch) => {
                    if lost {
                        log::info!("event=store_regained feed=configuration");
                    }
                    lost = false;
                    next = Some(batch.next);
                    self.known().contact = Some(self.clock.now());
                    self.take_in(batch);
                }
                Err(StoreError::Expired(_)) => {
                    log::info!("event=history_expired feed=configuration from={next:?}");
                    next = None;
                }
                Err(error) => {
                    if !lost {
                        log::warn!("event=store_lost feed=configuration error={error:?}");
                    }
                    lost = true;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn take_in(&self, batch: FeedBatch) {
        for item in batch.items {
            match item {
                FeedRecord::Configuration(serving, document) => {
                    self.put_in_force(serving, document, "store");
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

    /// Puts a configuration in force unless the one in force is as new.
    fn put_in_force(&self, serving: Arc<ActiveConfig>, content: Bytes, source: &'static str) {
        let (outlet, limits) = &*self.outlets;
        let before = outlet.borrow().version;
        if serving.version <= before {
            return;
        }
        log::info!(
            "event=configuration_in_force version={} before={before} source={source} routes={} \
             teams={}",
            serving.version,
            serving.routes().len(),
            serving.teams().len(),
        );
        self.accounts.on_configuration(self.clock.now(), &serving);
        self.known().document = Some(ConfigDocument::new(serving.version, &content));
        limits.send_replace(serving.limits);
        outlet.send_replace(serving);
    }

    fn known(&self) -> std::sync::MutexGuard<'_, Known> {
        // No code that holds the lock panics halfway through a change.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
