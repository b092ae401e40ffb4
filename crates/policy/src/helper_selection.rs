//! Selects the daemon through which a request is sent that has no way to its upstreams from here.
//!
//! The expected load is all requests of the daemons that are cut off, often those of a whole data
//! centre. Each daemon selects without communication, from loads that are a heartbeat old. The
//! less loaded of two drawn helpers spreads them nearly evenly. Traffic between data centres is
//! charged, so helpers of the own data centre are preferred as long as they are no fewer than the
//! daemons there that need help.

use rand::{Rng, RngExt};
use std::time::Duration;

/// How long a helper is avoided after a connection to it has failed.
pub const AVOID_TIME: Duration = Duration::from_secs(1);

/// A daemon that reaches the upstreams of the request's service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Helper {
    /// Whether it is in the data centre of this daemon.
    pub is_local: bool,
    /// The number of requests that it has in flight, by its last status and what has been sent to it
    /// since.
    pub load: u32,
}

/// Selects one of `helpers` by its index. `local_cut` is the number of daemons in the own data
/// centre, this one included, that need help.
pub fn select(helpers: &[Helper], local_cut: usize, generator: &mut impl Rng) -> Option<usize> {
    let local: Vec<usize> = (0..helpers.len()).filter(|index| helpers[*index].is_local).collect();
    let eligible: Vec<usize> =
        if local.len() >= local_cut { local } else { (0..helpers.len()).collect() };
    if eligible.is_empty() {
        return None;
    }
    let mut draw = || eligible[generator.random_range(0..eligible.len())];
    let (first, second) = (draw(), draw());
    Some(if helpers[second].load < helpers[first].load { second } else { first })
}

#[cfg(test)]
mod tests;
