//! Protocols by which two daemons reconcile their rosters (anti-entropy): one request and its reply
//! with each heartbeat, and further rounds while one side asks for more.

mod delta;
mod digest;
mod full;

pub use delta::DeltaPush;
pub use digest::DigestSync;
pub use full::FullPush;

use crate::roster::{Group, Item, Key, MergeOutcome, Roster};
use serde::{Deserialize, Serialize};
use spindle_types::Incarnation;

/// The other side of an exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Partner {
    /// The other daemon's incarnation.
    pub incarnation: Incarnation,
    /// Which items are exchanged with it.
    pub scope: Scope,
}

/// Which items are exchanged with a partner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// All items.
    Near,
    /// All items except dynamic state.
    Far,
}

impl Scope {
    /// Whether an item is exchanged.
    pub const fn includes(self, item: &Item) -> bool {
        matches!(self, Self::Near) || !matches!(item, Item::DynamicState(_))
    }

    /// Whether the digest of a group is compared.
    pub const fn compares(self, group: &Group) -> bool {
        matches!(self, Self::Near) || !matches!(group, Group::DynamicStates)
    }
}

/// One message of an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Packet {
    /// The rosters are equal, or nothing is left to send.
    Same,
    /// Asks a daemon that is not yet known for its whole roster.
    Hello,
    /// The whole roster, for a daemon that asked for it or sent its own.
    Welcome(Vec<Item>),
    /// The whole roster, unasked.
    Full(Vec<Item>),
    /// The items that changed at the sender since the receiver last confirmed.
    Delta {
        /// The digest of the sender's roster.
        root: u64,
        /// The sequence number of the sender's newest change.
        upto: u64,
        /// The sequence number of the receiver's newest change that the sender has merged.
        seen: u64,
        /// The changed items.
        items: Vec<Item>,
    },
    /// The digest of the sender's roster.
    Root(u64),
    /// The digest of each group.
    Groups(Vec<(Group, u64)>),
    /// The digests of all items of the groups that differ.
    Leaves {
        /// The groups that differ.
        groups: Vec<Group>,
        /// The digest of each item in them, by key.
        leaves: Vec<(Key, u64)>,
    },
    /// Items, and the keys of others that the sender lacks.
    Items {
        /// The items that the receiver lacks.
        items: Vec<Item>,
        /// The keys of the items that the sender asks for.
        wanted: Vec<Key>,
    },
}

/// A protocol that reconciles two rosters.
pub trait Exchange: Default {
    /// The request that goes out with a heartbeat.
    fn request(&mut self, roster: &Roster, partner: Partner) -> Packet;

    /// Applies a request and returns the reply.
    fn on_request(&mut self, roster: &mut Roster, partner: Partner, packet: Packet) -> Packet;

    /// Applies a reply and returns the next request if another round is needed.
    fn on_reply(&mut self, roster: &mut Roster, partner: Partner, packet: Packet)
    -> Option<Packet>;

    /// Drops what is stored about a partner.
    fn forget(&mut self, partner: Incarnation);
}

/// The digest of all items in a scope: the XOR of the groups' digests.
pub fn root(roster: &Roster, scope: Scope) -> u64 {
    let groups = roster.digests().iter().filter(|(group, _)| scope.compares(group));
    groups.fold(0, |root, (_, digest)| root ^ digest)
}

fn merge_all(roster: &mut Roster, partner: Partner, items: &[Item]) -> MergeOutcome {
    let mut outcome = MergeOutcome::Unchanged;
    for item in items {
        if roster.merge(item, Some(partner.incarnation)) == MergeOutcome::Changed {
            outcome = MergeOutcome::Changed;
        }
    }
    outcome
}

#[cfg(test)]
mod tests;
