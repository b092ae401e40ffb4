mod controller;
mod histories;
mod play;
mod view;

use super::*;
use spindle_types::Instance;

/// The routes of the tests' service.
const ROUTES: [&str; 3] = ["/chat", "/complete", "/embed"];

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn utc(millis: u64) -> UtcInstant {
    UtcInstant(1_700_000_000_000 + millis)
}

fn version(name: &str) -> SoftwareVersion {
    name.try_into().unwrap()
}

fn service() -> Service {
    "huvo11a".try_into().unwrap()
}

fn order(target: &str, duration_s: u64, era: u64, offset: u64) -> RolloutOrder {
    RolloutOrder {
        service: service(),
        target: version(target),
        duration: Duration::from_secs(duration_s),
        revision: OrderRevision { era, offset: Offset(offset) },
    }
}

fn seen(name: &str, upstreams: u32, started_s: u64, first_seen: MonotonicInstant) -> VersionSeen {
    let started_at = utc(started_s * 1_000);
    VersionSeen { version: Some(version(name)), upstreams, slots: 32, started_at, first_seen }
}

fn bounds() -> RolloutBounds {
    RolloutBounds { share: 0.1, slack: 50.0, rollback: Duration::from_secs(5) }
}

fn step(target: &str, stage: Stage, sequence: u64, offset: u64) -> RolloutStep {
    RolloutStep {
        order: order(target, 12, 1, offset),
        stage,
        sequence,
        first_sequence: offset,
        deadline_utc_ms: utc(12_000).0,
        shares: BTreeMap::from([(ROUTES[0].to_owned(), 0.25)]),
        default_share: 0.0,
        phase: TrialPhase::Spread,
        upstreams: 4,
        base: Some(version("v1")),
        reason: StepReason::Shares,
    }
}

#[test]
fn steps_are_the_same_after_they_were_stored_and_read() {
    let expected = step("v2", Stage::Switch, 3, 20);
    let text = serde_json::to_string(&expected).unwrap();
    assert_eq!(expected, serde_json::from_str(&text).unwrap());
}

#[test]
fn evidence_is_the_same_after_it_was_sent() {
    let mut expected = EvidenceMap::default();
    let upstream = "e-1".try_into().unwrap();
    let first_byte = Some(Duration::from_millis(90));
    expected.record(ROUTES[0], Some(&upstream), &Response { first_byte, ..Response::default() });
    expected.record(ROUTES[0], None, &Response { is_failed: true, ..Response::default() });
    let text = serde_json::to_string(&expected).unwrap();
    assert_eq!(expected, serde_json::from_str(&text).unwrap());
}

#[test]
fn the_later_order_wins_then_the_further_stage_then_the_later_step() {
    let trial = step("v2", Stage::Trial, 9, 20);
    let cases = [
        ("a further stage with a lower sequence", step("v2", Stage::Switch, 5, 20), true),
        ("the same step", trial.clone(), false),
        ("an earlier step of the stage", step("v2", Stage::Trial, 8, 20), false),
        ("an earlier order's last stage", step("v3", Stage::Completed, 10, 10), false),
        ("a later order's first stage", step("v3", Stage::Trial, 1, 30), true),
    ];
    for (name, other, expected) in cases {
        assert_eq!(expected, other.supersedes(&trial), "{name}");
        assert!(!(expected && trial.supersedes(&other)), "{name}: both supersede");
    }
}

#[test]
fn an_order_written_again_after_a_restore_keeps_its_stage() {
    let switched = step("v2", Stage::Switch, 5, 20);
    let mut recorded = step("v2", Stage::Trial, 4, 20);
    recorded.order.revision = OrderRevision { era: 2, offset: Offset(12) };
    assert!(switched.order.is_same(&recorded.order));
    assert!(!recorded.supersedes(&switched));
    recorded.order.revision.era = 1;
    assert!(!switched.order.is_same(&recorded.order), "another record of the same era");
}

#[test]
fn all_daemons_choose_the_same_upstreams_of_a_trial() {
    let instances: Vec<Instance> =
        (0..60).map(|index| format!("e-{index}").try_into().unwrap()).collect();
    let step = step("v2", Stage::Trial, 1, 1);
    let expected = trial_upstreams(&step, &instances);
    let actual = trial_upstreams(&step, instances.iter().rev());
    assert_eq!(expected, actual);
    assert_eq!(4, actual.len());
}

/// Guards against a version that is bad only under load and completes its rollout, because its failures
/// are few beside the rate that the ratio test takes for normal.
#[test]
fn a_version_that_fails_many_times_as_often_as_the_old_one_is_not_sound() {
    let counts = |answers, failed| Evidence {
        answers,
        failed,
        first_byte: std::array::from_fn(|class| if class == 7 { answers as u16 } else { 0 }),
        ..Evidence::default()
    };
    let verdict = |targets: &[(u32, u32)]| {
        let target = targets.iter().enumerate().map(|(index, (answers, failed))| {
            let instance = Instance::try_from(format!("t-{index}").as_str()).unwrap();
            ((ROUTES[0].to_owned(), Some(instance)), counts(*answers, *failed))
        });
        let old = ((ROUTES[0].to_owned(), None), counts(3_266, 4));
        judge(&EvidenceMap(target.chain([old]).collect()))
    };
    assert_eq!(Verdict::Undecided, verdict(&[(27, 2), (26, 1)]));
    assert_eq!(Verdict::Undecided, verdict(&[(27, 3), (26, 0)]));
    assert_eq!(Verdict::Undecided, verdict(&[(13, 1), (13, 1), (13, 1), (14, 0)]));
    assert_eq!(Verdict::Sound, verdict(&[(27, 0), (26, 1)]));
}
