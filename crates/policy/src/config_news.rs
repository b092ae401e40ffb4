//! Which versions of the configuration a daemon has heard of and does not have yet, and when it must no
//! longer decide by the one that it has.
//!
//! The load is 1 to 400 daemons with a few changes a second, each of which a daemon hears of from
//! several others.

use spindle_types::MonotonicInstant;
use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of missing versions that are kept, to bound memory.
const MISSING_MAX: usize = 64;

/// The versions that one daemon lacks.
#[derive(Clone, Debug, Default)]
pub struct ConfigNews {
    /// The version in force; 0 if there is none.
    own: u64,
    /// Newer versions, lowest first, each with when this daemon first heard of it or a higher one.
    missing: VecDeque<(u64, MonotonicInstant)>,
    /// The highest version by which a request of this daemon has been served through another one.
    served: u64,
    /// The highest version in force at a daemon that is heard now.
    held: u64,
}

impl ConfigNews {
    /// Records that a version exists. Returns whether it is higher than all known before.
    pub fn on_heard(&mut self, now: MonotonicInstant, version: u64) -> bool {
        if version <= self.newest() {
            return false;
        }
        if self.missing.len() >= MISSING_MAX {
            self.missing.pop_back();
        }
        self.missing.push_back((version, now));
        true
    }

    /// Records the version that is now in force. Returns when this daemon first heard that it lacked
    /// a version, if it did.
    pub fn on_in_force(&mut self, version: u64) -> Option<MonotonicInstant> {
        let since = self.behind_since();
        self.own = self.own.max(version);
        self.missing.retain(|(missing, _)| *missing > version);
        since
    }

    /// Records that a request of this daemon has been served under a version by another one. This
    /// daemon must not go back behind it.
    pub fn on_served(&mut self, now: MonotonicInstant, version: u64) -> bool {
        self.served = self.served.max(version);
        self.on_heard(now, version)
    }

    /// Sets the highest version in force at a daemon that is heard now.
    pub const fn set_held(&mut self, version: u64) {
        self.held = version;
    }

    /// The version by which requests are to be decided, if that is not the own one: it has been known
    /// for longer than `patience` and another daemon has it, or requests have been served by it. A
    /// version that no daemon has any more is not waited for: a store that is down would end all
    /// service.
    pub fn needed(&self, now: MonotonicInstant, patience: Duration) -> Option<u64> {
        let due = |(_, since): &&(u64, MonotonicInstant)| now.since(*since) >= patience;
        let held = |(version, _): &&(u64, MonotonicInstant)| *version <= self.held;
        let overdue = self.missing.iter().filter(due).filter(held).map(|(version, _)| *version);
        overdue.max().max(Some(self.served)).filter(|version| *version > self.own)
    }

    /// The version in force; 0 if there is none.
    pub const fn own(&self) -> u64 {
        self.own
    }

    /// The highest version known to exist.
    pub fn newest(&self) -> u64 {
        self.missing.back().map_or(self.own, |(version, _)| *version)
    }

    /// When this daemon first heard of a version that it still lacks.
    pub fn behind_since(&self) -> Option<MonotonicInstant> {
        self.missing.front().map(|(_, since)| *since)
    }
}

#[cfg(test)]
mod tests;
