use super::*;
use spindle_policy::upstream_registry::{Registration, UpstreamChange};
use spindle_types::DataCentre;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn rate(per_second: f64) -> NamedLimit {
    NamedLimit::Rate(RequestRate::try_from(per_second).unwrap())
}

fn invalid(text: &str) -> NamedLimit {
    NamedLimit::Invalid(text.to_owned())
}

struct Fixture {
    registry: UpstreamRegistry,
    limits: UpstreamLimits,
    key: UpstreamKey,
    id: UpstreamId,
}

impl Fixture {
    fn new() -> Self {
        let id = UpstreamId { instance: Instance::try_from("i-1").unwrap(), started_at_ms: 1 };
        let mut registry = UpstreamRegistry::default();
        let registration = Registration {
            id: id.clone(),
            service: Service::try_from("desk").unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: DataCentre::try_from("a-1").unwrap(),
            version: "v1".try_into().ok(),
            slots: 8,
            reclaimable: false,
            leaving: false,
        };
        let UpstreamChange::Added(key) = registry.on_registration(at(0), registration) else {
            panic!("the upstream was not added");
        };
        Self { registry, limits: UpstreamLimits::default(), key, id }
    }

    fn on_answer(&mut self, millis: u64, named: NamedLimit) {
        let upstream = (self.key, &self.id.instance);
        self.limits.on_answer((at(millis), at(millis)), upstream, named);
    }

    fn become_only_sender(&mut self, millis: u64) {
        let alone = Some(Position { rank: 0, daemons: 1 });
        self.limits.set_positions(at(millis), &self.registry, |_, _| alone);
    }

    fn reported(&self, millis: u64) -> Vec<Option<f64>> {
        let reports = self.limits.own_reports(at(millis), &self.registry, 10);
        reports.into_iter().map(|(_, report)| report.rate.map(f64::from)).collect()
    }
}

#[test]
fn a_request_is_permitted_only_within_this_daemons_part() {
    let mut fixture = Fixture::new();
    let key = fixture.key;
    assert_eq!(fixture.limits.take(at(0), key), None);
    fixture.on_answer(0, rate(2.0));
    assert_eq!(fixture.limits.take(at(0), key), Some(false));
    fixture.become_only_sender(100);
    fixture.become_only_sender(700);
    assert_eq!(fixture.limits.take(at(700), key), Some(true));
    assert_eq!(fixture.limits.take(at(700), key), Some(false));
    fixture.limits.give_back(key);
    assert_eq!(fixture.limits.take(at(700), key), Some(true));
    let limit = fixture.limits.in_use(at(700), key).unwrap().to_string();
    let expected = "limit_per_s=2 permitted_per_s=2.00 limit_age_ms=700 own_per_s=2.00 \
                    peers_per_s=0.00";
    assert_eq!(limit, expected);
}

#[test]
fn a_limit_that_is_no_rate_changes_nothing() {
    let mut fixture = Fixture::new();
    for text in ["0", "-1", "many", "1e300", ""] {
        fixture.on_answer(0, invalid(text));
        assert_eq!(fixture.limits.state(at(0), fixture.key), LimitState::Unlimited, "{text}");
    }
    fixture.on_answer(1_000, rate(2.0));
    for text in ["0", "-1", "many", "1e300", ""] {
        fixture.on_answer(5_000, invalid(text));
        assert_eq!(fixture.reported(5_000), [Some(2.0)], "{text}");
    }
}

#[test]
fn other_daemons_are_told_of_the_newest_limit_and_of_its_end() {
    let mut fixture = Fixture::new();
    fixture.on_answer(0, NamedLimit::None);
    assert_eq!(fixture.reported(0), []);
    fixture.on_answer(1_000, rate(2.0));
    assert_eq!(fixture.reported(1_000), [Some(2.0)]);
    fixture.on_answer(1_200, NamedLimit::None);
    assert_eq!(fixture.reported(1_200), [Some(2.0)], "the response may be older than the limit");
    fixture.on_answer(2_000, NamedLimit::None);
    assert_eq!(fixture.reported(2_000), [None]);
    assert_eq!(fixture.reported(40_000), []);
}

#[test]
fn a_limit_that_another_daemon_found_lifted_is_not_reported_any_longer() {
    let mut fixture = Fixture::new();
    fixture.on_answer(1_000, rate(2.0));
    let report = LimitReport { rate: None, at: at(3_000) };
    fixture.limits.on_peer_report(at(3_100), (fixture.key, &fixture.id.instance), report);
    assert_eq!(fixture.reported(3_100), []);
}

#[test]
fn only_limits_in_force_reduce_the_capacity_of_a_service() {
    let mut fixture = Fixture::new();
    let service = Service::try_from("desk").unwrap();
    let rates =
        |fixture: &Fixture, millis| fixture.limits.rates(at(millis), &fixture.registry, &service);
    assert!(rates(&fixture, 0).is_empty());
    fixture.on_answer(0, rate(2.0));
    assert_eq!(rates(&fixture, 0), [2.0]);
    fixture.on_answer(1_000, NamedLimit::None);
    assert!(rates(&fixture, 30_000).is_empty());
}
