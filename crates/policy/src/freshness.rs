//! Whether a daemon may take new work, given what it can know of newer configuration.
//!
//! A daemon is fresh while it reads the log, or hears a peer that knows the newest revision and has
//! nothing newer. When no peer that it hears knows the log either, the log is down for all, and the
//! daemon serves on with the newest revision that anybody has. A daemon that hears neither the log
//! nor any peer is cut off and takes nothing new. The instants are compared when a request arrives,
//! so a process that has been paused finds itself cut off before it serves.

use spindle_types::{MonotonicInstant, Revision};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// The time without log and peers after which a daemon counts as cut off.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

/// The age of the newest knowledge of the log from which the log counts as down.
pub const FRESH_MAX: Duration = Duration::from_secs(15);

/// Whether a daemon may take new work.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Freshness {
    /// It knows the newest revision, to within the time that a record takes to arrive.
    Fresh,
    /// The log is down for everybody heard; the newest revision known is in force.
    LogOutage,
    /// It can't know of a newer revision and takes nothing new.
    CutOff,
}

/// What another daemon says of its contact with the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerContact {
    /// The revision in force there.
    pub revision: Revision,
    /// The time since it knew the newest revision; none if it never did.
    pub age: Option<Duration>,
}

/// The contacts of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contacts {
    fresh: Option<MonotonicInstant>,
    contact: Option<MonotonicInstant>,
}

impl Contacts {
    /// Notes that everything in the log up to `at` has been read.
    pub fn on_log(&mut self, at: MonotonicInstant) {
        self.fresh = self.fresh.max(Some(at));
        self.contact = self.contact.max(Some(at));
    }

    /// Notes that a peer answered a request sent at `sent`, given the revision in force here.
    pub fn on_peer(&mut self, sent: MonotonicInstant, own: Revision, contact: PeerContact) {
        if contact.revision > own {
            return;
        }
        self.contact = self.contact.max(Some(sent));
        if let Some(age) = contact.age {
            self.fresh = self.fresh.max(Some(sent - age));
        }
    }

    /// Notes that a current instance list shows no other daemon.
    pub fn on_alone(&mut self, at: MonotonicInstant) {
        self.contact = self.contact.max(Some(at));
    }

    /// The time since this daemon knew the newest revision; none if it never did.
    pub fn age(&self, now: MonotonicInstant) -> Option<Duration> {
        Some(now.since(self.fresh?))
    }

    /// Whether new work may be taken.
    pub fn freshness(&self, now: MonotonicInstant) -> Freshness {
        let within = |at: Option<MonotonicInstant>, span: Duration| {
            at.is_some_and(|at| now.since(at) <= span)
        };
        if !within(self.contact, CONTACT_TIMEOUT) {
            return Freshness::CutOff;
        }
        if within(self.fresh, FRESH_MAX) { Freshness::Fresh } else { Freshness::LogOutage }
    }
}

#[cfg(test)]
mod tests;
