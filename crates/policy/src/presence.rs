//! What daemons tell each other of themselves several times a second, and what follows from it.
//!
//! Each daemon writes only its own status and passes the others' on, newest version first. So the
//! status of a daemon that died stays known for a while, and one that two daemons can't exchange
//! directly takes a round through a third. [`crate::membership`] keeps the view of daemons that
//! talk to a few neighbours only; here each status changes with every beat.

use crate::listing::Life;
use crate::windows::Windows;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Fencing, Incarnation, Instance, MonotonicInstant, Service, Team};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The time between two beats of a daemon. News cross a deployment in two or three of them, which
/// is a quarter of the users' time for configuration to be in force.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The daemons for each of which a daemon calls one in a round, and one more at all: news reach
/// all of them in about four rounds at every size.
const DAEMONS_PER_CALL: usize = 24;

/// The silence after which a daemon is not told to callers any more: eight beats, as a status takes
/// about four of them through others. Half of the users' time for a daemon to be in touch.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_600);

/// The silence after which a daemon is taken to be dead. Until then it may be cut off, and use its
/// share of what daemons spend together. The longest window of a quota in the users' rules.
pub const DEAD_AFTER: Duration = Duration::from_secs(8);

/// The silence after which a status is forgotten; usage is reported within that time.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Which of the daemons that are not heard is tried, one in so many rounds.
const LOST_ROUNDS: u64 = 5;

/// Whether a daemon takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It does not know the configuration yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It stops.
    Leaving,
}

/// What a daemon says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its life.
    pub incarnation: Incarnation,
    /// Its instance.
    pub instance: Instance,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it serves callers.
    pub caller: SocketAddr,
    /// Where it answers other daemons.
    pub peer: SocketAddr,
    /// Raised with each beat.
    pub beat: u64,
    /// Whether it takes requests.
    pub phase: Phase,
    /// The version of the configuration in force there; 0 if there is none.
    pub config: u64,
    /// Milliseconds since it knew the newest configuration; none if it never did.
    pub age: Option<u64>,
    /// The fencing number under which it acts, if it does.
    pub acting: Option<Fencing>,
    /// What it has in flight at each upstream: requests, and the milliseconds that the prompts
    /// which have not been read take.
    pub running: BTreeMap<Instance, (u32, u32)>,
    /// Prompt tokens that have arrived there for each service since its start.
    pub arrived: BTreeMap<Service, u64>,
    /// What teams have been charged in its life.
    pub charged: BTreeMap<Team, f64>,
    /// Requests that began to run.
    pub windows: Windows,
    /// Upstreams that it knows to be leaving or gone.
    pub leaving: Vec<Life>,
}

impl Status {
    /// How long the daemon has been running, at the least.
    pub fn age(&self) -> Duration {
        BEAT_INTERVAL * u32::try_from(self.beat).unwrap_or(u32::MAX)
    }
}

/// One message between two daemons, either way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The newest beat of each daemon that the sender knows.
    pub known: BTreeMap<Incarnation, u64>,
    /// Statuses that the receiver may lack, each with the milliseconds since the sender heard it.
    pub statuses: Vec<(u64, Status)>,
}

/// A status and when it was heard.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The status.
    pub status: Status,
    /// When its newest beat came.
    pub at: MonotonicInstant,
}

/// All daemons that this one knows, apart from itself.
#[derive(Debug, Default)]
pub struct Presence {
    heard: BTreeMap<Incarnation, Heard>,
    sent: BTreeMap<SocketAddr, BTreeMap<Incarnation, u64>>,
    round: u64,
}

impl Presence {
    /// Takes in the statuses of a message; those that were news. One that is passed on is as old as
    /// its sender says, so that nobody takes a daemon that died long ago for a new one.
    pub fn on_message(
        &mut self,
        now: MonotonicInstant,
        own: Incarnation,
        message: &Message,
    ) -> Vec<Incarnation> {
        let mut news = Vec::new();
        for (silent, status) in &message.statuses {
            if status.incarnation == own {
                continue;
            }
            let known = self.heard.get(&status.incarnation);
            if known.is_some_and(|known| known.status.beat >= status.beat) {
                continue;
            }
            news.push(status.incarnation);
            let at = now - Duration::from_millis(*silent);
            self.heard.insert(status.incarnation, Heard { status: status.clone(), at });
        }
        news
    }

    /// The message for a daemon that knows the beats given; none are known of a stranger.
    pub fn message(
        &self,
        now: MonotonicInstant,
        own: &Status,
        known: &BTreeMap<Incarnation, u64>,
    ) -> Message {
        let mut beats: BTreeMap<_, _> =
            self.heard.iter().map(|(life, heard)| (*life, heard.status.beat)).collect();
        beats.insert(own.incarnation, own.beat);
        let silent =
            |heard: &Heard| u64::try_from(now.since(heard.at).as_millis()).unwrap_or(u64::MAX);
        let others = self.heard.values().map(|heard| (silent(heard), &heard.status));
        let newer =
            |status: &Status| known.get(&status.incarnation).is_none_or(|beat| *beat < status.beat);
        let all = others.chain([(0, own)]).filter(|(_, status)| newer(status));
        let statuses = all.map(|(silent, status)| (silent, status.clone())).collect();
        Message { known: beats, statuses }
    }

    /// The message for the daemon at an address, by what it said that it knows.
    pub fn message_to(&self, now: MonotonicInstant, own: &Status, peer: SocketAddr) -> Message {
        let none = BTreeMap::new();
        self.message(now, own, self.sent.get(&peer).unwrap_or(&none))
    }

    /// Notes what the daemon at an address knows.
    pub fn on_known(&mut self, peer: SocketAddr, known: BTreeMap<Incarnation, u64>) {
        self.sent.insert(peer, known);
    }

    /// Notes that the daemon at an address did not answer, or may have been replaced.
    pub fn on_missed(&mut self, peer: SocketAddr) {
        self.sent.remove(&peer);
    }

    /// The daemons to be called in this round: some that are heard, and now and then one that is
    /// not, so that the sides of a partition meet again. `seeds` are tried until some are heard.
    pub fn targets(
        &mut self,
        now: MonotonicInstant,
        own: SocketAddr,
        seeds: &[SocketAddr],
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        self.round += 1;
        let mut live: Vec<SocketAddr> = Vec::new();
        let mut lost: Vec<SocketAddr> = Vec::new();
        for heard in self.heard.values().filter(|heard| heard.status.phase != Phase::Leaving) {
            let silent = now.since(heard.at) > SILENT_AFTER;
            if silent { &mut lost } else { &mut live }.push(heard.status.peer);
        }
        lost.extend(seeds);
        lost.retain(|peer| *peer != own && !live.contains(peer));
        live.retain(|peer| *peer != own);
        let calls = 1 + live.len() / DAEMONS_PER_CALL;
        let mut targets = draw(&mut live, calls, random);
        if targets.is_empty() || self.round.is_multiple_of(LOST_ROUNDS) {
            targets.extend(draw(&mut lost, 1, random));
        }
        targets
    }

    /// All daemons heard of, dead ones included until they are forgotten.
    pub fn iter(&self) -> impl Iterator<Item = &Heard> {
        self.heard.values()
    }

    /// The daemons that answer.
    pub fn live(&self, now: MonotonicInstant) -> impl Iterator<Item = &Heard> {
        self.heard.values().filter(move |heard| now.since(heard.at) <= SILENT_AFTER)
    }

    /// The daemons that may be running, whether they are heard or not. An instance's newest life
    /// counts, and none that is leaving.
    pub fn possible(&self, now: MonotonicInstant) -> impl Iterator<Item = &Heard> {
        self.heard.values().filter(move |heard| {
            let replaced = |other: &Heard| {
                other.status.instance == heard.status.instance && other.at > heard.at
            };
            now.since(heard.at) <= DEAD_AFTER
                && heard.status.phase != Phase::Leaving
                && !self.heard.values().any(replaced)
        })
    }

    /// Forgets daemons that have been silent for long, and gives the others.
    pub fn prune(&mut self, now: MonotonicInstant) {
        self.heard.retain(|_, heard| now.since(heard.at) < FORGET_AFTER);
        let peers: Vec<SocketAddr> = self.heard.values().map(|heard| heard.status.peer).collect();
        self.sent.retain(|peer, _| peers.contains(peer));
    }
}

/// Draws up to `count` of some addresses.
fn draw(from: &mut Vec<SocketAddr>, count: usize, random: &mut impl Rng) -> Vec<SocketAddr> {
    let mut drawn = Vec::new();
    while drawn.len() < count && !from.is_empty() {
        let index = random.random_range(0..from.len());
        drawn.push(from.swap_remove(index));
    }
    drawn
}

#[cfg(test)]
mod tests;
