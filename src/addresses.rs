//! The address answer: which daemons a caller should use.

use crate::context::Context;
use crate::daemon::Shared;
use spindle_caller::{AddressReply, DaemonAddress};
use spindle_policy::freshness::Freshness;
use spindle_policy::membership::{Member, MemberStatus};

/// The addresses to use, those in this daemon's data centre first. Only live daemons are
/// in it, and this one only if it is not cut off.
pub fn answer<C: Context>(shared: &Shared<C>) -> AddressReply {
    let members = shared.members.borrow();
    let cut_off = shared.freshness() == Freshness::CutOff;
    let own = &shared.settings.identity.instance;
    let usable = |member: &&Member| {
        member.status == MemberStatus::Live && !(cut_off && member.instance == *own)
    };
    let mut usable: Vec<&Member> = members.iter().filter(usable).collect();
    let home = &shared.settings.identity.data_centre;
    usable.sort_by_key(|member| (member.data_centre != *home, member.instance.clone()));
    let addresses = usable.into_iter().filter_map(|member| {
        Some(DaemonAddress { address: member.caller, incarnation: member.incarnation? })
    });
    AddressReply {
        addresses: addresses.collect(),
        ttl_seconds: shared.settings.caller.address_ttl.get().as_secs(),
    }
}
