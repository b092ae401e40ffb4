use super::*;
use crate::balancer::Restrictions;
use crate::pool::ConnectionPool;
use crate::rollout_watch::Eligible;
use spindle_policy::stream_versions::PermittedVersions;
use spindle_policy::upstream_pace::UpstreamPace;
use spindle_policy::upstream_registry::Registration;
use spindle_policy::upstream_selection::{Criteria, LOAD_LIMIT_MAX};
use spindle_types::Service;
use std::collections::BTreeMap;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn service() -> Service {
    "desk".try_into().unwrap()
}

/// A balancer with two upstreams.
fn balancer() -> Balancer {
    let balancer = Balancer::new("a".try_into().unwrap(), ConnectionPool::default());
    for index in 0..2_u16 {
        let registration = Registration {
            id: UpstreamId {
                instance: format!("i-{index}").as_str().try_into().unwrap(),
                started_at_ms: 1_000,
            },
            service: service(),
            address: ([127, 0, 0, 1], 9_000 + index).into(),
            data_centre: "a".try_into().unwrap(),
            version: None,
            slots: 6,
            leaving: false,
            reclaimable: false,
        };
        balancer.on_registration(at(1_000), registration, "test");
    }
    balancer
}

fn assign(balancer: &Balancer, now: MonotonicInstant, draw: f64) -> Assignment {
    let max_wait = Duration::from_secs(9);
    let criteria =
        Criteria { prompt: None, max_wait, load_limit: LOAD_LIMIT_MAX, has_ranks: false, draw };
    let (versions, eligible) = (&PermittedVersions::Any, &Eligible::default());
    let restrictions = Restrictions { tried: &[], versions, eligible };
    balancer.assign(now, &service(), &criteria, restrictions).unwrap()
}

/// The share of evenly spaced draws that an upstream gets.
fn share(balancer: &Balancer, now: MonotonicInstant, key: UpstreamKey) -> f64 {
    let draws = (0..200).map(|step| f64::from(step) / 200.0);
    draws.filter(|draw| assign(balancer, now, *draw).key == key).count() as f64 / 200.0
}

/// Guards against a reported queue or pace that does not reach the selection.
#[test]
fn reported_load_turns_plain_calls_away_for_a_while() {
    let load = |waiting, pace| ReportedLoad {
        running: 6,
        waiting,
        slots: Some(6),
        pace: UpstreamPace::try_from(pace).ok(),
    };
    for reported in [load(5, 100), load(0, 300)] {
        let balancer = balancer();
        let assignment = assign(&balancer, at(2_000), 0.0);
        assignment.on_load(at(2_000), Some(reported));
        let key = assignment.key;
        drop(assignment);
        assert!(share(&balancer, at(2_010), key) < 0.15, "{reported:?}");
        assert!(share(&balancer, at(4_500), key) > 0.45, "{reported:?}");
    }
}

/// Guards against statuses of other daemons that make an upstream look fast because its calls take no
/// longer than at an idle one.
#[test]
fn busy_upstream_that_responds_in_time_does_not_look_faster() {
    let balancer = balancer();
    let first = assign(&balancer, at(2_000), 0.0);
    let (key, instance) = (first.key, first.upstream_id.instance.clone());
    drop(first);
    for step in 0..20 {
        balancer.on_peer_load(&BTreeMap::from([(&instance, (6, 0))]));
        let now = 2_000 + step * 100;
        let mut assignment = assign(&balancer, at(now), 0.0);
        assert_eq!(assignment.key, key);
        assignment.on_first_byte(at(now + 30));
    }
    let found = share(&balancer, at(4_000), key);
    assert!((0.25..0.4).contains(&found), "{found}");
}
