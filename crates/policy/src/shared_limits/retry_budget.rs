//! The retry budget of a service, which all daemons share.

use spindle_types::MonotonicInstant;
use std::collections::VecDeque;
use std::time::Duration;

/// The fraction of the allowed retries that is used. The rest covers updates that are under way.
const RETRY_SHARE: f64 = 0.7;

/// The retry budget of a service over all daemons. A retry is any repeated send of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSpec {
    /// Retries permitted for each request.
    pub ratio: f64,
    /// Retries permitted in a window in addition to those.
    pub slack: f64,
    /// The length of the sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// One daemon's share of the retry budget of a service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgetShare {
    requests: VecDeque<MonotonicInstant>,
    retries: VecDeque<MonotonicInstant>,
}

impl RetryBudgetShare {
    /// Records a request for the service.
    pub fn on_request(&mut self, now: MonotonicInstant, limit: &RetryBudgetSpec) {
        expire(&mut self.requests, now, limit.window);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns true if it fits the budget. The slack is divided evenly among
    /// `daemons`.
    pub fn try_take(
        &mut self,
        now: MonotonicInstant,
        limit: &RetryBudgetSpec,
        daemons: u32,
    ) -> bool {
        expire(&mut self.requests, now, limit.window);
        expire(&mut self.retries, now, limit.window);
        let granted = limit.ratio * self.requests.len() as f64;
        let slack = limit.slack / f64::from(daemons.max(1));
        if self.retries.len() as f64 + 1.0 > (granted + slack) * RETRY_SHARE {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<MonotonicInstant>, now: MonotonicInstant, window: Duration) {
    while times.front().is_some_and(|first| now.since(*first) >= window) {
        times.pop_front();
    }
}
