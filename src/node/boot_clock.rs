//! The clock of an instance that may be suspended: it goes on while the instance stands still.

use nix::time::{ClockId, clock_gettime};
use spindle_types::{Clock, MonotonicInstant, UtcInstant};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The boot clock and the civil time of the system.
#[derive(Clone, Copy, Debug)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> MonotonicInstant {
        // Every Linux since 2.6.39 has the clock; without it nothing could be timed.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot clock");
        MonotonicInstant::default() + Duration::from(time)
    }

    fn utc(&self) -> UtcInstant {
        // A clock before 1970 counts as 1970.
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UtcInstant::default() + since
    }
}
