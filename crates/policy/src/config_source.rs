//! From which daemon to fetch a newer configuration, and whom to tell of one.
//!
//! The load is 1 to 400 daemons with links of 10 Mbit/s, a few of which get each change from the
//! store. Whoever gets it tells a few daemons that lack it, which fetch it from there or from any
//! other daemon that has it: the number of daemons that have it multiplies with each transfer, and no
//! link sends it more than a few times.

use rand::{Rng, RngExt};
use spindle_types::MonotonicInstant;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// The number of daemons that a daemon tells of a version that it has just got.
pub const TOLD_DAEMONS: usize = 3;

/// How long a daemon from which a fetch has failed is avoided while there are others.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// A daemon that has a newer configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder<A> {
    /// Its address.
    pub address: A,
    /// The version in force there.
    pub version: u64,
    /// Whether it is in the data centre of this daemon.
    pub is_local: bool,
}

/// The fetches of one daemon: those in progress, and those that failed lately.
#[derive(Clone, Debug)]
pub struct Fetches<A> {
    in_progress: Vec<A>,
    failed_at: HashMap<A, MonotonicInstant>,
}

impl<A> Default for Fetches<A> {
    fn default() -> Self {
        Self { in_progress: Vec::new(), failed_at: HashMap::new() }
    }
}

impl<A: Copy + Eq + Hash> Fetches<A> {
    /// Selects a daemon to fetch from and counts the fetch as in progress. Of two drawn ones it takes
    /// the one with the newer version: not always the newest, because few daemons have that one. Those
    /// of the own data centre are preferred, because traffic between data centres is charged.
    pub fn begin(
        &mut self,
        now: MonotonicInstant,
        holders: &[Holder<A>],
        generator: &mut impl Rng,
    ) -> Option<A> {
        self.failed_at.retain(|_, at| now.since(*at) < AVOID_TIME);
        let idle = holders.iter().filter(|holder| !self.in_progress.contains(&holder.address));
        let sound = idle.clone().filter(|holder| !self.failed_at.contains_key(&holder.address));
        let near: Vec<_> = sound.clone().filter(|holder| holder.is_local).collect();
        let groups = [near, sound.collect(), idle.collect()];
        let group = groups.iter().find(|group| !group.is_empty())?;
        let mut draw = || group[generator.random_range(0..group.len())];
        let (first, second) = (draw(), draw());
        let address = if second.version > first.version { second.address } else { first.address };
        self.in_progress.push(address);
        Some(address)
    }

    /// Records the end of a fetch.
    pub fn on_ended(&mut self, now: MonotonicInstant, address: A, succeeded: bool) {
        self.in_progress.retain(|other| *other != address);
        if !succeeded {
            self.failed_at.insert(address, now);
        }
    }
}

/// Selects the daemons to tell of a new version, of those that lack it.
pub fn select_told<A>(mut lacking: Vec<A>, generator: &mut impl Rng) -> Vec<A> {
    let mut told = Vec::new();
    while told.len() < TOLD_DAEMONS && !lacking.is_empty() {
        told.push(lacking.swap_remove(generator.random_range(0..lacking.len())));
    }
    told
}

#[cfg(test)]
mod tests;
