//! How much requests queue at the upstreams of a service, from the responses at one daemon.
//!
//! Only the first bytes of the most urgent rank count, against its target latency. How long a request
//! needs by itself is not known: a cached prompt needs a tenth of the time of the same prompt that
//! isn't, and comparing with the fastest ones seen took every calm day for a queue.

use super::Rank;
use super::arrivals::Arrivals;
use spindle_types::MonotonicInstant;
use std::collections::BTreeMap;
use std::time::Duration;

/// The fraction of the target latency from which a first byte counts as delayed by a queue.
const NEED_SHARE: f64 = 0.5;

/// The time constant of the smoothed pressure while responses are frequent.
const SMOOTHING_MIN: Duration = Duration::from_millis(200);

/// The longest time constant of the smoothed pressure.
const SMOOTHING_MAX: Duration = Duration::from_millis(1_500);

/// The number of responses that the smoothed pressure is to cover, so that a single slow upstream
/// does not count as a queue at all of them.
const SAMPLES: f64 = 6.0;

/// The highest pressure that one response shows.
const LEVEL_MAX: f64 = 2.0;

/// The time after which a pressure without any further responses is halved.
const SILENT_HALF_LIFE: Duration = Duration::from_millis(400);

/// The window in which begun responses are counted.
const BEGUN_WINDOW: Duration = Duration::from_millis(800);

/// The number of requests without any delay that count beside those that wait, so that a few slow
/// ones at a daemon with little traffic are no queue.
const PRIOR_REQUESTS: f64 = 3.0;

/// Sums over requests that wait for their first byte.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    count: f64,
    /// When they were sent, in seconds since the clock's origin.
    since_s: f64,
}

/// Smoothed signs of queueing.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    level: f64,
    /// Smoothed delay of first bytes beyond [`NEED_SHARE`] of the target, in seconds.
    delay_s: f64,
    /// Responses per second, smoothed.
    rate: f64,
    updated_at: Option<MonotonicInstant>,
    /// This daemon's requests that wait for their first byte.
    waiting: BTreeMap<Rank, Waiting>,
    /// Requests whose responses have begun.
    begun: Arrivals,
    /// The shortest target latency, in seconds.
    target_s: f64,
}

impl Pressure {
    /// Records the queue that an upstream reports.
    pub(super) fn on_queue(
        &mut self,
        now: MonotonicInstant,
        waiting: u32,
        slots: u32,
        refused: bool,
    ) {
        if refused {
            self.add(now, LEVEL_MAX, self.delay_s);
        } else if waiting > 0 {
            let filled = f64::from(waiting) / f64::from(slots.max(1));
            self.add(now, (1.0 + filled).min(LEVEL_MAX), self.delay_s);
        }
    }

    /// Records that a request waits for its first byte from now on.
    pub(super) fn on_waiting(&mut self, now: MonotonicInstant, rank: Rank) {
        let waiting = self.waiting.entry(rank).or_default();
        waiting.count += 1.0;
        waiting.since_s += seconds(now);
    }

    /// Records that a request that had been waiting since `sent` waits no longer.
    pub(super) fn on_end(&mut self, sent: MonotonicInstant, rank: Rank) {
        let waiting = self.waiting.entry(rank).or_default();
        waiting.count -= 1.0;
        waiting.since_s -= seconds(sent);
        if waiting.count < 0.5 {
            *waiting = Waiting::default();
        }
    }

    /// Work per second whose responses begin, in prompt tokens.
    pub(super) fn begun_rate(&self, now: MonotonicInstant) -> f64 {
        self.begun.work_rate(now, BEGUN_WINDOW)
    }

    /// Records the time to the first byte of a response to a request with `work`. `target` is the
    /// shortest target latency among the ranks of the service, `is_first` whether no rank is more
    /// urgent.
    pub(super) fn on_first_byte(
        &mut self,
        now: MonotonicInstant,
        (rank, is_first): (Rank, bool),
        (work, latency): (f64, Duration),
        target: Duration,
    ) {
        self.on_end(now - latency, rank);
        self.begun.on_request(now, work);
        self.target_s = target.as_secs_f64().max(1e-3);
        if is_first {
            let delay_s = (latency.as_secs_f64() - self.target_s * NEED_SHARE).max(0.0);
            self.add(now, self.level_of(delay_s), delay_s);
        }
    }

    /// The pressure that a delay shows: 1 at the target latency.
    fn level_of(&self, delay_s: f64) -> f64 {
        (delay_s / (self.target_s * (1.0 - NEED_SHARE))).clamp(0.0, LEVEL_MAX)
    }

    /// The pressure that waiting requests of the most urgent rank show by their age, which is on
    /// average half of the time that they will have waited. It rises before any late response has
    /// begun.
    fn level_in_flight(&self, now: MonotonicInstant) -> f64 {
        let Some(Waiting { count, since_s }) = self.waiting.values().next() else { return 0.0 };
        if *count < 0.5 || self.target_s <= 0.0 {
            return 0.0;
        }
        let age_s = seconds(now) - since_s / count;
        let delay_s = 2.0 * age_s - self.target_s * NEED_SHARE;
        self.level_of(delay_s * count / (count + PRIOR_REQUESTS))
    }

    /// The smoothed pressure; 1 is a queue as long as is acceptable.
    pub(super) fn level(&self, now: MonotonicInstant) -> f64 {
        (self.level * self.remaining(now)).max(self.level_in_flight(now))
    }

    /// The smoothed delay by queueing.
    pub(super) fn delay(&self, now: MonotonicInstant) -> Duration {
        Duration::from_secs_f64(self.delay_s * self.remaining(now))
    }

    /// The part of the pressure that is left without responses.
    fn remaining(&self, now: MonotonicInstant) -> f64 {
        let Some(at) = self.updated_at else { return 1.0 };
        let silent = now.since(at).saturating_sub(self.smoothing());
        0.5_f64.powf(silent.as_secs_f64() / SILENT_HALF_LIFE.as_secs_f64())
    }

    fn smoothing(&self) -> Duration {
        let wanted_s = SAMPLES / self.rate.max(1.0);
        let wanted_s = wanted_s.clamp(SMOOTHING_MIN.as_secs_f64(), SMOOTHING_MAX.as_secs_f64());
        Duration::from_secs_f64(wanted_s)
    }

    fn add(&mut self, now: MonotonicInstant, level: f64, delay_s: f64) {
        let (before, before_s) = (self.level * self.remaining(now), self.delay(now).as_secs_f64());
        let elapsed_s = self.updated_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        let kept = (-elapsed_s / SMOOTHING_MAX.as_secs_f64()).exp();
        self.rate = self.rate * kept + 1.0 / SMOOTHING_MAX.as_secs_f64();
        self.updated_at = Some(now);
        let smoothing_s = self.smoothing().as_secs_f64();
        // Each response counts as much as its share of those within the time constant.
        let weight = (1.0 / (self.rate * smoothing_s).max(SAMPLES / 2.0)).min(1.0);
        self.level = before + (level - before) * weight;
        self.delay_s = before_s + (delay_s - before_s) * weight;
    }
}

fn seconds(instant: MonotonicInstant) -> f64 {
    instant.since(MonotonicInstant::default()).as_secs_f64()
}
