//! The civil time on which most daemons agree.
//!
//! Load: clocks of instances that differ by seconds, or jump and jump back. Usage is counted in
//! windows of true time, so the daemons go by the clock of the majority, and by the steady clock
//! between two readings.

use spindle_types::{MonotonicInstant, UtcInstant};
use std::time::Duration;

/// By how much two clocks may differ and still agree, in milliseconds: what a status may wait on its
/// way, which is a round of calls and a little.
const AGREEMENT: u64 = 250;

/// The civil time, kept by a steady clock.
#[derive(Clone, Copy, Debug)]
pub struct CivilTime {
    /// The civil time at which the steady clock read zero.
    zero: UtcInstant,
}

/// The civil time at which the steady clock read zero, by a clock that read `utc` at `now`.
pub fn zero_of(now: MonotonicInstant, utc: UtcInstant) -> UtcInstant {
    UtcInstant(utc.0.saturating_sub(now.micros() / 1_000))
}

impl CivilTime {
    /// The time of a daemon that knows its own clock only.
    pub fn new(now: MonotonicInstant, utc: UtcInstant) -> Self {
        Self { zero: zero_of(now, utc) }
    }

    /// Takes in the clocks of all daemons that are heard, this one's included, each as
    /// [`zero_of`]. The time stays unless a majority disagrees with it; whether it was changed.
    pub fn on_clocks(&mut self, mut zeros: Vec<UtcInstant>) -> bool {
        let agree = zeros.iter().filter(|zero| zero.0.abs_diff(self.zero.0) <= AGREEMENT);
        if zeros.is_empty() || agree.count() * 2 >= zeros.len() {
            return false;
        }
        zeros.sort_unstable();
        self.zero = zeros[zeros.len() / 2];
        true
    }

    /// The civil time now.
    pub fn at(&self, now: MonotonicInstant) -> UtcInstant {
        self.zero + Duration::from_millis(now.micros() / 1_000)
    }
}

#[cfg(test)]
mod tests;
