use super::*;
use crate::balancer::{Balancer, Restrictions};
use crate::config::RepeatPolicy;
use crate::pool::ConnectionPool;
use spindle_policy::rollout::{OrderRevision, RolloutOrder, StepReason, TrialPhase};
use spindle_policy::stream_versions::PermittedVersions;
use spindle_policy::upstream_registry::{Registration, UpstreamId};
use spindle_policy::upstream_selection::{Criteria, LOAD_LIMIT_MAX};
use spindle_types::Offset;
use std::collections::BTreeSet;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn service() -> Service {
    "desk".try_into().unwrap()
}

fn route() -> Arc<Route> {
    Arc::new(Route {
        name: "read".to_owned(),
        host: "h.example".to_owned(),
        prefix: "/read/".to_owned(),
        services: vec![(service(), 1)],
        repeat: RepeatPolicy::Safe,
        timeout: Duration::from_secs(10),
        target_latency: Duration::from_secs(1),
        target_event_interval: None,
        attempts_max: 2,
        priority: 0,
        public: true,
    })
}

fn step(stage: Stage, sequence: u64, share: f64) -> RolloutStep {
    RolloutStep {
        order: RolloutOrder {
            service: service(),
            target: "v2".try_into().unwrap(),
            duration: Duration::from_secs(12),
            revision: OrderRevision { era: 0, offset: Offset(7) },
        },
        stage,
        sequence,
        first_sequence: 1,
        deadline_utc_ms: 0,
        shares: BTreeMap::new(),
        default_share: share,
        phase: TrialPhase::Spread,
        upstreams: 2,
        base: Some("v1".try_into().unwrap()),
        reason: StepReason::Shares,
    }
}

/// A balancer with four upstreams of the first version and six of the second.
fn balancer(rollouts: &RolloutWatch) -> Balancer {
    let balancer = Balancer::new("a".try_into().unwrap(), ConnectionPool::default());
    let balancer = balancer.with_rollouts(rollouts.clone());
    for index in 0..10_u16 {
        let version = if index < 4 { "v1" } else { "v2" };
        let registration = Registration {
            id: UpstreamId {
                instance: format!("i-{index}").as_str().try_into().unwrap(),
                started_at_ms: 1_000 + u64::from(index),
            },
            service: service(),
            address: ([127, 0, 0, 1], 9_000 + index).into(),
            data_centre: "a".try_into().unwrap(),
            version: Some(version.try_into().unwrap()),
            slots: 8,
            leaving: false,
            reclaimable: false,
        };
        balancer.on_registration(at(1_000), registration, "test");
    }
    balancer
}

fn told(rollouts: &RolloutWatch, now: MonotonicInstant, step: &RolloutStep) {
    rollouts.on_holder(now, (now, now), [step].into_iter());
}

/// Criteria of a plain call that waits as long as it takes.
const CRITERIA: Criteria<'static> = Criteria {
    prompt: None,
    max_wait: Duration::from_secs(9),
    load_limit: LOAD_LIMIT_MAX,
    has_ranks: false,
    draw: 0.5,
};

/// Assigns requests with draws from 0 to 1, of the side and, apart from it, of the upstream. Returns the upstreams of each side that were used, and
/// the number of requests that went to the target.
fn assign(
    balancer: &Balancer,
    rollouts: &RolloutWatch,
    now: MonotonicInstant,
    outside: bool,
) -> (BTreeSet<String>, BTreeSet<String>, usize) {
    let (mut old, mut target, mut count) = (BTreeSet::new(), BTreeSet::new(), 0);
    let mut assignments = Vec::new();
    for index in 0..100 {
        let draw = (f64::from(index) / 100.0, outside);
        let criteria = Criteria { draw: (f64::from(index) * 0.618).fract(), ..CRITERIA };
        let eligible = rollouts.eligible(now, &service(), &route(), draw);
        let restrictions =
            Restrictions { tried: &[], versions: &PermittedVersions::Any, eligible: &eligible };
        let assignment = balancer.assign(now, &service(), &criteria, restrictions).unwrap();
        let instance = assignment.upstream_id.instance.to_string();
        if assignment.version.as_ref().unwrap().as_str() == "v2" {
            count += 1;
            target.insert(instance);
        } else {
            old.insert(instance);
        }
        assignments.push(assignment);
        if assignments.len() > 12 {
            assignments.clear();
        }
    }
    (old, target, count)
}

#[test]
fn without_rollouts_all_upstreams_are_used_and_nothing_is_observed() {
    let rollouts = RolloutWatch::default();
    let balancer = balancer(&rollouts);
    told(&rollouts, at(2_000), &step(Stage::RolledBack, 2, 0.0));
    let (old, target, _) = assign(&balancer, &rollouts, at(2_000), false);
    assert_eq!((old.len(), target.len()), (4, 6));
    assert_eq!(rollouts.reports(at(2_000)), (Vec::new(), Vec::new()));
}

/// Guards against a trial that spreads over all upstreams of the target, none of which then gets the
/// load that it is to be judged under.
#[test]
fn a_trial_gets_its_share_at_a_few_upstreams() {
    let rollouts = RolloutWatch::enabled();
    let balancer = balancer(&rollouts);
    told(&rollouts, at(2_000), &step(Stage::Trial, 2, 0.25));
    let (old, target, count) = assign(&balancer, &rollouts, at(2_100), false);
    assert_eq!((old.len(), target.len(), count), (4, 2, 25));
}

/// Guards against second attempts that count against the target's share again.
#[test]
fn a_request_that_left_the_trial_goes_on_at_the_old_version() {
    let rollouts = RolloutWatch::enabled();
    let balancer = balancer(&rollouts);
    told(&rollouts, at(2_000), &step(Stage::Trial, 2, 0.5));
    let (_, _, count) = assign(&balancer, &rollouts, at(2_100), true);
    assert_eq!(count, 0);
    // After the switch there is no other choice.
    told(&rollouts, at(2_200), &step(Stage::Switch, 3, 1.0));
    let (_, target, count) = assign(&balancer, &rollouts, at(2_300), true);
    assert_eq!((target.len(), count), (6, 100));
}

/// Guards against a daemon that follows a step that may have been replaced.
#[test]
fn a_step_that_is_no_longer_confirmed_sends_nothing_to_the_target() {
    let rollouts = RolloutWatch::enabled();
    let balancer = balancer(&rollouts);
    told(&rollouts, at(2_000), &step(Stage::Switch, 3, 1.0));
    let (_, _, before) = assign(&balancer, &rollouts, at(4_400), false);
    let (_, _, after) = assign(&balancer, &rollouts, at(4_600), false);
    assert_eq!((before, after), (100, 0));
}

/// Begins a request at an upstream of the version.
fn begin(balancer: &Balancer, rollouts: &RolloutWatch, version: &str) -> Box<Observation> {
    let eligible = Eligible { versions: NewWork::Only(version.try_into().unwrap()), trial: None };
    let restrictions =
        Restrictions { tried: &[], versions: &PermittedVersions::Any, eligible: &eligible };
    let assignment = balancer.assign(at(3_000), &service(), &CRITERIA, restrictions).unwrap();
    rollouts.begin(at(3_000), (&service(), &route()), &assignment, true).unwrap()
}

/// The sums of answers, failures, first bytes and paces of the old version and of the target.
fn counted(rollouts: &RolloutWatch) -> [(u32, u32, u32, u32); 2] {
    let (_, entries) = rollouts.reports(at(4_000));
    let mut sums = [(0, 0, 0, 0); 2];
    for ((.., upstream), counts) in entries {
        let sum = &mut sums[usize::from(upstream.is_some())];
        let all = |buckets: &[u16]| buckets.iter().copied().map(u32::from).sum::<u32>();
        *sum = (
            sum.0 + counts.answers,
            sum.1 + counts.failed,
            sum.2 + all(&counts.first_byte),
            sum.3 + all(&counts.pace),
        );
    }
    sums
}

#[test]
fn responses_are_counted_once_by_side() {
    let rollouts = RolloutWatch::enabled();
    let balancer = balancer(&rollouts);
    begin(&balancer, &rollouts, "v1").on_result(UpstreamResult::Failed);
    // Nothing counts before the first step.
    assert_eq!(counted(&rollouts), [(0, 0, 0, 0); 2]);
    told(&rollouts, at(2_000), &step(Stage::Trial, 2, 0.5));
    let mut answered = begin(&balancer, &rollouts, "v1");
    answered.on_first_byte(at(3_040), None);
    answered.on_result(UpstreamResult::Answered);
    answered.on_result(UpstreamResult::Answered);
    begin(&balancer, &rollouts, "v2").on_result(UpstreamResult::Failed);
    begin(&balancer, &rollouts, "v2").on_result(UpstreamResult::Refused);
    begin(&balancer, &rollouts, "v2").on_result(UpstreamResult::Unreachable);
    begin(&balancer, &rollouts, "v2").on_overdue(at(9_000));
    assert_eq!(counted(&rollouts), [(1, 0, 1, 0), (2, 1, 1, 0)]);
}

/// Guards against a long stream that tells of a version only when it has ended, and against one that
/// breaks after that without counting as failed.
#[test]
fn a_stream_counts_once_it_has_gone_on_and_as_failed_if_it_breaks_later() {
    let rollouts = RolloutWatch::enabled();
    let balancer = balancer(&rollouts);
    told(&rollouts, at(2_000), &step(Stage::Trial, 2, 0.5));
    let mut stream = begin(&balancer, &rollouts, "v2");
    stream.on_first_byte(at(3_040), None);
    for event in 1..=EVENTS_JUDGED {
        assert_eq!(counted(&rollouts)[1].0, 0);
        // The caller has delayed each event by 30 of 50 ms.
        let held = Duration::from_millis(30 * event);
        stream.on_events(at(3_040 + 50 * event), event, held);
    }
    assert_eq!(counted(&rollouts)[1], (1, 0, 1, 1));
    assert_eq!(stream.pace, Some(Duration::from_millis(20)));
    stream.on_result(UpstreamResult::Failed);
    assert_eq!(counted(&rollouts)[1], (1, 1, 1, 1));
}

/// Guards against a sound version that counts as slow because the prompts of its trial are longer, or
/// have prefixes that it hasn't computed yet.
#[test]
fn first_bytes_of_prompts_are_compared_with_their_estimates() {
    let rollouts = RolloutWatch::enabled();
    let balancer = balancer(&rollouts);
    told(&rollouts, at(2_000), &step(Stage::Trial, 2, 0.5));
    let normal = |measured: u64, expected: u64| {
        let mut seen = begin(&balancer, &rollouts, "v2");
        seen.on_first_byte(at(3_000 + measured), Some(Duration::from_millis(expected)));
        seen.first_byte.unwrap().as_millis()
    };
    assert_eq!(normal(95, 95), 64);
    assert_eq!(normal(995, 995), 64);
    assert_eq!(normal(5, 995), 32);
    assert_eq!(normal(795, 95), 512);
}

/// Guards against a rollout that ends while requests run at the old version.
#[test]
fn requests_in_flight_are_counted_by_version_whenever_they_began() {
    let rollouts = RolloutWatch::enabled();
    let balancer = balancer(&rollouts);
    let early = begin(&balancer, &rollouts, "v1");
    told(&rollouts, at(2_000), &step(Stage::Trial, 2, 0.5));
    let target = begin(&balancer, &rollouts, "v2");
    let report = || {
        let (mut reports, _) = rollouts.reports(at(4_000));
        let (_, report) = reports.remove(0);
        (report.sent["read"], report.old_in_flight.values().sum::<u32>(), report.target_in_flight)
    };
    assert_eq!(report(), (2, 1, 1));
    drop(early);
    assert_eq!(report(), (2, 0, 1));
    drop(target);
    assert_eq!(report(), (2, 0, 0));
}

#[test]
fn counting_ends_some_time_after_the_last_step() {
    let rollouts = RolloutWatch::enabled();
    let _balancer = balancer(&rollouts);
    told(&rollouts, at(2_000), &step(Stage::Trial, 2, 0.5));
    told(&rollouts, at(3_000), &step(Stage::Completed, 3, 1.0));
    // A later heartbeat confirms the step.
    told(&rollouts, at(8_000), &step(Stage::Completed, 3, 1.0));
    let is_counted = |millis| !rollouts.counted(at(millis)).is_empty();
    assert!(is_counted(12_900));
    assert!(!is_counted(13_100));
}
