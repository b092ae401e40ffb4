use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn pace(percent: u32) -> UpstreamPace {
    UpstreamPace::try_from(percent).unwrap()
}

/// Guards against an upstream that is avoided long after it was slow.
#[test]
fn the_excess_of_a_report_decays_within_its_time_constant() {
    let mut reports = PaceReports::default();
    assert!((reports.ratio(at(0)) - 1.0).abs() < 1e-9);
    reports.on_report(at(1_000), pace(250));
    assert!((reports.ratio(at(1_000)) - 2.5).abs() < 1e-9);
    assert!((reports.ratio(at(1_300)) - (1.0 + 1.5 * (-1f64).exp())).abs() < 1e-9);
    assert!(reports.ratio(at(3_000)) < 1.01);
    reports.on_report(at(3_100), pace(100));
    assert!((reports.ratio(at(3_100)) - 1.0).abs() < 1e-9);
}

/// Guards against a short slowness that is learnt as a lasting one.
#[test]
fn work_that_spans_a_change_of_the_pace_is_no_measurement() {
    let mut reports = PaceReports::default();
    assert_eq!(reports.steady_ratio(at(0)), Some(1.0));
    reports.on_report(at(100), pace(250));
    assert_eq!(reports.steady_ratio(at(50)), None);
    assert_eq!(reports.steady_ratio(at(101)), Some(2.5));
    reports.on_report(at(400), pace(110));
    assert_eq!(reports.steady_ratio(at(101)), None);
    reports.on_report(at(500), pace(100));
    assert_eq!(reports.steady_ratio(at(401)), Some(1.0));
}

/// Guards against numbers that make every other upstream look the same.
#[test]
fn a_pace_is_above_zero_and_bounded() {
    assert_eq!(UpstreamPace::try_from(0), Err(PaceError::Zero));
    assert_eq!(UpstreamPace::try_from(u32::MAX), UpstreamPace::try_from(PACE_PERCENT_MAX));
}
