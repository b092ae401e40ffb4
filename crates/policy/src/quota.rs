//! Quotas of one team, as enforced by one daemon.
//!
//! A quota applies to all daemons together. Each daemon enforces an equal share: the quota divided
//! by the number of live daemons. Generated tokens are charged after the fact, so a team can
//! overdraw its token quota and then waits until the debt is paid off.

use spindle_types::{MonotonicInstant, TeamSpec};
use std::time::Duration;

/// The size of a token bucket, as the time in which its rate fills it.
const BURST_DURATION: Duration = Duration::from_secs(2);

/// A token bucket. The level is negative while a debt is paid off.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    rate: f64,
    level: f64,
    last_refill: MonotonicInstant,
}

impl TokenBucket {
    fn new(now: MonotonicInstant, rate: f64) -> Self {
        Self { rate, level: capacity(rate), last_refill: now }
    }

    fn set_rate(&mut self, now: MonotonicInstant, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(capacity(rate));
    }

    fn refill(&mut self, now: MonotonicInstant) {
        let added = self.rate * now.since(self.last_refill).as_secs_f64();
        self.level = (self.level + added).min(capacity(self.rate));
        self.last_refill = self.last_refill.max(now);
    }

    /// The time until the bucket holds `level` units, if it ever does.
    fn time_until(&self, level: f64) -> Option<Duration> {
        let missing = level - self.level;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        let secs = missing / self.rate;
        Duration::try_from_secs_f64(secs).ok()
    }
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_DURATION.as_secs_f64()).max(1.0)
}

/// Whether the quotas of a team admit a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TeamQuotaDecision {
    /// The request is admitted and has been charged.
    Admitted,
    /// The request does not fit. It may be sent again after the delay, if that is known.
    RetryAfter(Option<Duration>),
}

/// This daemon's share of the quotas of one team.
#[derive(Clone, Debug)]
pub struct TeamQuota {
    requests: Option<TokenBucket>,
    tokens: Option<TokenBucket>,
    /// The most requests that may run at once.
    streams: Option<u32>,
    running: u32,
}

impl TeamQuota {
    /// Creates the quotas of a team without running requests, at one of `daemons` live daemons.
    pub fn new(now: MonotonicInstant, spec: &TeamSpec, daemons: u32) -> Self {
        let mut quota = Self { requests: None, tokens: None, streams: None, running: 0 };
        quota.set_spec(now, spec, daemons);
        quota
    }

    /// Applies a changed specification or number of live daemons. Usage so far stays charged.
    pub fn set_spec(&mut self, now: MonotonicInstant, spec: &TeamSpec, daemons: u32) {
        let daemons = daemons.max(1);
        let share = |quota: u32| f64::from(quota) / f64::from(daemons);
        set_bucket(&mut self.requests, now, spec.request_quota.map(share));
        set_bucket(&mut self.tokens, now, spec.token_quota.map(share));
        self.streams = spec.stream_quota.map(|quota| quota.div_ceil(daemons));
    }

    /// Admits and charges a request if it fits all quotas.
    pub fn on_request(&mut self, now: MonotonicInstant) -> TeamQuotaDecision {
        for bucket in [&mut self.requests, &mut self.tokens].into_iter().flatten() {
            bucket.refill(now);
        }
        if self.streams.is_some_and(|streams| self.running >= streams) {
            return TeamQuotaDecision::RetryAfter(None);
        }
        if let Some(tokens) = &self.tokens
            && tokens.level <= 0.0
        {
            return TeamQuotaDecision::RetryAfter(tokens.time_until(1.0));
        }
        if let Some(requests) = &mut self.requests {
            if requests.level < 1.0 {
                return TeamQuotaDecision::RetryAfter(requests.time_until(1.0));
            }
            requests.level -= 1.0;
        }
        self.running += 1;
        TeamQuotaDecision::Admitted
    }

    /// Charges generated tokens.
    pub fn on_tokens(&mut self, now: MonotonicInstant, count: u32) {
        if let Some(tokens) = &mut self.tokens {
            tokens.refill(now);
            tokens.level -= f64::from(count);
        }
    }

    /// Records that a request has ended.
    pub fn on_end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The number of admitted requests that have not ended.
    pub const fn running(&self) -> u32 {
        self.running
    }
}

fn set_bucket(bucket: &mut Option<TokenBucket>, now: MonotonicInstant, rate: Option<f64>) {
    match (bucket.as_mut(), rate) {
        (Some(bucket), Some(rate)) => bucket.set_rate(now, rate),
        (None, Some(rate)) => *bucket = Some(TokenBucket::new(now, rate)),
        (_, None) => *bucket = None,
    }
}

#[cfg(test)]
mod tests;
