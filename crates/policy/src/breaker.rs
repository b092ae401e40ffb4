//! A circuit breaker that stops attempts at an upstream that fails.
//!
//! The breaker is closed until consecutive attempts fail. It then opens for a time that doubles
//! with each failed probe. After that time it is half-open: one probe at a time is permitted, and
//! its outcome closes or reopens the breaker.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The number of consecutive failures that open the breaker.
const FAILURES_MAX: u32 = 2;

/// How long the breaker stays open the first time. Also the timeout of a probe, after which another
/// probe is permitted.
const OPEN_MIN: Duration = Duration::from_secs(1);

/// The longest time that the breaker stays open.
const OPEN_MAX: Duration = Duration::from_secs(30);

/// The state of a circuit breaker, which determines the attempts that are permitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// All attempts are permitted.
    Closed,
    /// One attempt is permitted as a probe.
    HalfOpen,
    /// No attempt is permitted.
    Open {
        /// The time from which a probe is permitted.
        until: MonotonicInstant,
    },
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// The upstream broke off the answer or answered with an error. Several consecutive failures
    /// open the breaker.
    Failed,
    /// No connection could be established. A single failure opens the breaker.
    Unreachable,
}

/// The effect of an attempt's outcome on the breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerTransition {
    /// The breaker neither opened nor closed.
    Unchanged,
    /// The breaker has closed after being open.
    Recovered,
    /// The breaker has opened.
    Opened,
}

/// The circuit breaker of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    /// How often the breaker has opened since the last success.
    trips: u32,
    /// When the breaker opened and when a probe is permitted.
    opened: Option<(MonotonicInstant, MonotonicInstant)>,
    /// When the newest probe started.
    probe: Option<MonotonicInstant>,
}

impl CircuitBreaker {
    /// The state at a time.
    pub fn state_at(&self, now: MonotonicInstant) -> BreakerState {
        let Some((_, until)) = self.opened else {
            return BreakerState::Closed;
        };
        if now < until {
            return BreakerState::Open { until };
        }
        match self.probe {
            Some(started) if now < started + OPEN_MIN => {
                BreakerState::Open { until: started + OPEN_MIN }
            }
            _ => BreakerState::HalfOpen,
        }
    }

    /// Records the start of an attempt, which is a probe if the breaker is not closed.
    pub fn on_attempt(&mut self, now: MonotonicInstant) {
        if self.opened.is_some() {
            self.probe = Some(now);
        }
    }

    /// Records a successful attempt and closes the breaker.
    pub fn on_success(&mut self) -> BreakerTransition {
        let was_open = self.opened.is_some();
        *self = Self::default();
        if was_open { BreakerTransition::Recovered } else { BreakerTransition::Unchanged }
    }

    /// Records the failure of an attempt that started at `started`. Attempts that were in flight
    /// when the breaker opened are ignored, so they don't extend the time that it stays open.
    pub fn on_failure(
        &mut self,
        now: MonotonicInstant,
        started: MonotonicInstant,
        kind: FailureKind,
    ) -> BreakerTransition {
        if self.opened.is_some_and(|(opened, _)| started <= opened) {
            return BreakerTransition::Unchanged;
        }
        self.failures += 1;
        let already_open = self.opened.is_some();
        if !already_open && kind == FailureKind::Failed && self.failures < FAILURES_MAX {
            return BreakerTransition::Unchanged;
        }
        let open_time = OPEN_MIN.saturating_mul(1 << self.trips.min(5)).min(OPEN_MAX);
        self.trips += 1;
        self.probe = None;
        self.opened = Some((now, now + open_time));
        BreakerTransition::Opened
    }
}

#[cfg(test)]
mod tests;
