//! Which requests and which upstreams take part in a trial.

use super::{RolloutOrder, RolloutStep};
use spindle_types::{Instance, RequestId};
use std::cmp::Reverse;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The draw of a request in 0..1, which is the same at each daemon and attempt.
pub fn request_draw(id: RequestId) -> f64 {
    // 53 bits are what a double holds exactly.
    (xxh3_64(&id.0.to_le_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
}

/// The preference for a target upstream in a trial (rendezvous hashing); the highest first.
pub fn trial_rank(order: &RolloutOrder, instance: &Instance) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), xxh3_64(order.target.as_str().as_bytes()))
}

/// The target upstreams that may be used under a step, out of all that are registered. Daemons that
/// know the same upstreams choose the same.
pub fn trial_upstreams<'a>(
    step: &RolloutStep,
    instances: impl IntoIterator<Item = &'a Instance>,
) -> Vec<&'a Instance> {
    let mut ranked: Vec<_> = instances.into_iter().collect();
    ranked.sort_by_key(|instance| Reverse((trial_rank(&step.order, instance), *instance)));
    ranked.truncate(usize::try_from(step.upstreams).unwrap_or(usize::MAX));
    ranked
}
