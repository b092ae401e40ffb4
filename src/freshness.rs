//! Records when this daemon was last in contact with the log and its peers, which determines
//! whether it may accept new requests.

use crate::context::Context;
use spindle_policy::freshness::{Contacts, Freshness, PeerContact};
use spindle_types::{Clock, MonotonicInstant, Revision};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The contacts of one daemon, shared by the tasks that read the log and exchange heartbeats.
#[derive(Clone, Debug, Default)]
pub struct ContactState(Arc<watch::Sender<Contacts>>);

impl ContactState {
    /// Records that everything in the log up to `at` has been read.
    pub fn on_log(&self, at: MonotonicInstant) {
        self.0.send_modify(|contacts| contacts.on_log(at));
    }

    /// Records that a peer answered a request sent at `sent`. `own` is the revision in force here.
    pub fn on_peer(&self, sent: MonotonicInstant, own: Revision, contact: PeerContact) {
        self.0.send_modify(|contacts| contacts.on_peer(sent, own, contact));
    }

    /// Records that a current instance list shows no other daemon.
    pub fn on_alone(&self, at: MonotonicInstant) {
        self.0.send_modify(|contacts| contacts.on_alone(at));
    }

    /// Whether new requests may be accepted.
    pub fn freshness<C: Context>(&self, context: &C) -> Freshness {
        self.0.borrow().freshness(context.clock().now())
    }

    /// The time since this daemon last knew the newest revision; none if it never did.
    pub fn age<C: Context>(&self, context: &C) -> Option<Duration> {
        self.0.borrow().age(context.clock().now())
    }
}
