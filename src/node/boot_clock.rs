//! A clock that keeps advancing while the instance is suspended.

use nix::time::{ClockId, clock_gettime};
use spindle_types::{Clock, MonotonicInstant, UtcInstant};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Monotonic time from `CLOCK_BOOTTIME` and wall-clock time from the system clock.
#[derive(Clone, Copy, Debug)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> MonotonicInstant {
        // Linux has had this clock since 2.6.39; the daemon can't run without it.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot clock");
        MonotonicInstant::default() + Duration::from(time)
    }

    fn utc(&self) -> UtcInstant {
        // A system clock before 1970 is treated as 1970.
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UtcInstant::default() + since_epoch
    }
}
