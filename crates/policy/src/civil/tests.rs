use super::*;

fn zeros(millis: &[u64]) -> Vec<UtcInstant> {
    millis.iter().copied().map(UtcInstant).collect()
}

#[test]
fn own_clock_counts_until_others_are_heard() {
    let civil = CivilTime::new(MonotonicInstant::from_millis(500), UtcInstant(10_500));
    assert_eq!(civil.at(MonotonicInstant::from_millis(2_000)), UtcInstant(12_000));
}

#[test]
fn half_of_the_clocks_that_jump_change_nothing() {
    let mut civil = CivilTime::new(MonotonicInstant::default(), UtcInstant(10_000));
    assert!(!civil.on_clocks(zeros(&[10_000, 10_010, 9_990, 8_000, 8_000, 8_000])));
    assert_eq!(civil.at(MonotonicInstant::default()), UtcInstant(10_000));
}

#[test]
fn a_daemon_whose_own_clock_is_wrong_goes_by_the_others() {
    let mut civil = CivilTime::new(MonotonicInstant::default(), UtcInstant(16_000));
    assert!(civil.on_clocks(zeros(&[16_000, 10_010, 10_000, 9_990, 12_000])));
    assert_eq!(civil.at(MonotonicInstant::default()), UtcInstant(10_010));
    assert!(!civil.on_clocks(zeros(&[16_000, 10_020, 10_000, 9_980, 12_000])));
}
