//! Requests that began to run, by team and window of civil time, over all daemons.
//!
//! Each daemon counts its own and tells the others, so what a daemon counted is known after its
//! death but for the last moments.

use serde::{Deserialize, Serialize};
use spindle_types::{Team, UtcInstant};
use std::collections::BTreeMap;
use std::time::Duration;

/// Windows that a daemon tells the others of: the present one, and those whose reports may be due.
pub const WINDOWS_KEPT: usize = 4;

/// Requests by team.
pub type Counts = BTreeMap<Team, u32>;

/// The requests that one daemon saw begin, by number of the window.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Windows(BTreeMap<u64, Counts>);

/// The number of the window that an instant lies in; windows are counted from 1970.
pub fn window_at(utc: UtcInstant, length: Duration) -> u64 {
    utc.0 / millis(length)
}

/// The end of a window.
pub fn window_end(window: u64, length: Duration) -> UtcInstant {
    UtcInstant((window + 1) * millis(length))
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

impl Windows {
    /// Counts a request that began to run.
    pub fn on_began(&mut self, utc: UtcInstant, length: Duration, team: &Team) {
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

    /// All counts, by number of the window.
    pub const fn counts(&self) -> &BTreeMap<u64, Counts> {
        &self.0
    }

    /// The counts of a window.
    pub fn get(&self, window: u64) -> Option<&Counts> {
        self.0.get(&window)
    }
}

/// The sum of a window's counts over several daemons. Teams without a request count as zero.
pub fn total<'a>(
    daemons: impl Iterator<Item = &'a Counts>,
    teams: impl Iterator<Item = &'a Team>,
) -> Counts {
    let mut sum: Counts = teams.map(|team| (team.clone(), 0)).collect();
    for counts in daemons {
        for (team, count) in counts {
            *sum.entry(team.clone()).or_default() += count;
        }
    }
    sum
}

/// The windows that are due to be reported: those that ended `settle` ago or earlier, and after
/// which no more than `late` has passed, oldest first.
pub fn due(
    utc: UtcInstant,
    length: Duration,
    settle: Duration,
    late: Duration,
) -> impl Iterator<Item = u64> {
    let last = window_at(utc, length);
    let oldest = last.saturating_sub(late.as_millis() as u64 / millis(length) + 1);
    (oldest..last).filter(move |window| {
        let since = utc.since(window_end(*window, length));
        since >= settle && since <= late
    })
}

#[cfg(test)]
mod tests;
