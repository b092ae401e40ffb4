//! The choice of an upstream for one request.
//!
//! Load: streams whose prompts share long parts, on engines that keep the parts which they have
//! read. Reading a part again costs the engine far more than a request that waits a little, so
//! requests about one subject go to one engine as long as that one is not much busier than the
//! mean. All daemons rank the engines of a subject alike (rendezvous hashing), without talking.

use crate::breaker::Gate;
use crate::listing::UpstreamKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How far, as a share of an upstream's slots, its load may lie over the mean before a request
/// goes to the next in its subject's ranking. Half of the room that bounded-load hashing usually
/// leaves at two upstreams a subject.
const LOAD_EXCESS: f64 = 0.08;

/// How far, as a ratio of the mean, an upstream's load may lie over it.
const LOAD_RATIO: f64 = 1.25;

/// How much an upstream in the daemon's own data centre is preferred, as a share of its slots:
/// about one request in flight at 32 slots.
const NEAR_BONUS: f64 = 0.03;

/// Requests at an upstream over its slots above which it is taken to be overloaded. From the
/// engines' queue, which is about twice their slots: half of it.
const OVERLOAD_RATIO: f64 = 2.0;

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// A number that is the same for it at every daemon.
    pub identity: u64,
    /// Requests believed to be there, running or waiting.
    pub requests: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What its breaker lets through.
    pub gate: Gate,
    /// Whether it is in the daemon's own data centre.
    pub near: bool,
    /// Whether the request has been there before.
    pub tried: bool,
}

impl Candidate {
    fn load(&self) -> f64 {
        f64::from(self.requests) / f64::from(self.slots.max(1))
    }

    fn cost(&self) -> f64 {
        self.load() - if self.near { NEAR_BONUS } else { 0.0 }
    }
}

/// What was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The request goes there.
    Upstream(UpstreamKey),
    /// Every upstream has more than it can serve in time.
    Overloaded,
    /// There is no upstream, or each has been tried.
    None,
}

/// Chooses an upstream; `subject` is the part of the prompt that the request shares with others.
pub fn choose(candidates: &[Candidate], subject: Option<u64>) -> Choice {
    let fresh: Vec<&Candidate> = candidates.iter().filter(|found| !found.tried).collect();
    if let Some(probe) = fresh.iter().find(|found| found.gate == Gate::Probe) {
        return Choice::Upstream(probe.key);
    }
    let closed: Vec<&Candidate> =
        fresh.iter().copied().filter(|found| found.gate == Gate::Closed).collect();
    // Breakers that are all open say more of the load than of the upstreams.
    let usable = if closed.is_empty() { fresh } else { closed };
    let Some(least) = usable.iter().min_by(|a, b| a.cost().total_cmp(&b.cost())) else {
        return Choice::None;
    };
    if least.load() >= OVERLOAD_RATIO {
        return Choice::Overloaded;
    }
    let Some(subject) = subject else {
        return Choice::Upstream(least.key);
    };
    let mean = usable.iter().map(|found| found.load()).sum::<f64>() / usable.len() as f64;
    let bound = mean * LOAD_RATIO + LOAD_EXCESS;
    let rank = |found: &Candidate| xxh3_64_with_seed(&found.identity.to_le_bytes(), subject);
    let preferred =
        usable.iter().filter(|found| found.load() <= bound).max_by_key(|found| rank(found));
    Choice::Upstream(preferred.unwrap_or(least).key)
}

#[cfg(test)]
mod tests;
