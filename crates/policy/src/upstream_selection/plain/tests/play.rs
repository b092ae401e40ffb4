//! A play of daemons that send plain calls to upstreams with a queue.

use super::{MAX_WAIT, candidates, criteria};
use crate::upstream_pace::UpstreamPace;
use crate::upstream_selection::plain::UpstreamReport;
use crate::upstream_selection::{Candidate, Choice, Criteria, LOAD_LIMIT_MAX, choose};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt;
use std::time::Duration;

const SLOTS: usize = 6;
const QUEUE_MAX: usize = 24;
const WORK_MS: f64 = 30.0;
/// One in so many calls takes so many times as long.
const LONG_CALLS: (f64, f64) = (0.01, 5.0);
const LATE_MS: f64 = 150.0;
/// Calls before this time are not counted, as no statuses have arrived yet.
const START_MS: f64 = 3_000.0;
const SECONDS: usize = 60;
const END_MS: f64 = START_MS + 1e3 * SECONDS as f64;
const STATUS_INTERVAL_MS: f64 = 1_000.0;
const STATUS_DELAY_MS: f64 = 1_000.0;
/// Mean length of a slow phase and of the time between two.
const PHASES_MS: (f64, f64) = (600.0, 3_400.0);

/// How the slowdown of an upstream is learnt, as in `relay::assignment` and
/// `relay::tracked_upstream`.
const FIXED_LATENCY_MS: f64 = 30.0;
const SLOWDOWN_WEIGHT: f64 = 0.2;
const SLOWDOWN_DECAY_MS: f64 = 4_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    None,
    /// The first upstream takes three times as long, and doesn't say so.
    Slow,
    /// Each upstream takes 2.5 times as long for 15% of the time, and says so.
    Phases,
    /// The first upstream always reports that it is idle and fast.
    FalseReport,
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Rule {
    Weighted,
    /// The rule before: the lowest expected time by all that is known.
    LowestTime,
}

impl Rule {
    fn choose(self, candidates: &[Candidate], criteria: &Criteria<'_>) -> Choice {
        if self == Self::Weighted {
            return choose(candidates, criteria);
        }
        let wait_ms = |found: &&Candidate| found.first_byte_ms(None, false);
        let best = candidates.iter().min_by(|a, b| wait_ms(a).total_cmp(&wait_ms(b)));
        let max_wait_ms = MAX_WAIT.as_secs_f64() * 1e3;
        match best {
            Some(best) if best.load() < LOAD_LIMIT_MAX && wait_ms(&best) <= max_wait_ms => {
                Choice::Upstream(best.key, 0.0)
            }
            _ => Choice::None,
        }
    }
}

#[derive(Debug)]
pub(super) struct Play {
    pub(super) daemons: usize,
    pub(super) upstreams: usize,
    pub(super) load: f64,
    pub(super) fault: Fault,
    pub(super) seed: u64,
}

/// What came of a play; fractions of the calls, and ratios to the mean of the upstreams.
#[derive(Default)]
pub(super) struct Outcome {
    pub(super) late: f64,
    pub(super) refused: f64,
    /// Calls at the busiest upstream.
    pub(super) busiest: f64,
    /// The same in each second, averaged over the seconds.
    pub(super) busiest_second: f64,
    /// Calls at the first upstream.
    pub(super) first: f64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { late, refused, busiest, busiest_second, first } = self;
        let (late, refused) = (late * 100.0, refused * 100.0);
        write!(f, "{late:.2}% | {refused:.2}% | {busiest:.2} | {busiest_second:.2} | {first:.2}")
    }
}

/// What a daemon knows of an upstream by itself.
#[derive(Clone, Default)]
struct Observed {
    own: u32,
    report: Option<(f64, UpstreamReport)>,
    slowdown: Option<(f64, f64)>,
}

impl Observed {
    fn slowdown(&self, now: f64) -> f64 {
        let decayed = |(at, value)| 1.0 + (value - 1.0) * f64::exp((at - now) / SLOWDOWN_DECAY_MS);
        self.slowdown.map_or(1.0, decayed)
    }

    fn on_response(&mut self, now: f64, job: &Job, report: UpstreamReport) {
        self.own -= 1;
        self.report = Some((now, report));
        let measured = now - job.sent + FIXED_LATENCY_MS;
        let ratio = (measured / (job.expected + FIXED_LATENCY_MS)).clamp(0.125, 8.0);
        let slowdown = self.slowdown(now) * (1.0 - SLOWDOWN_WEIGHT) + ratio * SLOWDOWN_WEIGHT;
        self.slowdown = Some((now, slowdown));
    }
}

struct Job {
    daemon: usize,
    sent: f64,
    work: f64,
    expected: f64,
}

#[derive(Default)]
struct Upstream {
    running: usize,
    waiting: VecDeque<Job>,
    /// When each phase ends; the even ones are at the usual pace.
    phases: Vec<f64>,
}

impl Upstream {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut phases, mut end) = (Vec::new(), 0.0);
        while end < END_MS {
            let mean = if phases.len() % 2 == 0 { PHASES_MS.1 } else { PHASES_MS.0 };
            end += exponential(&mut rng, mean);
            phases.push(end);
        }
        Self { phases, ..Self::default() }
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let unit: f64 = Exp1.sample(rng);
    unit * mean
}

enum Event {
    Arrival,
    Response(usize, Job),
    Snapshot(usize),
    Status(usize, Vec<u32>),
}

struct State<'a> {
    play: &'a Play,
    /// Calls are the same with each rule, as they are drawn apart from the choices.
    calls: ChaCha8Rng,
    draws: ChaCha8Rng,
    now: f64,
    order: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    upstreams: Vec<Upstream>,
    observed: Vec<Vec<Observed>>,
    /// The newest status of each daemon that has arrived, and their sums by upstream.
    statuses: Vec<Vec<u32>>,
    totals: Vec<u32>,
    template: Vec<Candidate>,
    /// Calls by second and upstream.
    sent: Vec<Vec<f64>>,
    refused: f64,
    answered: f64,
    late: f64,
}

impl State<'_> {
    fn schedule(&mut self, delay: f64, event: Event) {
        self.order.push(Reverse((((self.now + delay) * 1e6) as u64, self.events.len())));
        self.events.push(Some(event));
    }

    fn work(&mut self) -> f64 {
        let normal: f64 = StandardNormal.sample(&mut self.calls);
        let (share, factor) = LONG_CALLS;
        let factor = if self.calls.random::<f64>() < share { factor } else { 1.0 };
        WORK_MS * (0.5 * normal - 0.125).exp() * factor
    }

    /// How many times as long as usual work takes at an upstream.
    fn pace(&self, index: usize) -> f64 {
        let phase = self.upstreams[index].phases.partition_point(|end| *end <= self.now);
        match self.play.fault {
            Fault::Phases if phase % 2 == 1 => 2.5,
            Fault::Slow if index == 0 => 3.0,
            _ => 1.0,
        }
    }

    fn report(&self, index: usize) -> UpstreamReport {
        let is_told = self.play.fault == Fault::Phases;
        let percent = if is_told { (self.pace(index) * 100.0) as u32 } else { 100 };
        let upstream = &self.upstreams[index];
        let (running, waiting, percent) = match self.play.fault {
            Fault::FalseReport if index == 0 => (0, 0, 1),
            _ => (upstream.running as u32, upstream.waiting.len() as u32, percent),
        };
        UpstreamReport {
            age: Duration::ZERO,
            requests: running + waiting,
            waiting,
            slots: Some(SLOTS as u32),
            pace: UpstreamPace::try_from(percent).ok(),
        }
    }

    fn candidate(&self, daemon: usize, index: usize) -> Candidate {
        let observed = &self.observed[daemon][index];
        let peer_requests = self.totals[index] - self.statuses[daemon][index];
        let millis = |span: f64| Duration::from_secs_f64(span / 1e3);
        let report = observed.report;
        let report =
            report.map(|(at, found)| UpstreamReport { age: millis(self.now - at), ..found });
        let counted = observed.own + peer_requests;
        let reported = report.filter(UpstreamReport::is_fresh).map_or(0, |found| found.requests);
        Candidate {
            requests: counted.max(reported),
            own_requests: observed.own,
            peer_requests,
            report,
            slowdown: observed.slowdown(self.now),
            // Daemons and upstreams are spread over four data centres.
            is_local: daemon % 4 == index % 4,
            ..self.template[index]
        }
    }

    /// Sends a call; a full upstream refuses it, and it goes to another one. Returns the upstream
    /// that took it.
    fn send(&mut self, daemon: usize, work: f64, rule: Rule) -> Option<usize> {
        let mut found: Vec<Candidate> =
            (0..self.upstreams.len()).map(|index| self.candidate(daemon, index)).collect();
        loop {
            let Choice::Upstream(key, _) = rule.choose(&found, &criteria(self.draws.random()))
            else {
                return None;
            };
            let chosen = *found.iter().find(|found| found.key == key).unwrap();
            let index = self.template.iter().position(|found| found.key == key).unwrap();
            if self.upstreams[index].waiting.len() >= QUEUE_MAX {
                let report = self.report(index);
                self.observed[daemon][index].report = Some((self.now, report));
                found.retain(|found| found.key != key);
                continue;
            }
            let requests = if rule == Rule::Weighted { 0 } else { chosen.requests };
            let idle = Candidate { slowdown: 1.0, requests, ..chosen };
            let expected = idle.first_byte_ms(None, false);
            let job = Job { daemon, sent: self.now, work, expected };
            self.observed[daemon][index].own += 1;
            self.upstreams[index].waiting.push_back(job);
            self.start(index);
            return Some(index);
        }
    }

    fn start(&mut self, index: usize) {
        while self.upstreams[index].running < SLOTS
            && let Some(job) = self.upstreams[index].waiting.pop_front()
        {
            self.upstreams[index].running += 1;
            let delay = job.work * self.pace(index);
            self.schedule(delay, Event::Response(index, job));
        }
    }
}

impl<'a> State<'a> {
    fn new(play: &'a Play) -> Self {
        let mut state = State {
            play,
            calls: ChaCha8Rng::seed_from_u64(play.seed),
            draws: ChaCha8Rng::seed_from_u64(play.seed + 1),
            now: 0.0,
            order: BinaryHeap::new(),
            events: Vec::new(),
            upstreams: (0..play.upstreams).map(|index| Upstream::new(index as u64)).collect(),
            observed: vec![vec![Observed::default(); play.upstreams]; play.daemons],
            statuses: vec![vec![0; play.upstreams]; play.daemons],
            totals: vec![0; play.upstreams],
            template: candidates(play.upstreams),
            sent: vec![vec![0.0; play.upstreams]; SECONDS],
            refused: 0.0,
            answered: 0.0,
            late: 0.0,
        };
        state.schedule(0.0, Event::Arrival);
        for daemon in 0..play.daemons {
            let phase = state.calls.random::<f64>() * STATUS_INTERVAL_MS;
            state.schedule(phase, Event::Snapshot(daemon));
        }
        state
    }

    fn on_arrival(&mut self, rule: Rule) {
        let daemon = self.calls.random_range(0..self.play.daemons);
        let work = self.work();
        let taken = self.send(daemon, work, rule);
        if self.now >= START_MS {
            match taken {
                Some(index) => self.sent[((self.now - START_MS) / 1e3) as usize][index] += 1.0,
                None => self.refused += 1.0,
            }
        }
        let (share, factor) = LONG_CALLS;
        let mean_ms = WORK_MS * (1.0 + share * (factor - 1.0));
        let interval_ms = mean_ms / (self.play.load * (self.upstreams.len() * SLOTS) as f64);
        let next = exponential(&mut self.calls, interval_ms);
        self.schedule(next, Event::Arrival);
    }

    fn on_response(&mut self, index: usize, job: &Job) {
        self.upstreams[index].running -= 1;
        self.start(index);
        let report = self.report(index);
        self.observed[job.daemon][index].on_response(self.now, job, report);
        if job.sent >= START_MS {
            self.answered += 1.0;
            self.late += f64::from(u8::from(self.now - job.sent > LATE_MS));
        }
    }

    fn on_status(&mut self, daemon: usize, status: Vec<u32>) {
        for (index, count) in status.iter().enumerate() {
            self.totals[index] += count;
            self.totals[index] -= self.statuses[daemon][index];
        }
        self.statuses[daemon] = status;
    }

    fn outcome(&self) -> Outcome {
        let count = self.upstreams.len();
        let busiest = |sent: &[f64]| {
            let mean = sent.iter().sum::<f64>() / count as f64;
            sent.iter().copied().fold(0.0, f64::max) / mean.max(1.0)
        };
        let total = |index: usize| self.sent.iter().map(|second| second[index]).sum();
        let totals: Vec<f64> = (0..count).map(total).collect();
        let sum = totals.iter().sum::<f64>();
        Outcome {
            late: self.late / self.answered.max(1.0),
            refused: self.refused / (sum + self.refused),
            busiest: busiest(&totals),
            busiest_second: self.sent.iter().map(|sent| busiest(sent)).sum::<f64>()
                / SECONDS as f64,
            first: totals[0] * count as f64 / sum,
        }
    }
}

impl Play {
    pub(super) fn run(&self, rule: Rule) -> Outcome {
        let mut state = State::new(self);
        while let Some(Reverse((at, event))) = state.order.pop() {
            state.now = at as f64 / 1e6;
            if state.now >= END_MS {
                break;
            }
            match state.events[event].take().unwrap() {
                Event::Arrival => state.on_arrival(rule),
                Event::Response(index, job) => state.on_response(index, &job),
                Event::Snapshot(daemon) => {
                    let status = state.observed[daemon].iter().map(|found| found.own).collect();
                    state.schedule(STATUS_DELAY_MS, Event::Status(daemon, status));
                    state.schedule(STATUS_INTERVAL_MS, Event::Snapshot(daemon));
                }
                Event::Status(daemon, status) => state.on_status(daemon, status),
            }
        }
        state.outcome()
    }
}
