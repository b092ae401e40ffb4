use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use spindle_types::config::{LatencyTarget, Role};
use spindle_types::{Adapter, BlockHash, Model};
use std::net::Ipv4Addr;
use strum::IntoEnumIterator;

fn upstream(name: &str) -> UpstreamInfo {
    UpstreamInfo {
        instance: Instance::try_from(name).unwrap(),
        pool: Pool::try_from("spindle-pool").unwrap(),
        data_centre: DataCentre::try_from("kano-a").unwrap(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        leaving: false,
        price: 1.0,
    }
}

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn router(strategy: Strategy, names: &[&str]) -> Router {
    let home = DataCentre::try_from("kano-a").unwrap();
    let mut router = Router::new(RouterParams { strategy, ..RouterParams::new(home) });
    router.on_listing(at(0), names.iter().map(|name| upstream(name)).collect());
    router
}

fn demand(tokens: u32, blocks: std::ops::Range<u64>) -> Demand {
    Demand {
        pools: vec![Pool::try_from("spindle-pool").unwrap()],
        model: Some(Model::try_from("census-llm").unwrap()),
        prefill_tokens: tokens,
        answer_tokens: 100,
        blocks: blocks.map(BlockHash).collect(),
        latency_target: LatencyTarget::default(),
        ..Demand::default()
    }
}

fn route(router: &mut Router, now: MonotonicInstant, demand: &Demand) -> Option<Route> {
    router.choose(now, demand, &[], &mut ChaCha8Rng::seed_from_u64(7))
}

fn chosen(router: &mut Router, now: MonotonicInstant, demand: &Demand) -> Option<String> {
    route(router, now, demand).map(|route| route.instance.to_string())
}

fn name(text: &str) -> Instance {
    Instance::try_from(text).unwrap()
}

fn loaded() -> LoadedModel {
    LoadedModel { model: Some(Model::try_from("census-llm").unwrap()), ..LoadedModel::default() }
}

fn report(now: MonotonicInstant, running: u32, loaded: LoadedModel) -> UpstreamLoad {
    UpstreamLoad { taken: now, running, waiting: 0, queued_tokens: 0, loaded: Some(loaded) }
}

#[test]
fn equal_upstreams_share_the_work_in_every_balancing_strategy() {
    for strategy in [Strategy::RoundRobin, Strategy::LeastInFlight, Strategy::ExpectedCost] {
        let mut router = router(strategy, &["a", "b", "c"]);
        let work = demand(400, 0..0);
        let mut actual: Vec<_> = (0..6).filter_map(|_| chosen(&mut router, at(0), &work)).collect();
        actual.sort();
        assert_eq!(vec!["a", "a", "b", "b", "c", "c"], actual, "{strategy}");
    }
}

#[test]
fn leaving_upstream_gets_nothing_in_any_strategy() {
    for strategy in Strategy::iter() {
        let mut router = router(strategy, &["a", "b"]);
        router.on_leaving(&name("a"));
        let work = demand(400, 0..0);
        let actual: HashSet<_> = (0..50).map(|_| chosen(&mut router, at(0), &work)).collect();
        assert_eq!(HashSet::from([Some("b".to_owned())]), actual, "{strategy}");
    }
}

#[test]
fn leaving_mark_survives_stale_listings() {
    let mut router = router(Strategy::ExpectedCost, &["a"]);
    router.on_leaving(&name("a"));
    router.on_listing(at(1), vec![upstream("a")]);
    assert_eq!(None, chosen(&mut router, at(1), &demand(1, 0..0)));
    router.on_listing(at(2), vec![]);
    router.on_listing(at(3), vec![upstream("a")]);
    assert_eq!(None, chosen(&mut router, at(3), &demand(1, 0..0)), "listed again");
}

#[test]
fn cached_prefix_wins_until_its_upstream_nears_the_target() {
    let mut router = router(Strategy::ExpectedCost, &["a", "b"]);
    let target = LatencyTarget {
        token_interval: spindle_types::Span::from_millis(16),
        ..LatencyTarget::default()
    };
    let work = Demand { latency_target: target, ..demand(1_600, 0..100) };
    let first = chosen(&mut router, at(0), &work);
    let mut actual = Vec::new();
    for step in 1..60 {
        actual.push(chosen(&mut router, at(step * 100), &work));
    }
    let same = actual.iter().take_while(|name| **name == first).count();
    // Sending to the idle upstream instead costs 80 ms of prefill, at the utilisation of a decoding
    // step with a batch of one. The cached upstream is left once its weighted cost exceeds that.
    let (cached_cost, cost) = (100.0 * 0.000_3, 100.0 * 0.000_3 + 0.08);
    let (interval_max, idle_step) = (0.016 * 0.9, 0.008_3);
    let utilisation_max = 1.0 - (1.0 - idle_step / interval_max) * cached_cost / cost;
    let batch_max = (utilisation_max * interval_max - 0.008) / 0.000_3;
    assert_eq!(batch_max as usize - 1, same, "attempts until the batch is too slow");
}

#[test]
fn cheaper_upstream_is_chosen_while_it_meets_the_target() {
    let mut router = router(Strategy::ExpectedCost, &[]);
    let expensive = UpstreamInfo { price: 3.0, ..upstream("a") };
    router.on_listing(at(0), vec![expensive, upstream("b")]);
    let work = demand(3_600, 0..0);
    let actual: Vec<_> = (0..2).filter_map(|_| chosen(&mut router, at(0), &work)).collect();
    assert_eq!(vec!["b", "a"], actual, "the second would wait for the first's prefill");
}

#[test]
fn reported_load_of_other_daemons_is_avoided_until_it_decays() {
    let mut router = router(Strategy::ExpectedCost, &["a", "b"]);
    router.on_report(&name("a"), report(at(0), 0, loaded()));
    router.on_report(&name("a"), report(at(1_000), 30, loaded()));
    let work = demand(400, 0..0);
    assert_eq!(Some("b".to_owned()), chosen(&mut router, at(1_000), &work));
    router.on_report(&name("b"), report(at(1_500), 20, loaded()));
    assert_eq!(Some("a".to_owned()), chosen(&mut router, at(60_000), &work));
}

#[test]
fn own_attempts_are_not_counted_twice_in_a_late_report() {
    let mut router = router(Strategy::ExpectedCost, &["a"]);
    let work = demand(16, 0..0);
    let ended = route(&mut router, at(0), &work).unwrap();
    for _ in 0..4 {
        route(&mut router, at(0), &work);
    }
    router.on_end(at(900), ended.key, AttemptEnd::Completed);
    route(&mut router, at(950), &work);
    router.on_report(&name("a"), report(at(500), 5, loaded()));
    let key = router.by_instance[&name("a")];
    assert_eq!(5.0, router.upstreams[key].batch(at(1_000)));
}

#[test]
fn engine_without_the_model_version_adapter_or_role_is_excluded() {
    let version = |text: &str| Some(Version::try_from(text).unwrap());
    let other = Model::try_from("other").unwrap();
    let mut router = router(Strategy::LeastInFlight, &["a", "b", "c", "d", "e"]);
    let adapter = Adapter::try_from("kano").unwrap();
    let fit = LoadedModel { version: version("v2"), adapters: vec![adapter.clone()], ..loaded() };
    let states = [
        ("a", LoadedModel { model: Some(other), ..fit.clone() }),
        ("b", LoadedModel { version: version("v1"), ..fit.clone() }),
        ("c", LoadedModel { adapters: vec![], ..fit.clone() }),
        ("d", LoadedModel { role: Role::Decode, ..fit.clone() }),
        ("e", fit),
    ];
    for (instance, state) in states {
        router.on_report(&name(instance), report(at(1), 0, state));
    }
    let work = Demand { version: version("v2"), adapter: Some(adapter), ..demand(16, 0..0) };
    let actual: Vec<_> = (0..3).map(|_| route(&mut router, at(2), &work).unwrap()).collect();
    assert!(actual.iter().all(|route| route.instance == name("e")));
    assert_eq!(version("v2"), actual[0].version);
}

#[test]
fn failed_upstream_is_excluded_until_a_probe_succeeds_and_then_starts_slowly() {
    let mut router = router(Strategy::LeastInFlight, &["a", "b"]);
    let work = demand(16, 0..0);
    let failed = route(&mut router, at(0), &work).unwrap();
    router.on_end(at(0), failed.key, AttemptEnd::Unreachable);
    let during: HashSet<_> = (0..9).map(|_| chosen(&mut router, at(500), &work)).collect();
    assert_eq!(HashSet::from([Some("b".to_owned())]), during);
    let probe = route(&mut router, at(1_000), &work).unwrap();
    assert_eq!(name("a"), probe.instance);
    assert_eq!(Some("b".to_owned()), chosen(&mut router, at(1_000), &work), "one probe");
    router.on_end(at(1_100), probe.key, AttemptEnd::Completed);
    let after: Vec<_> = (0..4).filter_map(|_| chosen(&mut router, at(1_100), &work)).collect();
    assert_eq!(vec!["a", "b", "b", "b"], after);
}

#[test]
fn rejections_exclude_an_upstream_briefly_but_do_not_open_its_breaker() {
    let mut router = router(Strategy::LeastInFlight, &["a", "b"]);
    let work = demand(16, 0..0);
    for _ in 0..20 {
        let refused = route(&mut router, at(0), &work).unwrap();
        router.on_end(at(0), refused.key, AttemptEnd::Refused);
    }
    let other = route(&mut router, at(300), &work).unwrap();
    router.on_end(at(300), other.key, AttemptEnd::Refused);
    let during: HashSet<_> = (0..9).map(|_| chosen(&mut router, at(400), &work)).collect();
    assert_eq!(1, during.len());
    assert!(!during.contains(&Some(other.instance.to_string())));
    let after: HashSet<_> = (0..9).map(|_| chosen(&mut router, at(600), &work)).collect();
    assert!(after.contains(&Some(other.instance.to_string())), "its breaker is closed");
}

#[test]
fn only_upstream_is_used_even_with_an_open_breaker() {
    let mut router = router(Strategy::ExpectedCost, &["a"]);
    let work = demand(16, 0..0);
    let failed = route(&mut router, at(0), &work).unwrap();
    router.on_end(at(0), failed.key, AttemptEnd::Unreachable);
    assert_eq!(Some("a".to_owned()), chosen(&mut router, at(1), &work));
}

#[test]
fn attempt_counts_stay_exact_and_leaving_upstreams_idle_in_any_sequence() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut router = router(Strategy::ExpectedCost, &["a", "b", "c"]);
        let mut open = Vec::new();
        let mut left = HashSet::new();
        for (step, (kind, pick)) in steps.iter().enumerate() {
            let now = at(step as u64 * 50);
            match kind % 4 {
                0 | 1 => open.extend(route(&mut router, now, &demand(64, 0..4))),
                2 if !open.is_empty() => {
                    let route = open.swap_remove(usize::from(*pick) % open.len());
                    let ends = [AttemptEnd::Completed, AttemptEnd::Failed, AttemptEnd::Cancelled];
                    router.on_end(now, route.key, ends[usize::from(*pick) % 3]);
                }
                3 if *pick < 16 => {
                    let instance = name(["a", "b", "c"][usize::from(*pick) % 3]);
                    router.on_leaving(&instance);
                    left.insert(instance);
                }
                _ => {}
            }
            let next = route(&mut router, now, &demand(64, 0..4));
            assert!(next.as_ref().is_none_or(|route| !left.contains(&route.instance)));
            open.extend(next);
        }
        let running: u32 = router.upstreams.values().map(|upstream| upstream.running).sum();
        assert_eq!(open.len(), running as usize);
    });
}
