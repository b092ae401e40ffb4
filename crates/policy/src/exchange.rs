//! How two daemons bring their rosters together: one request and its reply with each heartbeat,
//! and further rounds while one of them asks for more.

mod delta;
mod digest;
mod full;

pub use delta::DeltaPush;
pub use digest::DigestSync;
pub use full::FullPush;

use crate::roster::{Group, Item, Key, Merged, Roster};
use serde::{Deserialize, Serialize};
use spindle_types::Incarnation;

/// The other side of an exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Partner {
    /// The other daemon.
    pub incarnation: Incarnation,
    /// What is told to it.
    pub scope: Scope,
}

/// What is told to a partner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Everything.
    Near,
    /// Everything but what changes often.
    Far,
}

impl Scope {
    /// Whether an item is told.
    pub const fn includes(self, item: &Item) -> bool {
        matches!(self, Self::Near) || !matches!(item, Item::Pulse(_))
    }

    /// Whether a group is compared.
    pub const fn compares(self, group: &Group) -> bool {
        matches!(self, Self::Near) || !matches!(group, Group::Pulses)
    }
}

/// One message of an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Packet {
    /// Nothing is missing.
    Same,
    /// Asks a daemon that is not known for everything.
    Hello,
    /// Everything, for a daemon that asked.
    Welcome(Vec<Item>),
    /// Everything that the sender holds.
    Full(Vec<Item>),
    /// What has changed at the sender.
    Delta {
        /// A digest of all that the sender holds.
        root: u64,
        /// The number of the sender's newest change.
        upto: u64,
        /// The receiver's newest change that the sender has.
        seen: u64,
        /// The changed items.
        items: Vec<Item>,
    },
    /// The digest of everything.
    Root(u64),
    /// The digests of the groups.
    Groups(Vec<(Group, u64)>),
    /// The digests of the items of some groups.
    Leaves {
        /// The groups.
        groups: Vec<Group>,
        /// The digests.
        leaves: Vec<(Key, u64)>,
    },
    /// Items, and the keys of others that the sender lacks.
    Items {
        /// The items.
        items: Vec<Item>,
        /// The keys asked for.
        wanted: Vec<Key>,
    },
}

/// A way to bring two rosters together.
pub trait Exchange: Default {
    /// The request that goes out with a heartbeat.
    fn request(&mut self, roster: &Roster, partner: Partner) -> Packet;

    /// Answers a request.
    fn on_request(&mut self, roster: &mut Roster, partner: Partner, packet: Packet) -> Packet;

    /// Takes a reply, and gives the next request if another round is needed.
    fn on_reply(&mut self, roster: &mut Roster, partner: Partner, packet: Packet)
    -> Option<Packet>;

    /// Forgets a partner.
    fn forget(&mut self, partner: Incarnation);
}

/// The digest of everything that a partner is told.
pub fn root(roster: &Roster, scope: Scope) -> u64 {
    let groups = roster.digests().iter().filter(|(group, _)| scope.compares(group));
    groups.fold(0, |root, (_, digest)| root ^ digest)
}

fn merge_all(roster: &mut Roster, partner: Partner, items: &[Item]) -> Merged {
    let mut merged = Merged::Known;
    for item in items {
        if roster.merge(item, Some(partner.incarnation)) == Merged::Changed {
            merged = Merged::Changed;
        }
    }
    merged
}

#[cfg(test)]
mod tests;
