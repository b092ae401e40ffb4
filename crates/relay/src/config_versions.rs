//! Which version of the configuration this daemon has, and which it has heard of.

use crate::metrics::METRICS;
use opentelemetry::KeyValue;
use spindle_policy::config_news::ConfigNews;
use spindle_types::MonotonicInstant;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// The versions that a daemon knows of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownVersions {
    /// The version in force; 0 if there is none.
    pub own: u64,
    /// The highest version known to exist.
    pub newest: u64,
    /// When this daemon first heard of a version that it still lacks.
    pub behind_since: Option<MonotonicInstant>,
}

impl KnownVersions {
    /// Whether this daemon lacks a version.
    pub const fn is_behind(&self) -> bool {
        self.newest > self.own
    }
}

/// The versions known to this daemon, and their changes. Clones share all state.
#[derive(Clone, Debug)]
pub struct ConfigVersions {
    news: Arc<Mutex<ConfigNews>>,
    known: watch::Sender<KnownVersions>,
    patience: Duration,
}

impl ConfigVersions {
    /// Creates the versions of a daemon that has none. It decides by what it has for up to `patience`
    /// after it has heard of a newer version that another daemon has.
    pub fn new(patience: Duration) -> Self {
        Self { news: Arc::default(), known: watch::Sender::default(), patience }
    }

    /// Records that a version exists, as `source` tells.
    pub fn on_heard(&self, now: MonotonicInstant, version: u64, source: &'static str) {
        let mut news = self.state();
        let own = news.own();
        if news.on_heard(now, version) {
            log::info!("event=configuration_heard version={version} own={own} source={source}");
            self.publish(&news);
        }
    }

    /// Records that a version from `source` is now in force.
    pub fn on_in_force(&self, now: MonotonicInstant, version: u64, source: &'static str) {
        let mut news = self.state();
        let behind = news.on_in_force(version).map(|since| now.since(since));
        let seconds = behind.unwrap_or_default().as_secs_f64();
        METRICS.configuration_behind_seconds.record(seconds, &[KeyValue::new("source", source)]);
        self.publish(&news);
    }

    /// Records that a request of this daemon has been served under a version by another one.
    pub(crate) fn on_served(&self, now: MonotonicInstant, version: u64) {
        let mut news = self.state();
        let own = news.own();
        if news.on_served(now, version) {
            log::info!("event=configuration_heard version={version} own={own} source=helper");
            self.publish(&news);
        }
    }

    /// Sets the highest version in force at a daemon that is heard now.
    pub fn set_held(&self, version: u64) {
        self.state().set_held(version);
    }

    /// The version by which requests are to be decided, if that is not the own one.
    pub(crate) fn needed(&self, now: MonotonicInstant) -> Option<u64> {
        self.state().needed(now, self.patience)
    }

    /// Whether this daemon has heard of a version that it lacks.
    pub(crate) fn is_behind(&self) -> bool {
        let news = self.state();
        news.newest() > news.own()
    }

    /// Waits until at least `version` is in force.
    pub(crate) async fn wait_for(&self, version: u64) {
        // The sender lives as long as this value.
        let _ = self.subscribe().wait_for(|known| known.own >= version).await;
    }

    /// For how long this daemon has known that it lacks a version; zero if it lacks none.
    pub fn behind(&self, now: MonotonicInstant) -> Duration {
        self.state().behind_since().map(|since| now.since(since)).unwrap_or_default()
    }

    /// The version in force; 0 if there is none.
    pub fn own(&self) -> u64 {
        self.state().own()
    }

    /// Receives every change of the known versions.
    pub fn subscribe(&self) -> watch::Receiver<KnownVersions> {
        self.known.subscribe()
    }

    fn publish(&self, news: &ConfigNews) {
        self.known.send_replace(KnownVersions {
            own: news.own(),
            newest: news.newest(),
            behind_since: news.behind_since(),
        });
    }

    fn state(&self) -> MutexGuard<'_, ConfigNews> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
