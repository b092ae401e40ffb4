mod simulation;

use self::simulation::{Faults, Simulation};
use super::*;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).unwrap()
}

fn report(millis: u64, per_second: Option<f64>) -> LimitReport {
    LimitReport { rate: per_second.map(rate), at: at(millis) }
}

#[test]
fn numbers_that_are_no_rate_are_rejected() {
    for number in [0.0, -0.0, -3.0, f64::NAN, f64::INFINITY, 1e300, 100_001.0] {
        assert!(RequestRate::try_from(number).is_err(), "{number}");
    }
    assert_eq!(rate(1.6).per_second(), 1.6);
}

#[test]
fn a_lower_limit_holds_at_once_and_a_higher_one_of_a_peer_step_by_step() {
    let mut limit = UpstreamLimit::new(at(0), at(0), rate(8.0));
    assert!(limit.on_report(at(1_000), report(1_000, Some(2.0)), ReportSource::Daemon));
    assert_eq!(limit.rate(at(1_000)), 2.0);
    assert!(limit.on_report(at(2_000), report(2_000, Some(6.0)), ReportSource::Daemon));
    assert_eq!(limit.rate(at(2_000)), 2.0);
    assert_eq!(limit.rate(at(3_000)), 4.0);
    assert_eq!(limit.rate(at(4_000)), 6.0);
    assert!(limit.on_report(at(5_000), report(5_000, Some(50.0)), ReportSource::Answer));
    assert_eq!(limit.rate(at(5_000)), 50.0);
}

#[test]
fn reports_that_arrive_late_change_nothing() {
    let mut limit = UpstreamLimit::new(at(9_000), at(9_000), rate(2.0));
    assert!(!limit.on_report(at(9_100), report(9_400, None), ReportSource::Daemon));
    assert!(!limit.on_report(at(9_200), report(8_000, None), ReportSource::Daemon));
    assert!(!limit.on_report(at(9_200), report(8_000, Some(1.0)), ReportSource::Daemon));
    assert_eq!(limit.named(), Some(rate(2.0)));
    assert!(limit.on_report(at(9_900), report(9_800, None), ReportSource::Daemon));
    assert!(!limit.on_report(at(20_000), report(9_000, Some(2.0)), ReportSource::Daemon));
    assert!(!limit.is_limited(at(30_000)));
}

#[test]
fn an_upstream_whose_limit_was_lifted_is_used_fully_after_some_seconds() {
    let mut limit = UpstreamLimit::new(at(0), at(0), rate(1.0));
    assert!(limit.on_report(at(1_000), report(1_000, None), ReportSource::Answer));
    assert!(limit.is_limited(at(2_000)));
    assert!(!limit.take(at(2_000)));
    assert!(!limit.is_limited(at(12_000)));
    assert!(limit.take(at(12_000)));
}

#[test]
fn a_probe_is_needed_once_no_response_has_come_for_a_while() {
    let mut limit = UpstreamLimit::new(at(0), at(0), rate(0.001));
    assert!(!limit.needs_probe(at(1_900)));
    assert!(limit.needs_probe(at(2_100)));
    limit.on_report(at(2_200), report(2_200, Some(0.001)), ReportSource::Daemon);
    assert!(!limit.needs_probe(at(3_000)));
    assert_eq!(limit.wait(at(3_000)), Duration::from_secs(10));
}

/// Numbers of daemons and, for each, the limits and the number of cases of each limit. The cost of a
/// case grows with the square of the daemons.
const SIZES: [(usize, &[f64], u64); 4] = [
    (1, &[0.2, 1.1, 2.6, 10.0, 60.0, 500.0], 12),
    (6, &[0.2, 1.1, 2.6, 10.0, 60.0, 500.0], 12),
    (58, &[0.2, 1.1, 2.6, 10.0, 60.0, 500.0], 3),
    (400, &[0.2, 10.0, 500.0], 1),
];

fn check_all(faults: Faults, schedule: impl Fn(f64) -> Vec<(u64, Option<f64>)>) {
    for (daemons, limits, cases) in SIZES {
        for (limit, seed) in
            limits.iter().flat_map(|limit| (0..cases).map(move |seed| (limit, seed)))
        {
            let mut simulation = Simulation::new(daemons, schedule(*limit), faults, seed);
            simulation.run();
            simulation.check();
        }
    }
}

#[test]
fn all_daemons_together_keep_to_a_limit_whose_news_are_late_or_lost() {
    check_all(Faults { lost_news: true, ..Faults::default() }, |limit| vec![(4_000, Some(limit))]);
}

#[test]
fn all_daemons_together_keep_to_a_limit_while_daemons_start_die_stall_and_are_cut_off() {
    let faults = Faults { lost_news: true, daemons: true, ..Faults::default() };
    check_all(faults, |limit| vec![(4_000, Some(limit))]);
}

#[test]
fn all_daemons_together_keep_to_a_limit_despite_false_news() {
    let faults = Faults { lost_news: true, false_news: true, ..Faults::default() };
    check_all(faults, |limit| vec![(4_000, Some(limit))]);
}

#[test]
fn all_daemons_together_keep_to_a_limit_that_changes_and_ends() {
    let faults = Faults { lost_news: true, nonsense: true, ..Faults::default() };
    check_all(faults, |limit| {
        vec![
            (4_000, Some(limit)),
            (10_000, Some(limit * 0.3)),
            (18_000, Some(limit * 1.5)),
            (26_000, None),
        ]
    });
}

#[test]
fn a_limit_is_used_up_while_the_daemons_have_enough_requests() {
    for (daemons, limits, _) in SIZES {
        for limit in limits {
            let mut simulation =
                Simulation::new(daemons, vec![(4_000, Some(*limit))], Faults::default(), 1);
            simulation.run();
            let used = simulation.mean_rate(10_000);
            assert!(used >= 0.7 * limit, "{daemons} daemons, limit {limit}: {used} per second");
        }
    }
}
