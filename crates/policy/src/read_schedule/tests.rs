use super::*;
use crate::presence::{Coverage, DaemonIdentity, LEAVING_MAX, Message, Presence, Status};
use crate::upstream_registry::{UpstreamId, UpstreamRegistry};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use spindle_types::{Incarnation, UtcInstant};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const MAX_AGE: Duration = Duration::from_millis(1_200);

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn generator(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// A schedule with some reads behind it, so that its intervals no longer start in step.
fn running_schedule(seed: u64) -> ReadSchedule {
    let (mut schedule, mut generator) = (ReadSchedule::new(MAX_AGE), generator(seed));
    schedule.on_read(at(0), &mut generator);
    schedule.on_read(at(10_000), &mut generator);
    schedule
}

#[test]
fn first_read_is_due_at_once() {
    let (due, _) = ReadSchedule::new(MAX_AGE).next_read(8);
    assert_eq!(due, at(0));
}

#[test]
fn read_is_due_before_the_maximum_age_at_any_number_of_daemons() {
    for (seed, daemon_count) in [1, 6, 16, 58, 400, u32::MAX / 250].into_iter().enumerate() {
        let (due, _) = running_schedule(seed as u64).next_read(daemon_count);
        assert!(due <= at(10_000) + MAX_AGE, "{daemon_count} daemons: {due:?}");
    }
}

#[test]
fn read_is_due_at_once_after_a_pause() {
    let (now, pause) = (at(60_000), Duration::from_secs(50));
    let schedule = running_schedule(3);
    assert_eq!(schedule.age(now), Some(pause));
    assert!(schedule.next_read(58).0 < now);
}

#[test]
fn informed_daemon_reads_at_its_interval_only() {
    let mut schedule = running_schedule(3);
    schedule.on_peer(at(12_900), at(12_850), Duration::from_millis(100));
    let (due, reason) = schedule.next_read(58);
    assert_eq!(reason, ReadReason::Interval);
    assert!(due >= at(13_000) && due <= at(15_000), "{due:?}");
}

#[test]
fn knowledge_of_a_peer_counts_from_the_moment_of_the_call() {
    let mut schedule = running_schedule(3);
    schedule.on_peer(at(12_000), at(11_000), Duration::from_millis(300));
    assert_eq!(schedule.age(at(12_000)), Some(Duration::from_millis(1_300)));
}

#[test]
fn peer_does_not_complete_knowledge_that_is_older_than_its_reports() {
    let mut schedule = running_schedule(3);
    let now = at(10_000) + LEAVING_GOSSIP_PERIOD;
    schedule.on_peer(now, now, Duration::ZERO);
    assert_eq!(schedule.age(now), Some(LEAVING_GOSSIP_PERIOD));
}

#[test]
fn daemons_in_step_spread_their_next_reads_over_a_whole_interval() {
    let mut due: Vec<MonotonicInstant> = (0..40)
        .map(|seed| {
            let mut schedule = ReadSchedule::new(Duration::from_secs(60));
            schedule.on_read(at(0), &mut generator(seed));
            schedule.next_read(40).0
        })
        .collect();
    due.sort();
    let gaps = due.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(gaps.max().unwrap() < Duration::from_secs(1), "{due:?}");
}

struct Daemon {
    own: Status,
    presence: Presence,
    registry: UpstreamRegistry,
    /// The upstreams that it has ever known to be leaving.
    known: BTreeSet<UpstreamId>,
    schedule: ReadSchedule,
    lists_all: bool,
}

fn peer(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2_000 + index as u16))
}

impl Daemon {
    fn start(index: usize, incarnation: u64) -> Self {
        let identity = DaemonIdentity {
            instance: format!("d-{index}").as_str().try_into().unwrap(),
            data_centre: "a".try_into().unwrap(),
            caller: peer(index),
            peer: peer(index),
            handoff: None,
        };
        Self {
            own: Status::new(Incarnation(incarnation), identity, UtcInstant::default()),
            presence: Presence::default(),
            registry: UpstreamRegistry::default(),
            known: BTreeSet::new(),
            schedule: ReadSchedule::new(MAX_AGE),
            lists_all: false,
        }
    }

    fn on_leaving(&mut self, now: MonotonicInstant, id: &UpstreamId) {
        self.registry.on_leaving(now, id);
        self.known.insert(id.clone());
    }

    /// Lists the leaving upstreams in the own status, as the status exchange does before a reply.
    fn update(&mut self, now: MonotonicInstant) {
        let leaving: Vec<UpstreamId> =
            self.registry.leaving(now).take(LEAVING_MAX).cloned().collect();
        self.lists_all = self.registry.leaving(now).count() == leaving.len();
        self.own.beat += 1;
        self.own.leaving.set(self.own.beat, leaving.into_iter().map(|id| (id, ())));
    }

    fn apply(&mut self, now: MonotonicInstant, message: &Message) {
        let updated = self.presence.on_message(now, self.own.incarnation, message);
        let statuses = message.statuses.iter().map(|(_, status)| status);
        for status in statuses.filter(|status| updated.contains(&status.incarnation)) {
            for (upstream, ()) in status.leaving.iter() {
                self.on_leaving(now, upstream);
            }
        }
    }

    fn reply(&mut self, now: MonotonicInstant, message: &Message) -> Message {
        self.apply(now, message);
        self.update(now);
        let mut reply = self.presence.reply(now, &self.own, message);
        let age = self.schedule.age(now).filter(|_| self.lists_all);
        reply.coverage = age.map(|age| Coverage {
            sender: self.own.incarnation,
            beat: self.own.beat,
            age: age.as_millis() as u64,
        });
        reply
    }
}

/// A call or reply on its way between two daemons.
struct Transit {
    from: usize,
    to: usize,
    sent: MonotonicInstant,
    message: Message,
    is_reply: bool,
    /// The run of the caller, which alone may receive the reply.
    caller: Incarnation,
}

/// Daemons whose calls and replies are delayed, lost and reordered, and which restart, beside a
/// store in which upstreams leave.
struct Interleaving {
    random: ChaCha8Rng,
    now: MonotonicInstant,
    daemons: Vec<Daemon>,
    in_transit: Vec<Transit>,
    left: Vec<(MonotonicInstant, UpstreamId)>,
    incarnations: u64,
    accepted: u32,
}

impl Interleaving {
    fn new(seed: u64) -> Self {
        let mut random = generator(seed);
        let count = random.random_range(2..12);
        let daemons = (0..count).map(|index| Daemon::start(index, index as u64)).collect();
        Self {
            random,
            now: at(1_000),
            daemons,
            in_transit: Vec::new(),
            left: Vec::new(),
            incarnations: 100,
            accepted: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.random.random_range(0..120));
        let now = self.now;
        let index = self.random.random_range(0..self.daemons.len());
        match self.random.random_range(0..100) {
            0..15 => {
                let instance = format!("i-{}", self.left.len()).as_str().try_into().unwrap();
                self.left.push((now, UpstreamId { instance, started_at_ms: 1 }));
            }
            15..25 => {
                let daemon = &mut self.daemons[index];
                for (_, id) in &self.left {
                    daemon.on_leaving(now, id);
                }
                daemon.schedule.on_read(now, &mut self.random);
            }
            25..27 => {
                self.incarnations += 1;
                self.daemons[index] = Daemon::start(index, self.incarnations);
            }
            27..30 => self.daemons[index].presence.on_missed(peer(index)),
            30..60 => self.call(index),
            _ => self.deliver(),
        }
    }

    fn call(&mut self, from: usize) {
        let to = self.random.random_range(0..self.daemons.len());
        if from == to {
            return;
        }
        let daemon = &mut self.daemons[from];
        daemon.update(self.now);
        let (sent, caller) = (self.now, daemon.own.incarnation);
        let message = daemon.presence.message_to(sent, &daemon.own, peer(to));
        self.in_transit.push(Transit { from, to, sent, message, is_reply: false, caller });
    }

    fn deliver(&mut self) {
        if self.in_transit.is_empty() {
            return;
        }
        let chosen = self.random.random_range(0..self.in_transit.len());
        let Transit { from, to, sent, message, is_reply, caller } =
            self.in_transit.swap_remove(chosen);
        let (now, is_lost) = (self.now, self.random.random_bool(0.2));
        let receiver = &mut self.daemons[to];
        if is_lost || is_reply && receiver.own.incarnation != caller {
            return;
        }
        if !is_reply {
            let message = receiver.reply(now, &message);
            let (from, to) = (to, from);
            self.in_transit.push(Transit { from, to, sent, message, is_reply: true, caller });
            return;
        }
        receiver.apply(now, &message);
        if let Some(coverage) = message.coverage.filter(|found| receiver.presence.includes(found)) {
            receiver.schedule.on_peer(now, sent, Duration::from_millis(coverage.age));
            self.accepted += 1;
        }
        receiver.presence.on_known_heartbeats(peer(from), message.known);
    }

    /// An upstream that a daemon should know to be leaving but doesn't.
    fn missed(&self) -> Option<String> {
        self.daemons.iter().find_map(|daemon| {
            let age = daemon.schedule.age(self.now)?;
            let complete_until = self.now - age;
            let due = self.left.iter().filter(|(left_at, _)| *left_at < complete_until);
            let missed = due.clone().find(|(_, id)| !daemon.known.contains(id))?;
            Some(format!("{} misses {missed:?} at {:?}", daemon.own.incarnation, self.now))
        })
    }
}

/// A daemon that claims to know all that the store acknowledged until some moment does know it,
/// however calls and replies are delayed, lost and reordered, and whoever restarts.
#[test]
fn daemon_knows_all_upstreams_that_left_before_its_age() {
    let mut accepted = 0;
    for seed in 0..100 {
        let mut run = Interleaving::new(seed);
        for step in 0..450 {
            run.step();
            assert_eq!(run.missed(), None, "seed {seed}, step {step}");
        }
        accepted += run.accepted;
    }
    assert!(accepted > 500, "only {accepted} answers of peers counted");
}
