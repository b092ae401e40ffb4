//! What daemons tell each other of themselves several times a second, and what follows from it.
//!
//! Each daemon writes only its own status and passes the others' on, newest version first. So the
//! status of a daemon that died stays known for a while, and one that two daemons can't exchange
//! directly takes a round through a third. [`crate::membership`] keeps the view of daemons that
//! talk to a few neighbours only; here each status changes with every beat.

use crate::listing::Life;
use crate::told::Told;
use crate::windows::{Counts, WINDOWS_KEPT};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use spindle_types::{
    DataCentre, Fencing, Incarnation, Instance, MonotonicInstant, Service, Team, UtcInstant,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The time between two rounds of calls. News reach all of 58 daemons within ten of them, which is
/// less than the users' time for configuration to be in force.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// The daemons that add one round to the time between two beats, so that what a daemon hears in a
/// second grows little with their number.
const DAEMONS_PER_ROUND: usize = 12;

/// The most rounds between two beats: a second, so that silence is still noticed in time.
const BEAT_ROUNDS_MAX: usize = 5;

/// The daemons for each of which a daemon calls one in a round, and one more at all: news reach
/// all of them within ten rounds in the tests, which go up to 58 daemons.
const DAEMONS_PER_CALL: usize = 64;

/// The most daemons among which a caller passes on what it heard of others. Among more, each fetches
/// what it lacks: passed on blindly, most of it would be known there already.
const PASSED_ON_MAX: usize = 8;

/// The silence, beyond the time between two beats, after which a daemon is not told to callers any
/// more: seven rounds, in which the tests find all of 58 daemons live. With the longest beat it is
/// 2.4 s, of the 4 s that the users allow there for a daemon to be in touch.
const SILENT_AFTER: Duration = Duration::from_millis(1_400);

/// The silence after which a daemon is taken to be dead. Until then it may be cut off, and use its
/// share of what daemons spend together. The longest window of a quota in the users' rules.
pub const DEAD_AFTER: Duration = Duration::from_secs(8);

/// The silence after which a status is forgotten; usage is reported within that time.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The most teams whose charges are kept of a daemon, so that memory is bounded. The largest known
/// deployment has 16.
const TEAMS_MAX: usize = 4_096;

/// The most leaving upstreams that a daemon tells of.
pub const LEAVING_MAX: usize = 64;

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

/// Which daemon it is and where it answers; the same for its whole life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// Its instance.
    pub instance: Instance,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it serves callers.
    pub caller: SocketAddr,
    /// Where it answers other daemons.
    pub peer: SocketAddr,
}

/// What a daemon says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it is; left out for daemons that have heard of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Place>,
    /// Raised with each beat.
    pub beat: u64,
    /// Milliseconds for which it had been running at that beat.
    pub uptime: u64,
    /// The civil time by its clock at that beat.
    pub utc: UtcInstant,
    /// Whether it takes requests.
    pub phase: Phase,
    /// The version of the configuration in force there; 0 if there is none.
    pub config: u64,
    /// Milliseconds since it knew the newest configuration; none if it never did.
    pub age: Option<u64>,
    /// The fencing number under which it acts, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acting: Option<Fencing>,
    /// What it has in flight at each upstream: requests, and the milliseconds that the prompts
    /// which have not been read take.
    pub running: BTreeMap<Instance, (u32, u32)>,
    /// Prompt tokens that have arrived there for each service since its start.
    pub arrived: BTreeMap<Service, u64>,
    /// What teams have been charged in its life.
    #[serde(default, skip_serializing_if = "Told::is_empty")]
    pub charged: Told<Team, f64>,
    /// Requests that began to run, by number of the window.
    #[serde(default, skip_serializing_if = "Told::is_empty")]
    pub windows: Told<u64, Counts>,
    /// Upstreams that it knows to be leaving or gone.
    #[serde(default, skip_serializing_if = "Told::is_empty")]
    pub leaving: Told<Life, ()>,
}

impl Status {
    /// The status of a daemon that has just started.
    pub fn new(incarnation: Incarnation, place: Place, utc: UtcInstant) -> Self {
        Self {
            incarnation,
            place: Some(place),
            beat: 0,
            uptime: 0,
            utc,
            phase: Phase::Starting,
            config: 0,
            age: None,
            acting: None,
            running: BTreeMap::new(),
            arrived: BTreeMap::new(),
            charged: Told::default(),
            windows: Told::default(),
            leaving: Told::default(),
        }
    }

    /// How long the daemon had been running at its newest beat.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.uptime)
    }

    /// The status for a daemon that has heard it up to a beat; what has not changed since is left
    /// out.
    fn since(&self, beat: u64) -> Self {
        Self {
            charged: self.charged.since(beat),
            windows: self.windows.since(beat),
            leaving: self.leaving.since(beat),
            running: self.running.clone(),
            arrived: self.arrived.clone(),
            place: self.place.clone().filter(|_| beat == 0),
            ..*self
        }
    }

    /// The status with what an older one says beyond it.
    fn over(&self, older: &Self) -> Self {
        let (mut charged, mut windows) = (older.charged.clone(), older.windows.clone());
        let mut leaving = older.leaving.clone();
        charged.merge(&self.charged, TEAMS_MAX);
        windows.merge(&self.windows, WINDOWS_KEPT);
        leaving.merge(&self.leaving, LEAVING_MAX);
        let place = older.place.clone();
        Self { place, charged, windows, leaving, ..self.clone() }
    }
}

/// One message between two daemons, either way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The newest beat of each daemon that the sender knows; empty in an answer among many daemons.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub known: BTreeMap<Incarnation, u64>,
    /// Statuses that the receiver may lack, each with the milliseconds since the sender heard it.
    pub statuses: Vec<(u64, Status)>,
}

/// A status and when it was heard.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The status.
    pub status: Status,
    /// Where the daemon is.
    pub place: Place,
    /// When its newest beat came.
    pub at: MonotonicInstant,
}

/// All daemons that this one knows, apart from itself.
#[derive(Debug, Default)]
pub struct Presence {
    heard: BTreeMap<Incarnation, Heard>,
    sent: BTreeMap<SocketAddr, BTreeMap<Incarnation, u64>>,
    round: u64,
    /// The daemons that were heard in the newest round; dead ones don't slow the others down.
    live: usize,
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
            let at = now - Duration::from_millis(*silent);
            let status = known.map_or_else(|| status.clone(), |known| status.over(&known.status));
            let Some(place) = status.place.clone() else { continue };
            news.push(status.incarnation);
            self.heard.insert(status.incarnation, Heard { status, place, at });
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
        let statuses = others.chain([(0, own)]).filter_map(|(silent, status)| {
            let beat = known.get(&status.incarnation).copied();
            let newer = beat.is_none_or(|beat| beat < status.beat);
            newer.then(|| (silent, status.since(beat.unwrap_or_default())))
        });
        Message { statuses: statuses.collect(), known: beats }
    }

    /// The message for the daemon at an address, by what it said that it knows. Among many daemons
    /// it tells of this one only, and the answer brings what this one lacks.
    pub fn message_to(&self, now: MonotonicInstant, own: &Status, peer: SocketAddr) -> Message {
        let none = BTreeMap::new();
        let mut message = self.message(now, own, self.sent.get(&peer).unwrap_or(&none));
        if self.live >= PASSED_ON_MAX {
            message.statuses.retain(|(_, status)| status.incarnation == own.incarnation);
        }
        message
    }

    /// The answer to the message of another daemon.
    pub fn answer(&self, now: MonotonicInstant, own: &Status, message: &Message) -> Message {
        let mut answer = self.message(now, own, &message.known);
        if self.live >= PASSED_ON_MAX {
            answer.known.clear();
        }
        answer
    }

    /// The time between two beats.
    pub fn beat_interval(&self) -> Duration {
        let rounds = self.live.div_ceil(DAEMONS_PER_ROUND).clamp(1, BEAT_ROUNDS_MAX);
        ROUND_INTERVAL * u32::try_from(rounds).unwrap_or(1)
    }

    /// The silence after which a daemon is not told to callers any more.
    pub fn silent_after(&self) -> Duration {
        SILENT_AFTER + self.beat_interval()
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
            let silent = now.since(heard.at) > self.silent_after();
            if silent { &mut lost } else { &mut live }.push(heard.place.peer);
        }
        lost.extend(seeds);
        lost.retain(|peer| *peer != own && !live.contains(peer));
        live.retain(|peer| *peer != own);
        self.live = live.len();
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
        let silent = self.silent_after();
        self.heard.values().filter(move |heard| now.since(heard.at) <= silent)
    }

    /// The daemons that may be running, whether they are heard or not. An instance's newest life
    /// counts, and none that is leaving.
    pub fn possible(&self, now: MonotonicInstant) -> impl Iterator<Item = &Heard> {
        self.heard.values().filter(move |heard| {
            let replaced =
                |other: &Heard| other.place.instance == heard.place.instance && other.at > heard.at;
            now.since(heard.at) <= DEAD_AFTER
                && heard.status.phase != Phase::Leaving
                && !self.heard.values().any(replaced)
        })
    }

    /// Forgets daemons that have been silent for long, and gives the others.
    pub fn prune(&mut self, now: MonotonicInstant) {
        self.heard.retain(|_, heard| now.since(heard.at) < FORGET_AFTER);
        let peers: Vec<SocketAddr> = self.heard.values().map(|heard| heard.place.peer).collect();
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
