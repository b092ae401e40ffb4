//! How much requests queue at the upstreams of a service, from the responses at one daemon.

use super::arrivals::Arrivals;
use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The fraction of the shortest target latency that queueing may take.
const DELAY_SHARE: f64 = 1.0 / 3.0;

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

/// Work that counts in addition to that of each request, in prompt tokens: the part of the latency
/// that does not depend on the prompt.
const FIXED_WORK: f64 = 2_000.0;

/// How much the lowest latency for each unit of work rises per second, so that it follows upstreams
/// that become slower.
const LATENCY_RISE_PER_S: f64 = 0.005;

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
    /// In prompt tokens.
    work: f64,
}

/// Smoothed signs of queueing.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    level: f64,
    /// Smoothed delay of first bytes beyond what the requests' own work needs, in seconds.
    delay_s: f64,
    /// Responses per second, smoothed.
    rate: f64,
    updated_at: Option<MonotonicInstant>,
    /// Lowest latency seen for each unit of work, in seconds, and when it was updated.
    pace: Option<(MonotonicInstant, f64)>,
    /// This daemon's requests that wait for their first byte.
    waiting: Waiting,
    /// Requests whose responses have begun.
    begun: Arrivals,
    /// The acceptable delay, in seconds.
    acceptable_s: f64,
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

    /// Records that a request with `work` waits for its first byte from now on.
    pub(super) fn on_waiting(&mut self, now: MonotonicInstant, work: f64) {
        self.waiting.count += 1.0;
        self.waiting.since_s += seconds(now);
        self.waiting.work += work;
    }

    /// Records that a request that had been waiting since `sent` waits no longer.
    pub(super) fn on_end(&mut self, sent: MonotonicInstant, work: f64) {
        self.waiting.count -= 1.0;
        self.waiting.since_s -= seconds(sent);
        self.waiting.work -= work;
        if self.waiting.count < 0.5 {
            self.waiting = Waiting::default();
        }
    }

    /// Work per second whose responses begin, in prompt tokens.
    pub(super) fn begun_rate(&self, now: MonotonicInstant) -> f64 {
        self.begun.work_rate(now, BEGUN_WINDOW)
    }

    /// Records the time to the first byte of a response to a request with `work`. `target` is the
    /// shortest target latency among the ranks of the service.
    pub(super) fn on_first_byte(
        &mut self,
        now: MonotonicInstant,
        work: f64,
        latency: Duration,
        target: Duration,
    ) {
        self.on_end(now - latency, work);
        self.begun.on_request(now, work);
        let (latency_s, work) = (latency.as_secs_f64(), work + FIXED_WORK);
        let measured = latency_s / work;
        let pace = match self.pace {
            None => measured,
            Some((at, pace)) => {
                let risen = pace * (1.0 + LATENCY_RISE_PER_S * now.since(at).as_secs_f64());
                risen.min(measured)
            }
        };
        self.pace = Some((now, pace));
        let need_s = pace * work;
        self.acceptable_s = (target.as_secs_f64() * DELAY_SHARE).max(1e-3);
        let delay_s = (latency_s - need_s).max(0.0);
        self.add(now, (delay_s / self.acceptable_s).min(LEVEL_MAX), delay_s);
    }

    /// The pressure that waiting requests show by their age, which is on average half of the time
    /// that they will have waited. It rises before any late response has begun.
    fn level_in_flight(&self, now: MonotonicInstant) -> f64 {
        let Waiting { count, since_s, work } = self.waiting;
        let Some((_, pace)) = self.pace.filter(|_| count > 0.5) else { return 0.0 };
        let age_s = seconds(now) - since_s / count;
        let need_s = pace * (work / count + FIXED_WORK);
        let delay_s = (2.0 * age_s - need_s) * count / (count + PRIOR_REQUESTS);
        (delay_s / self.acceptable_s).clamp(0.0, LEVEL_MAX)
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
