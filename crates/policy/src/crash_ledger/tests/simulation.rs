//! Many daemons that tell each other of crashes, with news that are late or lost.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Upstreams that a request may be sent to.
const ATTEMPTS: usize = 2;

/// Time from sending a request that crashes upstreams until the crash.
const CRASH_MS: u64 = 80;

/// How long after the last crash that is needed to know the cause requests that still reach upstreams count.
const CONTACT_MS: u64 = 3_000;

/// Interval at which a daemon tells the others.
const TELL_MS: u64 = 50;

/// Interval at which a daemon compares what it knows with another one.
const COMPARE_MS: u64 = 1_000;

/// Time until a sound response has gone on.
const BEGIN_MS: u64 = 100;

const DAY_MS: u64 = 60_000;

/// Sound requests per second at all daemons together, and bad ones.
const SOUND_PER_S: u64 = 60;
const BAD_PER_S: u64 = 5;

#[derive(Clone, Copy)]
struct Case {
    /// Whether one request is repeated, in place of different ones with the same part.
    repeats: bool,
    daemons: usize,
    late_ms: u64,
    lost: f64,
    seed: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    crashes: usize,
    /// Bad requests that reached upstreams later than [`CONTACT_MS`] after the cause was to be known.
    late: usize,
    sound: usize,
    refused: usize,
    messages: usize,
}

struct Simulation {
    case: Case,
    generator: ChaCha8Rng,
    daemons: Vec<CrashLedger>,
    names: Vec<Instance>,
    /// News under way: when they arrive, at which daemon, and their place in `sent`.
    under_way: BinaryHeap<Reverse<(u64, usize, usize)>>,
    sent: Vec<CrashNews>,
    /// Sound responses: when they have gone on, at which daemon, and their rare part.
    responses: BinaryHeap<Reverse<(u64, usize, u64)>>,
    /// When the cause was to be known.
    known_at: Option<u64>,
    outcome: Outcome,
}

impl Simulation {
    fn new(case: Case) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(case.seed),
            daemons: (0..case.daemons).map(|_| CrashLedger::default()).collect(),
            names: (0..case.daemons).map(|at| format!("d-{at}").try_into().unwrap()).collect(),
            under_way: BinaryHeap::new(),
            sent: Vec::new(),
            responses: BinaryHeap::new(),
            known_at: None,
            outcome: Outcome::default(),
            case,
        }
    }

    fn run(mut self) -> Outcome {
        for now in 0..DAY_MS {
            self.receive(now);
            let draw = self.generator.random_range(0..1_000);
            if draw < SOUND_PER_S {
                self.send_sound(now);
            } else if draw < SOUND_PER_S + BAD_PER_S {
                self.send_bad(now);
            }
            if now % TELL_MS == 0 {
                self.tell(now);
            }
            if now % COMPARE_MS == 0 {
                self.compare(now);
            }
        }
        self.outcome
    }

    fn receive(&mut self, now: u64) {
        while self.under_way.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
            let Some(Reverse((_, to, index))) = self.under_way.pop() else { break };
            // The time on the way is not known to the receiver.
            self.daemons[to].on_news(at(now), &self.sent[index]);
        }
        while self.responses.peek().is_some_and(|Reverse((due, ..))| *due <= now) {
            let Some(Reverse((_, daemon, rare))) = self.responses.pop() else { break };
            self.daemons[daemon].on_sound(at(now), &[part(POPULAR), part(rare)]);
        }
    }

    fn draw_daemon(&mut self) -> usize {
        self.generator.random_range(0..self.case.daemons)
    }

    /// One of a few dozen parts, each of which is rarely in flight.
    fn draw_rare_part(&mut self) -> u64 {
        100 + self.generator.random_range(0..40)
    }

    fn is_refused(&mut self, now: u64, daemon: usize, keys: &[WorkKey]) -> bool {
        let names = &self.names;
        let is_prober = |key: WorkKey| {
            let others = names.iter().enumerate().filter(|(other, _)| *other != daemon);
            key.probed_by(&names[daemon], others.map(|(_, name)| name))
        };
        self.daemons[daemon].verdict(at(now), keys, is_prober).is_some()
    }

    fn send_sound(&mut self, now: u64) {
        let (daemon, rare) = (self.draw_daemon(), self.draw_rare_part());
        self.outcome.sound += 1;
        if self.is_refused(now, daemon, &[part(POPULAR), part(rare)]) {
            self.outcome.refused += 1;
        } else {
            self.responses.push(Reverse((now + BEGIN_MS, daemon, rare)));
        }
    }

    fn send_bad(&mut self, now: u64) {
        let daemon = self.draw_daemon();
        if self.case.repeats {
            let request = [WorkKey::Request(BAD)];
            for attempt in 0..ATTEMPTS as u64 {
                if self.is_refused(now, daemon, &request) {
                    return;
                }
                self.crash(now + CRASH_MS * attempt, daemon, &request);
            }
            return;
        }
        let keys = [part(POPULAR), part(BAD), part(self.draw_rare_part())];
        if self.is_refused(now, daemon, &keys) {
            return;
        }
        let crashed = self.crash(now, daemon, &keys);
        // A sound request was beginning there too, sent by another daemon.
        let (other, innocent) = (self.draw_daemon(), self.draw_rare_part());
        self.daemons[other].on_crash(at(now), &crashed, &[part(POPULAR), part(innocent)]);
    }

    /// Sends a request to an upstream, which it crashes.
    fn crash(&mut self, now: u64, daemon: usize, keys: &[WorkKey]) -> UpstreamId {
        self.outcome.late += usize::from(self.known_at.is_some_and(|at| now > at + CONTACT_MS));
        let crashed = upstream(self.outcome.crashes as u64);
        self.outcome.crashes += 1;
        if self.outcome.crashes == if self.case.repeats { 3 } else { 5 } {
            self.known_at = Some(now);
        }
        self.daemons[daemon].on_crash(at(now), &crashed, keys);
        crashed
    }

    fn tell(&mut self, now: u64) {
        let Case { daemons, late_ms, lost, .. } = self.case;
        for from in 0..daemons {
            let news = self.daemons[from].take_untold(at(now));
            if news.is_empty() {
                continue;
            }
            self.sent.push(news);
            for to in (0..daemons).filter(|to| *to != from) {
                self.outcome.messages += 1;
                if !self.generator.random_bool(lost) {
                    let due = now + self.generator.random_range(1..=late_ms);
                    self.under_way.push(Reverse((due, to, self.sent.len() - 1)));
                }
            }
        }
    }

    fn compare(&mut self, now: u64) {
        for to in 0..self.case.daemons {
            let from = self.draw_daemon();
            if self.daemons[to].digest() != self.daemons[from].digest() {
                let records = self.daemons[from].records(at(now));
                self.daemons[to].on_news(at(now), &records);
            }
        }
    }
}

fn check(repeats: bool) {
    for (daemons, late_ms, lost) in [
        (1, 1, 0.0),
        (6, 100, 0.1),
        (8, 100, 0.1),
        (8, 1_000, 0.0),
        (8, 2_000, 0.1),
        (16, 1_000, 0.1),
        (58, 100, 0.1),
        (58, 1_000, 0.1),
        (58, 2_000, 0.1),
        (400, 100, 0.1),
    ] {
        for seed in 0..3 {
            let outcome = Simulation::new(Case { repeats, daemons, late_ms, lost, seed }).run();
            println!("repeats={repeats} {daemons} daemons, {late_ms} ms, {lost} lost: {outcome:?}");
            assert!(outcome.late <= 3, "{daemons} daemons, {late_ms} ms: {outcome:?}");
            assert!(outcome.refused * 10 <= outcome.sound, "{daemons}, {late_ms}: {outcome:?}");
        }
    }
}

#[test]
fn few_requests_with_a_bad_part_reach_upstreams_and_sound_ones_are_sent_at_any_number_of_daemons() {
    check(false);
}

#[test]
fn few_repeats_of_a_bad_request_reach_upstreams_at_any_number_of_daemons() {
    check(true);
}
