use super::*;

#[test]
fn only_changes_are_told() {
    let mut told = Told::default();
    told.set(1, [("a", 1), ("b", 1)]);
    told.set(2, [("a", 1), ("b", 2)]);
    assert_eq!(told.since(1).iter().collect::<Vec<_>>(), [(&"b", &2)]);
    assert_eq!(told.since(2).iter().next(), None);
    told.set(3, [("a", 1)]);
    assert_eq!(told.get(&"b"), None);
}

#[test]
fn facts_go_through_json() {
    let mut told: Told<String, u32> = Told::default();
    told.set(7, [("a".to_owned(), 1)]);
    let text = serde_json::to_string(&told).unwrap();
    assert_eq!(text, r#"[["a",[7,1]]]"#);
    assert_eq!(serde_json::from_str::<Told<String, u32>>(&text).unwrap(), told);
}

#[test]
fn the_most_recently_changed_are_kept() {
    let mut told = Told::default();
    let mut heard = Told::default();
    for beat in 1..=10 {
        told.set(beat, (1..=beat).map(|key| (key, ())));
        heard.merge(&told.since(beat - 1), 4);
    }
    assert_eq!(heard.iter().map(|(key, ())| *key).collect::<Vec<_>>(), [7, 8, 9, 10]);
}

/// However a listener misses beats and hears by way of others, it knows at the newest beat it has
/// heard of all that the owner had told by then.
#[test]
fn listeners_miss_no_change() {
    bolero::check!().with_type::<Vec<(u8, u8, bool, bool)>>().for_each(|steps| {
        let mut owner = Told::default();
        let mut facts = BTreeMap::new();
        let (mut near, mut far) = ((0, Told::default()), (0, Told::default()));
        for (beat, (key, value, to_near, to_far)) in (1..).zip(steps) {
            facts.insert(*key, *value);
            owner.set(beat, facts.clone());
            if *to_near {
                near.1.merge(&owner.since(near.0), usize::MAX);
                near.0 = beat;
                assert_eq!(near.1, owner);
            }
            if *to_far && far.0 < near.0 {
                far.1.merge(&near.1.since(far.0), usize::MAX);
                far.0 = near.0;
                assert_eq!(far.1, near.1);
            }
        }
    });
}
