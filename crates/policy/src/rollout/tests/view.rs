//! Which versions a daemon permits.

use super::*;
use crate::rollout::{NewWork, RolloutView};

fn versions(target_seen: u64) -> VersionsSeen {
    VersionsSeen(vec![seen("v1", 4, 0, at(0)), seen("v2", 4, 900, at(target_seen))])
}

fn permits(view: &RolloutView, now: u64, draw: f64, versions: &VersionsSeen) -> NewWork {
    view.permits(at(now), &service(), ROUTES[0], draw, versions)
}

fn only(name: &str) -> NewWork {
    NewWork::Only(version(name))
}

#[test]
fn a_service_of_one_version_is_not_restricted() {
    let view = RolloutView::default();
    let sole = VersionsSeen(vec![seen("v1", 4, 0, at(0))]);
    assert_eq!(NewWork::Any, permits(&view, 10, 0.0, &sole));
    assert_eq!(NewWork::Any, permits(&view, 10, 0.0, &VersionsSeen::default()));
}

#[test]
fn a_version_without_order_waits_until_a_holder_has_listed_the_orders_3_s_later() {
    let mut view = RolloutView::default();
    view.on_holder(at(12_900));
    assert_eq!(only("v1"), permits(&view, 60_000, 0.0, &versions(10_000)));
    view.on_holder(at(13_000));
    assert_eq!(NewWork::Any, permits(&view, 60_000, 0.0, &versions(10_000)));
}

#[test]
fn a_daemon_that_has_just_started_uses_the_longest_running_version() {
    // Both versions were first seen at the start, and the listing can name the target first.
    let view = RolloutView::default();
    let versions = VersionsSeen(vec![seen("v2", 60, 900, at(0)), seen("v1", 2, 10, at(0))]);
    assert_eq!(only("v1"), permits(&view, 100, 0.0, &versions));
}

#[test]
fn a_trial_step_is_valid_for_2500_ms_after_the_holder_sent_it() {
    let mut view = RolloutView::default();
    view.on_step(at(5_500), step("v2", Stage::Trial, 2, 20), at(5_000));
    let versions = versions(4_000);
    assert_eq!(only("v2"), permits(&view, 7_500, 0.24, &versions));
    assert_eq!(only("v1"), permits(&view, 7_500, 0.25, &versions), "outside the share");
    assert_eq!(only("v1"), permits(&view, 7_501, 0.24, &versions), "expired");
    view.on_step(at(7_600), step("v2", Stage::Trial, 2, 20), at(7_400));
    assert_eq!(only("v2"), permits(&view, 9_900, 0.24, &versions), "confirmed again");
}

#[test]
fn an_expired_switch_leads_back_to_the_old_version_and_a_completed_step_does_not_expire() {
    let mut view = RolloutView::default();
    let mut switch = step("v2", Stage::Switch, 3, 20);
    (switch.shares, switch.default_share) = (BTreeMap::new(), 1.0);
    view.on_step(at(0), switch, at(0));
    assert_eq!(only("v2"), permits(&view, 2_000, 0.99, &versions(0)));
    assert_eq!(only("v1"), permits(&view, 3_000, 0.99, &versions(0)));
    view.on_step(at(3_000), step("v2", Stage::Completed, 4, 20), at(3_000));
    assert_eq!(only("v2"), permits(&view, 900_000, 0.99, &versions(0)));
}

#[test]
fn a_version_that_was_rolled_back_gets_nothing_until_a_later_order() {
    let mut view = RolloutView::default();
    view.on_step(at(0), step("v2", Stage::RolledBack, 4, 20), at(0));
    assert!(!view.on_step(at(10), step("v2", Stage::Switch, 9, 20), at(10)), "a stage went back");
    assert_eq!(only("v1"), permits(&view, 900_000, 0.0, &versions(0)));
    let sole = VersionsSeen(vec![seen("v2", 4, 900, at(0))]);
    assert!(!permits(&view, 900_000, 0.0, &sole).permits(Some(&version("v2"))));
    view.on_step(at(20), step("v2", Stage::Trial, 10, 30), at(20));
    assert_eq!(only("v2"), permits(&view, 30, 0.0, &versions(0)));
}

#[test]
fn the_target_is_used_if_no_old_upstream_is_registered() {
    let mut view = RolloutView::default();
    view.on_step(at(0), step("v2", Stage::Trial, 4, 20), at(0));
    let sole = VersionsSeen(vec![seen("v2", 4, 900, at(0))]);
    assert_eq!(NewWork::Any, permits(&view, 9_000, 0.99, &sole));
}

#[test]
fn old_upstreams_without_a_version_are_no_reason_to_use_the_target() {
    let mut view = RolloutView::default();
    let mut trial = step("v2", Stage::Trial, 4, 20);
    trial.base = None;
    view.on_step(at(0), trial, at(0));
    let mut versions = versions(0);
    versions.0[0].version = None;
    let actual = permits(&view, 10, 0.99, &versions);
    assert_eq!(NewWork::Except(version("v2")), actual);
    assert_eq!((true, false), (actual.permits(None), actual.permits(Some(&version("v2")))));
}

#[test]
fn a_draining_version_of_an_earlier_rollout_gets_no_work_during_the_next() {
    let mut view = RolloutView::default();
    view.on_step(at(0), step("v3", Stage::Trial, 9, 30), at(0));
    let mut versions = versions(0);
    versions.0.push(seen("v3", 4, 950, at(0)));
    assert_eq!(only("v1"), permits(&view, 10, 0.99, &versions));
}

#[test]
fn a_daemon_that_finds_a_version_bad_stops_by_itself_until_another_order() {
    let mut view = RolloutView::default();
    view.on_step(at(0), step("v2", Stage::Trial, 4, 20), at(0));
    let mut evidence = EvidenceMap::default();
    for index in 0..60 {
        let upstream = format!("e-{}", index % 4).as_str().try_into().unwrap();
        let failed = Response { is_failed: true, ..Response::default() };
        evidence.record(ROUTES[0], Some(&upstream), &failed);
        evidence.record(ROUTES[0], None, &Response::default());
    }
    let expected = Verdict::Bad { reason: BadReason::Failures, route: ROUTES[0].to_owned() };
    assert_eq!(expected, view.on_evidence(at(100), &service(), &evidence));
    assert_eq!(only("v1"), permits(&view, 110, 0.0, &versions(0)));
    view.on_step(at(200), step("v2", Stage::Trial, 5, 20), at(200));
    assert_eq!(only("v1"), permits(&view, 210, 0.0, &versions(0)), "another step of the order");
    view.on_step(at(300), step("v2", Stage::Trial, 6, 30), at(300));
    assert_eq!(only("v2"), permits(&view, 310, 0.0, &versions(0)), "another order");
}
