//! Whether a daemon reaches the upstreams of a service, from what its own connections show.
//!
//! A single failed connection says little: the upstream may be down. Failures at several upstreams
//! with no byte from any of them in between, or at more than half of them, mean that either this
//! daemon is cut off or most of the service is down. The two need not be told apart here: requests
//! go through another daemon if one reaches the service. Silence of an upstream is no failure, only
//! a connection that can't be made.
//!
//! What is cut off is the way to a place, not a service. A service from which nothing has arrived since
//! contact with another one was lost therefore counts as lost too, until a test connection succeeds.
//!
//! Contact is regained when a sample of the upstreams accepts test connections: a daemon that reaches
//! a few of many would overload these.

use crate::upstream_registry::UpstreamKey;
use spindle_types::{MonotonicInstant, Service};
use std::collections::BTreeSet;
use std::time::Duration;

/// The number of upstreams that must have failed since the last contact.
const FAILED_MIN: usize = 2;

/// How long contact must have been lost before other daemons and callers are told. The first test
/// connections have ended by then.
const CONFIRM_TIME: Duration = Duration::from_millis(400);

/// The mean time between two tests of a service without contact, and of upstreams that are not
/// reached.
const TEST_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum time between two test connections after a first failure.
const RETEST_INTERVAL: Duration = Duration::from_millis(100);

/// The number of upstreams that are tested at a time while there is no contact.
const SAMPLE_SIZE: usize = 4;

/// The number of upstreams that are tested at a time while there is contact with others.
const FEW: usize = 2;

/// The effect of an observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContactChange {
    /// None.
    Unchanged,
    /// The service is no longer reached.
    Lost,
    /// Most of its upstreams accept connections again.
    Regained,
}

/// Which upstreams of a service to test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContactTest {
    /// So many of all that may be used.
    Sample(usize),
    /// So many of those to which no connection has failed.
    Others(usize),
    /// So many of those to which the newest connection has failed.
    Failed(usize),
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
    pub fn on_heard(&mut self, now: MonotonicInstant) {
        self.heard_at = Some(now);
        if self.lost_at.is_none() {
            self.failed.clear();
        }
    }

    /// Records that `reached` of the `tested` upstreams of a sample have accepted connections.
    pub fn on_sample(
        &mut self,
        now: MonotonicInstant,
        reached: usize,
        tested: usize,
    ) -> ContactChange {
        if self.lost_at.is_none() || reached == 0 || 2 * reached < tested {
            return ContactChange::Unchanged;
        }
        self.lost_at = None;
        self.on_heard(now);
        ContactChange::Regained
    }

    /// Records a failed connection, begun at `started`, to one of `known` upstreams of the service,
    /// of which the newest connections to `unreached` have failed.
    pub fn on_failed(
        &mut self,
        now: MonotonicInstant,
        started: MonotonicInstant,
        upstream: UpstreamKey,
        (unreached, known): (usize, usize),
    ) -> ContactChange {
        let is_silent = self.heard_at.is_none_or(|heard_at| heard_at < started);
        if is_silent {
            self.failed.insert(upstream);
        }
        let without_contact = self.failed.len() >= FAILED_MIN.min(known);
        let mostly_unreached = unreached >= FAILED_MIN && 2 * unreached > known;
        if self.lost_at.is_some() || !(without_contact || mostly_unreached) {
            return ContactChange::Unchanged;
        }
        self.lost_at = Some(now);
        self.tested_at = None;
        ContactChange::Lost
    }

    /// Records a new upstream, which may be reached although the others are not.
    pub const fn on_added(&mut self) {
        self.tested_at = None;
    }

    /// Whether the service is not reached.
    pub const fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Since when the service has not been reached.
    pub const fn lost_at(&self) -> Option<MonotonicInstant> {
        self.lost_at
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

    /// The test that is due, if any; it counts as begun then. `others_lost` tells whether another
    /// service is not reached, so that the cause may concern this one too. `any_unreached` tells
    /// whether the newest connection to an upstream has failed. `jitter`, between 0 and 1, keeps
    /// daemons that were cut off together from returning in the same instant.
    pub fn take_test(
        &mut self,
        now: MonotonicInstant,
        others_lost: bool,
        any_unreached: bool,
        jitter: f64,
    ) -> Option<ContactTest> {
        let is_quiet = !self.is_heard_since(now - TEST_INTERVAL);
        let jittered = TEST_INTERVAL.mul_f64(0.5 + jitter);
        let (interval, test) = if self.is_lost() {
            (jittered, ContactTest::Sample(SAMPLE_SIZE))
        } else if self.has_failures() {
            (RETEST_INTERVAL, ContactTest::Others(FEW))
        } else if others_lost && is_quiet {
            (TEST_INTERVAL, ContactTest::Others(FEW))
        } else if any_unreached {
            (jittered, ContactTest::Failed(FEW))
        } else {
            return None;
        };
        if self.tested_at.is_some_and(|tested_at| now.since(tested_at) < interval) {
            return None;
        }
        self.tested_at = Some(now);
        Some(test)
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
