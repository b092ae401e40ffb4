//! Gossip membership: a daemon's view of the other daemons, in the manner of SWIM.
//!
//! The instance list, which lags behind, seeds the view; heartbeats with a few neighbours keep it
//! fresh. A daemon that misses heartbeats is suspected by its neighbours. It refutes the suspicion,
//! or counts as down after a timeout. A daemon that is down is contacted again from time to time,
//! so that the sides of a partition find each other again. Leaving is final.

use crate::exchange::{Exchange, Packet, Partner, Scope};
use crate::neighbours;
use crate::roster::{
    DaemonRecord, DynamicState, Health, Item, Key, LeavingMark, MergeOutcome, Roster, Summary,
};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Incarnation, Instance, MonotonicInstant, Revision, UtcInstant};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// The number of consecutive heartbeats that a neighbour may miss before it is first suspected.
const MISSED_ALLOWED_INITIAL: u32 = 3;

/// The upper limit of that number, which doubles with each suspicion, so that a neighbour that keeps
/// refuting the suspicion is suspected less often.
const MISSED_ALLOWED_MAX: u32 = 24;

/// The number of heartbeat intervals within which a suspicion can be refuted.
const SUSPICION_HEARTBEATS: u32 = 4;

/// The largest number of live daemons of which each still reads the log itself.
const ALL_READ_DAEMONS_MAX: usize = 34;

/// The number of daemons in each data centre that read the log in a larger deployment.
const READERS_PER_DATA_CENTRE: usize = 2;

/// How long a daemon that is down is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(2 * 60 * 60);

/// How long a leaving mark is kept. Marks may expire because instance names are not reused.
const LEAVING_MARK_RETENTION: Duration = Duration::from_secs(60 * 60);

/// The number of addresses without a known live daemon that are tried at once while there are no
/// neighbours.
const SEEDS_AT_ONCE: usize = 3;

/// Whether a daemon can take new requests.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It answers heartbeats.
    Live,
    /// It has missed heartbeats and may be dead.
    Suspect,
    /// It accepts no new requests.
    Leaving,
    /// It is down.
    Dead,
}

/// A daemon as another daemon sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The instance that it runs on.
    pub instance: Instance,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for other daemons.
    pub peer: SocketAddr,
    /// Its incarnation; none if it is known from the instance list only.
    pub incarnation: Option<Incarnation>,
    /// The configuration revision in force there, as last reported.
    pub revision: Revision,
    /// Requests in flight there, as last reported.
    pub load: u32,
    /// Whether it can take new requests.
    pub status: MemberStatus,
}

/// A heartbeat, or the reply to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's incarnation.
    pub from: Incarnation,
    /// The sender's data centre.
    pub data_centre: DataCentre,
    /// The configuration revision in force at the sender.
    pub revision: Revision,
    /// Milliseconds since the sender last knew the newest revision; none if it never did.
    pub age: Option<u64>,
    /// The sender's message of the roster exchange.
    pub packet: Packet,
}

/// A daemon of the instance list, which may be contacted first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The instance that it runs on.
    pub instance: Instance,
    /// The address for other daemons.
    pub peer: SocketAddr,
}

/// The destination of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    /// The address to call.
    pub peer: SocketAddr,
    /// The incarnation expected there, if one is known.
    pub expected: Option<Incarnation>,
}

/// The consecutive heartbeats that a neighbour has missed, and how many it may miss.
#[derive(Clone, Copy, Debug)]
struct Contact {
    missed: u32,
    allowed: u32,
}

impl Default for Contact {
    fn default() -> Self {
        Self { missed: 0, allowed: MISSED_ALLOWED_INITIAL }
    }
}

/// How far the dynamic state of a daemon (revision and load) is gossiped.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum DynamicStateScope {
    /// Within its data centre; other data centres receive a summary.
    #[default]
    DataCentre,
    /// To all daemons.
    Everywhere,
}

/// How a daemon learns the content of the log.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum LogAccess {
    /// It reads the log, for itself and for other daemons.
    #[default]
    #[strum(serialize = "reads")]
    Direct,
    /// It learns from its neighbours what the log holds.
    #[strum(serialize = "relies")]
    ViaPeers,
}

/// How soon a change must be sent to the neighbours.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// At once, without waiting for the next heartbeat.
    Now,
    /// With the next heartbeat.
    Later,
}

/// One daemon's view of all daemons. `X` is the protocol that reconciles rosters.
#[derive(Clone, Debug)]
pub struct Membership<X> {
    own: Incarnation,
    roster: Roster,
    exchange: X,
    interval: Duration,
    scope: DynamicStateScope,
    contacts: HashMap<Incarnation, Contact>,
    /// Daemons that are suspected or down, with the instant at which that was first seen.
    unhealthy: BTreeMap<Incarnation, (Health, MonotonicInstant)>,
    seeds: Vec<Seed>,
    dynamic: DynamicState,
    /// The roster's sequence number at the last check for urgent changes.
    checked: u64,
}

impl<X: Exchange> Membership<X> {
    /// The view of a daemon that knows only itself. Heartbeats are `interval` apart.
    pub fn new(own: DaemonRecord, interval: Duration, scope: DynamicStateScope) -> Self {
        let incarnation = own.incarnation;
        let mut roster = Roster::new();
        let dynamic = DynamicState { incarnation, version: 1, revision: Revision(0), load: 0 };
        roster.merge(&Item::Record(own), None);
        roster.merge(&Item::DynamicState(dynamic), None);
        Self {
            own: incarnation,
            roster,
            exchange: X::default(),
            interval,
            scope,
            contacts: HashMap::new(),
            unhealthy: BTreeMap::new(),
            seeds: Vec::new(),
            dynamic,
            checked: 0,
        }
    }

    /// The items that this daemon holds about all daemons.
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Sets how far dynamic state is gossiped.
    pub fn set_scope(&mut self, scope: DynamicStateScope) {
        self.scope = scope;
    }

    fn own_record(&self) -> &DaemonRecord {
        self.roster.record(self.own).expect("a daemon never forgets itself")
    }

    /// Replaces the daemons of the instance list.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) {
        self.seeds = seeds;
    }

    /// Updates this daemon's dynamic state. A changed load counts only if its order of magnitude
    /// (base 2) changes, which keeps gossip small.
    pub fn set_local_state(&mut self, revision: Revision, load: u32) {
        let magnitude = |load: u32| load.checked_ilog2();
        let same_load = magnitude(load) == magnitude(self.dynamic.load);
        if revision == self.dynamic.revision && same_load {
            return;
        }
        let version = self.dynamic.version.saturating_add(1);
        self.dynamic = DynamicState { version, revision, load, ..self.dynamic };
        self.roster.merge(&Item::DynamicState(self.dynamic), None);
    }

    /// Marks an instance as leaving, whether it runs an upstream or a daemon.
    pub fn mark_leaving(&mut self, utc: UtcInstant, instance: &Instance) -> MergeOutcome {
        if self.roster.get(&Key::Mark(instance.clone())).is_some() {
            return MergeOutcome::Unchanged;
        }
        let mark = LeavingMark { instance: instance.clone(), at: utc };
        self.roster.merge(&Item::Mark(mark), None)
    }

    /// Marks this daemon as leaving.
    pub fn leave(&mut self) {
        let own = DaemonRecord { leaving: true, ..self.own_record().clone() };
        self.roster.merge(&Item::Record(own), None);
    }

    /// Does the periodic work that precedes each round of heartbeats.
    pub fn on_tick(&mut self, now: MonotonicInstant, utc: UtcInstant) {
        self.track_unhealthy(now);
        self.summarise();
        let old = self.roster.marks().filter(|mark| utc.since(mark.at) > LEAVING_MARK_RETENTION);
        let old: Vec<_> = old.map(|mark| Key::Mark(mark.instance.clone())).collect();
        old.iter().for_each(|key| self.roster.forget(key));
    }

    /// The destinations of this round's heartbeats: the neighbours, and a randomly chosen address
    /// without a known live daemon.
    pub fn targets(&self, generator: &mut impl Rng) -> Vec<Target> {
        let chosen = neighbours::neighbours(self.own_record(), self.roster.records());
        let mut targets: Vec<_> = chosen
            .into_iter()
            .map(|record| Target { peer: record.peer, expected: Some(record.incarnation) })
            .collect();
        let mut others = self.unknown_addresses();
        let count = if targets.is_empty() { SEEDS_AT_ONCE } else { 1 };
        for _ in 0..count.min(others.len()) {
            let peer = others.swap_remove(generator.random_range(0..others.len()));
            targets.push(Target { peer, expected: None });
        }
        targets
    }

    /// Addresses of seeds and of daemons that are down, where no live daemon is known to run.
    fn unknown_addresses(&self) -> Vec<SocketAddr> {
        let live = |record: &&DaemonRecord| record.health != Health::Down;
        let known: BTreeSet<_> =
            self.roster.records().filter(live).map(|record| &record.instance).collect();
        let seeds = self.seeds.iter().filter(|seed| !known.contains(&seed.instance));
        let down = self
            .roster
            .records()
            .filter(|record| record.health == Health::Down && !known.contains(&record.instance));
        let peers: BTreeSet<_> =
            seeds.map(|seed| seed.peer).chain(down.map(|record| record.peer)).collect();
        peers.into_iter().collect()
    }

    fn partner(&self, incarnation: Incarnation, data_centre: &DataCentre) -> Partner {
        let same = self.own_record().data_centre == *data_centre;
        let near = same || self.scope == DynamicStateScope::Everywhere;
        Partner { incarnation, scope: if near { Scope::Near } else { Scope::Far } }
    }

    fn heartbeat(&self, age: Option<Duration>, packet: Packet) -> Heartbeat {
        Heartbeat {
            from: self.own,
            data_centre: self.own_record().data_centre.clone(),
            revision: self.dynamic.revision,
            age: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            packet,
        }
    }

    fn welcome(&self, partner: Partner) -> Packet {
        let items = self.roster.items().filter(|item| partner.scope.includes(item));
        Packet::Welcome(items.cloned().collect())
    }

    fn merge(&mut self, partner: Partner, items: &[Item]) {
        for item in items {
            self.roster.merge(item, Some(partner.incarnation));
        }
    }

    /// The heartbeat for a target. `age` is the time since this daemon last knew the newest
    /// revision.
    pub fn request(&mut self, age: Option<Duration>, target: Target) -> Heartbeat {
        let record = target.expected.and_then(|expected| self.roster.record(expected));
        let partner = record.map(|record| self.partner(record.incarnation, &record.data_centre));
        let packet = match partner {
            Some(partner) => self.exchange.request(&self.roster, partner),
            None => Packet::Hello,
        };
        self.heartbeat(age, packet)
    }

    /// Applies a received heartbeat and returns the reply.
    pub fn on_request(
        &mut self,
        now: MonotonicInstant,
        age: Option<Duration>,
        heartbeat: Heartbeat,
    ) -> Heartbeat {
        let partner = self.partner(heartbeat.from, &heartbeat.data_centre);
        self.on_heard(heartbeat.from);
        let packet = match heartbeat.packet {
            Packet::Hello => self.welcome(partner),
            Packet::Welcome(items) => {
                self.merge(partner, &items);
                Packet::Same
            }
            packet => self.exchange.on_request(&mut self.roster, partner, packet),
        };
        self.after_merge(now);
        self.heartbeat(age, packet)
    }

    /// Applies the reply to a heartbeat. Returns a further request if the rosters still differ.
    pub fn on_reply(
        &mut self,
        now: MonotonicInstant,
        age: Option<Duration>,
        target: Target,
        heartbeat: Heartbeat,
    ) -> Option<Heartbeat> {
        if heartbeat.from == self.own {
            return None;
        }
        if let Some(expected) = target.expected.filter(|expected| *expected != heartbeat.from) {
            // Another incarnation answers at the address, so the expected one has ended.
            self.set_health(expected, Health::Down);
        }
        self.on_heard(heartbeat.from);
        let partner = self.partner(heartbeat.from, &heartbeat.data_centre);
        let next = match heartbeat.packet {
            Packet::Welcome(items) => {
                self.merge(partner, &items);
                Some(self.welcome(partner))
            }
            packet => self.exchange.on_reply(&mut self.roster, partner, packet),
        };
        self.after_merge(now);
        Some(self.heartbeat(age, next?))
    }

    /// Counts an unanswered heartbeat, and suspects the neighbour after too many.
    pub fn on_missed(&mut self, target: Target) {
        let Some(expected) = target.expected else {
            return;
        };
        let contact = self.contacts.entry(expected).or_default();
        contact.missed += 1;
        let live = self.roster.record(expected).is_some_and(|r| r.health == Health::Live);
        if contact.missed >= contact.allowed && live {
            contact.missed = 0;
            contact.allowed = (contact.allowed * 2).min(MISSED_ALLOWED_MAX);
            self.set_health(expected, Health::Suspect);
        }
    }

    fn on_heard(&mut self, from: Incarnation) {
        if let Some(contact) = self.contacts.get_mut(&from) {
            contact.missed = 0;
        }
    }

    fn set_health(&mut self, incarnation: Incarnation, health: Health) {
        if let Some(record) = self.roster.record(incarnation) {
            let record = DaemonRecord { health, ..record.clone() };
            self.roster.merge(&Item::Record(record), None);
        }
    }

    /// Refutes a suspicion of this daemon by raising its version, and updates what follows from the
    /// merged items.
    fn after_merge(&mut self, now: MonotonicInstant) {
        let own = self.own_record();
        if own.health != Health::Live {
            let own = DaemonRecord {
                version: own.version.saturating_add(1),
                health: Health::Live,
                ..own.clone()
            };
            self.roster.merge(&Item::Record(own), None);
        }
        self.retire_former_incarnations();
        self.track_unhealthy(now);
    }

    /// Marks former incarnations of this instance as down: this one has replaced them.
    fn retire_former_incarnations(&mut self) {
        let own = self.own_record();
        let former = self.roster.records().filter(|record| {
            record.instance == own.instance
                && record.incarnation != own.incarnation
                && record.health != Health::Down
        });
        let former: Vec<_> = former.map(|record| record.incarnation).collect();
        former.into_iter().for_each(|incarnation| self.set_health(incarnation, Health::Down));
    }

    /// Tracks how long daemons have been suspected or down, and applies the timeouts.
    fn track_unhealthy(&mut self, now: MonotonicInstant) {
        let unhealthy: BTreeMap<_, _> = self
            .roster
            .records()
            .filter(|record| record.health != Health::Live)
            .map(|record| (record.incarnation, record.health))
            .collect();
        self.unhealthy.retain(|incarnation, _| unhealthy.contains_key(incarnation));
        let refutation_timeout = self.interval * SUSPICION_HEARTBEATS;
        for (incarnation, health) in unhealthy {
            let seen = self.unhealthy.entry(incarnation).or_insert((health, now));
            if seen.0 != health {
                *seen = (health, now);
            }
            let since = now.since(seen.1);
            match health {
                Health::Suspect if since >= refutation_timeout => {
                    self.set_health(incarnation, Health::Down);
                }
                Health::Down if since >= FORGET_AFTER => self.forget(incarnation),
                _ => {}
            }
        }
    }

    fn forget(&mut self, incarnation: Incarnation) {
        self.roster.forget(&Key::Record(incarnation));
        self.roster.forget(&Key::DynamicState(incarnation));
        self.exchange.forget(incarnation);
        self.contacts.remove(&incarnation);
        self.unhealthy.remove(&incarnation);
    }

    /// Updates the summary of this daemon's data centre, if this daemon is its author.
    fn summarise(&mut self) {
        let own = self.own_record();
        let centre = own.data_centre.clone();
        let author = neighbours::summary_author(&centre, self.roster.records());
        if author.is_none_or(|author| author.incarnation != self.own) {
            return;
        }
        let live = self
            .roster
            .records()
            .filter(|record| record.health == Health::Live && record.data_centre == centre);
        let revisions: Vec<_> = live
            .map(|record| self.roster.dynamic_state(record.incarnation).map(|state| state.revision))
            .collect();
        let revision = revisions.iter().copied().map(Option::unwrap_or_default).min();
        let (revision, members) = (revision.unwrap_or_default(), revisions.len() as u32);
        let old = self.roster.summaries().find(|summary| summary.data_centre == centre);
        let same = old.is_some_and(|old| old.revision == revision && old.members == members);
        if same {
            return;
        }
        let version = old.map_or(1, |old| old.version.saturating_add(1));
        let summary = Summary { data_centre: centre, version, author: self.own, revision, members };
        self.roster.merge(&Item::Summary(summary), None);
    }

    /// The lowest revision in force at any live daemon, as far as the summaries tell.
    pub fn in_force(&self) -> Revision {
        let live = self.roster.records().filter(|record| record.health == Health::Live);
        let centres: BTreeSet<_> = live.map(|record| &record.data_centre).collect();
        centres.into_iter().map(|centre| self.lowest_revision(centre)).min().unwrap_or_default()
    }

    /// The lowest revision in force in a data centre; 0 without a summary.
    fn lowest_revision(&self, centre: &DataCentre) -> Revision {
        let summary = self.roster.summaries().find(|summary| summary.data_centre == *centre);
        summary.map_or(Revision(0), |summary| summary.revision)
    }

    /// How soon the changes since the last call must be sent. Records and leaving marks are urgent.
    pub fn take_urgency(&mut self) -> Urgency {
        let checked = std::mem::replace(&mut self.checked, self.roster.sequence());
        let mut changed = self.roster.changed_since(checked, self.own);
        let urgent = changed.any(|item| matches!(item, Item::Record(_) | Item::Mark(_)));
        if urgent { Urgency::Now } else { Urgency::Later }
    }

    /// How this daemon learns the content of the log. In a large deployment only a few daemons of
    /// each data centre read it.
    pub fn log_access(&self) -> LogAccess {
        let live = || self.roster.records().filter(|record| record.health == Health::Live);
        if live().count() <= ALL_READ_DAEMONS_MAX {
            return LogAccess::Direct;
        }
        let rank = neighbours::rank_in_data_centre(self.own_record(), live());
        if rank < READERS_PER_DATA_CENTRE { LogAccess::Direct } else { LogAccess::ViaPeers }
    }

    /// All daemons, one for each instance, including this one. Of several incarnations the
    /// healthiest counts.
    pub fn members(&self) -> Vec<Member> {
        let mut members: BTreeMap<&Instance, &DaemonRecord> = BTreeMap::new();
        for record in self.roster.records() {
            let known = members.entry(&record.instance).or_insert(record);
            if (record.health, record.leaving) < (known.health, known.leaving) {
                *known = record;
            }
        }
        members.into_values().map(|record| self.member(record)).collect()
    }

    fn member(&self, record: &DaemonRecord) -> Member {
        let marked = self.roster.get(&Key::Mark(record.instance.clone())).is_some();
        let status = match record.health {
            Health::Down => MemberStatus::Dead,
            _ if record.leaving || marked => MemberStatus::Leaving,
            Health::Suspect => MemberStatus::Suspect,
            Health::Live => MemberStatus::Live,
        };
        let dynamic = self.roster.dynamic_state(record.incarnation);
        Member {
            instance: record.instance.clone(),
            data_centre: record.data_centre.clone(),
            caller: record.caller,
            peer: record.peer,
            incarnation: Some(record.incarnation),
            revision: dynamic
                .map_or_else(|| self.lowest_revision(&record.data_centre), |state| state.revision),
            load: dynamic.map_or(0, |state| state.load),
            status,
        }
    }
}

#[cfg(test)]
mod tests;
