//! The choice of an upstream for one request.
//!
//! Load: streams whose prompts share long parts, on engines that keep the parts which they have
//! read and read prompts one after the other, between the tokens of the streams that run. So what
//! a request waits for is the prompts ahead of it, not the streams; and reading a part again costs
//! the engine far more than a request that waits a little. Requests about one subject go to one
//! engine as long as the queue there is not much longer than elsewhere. All daemons rank the
//! engines of a subject alike (rendezvous hashing), without talking.
//!
//! Plain calls go where the fewest are, by how fast each upstream has answered lately.

use crate::breaker::BreakerState;
use crate::upstream_registry::UpstreamKey;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt tokens that an engine reads in a millisecond. From the users' pages, for both sites.
const READ_TOKENS_PER_MS: f64 = 64.2;

/// What a prompt costs beyond that, in milliseconds for each million pairs of its tokens. From the
/// site files.
const READ_MS_PER_MEGAPAIR: f64 = 0.647;

/// How much more a shared part that is read again counts than its time: it delays others, and it is
/// paid for.
const READ_AGAIN_WEIGHT: f64 = 3.0;

/// What a request beyond an upstream's slots waits for each one ahead of it, in milliseconds. A
/// stream takes one to two seconds, and dozens run at once.
const SLOT_WAIT_MS: f64 = 30.0;

/// What each stream that runs adds to the time of the others, in milliseconds.
const STREAM_COST_MS: f64 = 0.5;

/// The prompt from which on each piece of it that is read delays the streams beside it beyond the
/// pause that is on time, in tokens. By the figures above, with five tokens an event.
const HARMFUL_TOKENS: u32 = 30_000;

/// What a stream that is delayed so counts, in milliseconds.
const HARM_MS: f64 = 40.0;

/// The time of a plain call where nothing is known yet, in milliseconds.
const CALL_MS: f64 = 30.0;

/// How much an upstream in another data centre is further away, in milliseconds both ways.
const FAR_MS: f64 = 2.0;

/// Requests at an upstream over its slots above which it is taken to be overloaded. From the
/// engines' queue, which is about twice their slots: half of it.
const OVERLOAD_RATIO: f64 = 2.0;

/// What is known of a request's prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prompt {
    /// All its tokens.
    pub tokens: u32,
    /// Those that it shares with others.
    pub shared_tokens: u32,
    /// The last part that it shares with others.
    pub prefix_id: Option<u64>,
}

impl Prompt {
    /// The time that an engine needs to read it, in milliseconds, if it keeps the shared parts or
    /// not.
    pub fn prefill_ms(&self, kept: bool) -> f64 {
        let new =
            f64::from(self.tokens - if kept { self.shared_tokens.min(self.tokens) } else { 0 });
        let pairs = new * f64::from(self.tokens) / 2.0;
        new / READ_TOKENS_PER_MS + pairs / 1e6 * READ_MS_PER_MEGAPAIR
    }

    /// What reading it does to each stream beside it, in milliseconds.
    fn harm_ms(&self) -> f64 {
        if self.tokens >= HARMFUL_TOKENS { HARM_MS } else { 0.0 }
    }

    fn read_again_ms(&self) -> f64 {
        f64::from(self.shared_tokens) / READ_TOKENS_PER_MS * (READ_AGAIN_WEIGHT - 1.0)
    }
}

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// A number that is the same for it at every daemon.
    pub identity: u64,
    /// Requests believed to be there, running or waiting.
    pub requests: u32,
    /// The reading of prompts believed to wait there, in milliseconds.
    pub queued_prefill_ms: f64,
    /// How much slower than estimated its answers have begun lately; 1 is as estimated.
    pub slowdown: f64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What its breaker lets through.
    pub gate: BreakerState,
    /// Whether it is in the daemon's own data centre.
    pub is_local: bool,
    /// Whether this daemon has sent the subject there lately.
    pub sent_prefix: bool,
    /// Whether the request has been there before.
    pub tried: bool,
}

impl Candidate {
    fn load(&self) -> f64 {
        f64::from(self.requests) / f64::from(self.slots.max(1))
    }

    /// The time until a request would have its first byte, in milliseconds.
    pub fn first_byte_ms(&self, prompt: Option<&Prompt>, kept: bool) -> f64 {
        let over = f64::from(self.requests.saturating_sub(self.slots)) * SLOT_WAIT_MS;
        let far = if self.is_local { 0.0 } else { FAR_MS };
        let work = match prompt {
            Some(prompt) => {
                let streams = f64::from(self.requests) * STREAM_COST_MS;
                self.queued_prefill_ms + prompt.prefill_ms(kept) + streams
            }
            None => CALL_MS * (1.0 + self.load()),
        };
        work * self.slowdown + over + far
    }

    fn cost(&self, prompt: Option<&Prompt>, kept: bool) -> f64 {
        let again = prompt.filter(|_| !kept).map_or(0.0, Prompt::read_again_ms);
        let harm = prompt.map_or(0.0, Prompt::harm_ms) * f64::from(self.requests);
        self.first_byte_ms(prompt, kept) + again + harm
    }
}

/// What was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// The request goes there, and its prompt takes the milliseconds to be read.
    Upstream(UpstreamKey, f64),
    /// It could not be served in time anywhere; there is room after the delay.
    Overloaded(Duration),
    /// There is no upstream, or each has been tried.
    None,
}

/// Chooses an upstream for a request that can wait for `patience`; plain calls have no prompt.
pub fn choose(candidates: &[Candidate], prompt: Option<&Prompt>, patience: Duration) -> Choice {
    let fresh: Vec<&Candidate> = candidates.iter().filter(|found| !found.tried).collect();
    if let Some(probe) = fresh.iter().find(|found| found.gate == BreakerState::HalfOpen) {
        return Choice::Upstream(probe.key, prompt.map_or(0.0, |prompt| prompt.prefill_ms(false)));
    }
    let closed: Vec<&Candidate> =
        fresh.iter().copied().filter(|found| found.gate == BreakerState::Closed).collect();
    // Breakers that are all open say more of the load than of the upstreams.
    let usable = if closed.is_empty() { fresh } else { closed };
    let prefix_id = prompt.and_then(|prompt| prompt.prefix_id);
    let home = prefix_id.and_then(|prefix_id| home(&usable, prefix_id));
    let keeps = |found: &Candidate| found.sent_prefix || home == Some(found.key);
    let cost = |found: &Candidate| found.cost(prompt, keeps(found));
    let best = usable.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
    let Some(best) = best else {
        return Choice::None;
    };
    let wait = Duration::from_secs_f64(best.first_byte_ms(prompt, keeps(best)) / 1e3);
    if best.load() >= OVERLOAD_RATIO || wait > patience {
        return Choice::Overloaded(wait.saturating_sub(patience));
    }
    Choice::Upstream(best.key, prompt.map_or(0.0, |prompt| prompt.prefill_ms(keeps(best))))
}

/// The upstream where a subject's requests meet.
fn home(usable: &[&Candidate], prefix_id: u64) -> Option<UpstreamKey> {
    let rank = |found: &&&Candidate| xxh3_64_with_seed(&found.identity.to_le_bytes(), prefix_id);
    usable.iter().max_by_key(rank).map(|found| found.key)
}

#[cfg(test)]
mod tests;
