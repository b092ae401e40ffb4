//! A play of daemons that choose engines by [`choose`]. Each daemon knows its own requests, what the
//! statuses of the others told up to two seconds ago, and what engines have reported in responses.

use super::*;
use crate::breaker::BreakerState;
use crate::upstream_registry::UpstreamKey;
use crate::upstream_selection::plain::{REPORTED_LOAD_MAX_AGE, UpstreamReport};
use crate::upstream_selection::{Candidate, Choice, Criteria, LimitState, Prompt, choose};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Prompt tokens that an engine prefills per millisecond, its slots and its queue.
const ENGINE_TOKENS_PER_MS: f64 = 90.0;
const ENGINE_SLOTS: usize = 24;
const ENGINE_QUEUE: usize = 50;

const TICK_MS: u64 = 5;
/// Interval at which a daemon takes the statuses of the others.
const PEERS_INTERVAL_MS: u64 = 200;
/// Interval between two statuses of a daemon, and the longest time that one takes to another daemon.
const STATUS_INTERVAL_MS: u64 = 1_000;
const STATUS_DELAY_MAX_MS: u64 = 1_000;

/// Attempts of one request, and retries for each request that the budget of a daemon permits.
const ATTEMPTS_MAX: usize = 3;
const RETRY_SHARE: f64 = 0.1;

/// Distinct prefixes, and the fraction of a prompt that its prefix is.
const PREFIXES: u64 = 300;
const SHARED_FRACTION: f64 = 0.5;

/// The relay refuses requests that would wait longer than this multiple of the shortest target.
const LATENESS_FACTOR_MAX: u32 = 3;
const SHORTEST_TARGET_MS: u64 = 500;

/// Phases of a play: a load that fits, and an overload, of which the first second is not counted.
pub(super) const BURST_MS: (u64, u64) = (3_000, 8_000);
const SETTLED_MS: u64 = BURST_MS.0 + 1_000;

/// A kind of request: the ranges of its prompt and of the time that it holds its slot after the
/// prefill, and its target.
#[derive(Clone, Copy)]
pub(super) struct Kind {
    tokens: (f64, f64),
    hold_ms: (f64, f64),
    pub(super) target_ms: u64,
}

/// Slots are what runs short.
pub(super) const STREAMS: [Kind; 3] = [
    Kind { tokens: (300.0, 1_200.0), hold_ms: (500.0, 1_500.0), target_ms: 500 },
    Kind { tokens: (300.0, 1_200.0), hold_ms: (500.0, 1_500.0), target_ms: 600 },
    Kind { tokens: (300.0, 1_200.0), hold_ms: (500.0, 1_500.0), target_ms: 2_000 },
];

/// The time for prompts is what runs short, as on the heaviest day.
pub(super) const PROMPTS: [Kind; 3] = [
    Kind { tokens: (12_000.0, 12_000.0), hold_ms: (700.0, 700.0), target_ms: 500 },
    Kind { tokens: (830.0, 830.0), hold_ms: (500.0, 500.0), target_ms: 600 },
    Kind { tokens: (2_400.0, 2_400.0), hold_ms: (60.0, 60.0), target_ms: 2_000 },
];

impl Kind {
    /// Fraction of a second of an engine that a request takes up, by what runs short.
    fn work(&self) -> f64 {
        let mean = |(low, high): (f64, f64)| (low + high) / 2.0;
        let slot_ms = mean(self.hold_ms) + mean(self.tokens) / ENGINE_TOKENS_PER_MS;
        let prompt_ms = mean(self.tokens) / ENGINE_TOKENS_PER_MS;
        (slot_ms / ENGINE_SLOTS as f64).max(prompt_ms) / 1e3
    }
}

struct Job {
    request: usize,
    daemon: usize,
    left: f64,
    hold_ms: f64,
}

#[derive(Default)]
struct Engine {
    running: Vec<Job>,
    waiting: Vec<Job>,
}

impl Engine {
    fn requests(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Runs for one tick. Returns the requests whose prompts are done and those that have ended, with
    /// their daemons, and the fractions of slots and of prompt time that were used.
    fn tick(&mut self, requests: &[Request]) -> Tick {
        let mut tick = Tick::default();
        for job in self.running.iter_mut().filter(|job| job.left <= 0.0) {
            job.hold_ms -= TICK_MS as f64;
        }
        let is_over = |job: &mut Job| job.left <= 0.0 && job.hold_ms <= 0.0;
        tick.ended
            .extend(self.running.extract_if(.., is_over).map(|job| (job.request, job.daemon)));
        while self.running.len() < ENGINE_SLOTS && !self.waiting.is_empty() {
            let rank = |index: &usize| requests[self.waiting[*index].request].rank;
            let first = (0..self.waiting.len()).min_by_key(rank);
            self.running.push(self.waiting.remove(first.unwrap()));
        }
        let whole = ENGINE_TOKENS_PER_MS * TICK_MS as f64;
        let mut budget = whole;
        loop {
            let open = self.running.iter().filter(|job| job.left > 0.0).count();
            if open == 0 || budget < 1e-6 {
                break;
            }
            let share = budget / open as f64;
            for job in self.running.iter_mut().filter(|job| job.left > 0.0) {
                let part = job.left.min(share);
                (job.left, budget) = (job.left - part, budget - part);
                if job.left <= 1e-9 {
                    job.left = 0.0;
                    tick.begun.push((job.request, job.daemon));
                }
            }
        }
        tick.used = (self.running.len() as f64 / ENGINE_SLOTS as f64).max(1.0 - budget / whole);
        tick
    }
}

#[derive(Default)]
struct Tick {
    begun: Vec<(usize, usize)>,
    ended: Vec<(usize, usize)>,
    used: f64,
}

pub(super) struct Request {
    pub(super) rank: usize,
    pub(super) at_ms: u64,
    pub(super) refused: bool,
    pub(super) first_byte_ms: Option<u64>,
    prompt: Prompt,
    hold_ms: f64,
}

/// What a play is run with.
#[derive(Clone, Copy)]
pub(super) struct Play {
    pub(super) daemons: usize,
    pub(super) kinds: [Kind; 3],
    /// Offered work of the last rank in the burst, as a multiple of the capacity.
    pub(super) last: f64,
    pub(super) has_limits: bool,
    /// Engines among which one is chosen; all if it is 0.
    pub(super) drawn: usize,
    pub(super) seed: u64,
}

const ENGINES: usize = 46;
/// Offered work of the first ranks, and of the last one outside the burst.
const FIRST: [f64; 2] = [0.4, 0.05];
const LAST: f64 = 0.1;

impl Default for Play {
    fn default() -> Self {
        Self { daemons: 74, kinds: STREAMS, last: 0.55, has_limits: true, drawn: 0, seed: 7 }
    }
}

#[derive(Default)]
pub(super) struct Outcome {
    pub(super) requests: Vec<Request>,
    /// Work done in the burst after its first second, as a fraction of the capacity.
    pub(super) done: f64,
}

impl Outcome {
    /// Fraction of the requests of a rank that were refused in the burst, and of the late ones among
    /// the others.
    pub(super) fn served(&self, play: &Play, rank: usize) -> (f64, f64) {
        let counted = SETTLED_MS..BURST_MS.1;
        let found = self
            .requests
            .iter()
            .filter(|found| found.rank == rank && counted.contains(&found.at_ms));
        let (mut all, mut refused, mut late) = (0.0, 0.0, 0.0);
        for request in found {
            let target = play.kinds[rank].target_ms;
            let in_time = request.first_byte_ms.is_some_and(|ms| ms - request.at_ms <= target);
            all += 1.0;
            refused += f64::from(u8::from(request.refused));
            late += f64::from(u8::from(!request.refused && !in_time));
        }
        (refused / f64::max(all, 1.0), late / f64::max(all - refused, 1.0))
    }
}

#[derive(Clone, Copy, Default)]
struct Known {
    own: u32,
    queued_ms: f64,
    peers: u32,
    peers_queued_ms: f64,
    report: Option<(u64, u32, u32)>,
    refused_ms: Option<u64>,
}

struct Daemon {
    engines: Vec<Known>,
    published: VecDeque<(u64, Vec<(u32, f64)>)>,
    retries: f64,
}

struct Stage<'a> {
    play: &'a Play,
    keys: Vec<UpstreamKey>,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    /// Refused requests that come back: when, and which.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    outcome: Outcome,
    random: ChaCha8Rng,
}

impl Play {
    pub(super) fn run(&self) -> Outcome {
        let mut keys = SlotMap::<UpstreamKey, ()>::with_key();
        let daemon = |_| Daemon {
            engines: vec![Known::default(); ENGINES],
            published: VecDeque::new(),
            retries: 1.0,
        };
        let mut stage = Stage {
            play: self,
            keys: (0..ENGINES).map(|_| keys.insert(())).collect(),
            daemons: (0..self.daemons).map(daemon).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            due: BinaryHeap::new(),
            outcome: Outcome::default(),
            random: ChaCha8Rng::seed_from_u64(self.seed),
        };
        let end_ms = BURST_MS.1 + SHORTEST_TARGET_MS;
        for now in (0..end_ms).step_by(TICK_MS as usize) {
            stage.exchange(now);
            stage.arrive(now);
            stage.run_engines(now);
        }
        let ticks = (BURST_MS.1 - SETTLED_MS) / TICK_MS;
        stage.outcome.done /= (ENGINES as u64 * ticks) as f64;
        stage.outcome
    }
}

impl Stage<'_> {
    fn arrive(&mut self, now: u64) {
        let is_burst = (BURST_MS.0..BURST_MS.1).contains(&now);
        let last = if is_burst { self.play.last } else { LAST };
        for (rank, load) in [FIRST[0], FIRST[1], last].into_iter().enumerate() {
            let kind = self.play.kinds[rank];
            let mean = load * ENGINES as f64 / kind.work() * TICK_MS as f64 / 1e3;
            for _ in 0..poisson(mean, &mut self.random) {
                let mut draw =
                    |(low, high): (f64, f64)| low + (high - low) * self.random.random::<f64>();
                let (tokens, hold_ms) = (draw(kind.tokens), draw(kind.hold_ms));
                let prompt = Prompt {
                    tokens: tokens as u32,
                    shared_tokens: (tokens * SHARED_FRACTION) as u32,
                    prefix_id: Some(self.random.random_range(0..PREFIXES)),
                };
                let request = Request {
                    rank,
                    at_ms: now,
                    refused: false,
                    first_byte_ms: None,
                    prompt,
                    hold_ms,
                };
                self.outcome.requests.push(request);
                self.ask(now, self.outcome.requests.len() - 1, true);
            }
        }
        while self.due.peek().is_some_and(|Reverse((due_ms, _))| *due_ms <= now) {
            if let Some(Reverse((_, request))) = self.due.pop() {
                self.ask(now, request, false);
            }
        }
    }

    /// Sends a request to a daemon, which chooses an engine. Refused callers come back once.
    fn ask(&mut self, now: u64, index: usize, is_first: bool) {
        let daemon = self.random.random_range(0..self.daemons.len());
        let retries = &mut self.daemons[daemon].retries;
        *retries = (*retries + RETRY_SHARE).min(10.0);
        let refused = self.attempts(now, index, daemon);
        self.outcome.requests[index].refused = refused.is_some();
        if let Some(retry_after) = refused.filter(|_| is_first) {
            self.due.push(Reverse((now + retry_after.as_millis() as u64, index)));
        }
    }

    /// Returns the delay after which a refused request may be sent again.
    fn attempts(&mut self, now: u64, index: usize, daemon: usize) -> Option<Duration> {
        let named = [0_u32, 1, 2].map(Rank::from);
        let Request { rank, prompt, .. } = self.outcome.requests[index];
        let jitter = Duration::from_millis(250 + self.random.random_range(0..500));
        let limit = match self.play.has_limits {
            true => load_limit(named[rank], &named, self.random.random()),
            false => LOAD_LIMIT_MAX,
        };
        let mut tried = Vec::new();
        loop {
            let candidates = self.candidates(now, daemon, &tried);
            let criteria = Criteria {
                prompt: Some(&prompt),
                max_wait: Duration::from_millis(SHORTEST_TARGET_MS) * LATENESS_FACTOR_MAX,
                load_limit: limit,
                has_ranks: self.play.has_limits,
                draw: self.random.random(),
            };
            let (key, queued_ms) = match choose(&candidates, &criteria) {
                Choice::Upstream(key, queued_ms) => (key, queued_ms),
                Choice::RankLimited(excess) => {
                    return Some(retry_after(named[rank], &named, excess, jitter));
                }
                Choice::Overloaded(after) => return Some(after + jitter),
                Choice::Limited(_) | Choice::None => return Some(jitter),
            };
            let chosen = self.keys.iter().position(|found| *found == key).unwrap();
            let engine = &mut self.engines[chosen];
            let known = &mut self.daemons[daemon].engines[chosen];
            if engine.waiting.len() < ENGINE_QUEUE {
                let hold_ms = self.outcome.requests[index].hold_ms;
                let left = f64::from(prompt.tokens);
                engine.waiting.push(Job { request: index, daemon, left, hold_ms });
                known.own += 1;
                known.queued_ms += queued_ms;
                return None;
            }
            let (requests, waiting) = (engine.requests() as u32, engine.waiting.len() as u32);
            known.report = Some((now, requests, waiting));
            known.refused_ms = Some(now);
            tried.push(chosen);
            let retries = &mut self.daemons[daemon].retries;
            if !may_try_another(limit) || tried.len() >= ATTEMPTS_MAX || *retries < 1.0 {
                return Some(jitter);
            }
            *retries -= 1.0;
        }
    }

    fn candidates(&mut self, now: u64, daemon: usize, tried: &[usize]) -> Vec<Candidate> {
        let drawn: Vec<usize> = match self.play.drawn {
            0 => (0..ENGINES).collect(),
            count => (0..count).map(|_| self.random.random_range(0..ENGINES)).collect(),
        };
        let age = |at_ms: u64| Duration::from_millis(now - at_ms);
        let candidate = |index: usize| {
            let Known { own, queued_ms, peers, peers_queued_ms, report, refused_ms } =
                self.daemons[daemon].engines[index];
            let report = report.map(|(at_ms, requests, waiting)| UpstreamReport {
                age: age(at_ms),
                requests,
                waiting,
                slots: Some(ENGINE_SLOTS as u32),
                pace: None,
            });
            let fresh = report.filter(UpstreamReport::is_fresh).map_or(0, |report| report.requests);
            Candidate {
                key: self.keys[index],
                identity: index as u64,
                requests: (own + peers).max(fresh),
                own_requests: own,
                peer_requests: peers,
                report,
                queued_prefill_ms: queued_ms + peers_queued_ms,
                slowdown: 1.0,
                slots: ENGINE_SLOTS as u32,
                is_full: refused_ms.is_some_and(|ms| age(ms) <= REPORTED_LOAD_MAX_AGE),
                breaker: BreakerState::Closed,
                limit: LimitState::Unlimited,
                is_local: true,
                sent_prefix: false,
                tried: tried.contains(&index),
            }
        };
        drawn.into_iter().map(candidate).collect()
    }

    fn run_engines(&mut self, now: u64) {
        let is_measured = (SETTLED_MS..BURST_MS.1).contains(&now);
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let Tick { begun, ended, used } = engine.tick(&self.outcome.requests);
            self.outcome.done += if is_measured { used } else { 0.0 };
            let (requests, waiting) = (engine.requests() as u32, engine.waiting.len() as u32);
            for (request, daemon) in begun {
                let known = &mut self.daemons[daemon].engines[index];
                let prompt = self.outcome.requests[request].prompt;
                known.queued_ms = (known.queued_ms - prompt.prefill_ms(true)).max(0.0);
                known.report = Some((now + TICK_MS, requests, waiting));
                known.refused_ms = None;
                self.outcome.requests[request].first_byte_ms = Some(now + TICK_MS);
            }
            for (_, daemon) in ended {
                let known = &mut self.daemons[daemon].engines[index];
                known.own = known.own.saturating_sub(1);
                known.queued_ms = if known.own == 0 { 0.0 } else { known.queued_ms };
            }
        }
    }

    /// Publishes and takes the statuses that are due. A status takes between a tenth of the longest delay and
    /// the whole of it, depending on the daemon that receives it.
    fn exchange(&mut self, now: u64) {
        for (name, daemon) in self.daemons.iter_mut().enumerate() {
            if (now + name as u64 * 7 * TICK_MS).is_multiple_of(STATUS_INTERVAL_MS) {
                let load = daemon.engines.iter().map(|known| (known.own, known.queued_ms));
                daemon.published.push_back((now, load.collect()));
                let oldest = now.saturating_sub(STATUS_INTERVAL_MS + STATUS_DELAY_MAX_MS);
                while daemon.published.get(1).is_some_and(|(at_ms, _)| *at_ms < oldest) {
                    daemon.published.pop_front();
                }
            }
        }
        if !now.is_multiple_of(PEERS_INTERVAL_MS) {
            return;
        }
        for class in 0..10_u64.min(self.daemons.len() as u64) {
            let delay_ms = (class + 1) * STATUS_DELAY_MAX_MS / 10;
            let Some(arrived) = now.checked_sub(delay_ms) else { continue };
            let heard = |daemon: &Daemon| -> Vec<(u32, f64)> {
                let newest = daemon.published.iter().rev().find(|(at_ms, _)| *at_ms <= arrived);
                newest.map_or_else(|| vec![(0, 0.0); ENGINES], |(_, load)| load.clone())
            };
            let all: Vec<_> = self.daemons.iter().map(heard).collect();
            let mut sums = vec![(0, 0.0); ENGINES];
            for load in &all {
                for (sum, (requests, queued_ms)) in sums.iter_mut().zip(load) {
                    *sum = (sum.0 + requests, sum.1 + queued_ms);
                }
            }
            let receivers = self.daemons.iter_mut().enumerate().skip(class as usize).step_by(10);
            for (name, daemon) in receivers {
                for (index, known) in daemon.engines.iter_mut().enumerate() {
                    known.peers = sums[index].0 - all[name][index].0;
                    known.peers_queued_ms = sums[index].1 - all[name][index].1;
                }
            }
        }
    }
}

fn poisson(mean: f64, random: &mut ChaCha8Rng) -> usize {
    let (limit, mut product, mut count) = ((-mean).exp(), random.random::<f64>(), 0);
    while product > limit {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}
