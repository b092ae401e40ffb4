//! Counts of started requests by team and by window of wall-clock time, over all daemons.
//!
//! Each daemon counts its own requests and gossips the counts, so that the counts of a dead daemon
//! are known except for its last moments.

use serde::{Deserialize, Serialize};
use spindle_types::{Team, UtcInstant};
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of windows that a daemon keeps and gossips: the current one, and those whose reports
/// may still be due.
pub const WINDOWS_KEPT: usize = 4;

/// The number of started requests by team.
pub type RequestCounts = BTreeMap<Team, u32>;

/// The requests that were started at one daemon, by window number.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UsageWindows(BTreeMap<u64, RequestCounts>);

/// The number of the window that contains an instant. Windows are numbered from the Unix epoch
/// (1970).
pub fn window_at(utc: UtcInstant, length: Duration) -> u64 {
    utc.0 / millis(length)
}

/// The instant at which a window ends.
pub fn window_end(window: u64, length: Duration) -> UtcInstant {
    UtcInstant((window + 1) * millis(length))
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

impl UsageWindows {
    /// Counts a request that was started, and drops the oldest windows beyond [`WINDOWS_KEPT`].
    pub fn on_request_start(&mut self, utc: UtcInstant, length: Duration, team: &Team) {
        let window = window_at(utc, length);
        let counts = self.0.entry(window).or_default();
        match counts.get_mut(team) {
            Some(count) => *count += 1,
            None => {
                counts.insert(team.clone(), 1);
            }
        }
        while self.0.len() > WINDOWS_KEPT {
            self.0.pop_first();
        }
    }

    /// The counts of all kept windows, by window number.
    pub const fn counts(&self) -> &BTreeMap<u64, RequestCounts> {
        &self.0
    }

    /// The counts of one window.
    pub fn get(&self, window: u64) -> Option<&RequestCounts> {
        self.0.get(&window)
    }
}

/// The sum of one window's counts over several daemons. Every team of `teams` has an entry, 0
/// without requests.
pub fn sum_counts<'a>(
    daemons: impl Iterator<Item = &'a RequestCounts>,
    teams: impl Iterator<Item = &'a Team>,
) -> RequestCounts {
    let mut sum: RequestCounts = teams.map(|team| (team.clone(), 0)).collect();
    for counts in daemons {
        for (team, count) in counts {
            *sum.entry(team.clone()).or_default() += count;
        }
    }
    sum
}

/// The windows whose reports are due, oldest first: those that ended at least `settle` ago, so that
/// the counts have arrived, and at most `late` ago.
pub fn due_windows(
    utc: UtcInstant,
    length: Duration,
    settle: Duration,
    late: Duration,
) -> impl Iterator<Item = u64> {
    let last = window_at(utc, length);
    let oldest = last.saturating_sub(late.as_millis() as u64 / millis(length) + 1);
    (oldest..last).filter(move |window| {
        let age = utc.since(window_end(*window, length));
        age >= settle && age <= late
    })
}

#[cfg(test)]
mod tests;
