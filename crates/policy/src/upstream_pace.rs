//! The pace of an upstream: how long its work takes at this moment, as it reports itself.

use thiserror::Error;

/// The highest pace that is told apart, in percent of the usual duration. One that is higher counts
/// as this.
const PACE_PERCENT_MAX: u32 = 10_000;

/// How long work takes at an upstream at this moment, relative to its usual duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamPace {
    /// 100 is the usual duration, 250 is 2.5 times as long.
    percent: u32,
}

/// Why a number is no pace.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum PaceError {
    /// Work can't take no time.
    #[error("a pace is above 0")]
    Zero,
}

impl TryFrom<u32> for UpstreamPace {
    type Error = PaceError;

    fn try_from(percent: u32) -> Result<Self, PaceError> {
        if percent == 0 {
            return Err(PaceError::Zero);
        }
        Ok(Self { percent: percent.min(PACE_PERCENT_MAX) })
    }
}

impl UpstreamPace {
    /// Ratio of the present to the usual duration of work.
    pub fn ratio(self) -> f64 {
        f64::from(self.percent) / 100.0
    }
}
