//! Server-side rate limits: the requests per second that an upstream accepts, summed over all
//! daemons.
//!
//! The limit is known only from responses, of which few come at a low limit, to few daemons. They
//! pass it on to each other, late and in any order. A lower limit therefore holds at once, and the
//! permitted rate rises step by step, so that one wrong or late report does little harm.

use crate::rate_share::{Position, RateShare};
use serde::{Deserialize, Serialize};
use spindle_types::MonotonicInstant;
use std::time::Duration;
use strum::IntoStaticStr;

/// The highest rate that is taken for a limit, in requests per second. No upstream serves as many;
/// a higher number is an error of the upstream.
const RATE_MAX: f64 = 100_000.0;

/// A rate that an upstream can name as its limit, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// A number that is not a valid rate: zero, negative, too high, or NaN.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidRate(pub f64);

impl std::fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} is not between 0 and {RATE_MAX} requests per second", self.0)
    }
}

impl std::error::Error for InvalidRate {}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        if per_second > 0.0 && per_second <= RATE_MAX {
            return Ok(Self(per_second));
        }
        Err(InvalidRate(per_second))
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl RequestRate {
    /// Requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

/// The least rate at which requests are sent to a limited upstream, in requests per second, even if
/// it names less. Only its responses tell when the limit ends.
const RATE_MIN: f64 = 0.1;

/// The rate above which a limit that is being lifted no longer counts, in requests per second.
const RATE_FREE: f64 = 1_000.0;

/// The time in which the permitted rate may double after a limit was lifted, or after a peer has
/// reported a higher one. Within this time responses come that contradict a wrong report.
const DOUBLING_TIME: Duration = Duration::from_secs(1);

/// How much two times of responses may be wrong relative to each other if one of them was received
/// by another daemon: the longest time that an exchange between daemons takes, rounded up.
const TIME_ERROR: Duration = Duration::from_millis(500);

/// The age of the newest response from which the next permitted request goes to the upstream, to
/// learn whether the limit still holds.
const PROBE_AGE: Duration = Duration::from_secs(2);

/// What an upstream said of its limit in one response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The limit; `None` if the response names none.
    pub rate: Option<RequestRate>,
    /// When the upstream said so.
    pub at: MonotonicInstant,
}

/// Who received a response.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ReportSource {
    /// This daemon.
    Answer,
    /// Another daemon.
    Daemon,
}

/// What one daemon knows of the limit of an upstream that has reported one at some time.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimit {
    newest: LimitReport,
    /// The permitted rate at a time, in requests per second. It rises from there to the limit.
    permitted: (MonotonicInstant, f64),
    /// What this daemon may use of the permitted rate.
    share: RateShare,
}

impl UpstreamLimit {
    /// Creates the state from the first report of a limit.
    pub fn new(now: MonotonicInstant, at: MonotonicInstant, rate: RequestRate) -> Self {
        let permitted = rate.per_second().max(RATE_MIN);
        Self {
            newest: LimitReport { rate: Some(rate), at },
            permitted: (now, permitted),
            share: RateShare::new(now, permitted),
        }
    }

    /// The limit that the upstream named last; `None` if it has been lifted.
    pub const fn named(&self) -> Option<RequestRate> {
        self.newest.rate
    }

    /// The time since the upstream last said so.
    pub const fn age(&self, now: MonotonicInstant) -> Duration {
        now.since(self.newest.at)
    }

    /// Applies a report, and returns whether it changed the limit. Reports arrive in any order: a
    /// lower limit takes effect unless it is clearly older, a higher one only if it is clearly
    /// newer.
    pub fn on_report(
        &mut self,
        now: MonotonicInstant,
        report: LimitReport,
        source: ReportSource,
    ) -> bool {
        let at = report.at.min(now);
        let permitted = self.rate(now);
        let (before, after) = (target(self.newest.rate), target(report.rate));
        if after > before {
            if at <= self.newest.at + TIME_ERROR {
                return false;
            }
            // Received from the upstream itself, so it can't be a wrong report of a peer.
            let is_certain = source == ReportSource::Answer && report.rate.is_some();
            self.permitted = (now, if is_certain { after } else { permitted });
        } else {
            if at + TIME_ERROR <= self.newest.at {
                return false;
            }
            self.permitted = (now, permitted.min(after));
            self.share.lower(now, self.permitted.1);
        }
        self.newest = LimitReport { rate: report.rate, at: at.max(self.newest.at) };
        before != after
    }

    /// The requests per second that may be sent now, summed over all daemons; infinite without a
    /// limit.
    pub fn rate(&self, now: MonotonicInstant) -> f64 {
        let (at, permitted) = self.permitted;
        let doublings = now.since(at).as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        let risen = permitted * doublings.exp2();
        let rate = risen.min(target(self.newest.rate));
        if self.newest.rate.is_none() && rate > RATE_FREE { f64::INFINITY } else { rate }
    }

    /// Whether requests are limited now.
    pub fn is_limited(&self, now: MonotonicInstant) -> bool {
        self.rate(now).is_finite()
    }

    /// Sets this daemon's place among those that send to the upstream. To be called several times a
    /// second.
    pub fn set_position(&mut self, now: MonotonicInstant, position: Option<Position>) {
        let rate = self.rate(now);
        if rate.is_finite() {
            self.share.set(now, rate, position);
        }
    }

    /// Whether this daemon may send a request now.
    pub fn is_available(&self, now: MonotonicInstant) -> bool {
        !self.is_limited(now) || self.share.is_available(now)
    }

    /// Counts a request of this daemon. Returns false if it may not be sent now.
    pub fn take(&mut self, now: MonotonicInstant) -> bool {
        !self.is_limited(now) || self.share.take(now)
    }

    /// Takes back the count of a request that was not sent.
    pub fn give_back(&mut self) {
        self.share.give_back();
    }

    /// Whether the next request that may be sent is needed to learn if the limit still holds.
    pub fn needs_probe(&self, now: MonotonicInstant) -> bool {
        self.is_limited(now) && self.age(now) >= PROBE_AGE
    }

    /// The time until a request may be sent, by this daemon or another one.
    pub fn wait(&self, now: MonotonicInstant) -> Duration {
        if self.is_limited(now) { self.share.wait(now) } else { Duration::ZERO }
    }

    /// The requests per second that this daemon may send.
    pub const fn own_rate(&self) -> f64 {
        self.share.own_rate()
    }
}

/// The rate that a limit permits, in requests per second.
fn target(rate: Option<RequestRate>) -> f64 {
    rate.map_or(f64::INFINITY, |rate| rate.per_second().max(RATE_MIN))
}

#[cfg(test)]
mod tests;
