use super::*;
use spindle_types::config::{Envelope, KeyHash, Market, Placement, Repeat};
use spindle_types::{Money, Revision};
use std::collections::BTreeSet;

fn state() -> Configuration {
    let mut state = Configuration::default();
    let team =
        |key: &str| TeamSpec { keys: BTreeSet::from([KeyHash::of(key)]), ..TeamSpec::default() };
    let engines = PoolSpec { model: Some("sommelier-llm".parse().unwrap()), ..PoolSpec::default() };
    let changes = [
        Change::PutTeam { team: "cava".parse().unwrap(), spec: team("a") },
        Change::PutPool { pool: "engines".parse().unwrap(), spec: engines },
        Change::PutPool { pool: "desk".parse().unwrap(), spec: PoolSpec::default() },
        put_service("booking", "desk", "POST", "/"),
        Change::ConfirmPlan { plan: plan("engines", "10") },
    ];
    for (change, revision) in changes.into_iter().zip(1..) {
        assert_eq!(Ok(()), check_change(&state, &change));
        state.apply(Revision(revision), change);
    }
    state
}

fn put_service(service: &str, pool: &str, method: &str, path: &str) -> Change {
    let (method, path) = (method.to_owned(), path.to_owned());
    let routes = vec![RouteSpec { method, path, repeat: Repeat::Never }];
    let spec = ServiceSpec { pool: pool.parse().unwrap(), routes };
    Change::PutService { service: service.parse().unwrap(), spec }
}

fn plan(pool: &str, cost: &str) -> ConfirmedPlan {
    ConfirmedPlan {
        digest: "d".to_owned(),
        operator: "ana".parse().unwrap(),
        placements: vec![Placement {
            pool: pool.parse().unwrap(),
            data_centre: "heredia-a".parse().unwrap(),
            class: "gpu-small".parse().unwrap(),
            market: Market::Reclaimable,
            count: 1,
        }],
        envelope: Envelope {
            hourly_spend: Money::from_units(20.0),
            data_centres: BTreeSet::new(),
            classes: BTreeSet::new(),
            on_demand: false,
        },
        hourly_cost: cost.parse().unwrap(),
        intent: None,
    }
}

#[test]
fn every_mistake_has_a_readable_reason() {
    let state = state();
    let keys = BTreeSet::from([KeyHash::of("a")]);
    let model = Some("other-llm".parse().unwrap());
    let changes = [
        Change::PutTeam {
            team: "rival".parse().unwrap(),
            spec: TeamSpec { keys, ..TeamSpec::default() },
        },
        Change::RemoveTeam { team: "nobody".parse().unwrap() },
        Change::PutPool {
            pool: "desk".parse().unwrap(),
            spec: PoolSpec { model, ..PoolSpec::default() },
        },
        Change::PutPool {
            pool: "new".parse().unwrap(),
            spec: PoolSpec { version: Some("v1".parse().unwrap()), ..PoolSpec::default() },
        },
        Change::RemovePool { pool: "desk".parse().unwrap() },
        Change::RemovePool { pool: "engines".parse().unwrap() },
        put_service("returns", "nowhere", "post", "x"),
        put_service("returns", "engines", "POST", "/"),
        Change::RemoveService { service: "nobody".parse().unwrap() },
        Change::ConfirmPlan { plan: plan("nowhere", "21") },
    ];
    let reasons = changes.iter().map(|change| {
        let problems = check_change(&state, change).unwrap_err();
        format!("{change}: {problems}")
    });
    insta::assert_snapshot!(reasons.collect::<Vec<_>>().join("\n"));
}
