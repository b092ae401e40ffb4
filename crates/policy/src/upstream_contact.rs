//! Whether a daemon reaches the upstreams of a service, from what its own connections show.
//!
//! A single failed connection says little: the upstream may be down. Failures at several upstreams
//! with no byte from any of them in between mean that either this daemon is cut off or the whole
//! service is down. The two need not be told apart here: requests go through another daemon if one
//! reaches the service. Silence of an upstream is no failure, only a connection that can't be made.

use crate::upstream_registry::UpstreamKey;
use spindle_types::{MonotonicInstant, Service};
use std::collections::BTreeSet;
use std::time::Duration;

/// The number of upstreams that must have failed since the last contact.
const FAILED_MIN: usize = 2;

/// How long contact must have been lost before other daemons and callers are told. The first test
/// connections have ended by then.
const CONFIRM_TIME: Duration = Duration::from_millis(400);

/// The mean time between two test connections to a service without contact.
const TEST_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum time between two test connections after a first failure.
const RETEST_INTERVAL: Duration = Duration::from_millis(100);

/// The effect of an observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContactChange {
    /// None.
    Unchanged,
    /// No upstream of the service is reached any more.
    Lost,
    /// An upstream of the service has answered again.
    Regained,
}

/// This daemon's contact with the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceContact {
    /// When an upstream was last heard.
    heard_at: Option<MonotonicInstant>,
    /// Upstreams to which a connection has failed since.
    failed: BTreeSet<UpstreamKey>,
    lost_at: Option<MonotonicInstant>,
    tested_at: Option<MonotonicInstant>,
}

impl ServiceContact {
    /// Records that bytes have arrived from an upstream, or that it has accepted a connection.
    pub fn on_heard(&mut self, now: MonotonicInstant) -> ContactChange {
        self.heard_at = Some(now);
        self.failed.clear();
        match self.lost_at.take() {
            Some(_) => ContactChange::Regained,
            None => ContactChange::Unchanged,
        }
    }

    /// Records a failed connection, begun at `started`, to one of `known` upstreams of the service.
    pub fn on_failed(
        &mut self,
        now: MonotonicInstant,
        started: MonotonicInstant,
        upstream: UpstreamKey,
        known: usize,
    ) -> ContactChange {
        if self.heard_at.is_some_and(|heard_at| heard_at >= started) {
            return ContactChange::Unchanged;
        }
        self.failed.insert(upstream);
        if self.lost_at.is_some() || self.failed.len() < FAILED_MIN.min(known) {
            return ContactChange::Unchanged;
        }
        self.lost_at = Some(now);
        ContactChange::Lost
    }

    /// Records a new upstream, which may be reached although the others are not.
    pub const fn on_added(&mut self) {
        self.tested_at = None;
    }

    /// Whether no upstream is reached.
    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether that has lasted long enough to be told to others.
    pub fn is_confirmed(&self, now: MonotonicInstant) -> bool {
        self.lost_at.is_some_and(|lost_at| now.since(lost_at) >= CONFIRM_TIME)
    }

    /// Whether a connection has failed since the last contact.
    pub fn has_failures(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Whether an upstream has been heard since `time`.
    pub fn is_heard_since(&self, time: MonotonicInstant) -> bool {
        self.heard_at.is_some_and(|heard_at| heard_at >= time)
    }

    /// Whether a connection has failed to the upstream since the last contact with any.
    pub fn has_failed(&self, upstream: UpstreamKey) -> bool {
        self.failed.contains(&upstream)
    }

    /// Whether a test connection is due; it counts as begun then. `others_lost` tells whether
    /// another service has no contact, so that the cause may concern this one too. `jitter`, between
    /// 0 and 1, keeps daemons that were cut off together from returning in the same instant.
    pub fn take_test(&mut self, now: MonotonicInstant, others_lost: bool, jitter: f64) -> bool {
        let interval = match (self.is_lost(), self.failed.is_empty()) {
            (true, _) => TEST_INTERVAL.mul_f64(0.5 + jitter),
            (false, false) => RETEST_INTERVAL,
            (false, true) if others_lost && !self.is_heard_since(now - TEST_INTERVAL) => {
                TEST_INTERVAL
            }
            (false, true) => return false,
        };
        let is_due = self.tested_at.is_none_or(|tested_at| now.since(tested_at) >= interval);
        if is_due {
            self.tested_at = Some(now);
        }
        is_due
    }
}

/// Which daemons callers are to be sent to, by the services whose upstreams each has no contact
/// with. A service that no daemon reaches is down and counts for none. If every daemon lacks
/// something that another one reaches, all are suitable.
pub fn in_contact<'a>(lost: impl IntoIterator<Item = &'a BTreeSet<Service>>) -> Vec<bool> {
    let lost: Vec<_> = lost.into_iter().collect();
    let Some(first) = lost.first() else { return Vec::new() };
    let is_down = |service: &&Service| lost.iter().all(|lost| lost.contains(*service));
    let down = first.iter().filter(is_down).count();
    let suitable: Vec<bool> = lost.iter().map(|lost| lost.len() == down).collect();
    if suitable.contains(&true) { suitable } else { vec![true; lost.len()] }
}

#[cfg(test)]
mod tests;
