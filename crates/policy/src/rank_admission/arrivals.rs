//! Arrivals of one rank at one daemon, by which the other daemons' older reports are corrected.

use spindle_types::MonotonicInstant;
use std::collections::VecDeque;
use std::time::Duration;

/// The window of the current rate. At 13 requests per second it holds five.
pub(super) const NOW_WINDOW: Duration = Duration::from_millis(400);

/// The window of the rate at the time of the other daemons' reports. Their ages spread over about
/// this time.
const THEN_WINDOW: Duration = Duration::from_millis(1_600);

/// The largest factor by which other daemons' reports are corrected.
const RATIO_MAX: f64 = 4.0;

/// The time that one count covers.
const BUCKET: Duration = Duration::from_millis(50);

/// How long counts are kept: the age of the oldest reports and the window before.
const KEPT: Duration = Duration::from_millis(3_600);

/// The number of standard deviations at which half of a change of the own arrivals counts as a change
/// at all daemons while no queue shows. Smaller changes are mostly chance.
const HALF_TRUST_DEVIATIONS: f64 = 2.0;

/// The number of requests in the earlier window from which on a change is measured as a ratio.
const RATIO_COUNT_MIN: f64 = 4.0;

/// Requests and their work in intervals of [`BUCKET`].
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Start of the interval, number of requests and work in prompt tokens; the newest last.
    buckets: VecDeque<(MonotonicInstant, f64, f64)>,
}

impl Arrivals {
    /// Counts a request.
    pub(super) fn on_request(&mut self, now: MonotonicInstant, work: f64) {
        match self.buckets.back_mut() {
            Some((start, count, sum)) if now.since(*start) < BUCKET => {
                *count += 1.0;
                *sum += work;
            }
            _ => self.buckets.push_back((now, 1.0, work)),
        }
        while self.buckets.front().is_some_and(|(start, ..)| now.since(*start) > KEPT) {
            self.buckets.pop_front();
        }
    }

    /// Work per second in the latest window, in prompt tokens.
    pub(super) fn work_rate(&self, now: MonotonicInstant, window: Duration) -> f64 {
        self.rates(now, window, Duration::ZERO).1
    }

    /// Requests and work per second in the window that ended `ago`.
    pub(super) fn rates(
        &self,
        now: MonotonicInstant,
        window: Duration,
        ago: Duration,
    ) -> (f64, f64) {
        let within = |start: MonotonicInstant| {
            let age = now.since(start);
            age >= ago && age < ago + window
        };
        let found =
            self.buckets.iter().rev().take_while(|(start, ..)| now.since(*start) < ago + window);
        let found = found.filter(|(start, ..)| within(*start));
        let (count, work) =
            found.fold((0.0, 0.0), |sum, (_, count, work)| (sum.0 + count, sum.1 + work));
        (count / window.as_secs_f64(), work / window.as_secs_f64())
    }

    /// The work that the other daemons are offered now, in prompt tokens per second, given what
    /// `peers` of them `reported` and how long ago. A queue confirms that the load has changed.
    pub(super) fn corrected(
        &self,
        now: MonotonicInstant,
        (age, pressure): (Duration, f64),
        reported: f64,
        peers: usize,
    ) -> f64 {
        let (rate_now, work_now) = self.rates(now, NOW_WINDOW, Duration::ZERO);
        let reports_centre = age + NOW_WINDOW / 2;
        let ago = reports_centre.saturating_sub(THEN_WINDOW / 2);
        let (rate_then, _) = self.rates(now, THEN_WINDOW, ago);
        let window_s = NOW_WINDOW.as_secs_f64();
        let (counted, expected) = (rate_now * window_s, rate_then * window_s);
        let deviation = (counted.max(expected) + 1.0).sqrt();
        let deviations = (counted - expected) / deviation;
        let square = deviations * deviations;
        let half_trust = HALF_TRUST_DEVIATIONS / (1.0 + pressure);
        let trust = square / (square + half_trust * half_trust);
        if rate_then * THEN_WINDOW.as_secs_f64() >= RATIO_COUNT_MIN && reported > 0.0 {
            return reported * (1.0 + trust * ((rate_now / rate_then).min(RATIO_MAX) - 1.0));
        }
        let request_work = if rate_now > 0.0 { work_now / rate_now } else { 0.0 };
        let risen = (rate_now - rate_then).max(0.0) * request_work;
        reported + trust * risen * peers as f64
    }
}
