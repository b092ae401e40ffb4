//! The choice of the daemon that holds the replicas of another one.

use crate::membership::{Member, MemberStatus};
use spindle_types::{DataCentre, Incarnation, Instance, RequestId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The part of an incarnation that its requests' ids carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tag(pub u32);

/// The tag of an incarnation.
pub const fn tag(incarnation: Incarnation) -> Tag {
    Tag((incarnation.0 & 0xffff_ffff) as u32)
}

/// The id of a request of an incarnation; 96 bits of it are random.
pub const fn request_id(tag: Tag, random: u128) -> RequestId {
    RequestId(((tag.0 as u128) << 96) | (random >> 32))
}

/// The tag that an id carries.
pub const fn tag_of(id: RequestId) -> Tag {
    Tag((id.0 >> 96) as u32)
}

/// How far a daemon is preferred as the holder of another one's replicas; the highest is first.
pub fn rank(tag: Tag, instance: &Instance) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), tag.0.into())
}

/// Chooses the holder of the replicas of a daemon: the present one while it lives, else a live one
/// in another data centre, else any live one.
pub fn choose<'a>(
    owner: Tag,
    home: &DataCentre,
    present: Option<&Instance>,
    members: &[&'a Member],
) -> Option<&'a Member> {
    let live = members.iter().filter(|member| member.status == MemberStatus::Live);
    let live = live.filter(|member| member.incarnation.is_some()).copied();
    live.max_by_key(|member| {
        let away = member.data_centre != *home;
        (away, present == Some(&member.instance), rank(owner, &member.instance))
    })
}

#[cfg(test)]
mod tests;
