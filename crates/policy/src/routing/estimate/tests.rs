use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

#[test]
fn report_decays_into_the_average_with_its_age() {
    let mut foreign = ForeignLoad::default();
    foreign.observe(at(0), 4, 0);
    foreign.observe(at(1_000), 20, 6);
    let actual: Vec<_> =
        [1_000, 3_000, 60_000].iter().map(|ms| foreign.expected_count(at(*ms)).round()).collect();
    assert_eq!(vec![14.0, 10.0, 6.0], actual);
}

#[test]
fn older_report_is_ignored() {
    let mut foreign = ForeignLoad::default();
    foreign.observe(at(1_000), 8, 0);
    foreign.observe(at(500), 30, 0);
    assert_eq!(8.0, foreign.expected_count(at(1_000)));
}

#[test]
fn factor_follows_observations_within_bounds() {
    let mut factor = CorrectionFactor::default();
    for _ in 0..100 {
        factor.observe(9.0, 1.0);
    }
    assert!((factor.get() - CORRECTION_MAX).abs() < 0.01);
    factor.observe(1.0, 0.0);
    assert!((factor.get() - CORRECTION_MAX).abs() < 0.01);
}
