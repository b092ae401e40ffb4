//! The state that daemons gossip, as a set of items that merge in any order.
//!
//! Each item has a key and an order of its own; merging keeps the newer of two items with the same
//! key. Daemons that have received the same items therefore hold the same roster, whatever the
//! order and however often they received them.

use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Incarnation, Instance, Revision, UtcInstant};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use strum::{Display, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_64;

/// The health of a daemon as far as the other daemons know.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It answers heartbeats.
    Live,
    /// It has missed heartbeats, and may still refute the suspicion.
    Suspect,
    /// It has not refuted a suspicion in time.
    Down,
}

/// One incarnation of a daemon: its identity, addresses and health.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "DaemonRecordWire", into = "DaemonRecordWire")]
pub struct DaemonRecord {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The instance that it runs on.
    pub instance: Instance,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for other daemons.
    pub peer: SocketAddr,
    /// Raised by the daemon itself to refute a suspicion.
    pub version: u32,
    /// Its health at that version.
    pub health: Health,
    /// Whether it accepts no new requests. Final once set.
    pub leaving: bool,
}

/// The wire form: a tuple, without field names.
type DaemonRecordWire =
    (Incarnation, Instance, DataCentre, SocketAddr, SocketAddr, u32, Health, bool);

impl From<DaemonRecord> for DaemonRecordWire {
    fn from(r: DaemonRecord) -> Self {
        let DaemonRecord {
            incarnation,
            instance,
            data_centre,
            caller,
            peer,
            version,
            health,
            leaving,
        } = r;
        (incarnation, instance, data_centre, caller, peer, version, health, leaving)
    }
}

impl From<DaemonRecordWire> for DaemonRecord {
    fn from(wire: DaemonRecordWire) -> Self {
        let (incarnation, instance, data_centre, caller, peer, version, health, leaving) = wire;
        Self { incarnation, instance, data_centre, caller, peer, version, health, leaving }
    }
}

/// The part of a daemon's state that changes often. It is gossiped within the data centre only,
/// except in small deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "DynamicStateWire", into = "DynamicStateWire")]
pub struct DynamicState {
    /// The daemon's incarnation.
    pub incarnation: Incarnation,
    /// Raised by the daemon with each change.
    pub version: u32,
    /// The configuration revision in force at the daemon.
    pub revision: Revision,
    /// The number of requests in flight at the daemon.
    pub load: u32,
}

/// The wire form: a tuple, without field names.
type DynamicStateWire = (Incarnation, u32, Revision, u32);

impl From<DynamicState> for DynamicStateWire {
    fn from(DynamicState { incarnation, version, revision, load }: DynamicState) -> Self {
        (incarnation, version, revision, load)
    }
}

impl From<DynamicStateWire> for DynamicState {
    fn from((incarnation, version, revision, load): DynamicStateWire) -> Self {
        Self { incarnation, version, revision, load }
    }
}

/// The lowest revision in force at the live daemons of a data centre, for other data centres.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre that is summarised.
    pub data_centre: DataCentre,
    /// Raised with each change.
    pub version: u32,
    /// The daemon that wrote the summary; the higher one wins between equal versions.
    pub author: Incarnation,
    /// The lowest revision in force.
    pub revision: Revision,
    /// The number of live daemons that it covers.
    pub members: u32,
}

/// Marks an instance as leaving: it accepts no new requests, for good.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The leaving instance.
    pub instance: Instance,
    /// When it was marked, by the wall clock of the daemon that marked it.
    pub at: UtcInstant,
}

/// The unit of gossip.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// An incarnation of a daemon.
    Record(DaemonRecord),
    /// The dynamic state of a daemon.
    #[serde(rename = "pulse")]
    DynamicState(DynamicState),
    /// The summary of a data centre.
    Summary(Summary),
    /// A leaving mark.
    Mark(LeavingMark),
}

/// Identifies an item; two items with the same key are merged.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
    /// A daemon's record, by incarnation.
    Record(Incarnation),
    /// A daemon's dynamic state, by incarnation.
    #[serde(rename = "pulse")]
    DynamicState(Incarnation),
    /// A summary, by data centre.
    Summary(DataCentre),
    /// A leaving mark, by instance.
    Mark(Instance),
}

/// Items that share one digest when rosters are compared.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// The daemon records of a data centre.
    DataCentre(DataCentre),
    /// All summaries and leaving marks.
    Shared,
    /// The dynamic states that the sender holds.
    #[serde(rename = "pulses")]
    DynamicStates,
}

impl Item {
    /// The item's key.
    pub fn key(&self) -> Key {
        match self {
            Self::Record(record) => Key::Record(record.incarnation),
            Self::DynamicState(state) => Key::DynamicState(state.incarnation),
            Self::Summary(summary) => Key::Summary(summary.data_centre.clone()),
            Self::Mark(mark) => Key::Mark(mark.instance.clone()),
        }
    }

    /// The group whose digest includes the item.
    pub fn group(&self) -> Group {
        match self {
            Self::Record(record) => Group::DataCentre(record.data_centre.clone()),
            Self::Summary(_) | Self::Mark(_) => Group::Shared,
            Self::DynamicState(_) => Group::DynamicStates,
        }
    }

    /// A hash of the key and of the version that merging compares.
    pub fn digest(&self) -> u64 {
        let (kind, id, order) = match self {
            Self::Record(r) => {
                let flags =
                    u64::from(r.version) << 8 | (r.health as u64) << 1 | u64::from(r.leaving);
                (0, r.incarnation.0, flags)
            }
            Self::DynamicState(state) => (1, state.incarnation.0, u64::from(state.version)),
            Self::Summary(s) => {
                (2, xxh3_64(s.data_centre.as_str().as_bytes()) ^ s.author.0, u64::from(s.version))
            }
            Self::Mark(mark) => (3, xxh3_64(mark.instance.as_str().as_bytes()), mark.at.0),
        };
        let mut bytes = [0; 17];
        bytes[0] = kind;
        bytes[1..9].copy_from_slice(&id.to_le_bytes());
        bytes[9..].copy_from_slice(&order.to_le_bytes());
        xxh3_64(&bytes)
    }

    /// Merges two items with the same key.
    fn merge(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Record(a), Self::Record(b)) => {
                let newer = if (b.version, b.health) > (a.version, a.health) { b } else { a };
                let leaving = a.leaving || b.leaving;
                Self::Record(DaemonRecord { leaving, ..newer.clone() })
            }
            (Self::DynamicState(a), Self::DynamicState(b)) => {
                Self::DynamicState(if b.version > a.version { *b } else { *a })
            }
            (Self::Summary(a), Self::Summary(b)) => {
                let newer = (b.version, b.author) > (a.version, a.author);
                Self::Summary(if newer { b.clone() } else { a.clone() })
            }
            // Keeps the earlier of two marks. Otherwise a repeated mark would never expire.
            (Self::Mark(a), Self::Mark(b)) if b.at < a.at => Self::Mark(b.clone()),
            _ => self.clone(),
        }
    }
}

/// The effect of merging an item into a roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The roster changed.
    Changed,
    /// The roster already held the item or a newer one.
    Unchanged,
}

#[derive(Clone, Debug)]
struct Slot {
    item: Item,
    /// The roster's sequence number at the item's last change.
    sequence: u64,
    /// The daemon that the item was received from, to which it need not be sent.
    source: Option<Incarnation>,
}

/// The items that a daemon holds, indexed by key and by order of change.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    slots: BTreeMap<Key, Slot>,
    changes: BTreeMap<u64, Key>,
    digests: BTreeMap<Group, u64>,
    sequence: u64,
}

impl Roster {
    /// An empty roster.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges an item that was received from `source`, or that this daemon made.
    pub fn merge(&mut self, item: &Item, source: Option<Incarnation>) -> MergeOutcome {
        let key = item.key();
        let Some(slot) = self.slots.get(&key) else {
            let down = matches!(item, Item::Record(record) if record.health == Health::Down);
            // A daemon that is down and was forgotten here must not come back through gossip.
            if down && source.is_some() {
                return MergeOutcome::Unchanged;
            }
            self.put(key, item.clone(), source);
            return MergeOutcome::Changed;
        };
        let merged = slot.item.merge(item);
        if merged == slot.item {
            return MergeOutcome::Unchanged;
        }
        let source = source.filter(|_| merged == *item);
        self.forget(&key);
        self.put(key, merged, source);
        MergeOutcome::Changed
    }

    fn put(&mut self, key: Key, item: Item, source: Option<Incarnation>) {
        self.sequence += 1;
        *self.digests.entry(item.group()).or_default() ^= item.digest();
        self.changes.insert(self.sequence, key.clone());
        self.slots.insert(key, Slot { item, sequence: self.sequence, source });
    }

    /// Removes an item, without telling other daemons.
    pub fn forget(&mut self, key: &Key) {
        let Some(slot) = self.slots.remove(key) else {
            return;
        };
        self.changes.remove(&slot.sequence);
        let group = slot.item.group();
        let digest = self.digests.entry(group.clone()).or_default();
        *digest ^= slot.item.digest();
        if *digest == 0 {
            self.digests.remove(&group);
        }
    }

    /// The item with a key.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.slots.get(key).map(|slot| &slot.item)
    }

    /// All items, in key order.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.slots.values().map(|slot| &slot.item)
    }

    /// All daemon records.
    pub fn records(&self) -> impl Iterator<Item = &DaemonRecord> {
        self.items().filter_map(|item| match item {
            Item::Record(record) => Some(record),
            _ => None,
        })
    }

    /// The record of an incarnation.
    pub fn record(&self, incarnation: Incarnation) -> Option<&DaemonRecord> {
        match self.get(&Key::Record(incarnation)) {
            Some(Item::Record(record)) => Some(record),
            _ => None,
        }
    }

    /// The dynamic state of an incarnation, if it is known here.
    pub fn dynamic_state(&self, incarnation: Incarnation) -> Option<&DynamicState> {
        match self.get(&Key::DynamicState(incarnation)) {
            Some(Item::DynamicState(state)) => Some(state),
            _ => None,
        }
    }

    /// All summaries of data centres.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.items().filter_map(|item| match item {
            Item::Summary(summary) => Some(summary),
            _ => None,
        })
    }

    /// All leaving marks.
    pub fn marks(&self) -> impl Iterator<Item = &LeavingMark> {
        self.items().filter_map(|item| match item {
            Item::Mark(mark) => Some(mark),
            _ => None,
        })
    }

    /// The sequence number of the latest change.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The items that changed after a sequence number, except those received from `peer`.
    pub fn changed_since(&self, sequence: u64, peer: Incarnation) -> impl Iterator<Item = &Item> {
        let keys = self.changes.range(sequence + 1..).map(|(_, key)| key);
        let slots = keys.filter_map(|key| self.slots.get(key));
        slots.filter(move |slot| slot.source != Some(peer)).map(|slot| &slot.item)
    }

    /// The digests of all groups; the XOR of the digests of their items.
    pub const fn digests(&self) -> &BTreeMap<Group, u64> {
        &self.digests
    }
}

#[cfg(test)]
pub(crate) mod tests;
