use super::*;

#[test]
fn only_changed_entries_are_sent() {
    let mut sent = VersionedMap::default();
    sent.set(1, [("a", 1), ("b", 1)]);
    sent.set(2, [("a", 1), ("b", 2)]);
    assert_eq!(sent.changed_since(1).iter().collect::<Vec<_>>(), [(&"b", &2)]);
    assert_eq!(sent.changed_since(2).iter().next(), None);
    sent.set(3, [("a", 1)]);
    assert_eq!(sent.get(&"b"), None);
}

#[test]
fn map_survives_a_json_round_trip() {
    let mut sent: VersionedMap<String, u32> = VersionedMap::default();
    sent.set(7, [("a".to_owned(), 1)]);
    let text = serde_json::to_string(&sent).unwrap();
    assert_eq!(text, r#"[["a",[7,1]]]"#);
    assert_eq!(serde_json::from_str::<VersionedMap<String, u32>>(&text).unwrap(), sent);
}

#[test]
fn the_most_recently_changed_entries_are_kept() {
    let mut sent = VersionedMap::default();
    let mut received = VersionedMap::default();
    for heartbeat in 1..=10 {
        sent.set(heartbeat, (1..=heartbeat).map(|key| (key, ())));
        received.merge(&sent.changed_since(heartbeat - 1), 4);
    }
    assert_eq!(received.iter().map(|(key, ())| *key).collect::<Vec<_>>(), [7, 8, 9, 10]);
}

/// A receiver that misses heartbeats, or receives them through another daemon, has the owner's
/// whole content as of the newest heartbeat that it received.
#[test]
fn receivers_miss_no_change() {
    bolero::check!().with_type::<Vec<(u8, u8, bool, bool)>>().for_each(|steps| {
        let mut owner = VersionedMap::default();
        let mut entries = BTreeMap::new();
        let (mut near, mut far) = ((0, VersionedMap::default()), (0, VersionedMap::default()));
        for (heartbeat, (key, value, to_near, to_far)) in (1..).zip(steps) {
            entries.insert(*key, *value);
            owner.set(heartbeat, entries.clone());
            if *to_near {
                near.1.merge(&owner.changed_since(near.0), usize::MAX);
                near.0 = heartbeat;
                assert_eq!(near.1, owner);
            }
            if *to_far && far.0 < near.0 {
                far.1.merge(&near.1.changed_since(far.0), usize::MAX);
                far.0 = near.0;
                assert_eq!(far.1, near.1);
            }
        }
    });
}
