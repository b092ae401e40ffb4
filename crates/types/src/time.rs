//! Instants. Each deciding function takes the present time as an argument; only edges read a clock.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// An instant of a process's monotonic clock, in microseconds since the clock's origin.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonotonicInstant(u64);

impl MonotonicInstant {
    /// The instant `micros` microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The instant `millis` milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the clock's origin.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, or zero if that is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicInstant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for MonotonicInstant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// An instant of civil time, in milliseconds since 1970 in UTC. Clocks of instances may disagree.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct UtcInstant(pub u64);

impl UtcInstant {
    /// The time since `earlier`, or zero if that is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for UtcInstant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for UtcInstant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = UNIX_EPOCH + Duration::from_millis(self.0);
        fmt::Display::fmt(&humantime::format_rfc3339_millis(time), f)
    }
}

/// A source of the present time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The present instant of the monotonic clock.
    fn now(&self) -> MonotonicInstant;

    /// The present civil time.
    fn utc(&self) -> UtcInstant;
}

/// The clock of the running process, which follows the runtime's paused time in tests.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: tokio::time::Instant,
    epoch: UtcInstant,
}

impl SystemClock {
    /// A clock whose monotonic origin is the present.
    pub fn new() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: tokio::time::Instant::now(), epoch: UtcInstant::default() + since }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> MonotonicInstant {
        MonotonicInstant::default() + self.origin.elapsed()
    }

    fn utc(&self) -> UtcInstant {
        self.epoch + self.origin.elapsed()
    }
}
