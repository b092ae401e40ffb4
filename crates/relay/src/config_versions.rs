//! Which version of the configuration this daemon has, and which it has heard of.

use crate::metrics::METRICS;
use opentelemetry::KeyValue;
use spindle_policy::config_news::ConfigNews;
use spindle_types::MonotonicInstant;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The versions known to this daemon. Clones share all state.
#[derive(Clone, Debug, Default)]
pub struct ConfigVersions(Arc<Mutex<ConfigNews>>);

impl ConfigVersions {
    /// Records that a version exists, as `source` tells.
    pub fn on_heard(&self, now: MonotonicInstant, version: u64, source: &'static str) {
        let mut news = self.state();
        let own = news.own();
        if news.on_heard(now, version) {
            log::info!("event=configuration_heard version={version} own={own} source={source}");
        }
    }

    /// Records that a version from `source` is now in force. Returns for how long this daemon knew
    /// that it lacked a version; none if it did not.
    pub fn on_in_force(
        &self,
        now: MonotonicInstant,
        version: u64,
        source: &'static str,
    ) -> Option<Duration> {
        let behind = self.state().on_in_force(version).map(|since| now.since(since));
        let seconds = behind.unwrap_or_default().as_secs_f64();
        METRICS.configuration_behind_seconds.record(seconds, &[KeyValue::new("source", source)]);
        behind
    }

    fn state(&self) -> MutexGuard<'_, ConfigNews> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
