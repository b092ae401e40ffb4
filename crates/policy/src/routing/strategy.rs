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
    /// The lowest marginal cost that meets the latency target; the best chance when none does.
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
        let fewest =
            |candidates: &[Candidate]| candidates.iter().copied().min_by_key(|c| c.running);
        match self {
            Self::RoundRobin => candidates.get(turn % candidates.len().max(1)).copied(),
            Self::LeastInFlight => fewest(candidates),
            Self::PowerOfTwo => fewest(&draw_two(candidates, generator)),
            Self::Affinity => {
                let fewest_uncached = candidates.iter().map(|c| c.estimate.uncached).min()?;
                let best = |c: &&Candidate| c.estimate.uncached == fewest_uncached;
                let best: Vec<_> = candidates.iter().filter(best).copied().collect();
                best.get(generator.random_range(0..best.len())).copied()
            }
            Self::ExpectedCost => cheapest(candidates, &demand.target, headroom),
        }
    }
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

fn cheapest(
    candidates: &[Candidate],
    target: &LatencyTarget,
    headroom: &Headroom,
) -> Option<Candidate> {
    let strain = |c: &Candidate| strain(&c.estimate, target, headroom);
    let order = |a: &Candidate, b: &Candidate| {
        let cost = a.estimate.cost.total_cmp(&b.estimate.cost);
        cost.then(strain(a).total_cmp(&strain(b)))
    };
    let meeting = candidates.iter().filter(|c| strain(c) <= 1.0).copied().min_by(order);
    meeting.or_else(|| candidates.iter().copied().min_by(|a, b| strain(a).total_cmp(&strain(b))))
}
