use super::*;

fn origins(millis: &[u64]) -> Vec<UtcInstant> {
    millis.iter().copied().map(UtcInstant).collect()
}

#[test]
fn own_clock_is_used_until_other_daemons_are_known() {
    let clock = ClusterClock::new(MonotonicInstant::from_millis(500), UtcInstant(10_500));
    assert_eq!(clock.at(MonotonicInstant::from_millis(2_000)), UtcInstant(12_000));
}

#[test]
fn a_jump_of_half_of_the_clocks_is_ignored() {
    let mut clock = ClusterClock::new(MonotonicInstant::default(), UtcInstant(10_000));
    assert!(!clock.on_clocks(origins(&[10_000, 10_010, 9_990, 8_000, 8_000, 8_000])));
    assert_eq!(clock.at(MonotonicInstant::default()), UtcInstant(10_000));
}

#[test]
fn a_daemon_with_a_wrong_clock_follows_the_majority() {
    let mut clock = ClusterClock::new(MonotonicInstant::default(), UtcInstant(16_000));
    assert!(clock.on_clocks(origins(&[16_000, 10_010, 10_000, 9_990, 12_000])));
    assert_eq!(clock.at(MonotonicInstant::default()), UtcInstant(10_010));
    assert!(!clock.on_clocks(origins(&[16_000, 10_020, 10_000, 9_980, 12_000])));
}
