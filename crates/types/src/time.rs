//! Points in time and clocks. Decision logic takes the current time as an argument; only the code that
//! does I/O reads a clock.

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
    /// Creates the instant `micros` microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates the instant `millis` milliseconds after the clock's origin.
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

/// A wall-clock time, in milliseconds since 1970 in UTC. The clocks of instances may disagree.
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

/// A source of the current time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The current instant of the monotonic clock.
    fn now(&self) -> MonotonicInstant;

    /// The current wall-clock time.
    fn utc(&self) -> UtcInstant;
}

/// The clock of the process. It follows Tokio's paused time in tests.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: tokio::time::Instant,
    epoch: UtcInstant,
}

impl SystemClock {
    /// Creates a clock whose monotonic origin is the current time.
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
