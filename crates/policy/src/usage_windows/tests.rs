use super::*;

const LENGTH: Duration = Duration::from_secs(5);

fn team(name: &str) -> Team {
    name.try_into().unwrap()
}

#[test]
fn windows_begin_at_multiples_of_their_length() {
    assert_eq!(window_at(UtcInstant(9_999), LENGTH), 1);
    assert_eq!(window_at(UtcInstant(10_000), LENGTH), 2);
    assert_eq!(window_end(1, LENGTH), UtcInstant(10_000));
}

#[test]
fn counts_of_all_daemons_add_up() {
    let (mut one, mut two) = (UsageWindows::default(), UsageWindows::default());
    one.on_request_start(UtcInstant(1), LENGTH, &team("a"));
    one.on_request_start(UtcInstant(4_999), LENGTH, &team("a"));
    one.on_request_start(UtcInstant(5_000), LENGTH, &team("a"));
    two.on_request_start(UtcInstant(2), LENGTH, &team("b"));
    let teams = [team("a"), team("b"), team("c")];
    let sum = sum_counts([&one, &two].into_iter().filter_map(|found| found.get(0)), teams.iter());
    assert_eq!(sum, RequestCounts::from([(team("a"), 2), (team("b"), 1), (team("c"), 0)]));
}

#[test]
fn a_window_is_due_from_settling_until_it_is_late() {
    let due = |millis| -> Vec<u64> {
        let (settle, late) = (Duration::from_secs(2), Duration::from_secs(10));
        due_windows(UtcInstant(millis), LENGTH, settle, late).collect()
    };
    assert_eq!(due(51_000), [8]);
    assert_eq!(due(52_000), [8, 9]);
    assert_eq!(due(55_001), [9]);
}

#[test]
fn old_windows_are_dropped() {
    let mut windows = UsageWindows::default();
    for window in 0..20 {
        windows.on_request_start(UtcInstant(window * 5_000), LENGTH, &team("a"));
    }
    assert_eq!(windows.get(15), None);
    assert!(windows.get(16).is_some());
}
