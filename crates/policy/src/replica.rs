//! Request ids that name their owner, and the choice of the daemon that holds the replicas of
//! another daemon's requests.

use crate::membership::{Member, MemberStatus};
use spindle_types::{DataCentre, Incarnation, Instance, RequestId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The low 32 bits of an incarnation, which the ids of its requests contain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IncarnationTag(pub u32);

/// The tag of an incarnation.
pub const fn incarnation_tag(incarnation: Incarnation) -> IncarnationTag {
    IncarnationTag((incarnation.0 & 0xffff_ffff) as u32)
}

/// The id of a request: the tag of the daemon that accepted it, and 96 random bits.
pub const fn request_id(tag: IncarnationTag, random: u128) -> RequestId {
    RequestId(((tag.0 as u128) << 96) | (random >> 32))
}

/// The tag of the daemon that accepted the request with this id.
pub const fn owner_tag(id: RequestId) -> IncarnationTag {
    IncarnationTag((id.0 >> 96) as u32)
}

/// The preference for an instance as the holder of a daemon's replicas (rendezvous hashing); the
/// highest wins.
pub fn holder_rank(tag: IncarnationTag, instance: &Instance) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), tag.0.into())
}

/// Chooses the holder of a daemon's replicas among the live daemons: one in another data centre
/// than `home` if there is one, and among those the current holder, else the one with the highest
/// rank.
pub fn choose_holder<'a>(
    owner: IncarnationTag,
    home: &DataCentre,
    current: Option<&Instance>,
    members: &[&'a Member],
) -> Option<&'a Member> {
    let live = members.iter().filter(|member| member.status == MemberStatus::Live);
    let live = live.filter(|member| member.incarnation.is_some()).copied();
    live.max_by_key(|member| {
        let away = member.data_centre != *home;
        (away, current == Some(&member.instance), holder_rank(owner, &member.instance))
    })
}

#[cfg(test)]
mod tests;
