//! Verdicts on versions whose responses are drawn at random.
//!
//! Guards against a test that blames a sound version for what fails on both sides, and one that
//! misses a version that spoils half of its responses.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Poisson};
use std::fmt::Write;
use strum::{Display, EnumIter, IntoEnumIterator};

/// Histories of each kind.
const HISTORIES: u64 = 2_000;

/// Time between two judgements, in milliseconds.
const TICK: u64 = 250;

/// Length of a trial, in milliseconds.
const LENGTH: u64 = 6_000;

/// Time from its start at which a late version turns bad, in milliseconds.
const LATE: u64 = 2_000;

#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Kind {
    Sound,
    Errors,
    Slow,
    Load,
    OneRoute,
    Late,
}

impl Kind {
    /// The probability that a response is spoiled.
    pub(super) fn spoiled(self, route: usize, age: u64, is_loaded: bool) -> f64 {
        match self {
            Self::Errors => 0.5,
            Self::OneRoute if route == 0 => 0.5,
            Self::Late if age >= LATE => 0.5,
            Self::Load if is_loaded => 0.7,
            Self::Sound | Self::Slow | Self::Load | Self::OneRoute | Self::Late => 0.0,
        }
    }
}

/// What disturbs both versions alike.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum Background {
    None,
    /// A route fails 14% of the time.
    Failures,
    /// One upstream of the old version answers six times slower.
    SlowOld,
    /// One upstream of the target answers six times slower.
    SlowTarget,
    /// One upstream of the old version fails half of its requests.
    FailingOld,
    /// One upstream of the target fails half of its requests.
    FailingTarget,
    /// One upstream of each version crashes, and fails all for a second.
    Crash,
}

struct History {
    kind: Kind,
    background: Background,
    /// Requests per second by route.
    rates: Vec<f64>,
    old_upstreams: usize,
    /// Trial requests per second and route.
    trial: f64,
    crash: u64,
    random: ChaCha8Rng,
}

impl History {
    fn draw(kind: Kind, background: Background, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let routes = random.random_range(2..=3);
        let rates = (0..routes).map(|_| random.random_range(24.0..180.0)).collect();
        let old_upstreams = if random.random_bool(0.5) { 4 } else { 60 };
        // A late version has 40 responses after it has turned bad.
        let span = if kind == Kind::Late { LENGTH - LATE } else { LENGTH };
        let trial = 40.0 / (span as f64 / 1e3);
        let crash = random.random_range(0..LENGTH);
        Self { kind, background, rates, old_upstreams, trial, crash, random }
    }

    fn response(&mut self, now: u64, route: usize, is_target: bool) -> (u64, Response) {
        let count = if is_target { 4 } else { self.old_upstreams };
        let upstream = self.random.random_range(0..count);
        let is_first = upstream == 0;
        // The trial's upstreams have a normal load, which has gaps.
        let is_loaded = now % 1_000 >= 250;
        let is_crashed = (self.crash..self.crash + 1_000).contains(&now);
        let background = match self.background {
            Background::Failures if route == 1 => 0.14,
            Background::FailingOld if is_first && !is_target => 0.5,
            Background::FailingTarget if is_first && is_target => 0.5,
            Background::Crash if is_first && is_crashed => 1.0,
            _ => 0.01,
        };
        let spoiled = if is_target { self.kind.spoiled(route, now, is_loaded) } else { 0.0 };
        let is_failed = self.random.random_bool(background) || self.random.random_bool(spoiled);
        let mut millis = LogNormal::new(4.5, 0.5).unwrap().sample(&mut self.random);
        match self.background {
            Background::SlowOld if is_first && !is_target => millis *= 6.0,
            Background::SlowTarget if is_first && is_target => millis *= 6.0,
            _ => {}
        }
        if is_target && self.kind == Kind::Slow {
            millis *= 8.0;
        }
        let first_byte = (!is_failed).then(|| Duration::from_millis(millis as u64));
        (upstream as u64, Response { is_failed, first_byte, pace: None })
    }

    /// The verdict at the end, or the first `Bad`.
    fn play(mut self) -> Verdict {
        let instances: Vec<Instance> =
            (0..4).map(|index| format!("t-{index}").try_into().unwrap()).collect();
        let mut history = EvidenceHistory::default();
        let mut evidence = EvidenceMap::default();
        let mut verdict = Verdict::Undecided;
        let seconds = TICK as f64 / 1e3;
        for now in (0..LENGTH).step_by(TICK as usize) {
            for (route, rate) in self.rates.clone().into_iter().enumerate() {
                for (is_target, rate) in [(false, rate), (true, self.trial)] {
                    let count = Poisson::new(rate * seconds).unwrap().sample(&mut self.random);
                    for _ in 0..count as u32 {
                        let (upstream, response) = self.response(now, route, is_target);
                        let upstream = is_target.then(|| &instances[upstream as usize]);
                        evidence.record(ROUTES[route], upstream, &response);
                    }
                }
            }
            verdict = history.judge(at(now), &evidence);
            if matches!(verdict, Verdict::Bad { .. }) {
                break;
            }
        }
        verdict
    }
}

#[test]
fn wrong_verdicts_are_rarer_than_one_in_200() {
    let mut table = format!("{HISTORIES} histories each, 40 trial responses of each route\n");
    writeln!(
        table,
        "{:10} {:15} {:>6} {:>6} {:>10}",
        "kind", "background", "sound", "bad", "undecided"
    )
    .unwrap();
    let mut faults = Vec::new();
    for kind in Kind::iter() {
        let backgrounds = Background::iter().filter(|b| {
            kind == Kind::Sound || matches!(b, Background::None | Background::Failures)
        });
        for background in backgrounds {
            let mut counts = [0_u64; 3];
            for seed in 0..HISTORIES {
                match History::draw(kind, background, seed).play() {
                    Verdict::Sound => counts[0] += 1,
                    Verdict::Bad { .. } => counts[1] += 1,
                    Verdict::Undecided => counts[2] += 1,
                }
            }
            let [sound, bad, undecided] = counts;
            let row = format!("{kind:10} {background:15} {sound:6} {bad:6} {undecided:10}");
            writeln!(table, "{row}").unwrap();
            let wrong = if kind == Kind::Sound { bad } else { sound };
            if wrong * 200 > HISTORIES {
                faults.push(row);
            }
        }
    }
    insta::assert_snapshot!(table);
    assert_eq!(Vec::<String>::new(), faults);
}
