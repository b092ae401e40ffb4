//! Steers the callers of a prefix family to the same daemons.
//!
//! Rendezvous hashing with bounded loads orders the live daemons of a data centre for each family.
//! Only the families of a daemon that joins or leaves move. A daemon whose load exceeds the bound
//! moves to the end of the order, so that a popular family spreads over the next daemons.

use crate::membership::{Member, MemberStatus};
use spindle_types::{DataCentre, Instance};
use std::cmp::Reverse;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The maximum load of a daemon, as a multiple of the mean load in its data centre.
const LOAD_BOUND: f64 = 1.25;

/// Requests in flight that are added to the load bound, so that it allows some even at a low mean.
const LOAD_ALLOWANCE: f64 = 4.0;

/// The hash of a prefix family: requests whose prompts share a prefix, as labelled by their
/// callers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PrefixFamily(pub u64);

impl PrefixFamily {
    /// The family of a label within a model or a service; `target` is the name of either.
    pub fn of(target: &str, label: &str) -> Self {
        Self(xxh3_64_with_seed(label.as_bytes(), xxh3_64(target.as_bytes())))
    }

    /// The rank of a daemon for the family; the highest is preferred.
    fn rank(self, instance: &Instance) -> u64 {
        xxh3_64_with_seed(instance.as_str().as_bytes(), self.0)
    }
}

/// Whether a daemon should serve the requests of a family itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServingPlace {
    /// This daemon should serve them, or no other daemon is available.
    Here,
    /// Callers should use another daemon.
    Elsewhere,
}

/// Live daemons in the order in which the callers of a family should use them. Daemons in the data
/// centre of the caller come first, and among these the daemons within the load bound.
pub fn preferred_daemons<'a>(
    family: PrefixFamily,
    home: &DataCentre,
    members: &'a [Member],
) -> Vec<&'a Member> {
    let live = |member: &&Member| member.status == MemberStatus::Live;
    let local: Vec<_> =
        members.iter().filter(live).filter(|member| member.data_centre == *home).collect();
    let bound = load_bound(&local);
    let mut order: Vec<_> = members.iter().filter(live).collect();
    order.sort_by_cached_key(|member| {
        let remote = member.data_centre != *home;
        let overloaded = !remote && f64::from(member.load) > bound;
        (remote, overloaded, Reverse(family.rank(&member.instance)))
    });
    order
}

/// The maximum number of requests in flight at each of the members, which share a data centre.
fn load_bound(members: &[&Member]) -> f64 {
    let total: f64 = members.iter().map(|member| f64::from(member.load)).sum();
    LOAD_BOUND * total / members.len().max(1) as f64 + LOAD_ALLOWANCE
}

/// Whether the daemon `instance` should serve a family itself. The first two daemons of the order
/// both do, so that small load changes or a slightly outdated order do not redirect callers.
pub fn serving_place(
    family: PrefixFamily,
    home: &DataCentre,
    members: &[Member],
    instance: &Instance,
) -> ServingPlace {
    let order = preferred_daemons(family, home, members);
    let tolerated = order.iter().take(2).any(|member| member.instance == *instance);
    if tolerated || order.is_empty() { ServingPlace::Here } else { ServingPlace::Elsewhere }
}

#[cfg(test)]
mod tests;
