//! Strategies that select one of the upstreams that can serve a request.

use super::UpstreamKey;
use super::demand::Demand;
use super::estimate::Estimate;
use rand::{Rng, RngExt};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::config::LatencyTarget;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Strategy for choosing an upstream.
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
    /// The upstream with the fewest attempts of this daemon in flight.
    LeastInFlight,
    /// Of two upstreams drawn at random, the one with fewer attempts of this daemon in flight.
    PowerOfTwo,
    /// The upstream with the most cached prompt tokens, regardless of load.
    Affinity,
    /// The upstream with the lowest marginal cost within the latency target, where the cost is
    /// increased as the estimate approaches the target. If no upstream meets the target, the one
    /// that exceeds it least.
    #[default]
    ExpectedCost,
}

/// An upstream that can serve the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) key: UpstreamKey,
    /// Attempts of this daemon in flight there.
    pub(super) running: u32,
    pub(super) estimate: Estimate,
}

/// The fraction of the latency target that an estimate may use. It is below 1 because an estimate
/// is an average while the target is a 95th percentile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    /// The fraction of the target time to the first token.
    pub first_token: f64,
    /// The fraction of the target time between two tokens.
    pub token_interval: f64,
}

impl Default for Headroom {
    fn default() -> Self {
        Self { first_token: 0.5, token_interval: 0.9 }
    }
}

impl Strategy {
    /// Chooses one of the candidates, which are sorted by instance. `round_robin_position` is the
    /// position of [`Self::RoundRobin`].
    pub(super) fn choose(
        self,
        candidates: &[Candidate],
        round_robin_position: usize,
        demand: &Demand,
        headroom: &Headroom,
        generator: &mut impl Rng,
    ) -> Option<Candidate> {
        match self {
            Self::RoundRobin => {
                candidates.get(round_robin_position % candidates.len().max(1)).copied()
            }
            Self::LeastInFlight => draw_lowest(candidates, |c| c.running, generator),
            Self::PowerOfTwo => {
                draw_lowest(&draw_two(candidates, generator), |c| c.running, generator)
            }
            Self::Affinity => draw_lowest(candidates, |c| c.estimate.uncached, generator),
            Self::ExpectedCost => cheapest(candidates, &demand.latency_target, headroom),
        }
    }
}

/// Draws one of the candidates with the lowest metric at random.
fn draw_lowest(
    candidates: &[Candidate],
    metric: impl Fn(&Candidate) -> u32,
    generator: &mut impl Rng,
) -> Option<Candidate> {
    let lowest = candidates.iter().map(&metric).min()?;
    let equal: Vec<_> = candidates.iter().filter(|c| metric(c) == lowest).collect();
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

/// The fraction of the latency target that an estimate uses, headroom included; the larger of the
/// fractions for the first token and for the token interval.
fn utilisation(estimate: &Estimate, target: &LatencyTarget, headroom: &Headroom) -> f64 {
    let first = target.first_token.get().as_secs_f64() * headroom.first_token;
    let interval = target.token_interval.get().as_secs_f64() * headroom.token_interval;
    (estimate.first_token / first).max(estimate.token_interval / interval)
}

/// The cost of a request, increased as its estimate approaches the target. A cached prefix or a
/// lower price decides while latency is well within the target, and load spreads before the target
/// is missed.
fn weighted_cost(cost: f64, utilisation: f64) -> f64 {
    cost / (1.0 - utilisation).max(f64::EPSILON)
}

fn cheapest(
    candidates: &[Candidate],
    target: &LatencyTarget,
    headroom: &Headroom,
) -> Option<Candidate> {
    let rated = candidates.iter().map(|c| (utilisation(&c.estimate, target, headroom), c));
    let cheapest = rated
        .clone()
        .filter(|(utilisation, _)| *utilisation < 1.0)
        .map(|(utilisation, c)| (weighted_cost(c.estimate.cost, utilisation), utilisation, c))
        .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    if let Some((_, _, candidate)) = cheapest {
        return Some(*candidate);
    }
    rated.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, candidate)| *candidate)
}
