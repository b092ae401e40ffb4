//! Estimates of an upstream's load and speed.
//!
//! A decoding step takes `step_base` plus `step_slope` for each generation in the batch. The
//! uncached tokens of prompts are prefilled at `prefill_rate`, one prompt after another. Correction
//! factors adapt both to the observed speed of each upstream.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The speed of an engine, assumed until attempts have been observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// The duration of a decoding step with an empty batch.
    pub step_base: Duration,
    /// The time that each generation in the batch adds to a decoding step.
    pub step_slope: Duration,
    /// The maximum number of generations in the batch.
    pub slots: u32,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            prefill_rate: 20_000.0,
            step_base: Duration::from_millis(8),
            step_slope: Duration::from_micros(300),
            slots: 32,
        }
    }
}

impl EngineSpeed {
    /// The duration of a decoding step, in seconds, with `batch` generations.
    pub fn step(&self, batch: f64) -> f64 {
        self.step_base.as_secs_f64() + self.step_slope.as_secs_f64() * batch
    }

    /// The time to prefill `tokens` prompt tokens, in seconds.
    pub fn prefill(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.prefill_rate.max(1.0)
    }
}

/// The weight of a new observation in a moving average, between 0 and 1.
const OBSERVATION_WEIGHT: f64 = 0.2;

/// The range of a correction factor; limits the effect of outliers.
const CORRECTION_MIN: f64 = 0.2;
const CORRECTION_MAX: f64 = 5.0;

/// The moving average of the ratio of observed to expected time.
#[derive(Clone, Copy, Debug)]
pub struct CorrectionFactor(f64);

impl Default for CorrectionFactor {
    fn default() -> Self {
        Self(1.0)
    }
}

impl CorrectionFactor {
    /// The current factor; 1 if observations match expectations.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Adds an observation, both times in seconds. Ignored if the expected time is zero.
    pub fn observe(&mut self, observed: f64, expected: f64) {
        if expected <= 0.0 || !observed.is_finite() {
            return;
        }
        let ratio = (observed / expected).clamp(CORRECTION_MIN, CORRECTION_MAX);
        self.0 += OBSERVATION_WEIGHT * (ratio - self.0);
    }
}

/// The half-life of a load report: after this time the estimate is half the reported value and half
/// the moving average.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);

/// The load that other daemons cause at an upstream, derived from its load reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct ForeignLoad {
    /// Generations of other daemons in the newest report.
    reported: f64,
    /// The moving average over the reports.
    average: f64,
    /// The time of the newest report.
    taken: Option<MonotonicInstant>,
}

impl ForeignLoad {
    /// The expected number of generations of other daemons at `now`.
    pub fn expected_count(&self, now: MonotonicInstant) -> f64 {
        let Some(taken) = self.taken else {
            return 0.0;
        };
        let age = now.since(taken).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        let fresh = (-age).exp2();
        self.reported * fresh + self.average * (1.0 - fresh)
    }

    /// The time of the newest report.
    pub const fn taken(&self) -> Option<MonotonicInstant> {
        self.taken
    }

    /// Adds a report of `total` generations at `taken`, of which this daemon started `own`. Reports
    /// that are not newer than the last one are ignored.
    pub fn observe(&mut self, taken: MonotonicInstant, total: u32, own: u32) {
        if self.taken.is_some_and(|newest| newest >= taken) {
            return;
        }
        let first = self.taken.is_none();
        self.reported = f64::from(total.saturating_sub(own));
        let share = if first { 1.0 } else { OBSERVATION_WEIGHT };
        self.average += share * (self.reported - self.average);
        self.taken = Some(taken);
    }
}

/// The expected latency and cost of sending a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The time to the first token, in seconds.
    pub first_token: f64,
    /// The time between two tokens, in seconds.
    pub token_interval: f64,
    /// Prompt tokens that are not cached and have to be prefilled.
    pub uncached: u32,
    /// The marginal cost: the hourly price times the seconds of engine time that the request adds.
    pub cost: f64,
}

#[cfg(test)]
mod tests;
