//! Which daemons the callers of a prefix family should use.
//!
//! Rendezvous hashing gives each family an order of the live daemons in a data centre, of which
//! few change when daemons come and go. A daemon whose load exceeds the bound is moved to the end
//! of the order, so that a popular family spreads over the daemons that follow.

use crate::membership::{Member, MemberStatus};
use spindle_types::{DataCentre, Instance};
use std::cmp::Reverse;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The largest load of a daemon, as a multiple of the mean of its data centre.
const LOAD_BOUND: f64 = 1.25;

/// Requests in flight that a daemon may have whatever the mean.
const LOAD_SLACK: f64 = 4.0;

/// Requests whose prompts begin alike, by the label that their callers give them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PrefixFamily(pub u64);

impl PrefixFamily {
    /// The family of a label within a model or a service.
    pub fn of(target: &str, label: &str) -> Self {
        Self(xxh3_64_with_seed(label.as_bytes(), xxh3_64(target.as_bytes())))
    }

    /// The rank of a daemon in the family's order; the highest comes first.
    fn rank(self, instance: &Instance) -> u64 {
        xxh3_64_with_seed(instance.as_str().as_bytes(), self.0)
    }
}

/// Whether a daemon serves a family's requests itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServingPlace {
    /// It is the one to use, or nobody else can be used.
    Here,
    /// Another one should be used.
    Elsewhere,
}

/// The live daemons in the order in which a family's callers should use them: those of the caller's
/// data centre first, and in each data centre those within the load bound first.
pub fn preferred_daemons<'a>(
    family: PrefixFamily,
    home: &DataCentre,
    members: &'a [Member],
) -> Vec<&'a Member> {
    let live = |member: &&Member| member.status == MemberStatus::Live;
    let near: Vec<_> =
        members.iter().filter(live).filter(|member| member.data_centre == *home).collect();
    let bound = load_bound(&near);
    let mut order: Vec<_> = members.iter().filter(live).collect();
    order.sort_by_cached_key(|member| {
        let far = member.data_centre != *home;
        let full = !far && f64::from(member.load) > bound;
        (far, full, Reverse(family.rank(&member.instance)))
    });
    order
}

fn load_bound(members: &[&Member]) -> f64 {
    let total: f64 = members.iter().map(|member| f64::from(member.load)).sum();
    LOAD_BOUND * total / members.len().max(1) as f64 + LOAD_SLACK
}

/// Whether a daemon serves a family itself. The first two of the order both do, so that a change of
/// load or an answer that is a little old moves nothing.
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
