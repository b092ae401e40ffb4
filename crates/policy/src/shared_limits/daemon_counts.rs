//! The number of daemons among which limits are divided, as one daemon knows it.

use crate::presence::FORGET_AFTER;
use std::time::Duration;

/// How long after its start a daemon may not know most of the others yet. A keeper of that time takes
/// the quota over from no other.
pub(super) const START_TIME: Duration = Duration::from_secs(3);

/// The number of daemons that one assumes that has just started and could not read from the store how
/// many there are: the most that the system is designed for.
pub(super) const START_DAEMONS: u32 = 400;

/// How many of the running daemons this daemon receives gossip from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonVisibility {
    /// Daemons heard recently, including this one.
    pub visible: u32,
    /// Daemons that may be running, including this one.
    pub known: u32,
}

impl DaemonVisibility {
    /// The fraction of the quota that the daemons heard may use together.
    pub(super) fn fraction(self) -> f64 {
        f64::from(self.visible.max(1)) / f64::from(self.known.max(self.visible).max(1))
    }
}

/// The daemons that the settings list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SeedCounts {
    /// Their number, including this daemon if it is listed.
    pub listed: u32,
    /// Those of them that are heard, including this daemon if it is listed.
    pub heard: u32,
}

/// What a daemon knows of the number of daemons. All counts but `seeds` include itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonCounts {
    /// For how long this daemon has run.
    pub uptime: Duration,
    /// For how long that one has run which has run for longest, of those heard and this one.
    pub oldest: Duration,
    /// Daemons heard recently.
    pub heard: u32,
    /// Daemons heard within [`FORGET_AFTER`].
    pub remembered: u32,
    /// `remembered` and those that the store lists; `None` if it has not been read.
    pub listed: Option<u32>,
    /// The daemons that the settings list.
    pub seeds: SeedCounts,
}

impl DaemonCounts {
    /// The daemons among which quotas are divided.
    ///
    /// Until [`FORGET_AFTER`] after its start, a daemon may have been cut off from others before it
    /// heard of them. It then relies on the store, or on a daemon that has been running for longer.
    /// Without these, its side of a cut gets the fraction of the seeds that it hears: if all daemons
    /// have the same seeds, the fractions of all sides add up to no more than one.
    pub fn quota_visibility(&self) -> DaemonVisibility {
        let known = match self.listed {
            Some(listed) if self.uptime < FORGET_AFTER => listed,
            None if self.uptime < START_TIME => START_DAEMONS,
            None if self.oldest < FORGET_AFTER => self.known_by_seeds(),
            _ => self.remembered,
        };
        DaemonVisibility { visible: self.heard, known: known.max(self.remembered) }
    }

    /// The daemons among which the slack of a retry budget is divided. `running` are those that may
    /// be running by what this daemon has heard. Only the first [`START_TIME`] is special: unlike a
    /// quota, the slack is then divided among those heard within a few seconds.
    pub fn retry_visibility(&self, running: u32) -> DaemonVisibility {
        let known = match self.listed {
            _ if self.uptime >= START_TIME => running,
            Some(listed) => listed,
            // A daemon that has been running for long tells of all others with its first message.
            None if self.oldest >= FORGET_AFTER => running,
            None => START_DAEMONS,
        };
        DaemonVisibility { visible: self.heard, known: known.max(running) }
    }

    /// The number of daemons of which those heard are the same fraction as the seeds heard are of all
    /// seeds. A side without any seed has next to nothing, because another one may have the whole.
    fn known_by_seeds(&self) -> u32 {
        let SeedCounts { listed, heard } = self.seeds;
        if listed == 0 {
            return START_DAEMONS;
        }
        if heard == 0 {
            return u32::MAX;
        }
        let known = u64::from(self.heard) * u64::from(listed.max(heard));
        u32::try_from(known.div_ceil(u64::from(heard))).unwrap_or(u32::MAX)
    }
}

/// Whether a daemon that has run for `uptime` is known to all others, or all have started lately, of
/// which the `oldest` has run for longest.
pub fn may_keep_quotas(uptime: Duration, oldest: Duration) -> bool {
    uptime >= START_TIME || oldest.saturating_sub(uptime) < START_TIME
}
