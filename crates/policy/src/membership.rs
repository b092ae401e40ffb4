//! What a daemon believes of the other daemons.
//!
//! The lagging instance list seeds the view; heartbeats with a few others keep it fresh. A daemon
//! that misses heartbeats is suspected by its neighbours; it contradicts, or counts as down after a
//! while. A daemon that is down is tried again from time to time, so sides of a partition meet
//! again. Leaving is for good.

use crate::exchange::{Exchange, Packet, Partner, Scope};
use crate::roster::{Health, Item, Key, Mark, Merged, Pulse, Record, Roster, Summary};
use crate::view;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Incarnation, Instance, MonotonicInstant, Revision, UtcInstant};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Heartbeats that a daemon may miss before it is suspected.
const MISSED_MAX: u32 = 3;

/// The most heartbeats that it may miss after it has contradicted suspicions.
const MISSED_LIMIT: u32 = 24;

/// The heartbeats for which a suspicion can be contradicted.
const SUSPICION_BEATS: u32 = 4;

/// The daemons among which each one reads the log itself.
const READERS_MAX: usize = 34;

/// The readers of the log in each data centre of a larger deployment.
const READERS_NEAR: usize = 2;

/// The time after which a daemon that is down is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(2 * 60 * 60);

/// The time for which a leaving mark is kept. Names of instances are not used again.
const MARK_KEEP: Duration = Duration::from_secs(60 * 60);

/// The most unknown daemons of the instance list that are tried at once.
const SEEDS_AT_ONCE: usize = 3;

/// Whether a daemon can be used.
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
    /// It answers.
    Live,
    /// It has not answered for a while, and may be dead.
    Suspect,
    /// It takes no new work.
    Leaving,
    /// It is gone.
    Dead,
}

/// One daemon as another one sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its instance.
    pub instance: Instance,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it serves callers.
    pub caller: SocketAddr,
    /// Where it answers other daemons.
    pub peer: SocketAddr,
    /// Its life, once it has been heard of.
    pub incarnation: Option<Incarnation>,
    /// The configuration revision in force there, as last heard.
    pub revision: Revision,
    /// Requests in flight there, as last heard.
    pub load: u32,
    /// Whether it can be used.
    pub status: MemberStatus,
}

/// A heartbeat, or the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub from: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The configuration revision in force there.
    pub revision: Revision,
    /// Milliseconds since it knew the newest revision; none if it never did.
    pub age: Option<u64>,
    /// Its part of the exchange.
    pub packet: Packet,
}

/// A daemon of the instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Its instance.
    pub instance: Instance,
    /// Where it answers other daemons.
    pub peer: SocketAddr,
}

/// Where the next heartbeat goes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    /// The address.
    pub peer: SocketAddr,
    /// The daemon expected there, if it is known.
    pub expected: Option<Incarnation>,
}

/// How a neighbour has answered.
#[derive(Clone, Copy, Debug)]
struct Contact {
    missed: u32,
    allowed: u32,
}

impl Default for Contact {
    fn default() -> Self {
        Self { missed: 0, allowed: MISSED_MAX }
    }
}

/// How far it is told what changes often at a daemon.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PulseReach {
    /// Within its data centre; the others hear a summary.
    #[default]
    DataCentre,
    /// Everywhere.
    Everywhere,
}

/// Whether a daemon reads the log itself.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Duty {
    /// It reads the log, for itself and for others.
    #[default]
    Reads,
    /// It hears from its neighbours what the log holds.
    Relies,
}

/// Whether the neighbours must hear at once of what has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// They must.
    Now,
    /// The next heartbeat is soon enough.
    Later,
}

/// The view of one daemon.
#[derive(Clone, Debug)]
pub struct Membership<X> {
    own: Incarnation,
    roster: Roster,
    exchange: X,
    interval: Duration,
    reach: PulseReach,
    contacts: HashMap<Incarnation, Contact>,
    doubts: BTreeMap<Incarnation, (Health, MonotonicInstant)>,
    seeds: Vec<Seed>,
    pulse: Pulse,
    told: u64,
}

impl<X: Exchange> Membership<X> {
    /// A daemon that knows nobody; heartbeats are `interval` apart.
    pub fn new(own: Record, interval: Duration, reach: PulseReach) -> Self {
        let incarnation = own.incarnation;
        let mut roster = Roster::new();
        let pulse = Pulse { incarnation, version: 1, revision: Revision(0), load: 0 };
        roster.merge(&Item::Record(own), None);
        roster.merge(&Item::Pulse(pulse), None);
        Self {
            own: incarnation,
            roster,
            exchange: X::default(),
            interval,
            reach,
            contacts: HashMap::new(),
            doubts: BTreeMap::new(),
            seeds: Vec::new(),
            pulse,
            told: 0,
        }
    }

    /// What this daemon knows.
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Sets how far it is told what changes often.
    pub fn set_reach(&mut self, reach: PulseReach) {
        self.reach = reach;
    }

    fn own_record(&self) -> &Record {
        self.roster.record(self.own).expect("a daemon never forgets itself")
    }

    /// Takes the instance list's daemons.
    pub fn on_listing(&mut self, seeds: Vec<Seed>) {
        self.seeds = seeds;
    }

    /// Takes what has changed at this daemon. A load is told when its magnitude changes.
    pub fn on_pulse(&mut self, revision: Revision, load: u32) {
        let magnitude = |load: u32| load.checked_ilog2();
        let same_load = magnitude(load) == magnitude(self.pulse.load);
        if revision == self.pulse.revision && same_load {
            return;
        }
        let version = self.pulse.version.saturating_add(1);
        self.pulse = Pulse { version, revision, load, ..self.pulse };
        self.roster.merge(&Item::Pulse(self.pulse), None);
    }

    /// Marks an instance as leaving, be it an upstream or a daemon.
    pub fn mark_leaving(&mut self, utc: UtcInstant, instance: &Instance) -> Merged {
        if self.roster.get(&Key::Mark(instance.clone())).is_some() {
            return Merged::Known;
        }
        let mark = Mark { instance: instance.clone(), at: utc };
        self.roster.merge(&Item::Mark(mark), None)
    }

    /// Marks this daemon as leaving.
    pub fn leave(&mut self) {
        let own = Record { leaving: true, ..self.own_record().clone() };
        self.roster.merge(&Item::Record(own), None);
    }

    /// Does what is due with each heartbeat.
    pub fn on_tick(&mut self, now: MonotonicInstant, utc: UtcInstant) {
        self.watch_doubts(now);
        self.summarise();
        let old = self.roster.marks().filter(|mark| utc.since(mark.at) > MARK_KEEP);
        let old: Vec<_> = old.map(|mark| Key::Mark(mark.instance.clone())).collect();
        old.iter().for_each(|key| self.roster.forget(key));
    }

    /// Where the heartbeats of this round go: to the neighbours, and to somebody not known to be
    /// live, chosen by `random`.
    pub fn targets(&self, random: &mut impl Rng) -> Vec<Target> {
        let chosen = view::neighbours(self.own_record(), self.roster.records());
        let mut targets: Vec<_> = chosen
            .into_iter()
            .map(|record| Target { peer: record.peer, expected: Some(record.incarnation) })
            .collect();
        let mut others = self.unmet();
        let count = if targets.is_empty() { SEEDS_AT_ONCE } else { 1 };
        for _ in 0..count.min(others.len()) {
            let peer = others.swap_remove(random.random_range(0..others.len()));
            targets.push(Target { peer, expected: None });
        }
        targets
    }

    /// Addresses where a daemon may be that is not known to be live.
    fn unmet(&self) -> Vec<SocketAddr> {
        let live = |record: &&Record| record.health != Health::Down;
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
        let near = same || self.reach == PulseReach::Everywhere;
        Partner { incarnation, scope: if near { Scope::Near } else { Scope::Far } }
    }

    fn beat(&self, age: Option<Duration>, packet: Packet) -> Beat {
        Beat {
            from: self.own,
            data_centre: self.own_record().data_centre.clone(),
            revision: self.pulse.revision,
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

    /// The heartbeat for a target; `age` is the time since this daemon knew the newest revision.
    pub fn request(&mut self, age: Option<Duration>, target: Target) -> Beat {
        let record = target.expected.and_then(|expected| self.roster.record(expected));
        let partner = record.map(|record| self.partner(record.incarnation, &record.data_centre));
        let packet = match partner {
            Some(partner) => self.exchange.request(&self.roster, partner),
            None => Packet::Hello,
        };
        self.beat(age, packet)
    }

    /// Answers a heartbeat.
    pub fn on_request(&mut self, now: MonotonicInstant, age: Option<Duration>, beat: Beat) -> Beat {
        let partner = self.partner(beat.from, &beat.data_centre);
        self.on_heard(beat.from);
        let packet = match beat.packet {
            Packet::Hello => self.welcome(partner),
            Packet::Welcome(items) => {
                self.merge(partner, &items);
                Packet::Same
            }
            packet => self.exchange.on_request(&mut self.roster, partner, packet),
        };
        self.after_merge(now);
        self.beat(age, packet)
    }

    /// Takes the answer to a heartbeat, and gives the next one if another round is needed.
    pub fn on_reply(
        &mut self,
        now: MonotonicInstant,
        age: Option<Duration>,
        target: Target,
        beat: Beat,
    ) -> Option<Beat> {
        if beat.from == self.own {
            return None;
        }
        if let Some(expected) = target.expected.filter(|expected| *expected != beat.from) {
            // Another life answers at the address, so the expected one has ended.
            self.set_health(expected, Health::Down);
        }
        self.on_heard(beat.from);
        let partner = self.partner(beat.from, &beat.data_centre);
        let next = match beat.packet {
            Packet::Welcome(items) => {
                self.merge(partner, &items);
                Some(self.welcome(partner))
            }
            packet => self.exchange.on_reply(&mut self.roster, partner, packet),
        };
        self.after_merge(now);
        Some(self.beat(age, next?))
    }

    /// Notes that a heartbeat was not answered.
    pub fn on_missed(&mut self, target: Target) {
        let Some(expected) = target.expected else {
            return;
        };
        let contact = self.contacts.entry(expected).or_default();
        contact.missed += 1;
        let live = self.roster.record(expected).is_some_and(|r| r.health == Health::Live);
        if contact.missed >= contact.allowed && live {
            contact.missed = 0;
            contact.allowed = (contact.allowed * 2).min(MISSED_LIMIT);
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
            let record = Record { health, ..record.clone() };
            self.roster.merge(&Item::Record(record), None);
        }
    }

    /// Contradicts what others believe of this daemon.
    fn after_merge(&mut self, now: MonotonicInstant) {
        let own = self.own_record();
        if own.health != Health::Live {
            let own = Record {
                version: own.version.saturating_add(1),
                health: Health::Live,
                ..own.clone()
            };
            self.roster.merge(&Item::Record(own), None);
        }
        self.end_former_lives();
        self.watch_doubts(now);
    }

    /// This life of the instance has ended the ones before it.
    fn end_former_lives(&mut self) {
        let own = self.own_record();
        let former = self.roster.records().filter(|record| {
            record.instance == own.instance
                && record.incarnation != own.incarnation
                && record.health != Health::Down
        });
        let former: Vec<_> = former.map(|record| record.incarnation).collect();
        former.into_iter().for_each(|incarnation| self.set_health(incarnation, Health::Down));
    }

    /// Follows since when daemons are suspected or down.
    fn watch_doubts(&mut self, now: MonotonicInstant) {
        let doubted: BTreeMap<_, _> = self
            .roster
            .records()
            .filter(|record| record.health != Health::Live)
            .map(|record| (record.incarnation, record.health))
            .collect();
        self.doubts.retain(|incarnation, _| doubted.contains_key(incarnation));
        let contradiction = self.interval * SUSPICION_BEATS;
        for (incarnation, health) in doubted {
            let doubt = self.doubts.entry(incarnation).or_insert((health, now));
            if doubt.0 != health {
                *doubt = (health, now);
            }
            let since = now.since(doubt.1);
            match health {
                Health::Suspect if since >= contradiction => {
                    self.set_health(incarnation, Health::Down);
                }
                Health::Down if since >= FORGET_AFTER => self.forget(incarnation),
                _ => {}
            }
        }
    }

    fn forget(&mut self, incarnation: Incarnation) {
        self.roster.forget(&Key::Record(incarnation));
        self.roster.forget(&Key::Pulse(incarnation));
        self.exchange.forget(incarnation);
        self.contacts.remove(&incarnation);
        self.doubts.remove(&incarnation);
    }

    /// Renews the summary of this daemon's data centre, if that is its duty.
    fn summarise(&mut self) {
        let own = self.own_record();
        let centre = own.data_centre.clone();
        let first = view::first(&centre, self.roster.records());
        if first.is_none_or(|first| first.incarnation != self.own) {
            return;
        }
        let live = self
            .roster
            .records()
            .filter(|record| record.health == Health::Live && record.data_centre == centre);
        let revisions: Vec<_> = live
            .map(|record| self.roster.pulse(record.incarnation).map(|pulse| pulse.revision))
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

    /// The least revision that is in force at every live daemon.
    pub fn in_force(&self) -> Revision {
        let live = self.roster.records().filter(|record| record.health == Health::Live);
        let centres: BTreeSet<_> = live.map(|record| &record.data_centre).collect();
        centres.into_iter().map(|centre| self.least(centre)).min().unwrap_or_default()
    }

    /// The least revision that is in force in a data centre.
    fn least(&self, centre: &DataCentre) -> Revision {
        let summary = self.roster.summaries().find(|summary| summary.data_centre == *centre);
        summary.map_or(Revision(0), |summary| summary.revision)
    }

    /// Whether the neighbours must hear at once of what has changed since the last call.
    pub fn take_urgency(&mut self) -> Urgency {
        let told = std::mem::replace(&mut self.told, self.roster.sequence());
        let mut changed = self.roster.changed_since(told, self.own);
        let urgent = changed.any(|item| matches!(item, Item::Record(_) | Item::Mark(_)));
        if urgent { Urgency::Now } else { Urgency::Later }
    }

    /// Whether this daemon reads the log itself.
    pub fn duty(&self) -> Duty {
        let live = || self.roster.records().filter(|record| record.health == Health::Live);
        if live().count() <= READERS_MAX {
            return Duty::Reads;
        }
        let place = view::place(self.own_record(), live());
        if place < READERS_NEAR { Duty::Reads } else { Duty::Relies }
    }

    /// The daemons, one for each instance, this one included.
    pub fn members(&self) -> Vec<Member> {
        let mut members: BTreeMap<&Instance, &Record> = BTreeMap::new();
        for record in self.roster.records() {
            let known = members.entry(&record.instance).or_insert(record);
            if (record.health, record.leaving) < (known.health, known.leaving) {
                *known = record;
            }
        }
        members.into_values().map(|record| self.member(record)).collect()
    }

    fn member(&self, record: &Record) -> Member {
        let marked = self.roster.get(&Key::Mark(record.instance.clone())).is_some();
        let status = match record.health {
            Health::Down => MemberStatus::Dead,
            _ if record.leaving || marked => MemberStatus::Leaving,
            Health::Suspect => MemberStatus::Suspect,
            Health::Live => MemberStatus::Live,
        };
        let pulse = self.roster.pulse(record.incarnation);
        Member {
            instance: record.instance.clone(),
            data_centre: record.data_centre.clone(),
            caller: record.caller,
            peer: record.peer,
            incarnation: Some(record.incarnation),
            revision: pulse.map_or_else(|| self.least(&record.data_centre), |pulse| pulse.revision),
            load: pulse.map_or(0, |pulse| pulse.load),
            status,
        }
    }
}

#[cfg(test)]
mod tests;
