use super::*;
use crate::pool::ConnectionPool;
use spindle_policy::upstream_registry::Registration;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn service(name: &str) -> Service {
    name.try_into().unwrap()
}

/// A balancer with two upstreams of each of three services.
fn balancer() -> Balancer {
    let balancer = Balancer::new("a-1".try_into().unwrap(), ConnectionPool::default());
    for name in ["a", "b", "c"] {
        for index in 0..2 {
            let instance = format!("{name}-{index}").as_str().try_into().unwrap();
            let registration = Registration {
                id: UpstreamId { instance, started_at_ms: 1 },
                service: service(name),
                address: "127.0.0.1:1".parse().unwrap(),
                data_centre: "a-1".try_into().unwrap(),
                version: None,
                slots: 4,
                leaving: false,
                reclaimable: false,
            };
            balancer.on_registration(at(0), registration, "test");
        }
    }
    balancer
}

fn keys(balancer: &Balancer, name: &str) -> Vec<UpstreamKey> {
    let state = balancer.state();
    let listed = state.registry.iter();
    let of_service = listed.filter(|(_, listed)| listed.registration.service == service(name));
    of_service.map(|(key, _)| key).collect()
}

#[test]
fn a_service_that_was_not_heard_since_another_was_lost_counts_as_lost_until_it_is_reached() {
    let balancer = balancer();
    let lost = |name| balancer.has_lost(&service(name));
    balancer.on_heard(at(1_000), keys(&balancer, "b")[0]);
    for key in keys(&balancer, "a") {
        balancer.on_connection_failed(at(2_000), at(1_900), key);
    }
    assert_eq!([lost("a"), lost("b"), lost("c")], [true; 3]);
    // All three are tested at once.
    let rounds = balancer.take_tests(at(2_000), || 0.5);
    assert_eq!(rounds.len(), 3);
    balancer.on_test(at(2_050), at(2_000), keys(&balancer, "b")[0], true);
    balancer.on_heard(at(2_100), keys(&balancer, "c")[1]);
    assert_eq!([lost("a"), lost("b"), lost("c")], [true, false, false]);
}

#[test]
fn services_that_were_never_used_are_not_lost_while_all_others_are_reached() {
    let balancer = balancer();
    balancer.on_heard(at(1_000), keys(&balancer, "a")[0]);
    assert!(!balancer.has_lost(&service("c")) && !balancer.has_lost(&service("unknown")));
}
