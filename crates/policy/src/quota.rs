//! Quotas of one team at one daemon.
//!
//! A quota holds across all daemons; each enforces its share, the quota divided by the number of
//! live daemons. Tokens are charged when they have been generated, so a team that has overdrawn
//! waits until the debt is paid off.

use spindle_types::{MonotonicInstant, TeamSpec};
use std::time::Duration;

/// The burst that a rate allows, as the time in which the rate fills it.
const BURST: Duration = Duration::from_secs(2);

/// A rate with a burst.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    filled: MonotonicInstant,
}

impl Bucket {
    fn new(now: MonotonicInstant, rate: f64) -> Self {
        Self { rate, level: burst(rate), filled: now }
    }

    fn set_rate(&mut self, now: MonotonicInstant, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(burst(rate));
    }

    fn fill(&mut self, now: MonotonicInstant) {
        let new = self.rate * now.since(self.filled).as_secs_f64();
        self.level = (self.level + new).min(burst(self.rate));
        self.filled = self.filled.max(now);
    }

    /// The time until the level reaches `level`, if it ever does.
    fn wait(&self, level: f64) -> Option<Duration> {
        let missing = level - self.level;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        let secs = missing / self.rate;
        Duration::try_from_secs_f64(secs).ok()
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}

/// What a quota says of one more request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Allowed {
    /// It fits.
    Yes,
    /// It does not fit before the delay, if that is known.
    After(Option<Duration>),
}

/// The quotas of one team at this daemon.
#[derive(Clone, Debug)]
pub struct Quota {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    streams: Option<u32>,
    running: u32,
}

impl Quota {
    /// The quotas of a team that has run nothing yet, at one of `daemons` live daemons.
    pub fn new(now: MonotonicInstant, spec: &TeamSpec, daemons: u32) -> Self {
        let mut quota = Self { requests: None, tokens: None, streams: None, running: 0 };
        quota.set(now, spec, daemons);
        quota
    }

    /// Takes over a changed specification or number of live daemons; what is used stays used.
    pub fn set(&mut self, now: MonotonicInstant, spec: &TeamSpec, daemons: u32) {
        let daemons = daemons.max(1);
        let share = |quota: u32| f64::from(quota) / f64::from(daemons);
        set_bucket(&mut self.requests, now, spec.request_quota.map(share));
        set_bucket(&mut self.tokens, now, spec.token_quota.map(share));
        self.streams = spec.stream_quota.map(|quota| quota.div_ceil(daemons));
    }

    /// Asks for one more request, and charges it if it fits.
    pub fn on_request(&mut self, now: MonotonicInstant) -> Allowed {
        for bucket in [&mut self.requests, &mut self.tokens].into_iter().flatten() {
            bucket.fill(now);
        }
        if self.streams.is_some_and(|streams| self.running >= streams) {
            return Allowed::After(None);
        }
        if let Some(tokens) = &self.tokens
            && tokens.level <= 0.0
        {
            return Allowed::After(tokens.wait(1.0));
        }
        if let Some(requests) = &mut self.requests {
            if requests.level < 1.0 {
                return Allowed::After(requests.wait(1.0));
            }
            requests.level -= 1.0;
        }
        self.running += 1;
        Allowed::Yes
    }

    /// Charges tokens that were generated.
    pub fn on_tokens(&mut self, now: MonotonicInstant, count: u32) {
        if let Some(tokens) = &mut self.tokens {
            tokens.fill(now);
            tokens.level -= f64::from(count);
        }
    }

    /// Records that a request has ended.
    pub fn on_end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Requests that have been let in and have not ended.
    pub const fn running(&self) -> u32 {
        self.running
    }
}

fn set_bucket(bucket: &mut Option<Bucket>, now: MonotonicInstant, rate: Option<f64>) {
    match (bucket.as_mut(), rate) {
        (Some(bucket), Some(rate)) => bucket.set_rate(now, rate),
        (None, Some(rate)) => *bucket = Some(Bucket::new(now, rate)),
        (_, None) => *bucket = None,
    }
}

#[cfg(test)]
mod tests;
