//! The bytes that the lease holder exchanges with the other daemons during a rollout.
//!
//! Guards against messages that fill the link of a holder with 10 Mbit/s: its calls to the store then
//! time out, and it loses the lease in the middle of the rollout.

use super::*;
use crate::presence::{DaemonIdentity, Message, Phase, Presence, ROUND_INTERVAL};
use crate::rollout::Response;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spindle_types::UtcInstant;
use std::net::SocketAddr;

/// Requests per second of the service.
const RATE: f64 = 300.0;

/// Mean duration of a request in seconds.
const DURATION_S: f64 = 1.43;

/// Headers of an HTTP/1.1 request or response between daemons, and the JSON-RPC envelope.
const ENVELOPE: usize = 250;

const ROUTES: [&str; 5] = ["/chat", "/complete", "/embed", "/rerank", "/classify"];

fn peer(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

fn size(content: &impl Serialize) -> usize {
    ENVELOPE + serde_json::to_vec(content).unwrap().len()
}

struct Daemon {
    own: Status,
    presence: Presence,
    evidence: EvidenceMap,
    sent: BTreeMap<String, u64>,
}

struct Site {
    daemons: Vec<Daemon>,
    random: ChaCha8Rng,
    stage: Stage,
    /// Bytes that the holder, which is the first daemon, has sent and received.
    holder_bytes: usize,
    now: u64,
}

impl Site {
    fn new(count: usize) -> Self {
        let daemon = |index: usize| {
            let identity = DaemonIdentity {
                instance: format!("i-{index:010x}").as_str().try_into().unwrap(),
                data_centre: format!("dc-{}", index % 6).as_str().try_into().unwrap(),
                caller: peer(index),
                peer: peer(index),
                handoff: None,
            };
            let data_centre = identity.data_centre.clone();
            let own = Status::new(
                Incarnation(0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(index as u64 + 1)),
                identity,
                UtcInstant(1_764_806_400_000),
            );
            Daemon {
                own: Status { beat: 1, phase: Phase::Ready, ..own },
                presence: Presence::in_data_centre(data_centre),
                evidence: EvidenceMap::default(),
                sent: BTreeMap::new(),
            }
        };
        Self {
            daemons: (0..count).map(daemon).collect(),
            random: ChaCha8Rng::seed_from_u64(7),
            stage: Stage::Trial,
            holder_bytes: 0,
            now: 0,
        }
    }

    /// Requests of a heartbeat interval at a daemon.
    fn serve(&mut self, index: usize, interval: Duration) {
        let share = RATE / self.daemons.len() as f64;
        let expected = share * interval.as_secs_f64();
        let count = expected as u32 + u32::from(self.random.random_bool(expected.fract()));
        let daemon = &mut self.daemons[index];
        for _ in 0..count {
            let route = ROUTES[self.random.random_range(0..ROUTES.len())];
            *daemon.sent.entry(route.to_owned()).or_default() += 1;
            let used = match self.stage {
                Stage::Trial if self.random.random_bool(0.05) => Some(4),
                Stage::Switch => Some(50),
                _ => None,
            };
            let upstream = used.map(|used| {
                let index = self.random.random_range(0..used);
                Instance::try_from(format!("i-{index:010x}").as_str()).unwrap()
            });
            let millis = self.random.random_range(40..2_000);
            let first_byte = Some(Duration::from_millis(millis));
            let pace = Some(Duration::from_millis(millis / 20));
            let response = Response { is_failed: false, first_byte, pace };
            daemon.evidence.record(route, upstream.as_ref(), &response);
        }
        let in_flight = (share * DURATION_S) as usize;
        daemon.own.running = (0..in_flight)
            .map(|_| {
                let index = self.random.random_range(0..95);
                (format!("i-{index:010x}").as_str().try_into().unwrap(), (1, 120))
            })
            .collect();
        let beat = daemon.own.beat;
        let each = in_flight as u32 / ROUTES.len() as u32;
        let report = RolloutReport {
            order: 1,
            stage: self.stage,
            sent: daemon.sent.clone(),
            old_in_flight: ROUTES.iter().map(|route| ((*route).to_owned(), each)).collect(),
            target_in_flight: 1,
            is_convicted: false,
        };
        daemon.own.rollouts.reports.set(beat, [(service("a"), report)]);
        let entries = daemon.evidence.0.iter().map(|((route, upstream), counts)| {
            ((service("a"), 1, route.clone(), upstream.clone()), counts.clone())
        });
        daemon.own.rollouts.evidence.set(beat, entries);
    }

    fn round(&mut self) {
        self.now += 200;
        let now = at(self.now);
        for from in 0..self.daemons.len() {
            let interval = self.daemons[from].presence.heartbeat_interval();
            let rounds = interval.as_millis() / ROUND_INTERVAL.as_millis();
            if (self.now / 200 + from as u64).is_multiple_of(rounds as u64) {
                self.daemons[from].own.beat += 1;
                self.daemons[from].own.uptime = self.now;
                self.serve(from, interval);
            }
            let Daemon { own, presence, .. } = &mut self.daemons[from];
            let targets = presence.targets(now, peer(from), &[peer(0), peer(1)], &mut self.random);
            let own = own.clone();
            for target in targets {
                let to = (0..self.daemons.len()).find(|to| peer(*to) == target).unwrap();
                let message = self.daemons[from].presence.message_to(now, &own, target);
                let reply = self.receive(to, &message);
                if from == 0 || to == 0 {
                    self.holder_bytes += size(&message) + size(&reply);
                }
                let presence = &mut self.daemons[from].presence;
                presence.on_message(now, own.incarnation, &reply);
                presence.on_known_heartbeats(target, reply.known);
            }
        }
    }

    fn receive(&mut self, to: usize, message: &Message) -> Message {
        let now = at(self.now);
        let Daemon { own, presence, .. } = &mut self.daemons[to];
        presence.on_message(now, own.incarnation, message);
        presence.reply(now, own, message)
    }

    /// The bytes of a step that the holder tells all daemons at once.
    fn announce(&mut self) -> usize {
        let shares = ROUTES.iter().map(|route| ((*route).to_owned(), 0.047_018_372)).collect();
        let notice = StepNotice {
            holder: self.daemons[0].own.incarnation,
            uptime: self.now,
            listed: 250,
            steps: vec![RolloutStep { shares, ..step(3) }],
            stopped: Vec::new(),
        };
        let reply = true;
        (self.daemons.len() - 1) * (size(&notice) + size(&reply))
    }

    /// The bytes of a step that is told by exchanging statuses with all daemons.
    fn announce_by_exchange(&mut self) -> usize {
        let own = self.daemons[0].own.clone();
        let mut bytes = 0;
        for to in 1..self.daemons.len() {
            let message = self.daemons[0].presence.message_to(at(self.now), &own, peer(to));
            let reply = self.receive(to, &message);
            bytes += size(&message) + size(&reply);
        }
        bytes
    }
}

/// Bytes per second of the holder in a stage, and of one announcement in both ways.
fn traffic(count: usize, stage: Stage) -> (usize, usize, usize) {
    let mut site = Site::new(count);
    site.stage = stage;
    // A daemon of 79 has called the same one before, 8 s earlier on average. Statuses of 400 take long to
    // simulate.
    let rounds = if count > 100 { 15 } else { 60 };
    (0..rounds).for_each(|_| site.round());
    site.holder_bytes = 0;
    (0..rounds).for_each(|_| site.round());
    let each = (site.holder_bytes * 5 / rounds, site.announce());
    (each.0, each.1, site.announce_by_exchange())
}

/// The deployments whose holder exceeds 4 KB/s for each other daemon, or 300 KB/s with 79.
fn exceeded(cases: &[(usize, Stage)], notices_per_s: usize) -> Vec<String> {
    let mut failed = Vec::new();
    for (count, stage) in cases {
        let (statuses, notice, exchange) = traffic(*count, *stage);
        println!(
            "daemons={count} stage={stage} statuses_per_s={statuses} notice={notice} \
             exchange={exchange}"
        );
        let total = statuses + notice * notices_per_s;
        if total > 4_096 * (count - 1) || (*count == 79 && total > 300_000) {
            failed.push(format!("{count} {stage}: {total}"));
        }
    }
    failed
}

/// The shares of a trial change at most once a second.
#[test]
fn the_holder_of_a_large_deployment_exchanges_few_bytes_during_a_rollout() {
    let cases = [(79, Stage::Trial), (400, Stage::Switch)];
    assert_eq!(Vec::<String>::new(), exceeded(&cases, 1));
    assert_eq!(Vec::<String>::new(), exceeded(&[(79, Stage::Switch)], 0));
}

#[test]
#[ignore = "KNOWN-RED"]
fn the_holder_exchanges_few_bytes_whatever_the_stage_and_the_number_of_daemons() {
    let cases = [(8, Stage::Trial), (8, Stage::Switch), (79, Stage::Switch)];
    assert_eq!(Vec::<String>::new(), exceeded(&cases, 1));
}

/// Guards against a step that is announced although daemons send as before.
#[test]
fn only_steps_that_change_what_daemons_do_are_told_at_once() {
    let before = step(3);
    let recorded = RolloutStep { sequence: 4, reason: StepReason::Recorded, ..step(3) };
    assert!(!recorded.changes_routing(&before));
    let rest = RolloutStep { phase: TrialPhase::Rest, ..recorded.clone() };
    assert!(!rest.changes_routing(&before));
    let second = RolloutStep { phase: TrialPhase::SecondPulse, ..recorded.clone() };
    assert!(second.changes_routing(&before));
    assert!(RolloutStep { default_share: 0.06, ..recorded.clone() }.changes_routing(&before));
    assert!(RolloutStep { stage: Stage::Switch, ..recorded }.changes_routing(&before));
}
