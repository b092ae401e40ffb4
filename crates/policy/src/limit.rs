//! The number of requests that a daemon keeps in flight at a pool.
//!
//! The limit rises by one when a request met the latency target while the limit was in use, and
//! falls by a share when one did not, at most once in a while. So daemons that share a pool find
//! their parts of its capacity without talking to each other.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The share that stays when a request misses the target.
const DECREASE: f64 = 0.9;

/// The least time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_secs(1);

/// The share of the limit from which on it counts as in use.
const IN_USE: f64 = 0.8;

/// Whether a request met its latency target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LatencyOutcome {
    /// It did.
    Met,
    /// It did not.
    Missed,
}

/// An adaptive limit.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    value: f64,
    max: f64,
    decreased: Option<MonotonicInstant>,
}

impl ConcurrencyLimit {
    /// A limit that starts at `initial` and never exceeds `max`.
    pub fn new(initial: u32, max: u32) -> Self {
        let max = f64::from(max.max(1));
        Self { value: f64::from(initial.max(1)).min(max), max, decreased: None }
    }

    /// The limit.
    pub fn get(&self) -> u32 {
        self.value as u32
    }

    /// Takes over a changed capacity of the pool, and moves in proportion.
    pub fn set_max(&mut self, max: u32) {
        let max = f64::from(max.max(1));
        self.value = (self.value * max / self.max).clamp(1.0, max);
        self.max = max;
    }

    /// Records a request's latency, with the number in flight.
    pub fn on_latency(&mut self, now: MonotonicInstant, latency: LatencyOutcome, running: u32) {
        match latency {
            LatencyOutcome::Met if f64::from(running) >= IN_USE * self.value => {
                self.value = (self.value + 1.0).min(self.max);
            }
            LatencyOutcome::Met => {}
            LatencyOutcome::Missed => self.decrease(now),
        }
    }

    fn decrease(&mut self, now: MonotonicInstant) {
        if self.decreased.is_some_and(|at| now.since(at) < DECREASE_INTERVAL) {
            return;
        }
        self.decreased = Some(now);
        self.value = (self.value * DECREASE).max(1.0);
    }
}

#[cfg(test)]
mod tests;
