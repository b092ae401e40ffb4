use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

#[test]
fn a_daemon_is_behind_since_the_oldest_version_that_it_lacks() {
    let mut news = ConfigNews::default();
    assert_eq!(news.on_in_force(3), None);
    assert!(news.on_heard(at(10), 5));
    assert!(!news.on_heard(at(20), 5));
    assert!(!news.on_heard(at(20), 4));
    assert!(news.on_heard(at(30), 8));
    assert_eq!((news.own(), news.newest(), news.behind_since()), (3, 8, Some(at(10))));
    assert_eq!(news.on_in_force(6), Some(at(10)));
    assert_eq!((news.own(), news.newest(), news.behind_since()), (6, 8, Some(at(30))));
    assert_eq!(news.on_in_force(9), Some(at(30)));
    assert_eq!((news.own(), news.newest(), news.behind_since()), (9, 9, None));
    assert_eq!(news.on_in_force(7), None);
    assert_eq!(news.own(), 9);
}

#[test]
fn a_storm_of_versions_keeps_the_first_instant_and_the_highest_version() {
    let mut news = ConfigNews::default();
    for version in 1..=1_000 {
        assert!(news.on_heard(at(version), version));
    }
    assert_eq!((news.newest(), news.behind_since()), (1_000, Some(at(1))));
    assert_eq!(news.missing.len(), MISSING_MAX);
}
