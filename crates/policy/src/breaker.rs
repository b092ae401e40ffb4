//! A circuit breaker that judges an upstream by the outcomes of its attempts.
//!
//! Closed until attempts fail in a row; then open for a time that doubles with each failed probe;
//! then half-open, where one probe at a time decides.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// Failures in a row that open the breaker.
const FAILURES_MAX: u32 = 2;

/// The shortest time open.
const OPEN_MIN: Duration = Duration::from_secs(1);

/// The longest time open.
const OPEN_MAX: Duration = Duration::from_secs(30);

/// What a breaker lets through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// Attempts pass.
    Closed,
    /// One attempt may pass as a probe.
    HalfOpen,
    /// No attempt should pass before the instant.
    Open {
        /// When a probe may pass.
        until: MonotonicInstant,
    },
}

/// How a failure of an attempt weighs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// The upstream broke off or answered with an error.
    Failed,
    /// No connection could be made.
    Unreachable,
}

/// What an outcome did to the breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerTransition {
    /// It stays as it was.
    Unchanged,
    /// It has closed again after being open.
    Recovered,
    /// It has opened.
    Opened,
}

/// The state of one upstream's breaker.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    trips: u32,
    opened: Option<(MonotonicInstant, MonotonicInstant)>,
    probe: Option<MonotonicInstant>,
}

impl CircuitBreaker {
    /// What it lets through now.
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

    /// Notes that an attempt was let through.
    pub fn on_attempt(&mut self, now: MonotonicInstant) {
        if self.opened.is_some() {
            self.probe = Some(now);
        }
    }

    /// Records an attempt that succeeded.
    pub fn on_success(&mut self) -> BreakerTransition {
        let was_open = self.opened.is_some();
        *self = Self::default();
        if was_open { BreakerTransition::Recovered } else { BreakerTransition::Unchanged }
    }

    /// Records a failure of an attempt that started at an instant. Attempts that were in flight
    /// when the breaker opened do not lengthen its time open.
    pub fn on_failure(
        &mut self,
        now: MonotonicInstant,
        started: MonotonicInstant,
        severity: FailureKind,
    ) -> BreakerTransition {
        if self.opened.is_some_and(|(opened, _)| started <= opened) {
            return BreakerTransition::Unchanged;
        }
        self.failures += 1;
        let reopened = self.opened.is_some();
        if !reopened && severity == FailureKind::Failed && self.failures < FAILURES_MAX {
            return BreakerTransition::Unchanged;
        }
        let span = OPEN_MIN.saturating_mul(1 << self.trips.min(5)).min(OPEN_MAX);
        self.trips += 1;
        self.probe = None;
        self.opened = Some((now, now + span));
        BreakerTransition::Opened
    }
}

#[cfg(test)]
mod tests;
