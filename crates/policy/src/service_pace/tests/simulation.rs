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

const PREFIXES: u64 = 40;

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

impl Simulation {
    pub(super) fn run(&self) -> Range {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let rate = self.daemons as f64 * 10.0 / 1e3;
        let mean_speed = self.speeds.iter().sum::<f64>() / 3.0;
        let work = MEAN_TOKENS / self.tokens_per_ms * (1.0 - self.cached * 0.7) * 1.15;
        let count = ((rate * work / mean_speed / self.load).round() as usize).max(3);
        let mean_tokens = MEAN_TOKENS * self.load * count as f64 * mean_speed / rate / work;
        let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let keys: Vec<UpstreamKey> = (0..count).map(|_| keys.insert(())).collect();
        let mut free_ms = vec![0.0_f64; count];
        // Prompt work queued at each engine, by the constants.
        let mut queued = vec![0.0_f64; count];
        let watched = self.daemons.min(40);
        let mut daemons: Vec<Daemon> = (0..self.daemons).map(|_| Daemon::default()).collect();
        let none = Rc::new(vec![0.0; count]);
        daemons.iter_mut().for_each(|daemon| daemon.status = none.clone());
        let mut begun: BinaryHeap<(Reverse<u64>, usize)> = BinaryHeap::new();
        let mut requests: Vec<Begun> = Vec::new();
        let spread = LogNormal::new(-0.32, 0.8).unwrap();
        let gap = Exp::new(rate).unwrap();
        let (mut now, mut round) = (0.0, 0.0);
        let (mut low, mut high, mut sum, mut looks) = (f64::INFINITY, 0.0_f64, 0.0, 0.0);
        let snapshots = 10;
        let mut history: VecDeque<Rc<Vec<f64>>> = VecDeque::new();
        while now < self.seconds as f64 * 1e3 {
            now += gap.sample(&mut random);
            while let Some((Reverse(end_us), index)) = begun.peek().copied()
                && end_us as f64 / 1e3 <= now
            {
                begun.pop();
                let request: Begun = requests[index];
                queued[request.engine] = (queued[request.engine] - request.queued_ms).max(0.0);
                let daemon = &mut daemons[request.daemon];
                *daemon.own.entry(request.engine).or_default() -= request.queued_ms;
                if request.daemon < watched {
                    let end_ms = end_us as f64 / 1e3;
                    let measured = Duration::from_secs_f64((end_ms - request.sent_ms) / 1e3);
                    let key = keys[request.engine];
                    daemon.pace.on_first_byte(at(end_ms), key, request.expected, measured);
                }
            }
            if now >= round {
                round += 200.0;
                history.push_back(Rc::new(queued.clone()));
                if history.len() > snapshots {
                    history.pop_front();
                }
                let reports: Vec<PaceReport> = daemons[..watched]
                    .iter()
                    .filter_map(|daemon| daemon.pace.report(at(now)))
                    .collect();
                for (index, daemon) in daemons.iter_mut().enumerate() {
                    // A status is 1 to 2 s old; what a daemon knows of itself is left out of it.
                    let age = random.random_range(5..=snapshots).min(history.len());
                    let status = &history[history.len() - age];
                    daemon.status.clone_from(status);
                    if self.daemons == 1 {
                        daemon.status = none.clone();
                    }
                    daemon.pace.on_reports(reports.iter().copied());
                    if index < watched && now >= self.from_ms {
                        let pace = daemon.pace.pace(at(now));
                        (low, high) = (low.min(pace), high.max(pace));
                        (sum, looks) = (sum + pace.ln(), looks + 1.0);
                    }
                }
            }
            let sender = random.random_range(0..self.daemons);
            let prefix = (random.random::<f64>().powi(2) * PREFIXES as f64) as u64;
            let share = if prefix % 8 == 0 { 0.0 } else { random.random_range(0.6..1.0) };
            let tokens = (mean_tokens * spread.sample(&mut random)).max(16.0);
            let prompt = Prompt {
                tokens: tokens as u32,
                shared_tokens: (tokens * share) as u32,
                prefix_id: Some(prefix),
            };
            let daemon = &mut daemons[sender];
            let candidate = |daemon: &Daemon, engine: usize| {
                let own = daemon.own.get(&engine).copied().unwrap_or_default();
                let sent = daemon.sent.get(&(engine, prefix));
                Candidate {
                    key: keys[engine],
                    identity: engine as u64,
                    requests: 8,
                    queued_prefill_ms: (own + daemon.status[engine]).max(0.0),
                    slowdown: daemon.pace.pace(at(now)),
                    slots: 16,
                    breaker: BreakerState::Closed,
                    limit: LimitState::Unlimited,
                    is_local: true,
                    sent_prefix: sent.is_some_and(|sent| now - sent < 10_000.0),
                    tried: false,
                }
            };
            let preferred = (prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20) as usize % count;
            let options = [
                preferred,
                random.random_range(0..count),
                random.random_range(0..count),
                random.random_range(0..count),
            ];
            let cost = |engine: usize| {
                let found = candidate(daemon, engine);
                found.first_byte_ms(Some(&prompt), found.sent_prefix || engine == preferred)
            };
            let Some(engine) = options.into_iter().min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
            else {
                continue;
            };
            let chosen = candidate(daemon, engine);
            if cost(engine) > WAIT_MAX_MS.max(4.0 * mean_tokens / self.tokens_per_ms) {
                continue;
            }
            let expected = ExpectedWork::new(&chosen, &prompt);
            let queued_ms = prompt.prefill_ms(chosen.sent_prefix || engine == preferred);
            // Caches change every 10 s.
            let epoch = (now / 10_000.0) as u64;
            let mix = (engine as u64 * 1_009 + prefix * 7_919 + epoch * 104_729 + self.seed)
                .wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let is_cached = (mix >> 40) as f64 / (1_u64 << 24) as f64 <= self.cached;
            let scale = 64.2 / self.tokens_per_ms / self.speeds[engine % 3];
            let start = free_ms[engine].max(now);
            free_ms[engine] = start + prompt.prefill_ms(is_cached) * scale;
            let step_ms = random.random_range(1.0..8.0);
            let mut end_ms = free_ms[engine] + step_ms;
            if let Some(false_ms) = self.false_ms.filter(|_| engine == 0) {
                end_ms = now + false_ms;
            }
            queued[engine] += queued_ms;
            *daemon.own.entry(engine).or_default() += queued_ms;
            daemon.sent.insert((engine, prefix), now);
            requests.push(Begun { daemon: sender, engine, sent_ms: now, expected, queued_ms });
            begun.push((Reverse((end_ms * 1e3) as u64), requests.len() - 1));
        }
        Range { low, mean: (sum / looks).exp(), high }
    }
}
