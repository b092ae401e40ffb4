//! Learns how many prompt tokens per second an engine of a service serves in time.
//!
//! Engines differ between deployments, and neither their slots nor their prompts alone say what they
//! can take. What they have served in time under the load of the last seconds, they can serve again.
//! The estimate starts from a prior that holds for slow engines. It rises beyond the load that was
//! served in time, a little at a time, and falls back while responses are late.

use spindle_types::{Incarnation, MonotonicInstant};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The prior, in prompt tokens per engine and second. An engine that prefills 64 tokens per
/// millisecond is then busy with prompts for two fifths of the time, so that prompts wait little and
/// running streams keep their token interval.
pub const TOKENS_PER_ENGINE: f64 = 26_000.0;

/// The highest capacity that is learnt, as a multiple of the prior. It bounds what false reports of
/// daemons can do.
const CAPACITY_FACTOR_MAX: f64 = 4.0;

/// The time over which load and responses are compared.
const WINDOW: Duration = Duration::from_secs(4);

/// The fraction of late responses up to which the load counts as served in time.
const LATE_SHARE_MAX: f64 = 0.02;

/// The fraction of late responses from which the load counts as too high.
const LATE_SHARE_HIGH: f64 = 0.05;

/// The number of responses in the window below which nothing is learnt: one late response is then more
/// than [`LATE_SHARE_MAX`].
const RESPONSES_MIN: u64 = 50;

/// The load that engines can take, relative to the one that they have served in time.
const HEADROOM: f64 = 1.25;

/// How fast the capacity rises and falls at most, per second.
const RISE_PER_S: f64 = 0.1;
const FALL_PER_S: f64 = 0.2;

/// Responses of a service that have begun since a daemon's start, or those of all daemons.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ResponseCounts {
    /// Requests whose response has begun, and those refused for lack of capacity.
    pub all: u64,
    /// Those that began later than the target of their route, and those refused.
    pub late: u64,
}

impl ResponseCounts {
    /// The sum of two counts.
    pub const fn plus(self, other: Self) -> Self {
        Self { all: self.all.saturating_add(other.all), late: self.late.saturating_add(other.late) }
    }
}

/// The responses of all daemons, whose counts stay when a daemon dies.
#[derive(Debug, Default)]
pub struct ResponseTotals {
    seen: BTreeMap<Incarnation, ResponseCounts>,
    total: ResponseCounts,
}

impl ResponseTotals {
    /// Adds what daemons have counted since the last call, given their counts since their start, and
    /// returns the totals.
    pub fn on_counts(
        &mut self,
        counts: impl Iterator<Item = (Incarnation, ResponseCounts)>,
    ) -> ResponseCounts {
        for (daemon, counted) in counts {
            // Responses before a daemon became known can't be assigned to a time.
            let before = self.seen.insert(daemon, counted).unwrap_or(counted);
            self.total = self.total.plus(ResponseCounts {
                all: counted.all.saturating_sub(before.all),
                late: counted.late.saturating_sub(before.late),
            });
        }
        self.total
    }
}

/// The state of a service at one moment.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: MonotonicInstant,
    /// Prompt tokens per second.
    rate: f64,
    engines: u32,
    responses: ResponseCounts,
}

/// The capacity of one engine of a service.
#[derive(Debug)]
pub struct EngineCapacity {
    tokens_per_s: f64,
    samples: VecDeque<Sample>,
    updated_at: Option<MonotonicInstant>,
}

impl Default for EngineCapacity {
    fn default() -> Self {
        Self { tokens_per_s: TOKENS_PER_ENGINE, samples: VecDeque::new(), updated_at: None }
    }
}

impl EngineCapacity {
    /// Prompt tokens per second that one engine serves in time.
    pub const fn tokens_per_s(&self) -> f64 {
        self.tokens_per_s
    }

    /// Records the arrival rate in prompt tokens per second, the number of engines that serve it, and
    /// the totals of responses.
    pub fn on_load(
        &mut self,
        now: MonotonicInstant,
        rate: f64,
        engines: u32,
        responses: ResponseCounts,
    ) {
        self.samples.push_back(Sample { at: now, rate, engines, responses });
        while self.samples.get(1).is_some_and(|second| now.since(second.at) >= WINDOW) {
            self.samples.pop_front();
        }
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at)).as_secs_f64();
        self.updated_at = Some(now);
        let Some(late_share) = self.late_share(now) else { return };
        let served = self.load_per_engine();
        if late_share <= LATE_SHARE_MAX && served * HEADROOM > self.tokens_per_s {
            let risen = self.tokens_per_s * (1.0 + RISE_PER_S * elapsed.min(1.0));
            self.tokens_per_s = risen.min(served * HEADROOM);
        } else if late_share >= LATE_SHARE_HIGH {
            self.tokens_per_s *= 1.0 - FALL_PER_S * elapsed.min(1.0);
        }
        self.tokens_per_s =
            self.tokens_per_s.clamp(TOKENS_PER_ENGINE, TOKENS_PER_ENGINE * CAPACITY_FACTOR_MAX);
    }

    /// The fraction of late responses in the window, once it is full and has enough of them.
    fn late_share(&self, now: MonotonicInstant) -> Option<f64> {
        let (first, last) = (self.samples.front()?, self.samples.back()?);
        let all = last.responses.all.saturating_sub(first.responses.all);
        let late = last.responses.late.saturating_sub(first.responses.late).min(all);
        let is_full = now.since(first.at) >= WINDOW && all >= RESPONSES_MIN;
        is_full.then(|| late as f64 / all as f64)
    }

    /// The mean load of an engine in the window, in prompt tokens per second.
    fn load_per_engine(&self) -> f64 {
        let rate: f64 = self.samples.iter().map(|sample| sample.rate.max(0.0)).sum();
        let engines: u32 = self.samples.iter().map(|sample| sample.engines).sum();
        let load = rate / f64::from(engines.max(1));
        if load.is_finite() { load } else { 0.0 }
    }
}

#[cfg(test)]
mod tests;
