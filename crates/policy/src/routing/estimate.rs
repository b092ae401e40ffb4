//! Estimates of an upstream's load and speed.
//!
//! A step of an engine takes `step_base` and `step_slope` for each generation in its batch; a
//! prompt's uncached tokens are computed at `prefill_rate`, one prompt after another. Each
//! upstream's observed speed corrects these figures.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The speed of an engine before any is observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// The time of one decoding step with an empty batch.
    pub step_base: Duration,
    /// The time that each generation in the batch adds to a step.
    pub step_slope: Duration,
    /// Generations that run at once.
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
    /// Seconds of one step with a batch.
    pub fn step(&self, batch: f64) -> f64 {
        self.step_base.as_secs_f64() + self.step_slope.as_secs_f64() * batch
    }

    /// Seconds to compute prompt tokens.
    pub fn prefill(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.prefill_rate.max(1.0)
    }
}

/// The share that a new observation has in a moving average.
const OBSERVATION_SHARE: f64 = 0.2;

/// The bounds of a correction factor.
const FACTOR_MIN: f64 = 0.2;
const FACTOR_MAX: f64 = 5.0;

/// A moving average of observed over expected time.
#[derive(Clone, Copy, Debug)]
pub struct CorrectionFactor(f64);

impl Default for CorrectionFactor {
    fn default() -> Self {
        Self(1.0)
    }
}

impl CorrectionFactor {
    /// The factor.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Takes an observation; nothing changes if nothing was expected.
    pub fn observe(&mut self, observed: f64, expected: f64) {
        if expected <= 0.0 || !observed.is_finite() {
            return;
        }
        let ratio = (observed / expected).clamp(FACTOR_MIN, FACTOR_MAX);
        self.0 += OBSERVATION_SHARE * (ratio - self.0);
    }
}

/// Time after which half of a report's foreign load is taken to have been replaced by the average.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Load at an upstream that other daemons caused, as reports tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct ForeignLoad {
    count: f64,
    average: f64,
    taken: Option<MonotonicInstant>,
}

impl ForeignLoad {
    /// The generations of others expected to be there now.
    pub fn count(&self, now: MonotonicInstant) -> f64 {
        let Some(taken) = self.taken else {
            return 0.0;
        };
        let age = now.since(taken).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        let fresh = (-age).exp2();
        self.count * fresh + self.average * (1.0 - fresh)
    }

    /// When the newest report was taken.
    pub const fn taken(&self) -> Option<MonotonicInstant> {
        self.taken
    }

    /// Takes a report of generations at an instant, of which some are our own. An older report
    /// than the newest is ignored.
    pub fn observe(&mut self, taken: MonotonicInstant, total: u32, own: u32) {
        if self.taken.is_some_and(|newest| newest >= taken) {
            return;
        }
        let first = self.taken.is_none();
        self.count = f64::from(total.saturating_sub(own));
        let share = if first { 1.0 } else { OBSERVATION_SHARE };
        self.average += share * (self.count - self.average);
        self.taken = Some(taken);
    }
}

/// What sending a request to an upstream is expected to lead to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Seconds to the first token.
    pub first_token: f64,
    /// Seconds between two tokens.
    pub token_interval: f64,
    /// Prompt tokens that have to be computed.
    pub uncached: u32,
    /// The price of the engine time that the request adds.
    pub cost: f64,
}

#[cfg(test)]
mod tests;
