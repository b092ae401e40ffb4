use super::*;
use spindle_types::Revision;
use std::net::{Ipv4Addr, SocketAddr};

fn member(name: &str, data_centre: &str, status: MemberStatus) -> Member {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    Member {
        instance: Instance::try_from(name).unwrap(),
        data_centre: DataCentre::try_from(data_centre).unwrap(),
        caller: address,
        peer: address,
        incarnation: Some(Incarnation(1)),
        revision: Revision(0),
        load: 0,
        status,
    }
}

fn chosen(present: Option<&str>, members: &[Member]) -> Option<String> {
    let present = present.map(|name| Instance::try_from(name).unwrap());
    let home = DataCentre::try_from("heredia-a").unwrap();
    let members: Vec<&Member> = members.iter().collect();
    let chosen = choose_holder(IncarnationTag(7), &home, present.as_ref(), &members);
    chosen.map(|member| member.instance.to_string())
}

#[test]
fn holder_is_live_in_another_data_centre_and_stays() {
    let members = [
        member("entry-1", "heredia-a", MemberStatus::Live),
        member("entry-2", "heredia-b", MemberStatus::Live),
        member("entry-3", "cartago-a", MemberStatus::Live),
        member("entry-4", "cartago-a", MemberStatus::Leaving),
    ];
    for present in ["entry-2", "entry-3"] {
        assert_eq!(Some(present.to_owned()), chosen(Some(present), &members));
    }
    let first = chosen(None, &members).unwrap();
    assert!(["entry-2", "entry-3"].contains(&first.as_str()));
    assert_eq!(Some(first), chosen(Some("entry-4"), &members));
    assert_eq!(Some("entry-1".to_owned()), chosen(None, &members[..1]));
    assert_eq!(None, chosen(None, &members[3..]));
}

#[test]
fn request_id_contains_the_tag() {
    let id = request_id(incarnation_tag(Incarnation(0xaaaa_bbbb_cccc_dddd)), u128::MAX);
    assert_eq!(IncarnationTag(0xcccc_dddd), owner_tag(id));
}
