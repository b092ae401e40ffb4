use super::*;

fn at(secs: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(secs * 1_000)
}

fn contact(revision: u64, age: Option<u64>) -> PeerContact {
    PeerContact { revision: Revision(revision), age: age.map(Duration::from_secs) }
}

#[test]
fn daemon_without_contact_is_cut_off() {
    let mut contacts = Contacts::default();
    contacts.on_log(at(10));
    contacts.on_peer(at(10), Revision(3), contact(3, Some(0)));
    let actual = [at(10), at(15), at(16)].map(|now| contacts.freshness(now));
    assert_eq!([Freshness::Fresh, Freshness::Fresh, Freshness::CutOff], actual);
}

#[test]
fn daemon_serves_through_an_outage_that_affects_all() {
    let mut contacts = Contacts::default();
    contacts.on_log(at(10));
    contacts.on_peer(at(1_800), Revision(3), contact(3, Some(1_790)));
    assert_eq!(Freshness::LogOutage, contacts.freshness(at(1_801)));
    assert_eq!(Some(Duration::from_secs(1_791)), contacts.age(at(1_801)));
}

#[test]
fn daemon_in_contact_with_a_reader_of_the_log_is_fresh() {
    let mut contacts = Contacts::default();
    contacts.on_peer(at(100), Revision(3), contact(3, Some(1)));
    assert_eq!(Freshness::Fresh, contacts.freshness(at(104)));
}

#[test]
fn resumed_daemon_is_cut_off_until_it_has_the_peers_revision() {
    let mut contacts = Contacts::default();
    contacts.on_log(at(10));
    assert_eq!(Freshness::CutOff, contacts.freshness(at(400)));
    contacts.on_peer(at(400), Revision(3), contact(4, Some(0)));
    assert_eq!(Freshness::CutOff, contacts.freshness(at(400)));
    contacts.on_peer(at(400), Revision(4), contact(4, Some(0)));
    assert_eq!(Freshness::Fresh, contacts.freshness(at(400)));
}

#[test]
fn single_daemon_serves_through_an_outage() {
    let mut contacts = Contacts::default();
    contacts.on_log(at(10));
    contacts.on_alone(at(100));
    assert_eq!(Freshness::LogOutage, contacts.freshness(at(101)));
}

#[test]
fn paused_daemon_is_cut_off_though_its_knowledge_is_recent() {
    let mut contacts = Contacts::default();
    contacts.on_log(at(10));
    assert_eq!(Freshness::CutOff, contacts.freshness(at(18)));
    contacts.on_peer(at(18), Revision(3), contact(3, Some(9)));
    assert_eq!(Freshness::Fresh, contacts.freshness(at(18)));
}
