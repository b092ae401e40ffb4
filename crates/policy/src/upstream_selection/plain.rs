//! Selects the upstream of a plain call by a weighted random draw.
//!
//! All daemons have the same statuses of each other, which are one to two seconds old. If each
//! daemon took the upstream that looks best in them, all calls of that time would go to one
//! upstream. The weight of an upstream therefore depends little on the statuses, and much on what
//! the daemon knows itself: its own requests in flight, its measured response times, and the load
//! that upstreams have just reported in responses.

use super::{Candidate, Criteria, PLAIN_CALL_MS, REMOTE_ROUND_TRIP_MS};
use crate::upstream_pace::UpstreamPace;
use std::time::Duration;

/// How long the load that an upstream has reported in a response is used. Requests of the sizes
/// served start and end within a few of these intervals.
pub const REPORTED_LOAD_MAX_AGE: Duration = Duration::from_millis(250);

/// The time constant with which the excess of a reported pace over the usual one decays. A slow
/// phase of an upstream lasts about twice as long.
const PACE_DECAY: Duration = Duration::from_millis(300);

/// The highest pace that is used, relative to the usual one. The lowest is the usual one: a report
/// of being faster attracts nothing.
const PACE_MAX: f64 = 5.0;

/// The highest number of waiting requests that is used, per slot. A queue is not longer than that.
const WAITING_MAX: f64 = 4.0;

/// Exponent of the duration of work that an upstream reports.
const REPORT_EXPONENT: i32 = 4;

/// Exponent of the response times that this daemon has measured. With a lower one, a single daemon
/// sends more calls to a slow upstream than if it always chose the fastest one.
const SLOWDOWN_EXPONENT: i32 = 12;

/// Exponent of the load that this daemon causes itself.
const OWN_LOAD_EXPONENT: i32 = 6;

/// Range of the weight by what others report, relative to the median of the candidates. It bounds
/// what a false report or status can do.
const REPORTED_RANGE: (f64, f64) = (0.1, 2.0);

/// Range of the weight by measured response times, relative to the median of the candidates. An
/// upstream that fails at once and so responds fast must not attract most calls, nor one whose last
/// responses were fast by chance.
const MEASURED_RANGE: (f64, f64) = (0.001, 1.5);

/// What an upstream has reported last in a response to this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamReport {
    /// The time since the response.
    pub age: Duration,
    /// The number of requests running or waiting there.
    pub requests: u32,
    /// The number of requests waiting there.
    pub waiting: u32,
    /// The number of requests that it processes concurrently, if it says so.
    pub slots: Option<u32>,
    /// How long work takes there, if it says so.
    pub pace: Option<UpstreamPace>,
}

impl UpstreamReport {
    /// Whether the reported load is used.
    pub fn is_fresh(&self) -> bool {
        self.age <= REPORTED_LOAD_MAX_AGE
    }

    /// How much longer than usual a call is expected to take there; 1 is as usual.
    fn delay_factor(&self, registered_slots: u32) -> f64 {
        let excess = self.pace.map_or(0.0, |pace| pace.ratio().clamp(1.0, PACE_MAX) - 1.0);
        let pace = 1.0 + excess * (-self.age.as_secs_f64() / PACE_DECAY.as_secs_f64()).exp();
        let slots = f64::from(self.slots.unwrap_or(registered_slots).max(1));
        let queue = if self.is_fresh() { f64::from(self.waiting) / slots } else { 0.0 };
        pace * (1.0 + queue.min(WAITING_MAX))
    }
}

impl Candidate {
    /// The number of requests at the upstream by fresh data alone.
    fn fresh_requests(&self) -> u32 {
        let reported = self.report.filter(UpstreamReport::is_fresh);
        reported.map_or(0, |report| report.requests).max(self.own_requests)
    }

    /// Whether a call is served in time if so many requests are at the upstream.
    fn serves_in_time(&self, requests: u32, criteria: &Criteria<'_>) -> bool {
        let assumed = Self { requests, ..*self };
        let wait = Duration::from_secs_f64(assumed.first_byte_ms(None, false) / 1e3);
        assumed.load() < criteria.load_limit && wait <= criteria.max_wait
    }

    /// The weight by what the upstream and the other daemons report.
    fn reported_weight(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let delay = self.report.map_or(1.0, |report| report.delay_factor(self.slots));
        // With a higher exponent, daemons with old statuses would move in step from one upstream to
        // the next.
        let peers = 1.0 + f64::from(self.peer_requests) / slots;
        slots / (peers * delay.powi(REPORT_EXPONENT))
    }

    /// The weight by the response times that this daemon has measured.
    fn measured_weight(&self) -> f64 {
        let network = if self.is_local { 0.0 } else { REMOTE_ROUND_TRIP_MS / PLAIN_CALL_MS };
        (self.slowdown * (1.0 + network)).powi(-SLOWDOWN_EXPONENT)
    }

    fn own_weight(&self) -> f64 {
        let own = f64::from(self.own_requests) / f64::from(self.slots.max(1));
        (1.0 + own).powi(-OWN_LOAD_EXPONENT)
    }
}

/// Selects the upstream of a plain call; none if no upstream can serve it in time.
pub(super) fn select<'a>(
    usable: &[&'a Candidate],
    criteria: &Criteria<'_>,
) -> Option<&'a Candidate> {
    if !usable.iter().any(|found| found.serves_in_time(found.requests, criteria)) {
        return None;
    }
    // Only fresh data excludes a single upstream. If old statuses did, all daemons would leave it at
    // the same time and overload the others.
    let usable = usable.iter().copied();
    let fitting: Vec<&Candidate> =
        usable.filter(|found| found.serves_in_time(found.fresh_requests(), criteria)).collect();
    let reported = bounded(&fitting, Candidate::reported_weight, REPORTED_RANGE);
    let measured = bounded(&fitting, Candidate::measured_weight, MEASURED_RANGE);
    let weights: Vec<f64> = (0..fitting.len())
        .map(|index| reported[index] * measured[index] * fitting[index].own_weight())
        .collect();
    let mut left = criteria.draw * weights.iter().sum::<f64>();
    let drawn = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    drawn.map_or_else(|| fitting.last().copied(), |index| Some(fitting[index]))
}

/// The weights of candidates, bounded to a range relative to their median.
fn bounded(
    candidates: &[&Candidate],
    weight: impl Fn(&Candidate) -> f64,
    (low, high): (f64, f64),
) -> Vec<f64> {
    let weights: Vec<f64> = candidates.iter().map(|candidate| weight(candidate)).collect();
    let mut sorted = weights.clone();
    sorted.sort_by(f64::total_cmp);
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
    weights.iter().map(|weight| weight.clamp(low * median, high * median)).collect()
}

#[cfg(test)]
mod tests;
