//! Limits how busy an engine may be for a request, by the priority rank of the request.
//!
//! An engine starts waiting requests of a more urgent rank first, but queues requests of all ranks
//! until its queue is full, and then refuses any. Requests of lower ranks are therefore sent only to
//! engines with shorter queues, so that places stay free for more urgent ones.

use crate::rank_admission::Rank;
use crate::upstream_selection::{LOAD_LIMIT_MAX, SLOT_WAIT_MS};
use std::time::Duration;

/// The limit of the last rank: all slots are in use, and nothing waits.
const LAST_LIMIT: f64 = 1.0;

/// The fraction of the attempts of each rank that have the limit of the most urgent rank, so that
/// more urgent requests can't keep a rank from being served at all.
const UNLIMITED_SHARE: f64 = 0.1;

/// The delay of a lower rank's retries, as a fraction of the delay of the most urgent rank, for each
/// rank above.
const STAGGER_PER_RANK: f64 = 0.25;

/// The longest delay that a refusal states.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// The ratio of requests to slots from which an engine is too busy for a request. `ranks` are the
/// ranks of the service, the most urgent one first; `draw` is evenly distributed between 0 and 1 and
/// differs between the attempts of a caller.
pub fn load_limit(rank: Rank, ranks: &[Rank], draw: f64) -> f64 {
    if ranks.len() < 2 || draw < UNLIMITED_SHARE {
        return LOAD_LIMIT_MAX;
    }
    let last = ranks.len() - 1;
    let above = ranks_above(rank, ranks).min(last);
    LOAD_LIMIT_MAX - (LOAD_LIMIT_MAX - LAST_LIMIT) * above as f64 / last as f64
}

/// Whether a request that an engine has refused as full may be sent to another one. Those of the last
/// rank are refused, so that the retries that the budget permits are left to more urgent ones.
pub fn may_try_another(load_limit: f64) -> bool {
    load_limit > LAST_LIMIT
}

/// The delay after which a request that was refused for its rank may be sent again. `excess` is the
/// number of requests beyond the limit at an engine.
pub fn retry_after(rank: Rank, ranks: &[Rank], excess: f64, jitter: Duration) -> Duration {
    let excess_s = excess.max(0.0) * SLOT_WAIT_MS / 1e3;
    let stagger = 1.0 + STAGGER_PER_RANK * ranks_above(rank, ranks) as f64;
    let delay_s = (excess_s * stagger).min(RETRY_AFTER_MAX.as_secs_f64());
    (Duration::from_secs_f64(delay_s) + jitter).min(RETRY_AFTER_MAX)
}

fn ranks_above(rank: Rank, ranks: &[Rank]) -> usize {
    ranks.iter().filter(|other| **other < rank).count()
}

#[cfg(test)]
mod tests;
