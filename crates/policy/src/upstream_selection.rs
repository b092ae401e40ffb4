//! Selects the upstream for one request by its expected time to the first byte.
//!
//! The expected load is streams whose prompts share long prefixes. Engines cache the prefixes that
//! they have prefilled, and prefill prompts one after the other between the decoding steps of the
//! running streams. A request therefore waits for the prompts ahead of it, not for the streams, and
//! prefilling a shared prefix again costs the engine far more than a short wait. Requests with the
//! same prefix go to one engine unless the queue there is much longer than elsewhere. All daemons
//! rank the engines of a prefix in the same order by rendezvous hashing, without communication.
//!
//! Plain calls go to the upstream with the fewest requests, weighted by how fast each upstream has
//! answered recently.
//!
//! What a daemon knows of the others' requests is one to two seconds old. If each took the minimum of
//! the same old figures, a burst would go to a few upstreams. The requests that the others are
//! expected to have sent since are therefore assumed to have filled the candidates to a common level,
//! and one of those below it is drawn in proportion to what it has room for (the load interpretation
//! of Dahlin, "Interpreting stale load information").
//!
//! An upstream with a rate limit gets requests up to it, but no prefix is assigned to it. The other
//! upstreams get the rest.

use crate::breaker::BreakerState;
use crate::upstream_registry::UpstreamKey;
use std::cmp::Reverse;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens that an engine prefills per millisecond, until it is learnt: the prior.
pub const PREFILL_TOKENS_PER_MS: f64 = 64.2;

/// The additional prefill time that grows with the square of the prompt length, in milliseconds per
/// million pairs of tokens. From the site files.
const PREFILL_MS_PER_MEGAPAIR: f64 = 0.647;

/// The factor by which the prefill time of a shared prefix counts if the prefix has to be prefilled
/// again. It is above 1 because this delays other requests and is billed.
const RECOMPUTE_WEIGHT: f64 = 3.0;

/// The wait for each request beyond the slots of an upstream, in milliseconds. A stream takes one
/// to two seconds and dozens run at once, so a slot becomes free about this often.
const SLOT_WAIT_MS: f64 = 30.0;

/// The delay that each running stream adds to a new request, in milliseconds.
const STREAM_DELAY_MS: f64 = 0.5;

/// The prompt length, in tokens at the prior speed, from which the prefill of each chunk delays the
/// streams running beside it beyond the pause between events that still counts as on time. Follows from the figures
/// above with five tokens per event.
const LONG_PROMPT_TOKENS: u32 = 30_000;

/// The cost of each running stream that such a prompt delays, in milliseconds.
const LONG_PROMPT_PENALTY_MS: f64 = 40.0;

/// The assumed duration of a plain call to an idle upstream, in milliseconds.
pub const PLAIN_CALL_MS: f64 = 30.0;

/// The round-trip time to another data centre, in milliseconds.
const REMOTE_ROUND_TRIP_MS: f64 = 2.0;

/// The ratio of requests to slots from which an upstream counts as overloaded. The queue of an
/// engine holds about twice its slots; at this ratio half of the queue is filled.
const OVERLOAD_RATIO: f64 = 2.0;

/// How long a stream stays at an engine, in milliseconds: the middle of the one to two seconds above.
pub const STREAM_HOLD_MS: f64 = 1_500.0;

/// How many upstreams of a prefix have precedence over others: while the first is busy, its requests
/// share the caches of the next two.
const PREFIX_HOMES: usize = 3;

/// The fraction of requests with a prefix that stay at its first upstream. The others leave it while
/// it is busy, and are to be spread too.
const PREFIX_LOYALTY: f64 = 0.8;

/// How much more than elsewhere a request may cost at the next upstream of its prefix, as a fraction
/// of the cost of prefilling the prefix again.
const NEXT_HOME_SLACK: f64 = 0.25;

/// The highest utilisation from which a queue is estimated. It grows without bound towards 1.
const UTILISATION_MAX: f64 = 0.9;

/// The difference up to which costs count as equal, in milliseconds: that of the arithmetic.
const EQUAL_MS: f64 = 1e-6;

/// The highest level of the time to the first byte that is searched, in milliseconds. Callers give
/// up before.
const LEVEL_MAX_MS: f64 = 600_000.0;

/// The number of halvings in the search for the level; it is then found to a millionth.
const LEVEL_STEPS: u32 = 20;

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

    /// The cost of the prefill for each running stream, in milliseconds. `learnt` is the ratio of the
    /// duration of work to the prior.
    fn stream_penalty_ms(&self, learnt: f64) -> f64 {
        if f64::from(self.tokens) * learnt >= f64::from(LONG_PROMPT_TOKENS) {
            LONG_PROMPT_PENALTY_MS
        } else {
            0.0
        }
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
    /// How many of them are other daemons'.
    pub peer_requests: f64,
    /// The estimated prefill time of this daemon's prompts in the queue, in milliseconds. The queue
    /// of the other daemons' prompts is gone before their statuses tell of it.
    pub queued_prefill_ms: f64,
    /// The mean prefill time of the service's requests as estimated, in milliseconds.
    pub mean_prefill_ms: f64,
    /// How long a request stays at the upstream, in milliseconds.
    pub hold_ms: f64,
    /// The ratio of the expected duration of work at present to the prior.
    pub slowdown: f64,
    /// The same ratio as learnt, without what passes in a moment.
    pub learnt: f64,
    /// The number of requests that the upstream processes concurrently.
    pub slots: u32,
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

    /// How the expected time to the first byte depends on the other daemons' requests. `cached`
    /// tells whether the upstream has the shared prefix in its cache.
    fn wait_curve(&self, prompt: Option<&Prompt>, cached: bool) -> WaitCurve {
        let network_ms = if self.is_local { 0.0 } else { REMOTE_ROUND_TRIP_MS };
        let own = f64::from(self.requests) - self.peer_requests;
        let slots = f64::from(self.slots.max(1));
        let (work_ms, step_ms) = match prompt {
            Some(prompt) => (self.queued_prefill_ms + prompt.prefill_ms(cached), STREAM_DELAY_MS),
            None => (PLAIN_CALL_MS, PLAIN_CALL_MS / slots),
        };
        let mean_ms = if prompt.is_some() { self.mean_prefill_ms * self.slowdown } else { 0.0 };
        WaitCurve {
            base_ms: (work_ms + own * step_ms) * self.slowdown + network_ms,
            step_ms: step_ms * self.slowdown,
            mean_ms,
            busy_share: mean_ms / self.hold_ms.max(1.0),
            slots: slots - own,
            slot_wait_ms: SLOT_WAIT_MS * self.hold_ms / hold_prior_ms(prompt.is_some()),
            present: self.peer_requests,
        }
    }

    /// The expected time until a request receives its first byte, in milliseconds. `cached` tells
    /// whether the upstream has the shared prefix in its cache.
    pub fn first_byte_ms(&self, prompt: Option<&Prompt>, cached: bool) -> f64 {
        self.wait_curve(prompt, cached).present_ms()
    }

    /// The cost for others of sending a request there, in milliseconds: the delay of running
    /// streams, and a prefix that is computed again. `fill` is the number of unseen requests there.
    fn externality_ms(&self, prompt: Option<&Prompt>, cached: bool, fill: f64) -> f64 {
        let recompute = prompt.filter(|_| !cached).map_or(0.0, Prompt::recompute_penalty_ms);
        let stream = prompt.map_or(0.0, |prompt| prompt.stream_penalty_ms(self.learnt));
        recompute * self.learnt + stream * (f64::from(self.requests) + fill)
    }
}

/// The expected time to the first byte of a request as a function of the number of other daemons'
/// requests at an upstream. Their prompts are not known one by one: their queue is that of the
/// utilisation which follows from their number.
#[derive(Clone, Copy, Debug)]
struct WaitCurve {
    /// Without any of these requests, in milliseconds.
    base_ms: f64,
    /// The delay that each adds by running, in milliseconds.
    step_ms: f64,
    /// The mean prefill time of a request there, in milliseconds.
    mean_ms: f64,
    /// The fraction of its time that the upstream spends on the prefill of each.
    busy_share: f64,
    /// How many of them can run concurrently.
    slots: f64,
    /// The wait for each beyond these, in milliseconds.
    slot_wait_ms: f64,
    /// Their expected number without the unseen ones.
    present: f64,
}

impl WaitCurve {
    /// The expected time with the requests that are known, in milliseconds.
    fn present_ms(&self) -> f64 {
        self.first_byte_ms(self.present)
    }

    /// The number of requests at which the highest utilisation is reached. Each further one waits for
    /// all before it.
    fn steep_from(&self) -> f64 {
        if self.busy_share > 0.0 { UTILISATION_MAX / self.busy_share } else { f64::INFINITY }
    }

    fn first_byte_ms(&self, requests: f64) -> f64 {
        let busy = (requests * self.busy_share).min(UTILISATION_MAX);
        let beyond = (requests - self.steep_from()).max(0.0);
        let queue_ms = self.mean_ms * (busy / (1.0 - busy) + beyond);
        let slot_wait_ms = (requests - self.slots).max(0.0) * self.slot_wait_ms;
        self.base_ms + requests * self.step_ms + queue_ms + slot_wait_ms
    }

    /// How many more requests bring the time to `level`, in milliseconds; 0 if it is above.
    fn room(&self, level: f64) -> f64 {
        let total = if level <= self.base_ms { 0.0 } else { self.requests_at(level) };
        (total - self.present).max(0.0)
    }

    /// The number of requests at which the time is `level`, which is above the base. The inverse of
    /// [`Self::first_byte_ms`] up to the slots; beyond, only the wait for a slot counts.
    fn requests_at(&self, level: f64) -> f64 {
        let above = level - self.base_ms;
        let steep_from = self.steep_from();
        let steep_ms =
            if steep_from.is_finite() { self.first_byte_ms(steep_from) } else { f64::MAX };
        let free = if self.busy_share <= 0.0 {
            above / self.step_ms.max(f64::MIN_POSITIVE)
        } else if level >= steep_ms {
            steep_from + (level - steep_ms) / (self.mean_ms + self.step_ms)
        } else {
            // With the utilisation u and the step s per u: above = s*u + mean*u/(1-u).
            let step = (self.step_ms / self.busy_share).max(f64::MIN_POSITIVE);
            let sum = above + step + self.mean_ms;
            let root = (sum * sum - 4.0 * step * above).max(0.0).sqrt();
            // This form of the solution is exact also if the step is tiny.
            (2.0 * above / (sum + root)).min(UTILISATION_MAX) / self.busy_share
        };
        if free <= self.slots {
            return free;
        }
        let slots = self.slots.max(0.0);
        slots + (level - self.first_byte_ms(slots)).max(0.0) / (self.slot_wait_ms + self.step_ms)
    }
}

/// Result of the selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// The selected upstream and the expected prefill time of the prompt there, in milliseconds.
    Upstream(UpstreamKey, f64),
    /// No upstream can serve the request in time; one is expected to after the delay.
    Overloaded(Duration),
    /// The rate limits of the upstreams permit no request now; one is expected to be permitted after
    /// the delay.
    Limited(Duration),
    /// There is no upstream, or all have been tried.
    None,
}

/// What the selection takes into account beside the candidates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Requests that other daemons are expected to have sent to the service since the statuses from
    /// which the candidates' requests are counted.
    pub unseen: f64,
    /// A number from 0 to 1 that decides among candidates that are equally good.
    pub draw: f64,
}

/// How long a request stays at an upstream until it is learnt, in milliseconds.
pub const fn hold_prior_ms(has_prompt: bool) -> f64 {
    if has_prompt { STREAM_HOLD_MS } else { PLAIN_CALL_MS }
}

/// The fraction of an upstream's requests in a status of age `age_ms` that is expected there now,
/// those included that have taken the place of requests with a prefix. A request stays for
/// `hold_ms`, and `prefix_share` of them have a prefix.
pub fn remaining_share(age_ms: f64, hold_ms: f64, prefix_share: f64) -> f64 {
    let remaining = (-age_ms / hold_ms.max(1.0)).exp();
    remaining + (1.0 - remaining) * prefix_share * PREFIX_LOYALTY
}

/// A candidate and what is expected there once the unseen requests have arrived.
#[derive(Clone, Copy, Debug)]
struct Ranked<'a> {
    candidate: &'a Candidate,
    /// Expected time to the first byte, in milliseconds.
    first_byte_ms: f64,
    /// Expected cost of sending the request there, in milliseconds.
    cost: f64,
    /// Unseen requests that are expected to have gone there.
    fill: f64,
    is_cached: bool,
}

impl Ranked<'_> {
    fn is_overloaded(&self) -> bool {
        let requests = f64::from(self.candidate.requests) + self.fill;
        requests >= OVERLOAD_RATIO * f64::from(self.candidate.slots.max(1))
    }
}

/// Selects an upstream for a request that can wait for `patience`. Plain calls have no prompt. An
/// upstream whose circuit breaker allows a probe, or whose limit is to be learnt again, takes
/// precedence.
pub fn choose(
    candidates: &[Candidate],
    prompt: Option<&Prompt>,
    patience: Duration,
    spread: Spread,
) -> Choice {
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
    let prefix_id = prompt.and_then(|prompt| prompt.prefix_id);
    let homes = prefix_id.map(|prefix_id| prefix_homes(&usable, prefix_id)).unwrap_or_default();
    let ranked = rank(&usable, prompt, homes.first().copied(), spread.unseen);
    let Some(best) = select(&ranked, prompt, &homes, spread.draw) else {
        return limit_wait(candidates).map_or(Choice::None, Choice::Limited);
    };
    let wait = Duration::from_secs_f64(best.first_byte_ms / 1e3);
    if best.is_overloaded() || wait > patience {
        return Choice::Overloaded(wait.saturating_sub(patience));
    }
    let prefill_ms = prompt.map_or(0.0, |prompt| prompt.prefill_ms(best.is_cached));
    Choice::Upstream(best.candidate.key, prefill_ms)
}

/// Estimates each candidate after the arrival of the unseen requests. These are assumed to have
/// gone where the time to the first byte was shortest, so that the candidates below a common level
/// have reached it.
fn rank<'a>(
    usable: &[&'a Candidate],
    prompt: Option<&Prompt>,
    home: Option<UpstreamKey>,
    unseen: f64,
) -> Vec<Ranked<'a>> {
    let curves: Vec<WaitCurve> =
        usable.iter().map(|candidate| candidate.wait_curve(prompt, true)).collect();
    let level = level(&curves, unseen);
    let ranked = usable.iter().zip(&curves).map(|(candidate, curve)| {
        let is_cached = candidate.sent_prefix || home == Some(candidate.key);
        let settled = level.max(curve.present_ms());
        let prefill = |cached| prompt.map_or(0.0, |prompt| prompt.prefill_ms(cached));
        let uncached = if is_cached { 0.0 } else { prefill(false) - prefill(true) };
        let first_byte_ms = settled + uncached * candidate.slowdown;
        let fill = curve.room(level);
        let cost = first_byte_ms + candidate.externality_ms(prompt, is_cached, fill);
        Ranked { candidate, first_byte_ms, cost, fill, is_cached }
    });
    ranked.collect()
}

/// The level of the time to the first byte that the candidates reach with `unseen` more requests, in
/// milliseconds.
fn level(curves: &[WaitCurve], unseen: f64) -> f64 {
    let lowest = curves.iter().map(WaitCurve::present_ms).fold(f64::INFINITY, f64::min);
    if unseen <= 0.0 || !lowest.is_finite() {
        return lowest;
    }
    let room = |level: f64| curves.iter().map(|curve| curve.room(level)).sum::<f64>();
    let (mut low, mut high) = (lowest, lowest + 1.0);
    while room(high) < unseen && high < LEVEL_MAX_MS {
        high = lowest + (high - lowest) * 2.0;
    }
    for _ in 0..LEVEL_STEPS {
        let middle = f64::midpoint(low, high);
        if room(middle) < unseen {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Selects the candidate with the lowest cost. A prefix that leaves its upstream goes to the next in
/// its order, and other requests are drawn among the equal ones, in proportion to the requests that
/// each can take.
fn select<'a>(
    ranked: &'a [Ranked<'a>],
    prompt: Option<&Prompt>,
    homes: &[UpstreamKey],
    draw: f64,
) -> Option<&'a Ranked<'a>> {
    let lowest = ranked.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    if !lowest.is_cached {
        let slack = prompt.map_or(0.0, Prompt::recompute_penalty_ms)
            * lowest.candidate.learnt
            * NEXT_HOME_SLACK;
        for home in homes {
            let found = ranked.iter().find(|found| found.candidate.key == *home);
            if let Some(found) = found.filter(|found| found.cost <= lowest.cost + slack) {
                return Some(found);
            }
        }
    }
    let near = || ranked.iter().filter(|found| found.cost <= lowest.cost + EQUAL_MS);
    let total: f64 = near().map(|found| found.fill).sum();
    let weight = |found: &Ranked<'_>| if total > 0.0 { found.fill } else { 1.0 };
    let mut left = draw.clamp(0.0, 1.0) * near().map(weight).sum::<f64>();
    for found in near().filter(|found| weight(found) > 0.0) {
        left -= weight(found);
        if left < 0.0 {
            return Some(found);
        }
    }
    Some(lowest)
}

/// The upstreams that rank highest for a prefix by rendezvous hashing, highest first. One with a
/// limit could serve only a part of the prefix's requests.
fn prefix_homes(usable: &[&Candidate], prefix_id: u64) -> Vec<UpstreamKey> {
    let rank = |candidate: &Candidate| {
        let hash = xxh3_64_with_seed(&candidate.identity.to_le_bytes(), prefix_id);
        (candidate.limit == LimitState::Unlimited, hash)
    };
    let mut homes: Vec<_> =
        usable.iter().map(|candidate| (rank(candidate), candidate.key)).collect();
    let kept = homes.len().min(PREFIX_HOMES);
    if kept < homes.len() {
        homes.select_nth_unstable_by_key(kept, |(rank, _)| Reverse(*rank));
        homes.truncate(kept);
    }
    homes.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
    homes.into_iter().map(|(_, key)| key).collect()
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
