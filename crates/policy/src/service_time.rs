//! How long answers take at a pool, from what was measured of recent ones.
//!
//! Answers the load in which more is asked than the engines can serve, and part of it could not be
//! whole before its caller stops waiting: tokens of such answers help nobody.

use crate::limit::LatencyOutcome;
use std::time::Duration;

/// The weight of a new measurement in the mean, so that about the last ten count.
const SMOOTHING: f64 = 0.1;

/// The factor by which an answer may take longer than the mean and still come in time. Assumed, not
/// measured: with it no answer of experiments/overload.yaml came too late.
const SPREAD: f64 = 1.15;

/// Which part of an answer was measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// From the dispatch to the first token.
    First,
    /// From one token to the next.
    Interval,
}

/// One measurement of an answer at its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// What was measured.
    pub stage: Stage,
    /// The time it took.
    pub duration: Duration,
    /// Whether that meets the pool's latency target.
    pub latency: LatencyOutcome,
}

/// What an answer needs at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GenerationWork {
    /// The time to compute its prompt alone.
    pub prefill: Duration,
    /// The tokens to generate.
    pub tokens: u32,
}

/// The mean of recent measurements, in seconds.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    count: u32,
}

impl Mean {
    const fn new(value: f64) -> Self {
        Self { value, count: 0 }
    }

    /// The first measurement replaces what was assumed.
    fn add(&mut self, duration: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.count));
        self.value += weight * (duration.as_secs_f64() - self.value);
    }
}

/// The pace of one pool.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    idle: f64,
    first: Mean,
    interval: Mean,
}

impl ServiceTime {
    /// The pace of a pool that was not measured yet; `idle` is the time of a token at an idle
    /// upstream.
    pub fn new(idle: Duration) -> Self {
        let idle = idle.as_secs_f64();
        Self { idle, first: Mean::new(0.0), interval: Mean::new(idle) }
    }

    /// Takes over a measurement.
    pub fn on_measurement(&mut self, measured: &Measurement) {
        match measured.stage {
            Stage::First => self.first.add(measured.duration),
            Stage::Interval => self.interval.add(measured.duration),
        }
    }

    /// The time after which an answer is whole, unless it takes unusually long.
    pub fn expected(&self, length: GenerationWork) -> Duration {
        let first = length.prefill.as_secs_f64().max(self.first.value);
        seconds((first + f64::from(length.tokens) * self.interval.value) * SPREAD)
    }

    /// The time that an answer takes at an upstream which does nothing else.
    pub fn fastest(&self, length: GenerationWork) -> Duration {
        let interval = self.idle.min(self.interval.value);
        seconds(length.prefill.as_secs_f64() + f64::from(length.tokens) * interval)
    }
}

/// A time that may be too long to be held.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

#[cfg(test)]
mod tests;
