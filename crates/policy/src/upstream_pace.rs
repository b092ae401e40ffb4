//! The pace of an upstream: how long its work takes at this moment, as it reports itself, and how
//! long it takes lastingly, as learnt from its responses. See docs/design/upstream-pace.md.

mod learnt;

pub use learnt::{FirstByte, LearntPace, PeerPace, UpstreamCapacity, median};

use spindle_types::MonotonicInstant;
use std::time::Duration;
use thiserror::Error;

/// Time constant with which the excess of a reported pace over the usual one decays: half of the
/// time for which other work on its machine slows an upstream, some 600 ms.
const PACE_DECAY: Duration = Duration::from_millis(300);

/// The relative change of the pace from which measurements before and after it are kept apart.
const PACE_CHANGE: f64 = 0.2;

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

/// What an upstream has reported of its pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct PaceReports {
    newest: Option<(MonotonicInstant, UpstreamPace)>,
    /// When a report last differed from the one before.
    changed_at: Option<MonotonicInstant>,
}

impl PaceReports {
    /// Records a report.
    pub fn on_report(&mut self, now: MonotonicInstant, pace: UpstreamPace) {
        let before = self.newest.map_or(1.0, |(_, pace)| pace.ratio());
        if (pace.ratio() / before - 1.0).abs() > PACE_CHANGE {
            self.changed_at = Some(now);
        }
        self.newest = Some((now, pace));
    }

    /// The expected ratio of the present to the usual duration of work; 1 without a recent report.
    pub fn ratio(&self, now: MonotonicInstant) -> f64 {
        let Some((at, pace)) = self.newest else { return 1.0 };
        let remaining = (-now.since(at).as_secs_f64() / PACE_DECAY.as_secs_f64()).exp();
        1.0 + (pace.ratio() - 1.0) * remaining
    }

    /// The ratio by which the work of a request was slowed that was sent at `sent_at` and whose
    /// response has just been recorded; `None` if the pace has changed meanwhile.
    pub fn steady_ratio(&self, sent_at: MonotonicInstant) -> Option<f64> {
        let is_steady = self.changed_at.is_none_or(|changed_at| changed_at < sent_at);
        is_steady.then(|| self.newest.map_or(1.0, |(_, pace)| pace.ratio()))
    }
}

impl UpstreamPace {
    /// Ratio of the present to the usual duration of work.
    pub fn ratio(self) -> f64 {
        f64::from(self.percent) / 100.0
    }
}

#[cfg(test)]
mod tests;
