use super::*;
use spindle_types::Revision;
use std::collections::HashMap;

fn member(index: usize, centre: &str) -> Member {
    Member {
        instance: Instance::try_from(format!("entry-{index}")).unwrap(),
        data_centre: DataCentre::try_from(centre).unwrap(),
        caller: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        incarnation: None,
        revision: Revision(0),
        load: 0,
        status: MemberStatus::Live,
    }
}

fn members(count: usize) -> Vec<Member> {
    (0..count).map(|index| member(index, "kano-a")).collect()
}

fn home() -> DataCentre {
    DataCentre::try_from("kano-a").unwrap()
}

fn owners(members: &[Member], families: u64) -> Vec<Instance> {
    let owner =
        |family| preferred_daemons(PrefixFamily(family), &home(), members)[0].instance.clone();
    (0..families).map(owner).collect()
}

#[test]
fn only_the_families_of_a_leaving_daemon_move() {
    for count in [8, 34, 370] {
        let mut members = members(count);
        let before = owners(&members, 2_000);
        members[3].status = MemberStatus::Leaving;
        let left = members[3].instance.clone();
        for (old, new) in before.iter().zip(owners(&members, 2_000)) {
            assert_eq!(*old == left, *old != new, "at {count} daemons");
        }
    }
}

#[test]
fn only_live_daemons_are_in_the_order_and_local_ones_come_first() {
    let mut members = members(4);
    members[0].status = MemberStatus::Suspect;
    members[1].status = MemberStatus::Leaving;
    members[2].data_centre = DataCentre::try_from("abuja-a").unwrap();
    let actual: Vec<_> = preferred_daemons(PrefixFamily(1), &home(), &members)
        .iter()
        .map(|m| m.instance.to_string())
        .collect();
    assert_eq!(vec!["entry-3", "entry-2"], actual);
}

#[test]
fn popular_family_spreads_within_the_load_bound() {
    let mut members = members(8);
    for _ in 0..800 {
        let first = preferred_daemons(PrefixFamily(42), &home(), &members)[0].instance.clone();
        let chosen = members.iter_mut().find(|member| member.instance == first);
        chosen.unwrap().load += 1;
    }
    let most = members.iter().map(|member| member.load).max().unwrap();
    assert!(f64::from(most) <= LOAD_BOUND * 100.0 + LOAD_ALLOWANCE + 1.0, "{most} of 800 at one");
}

#[test]
fn first_two_daemons_of_the_order_serve_a_family() {
    let members = members(8);
    let order = preferred_daemons(PrefixFamily(5), &home(), &members);
    let decisions: HashMap<_, _> = order
        .iter()
        .enumerate()
        .map(|(rank, m)| (rank, serving_place(PrefixFamily(5), &home(), &members, &m.instance)))
        .collect();
    assert_eq!(
        [ServingPlace::Here, ServingPlace::Here, ServingPlace::Elsewhere],
        [decisions[&0], decisions[&1], decisions[&2]]
    );
}
