use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn registration(instance: &str, started_at_ms: u64, leaving: bool) -> Registration {
    Registration {
        id: UpstreamId { instance: instance.try_into().unwrap(), started_at_ms },
        service: "desk".try_into().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "a".try_into().unwrap(),
        version: "v1".try_into().ok(),
        slots: 4,
        leaving,
        reclaimable: false,
    }
}

fn usable(registry: &UpstreamRegistry, now: MonotonicInstant) -> Vec<(String, u64)> {
    let mut usable: Vec<_> = registry
        .iter()
        .filter(|(_, upstream)| upstream.usable(now))
        .map(|(_, upstream)| &upstream.registration.id)
        .map(|id| (id.instance.to_string(), id.started_at_ms))
        .collect();
    usable.sort();
    usable
}

#[test]
fn leaving_is_final() {
    let mut registry = UpstreamRegistry::default();
    registry.on_registration(at(0), registration("i-1", 1, false));
    let change = registry.on_registration(at(1), registration("i-1", 1, true));
    assert!(matches!(change, UpstreamChange::Left(_)));
    registry.on_registration(at(2), registration("i-1", 1, false));
    assert!(usable(&registry, at(3)).is_empty());
}

#[test]
fn a_restarted_instance_is_another_upstream() {
    let mut registry = UpstreamRegistry::default();
    registry.on_registration(at(0), registration("i-1", 1, true));
    registry.on_registration(at(1), registration("i-1", 2, false));
    assert_eq!(usable(&registry, at(2)), [("i-1".to_owned(), 2)]);
    registry.on_registration(at(3), registration("i-1", 1, false));
    assert_eq!(usable(&registry, at(4)), [("i-1".to_owned(), 2)]);
}

#[test]
fn leaving_known_before_the_registration_holds() {
    let mut registry = UpstreamRegistry::default();
    registry.on_leaving(at(0), &registration("i-1", 1, false).id);
    registry.on_registration(at(1), registration("i-1", 1, false));
    assert!(usable(&registry, at(2)).is_empty());
}

#[test]
fn leaving_is_gossiped_for_a_limited_time() {
    let mut registry = UpstreamRegistry::default();
    let id = registration("i-1", 1, false).id;
    for step in 0..20 {
        registry.on_leaving(at(step * 1_000), &id);
    }
    assert_eq!(registry.leaving(at(5_000)).count(), 1);
    assert_eq!(registry.leaving(at(7_000)).count(), 0);
}

#[test]
fn a_removal_takes_effect_at_once_without_an_outage() {
    let mut registry = UpstreamRegistry::default();
    registry.on_registration(at(0), registration("i-1", 1, false));
    registry.on_removal(at(10), &"i-1".try_into().unwrap());
    assert!(usable(&registry, at(11)).is_empty());
}

#[test]
fn a_removal_around_an_outage_takes_effect_after_the_grace_period() {
    let mut registry = UpstreamRegistry::default();
    registry.on_registration(at(0), registration("i-1", 1, false));
    registry.on_registration(at(0), registration("i-2", 1, false));
    registry.on_outage(at(10_000));
    registry.on_removal(at(10_100), &"i-1".try_into().unwrap());
    registry.on_removal(at(10_100), &"i-2".try_into().unwrap());
    registry.on_registration(at(11_000), registration("i-2", 1, false));
    assert_eq!(usable(&registry, at(11_900)).len(), 2);
    assert_eq!(usable(&registry, at(12_001)), [("i-2".to_owned(), 1)]);
}

/// In any order of events, an upstream that was ever reported as leaving is not used.
#[test]
fn no_order_of_events_brings_a_leaving_upstream_back() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|events| {
        let mut registry = UpstreamRegistry::default();
        let mut left = Vec::new();
        for (step, (kind, instance, born)) in events.iter().enumerate() {
            let now = at(step as u64 * 100);
            let found = registration(&format!("i-{}", instance % 3), u64::from(born % 3), false);
            match kind % 5 {
                0 | 1 => {
                    registry.on_registration(now, found);
                }
                2 => {
                    left.push(found.id.clone());
                    registry.on_leaving(now, &found.id);
                }
                3 => {
                    registry.on_removal(now, &found.id.instance);
                }
                _ => registry.on_outage(now),
            }
            for (_, upstream) in registry.iter().filter(|(_, upstream)| upstream.usable(now)) {
                assert!(!left.contains(&upstream.registration.id));
            }
        }
    });
}

fn with_version(instance: &str, started_at_ms: u64, version: &str, leaving: bool) -> Registration {
    Registration {
        version: version.try_into().ok(),
        ..registration(instance, started_at_ms, leaving)
    }
}

#[test]
fn a_service_has_one_version_only_after_it_had_no_other_for_longer_than_a_stream_lasts() {
    let service = registration("i-1", 1, false).service;
    let at = |millis| MonotonicInstant::default() + Duration::from_millis(millis);
    let mut registry = UpstreamRegistry::default();
    let sole = |registry: &UpstreamRegistry, millis| {
        registry.versions(at(millis), &service).sole.map(String::from)
    };
    registry.on_registration(at(0), with_version("i-1", 1, "v1", false));
    assert_eq!(sole(&registry, 0), None);
    registry.on_complete_list(at(1_000), &["i-1".try_into().unwrap()]);
    assert_eq!(sole(&registry, 30_000), None);
    assert_eq!(sole(&registry, 31_000).as_deref(), Some("v1"));
    // An upstream that is already leaving when it is first heard of may have served.
    registry.on_registration(at(32_000), with_version("i-2", 1, "v2", true));
    registry.prune(at(32_001), |_| false);
    assert_eq!(sole(&registry, 32_001), None);
    registry.prune(at(92_001), |_| false);
    assert_eq!(sole(&registry, 92_001).as_deref(), Some("v1"));
    // The instance starts again at another version.
    registry.on_registration(at(93_000), with_version("i-1", 2, "v2", false));
    assert_eq!(sole(&registry, 93_000), None);
    // Upstreams may come and go unseen before another complete list.
    registry.prune(at(160_000), |_| false);
    assert_eq!(sole(&registry, 160_000).as_deref(), Some("v2"));
    registry.on_complete_list(at(161_000), &["i-1".try_into().unwrap()]);
    assert_eq!(sole(&registry, 190_000), None);
}

#[test]
fn at_the_first_start_of_the_system_the_versions_are_known_at_once() {
    let service = registration("i-1", 1, false).service;
    let now = MonotonicInstant::default();
    let mut registry = UpstreamRegistry::default();
    registry.set_first_start();
    registry.on_registration(now, with_version("i-1", 1, "v1", false));
    registry.on_complete_list(now, &["i-1".try_into().unwrap()]);
    assert_eq!(registry.versions(now, &service).sole.map(String::from).as_deref(), Some("v1"));
    registry.on_registration(now, with_version("i-2", 1, "", false));
    assert_eq!(registry.versions(now, &service).sole, None);
}

#[test]
fn a_restarted_daemon_adopts_the_versions_of_a_daemon_that_has_read_the_store_after_it() {
    let service = registration("i-1", 1, false).service;
    let at = |millis| MonotonicInstant::default() + Duration::from_millis(millis);
    let restarted = || {
        let mut registry = UpstreamRegistry::default();
        registry.on_registration(at(1_000), with_version("i-1", 1, "v1", false));
        registry.on_complete_list(at(1_000), &["i-1".try_into().unwrap()]);
        registry
    };
    let history = |complete_ms, age_ms, version: &str| VersionHistory {
        complete_ms,
        age_ms,
        seen: vec![(service.clone(), version.try_into().ok())],
    };
    let sole = |registry: &UpstreamRegistry, millis| {
        registry.versions(at(millis), &service).sole.map(String::from)
    };
    let mut registry = restarted();
    assert!(registry.adopt_history(at(2_010), at(2_000), &history(30_000, 999, "v1")));
    assert_eq!(sole(&registry, 2_010).as_deref(), Some("v1"));
    let mut registry = restarted();
    assert!(!registry.adopt_history(at(2_010), at(2_000), &history(30_000, 1_000, "v1")));
    assert_eq!(sole(&registry, 2_010), None);
    // Another version served there before this daemon started.
    let mut registry = restarted();
    assert!(registry.adopt_history(at(2_010), at(2_000), &history(30_000, 500, "v0")));
    assert_eq!(sole(&registry, 2_010), None);
    // The other daemon has not known for long either.
    let mut registry = restarted();
    assert!(registry.adopt_history(at(2_010), at(2_000), &history(20_000, 500, "v1")));
    assert_eq!(sole(&registry, 11_999), None);
    assert_eq!(sole(&registry, 12_000).as_deref(), Some("v1"));
}

#[test]
fn stored_versions_are_adopted_after_a_complete_list_and_tell_of_one_version_only_if_it_is_listed_alone()
 {
    let service = || registration("i-1", 1, false).service;
    for (stored, listed, sole) in [
        (&["v1"][..], "v1", Some("v1")),
        (&["v1"], "v2", None),
        (&["v1", "v2"], "v1", None),
        (&["v1", "v2"], "v2", None),
    ] {
        let seen: Vec<_> =
            stored.iter().map(|version| (service(), (*version).try_into().ok())).collect();
        let mut registry = UpstreamRegistry::default();
        registry.on_registration(at(900), with_version("i-1", 1, listed, false));
        assert!(!registry.adopt_stored(at(950), &seen));
        registry.on_complete_list(at(1_000), &["i-1".try_into().unwrap()]);
        assert!(registry.adopt_stored(at(1_010), &seen));
        assert!(!registry.adopt_stored(at(1_020), &seen));
        let known = registry.versions(at(1_030), &service());
        assert_eq!(known.sole.as_ref().map(SoftwareVersion::as_str), sole, "{stored:?} {listed}");
        // Streams of the time before are over.
        let later = at(1_010) + DEPARTED_RETENTION;
        registry.prune(later, |_| false);
        let known = registry.versions(later, &service());
        assert_eq!(known.sole.as_ref().map(SoftwareVersion::as_str), Some(listed));
    }
}
