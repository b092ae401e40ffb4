//! Engines that prefill one prompt after the other, and daemons with old statuses that choose
//! among them.

use super::super::*;
use crate::breaker::BreakerState;
use crate::upstream_selection::LimitState;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use slotmap::SlotMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

/// The mean number of tokens of a prompt, unless there would be too few engines.
const MEAN_TOKENS: f64 = 4_000.0;

/// The longest wait that a daemon knows of and still accepts, in milliseconds.
const WAIT_MAX_MS: f64 = 800.0;

/// The number of shared prefixes.
const PREFIXES: u64 = 40;

/// The number of past states that statuses come from, 200 ms apart.
const SNAPSHOTS: usize = 10;

#[derive(Clone, Debug)]
pub(super) struct Simulation {
    pub(super) daemons: usize,
    pub(super) tokens_per_ms: f64,
    /// The speeds of the engines relative to each other, in turn.
    pub(super) speeds: [f64; 3],
    /// Offered work relative to the capacity.
    pub(super) load: f64,
    /// The fraction of the prefixes that an engine has cached, whatever this daemon knows.
    pub(super) cached: f64,
    /// The time after which the first engine begins its responses whatever their work, in
    /// milliseconds.
    pub(super) false_ms: Option<f64>,
    pub(super) seconds: u64,
    /// The time from which the paces are evaluated, in milliseconds.
    pub(super) from_ms: f64,
    pub(super) seed: u64,
}

impl Default for Simulation {
    fn default() -> Self {
        Self {
            daemons: 8,
            tokens_per_ms: 64.2,
            speeds: [1.0; 3],
            load: 0.6,
            cached: 0.5,
            false_ms: None,
            seconds: 10,
            from_ms: 5_000.0,
            seed: 7,
        }
    }
}

/// The lowest, the mean and the highest pace of the daemons that were looked at.
#[derive(Clone, Copy, Debug)]
pub(super) struct Range {
    pub(super) low: f64,
    pub(super) mean: f64,
    pub(super) high: f64,
}

/// A response that begins: when, where, from when, and what it was expected to take.
#[derive(Clone, Copy, Debug)]
struct Begun {
    daemon: usize,
    engine: usize,
    sent_ms: f64,
    expected: ExpectedWork,
    queued_ms: f64,
}

/// What a daemon knows.
#[derive(Debug, Default)]
struct Daemon {
    pace: ServicePace,
    sent: HashMap<(usize, u64), f64>,
    /// Prompt work queued at each engine as of the last status.
    status: Rc<Vec<f64>>,
    own: HashMap<usize, f64>,
}

fn at(time_ms: f64) -> MonotonicInstant {
    MonotonicInstant::from_millis(1_000 + time_ms as u64)
}

/// The paces that were looked at.
#[derive(Debug)]
struct Looks {
    low: f64,
    high: f64,
    log_sum: f64,
    count: f64,
}

/// The state of a simulation. Prompt work that is queued is in the time by the constants.
#[derive(Debug)]
struct World<'a> {
    set: &'a Simulation,
    random: ChaCha8Rng,
    mean_tokens: f64,
    keys: Vec<UpstreamKey>,
    free_ms: Vec<f64>,
    queued: Vec<f64>,
    daemons: Vec<Daemon>,
    begun: BinaryHeap<(Reverse<u64>, usize)>,
    requests: Vec<Begun>,
    history: VecDeque<Rc<Vec<f64>>>,
    looks: Looks,
}

impl Simulation {
    pub(super) fn run(&self) -> Range {
        let mut world = World::new(self);
        let gap = Exp::new(self.rate()).unwrap();
        let (mut now, mut round) = (0.0, 0.0);
        while now < self.seconds as f64 * 1e3 {
            now += gap.sample(&mut world.random);
            world.begin_responses(now);
            if now >= round {
                round += 200.0;
                world.exchange(now);
            }
            world.send(now);
        }
        let Looks { low, high, log_sum, count } = world.looks;
        Range { low, mean: (log_sum / count).exp(), high }
    }

    /// Requests of all daemons per millisecond.
    fn rate(&self) -> f64 {
        self.daemons as f64 * 10.0 / 1e3
    }
}

impl<'a> World<'a> {
    fn new(set: &'a Simulation) -> Self {
        let mean_speed = set.speeds.iter().sum::<f64>() / 3.0;
        let work = MEAN_TOKENS / set.tokens_per_ms * (1.0 - set.cached * 0.7) * 1.15;
        let count = ((set.rate() * work / mean_speed / set.load).round() as usize).max(3);
        let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let none = Rc::new(vec![0.0; count]);
        let daemon = |_| Daemon { status: none.clone(), ..Daemon::default() };
        Self {
            set,
            random: ChaCha8Rng::seed_from_u64(set.seed),
            mean_tokens: MEAN_TOKENS * set.load * count as f64 * mean_speed / set.rate() / work,
            keys: (0..count).map(|_| keys.insert(())).collect(),
            free_ms: vec![0.0; count],
            queued: vec![0.0; count],
            daemons: (0..set.daemons).map(daemon).collect(),
            begun: BinaryHeap::new(),
            requests: Vec::new(),
            history: VecDeque::new(),
            looks: Looks { low: f64::INFINITY, high: 0.0, log_sum: 0.0, count: 0.0 },
        }
    }

    /// The number of daemons that learn the pace; the others only send requests.
    fn watched(&self) -> usize {
        self.daemons.len().min(40)
    }

    fn begin_responses(&mut self, now: f64) {
        while let Some((Reverse(end_us), index)) = self.begun.peek().copied()
            && end_us as f64 / 1e3 <= now
        {
            self.begun.pop();
            let request: Begun = self.requests[index];
            let queued = &mut self.queued[request.engine];
            *queued = (*queued - request.queued_ms).max(0.0);
            let watched = self.watched();
            let daemon = &mut self.daemons[request.daemon];
            *daemon.own.entry(request.engine).or_default() -= request.queued_ms;
            if request.daemon < watched {
                let end_ms = end_us as f64 / 1e3;
                let measured = Duration::from_secs_f64((end_ms - request.sent_ms) / 1e3);
                let key = self.keys[request.engine];
                daemon.pace.on_first_byte(at(end_ms), key, request.expected, measured);
            }
        }
    }

    /// Gives all daemons the statuses of the others, and looks at their paces.
    fn exchange(&mut self, now: f64) {
        self.history.push_back(Rc::new(self.queued.clone()));
        if self.history.len() > SNAPSHOTS {
            self.history.pop_front();
        }
        let watched = self.watched();
        let reports: Vec<PaceReport> = self.daemons[..watched]
            .iter()
            .filter_map(|daemon| daemon.pace.report(at(now)))
            .collect();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let age = self.random.random_range(5..=SNAPSHOTS).min(self.history.len());
            if self.set.daemons > 1 {
                daemon.status.clone_from(&self.history[self.history.len() - age]);
            }
            daemon.pace.on_reports(reports.iter().copied());
            if index < watched && now >= self.set.from_ms {
                let pace = daemon.pace.pace(at(now));
                let looks = &mut self.looks;
                (looks.low, looks.high) = (looks.low.min(pace), looks.high.max(pace));
                (looks.log_sum, looks.count) = (looks.log_sum + pace.ln(), looks.count + 1.0);
            }
        }
    }

    fn candidate(&self, now: f64, sender: usize, prefix: u64, engine: usize) -> Candidate {
        let daemon = &self.daemons[sender];
        let own = daemon.own.get(&engine).copied().unwrap_or_default();
        let sent = daemon.sent.get(&(engine, prefix));
        Candidate {
            key: self.keys[engine],
            identity: engine as u64,
            requests: 8,
            own_requests: 8,
            peer_requests: 0,
            report: None,
            queued_prefill_ms: (own + daemon.status[engine]).max(0.0),
            slowdown: daemon.pace.pace(at(now)),
            slots: 16,
            is_full: false,
            breaker: BreakerState::Closed,
            limit: LimitState::Unlimited,
            is_local: true,
            sent_prefix: sent.is_some_and(|sent| now - sent < 10_000.0),
            tried: false,
        }
    }

    /// Sends a request of a random daemon to the best of four engines.
    fn send(&mut self, now: f64) {
        let count = self.keys.len();
        let spread = LogNormal::new(-0.32, 0.8).unwrap();
        let random = &mut self.random;
        let sender = random.random_range(0..self.set.daemons);
        let prefix = (random.random::<f64>().powi(2) * PREFIXES as f64) as u64;
        let share = if prefix.is_multiple_of(8) { 0.0 } else { random.random_range(0.6..1.0) };
        let tokens = (self.mean_tokens * spread.sample(random)).max(16.0);
        let prompt = Prompt {
            tokens: tokens as u32,
            shared_tokens: (tokens * share) as u32,
            prefix_id: Some(prefix),
        };
        let preferred = (prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20) as usize % count;
        let others = [0; 3].map(|_| random.random_range(0..count));
        let mut best: Option<(f64, usize, Candidate)> = None;
        for engine in [preferred].into_iter().chain(others) {
            let found = self.candidate(now, sender, prefix, engine);
            let is_cached = found.sent_prefix || engine == preferred;
            let cost = found.first_byte_ms(Some(&prompt), is_cached);
            if best.is_none_or(|(lowest, ..)| cost < lowest) {
                best = Some((cost, engine, found));
            }
        }
        let wait_max = WAIT_MAX_MS.max(4.0 * self.mean_tokens / self.set.tokens_per_ms);
        if let Some((_, engine, chosen)) = best.filter(|(cost, ..)| *cost <= wait_max) {
            let queued_ms = prompt.prefill_ms(chosen.sent_prefix || engine == preferred);
            let expected = ExpectedWork::new(&chosen, &prompt);
            let request = Begun { daemon: sender, engine, sent_ms: now, expected, queued_ms };
            self.start(request, &prompt, prefix);
        }
    }

    fn start(&mut self, request: Begun, prompt: &Prompt, prefix: u64) {
        let Begun { daemon, engine, sent_ms: now, queued_ms, .. } = request;
        // Caches change every 10 s.
        let epoch = (now / 10_000.0) as u64;
        let mix = (engine as u64 * 1_009 + prefix * 7_919 + epoch * 104_729 + self.set.seed)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let is_cached = (mix >> 40) as f64 / (1_u64 << 24) as f64 <= self.set.cached;
        let scale = 64.2 / self.set.tokens_per_ms / self.set.speeds[engine % 3];
        let free_ms = &mut self.free_ms[engine];
        *free_ms = free_ms.max(now) + prompt.prefill_ms(is_cached) * scale;
        let end_ms = *free_ms + self.random.random_range(1.0..8.0);
        let is_false = self.set.false_ms.filter(|_| engine == 0);
        let end_ms = is_false.map_or(end_ms, |false_ms| now + false_ms);
        self.queued[engine] += queued_ms;
        let daemon = &mut self.daemons[daemon];
        *daemon.own.entry(engine).or_default() += queued_ms;
        daemon.sent.insert((engine, prefix), now);
        self.requests.push(request);
        self.begun.push((Reverse((end_ms * 1e3) as u64), self.requests.len() - 1));
    }
}
