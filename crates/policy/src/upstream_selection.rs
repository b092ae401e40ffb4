//! Selects the upstream for one request by its expected time to the first byte.
//!
//! The expected load is streams whose prompts share long prefixes. Engines cache the prefixes that
//! they have prefilled, and prefill prompts one after the other between the decoding steps of the
//! running streams. A request therefore waits for the prompts ahead of it, not for the streams, and
//! prefilling a shared prefix again costs the engine far more than a short wait. Requests with the
//! same prefix go to one engine unless the queue there is much longer than elsewhere. All daemons
//! rank the engines of a prefix in the same order by rendezvous hashing, without communication.
//!
//! Plain calls go to an upstream drawn at random, see [`plain`].
//!
//! A request of a service with ranks goes to one drawn from the engines that are less busy than its rank
//! permits, see [`ranked`].
//!
//! An upstream with a rate limit gets requests up to it, but no prefix is assigned to it. The other
//! upstreams get the rest.

pub mod plain;
mod ranked;

use crate::breaker::BreakerState;
use crate::upstream_registry::UpstreamKey;
use plain::UpstreamReport;
use ranked::RankedLoads;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens that an engine prefills per millisecond; the figure in the users' documentation of
/// both deployments.
const PREFILL_TOKENS_PER_MS: f64 = 64.2;

/// The additional prefill time that grows with the square of the prompt length, in milliseconds per
/// million pairs of tokens. From the site files.
const PREFILL_MS_PER_MEGAPAIR: f64 = 0.647;

/// The factor by which the prefill time of a shared prefix counts if the prefix has to be prefilled
/// again. It is above 1 because this delays other requests and is billed.
const RECOMPUTE_WEIGHT: f64 = 3.0;

/// The wait for each request beyond the slots of an upstream, in milliseconds. A stream takes one
/// to two seconds and dozens run at once, so a slot becomes free about this often.
pub(crate) const SLOT_WAIT_MS: f64 = 30.0;

/// The delay that each running stream adds to a new request, in milliseconds.
const STREAM_DELAY_MS: f64 = 0.5;

/// The prompt length, in tokens, from which the prefill of each chunk delays the streams running
/// beside it beyond the pause between events that still counts as on time. Follows from the figures
/// above with five tokens per event.
const LONG_PROMPT_TOKENS: u32 = 30_000;

/// The cost of each running stream that such a prompt delays, in milliseconds.
const LONG_PROMPT_PENALTY_MS: f64 = 40.0;

/// The assumed duration of a plain call to an idle upstream, in milliseconds.
const PLAIN_CALL_MS: f64 = 30.0;

/// The round-trip time to another data centre, in milliseconds.
const REMOTE_ROUND_TRIP_MS: f64 = 2.0;

/// The ratio of requests to slots from which an upstream is too busy for any request. The queue of
/// an engine holds about twice its slots; at this ratio half of the queue is filled.
pub const LOAD_LIMIT_MAX: f64 = 2.0;

/// The highest ratio of requests to slots that is believed when a delay is derived from it. The queue
/// of an engine is full below it; a false report of more must not keep callers away.
const RELIABLE_LOAD_MAX: f64 = 4.0;

/// The size and shared prefix of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prompt {
    /// The total number of tokens.
    pub tokens: u32,
    /// Tokens of the prefix that the prompt shares with other requests.
    pub shared_tokens: u32,
    /// The identifier of the last shared part of the prompt; requests with the same identifier
    /// share the whole prefix.
    pub prefix_id: Option<u64>,
}

impl Prompt {
    /// The time that an engine needs to prefill the prompt, in milliseconds. `cached` tells whether
    /// the engine has the shared prefix in its cache.
    pub fn prefill_ms(&self, cached: bool) -> f64 {
        let new =
            f64::from(self.tokens - if cached { self.shared_tokens.min(self.tokens) } else { 0 });
        let pairs = new * f64::from(self.tokens) / 2.0;
        new / PREFILL_TOKENS_PER_MS + pairs / 1e6 * PREFILL_MS_PER_MEGAPAIR
    }

    /// The cost of the prefill for each running stream, in milliseconds.
    fn stream_penalty_ms(&self) -> f64 {
        if self.tokens >= LONG_PROMPT_TOKENS { LONG_PROMPT_PENALTY_MS } else { 0.0 }
    }

    /// The cost of prefilling the shared prefix again, beyond the time that it takes, in
    /// milliseconds.
    fn recompute_penalty_ms(&self) -> f64 {
        f64::from(self.shared_tokens) / PREFILL_TOKENS_PER_MS * (RECOMPUTE_WEIGHT - 1.0)
    }
}

/// Whether the rate limit of an upstream permits a request of this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitState {
    /// There is no limit.
    Unlimited,
    /// A request is permitted.
    Permitted {
        /// Whether its response is needed to learn if the limit still holds.
        probe: bool,
    },
    /// No request is permitted until this time has passed.
    Exhausted(Duration),
}

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The key of the upstream.
    pub key: UpstreamKey,
    /// The hash that identifies the upstream and is the same at every daemon.
    pub identity: u64,
    /// The estimated number of requests at the upstream, running or queued.
    pub requests: u32,
    /// The number of this daemon's requests at the upstream.
    pub own_requests: u32,
    /// The number of the other daemons' requests there, one to two seconds ago.
    pub peer_requests: u32,
    /// What the upstream has reported last.
    pub report: Option<UpstreamReport>,
    /// The estimated prefill time of the prompts in the queue, in milliseconds.
    pub queued_prefill_ms: f64,
    /// The recent ratio of the observed to the estimated time to the first byte; 1 is as estimated.
    pub slowdown: f64,
    /// The number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether it has refused a request as full within the last [`plain::REPORTED_LOAD_MAX_AGE`] and
    /// has accepted none since.
    pub is_full: bool,
    /// The state of the circuit breaker.
    pub breaker: BreakerState,
    /// Whether the limit of the upstream permits a request.
    pub limit: LimitState,
    /// Whether the upstream is in the data centre of the daemon.
    pub is_local: bool,
    /// Whether this daemon has recently sent the prefix of the request there.
    pub sent_prefix: bool,
    /// Whether the request has already been sent there.
    pub tried: bool,
}

impl Candidate {
    /// Whether a request may be sent to the upstream, which it has not been sent to yet.
    pub const fn is_open(&self) -> bool {
        !self.tried && !matches!(self.limit, LimitState::Exhausted(_))
    }

    /// Whether a request is to be sent to the upstream first, to learn of its state.
    fn needs_probe(&self) -> bool {
        let asks_limit = self.limit == LimitState::Permitted { probe: true };
        self.breaker == BreakerState::HalfOpen
            || (asks_limit && self.breaker == BreakerState::Closed)
    }

    /// The ratio of requests to slots.
    fn load(&self) -> f64 {
        f64::from(self.requests) / f64::from(self.slots.max(1))
    }

    /// The expected time until a request receives its first byte, in milliseconds. `cached` tells
    /// whether the upstream has the shared prefix in its cache.
    pub fn first_byte_ms(&self, prompt: Option<&Prompt>, cached: bool) -> f64 {
        let slot_wait = f64::from(self.requests.saturating_sub(self.slots)) * SLOT_WAIT_MS;
        let network = if self.is_local { 0.0 } else { REMOTE_ROUND_TRIP_MS };
        let work = match prompt {
            Some(prompt) => {
                let streams = f64::from(self.requests) * STREAM_DELAY_MS;
                self.queued_prefill_ms + prompt.prefill_ms(cached) + streams
            }
            None => PLAIN_CALL_MS * (1.0 + self.load()),
        };
        work * self.slowdown + slot_wait + network
    }

    /// The cost of sending a request there, in milliseconds: its own wait and the delay of others.
    fn cost(&self, prompt: Option<&Prompt>, cached: bool) -> f64 {
        let recompute = prompt.filter(|_| !cached).map_or(0.0, Prompt::recompute_penalty_ms);
        let streams_penalty =
            prompt.map_or(0.0, Prompt::stream_penalty_ms) * f64::from(self.requests);
        self.first_byte_ms(prompt, cached) + recompute + streams_penalty
    }
}

/// What an upstream is chosen by, besides what is known of the upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The prompt; plain calls have none.
    pub prompt: Option<&'a Prompt>,
    /// The longest acceptable time to the first byte.
    pub max_wait: Duration,
    /// The ratio of requests to slots from which an upstream is too busy for the request.
    pub load_limit: f64,
    /// Whether the load of upstreams is limited by the rank of the request.
    pub has_ranks: bool,
    /// Evenly distributed between 0 and 1; differs between requests and between daemons.
    pub draw: f64,
}

/// Result of the selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// The selected upstream and the expected prefill time of the prompt there, in milliseconds.
    Upstream(UpstreamKey, f64),
    /// No upstream can serve the request in time; one is expected to after the delay.
    Overloaded(Duration),
    /// All upstreams are at or above the limit of the request's rank, by this number of requests on
    /// average.
    RankLimited(f64),
    /// The rate limits of the upstreams permit no request now; one is expected to be permitted after
    /// the delay.
    Limited(Duration),
    /// There is no upstream, or all have been tried.
    None,
}

/// Selects an upstream for a request. An upstream whose circuit breaker allows a probe, or whose
/// limit is to be learnt again, takes precedence.
pub fn choose(candidates: &[Candidate], criteria: &Criteria<'_>) -> Choice {
    let Criteria { prompt, max_wait, load_limit, .. } = *criteria;
    let untried: Vec<&Candidate> =
        candidates.iter().filter(|candidate| candidate.is_open()).collect();
    if let Some(probe) = untried.iter().find(|candidate| candidate.needs_probe()) {
        return Choice::Upstream(probe.key, prompt.map_or(0.0, |prompt| prompt.prefill_ms(false)));
    }
    let closed: Vec<&Candidate> = untried
        .iter()
        .copied()
        .filter(|candidate| candidate.breaker == BreakerState::Closed)
        .collect();
    // If every breaker is open, high load is a more likely cause than faulty upstreams.
    let usable = if closed.is_empty() { untried } else { closed };
    if prompt.is_none()
        && let Some(drawn) = plain::select(&usable, criteria)
    {
        return Choice::Upstream(drawn.key, 0.0);
    }
    let prefix_id = prompt.and_then(|prompt| prompt.prefix_id);
    let preferred_upstream = prefix_id.and_then(|prefix_id| preferred_upstream(&usable, prefix_id));
    let is_cached =
        |candidate: &Candidate| candidate.sent_prefix || preferred_upstream == Some(candidate.key);
    let cost = |candidate: &Candidate| candidate.cost(prompt, is_cached(candidate));
    let wait = |candidate: &Candidate| {
        Duration::from_secs_f64(candidate.first_byte_ms(prompt, is_cached(candidate)) / 1e3)
    };
    let cheapest = |found: &[&Candidate]| {
        found.iter().copied().min_by(|a, b| cost(a).total_cmp(&cost(b))).copied()
    };
    let loads = RankedLoads::new(&usable, criteria);
    let is_below = |candidate: &&Candidate| loads.of(candidate, criteria) < load_limit;
    let below: Vec<&Candidate> = usable.iter().copied().filter(is_below).collect();
    let compared = if criteria.has_ranks && ranked::is_drawn(&usable) {
        ranked::compared(&below, criteria.draw, is_cached)
    } else {
        Vec::new()
    };
    let in_time = cheapest(&compared).filter(|best| wait(best) <= max_wait);
    let Some(best) = in_time.or_else(|| cheapest(&below)).or_else(|| cheapest(&usable)) else {
        return limit_wait(candidates).map_or(Choice::None, Choice::Limited);
    };
    if below.is_empty() && load_limit < LOAD_LIMIT_MAX {
        return Choice::RankLimited(mean_excess(&usable, &loads, criteria));
    }
    let wait = wait(&best);
    if below.is_empty() || wait > max_wait {
        return Choice::Overloaded(wait.saturating_sub(max_wait));
    }
    Choice::Upstream(best.key, prompt.map_or(0.0, |prompt| prompt.prefill_ms(is_cached(&best))))
}

/// How many requests more than its limit permits are at an upstream, on average. One at the limit
/// counts one, as a request has to end there before the next one may be sent.
fn mean_excess(usable: &[&Candidate], loads: &RankedLoads, criteria: &Criteria<'_>) -> f64 {
    let excess = |candidate: &&Candidate| {
        let load = loads.of(candidate, criteria).min(RELIABLE_LOAD_MAX) - criteria.load_limit;
        load.max(0.0) * f64::from(candidate.slots.max(1)) + 1.0
    };
    usable.iter().map(excess).sum::<f64>() / usable.len().max(1) as f64
}

/// The upstream that ranks highest for a prefix by rendezvous hashing. One with a limit could serve
/// only a part of the prefix's requests.
fn preferred_upstream(usable: &[&Candidate], prefix_id: u64) -> Option<UpstreamKey> {
    let rank = |candidate: &&&Candidate| {
        let hash = xxh3_64_with_seed(&candidate.identity.to_le_bytes(), prefix_id);
        (candidate.limit == LimitState::Unlimited, hash)
    };
    usable.iter().max_by_key(rank).map(|candidate| candidate.key)
}

/// The time until the first limit permits a request again.
fn limit_wait(candidates: &[Candidate]) -> Option<Duration> {
    let waits = candidates.iter().filter_map(|candidate| match candidate.limit {
        LimitState::Exhausted(wait) => Some(wait),
        _ => None,
    });
    waits.min()
}

#[cfg(test)]
mod tests;
