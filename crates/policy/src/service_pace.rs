//! Learns the pace of a service: how much longer or shorter prompt work takes at its engines than
//! the constants of [`crate::upstream_selection`] say.
//!
//! A daemon doesn't know exactly how much work a response took: other daemons' requests may have
//! been queued ahead of it, and their requests may have cached its prefix or evicted it. Each
//! response therefore bounds the pace from above: it took at least the work that remains if the
//! prefix was cached. Some responses also bound it from below: those of engines without a known
//! queue and with a known state of the cache, as few responses were faster. A daemon's own pace is
//! the value nearest to 1 within the bounds. The pace in use is the median over the daemons.

use crate::upstream_registry::UpstreamKey;
use crate::upstream_selection::{Candidate, Prompt};
use serde::{Deserialize, Serialize};
use spindle_types::MonotonicInstant;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How long a response counts.
const WINDOW: Duration = Duration::from_secs(10);

/// The maximum number of responses that are kept. Bounds the time that an update takes.
const SAMPLES_MAX: usize = 200;

/// The number of responses from which a pace has full weight, and is used by other daemons.
const SAMPLES_MIN: u32 = 20;

/// The number of responses that a lower bound needs. With fewer, all of them may have been delayed.
const LOWER_SAMPLES_MIN: usize = 10;

/// The number of daemons that must report a pace before their median is used, so that a single one
/// does not determine it.
const REPORTS_MIN: usize = 3;

/// The number of upstreams from which the one with the fastest responses is left out of the lower
/// bound, so that a single one does not determine it.
const UPSTREAMS_MIN: usize = 3;

/// The smallest and largest pace.
const PACE_RANGE: (f64, f64) = (0.1, 10.0);

/// The fraction of the responses that may be faster than a bound of the pace permits. Under high
/// load only about one response in ten was not delayed by prompts that this daemon does not know of.
const FAST_SHARE: f64 = 0.1;

/// The fraction of the upstreams that may be faster than the pace, if their bounds are near their
/// paces. Below the median, as no bound is lower than the pace of its upstream and some are higher.
const FAST_UPSTREAMS: f64 = 0.4;

/// The number of responses of an upstream of which at least one probably found its prefix cached
/// and no queue, so that the upper bound of the upstream is near its pace.
const UPSTREAM_SAMPLES: f64 = 8.0;

/// The part of a measured time that may be due to the network and to waiting for CPU time in the
/// daemon, in milliseconds.
const OVERHEAD_MS: f64 = 15.0;

/// The work from which a response has full weight, in milliseconds. The overhead is then a small
/// part of it.
const FULL_WEIGHT_MS: f64 = 100.0;

/// The ratio between two paces from which a change is reported.
const REPORTED_RATIO: f64 = 1.1;

/// What is known of the work of a request when its upstream is chosen, by the constants of
/// [`crate::upstream_selection`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedWork {
    /// The prefill time if the shared prefix is cached, in milliseconds.
    least_ms: f64,
    /// The expected time to the first byte, in milliseconds; `None` if there may be a queue, or if
    /// the prefix may be cached without this daemon knowing it.
    expected_ms: Option<f64>,
}

impl ExpectedWork {
    /// The work of a request with this prompt at the chosen upstream.
    pub fn new(chosen: &Candidate, prompt: &Prompt) -> Self {
        let chosen = Candidate { slowdown: 1.0, ..*chosen };
        let is_known = chosen.sent_prefix || prompt.shared_tokens == 0;
        let is_free = chosen.requests < chosen.slots && chosen.queued_prefill_ms <= 0.0;
        let expected_ms = chosen.first_byte_ms(Some(prompt), chosen.sent_prefix);
        Self {
            least_ms: prompt.prefill_ms(true),
            expected_ms: (is_known && is_free)
                .then_some(expected_ms)
                .filter(|expected| *expected > 0.0),
        }
    }
}

/// A bound of the pace and its weight.
type Bound = (f64, f64);

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: MonotonicInstant,
    upstream: UpstreamKey,
    lower: Option<Bound>,
    upper: Bound,
}

/// The pace of a service at one daemon, as it is reported to the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The pace by this daemon's own responses.
    pub pace: f32,
    /// The number of responses that it follows from.
    pub weight: u32,
}

/// The pace of one service.
#[derive(Debug)]
pub struct ServicePace {
    samples: VecDeque<Sample>,
    /// The pace by this daemon's own responses.
    own: f64,
    /// The two middle ones of the other daemons' paces, which are the same for an odd number.
    others: Option<(f64, f64)>,
    /// The pace that was reported last.
    reported: f64,
}

impl Default for ServicePace {
    fn default() -> Self {
        Self { samples: VecDeque::new(), own: 1.0, others: None, reported: 1.0 }
    }
}

impl ServicePace {
    /// Records a response that began `measured` after its upstream was chosen.
    pub fn on_first_byte(
        &mut self,
        now: MonotonicInstant,
        upstream: UpstreamKey,
        work: ExpectedWork,
        measured: Duration,
    ) {
        if work.least_ms <= 0.0 {
            return;
        }
        let measured_ms = measured.as_secs_f64() * 1e3;
        let bound = |time_ms: f64, work_ms: f64| (time_ms / work_ms, work_ms.min(FULL_WEIGHT_MS));
        let lower = |expected_ms| bound((measured_ms - OVERHEAD_MS).max(0.0), expected_ms);
        self.samples.push_back(Sample {
            at: now,
            upstream,
            lower: work.expected_ms.map(lower),
            upper: bound(measured_ms, work.least_ms),
        });
        while self.samples.len() > SAMPLES_MAX
            || self.samples.front().is_some_and(|sample| now.since(sample.at) > WINDOW)
        {
            self.samples.pop_front();
        }
        self.own = self.estimate();
    }

    /// Takes the reports of the other live daemons.
    pub fn on_reports(&mut self, reports: impl Iterator<Item = PaceReport>) {
        let valid = reports.filter(|report| report.weight >= SAMPLES_MIN && report.pace > 0.0);
        let mut paces: Vec<f64> = valid.map(|report| bounded(f64::from(report.pace))).collect();
        paces.sort_by(f64::total_cmp);
        let count = paces.len();
        let is_enough = count >= REPORTS_MIN;
        self.others = is_enough.then(|| (paces[(count - 1) / 2], paces[count / 2]));
    }

    /// The ratio of the time that prompt work takes to the time by the constants, from 0.1 to 10.
    pub fn pace(&self, now: MonotonicInstant) -> f64 {
        let share = f64::from(self.weight(now).min(SAMPLES_MIN)) / f64::from(SAMPLES_MIN);
        let own = self.own.powf(share);
        self.others.map_or(own, |(low, high)| own.clamp(low, high))
    }

    /// What is reported to the other daemons; `None` without recent responses.
    pub fn report(&self, now: MonotonicInstant) -> Option<PaceReport> {
        let weight = self.weight(now);
        (weight > 0).then_some(PaceReport { pace: self.own as f32, weight })
    }

    /// The pace, if it differs from the one that was returned last by a tenth or more.
    pub fn take_change(&mut self, now: MonotonicInstant) -> Option<f64> {
        let pace = self.pace(now);
        let is_changed =
            pace >= self.reported * REPORTED_RATIO || pace <= self.reported / REPORTED_RATIO;
        is_changed.then(|| {
            self.reported = pace;
            pace
        })
    }

    /// The number of responses that count.
    pub fn weight(&self, now: MonotonicInstant) -> u32 {
        let old = self.samples.partition_point(|sample| now.since(sample.at) > WINDOW);
        u32::try_from(self.samples.len() - old).unwrap_or(u32::MAX)
    }

    fn estimate(&self) -> f64 {
        let paces = self.upstream_paces();
        let samples = self.samples.len() as f64 / paces.len().max(1) as f64;
        // With few responses each, most upstreams have only delayed or uncached ones.
        let filled = ((samples - 1.0) / (UPSTREAM_SAMPLES - 1.0)).clamp(0.0, 1.0);
        let share = FAST_SHARE + (FAST_UPSTREAMS - FAST_SHARE) * filled;
        let upper = paces.get((paces.len() as f64 * share) as usize).map_or(1.0, |(_, pace)| *pace);
        let fastest = paces.first().filter(|_| paces.len() >= UPSTREAMS_MIN).map(|(key, _)| *key);
        let counted = self.samples.iter().filter(|sample| Some(sample.upstream) != fastest);
        let lower: Vec<Bound> = counted.filter_map(|sample| sample.lower).collect();
        let lower = (lower.len() >= LOWER_SAMPLES_MIN).then(|| quantile(lower)).flatten();
        bounded(1.0_f64.max(lower.unwrap_or(0.0)).min(upper))
    }

    /// The upper bound of each upstream, in ascending order.
    fn upstream_paces(&self) -> Vec<(UpstreamKey, f64)> {
        let mut bounds: BTreeMap<UpstreamKey, Vec<Bound>> = BTreeMap::new();
        for sample in &self.samples {
            bounds.entry(sample.upstream).or_default().push(sample.upper);
        }
        let paces = bounds.into_iter().filter_map(|(key, bounds)| Some((key, quantile(bounds)?)));
        let mut paces: Vec<_> = paces.collect();
        paces.sort_by(|a, b| a.1.total_cmp(&b.1));
        paces
    }
}

/// The smallest value up to which `FAST_SHARE` of the weight lies.
fn quantile(mut bounds: Vec<Bound>) -> Option<f64> {
    bounds.sort_by(|a, b| a.0.total_cmp(&b.0));
    let total: f64 = bounds.iter().map(|(_, weight)| weight).sum();
    let mut sum = 0.0;
    let found = bounds.iter().find(|(_, weight)| {
        sum += weight;
        sum >= total * FAST_SHARE
    });
    found.map(|(value, _)| *value)
}

fn bounded(pace: f64) -> f64 {
    pace.clamp(PACE_RANGE.0, PACE_RANGE.1)
}

#[cfg(test)]
mod tests;
