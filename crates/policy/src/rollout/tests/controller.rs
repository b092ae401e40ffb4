//! Orders, restores of the store, and the shares of a trial.

use super::*;
use crate::rollout::RolloutController;

fn controller() -> RolloutController {
    RolloutController::new(service(), bounds(), Some(at(0)))
}

fn fleet(now: u64, is_registered: bool) -> FleetView {
    let mut versions = VersionsSeen(vec![seen("v1", 60, 0, at(0))]);
    if is_registered {
        versions.0.push(seen("v2", 60, 900, at(now)));
    }
    let rates = ROUTES.iter().zip([24.0, 180.0, 60.0]);
    FleetView {
        route_rates: rates.map(|(route, rate)| ((*route).to_owned(), rate)).collect(),
        versions,
        news_age: Duration::from_secs(1),
        ..FleetView::default()
    }
}

/// Stores the step that is proposed, and returns its stage and reason.
fn take(
    controller: &mut RolloutController,
    now: u64,
    view: &FleetView,
) -> Option<(Stage, StepReason)> {
    let step = controller.next_step(at(now), utc(now), view)?;
    controller.on_stored(at(now), step.clone());
    Some((step.stage, step.reason))
}

fn list(controller: &mut RolloutController, now: u64, era: u64, order: Option<RolloutOrder>) {
    controller.on_order(at(now), utc(now), era, order);
}

/// A controller whose order for `v2` was listed at 500 ms and carried out to its first shares.
fn in_trial() -> RolloutController {
    let mut controller = controller();
    list(&mut controller, 500, 1, Some(order("v2", 12, 1, 20)));
    assert_eq!(
        Some((Stage::Trial, StepReason::Ordered)),
        take(&mut controller, 500, &fleet(0, false))
    );
    assert_eq!(
        Some((Stage::Trial, StepReason::Shares)),
        take(&mut controller, 4_500, &fleet(0, true))
    );
    controller
}

#[test]
fn each_route_gets_the_same_number_of_trial_requests_within_half_of_the_exposure() {
    let controller = in_trial();
    let step = controller.current().unwrap();
    let view = fleet(0, true);
    let trial: Vec<f64> =
        view.route_rates.iter().map(|(route, rate)| rate * step.share(route)).collect();
    // Each route gives at most half of its requests.
    assert!(trial.iter().all(|rate| (rate - trial[0]).abs() < 1e-9 || *rate == 12.0), "{trial:?}");
    let left_s = (step.deadline_utc_ms - utc(4_500).0) as f64 / 1e3;
    let allowed = 0.1 * 264.0 * 12.0 + 50.0;
    let actual = trial.iter().sum::<f64>() * left_s;
    assert!((0.3 * allowed..=0.62 * allowed).contains(&actual), "{actual} of {allowed}");
    assert_eq!(Some(version("v1")), step.base);
    assert!((4..=12).contains(&step.upstreams), "{}", step.upstreams);
}

#[test]
fn the_deadline_counts_from_about_the_earliest_possible_time_of_the_order() {
    let mut early = controller();
    list(&mut early, 500, 1, Some(order("v2", 12, 1, 20)));
    let expected = utc(12_250).0;
    assert_eq!(
        expected,
        early.next_step(at(500), utc(500), &fleet(0, false)).unwrap().deadline_utc_ms
    );
    let mut successor = RolloutController::new(service(), bounds(), None);
    list(&mut successor, 9_000, 1, Some(order("v2", 12, 1, 20)));
    let actual = successor.next_step(at(9_000), utc(9_000), &fleet(0, false)).unwrap();
    assert_eq!(utc(9_000 - 4_250 + 12_000).0, actual.deadline_utc_ms);
}

#[test]
fn a_step_that_was_not_stored_is_proposed_again() {
    let mut controller = controller();
    list(&mut controller, 500, 1, Some(order("v2", 12, 1, 20)));
    let expected = controller.next_step(at(500), utc(500), &fleet(0, false));
    assert_eq!(expected, controller.next_step(at(750), utc(750), &fleet(0, false)));
}

#[test]
fn a_withdrawn_order_is_rolled_back_at_once() {
    let mut controller = in_trial();
    list(&mut controller, 5_000, 1, None);
    let actual = take(&mut controller, 5_000, &fleet(0, true));
    assert_eq!(Some((Stage::RolledBack, StepReason::Withdrawn)), actual);
    assert_eq!(None, take(&mut controller, 5_250, &fleet(0, true)));
}

#[test]
fn an_order_for_another_target_ends_the_first_and_begins_with_the_same_base() {
    let mut controller = in_trial();
    list(&mut controller, 5_000, 1, Some(order("v3", 14, 1, 31)));
    let ended = take(&mut controller, 5_000, &fleet(0, true));
    assert_eq!(Some((Stage::RolledBack, StepReason::Replaced)), ended);
    let begun = take(&mut controller, 5_000, &fleet(0, true));
    assert_eq!(Some((Stage::Trial, StepReason::Ordered)), begun);
    assert_eq!(Some(version("v1")), controller.current().unwrap().base);
}

#[test]
fn an_order_back_to_the_version_that_serves_completes_at_once() {
    let mut controller = in_trial();
    list(&mut controller, 5_000, 1, Some(order("v1", 14, 1, 31)));
    take(&mut controller, 5_000, &fleet(0, true));
    let actual = take(&mut controller, 5_000, &fleet(0, true));
    assert_eq!(Some((Stage::Completed, StepReason::Sole)), actual);
}

#[test]
fn a_version_that_never_registers_is_rolled_back_before_the_deadline() {
    let mut controller = controller();
    list(&mut controller, 500, 1, Some(order("v2", 12, 1, 20)));
    take(&mut controller, 500, &fleet(0, false));
    assert_eq!(None, take(&mut controller, 11_500, &fleet(0, false)));
    let actual = take(&mut controller, 11_550, &fleet(0, false));
    assert_eq!(Some((Stage::RolledBack, StepReason::Missing)), actual);
}

#[test]
fn without_evidence_the_rollout_is_rolled_back() {
    let mut controller = in_trial();
    let actual = take(&mut controller, 11_550, &fleet(0, true));
    assert_eq!(Some((Stage::RolledBack, StepReason::Undecided)), actual);
}

#[test]
fn an_order_that_a_restore_lost_is_not_withdrawn_and_keeps_its_stage() {
    let mut controller = in_trial();
    list(&mut controller, 5_000, 2, None);
    assert_eq!(None, take(&mut controller, 5_250, &fleet(0, true)), "lost by the restore");
    // An earlier order that the copy still holds, before the operator has written the newest again.
    list(&mut controller, 5_500, 2, Some(order("v1", 12, 2, 10)));
    assert_eq!(None, take(&mut controller, 5_500, &fleet(0, true)), "an earlier order");
    list(&mut controller, 6_000, 2, Some(order("v2", 12, 2, 15)));
    let actual = take(&mut controller, 6_000, &fleet(0, true));
    assert_eq!(Some((Stage::Trial, StepReason::Recorded)), actual);
    let step = controller.current().unwrap();
    assert_eq!(utc(12_250).0, step.deadline_utc_ms);
    assert_eq!(1, step.first_sequence);
}

#[test]
fn an_order_that_stays_away_after_a_restore_counts_as_withdrawn() {
    let mut controller = in_trial();
    list(&mut controller, 5_000, 2, None);
    list(&mut controller, 8_000, 2, None);
    let actual = take(&mut controller, 8_000, &fleet(0, true));
    assert_eq!(Some((Stage::RolledBack, StepReason::Withdrawn)), actual);
}

#[test]
fn a_step_that_a_restore_lost_is_adopted_from_a_daemon_that_knows_it() {
    // The store's copy ends before the switch; the daemons know of it.
    let mut successor = RolloutController::new(service(), bounds(), None);
    successor.on_stored(at(0), step("v2", Stage::Trial, 2, 20));
    successor.on_stored(at(10), step("v2", Stage::Completed, 4, 20));
    successor.on_stored(at(20), step("v2", Stage::Trial, 3, 20));
    assert_eq!(Stage::Completed, successor.current().unwrap().stage);
    list(&mut successor, 100, 2, Some(order("v2", 12, 2, 15)));
    let actual = take(&mut successor, 100, &fleet(0, true));
    assert_eq!(Some((Stage::Completed, StepReason::Recorded)), actual);
    assert_eq!(5, successor.current().unwrap().sequence);
}

/// A controller whose rollout was completed at 9 s with the deadline near, and evidence that the target
/// has turned bad since.
fn completed() -> (RolloutController, FleetView) {
    let mut controller = in_trial();
    let step = RolloutStep {
        stage: Stage::Completed,
        sequence: 50,
        ..controller.current().unwrap().clone()
    };
    controller.on_stored(at(9_000), step);
    let mut view = fleet(0, true);
    for index in 0..120 {
        let target: Instance = format!("t-{}", index % 4).try_into().unwrap();
        let first_byte = Some(Duration::from_millis(90));
        let sound = Response { first_byte, ..Response::default() };
        view.evidence.record(ROUTES[0], None, &sound);
        let is_failed = index % 2 == 0 || index % 3 == 0;
        view.evidence.record(ROUTES[0], Some(&target), &Response { is_failed, ..sound });
    }
    (controller, view)
}

/// Guards against a decision that is turned back: at the completion the platform stops the old upstreams, whose
/// registrations may outlive them.
#[test]
fn a_completed_rollout_is_final_whatever_the_evidence() {
    let (mut controller, mut view) = completed();
    for millis in [9_250, 12_000, 30_000] {
        assert_eq!(None, take(&mut controller, millis, &view), "{millis}");
    }
    view.versions = VersionsSeen(vec![seen("v2", 60, 900, at(0))]);
    assert_eq!(None, take(&mut controller, 31_000, &view));
}
