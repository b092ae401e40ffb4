//! What was spent within a window of time that ends now.

use spindle_types::MonotonicInstant;
use std::collections::VecDeque;
use std::time::Duration;

/// The number of slices of a window, each of which is forgotten as a whole.
const SLICES: u32 = 16;

/// Units spent, by the slice of time in which they were spent, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowSum(VecDeque<(MonotonicInstant, f64)>);

impl WindowSum {
    /// Records units that are spent now.
    pub(super) fn add(&mut self, now: MonotonicInstant, window: Duration, units: f64) {
        self.forget(now, window);
        match self.0.back_mut() {
            Some((start, sum)) if now.since(*start) < window / SLICES => *sum += units,
            _ => self.0.push_back((now, units)),
        }
    }

    /// The units spent within `window`, or up to one slice longer.
    pub(super) fn get(&mut self, now: MonotonicInstant, window: Duration) -> f64 {
        self.forget(now, window);
        self.0.iter().map(|(_, sum)| sum).sum()
    }

    fn forget(&mut self, now: MonotonicInstant, window: Duration) {
        let kept = window + window / SLICES;
        while self.0.front().is_some_and(|(start, _)| now.since(*start) >= kept) {
            self.0.pop_front();
        }
    }
}
