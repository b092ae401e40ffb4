//! What is learnt of an upstream from its responses.

use crate::upstream_registry::UpstreamId;
use crate::upstream_selection::PREFILL_TOKENS_PER_MS;
use serde::{Deserialize, Serialize};
use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The factor by which a further response lowers the weight of the earlier ones. The estimate then
/// covers the last twenty.
const SAMPLE_DECAY: f64 = 0.95;

/// The weight of the prior, in responses of the mean weight.
const PRIOR_SAMPLES: f64 = 5.0;

/// The factor by which a response lowers the weight of the prior. It has less than a tenth of the
/// weight after some ten.
const PRIOR_DECAY: f64 = 0.8;

/// The highest weight of a response, in milliseconds of estimated work. It keeps one long prompt from
/// displacing all others.
const WEIGHT_MAX_MS: f64 = 250.0;

/// The time constant with which an estimate without responses returns to the median of its service,
/// so that an upstream that was slow, or found slow by mistake, is used again.
const FORGET_AFTER: Duration = Duration::from_secs(15);

/// The time constant with which the weight of a response falls once there are newer ones. Where few
/// arrive, those of a queue that has passed would count for minutes.
const REPLACE_AFTER: Duration = Duration::from_secs(10);

/// The number of responses from which the own estimate counts without those of other daemons.
const OWN_SAMPLES_MIN: f64 = 12.0;

/// The number of responses from which an estimate is shared and counts for the median. In a large
/// deployment each daemon sends an upstream few requests, and the median of many needs only one each.
const SHARED_SAMPLES_MIN: f64 = 1.0;

/// The highest ratio of measured to estimated work that one response counts with; its reciprocal is
/// the lowest. Beyond, other causes are more likely than a slow upstream.
const RATIO_MAX: f64 = 8.0;

/// The first byte of a response, with what was expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstByte {
    /// Estimated time of the work itself by the prior, in milliseconds.
    pub work_ms: f64,
    /// Estimated time until the first byte by what was learnt, in milliseconds.
    pub expected_ms: f64,
    /// Estimated ratio of the work to the prior at that time.
    pub ratio: f64,
    /// Measured time until the first byte, corrected by the reported pace, in milliseconds.
    pub measured_ms: f64,
}

/// What another daemon has learnt of an upstream, as integers to be small on the wire.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerPace(
    /// Ratio of the duration of work to the prior, in percent.
    pub u16,
    /// Time for which a request stays at the upstream, in milliseconds; 0 if unknown.
    pub u32,
    /// How much was learnt: estimated work of the responses by their weights, in milliseconds.
    pub u16,
);

impl PeerPace {
    /// The medians of what several daemons have learnt: ratio, and time in milliseconds for which a
    /// request stays, if known.
    pub fn medians(told: &[Self]) -> Option<(f64, Option<f64>)> {
        let ratio = |pace: &Self| (f64::from(pace.0.max(1)) / 100.0, f64::from(pace.2.max(1)));
        let holds = told.iter().filter(|pace| pace.1 > 0).map(|pace| f64::from(pace.1)).collect();
        let ratio = weighted_median(told.iter().map(ratio).collect())?;
        Some((ratio, median(holds)))
    }

    /// Whether the other figures differ by more than a tenth, or the weights by a factor of two, so
    /// that they are worth sending.
    pub fn differs(self, other: Self) -> bool {
        let differs = |a: f64, b: f64| (a - b).abs() > 0.1 * a.max(b);
        differs(f64::from(self.0), f64::from(other.0))
            || differs(f64::from(self.1), f64::from(other.1))
            || self.2.max(1) / other.2.max(1) >= 2
            || other.2.max(1) / self.2.max(1) >= 2
    }
}

/// The capacity of an upstream, as learnt.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamCapacity {
    /// The upstream.
    pub id: UpstreamId,
    /// Prompt tokens that it prefills per millisecond.
    pub prefill_speed: f64,
    /// Duration of a plain call to it, if it is idle.
    pub call_time: Duration,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// How long a request stays there.
    pub hold: Duration,
}

/// The estimates for one upstream, relative to the prior.
#[derive(Clone, Copy, Debug, Default)]
pub struct LearntPace {
    /// Sums over the responses, of estimated and of measured work, in milliseconds.
    estimated_ms: f64,
    measured_ms: f64,
    /// Number of responses in these sums, with the same decay.
    count: f64,
    /// Number of responses, which decreases only while there are none.
    samples: f64,
    updated_at: MonotonicInstant,
    /// Mean time that a request stays, in milliseconds, and the number of requests.
    hold: Option<(f64, f64)>,
    /// Median of what other daemons have learnt: ratio and time that a request stays.
    peers: Option<(f64, Option<f64>)>,
}

impl LearntPace {
    /// Records the first byte of a response. It counts less the more of the expected time was wait,
    /// which is known less well than the work, and the later it was than expected: a queue that this
    /// daemon does not know of only adds time, and must not be learnt as slow work.
    pub fn on_first_byte(&mut self, now: MonotonicInstant, first: FirstByte) {
        let FirstByte { work_ms, expected_ms, ratio, measured_ms } = first;
        if !(work_ms > 0.0 && expected_ms > 0.0 && ratio > 0.0 && measured_ms >= 0.0) {
            return;
        }
        let measured = (ratio * measured_ms / expected_ms).clamp(1.0 / RATIO_MAX, RATIO_MAX);
        let work_share = work_ms * ratio / expected_ms;
        let certainty = (work_share * expected_ms / measured_ms.max(1.0)).min(1.0);
        let weight_ms = (work_ms * certainty * certainty).min(WEIGHT_MAX_MS);
        let age = now.since(self.updated_at);
        let kept = SAMPLE_DECAY * (-age.as_secs_f64() / REPLACE_AFTER.as_secs_f64()).exp();
        self.estimated_ms = self.estimated_ms * kept + weight_ms;
        self.measured_ms = self.measured_ms * kept + weight_ms * measured;
        self.count = self.count * kept + 1.0;
        self.samples = self.samples * self.remaining(now) + 1.0;
        self.updated_at = now;
    }

    /// Records how long a request stayed that was answered.
    pub fn on_end(&mut self, held: Duration) {
        let held_ms = held.as_secs_f64() * 1e3;
        let (mean, count) = self.hold.unwrap_or_default();
        let count = (count + 1.0).min(1.0 / (1.0 - SAMPLE_DECAY));
        self.hold = Some((mean + (held_ms - mean) / count, count));
    }

    /// Sets the medians of what other daemons have learnt.
    pub const fn set_peers(&mut self, medians: Option<(f64, Option<f64>)>) {
        self.peers = medians;
    }

    /// The ratio of the duration of work to the prior. `service_median` is that of the service.
    pub fn ratio(&self, now: MonotonicInstant, service_median: f64) -> f64 {
        let remaining = self.remaining(now);
        let samples = self.samples * remaining;
        let peers = self.peers.filter(|_| samples < OWN_SAMPLES_MIN).map(|(ratio, _)| ratio);
        let prior = peers.unwrap_or(service_median);
        if self.estimated_ms <= 0.0 {
            return prior;
        }
        let mean_ms = self.estimated_ms / self.count;
        let prior_ms = mean_ms * PRIOR_SAMPLES * PRIOR_DECAY.powf(samples);
        let measured_ms = prior * prior_ms + self.measured_ms * remaining;
        measured_ms / (prior_ms + self.estimated_ms * remaining)
    }

    /// How long a request stays, in milliseconds. `prior_ms` counts until one was answered.
    pub fn hold_ms(&self, prior_ms: f64) -> f64 {
        let peers = self.peers.and_then(|(_, hold)| hold).unwrap_or(prior_ms);
        let (mean, count) = self.hold.unwrap_or_default();
        let kept = SAMPLE_DECAY.powf(count * count);
        (mean * (1.0 - kept) + peers * kept).max(1.0)
    }

    /// What this daemon has learnt itself; `None` before it had enough responses.
    pub fn own(&self, now: MonotonicInstant) -> Option<PeerPace> {
        let remaining = self.remaining(now);
        if self.samples * remaining < SHARED_SAMPLES_MIN || self.estimated_ms <= 0.0 {
            return None;
        }
        let ratio = self.measured_ms / self.estimated_ms;
        let percent = (ratio * 100.0).round().clamp(1.0, f64::from(u16::MAX)) as u16;
        let hold_ms = self.hold.map_or(0.0, |(mean, _)| mean.round());
        let weight = (self.estimated_ms * remaining).round().min(f64::from(u16::MAX));
        Some(PeerPace(percent, hold_ms as u32, weight as u16))
    }

    /// The ratio for the median of the service, if anything is known.
    pub fn known_ratio(&self, now: MonotonicInstant) -> Option<f64> {
        let is_known = self.samples * self.remaining(now) >= SHARED_SAMPLES_MIN;
        let peers = self.peers.map(|(ratio, _)| ratio);
        let own = (self.estimated_ms > 0.0).then(|| self.measured_ms / self.estimated_ms);
        own.filter(|_| is_known).or(peers)
    }

    /// The capacity that follows from a ratio.
    pub fn prefill_speed(ratio: f64) -> f64 {
        PREFILL_TOKENS_PER_MS / ratio
    }

    fn remaining(&self, now: MonotonicInstant) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / FORGET_AFTER.as_secs_f64()).exp()
    }
}

/// The value at which half of the weight is reached. One daemon that is wrong does not change it much,
/// and those whose responses waited count little.
fn weighted_median(mut values: Vec<(f64, f64)>) -> Option<f64> {
    values.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let mut left = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    for (value, weight) in &values {
        left -= weight;
        if left <= 0.0 {
            return Some(*value);
        }
    }
    None
}

/// The median; the mean of the two in the middle of an even number.
pub fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len() / 2;
    let upper = *values.get(middle)?;
    if values.len() % 2 == 1 { Some(upper) } else { Some(f64::midpoint(values[middle - 1], upper)) }
}
