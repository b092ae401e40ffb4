//! Whether the target of a rollout is sound.

use super::{BUCKETS, Evidence, EvidenceMap};
use spindle_types::Instance;
use std::collections::{BTreeMap, BTreeSet};
use strum::{Display, IntoStaticStr};

/// Stands for all routes together in [`Verdict::Bad`].
pub const ALL_ROUTES: &str = "*";

/// In what a version is worse than the old one. The names are written to logs.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum BadReason {
    /// More responses fail.
    Failures,
    /// More first bytes are late.
    SlowStart,
    /// More responses have long pauses between events.
    SlowPace,
}

/// The result of a comparison of the target with the old version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The target is as good as the old version.
    Sound,
    /// The target is worse.
    Bad {
        /// In what.
        reason: BadReason,
        /// On which route, or [`ALL_ROUTES`].
        route: String,
    },
    /// The evidence doesn't suffice.
    Undecided,
}

/// Smallest rate at which responses of the old version are taken to fail or to be slow, so that
/// single failures of the target aren't held against it.
const BASE_RATE_MIN: f64 = 0.02;

/// Largest such rate. Beyond it the old version can't be compared with.
const BASE_RATE_MAX: f64 = 0.8;

/// The fraction of the otherwise good responses that a bad version spoils, as tested. Versions that
/// spoil half of them are found sooner with a smaller alternative than 0.5, and later below 0.3.
const SPOILED_SHARE: f64 = 0.35;

/// Score (log likelihood ratio) from which a version is bad. Wald's bound on false positives of one
/// test is `exp(-score)`, 1 in 18,000; about 60 are made on one rollout (three measures, up to three
/// routes and all of them, whole and since six snapshots).
const BAD_SCORE: f64 = 9.8;

/// Score of recent evidence from which a version isn't found sound.
const SUSPECT_SCORE: f64 = 4.0;

/// Score up to which a route is sound.
const SOUND_SCORE: f64 = -0.5;

/// Probability of as many failures by chance from which a version isn't found sound. Beside it, two
/// failures in 53 responses pass where the old version fails 4 in 3,266, and three don't.
const CHANCE_MIN: f64 = 1.0 / 2_000.0;

/// Number of failures beyond the old version's rate from which an upstream counts as failing by itself,
/// if the others together have fewer. Two failures are no sign of that.
const FAILING_MIN: f64 = 2.5;

/// Number of the target's responses on a route below which a score under zero is sound: even
/// without a failure, fewer don't reach [`SOUND_SCORE`] where the old version often fails.
const ROUTE_ANSWERS_MIN: u32 = 4;

/// Smallest number of the target's responses from which a version can be sound.
const ANSWERS_MIN: u32 = 16;

/// Number of used target upstreams from which the worst is left out.
const SPARED_FROM: usize = 3;

/// Smallest number of responses from which a version with fewer used upstreams is judged. Requests
/// spread evenly over four upstreams leave two unused with a probability of 6 in 2^24.
const FEW_UPSTREAMS_ANSWERS_MIN: u32 = 24;

/// Number of classes of log2 ms above the old median from which a time is slow.
const SLOW_BUCKETS: usize = 2;

/// Compares the target with the old version by a sequential probability ratio test (Wald) for each
/// of failures, first bytes and pauses, on each route and on all routes together (the sum of the
/// routes' scores). The null hypothesis is the old version's rate on the same route, raised by its
/// standard error; the alternative is that 0.35 of the other responses are spoiled too.
///
/// Designed for at most 1 in 200 sound versions found bad, and at most 1 in 200 versions that spoil
/// half of one route's responses found sound with 40 trial responses of that route. The tests
/// measure both; `docs/design/rollouts.md` has the table.
pub fn judge(evidence: &EvidenceMap) -> Verdict {
    assess(evidence, Used::of(evidence)).verdict()
}

/// How much of the target has been used.
#[derive(Clone, Copy, Debug)]
pub(super) struct Used {
    upstreams: usize,
    answers: u32,
}

impl Used {
    pub(super) fn of(evidence: &EvidenceMap) -> Self {
        let upstreams: BTreeSet<_> =
            evidence.0.keys().filter_map(|(_, upstream)| upstream.as_ref()).collect();
        Self { upstreams: upstreams.len(), answers: evidence.target_answers() }
    }

    /// Whether the worst upstream is left out.
    const fn spares_worst(self) -> bool {
        self.upstreams >= SPARED_FROM
    }

    /// Whether a bad upstream can be told from a bad version: either several were used, or there are
    /// so many responses that no other will be.
    const fn is_conclusive(self) -> bool {
        self.spares_worst() || self.answers >= FEW_UPSTREAMS_ANSWERS_MIN
    }
}

/// The result of all tests on one body of evidence.
#[derive(Clone, Debug)]
pub(super) struct Assessment {
    /// The largest score of a test.
    pub(super) score: f64,
    /// The test that had it.
    worst: Option<(BadReason, String)>,
    /// Whether each test that had enough responses found the target sound.
    is_sound: bool,
}

impl Assessment {
    pub(super) fn is_bad(&self) -> bool {
        self.score >= BAD_SCORE
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.score >= SUSPECT_SCORE
    }

    pub(super) fn verdict(&self) -> Verdict {
        match &self.worst {
            Some((reason, route)) if self.is_bad() => {
                Verdict::Bad { reason: *reason, route: route.clone() }
            }
            _ if self.is_sound => Verdict::Sound,
            _ => Verdict::Undecided,
        }
    }
}

/// Makes all tests on a part of the evidence. `used` is of all evidence.
pub(super) fn assess(evidence: &EvidenceMap, used: Used) -> Assessment {
    let is_sound = used.is_conclusive();
    let mut result = Assessment { score: f64::NEG_INFINITY, worst: None, is_sound };
    let sides = by_route(evidence);
    for reason in [BadReason::Failures, BadReason::SlowStart, BadReason::SlowPace] {
        let mut total: Scores<'_> = BTreeMap::new();
        for (route, side) in &sides {
            let scores = side.scores(reason);
            result.include(&scores, reason, route, used);
            for (upstream, (answers, score)) in scores {
                let sum = total.entry(upstream).or_default();
                *sum = (sum.0 + answers, sum.1 + score);
            }
        }
        let answers = result.include(&total, reason, ALL_ROUTES, used);
        if reason == BadReason::Failures && answers < ANSWERS_MIN {
            result.is_sound = false;
        }
    }
    let failing = failing_upstream(&sides).filter(|_| used.spares_worst());
    result.is_sound &= sides.values().all(|side| side.failures_are_chance(failing));
    result
}

impl Assessment {
    /// Adds one test, and returns the number of responses that it is based on.
    fn include(&mut self, scores: &Scores<'_>, reason: BadReason, route: &str, used: Used) -> u32 {
        let worst = scores.values().max_by(|a, b| a.1.total_cmp(&b.1));
        let spared = worst.filter(|_| used.spares_worst()).copied().unwrap_or_default();
        let sum = |sum: (u32, f64), one: &(u32, f64)| (sum.0 + one.0, sum.1 + one.1);
        let (answers, score) = scores.values().fold((0, 0.0), sum);
        let (answers, score) = (answers - spared.0, score - spared.1);
        if answers == 0 {
            return 0;
        }
        if score > self.score && used.is_conclusive() {
            self.score = score;
            self.worst = Some((reason, route.to_owned()));
        }
        let sound_score = if answers < ROUTE_ANSWERS_MIN { 0.0 } else { SOUND_SCORE };
        if score > sound_score {
            self.is_sound = false;
        }
        answers
    }
}

/// The number of responses and the score of each target upstream that was used.
type Scores<'a> = BTreeMap<&'a Instance, (u32, f64)>;

/// The evidence on one route.
#[derive(Debug, Default)]
struct Sides<'a> {
    old: Option<&'a Evidence>,
    target: Vec<(&'a Instance, &'a Evidence)>,
}

fn by_route(evidence: &EvidenceMap) -> BTreeMap<&str, Sides<'_>> {
    let mut routes: BTreeMap<&str, Sides<'_>> = BTreeMap::new();
    for ((route, upstream), evidence) in &evidence.0 {
        let sides = routes.entry(route).or_default();
        match upstream {
            Some(upstream) => sides.target.push((upstream, evidence)),
            None => sides.old = Some(evidence),
        }
    }
    routes
}

impl<'a> Sides<'a> {
    fn scores(&self, reason: BadReason) -> Scores<'a> {
        let median = match reason {
            BadReason::Failures => Some(0),
            BadReason::SlowStart => self.old.and_then(|old| median_bucket(&old.first_byte)),
            BadReason::SlowPace => self.old.and_then(|old| median_bucket(&old.pace)),
        };
        let Some(median) = median else { return Scores::new() };
        let count = |evidence: &Evidence| match reason {
            BadReason::Failures => {
                Count { all: evidence.answers, bad: evidence.failed.min(evidence.answers) }
            }
            BadReason::SlowStart => Count::slow(&evidence.first_byte, median + SLOW_BUCKETS),
            BadReason::SlowPace => Count::slow(&evidence.pace, median + SLOW_BUCKETS),
        };
        let test = Test::against(self.old.map(count).unwrap_or_default());
        let used = self.target.iter().map(|(upstream, evidence)| (*upstream, count(evidence)));
        let used = used.filter(|(_, count)| count.all > 0);
        used.map(|(upstream, count)| (upstream, (count.all, test.score(count)))).collect()
    }
}

impl Sides<'_> {
    /// The rate at which the old version's responses fail.
    fn old_rate(&self) -> f64 {
        let old = self.old.map(|old| (old.failed.min(old.answers), old.answers));
        let (failed, answers) = old.unwrap_or_default();
        raised_rate(f64::from(failed), f64::from(answers))
    }

    /// Whether the target's failures, those of the upstream `failing` left out, are no more than the old
    /// version's rate explains. The ratio test takes the old version to fail in 1 of 50 responses at
    /// least, so it doesn't see a rate that is many times higher than the old one and still low.
    fn failures_are_chance(&self, failing: Option<&Instance>) -> bool {
        if self.old.is_none() {
            return true;
        }
        let counted = self.target.iter().filter(|(upstream, _)| Some(*upstream) != failing);
        let sum = |sum: (u32, u32), one: &Evidence| {
            (sum.0.saturating_add(one.answers), sum.1.saturating_add(one.failed))
        };
        let (answers, failed) = counted.fold((0, 0), |total, (_, one)| sum(total, one));
        chance_of(failed, f64::from(answers) * self.old_rate()) >= CHANCE_MIN
    }
}

/// The upstream that fails by itself: of all failures beyond the old version's rate, it has most.
fn failing_upstream<'a>(sides: &BTreeMap<&str, Sides<'a>>) -> Option<&'a Instance> {
    let mut excess: BTreeMap<&Instance, f64> = BTreeMap::new();
    for side in sides.values() {
        let rate = side.old_rate();
        for (upstream, evidence) in &side.target {
            let expected = f64::from(evidence.answers) * rate;
            *excess.entry(upstream).or_default() += f64::from(evidence.failed) - expected;
        }
    }
    let (worst, most) = excess.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
    let others: f64 = excess.iter().filter(|one| one.0 != worst).map(|one| one.1.max(0.0)).sum();
    (*most >= FAILING_MIN && *most > others).then_some(*worst)
}

/// The rate at which responses fail, raised by its standard error. Half a response more keeps that
/// above zero where none failed.
fn raised_rate(bad: f64, all: f64) -> f64 {
    let bad = bad + 0.5;
    (bad + bad.sqrt()) / (all + 1.0)
}

/// The probability of at least `count` events where `expected` are (Poisson), which is an upper bound
/// on the binomial one above the mean.
fn chance_of(count: u32, expected: f64) -> f64 {
    let (mut term, mut below) = ((-expected).exp(), 0.0);
    for index in 0..count {
        below += term;
        term *= expected / f64::from(index + 1);
    }
    1.0 - below
}

/// Responses, and those of them that failed or were slow.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    all: u32,
    bad: u32,
}

impl Count {
    fn slow(times: &[u16; BUCKETS], from: usize) -> Self {
        let all = times.iter().copied().map(u32::from).sum();
        Self { all, bad: times.iter().skip(from).copied().map(u32::from).sum() }
    }
}

/// The class that holds the median; none without times.
fn median_bucket(times: &[u16; BUCKETS]) -> Option<usize> {
    let all: u32 = times.iter().copied().map(u32::from).sum();
    let mut below = 0;
    let holds_median = |count: &u16| {
        below += u32::from(*count);
        all > 0 && below * 2 >= all
    };
    times.iter().position(holds_median)
}

/// The score of one response.
#[derive(Clone, Copy, Debug)]
struct Test {
    bad: f64,
    good: f64,
}

impl Test {
    /// The test against the responses of the old version.
    fn against(old: Count) -> Self {
        let rate = raised_rate(f64::from(old.bad), f64::from(old.all));
        let null = rate.clamp(BASE_RATE_MIN, BASE_RATE_MAX);
        let alternative = null + SPOILED_SHARE * (1.0 - null);
        Self { bad: (alternative / null).ln(), good: ((1.0 - alternative) / (1.0 - null)).ln() }
    }

    fn score(self, count: Count) -> f64 {
        f64::from(count.bad) * self.bad + f64::from(count.all - count.bad) * self.good
    }
}
