//! Estimates how long answers take at a pool from measurements of recent answers.
//!
//! Under overload, some answers could not finish before their callers time out. Admission uses the
//! estimates to refuse such requests, as the tokens of their answers would be wasted.

use crate::limit::LatencyOutcome;
use std::time::Duration;

/// The weight of a new measurement in the exponential moving average, which thus covers about the
/// last ten measurements.
const SMOOTHING: f64 = 0.1;

/// The factor by which an answer may take longer than the mean and still be expected to finish in
/// time. With this value no answer in
/// experiments/overload.yaml came too late.
const SAFETY_FACTOR: f64 = 1.15;

/// The part of an answer that was measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The time from the dispatch to the first token.
    First,
    /// The time from one token to the next.
    Interval,
}

/// A latency measurement of an answer at its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// The part of the answer that was measured.
    pub stage: Stage,
    /// The measured time.
    pub duration: Duration,
    /// Whether the measured time meets the pool's latency target.
    pub latency: LatencyOutcome,
}

/// The work that a generation requires of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GenerationWork {
    /// The time to process the prompt, without queueing.
    pub prefill: Duration,
    /// The number of tokens to generate.
    pub tokens: u32,
}

/// The exponential moving average of recent measurements.
#[derive(Clone, Copy, Debug)]
struct Mean {
    /// The average in seconds, or an assumed value before the first measurement.
    value: f64,
    count: u32,
}

impl Mean {
    const fn new(value: f64) -> Self {
        Self { value, count: 0 }
    }

    /// Adds a measurement. The first measurement replaces the assumed value.
    fn add(&mut self, duration: Duration) {
        self.count = self.count.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.count));
        self.value += weight * (duration.as_secs_f64() - self.value);
    }
}

/// The estimated service times of one pool.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    /// The time per token at an idle upstream, in seconds.
    idle: f64,
    first: Mean,
    interval: Mean,
}

impl ServiceTime {
    /// Creates the estimate of a pool without measurements. `idle` is the time per token at an idle
    /// upstream.
    pub fn new(idle: Duration) -> Self {
        let idle = idle.as_secs_f64();
        Self { idle, first: Mean::new(0.0), interval: Mean::new(idle) }
    }

    /// Updates the estimate with a measurement.
    pub fn on_measurement(&mut self, measurement: &Measurement) {
        match measurement.stage {
            Stage::First => self.first.add(measurement.duration),
            Stage::Interval => self.interval.add(measurement.duration),
        }
    }

    /// The time within which an answer is expected to finish, including `SAFETY_FACTOR`.
    pub fn expected(&self, work: GenerationWork) -> Duration {
        let first = work.prefill.as_secs_f64().max(self.first.value);
        saturating_duration((first + f64::from(work.tokens) * self.interval.value) * SAFETY_FACTOR)
    }

    /// The time that an answer would take at an otherwise idle upstream.
    pub fn fastest(&self, work: GenerationWork) -> Duration {
        let interval = self.idle.min(self.interval.value);
        saturating_duration(work.prefill.as_secs_f64() + f64::from(work.tokens) * interval)
    }
}

/// A duration from seconds. Values out of range become [`Duration::MAX`].
fn saturating_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

#[cfg(test)]
mod tests;
