//! Wall-clock time as agreed by the majority of the daemons.
//!
//! The wall clocks of instances can differ by seconds, or jump and jump back. Usage is counted in
//! windows of true time, so daemons follow the wall clock of the majority, and the monotonic clock
//! between two readings.

use spindle_types::{MonotonicInstant, UtcInstant};
use std::time::Duration;

/// The largest difference at which two clocks still agree, in milliseconds. It covers the time that
/// a status may spend on its way: one gossip round (200 ms) and a margin.
const AGREEMENT_MS: u64 = 250;

/// Wall-clock time derived from the monotonic clock and an agreed origin.
#[derive(Clone, Copy, Debug)]
pub struct ClusterClock {
    /// The wall-clock time at which the monotonic clock read zero.
    origin: UtcInstant,
}

/// The wall-clock time at which the monotonic clock read zero, given a wall clock that read `utc`
/// at `now`.
pub fn clock_origin(now: MonotonicInstant, utc: UtcInstant) -> UtcInstant {
    UtcInstant(utc.0.saturating_sub(now.micros() / 1_000))
}

impl ClusterClock {
    /// The time of a daemon that knows only its own wall clock.
    pub fn new(now: MonotonicInstant, utc: UtcInstant) -> Self {
        Self { origin: clock_origin(now, utc) }
    }

    /// Takes the wall clocks of all live daemons, including this one, each as its [`clock_origin`].
    /// Moves to their median if a majority disagrees with the current origin; returns whether it
    /// did.
    pub fn on_clocks(&mut self, mut origins: Vec<UtcInstant>) -> bool {
        let agree =
            origins.iter().filter(|origin| origin.0.abs_diff(self.origin.0) <= AGREEMENT_MS);
        if origins.is_empty() || agree.count() * 2 >= origins.len() {
            return false;
        }
        origins.sort_unstable();
        self.origin = origins[origins.len() / 2];
        true
    }

    /// The wall-clock time at `now`.
    pub fn at(&self, now: MonotonicInstant) -> UtcInstant {
        self.origin + Duration::from_millis(now.micros() / 1_000)
    }
}

#[cfg(test)]
mod tests;
