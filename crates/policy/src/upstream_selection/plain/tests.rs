use super::*;
use crate::breaker::BreakerState;
use crate::upstream_registry::UpstreamKey;
use crate::upstream_selection::{Choice, LOAD_LIMIT_MAX, LimitState, choose};
use slotmap::SlotMap;

mod play;

use play::{Fault, Outcome, Play, Rule};

const MAX_WAIT: Duration = Duration::from_millis(450);

fn candidate(key: UpstreamKey) -> Candidate {
    Candidate {
        key,
        identity: 0,
        requests: 0,
        own_requests: 0,
        peer_requests: 0,
        report: None,
        queued_prefill_ms: 0.0,
        slowdown: 1.0,
        slots: 6,
        is_full: false,
        breaker: BreakerState::Closed,
        limit: LimitState::Unlimited,
        is_local: true,
        sent_prefix: false,
        tried: false,
    }
}

fn candidates(count: usize) -> Vec<Candidate> {
    let mut keys = SlotMap::<UpstreamKey, ()>::with_key();
    (0..count).map(|_| candidate(keys.insert(()))).collect()
}

fn criteria(draw: f64) -> Criteria<'static> {
    Criteria {
        prompt: None,
        max_wait: MAX_WAIT,
        load_limit: LOAD_LIMIT_MAX,
        has_ranks: false,
        draw,
    }
}

/// The share of evenly spaced draws that each candidate gets.
fn shares(candidates: &[Candidate]) -> Vec<f64> {
    let mut counts = vec![0.0; candidates.len()];
    for draw in 0..1_000 {
        match choose(candidates, &criteria((f64::from(draw) + 0.5) / 1_000.0)) {
            Choice::Upstream(key, _) => {
                counts[candidates.iter().position(|found| found.key == key).unwrap()] += 1e-3;
            }
            other => panic!("{other:?}"),
        }
    }
    counts
}

fn report(age_ms: u64, waiting: u32, pace: Option<u32>) -> Option<UpstreamReport> {
    Some(UpstreamReport {
        age: Duration::from_millis(age_ms),
        requests: 0,
        waiting,
        slots: Some(6),
        pace: pace.map(|percent| UpstreamPace::try_from(percent).unwrap()),
    })
}

/// Guards against herding: a difference in old statuses must move few calls, one in the daemon's own
/// requests many.
#[test]
fn old_statuses_move_fewer_calls_than_own_requests() {
    let mut found = candidates(2);
    (found[0].requests, found[0].peer_requests) = (6, 6);
    let by_statuses = shares(&found)[0];
    assert!((0.3..0.4).contains(&by_statuses), "{by_statuses}");
    (found[0].own_requests, found[0].peer_requests) = (6, 0);
    let by_own = shares(&found)[0];
    assert!(by_own < 0.02, "{by_own}");
}

/// Guards against a report that is used when it is no longer true.
#[test]
fn reported_queue_expires_and_reported_pace_decays() {
    let share = |report| {
        let mut found = candidates(2);
        found[0].report = report;
        shares(&found)[0]
    };
    assert!(share(report(0, 12, None)) < 0.15);
    assert!((share(report(251, 12, None)) - 0.5).abs() < 1e-6);
    assert!(share(report(0, 0, Some(250))) < 0.15);
    let later = share(report(300, 0, Some(250)));
    assert!((0.1..0.4).contains(&later), "{later}");
    assert!(share(report(3_000, 0, Some(250))) > 0.49);
}

/// Guards against one report or status that sends all calls to one upstream, or none.
#[test]
fn false_reports_and_statuses_move_weights_within_bounds() {
    for (waiting, pace) in [(0, Some(1)), (u32::MAX, Some(u32::MAX)), (0, None)] {
        let mut found = candidates(4);
        found[0].report = report(0, waiting, pace);
        let share = shares(&found)[0];
        assert!((0.03..0.26).contains(&share), "{waiting} {pace:?}: {share}");
    }
    let mut found = candidates(4);
    found[1..].iter_mut().for_each(|other| other.report = report(0, 10, Some(400)));
    let share = shares(&found)[0];
    assert!(share < 0.41, "{share}");
    found.iter_mut().for_each(|each| each.report = None);
    found[0].peer_requests = u32::MAX;
    let share = shares(&found)[0];
    assert!((0.03..0.25).contains(&share), "{share}");
}

/// Guards against a failing upstream that attracts the calls because it responds at once.
#[test]
fn upstream_that_responds_at_once_attracts_few_calls() {
    let mut found = candidates(4);
    found[0].slowdown = 0.125;
    let share = shares(&found)[0];
    assert!(share < 0.34, "{share}");
}

/// Guards against a call that waits although another upstream is free, and against a refusal while
/// only old statuses name one upstream as full.
#[test]
fn full_upstream_is_left_out_by_fresh_data_only() {
    let mut found = candidates(2);
    (found[0].requests, found[0].own_requests) = (12, 12);
    assert_eq!(shares(&found)[0], 0.0);
    found[0].own_requests = 0;
    found[0].report = report(100, 6, None).map(|full| UpstreamReport { requests: 12, ..full });
    assert_eq!(shares(&found)[0], 0.0);
    found[0].report = None;
    found[0].peer_requests = 12;
    assert!(shares(&found)[0] > 0.1);
    found[1].requests = 12;
    assert!(matches!(choose(&found, &criteria(0.5)), Choice::Overloaded(_)));
}

/// Guards against calls that are refused or sent astray with one upstream or an odd draw.
#[test]
fn any_draw_selects_an_upstream() {
    for draw in [0.0, 0.999_999, 1.0, 7.0, -1.0, f64::NAN] {
        for count in [1, 3] {
            let choice = choose(&candidates(count), &criteria(draw));
            assert!(matches!(choice, Choice::Upstream(..)), "{draw}: {choice:?}");
        }
    }
}

/// Difference of two fractions of calls that is not told apart from chance.
const NOISE: f64 = 0.002;

/// Late fraction below which the rule before leaves nothing to gain: one call in 100 takes five times
/// as long and is mostly late wherever it goes.
const LATE_MIN: f64 = 0.01;

/// Fewer calls are late than with the rule before, and no more are refused. A single daemon has exact
/// data, by which the lowest time is the best choice; a draw can at most equal it.
fn has_fewer_late(play: &Play, before: &Outcome, after: &Outcome) -> bool {
    let is_equal_enough = play.daemons == 1 || before.late < LATE_MIN;
    let allowed = if is_equal_enough { NOISE } else { 0.0 };
    after.late < before.late + allowed && after.refused <= before.refused + NOISE
}

const DAEMONS: [usize; 5] = [1, 8, 59, 74, 400];

/// Runs each size and load with a fault, prints what was measured, and checks it.
fn check(fault: Fault, is_held: impl Fn(&Play, &Outcome, &Outcome) -> bool) {
    println!(
        "| fault | upstreams | load | daemons | rule | late | refused | busiest | in a second | first |"
    );
    let mut broken = Vec::new();
    for (upstreams, load) in [(4, 0.33), (4, 0.7), (7, 0.33), (7, 0.7)] {
        for daemons in DAEMONS {
            let play = Play { upstreams, load, daemons, fault, seed: 7 };
            let (before, after) = (play.run(Rule::LowestTime), play.run(Rule::Weighted));
            for (rule, found) in [("lowest time", &before), ("weighted", &after)] {
                println!("| {fault:?} | {upstreams} | {load} | {daemons} | {rule} | {found} |");
            }
            if !is_held(&play, &before, &after) {
                broken.push(play);
            }
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against daemons that all choose the same upstream.
#[test]
fn calls_to_equal_upstreams_are_spread_and_in_time() {
    check(Fault::None, |play, before, after| {
        let late_max = if play.load < 0.5 { 0.02 } else { before.late + NOISE };
        after.late < late_max && after.busiest < 1.2 && after.refused <= before.refused + NOISE
    });
}

/// Guards against calls to an upstream that is permanently slow.
#[test]
fn fewer_calls_are_late_with_one_slow_upstream() {
    check(Fault::Slow, has_fewer_late);
}

/// Guards against calls to an upstream that is slow for the moment.
#[test]
fn fewer_calls_are_late_while_upstreams_slow_down_at_times() {
    check(Fault::Phases, has_fewer_late);
}

/// Guards against an upstream that attracts calls by a false report.
#[test]
fn upstream_that_reports_itself_idle_gets_under_twice_the_mean() {
    check(Fault::FalseReport, |_, _, after| after.first < 2.0);
}
