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

/// A first byte of a prompt of 50 ms that took `measured_ms`, where `ratio` was learnt.
fn first_byte(ratio: f64, measured_ms: f64) -> FirstByte {
    FirstByte { work_ms: 50.0, expected_ms: 50.0 * ratio, ratio, measured_ms }
}

/// Guards against a prior that keeps its weight, and against estimates that never leave it.
#[test]
fn the_prior_fades_within_a_few_dozen_responses() {
    for speed in [0.3, 0.6, 1.0, 1.6, 3.0] {
        let mut learnt = LearntPace::default();
        for second in 1..=48 {
            let ratio = learnt.ratio(at(second * 1_000), 1.0);
            learnt.on_first_byte(at(second * 1_000), first_byte(ratio, 50.0 / speed));
        }
        let actual = learnt.ratio(at(48_000), 1.0) * speed;
        assert!((0.9..1.1).contains(&actual), "{speed}: {actual}");
    }
}

/// Guards against an upstream that gets nothing more because it was found slow once.
#[test]
fn an_estimate_without_responses_returns_to_the_median_of_its_service() {
    let mut learnt = LearntPace::default();
    (1..=30).for_each(|second| learnt.on_first_byte(at(second * 1_000), first_byte(1.0, 150.0)));
    assert!(learnt.ratio(at(30_000), 0.5) > 2.0);
    let actual = learnt.ratio(at(120_000), 0.5);
    assert!((actual - 0.5).abs() < 0.1, "{actual}");
}

/// Guards against a daemon with wrong figures that changes the estimates of all others.
#[test]
fn one_wrong_daemon_does_not_change_the_median() {
    let told = [PeerPace(100, 900, 100), PeerPace(110, 0, 100), PeerPace(60_000, 1_000, 100)];
    assert_eq!(PeerPace::medians(&told), Some((1.1, Some(950.0))));
    assert_eq!(PeerPace::medians(&[]), None);
    let mut learnt = LearntPace::default();
    learnt.set_peers(PeerPace::medians(&told));
    assert!((learnt.ratio(at(0), 1.0) - 1.1).abs() < 1e-9);
    assert!((learnt.hold_ms(1_500.0) - 950.0).abs() < 1e-9);
}

/// Guards against statuses that grow with each response.
#[test]
fn a_figure_is_sent_again_only_if_it_has_changed_by_more_than_a_tenth() {
    let sent = PeerPace(100, 1_000, 50);
    assert!(!sent.differs(PeerPace(109, 950, 90)));
    assert!(sent.differs(PeerPace(115, 1_000, 50)));
    assert!(sent.differs(PeerPace(100, 1_200, 50)));
    assert!(sent.differs(PeerPace(100, 1_000, 100)));
}
