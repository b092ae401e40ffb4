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

const PATIENCE: Duration = Duration::from_secs(1);

#[test]
fn a_version_that_another_daemon_has_is_needed_once_it_was_known_for_long() {
    let mut news = ConfigNews::default();
    news.on_in_force(3);
    news.on_heard(at(0), 5);
    news.on_heard(at(500), 8);
    assert_eq!(news.needed(at(2_000), PATIENCE), None);
    news.set_held(8);
    let needed = |millis| news.needed(at(millis), PATIENCE);
    assert_eq!([needed(999), needed(1_000), needed(1_500)], [None, Some(5), Some(8)]);
    news.set_held(6);
    assert_eq!(news.needed(at(1_500), PATIENCE), Some(5));
    news.on_in_force(5);
    assert_eq!(news.needed(at(1_500), PATIENCE), None);
}

#[test]
fn a_version_by_which_a_request_was_served_is_needed_at_once() {
    let mut news = ConfigNews::default();
    news.on_in_force(3);
    assert!(news.on_served(at(0), 4));
    assert_eq!((news.needed(at(0), PATIENCE), news.newest()), (Some(4), 4));
    news.on_in_force(7);
    assert_eq!(news.needed(at(9_000), PATIENCE), None);
}
