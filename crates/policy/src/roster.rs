//! What daemons tell each other of themselves, as items that merge in any order.
//!
//! Each item has a key and an order of its own; merging keeps the newer one. So daemons that have
//! seen the same items, in whatever order and however often, hold the same roster.

use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Incarnation, Instance, Revision, UtcInstant};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use strum::{Display, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_64;

/// Whether a daemon answers, as far as the others know.
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
    /// It answers.
    Live,
    /// It has missed heartbeats.
    Suspect,
    /// It has not contradicted a suspicion in time.
    Down,
}

/// One life of a daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "RecordWire", into = "RecordWire")]
pub struct Record {
    /// The life.
    pub incarnation: Incarnation,
    /// The instance.
    pub instance: Instance,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Where it serves callers.
    pub caller: SocketAddr,
    /// Where it answers other daemons.
    pub peer: SocketAddr,
    /// Raised by the daemon itself to contradict a suspicion.
    pub version: u32,
    /// Whether it answers.
    pub health: Health,
    /// Whether it takes no new work, for good.
    pub leaving: bool,
}

type RecordWire = (Incarnation, Instance, DataCentre, SocketAddr, SocketAddr, u32, Health, bool);

impl From<Record> for RecordWire {
    fn from(r: Record) -> Self {
        let Record { incarnation, instance, data_centre, caller, peer, version, health, leaving } =
            r;
        (incarnation, instance, data_centre, caller, peer, version, health, leaving)
    }
}

impl From<RecordWire> for Record {
    fn from(wire: RecordWire) -> Self {
        let (incarnation, instance, data_centre, caller, peer, version, health, leaving) = wire;
        Self { incarnation, instance, data_centre, caller, peer, version, health, leaving }
    }
}

/// What changes often at a daemon; told within its data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "PulseWire", into = "PulseWire")]
pub struct Pulse {
    /// The daemon.
    pub incarnation: Incarnation,
    /// Raised by the daemon with each change.
    pub version: u32,
    /// The configuration revision in force there.
    pub revision: Revision,
    /// Requests in flight there.
    pub load: u32,
}

type PulseWire = (Incarnation, u32, Revision, u32);

impl From<Pulse> for PulseWire {
    fn from(Pulse { incarnation, version, revision, load }: Pulse) -> Self {
        (incarnation, version, revision, load)
    }
}

impl From<PulseWire> for Pulse {
    fn from((incarnation, version, revision, load): PulseWire) -> Self {
        Self { incarnation, version, revision, load }
    }
}

/// The least revision in force at the live daemons of a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Raised with each change.
    pub version: u32,
    /// The daemon that made the summary.
    pub author: Incarnation,
    /// The least revision.
    pub revision: Revision,
    /// The live daemons that it covers.
    pub members: u32,
}

/// An instance that takes nothing new, for good.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// The instance.
    pub instance: Instance,
    /// When it was marked, by the marker's clock.
    pub at: UtcInstant,
}

/// One thing that daemons tell each other.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A daemon.
    Record(Record),
    /// What changes often at a daemon.
    Pulse(Pulse),
    /// A data centre.
    Summary(Summary),
    /// A leaving instance.
    Mark(Mark),
}

/// The key of an item.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
    /// A daemon.
    Record(Incarnation),
    /// What changes often at a daemon.
    Pulse(Incarnation),
    /// A data centre.
    Summary(DataCentre),
    /// A leaving instance.
    Mark(Instance),
}

/// Items whose digest is kept together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// The daemons of a data centre.
    DataCentre(DataCentre),
    /// The summaries and the leaving marks.
    Shared,
    /// What changes often, of the sender's own data centre.
    Pulses,
}

impl Item {
    /// The item's key.
    pub fn key(&self) -> Key {
        match self {
            Self::Record(record) => Key::Record(record.incarnation),
            Self::Pulse(pulse) => Key::Pulse(pulse.incarnation),
            Self::Summary(summary) => Key::Summary(summary.data_centre.clone()),
            Self::Mark(mark) => Key::Mark(mark.instance.clone()),
        }
    }

    /// The group of the item's digest.
    pub fn group(&self) -> Group {
        match self {
            Self::Record(record) => Group::DataCentre(record.data_centre.clone()),
            Self::Summary(_) | Self::Mark(_) => Group::Shared,
            Self::Pulse(_) => Group::Pulses,
        }
    }

    /// A hash of what merging compares.
    pub fn digest(&self) -> u64 {
        let (kind, id, order) = match self {
            Self::Record(r) => {
                let flags =
                    u64::from(r.version) << 8 | (r.health as u64) << 1 | u64::from(r.leaving);
                (0, r.incarnation.0, flags)
            }
            Self::Pulse(pulse) => (1, pulse.incarnation.0, u64::from(pulse.version)),
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

    /// What two items of one key make together.
    fn merge(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Record(a), Self::Record(b)) => {
                let newer = if (b.version, b.health) > (a.version, a.health) { b } else { a };
                let leaving = a.leaving || b.leaving;
                Self::Record(Record { leaving, ..newer.clone() })
            }
            (Self::Pulse(a), Self::Pulse(b)) => {
                Self::Pulse(if b.version > a.version { *b } else { *a })
            }
            (Self::Summary(a), Self::Summary(b)) => {
                let newer = (b.version, b.author) > (a.version, a.author);
                Self::Summary(if newer { b.clone() } else { a.clone() })
            }
            // The earlier of two marks is kept, so that one mark is not repeated for ever.
            (Self::Mark(a), Self::Mark(b)) if b.at < a.at => Self::Mark(b.clone()),
            _ => self.clone(),
        }
    }
}

/// What an item did to a roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Merged {
    /// It brought something new.
    Changed,
    /// It brought nothing new.
    Known,
}

#[derive(Clone, Debug)]
struct Slot {
    item: Item,
    sequence: u64,
    source: Option<Incarnation>,
}

/// The items that a daemon holds.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    slots: BTreeMap<Key, Slot>,
    changes: BTreeMap<u64, Key>,
    digests: BTreeMap<Group, u64>,
    sequence: u64,
}

impl Roster {
    /// A roster without items.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges an item, learnt from `source` or made here.
    pub fn merge(&mut self, item: &Item, source: Option<Incarnation>) -> Merged {
        let key = item.key();
        let Some(slot) = self.slots.get(&key) else {
            let down = matches!(item, Item::Record(record) if record.health == Health::Down);
            // A daemon that is down and has been forgotten here is not learnt of again.
            if down && source.is_some() {
                return Merged::Known;
            }
            self.put(key, item.clone(), source);
            return Merged::Changed;
        };
        let merged = slot.item.merge(item);
        if merged == slot.item {
            return Merged::Known;
        }
        let source = source.filter(|_| merged == *item);
        self.forget(&key);
        self.put(key, merged, source);
        Merged::Changed
    }

    fn put(&mut self, key: Key, item: Item, source: Option<Incarnation>) {
        self.sequence += 1;
        *self.digests.entry(item.group()).or_default() ^= item.digest();
        self.changes.insert(self.sequence, key.clone());
        self.slots.insert(key, Slot { item, sequence: self.sequence, source });
    }

    /// Forgets an item.
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

    /// The item of a key.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.slots.get(key).map(|slot| &slot.item)
    }

    /// The items in order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.slots.values().map(|slot| &slot.item)
    }

    /// The daemons.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.items().filter_map(|item| match item {
            Item::Record(record) => Some(record),
            _ => None,
        })
    }

    /// A daemon.
    pub fn record(&self, incarnation: Incarnation) -> Option<&Record> {
        match self.get(&Key::Record(incarnation)) {
            Some(Item::Record(record)) => Some(record),
            _ => None,
        }
    }

    /// What changes often at a daemon, if it is known here.
    pub fn pulse(&self, incarnation: Incarnation) -> Option<&Pulse> {
        match self.get(&Key::Pulse(incarnation)) {
            Some(Item::Pulse(pulse)) => Some(pulse),
            _ => None,
        }
    }

    /// The summaries of the data centres.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.items().filter_map(|item| match item {
            Item::Summary(summary) => Some(summary),
            _ => None,
        })
    }

    /// The leaving marks.
    pub fn marks(&self) -> impl Iterator<Item = &Mark> {
        self.items().filter_map(|item| match item {
            Item::Mark(mark) => Some(mark),
            _ => None,
        })
    }

    /// The number of the newest change.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The items changed after a number, but for those learnt from `peer`.
    pub fn changed_since(&self, sequence: u64, peer: Incarnation) -> impl Iterator<Item = &Item> {
        let keys = self.changes.range(sequence + 1..).map(|(_, key)| key);
        let slots = keys.filter_map(|key| self.slots.get(key));
        slots.filter(move |slot| slot.source != Some(peer)).map(|slot| &slot.item)
    }

    /// The digests of the groups.
    pub const fn digests(&self) -> &BTreeMap<Group, u64> {
        &self.digests
    }
}

#[cfg(test)]
pub(crate) mod tests;
