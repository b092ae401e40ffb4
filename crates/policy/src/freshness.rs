//! Whether a daemon may accept new requests, given how recent its configuration is known to be.
//!
//! A daemon is fresh while it reads the log, or is in contact with a peer that knows the newest
//! revision and has nothing newer. If none of its peers can read the log either, the log is down
//! for everyone, and the daemon continues with the newest revision that any of them has. A daemon
//! in contact with neither the log nor a peer is cut off and accepts nothing new. The instants are
//! compared when a request arrives, so a process that was paused finds itself cut off before it
//! serves.

use spindle_types::{MonotonicInstant, Revision};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// The time without contact to the log or a peer after which a daemon counts as cut off.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest age of the knowledge of the log at which a daemon is fresh. Beyond it the log counts
/// as down.
pub const FRESH_MAX_AGE: Duration = Duration::from_secs(15);

/// Whether a daemon may accept new requests, and why.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Freshness {
    /// It has the newest revision, up to the propagation delay of a record.
    Fresh,
    /// The log is down for every daemon in contact; the newest known revision stays in force.
    LogOutage,
    /// It could miss a newer revision, and accepts nothing new.
    CutOff,
}

/// What a peer reports about its contact with the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerContact {
    /// The revision in force at the peer.
    pub revision: Revision,
    /// The time since the peer last knew the newest revision; none if it never did.
    pub age: Option<Duration>,
}

/// When one daemon was last in contact with the log and its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contacts {
    /// When this daemon last knew the newest revision.
    newest_known: Option<MonotonicInstant>,
    /// When it was last in contact with the log or with a peer that has nothing newer.
    last_contact: Option<MonotonicInstant>,
}

impl Contacts {
    /// Records that everything in the log up to `at` has been read.
    pub fn on_log(&mut self, at: MonotonicInstant) {
        self.newest_known = self.newest_known.max(Some(at));
        self.last_contact = self.last_contact.max(Some(at));
    }

    /// Records that a peer answered a request sent at `sent`. `own` is the revision in force here;
    /// a peer with a newer one doesn't count.
    pub fn on_peer(&mut self, sent: MonotonicInstant, own: Revision, contact: PeerContact) {
        if contact.revision > own {
            return;
        }
        self.last_contact = self.last_contact.max(Some(sent));
        if let Some(age) = contact.age {
            self.newest_known = self.newest_known.max(Some(sent - age));
        }
    }

    /// Records that a current instance list shows no other daemon.
    pub fn on_alone(&mut self, at: MonotonicInstant) {
        self.last_contact = self.last_contact.max(Some(at));
    }

    /// The time since this daemon last knew the newest revision; none if it never did.
    pub fn age(&self, now: MonotonicInstant) -> Option<Duration> {
        Some(now.since(self.newest_known?))
    }

    /// Whether new requests may be accepted at `now`.
    pub fn freshness(&self, now: MonotonicInstant) -> Freshness {
        let within = |at: Option<MonotonicInstant>, span: Duration| {
            at.is_some_and(|at| now.since(at) <= span)
        };
        if !within(self.last_contact, CONTACT_TIMEOUT) {
            return Freshness::CutOff;
        }
        if within(self.newest_known, FRESH_MAX_AGE) {
            Freshness::Fresh
        } else {
            Freshness::LogOutage
        }
    }
}

#[cfg(test)]
mod tests;
