//! Gossip of each daemon's status several times a second, and the liveness derived from it.
//!
//! Each daemon writes only its own status and forwards the newest version of the others'. The
//! status of a daemon that died therefore stays known for a while, and a status that can't travel
//! directly between two daemons takes a round through a third. [`crate::membership`] is for daemons
//! that talk to a few neighbours only; here every status changes with each heartbeat.

mod status;

pub use self::status::{DaemonIdentity, Phase, PublishedLimit, Status};
use crate::rate_share::Position;
use crate::rollout_status::BeatClock;
use crate::upstream_limit::LimitReport;
use crate::upstream_registry::UpstreamId;
use crate::versioned_map::VersionedMap;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Incarnation, Instance, MonotonicInstant, Service};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The time between two gossip rounds. An update reaches all of 58 daemons within ten rounds, which
/// is less than the time that the users allow for configuration to be in force.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// The heartbeat interval grows by one round for each of this many live daemons, so that the
/// traffic that a daemon receives per second grows little with their number.
const DAEMONS_PER_ROUND: usize = 12;

/// The longest heartbeat interval, in rounds: one second, so that a silent daemon is still detected
/// in time.
const HEARTBEAT_ROUNDS_MAX: usize = 5;

/// The number of live daemons from which on a deployment is large: a daemon then calls two peers per
/// round in place of one, and mostly those of its own data centre.
pub const LARGE_MIN: usize = 64;

/// In a large deployment one call in this many may go to another data centre, the others stay in the
/// daemon's own, because traffic between data centres is charged.
pub const REMOTE_CALL_INTERVAL: u32 = 6;

/// From this number of live daemons on, a caller sends only its own status and fetches the others
/// that it lacks: forwarded unasked, most of them would be known to the receiver already.
const PULL_ONLY_MIN: usize = 8;

/// The silence, beyond the heartbeat interval, after which a daemon is no longer announced to
/// callers: seven rounds, within which the tests hear from all of 58 daemons. With the longest
/// interval it adds up to 2.4 s, of the 4 s that the users allow for a daemon to be in touch.
const SILENCE_MARGIN: Duration = Duration::from_millis(1_400);

/// The silence after which a daemon counts as dead. Until then it may be cut off from its peers but
/// still spend its share of the common quotas. Equals the longest quota window in the users' rules.
pub const DEAD_AFTER: Duration = Duration::from_secs(8);

/// The silence after which a status is dropped. Longer than usage takes to be reported, so that the
/// counts of a dead daemon are not lost.
pub const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The maximum number of teams whose charges are kept per daemon, to bound memory. The largest
/// known deployment has 16 teams.
const TEAMS_MAX: usize = 4_096;

/// The maximum number of leaving upstreams that a daemon reports in its status, to bound memory.
/// With more, daemons read the store instead of relying on each other.
pub const LEAVING_MAX: usize = 256;

/// The maximum number of upstreams whose limits a daemon reports in its status, to bound memory.
pub const LIMITS_MAX: usize = 256;

/// The maximum number of other daemons' statuses in a reply. A caller that lacks more of them gets
/// the rest from its next calls; a reply with all of them might not arrive within the timeout.
const FORWARDED_MAX: usize = 128;

/// A daemon that is silent is contacted every this many rounds.
const SILENT_CONTACT_INTERVAL_ROUNDS: u64 = 5;

/// How recent a daemon's knowledge of leaving upstreams is, when it replies to another daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// The daemon that replies.
    pub sender: Incarnation,
    /// The heartbeat at which its status lists the upstreams that it knows to be leaving.
    pub beat: u64,
    /// Milliseconds before the reply up to which it knows all that the store acknowledged.
    pub age: u64,
}

/// A gossip message: a call to another daemon, or the reply to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The newest heartbeat number of each daemon that the sender knows; in replies in a large
    /// deployment only that of the caller.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub known: BTreeMap<Incarnation, u64>,
    /// Statuses that the receiver may lack, each with the milliseconds since its owner was last
    /// heard from.
    pub statuses: Vec<(u64, Status)>,
    /// What the statuses cover; only in replies, because a call may arrive long after it was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
}

/// A known daemon: its latest status and when its owner sent it.
#[derive(Clone, Debug)]
pub struct KnownDaemon {
    /// The latest status.
    pub status: Status,
    /// The daemon's instance and addresses.
    pub identity: DaemonIdentity,
    /// When the daemon was last heard from, directly or through others.
    pub at: MonotonicInstant,
    /// Tells when its heartbeats were made.
    beats: BeatClock,
}

impl KnownDaemon {
    /// When its latest status was made, by this daemon's clock, as far as that can be told.
    pub fn made_at(&self) -> MonotonicInstant {
        self.made_at_uptime(self.status.age()).min(self.at)
    }

    /// When it had been running for `uptime`, by this daemon's clock, as far as that can be told.
    pub fn made_at_uptime(&self, uptime: Duration) -> MonotonicInstant {
        self.beats.made_at(uptime)
    }
}

/// All daemons known to this one, except itself.
#[derive(Debug, Default)]
pub struct Presence {
    known: BTreeMap<Incarnation, KnownDaemon>,
    /// The heartbeat numbers that each peer last said to know.
    known_to_peer: BTreeMap<SocketAddr, BTreeMap<Incarnation, u64>>,
    round: u64,
    /// The number of live daemons in the latest round. Dead ones don't count, so that they don't
    /// slow down the heartbeats.
    live: usize,
    /// The data centre of this daemon, in which it prefers to call others.
    data_centre: Option<DataCentre>,
}

impl Presence {
    /// Creates the presence of a daemon that knows no other one and prefers those of its own data
    /// centre.
    pub fn in_data_centre(data_centre: DataCentre) -> Self {
        Self { data_centre: Some(data_centre), ..Self::default() }
    }

    /// Merges the statuses of a message and returns the daemons with a newer status. A forwarded
    /// status is as old as the message says, so that a daemon that died long ago doesn't count as
    /// live again.
    pub fn on_message(
        &mut self,
        now: MonotonicInstant,
        own: Incarnation,
        message: &Message,
    ) -> Vec<Incarnation> {
        let mut updated = Vec::new();
        for (silent, status) in &message.statuses {
            if status.incarnation == own {
                continue;
            }
            let at = now - Duration::from_millis(*silent);
            if let Some(known) = self.known.get_mut(&status.incarnation) {
                if known.status.beat >= status.beat {
                    continue;
                }
                known.status.update(status);
                known.at = at;
                known.beats.on_beat(at, status.age());
            } else {
                let Some(identity) = status.identity.clone() else { continue };
                let beats = BeatClock::new(at, status.age());
                let daemon = KnownDaemon { status: status.clone(), identity, at, beats };
                self.known.insert(status.incarnation, daemon);
            }
            updated.push(status.incarnation);
        }
        updated
    }

    /// The message for a daemon that has the heartbeats in `known`, which is empty if unknown.
    pub fn message(
        &self,
        now: MonotonicInstant,
        own: &Status,
        known: &BTreeMap<Incarnation, u64>,
    ) -> Message {
        let mut statuses = self.newer_statuses(now, known);
        statuses.extend(changes_since(known, 0, own));
        Message { statuses, known: self.heartbeats(own), coverage: None }
    }

    /// The message for the daemon at an address, given what it last said to know. In a large
    /// deployment it carries only this daemon's status, and the reply brings what this daemon
    /// lacks.
    pub fn message_to(&self, now: MonotonicInstant, own: &Status, peer: SocketAddr) -> Message {
        let none = BTreeMap::new();
        let known = self.known_to_peer.get(&peer).unwrap_or(&none);
        if self.live < PULL_ONLY_MIN {
            return self.message(now, own, known);
        }
        let statuses = changes_since(known, 0, own).into_iter().collect();
        Message { statuses, known: self.heartbeats(own), coverage: None }
    }

    /// The reply to another daemon's message. `own` has to list all leaving upstreams that this
    /// daemon knows: forwarded statuses don't repeat them, because hundreds of daemons list the
    /// same ones.
    pub fn reply(&self, now: MonotonicInstant, own: &Status, message: &Message) -> Message {
        let is_large = self.live >= PULL_ONLY_MIN;
        // The caller sends its next status as the changes since the heartbeat that is known here.
        let known =
            if is_large { self.heartbeats_of(&message.statuses) } else { self.heartbeats(own) };
        let mut statuses = self.newer_statuses(now, &message.known);
        if statuses.len() > FORWARDED_MAX {
            // Starts at a different daemon each time, so that none is always left out.
            let first = xxh3_64(&(self.round ^ own.beat ^ own.incarnation.0).to_le_bytes());
            let first = usize::try_from(first).unwrap_or_default() % statuses.len();
            statuses.rotate_left(first);
            statuses.truncate(FORWARDED_MAX);
        }
        if own.leaving.len() < LEAVING_MAX {
            statuses.iter_mut().for_each(|(_, status)| status.leaving = VersionedMap::default());
        }
        statuses.extend(changes_since(&message.known, 0, own));
        Message { statuses, known, coverage: None }
    }

    /// The newest heartbeat number of each known daemon and of this one.
    fn heartbeats(&self, own: &Status) -> BTreeMap<Incarnation, u64> {
        let others = self.known.iter().map(|(other, daemon)| (*other, daemon.status.beat));
        others.chain([(own.incarnation, own.beat)]).collect()
    }

    /// The newest heartbeat number of each known daemon that has a status in `statuses`.
    fn heartbeats_of(&self, statuses: &[(u64, Status)]) -> BTreeMap<Incarnation, u64> {
        let senders = statuses.iter().filter_map(|(_, status)| self.known.get(&status.incarnation));
        senders.map(|known| (known.status.incarnation, known.status.beat)).collect()
    }

    /// The statuses of other daemons that a daemon with the heartbeats in `known` lacks.
    fn newer_statuses(
        &self,
        now: MonotonicInstant,
        known: &BTreeMap<Incarnation, u64>,
    ) -> Vec<(u64, Status)> {
        let silent = |daemon: &KnownDaemon| {
            u64::try_from(now.since(daemon.at).as_millis()).unwrap_or(u64::MAX)
        };
        let others = self.known.values();
        others.filter_map(|other| changes_since(known, silent(other), &other.status)).collect()
    }

    /// What the responses to a daemon said of the limits of upstreams.
    pub fn limit_reports(&self, daemon: Incarnation) -> Vec<(UpstreamId, LimitReport)> {
        let Some(known) = self.known.get(&daemon) else { return Vec::new() };
        let reports = known.status.limits.iter().map(|(upstream, limit)| {
            let since = Duration::from_millis(known.status.uptime.saturating_sub(limit.uptime));
            (upstream.clone(), LimitReport { rate: limit.rate, at: known.at - since })
        });
        reports.collect()
    }

    /// Whether the statuses known here include everything that a reply covers.
    pub fn includes(&self, coverage: &Coverage) -> bool {
        self.known.get(&coverage.sender).is_some_and(|daemon| daemon.status.beat >= coverage.beat)
    }

    /// The time between two heartbeats; it grows with the number of live daemons.
    pub fn heartbeat_interval(&self) -> Duration {
        let rounds = self.live.div_ceil(DAEMONS_PER_ROUND).clamp(1, HEARTBEAT_ROUNDS_MAX);
        ROUND_INTERVAL * u32::try_from(rounds).unwrap_or(1)
    }

    /// The silence after which a daemon no longer counts as live.
    pub fn silent_after(&self) -> Duration {
        SILENCE_MARGIN + self.heartbeat_interval()
    }

    /// Records which heartbeats the daemon at an address knows.
    pub fn on_known_heartbeats(&mut self, peer: SocketAddr, known: BTreeMap<Incarnation, u64>) {
        self.known_to_peer.insert(peer, known);
    }

    /// Forgets what the daemon at an address knows: it did not answer, or may have been replaced.
    pub fn on_missed(&mut self, peer: SocketAddr) {
        self.known_to_peer.remove(&peer);
    }

    /// The daemons to call in this round: some live ones, and from time to time a silent one, so
    /// that the sides of a partition find each other again. `seeds` are tried like silent daemons.
    pub fn targets(
        &mut self,
        now: MonotonicInstant,
        own: SocketAddr,
        seeds: &[SocketAddr],
        generator: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        self.round += 1;
        let mut near: Vec<SocketAddr> = Vec::new();
        let mut far: Vec<SocketAddr> = Vec::new();
        let mut silent: Vec<SocketAddr> = Vec::new();
        for daemon in self.known.values().filter(|daemon| daemon.status.phase != Phase::Leaving) {
            let is_silent = now.since(daemon.at) > self.silent_after();
            let is_remote = self.data_centre.as_ref() != Some(&daemon.identity.data_centre);
            let group = match (is_silent, is_remote) {
                (true, _) => &mut silent,
                (false, true) => &mut far,
                (false, false) => &mut near,
            };
            group.push(daemon.identity.peer);
        }
        silent.extend(seeds);
        silent.retain(|peer| *peer != own && !near.contains(peer) && !far.contains(peer));
        near.retain(|peer| *peer != own);
        far.retain(|peer| *peer != own);
        self.live = near.len() + far.len();
        let mut targets = Vec::new();
        for _ in 0..calls_per_round(self.live) {
            let is_large = self.live >= LARGE_MIN;
            let leaves = !is_large || generator.random_ratio(1, REMOTE_CALL_INTERVAL);
            targets.extend(draw(&mut near, &mut far, leaves, generator));
        }
        if targets.is_empty() || self.round.is_multiple_of(SILENT_CONTACT_INTERVAL_ROUNDS) {
            targets.extend(draw_one(&mut silent, generator));
        }
        targets
    }

    /// A known daemon, live or not.
    pub fn get(&self, daemon: Incarnation) -> Option<&KnownDaemon> {
        self.known.get(&daemon)
    }

    /// All known daemons, including dead ones until they are forgotten.
    pub fn iter(&self) -> impl Iterator<Item = &KnownDaemon> {
        self.known.values()
    }

    /// Whether a daemon is known, live or not.
    pub fn knows(&self, daemon: Incarnation) -> bool {
        self.known.contains_key(&daemon)
    }

    /// The daemons heard from recently enough to count as live.
    pub fn live(&self, now: MonotonicInstant) -> impl Iterator<Item = &KnownDaemon> {
        let silent = self.silent_after();
        self.known.values().filter(move |daemon| now.since(daemon.at) <= silent)
    }

    /// The daemons that may still be running, silent ones included. Of each instance only the
    /// newest incarnation counts; leaving daemons don't.
    pub fn possibly_running(&self, now: MonotonicInstant) -> impl Iterator<Item = &KnownDaemon> {
        self.not_forgotten(now).filter(move |daemon| now.since(daemon.at) <= DEAD_AFTER)
    }

    /// The same, including those that have been silent for so long that they are probably dead.
    pub fn not_forgotten(&self, now: MonotonicInstant) -> impl Iterator<Item = &KnownDaemon> {
        let mut newest: BTreeMap<&Instance, MonotonicInstant> = BTreeMap::new();
        for daemon in self.known.values() {
            let at = newest.entry(&daemon.identity.instance).or_insert(daemon.at);
            *at = daemon.at.max(*at);
        }
        self.known.values().filter(move |daemon| {
            now.since(daemon.at) < FORGET_AFTER
                && daemon.status.phase != Phase::Leaving
                && newest.get(&daemon.identity.instance).is_none_or(|at| *at <= daemon.at)
        })
    }

    /// The other daemons that may send requests for a service, and for how long each has been silent.
    /// Of each instance only the newest incarnation counts; leaving daemons and earlier incarnations
    /// of this one don't.
    pub fn senders(
        &self,
        now: MonotonicInstant,
        own: &Instance,
        service: &Service,
    ) -> Vec<(&Instance, Duration)> {
        let mut newest: BTreeMap<&Instance, &KnownDaemon> = BTreeMap::new();
        for daemon in self.known.values().filter(|daemon| daemon.identity.instance != *own) {
            let known = newest.entry(&daemon.identity.instance).or_insert(daemon);
            if daemon.at > known.at {
                *known = daemon;
            }
        }
        newest.retain(|_, daemon| {
            daemon.status.phase != Phase::Leaving && daemon.status.arrived.contains_key(service)
        });
        newest.into_iter().map(|(instance, daemon)| (instance, now.since(daemon.at))).collect()
    }

    /// The place of an instance among the senders of requests to an upstream.
    pub fn position(
        &self,
        own: &Instance,
        senders: &[(&Instance, Duration)],
        upstream: &UpstreamId,
    ) -> Option<Position> {
        let seed = xxh3_64(upstream.instance.as_str().as_bytes());
        Position::among(own, senders, self.silent_after(), seed)
    }

    /// Forgets daemons that have been silent for a long time.
    pub fn prune(&mut self, now: MonotonicInstant) {
        self.known.retain(|_, daemon| now.since(daemon.at) < FORGET_AFTER);
        let peers: HashSet<SocketAddr> =
            self.known.values().map(|daemon| daemon.identity.peer).collect();
        self.known_to_peer.retain(|peer, _| peers.contains(peer));
    }
}

/// The number of live peers that a daemon calls in a round, of `live` ones. An update then reaches
/// 400 daemons within ten rounds.
pub const fn calls_per_round(live: usize) -> usize {
    if live < LARGE_MIN { 1 } else { 2 }
}

/// The status for a daemon with the heartbeats in `known`; none if it has the newest one.
fn changes_since(
    known: &BTreeMap<Incarnation, u64>,
    silent: u64,
    status: &Status,
) -> Option<(u64, Status)> {
    let beat = known.get(&status.incarnation).copied();
    let is_newer = beat.is_none_or(|beat| beat < status.beat);
    is_newer.then(|| (silent, status.changed_since(beat.unwrap_or_default())))
}

/// Removes a random address and returns it: one of `near`, unless there is none or `leaves` is set
/// and the draw among all addresses falls on one of `far`.
fn draw(
    near: &mut Vec<SocketAddr>,
    far: &mut Vec<SocketAddr>,
    leaves: bool,
    generator: &mut impl Rng,
) -> Option<SocketAddr> {
    let all = near.len() + if leaves || near.is_empty() { far.len() } else { 0 };
    if all == 0 {
        return None;
    }
    let index = generator.random_range(0..all);
    let is_near = index < near.len();
    Some(if is_near { near.swap_remove(index) } else { far.swap_remove(index - near.len()) })
}

/// Removes a random address and returns it.
fn draw_one(from: &mut Vec<SocketAddr>, generator: &mut impl Rng) -> Option<SocketAddr> {
    (!from.is_empty()).then(|| from.swap_remove(generator.random_range(0..from.len())))
}

#[cfg(test)]
mod tests;
