//! An adaptive limit of the number of requests that a daemon has in flight at a pool.
//!
//! The limit follows additive increase and multiplicative decrease (AIMD). It rises by one when a
//! request met the latency target while the limit was in use. It falls by a fraction when a request
//! missed the target, at most once per `DECREASE_INTERVAL`. Daemons that share a pool thus find
//! their shares of its capacity without communicating.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The factor by which the limit is multiplied when a request misses the target.
const DECREASE_FACTOR: f64 = 0.9;

/// The shortest time between two decreases.
const DECREASE_INTERVAL: Duration = Duration::from_secs(1);

/// The fraction of the limit that must be in flight for the limit to count as in use.
const IN_USE_FRACTION: f64 = 0.8;

/// Whether a request met its latency target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LatencyOutcome {
    /// The latency was within the target.
    Met,
    /// The latency exceeded the target.
    Missed,
}

/// An adaptive concurrency limit, at least 1.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    value: f64,
    max: f64,
    last_decrease: Option<MonotonicInstant>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `initial` and never exceeds `max`.
    pub fn new(initial: u32, max: u32) -> Self {
        let max = f64::from(max.max(1));
        Self { value: f64::from(initial.max(1)).min(max), max, last_decrease: None }
    }

    /// The largest number of requests that may be in flight now.
    pub fn get(&self) -> u32 {
        self.value as u32
    }

    /// Applies a changed maximum and scales the limit in proportion.
    pub fn set_max(&mut self, max: u32) {
        let max = f64::from(max.max(1));
        self.value = (self.value * max / self.max).clamp(1.0, max);
        self.max = max;
    }

    /// Adjusts the limit to the latency of a request, with `running` requests in flight.
    pub fn on_latency(&mut self, now: MonotonicInstant, latency: LatencyOutcome, running: u32) {
        match latency {
            LatencyOutcome::Met if f64::from(running) >= IN_USE_FRACTION * self.value => {
                self.value = (self.value + 1.0).min(self.max);
            }
            LatencyOutcome::Met => {}
            LatencyOutcome::Missed => self.decrease(now),
        }
    }

    fn decrease(&mut self, now: MonotonicInstant) {
        if self.last_decrease.is_some_and(|at| now.since(at) < DECREASE_INTERVAL) {
            return;
        }
        self.last_decrease = Some(now);
        self.value = (self.value * DECREASE_FACTOR).max(1.0);
    }
}

#[cfg(test)]
mod tests;
