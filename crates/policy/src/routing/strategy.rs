//! The ways to choose among the upstreams that can take a request.

use super::UpstreamKey;
use super::demand::Demand;
use super::estimate::Estimate;
use rand::{Rng, RngExt};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::config::LatencyTarget;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// How an upstream is chosen.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    JsonSchema,
    PartialEq,
    Serialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// Each upstream in turn.
    RoundRobin,
    /// The fewest of our own attempts in flight.
    LeastInFlight,
    /// The one of two drawn at random with fewer of our own attempts in flight.
    PowerOfTwo,
    /// The most cached prompt tokens, whatever the load.
    Affinity,
    /// The lowest marginal cost that meets the latency target, raised as the target comes near; the
    /// best chance when none meets it.
    #[default]
    ExpectedCost,
}

/// An upstream that can take the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) key: UpstreamKey,
    pub(super) running: u32,
    pub(super) estimate: Estimate,
}

/// The share of the latency target that an estimate may use, for it is an average and the target is
/// a 95th percentile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    /// Of the time to the first token.
    pub first_token: f64,
    /// Of the time between two tokens.
    pub token_interval: f64,
}

impl Default for Headroom {
    fn default() -> Self {
        Self { first_token: 0.5, token_interval: 0.9 }
    }
}

impl Strategy {
    /// Chooses one of the candidates, which are in order of instance.
    pub(super) fn choose(
        self,
        candidates: &[Candidate],
        turn: usize,
        demand: &Demand,
        headroom: &Headroom,
        generator: &mut impl Rng,
    ) -> Option<Candidate> {
        match self {
            Self::RoundRobin => candidates.get(turn % candidates.len().max(1)).copied(),
            Self::LeastInFlight => draw_least(candidates, |c| c.running, generator),
            Self::PowerOfTwo => {
                draw_least(&draw_two(candidates, generator), |c| c.running, generator)
            }
            Self::Affinity => draw_least(candidates, |c| c.estimate.uncached, generator),
            Self::ExpectedCost => cheapest(candidates, &demand.latency_target, headroom),
        }
    }
}

/// One of the candidates with the least figure, drawn at random.
fn draw_least(
    candidates: &[Candidate],
    figure: impl Fn(&Candidate) -> u32,
    generator: &mut impl Rng,
) -> Option<Candidate> {
    let least = candidates.iter().map(&figure).min()?;
    let equal: Vec<_> = candidates.iter().filter(|c| figure(c) == least).collect();
    equal.get(generator.random_range(0..equal.len())).map(|c| **c)
}

fn draw_two(candidates: &[Candidate], generator: &mut impl Rng) -> Vec<Candidate> {
    if candidates.len() < 2 {
        return candidates.to_vec();
    }
    let first = generator.random_range(0..candidates.len());
    let second = generator.random_range(0..candidates.len() - 1);
    let second = if second >= first { second + 1 } else { second };
    vec![candidates[first], candidates[second]]
}

/// The largest of the shares of the latency target that an estimate uses.
fn strain(estimate: &Estimate, target: &LatencyTarget, headroom: &Headroom) -> f64 {
    let first = target.first_token.get().as_secs_f64() * headroom.first_token;
    let interval = target.token_interval.get().as_secs_f64() * headroom.token_interval;
    (estimate.first_token / first).max(estimate.token_interval / interval)
}

/// The cost of a request, raised as its estimate nears the target. So a cached prefix or a lower
/// price wins while there is room, and load spreads before the target is missed.
fn raised_cost(cost: f64, strain: f64) -> f64 {
    cost / (1.0 - strain).max(f64::EPSILON)
}

fn cheapest(
    candidates: &[Candidate],
    target: &LatencyTarget,
    headroom: &Headroom,
) -> Option<Candidate> {
    let strained = candidates.iter().map(|c| (strain(&c.estimate, target, headroom), c));
    let cheapest = strained
        .clone()
        .filter(|(strain, _)| *strain < 1.0)
        .map(|(strain, c)| (raised_cost(c.estimate.cost, strain), strain, c))
        .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    if let Some((_, _, candidate)) = cheapest {
        return Some(*candidate);
    }
    strained.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, candidate)| *candidate)
}
