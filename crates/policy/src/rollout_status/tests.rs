mod traffic;

use super::*;
use crate::presence::Status;
use crate::rollout::{OrderRevision, RolloutOrder, StepReason, TrialPhase};
use spindle_types::Offset;

fn at(millis: u64) -> MonotonicInstant {
    MonotonicInstant::from_millis(millis)
}

fn service(name: &str) -> Service {
    name.try_into().unwrap()
}

fn step(sequence: u64) -> RolloutStep {
    RolloutStep {
        order: RolloutOrder {
            service: service("a"),
            target: "v2".try_into().unwrap(),
            duration: Duration::from_secs(12),
            revision: OrderRevision { era: 0, offset: Offset(7) },
        },
        stage: Stage::Trial,
        sequence,
        first_sequence: 1,
        deadline_utc_ms: 1_764_806_412_000,
        shares: BTreeMap::from([("read".to_owned(), 0.05)]),
        default_share: 0.05,
        phase: TrialPhase::Spread,
        upstreams: 4,
        base: Some("v1".try_into().unwrap()),
        reason: StepReason::Shares,
    }
}

fn key(service_name: &str, order: u64, route: &str) -> EvidenceKey {
    (service(service_name), order, route.to_owned(), None)
}

fn evidence(answers: u32) -> Evidence {
    Evidence { answers, ..Evidence::default() }
}

fn status() -> RolloutStatus {
    let mut status = RolloutStatus { listed: Some(120), ..RolloutStatus::default() };
    status.steps.set(4, [(service("a"), step(3))]);
    let report = RolloutReport {
        order: 1,
        stage: Stage::Trial,
        sent: BTreeMap::from([("read".to_owned(), 9)]),
        old_in_flight: BTreeMap::new(),
        target_in_flight: 2,
        is_convicted: false,
    };
    status.reports.set(5, [(service("a"), report)]);
    status.evidence.set(5, [(key("a", 1, "read"), evidence(3))]);
    status
}

/// A status as a daemon of an earlier build sends it.
const EARLIER: &str = r#"{"incarnation":"0000000000000007","beat":5,"uptime":900,
    "utc":1764806400000,"phase":"ready","config":3,"age":null,"running":{},"arrived":{}}"#;

/// Guards against an upgrade in which old and new daemons don't hear each other.
#[test]
fn statuses_with_and_without_rollouts_read_each_other() {
    let earlier: Status = serde_json::from_str(EARLIER).unwrap();
    assert_eq!(earlier.rollouts, RolloutStatus::default());
    let written = serde_json::to_value(&earlier).unwrap();
    assert!(!written.as_object().unwrap().contains_key("rollouts"));
    let newer = Status { rollouts: status(), ..earlier };
    let written = serde_json::to_string(&newer).unwrap();
    assert_eq!(serde_json::from_str::<Status>(&written).unwrap(), newer);
    // A later build may tell more.
    let later = written.replace("\"listed\":", "\"something\":[1],\"listed\":");
    assert_eq!(serde_json::from_str::<Status>(&later).unwrap(), newer);
}

#[test]
fn only_what_has_changed_is_sent_and_the_rest_is_kept() {
    let newer = status();
    let changes = newer.changed_since(4);
    assert!(changes.steps.is_empty());
    assert_eq!(changes.evidence, newer.evidence);
    let mut known = RolloutStatus::default();
    known.merge(&newer);
    known.merge(&RolloutStatus { listed: None, ..changes });
    assert_eq!(known, RolloutStatus { listed: None, ..newer });
}

/// Guards against evidence of an earlier order being counted for the next one.
#[test]
fn evidence_of_earlier_orders_is_dropped() {
    let mut known = status();
    known.evidence.set(5, [(key("a", 1, "read"), evidence(3)), (key("b", 2, "read"), evidence(5))]);
    let mut newer = RolloutStatus::default();
    newer.evidence.set(9, [(key("a", 6, "read"), evidence(1))]);
    known.merge(&newer);
    let sum = |name: &str, order| {
        let mut sum = EvidenceMap::default();
        known.add_evidence(&service(name), order, &mut sum);
        sum.0.into_values().map(|counts| counts.answers).collect::<Vec<_>>()
    };
    assert_eq!(sum("a", 1), Vec::<u32>::new());
    assert_eq!(sum("a", 6), [1]);
    assert_eq!(sum("b", 2), [5]);
}

#[test]
fn evidence_of_one_daemon_is_bounded() {
    let mut known = RolloutStatus::default();
    for beat in 1..=10 {
        let mut newer = RolloutStatus::default();
        let entry = |route: usize| (key("a", 1, &format!("{beat}-{route}")), evidence(1));
        newer.evidence.set(beat, (0..100).map(entry));
        known.merge(&newer);
    }
    // All entries of the oldest heartbeat kept stay.
    assert!(known.evidence.len() <= EVIDENCE_MAX + 100);
}

/// Guards against a step staying valid because an old status is forwarded again and again.
#[test]
fn a_late_status_does_not_count_as_a_late_heartbeat() {
    let uptime = Duration::from_millis;
    // A heartbeat that arrived with a delay of 900 ms, then one with 50 ms.
    let mut beats = BeatClock::new(at(10_900), uptime(2_000));
    assert_eq!(beats.made_at(uptime(2_000)), at(10_900));
    beats.on_beat(at(11_050), uptime(3_000));
    assert_eq!(beats.made_at(uptime(3_000)), at(11_050));
    // One that is delayed again, by 2 s.
    beats.on_beat(at(14_000), uptime(4_000));
    let late = at(14_000).since(beats.made_at(uptime(4_000)));
    assert!(late >= uptime(1_900), "{late:?}");
}

#[test]
fn heartbeats_are_placed_in_time_whatever_the_clocks() {
    // The other daemon has run for longer than this instance, and its clock is slow by 0.5 percent.
    let mut beats = BeatClock::new(at(1_000), Duration::from_secs(50));
    for second in 1..2_000_u64 {
        let uptime = Duration::from_secs(50) + Duration::from_millis(second * 995);
        beats.on_beat(at(1_000 + second * 1_000), uptime);
        assert_eq!(beats.made_at(uptime), at(1_000 + second * 1_000));
    }
}

#[test]
fn rates_are_summed_over_daemons_and_leave_out_what_came_before() {
    let sent = |count: u64| BTreeMap::from([("read".to_owned(), count)]);
    let mut rates = RouteRates::default();
    assert_eq!(rates.rates(), BTreeMap::new());
    for quarter in 0..20_u64 {
        let (first, second) = (sent(1_000 + quarter * 5), sent(quarter * 10));
        let daemons = [(Incarnation(1), &first), (Incarnation(2), &second)];
        // The second daemon is heard of later.
        let heard = if quarter < 2 { 1 } else { 2 };
        rates.on_sent(at(quarter * 250), daemons.into_iter().take(heard));
        if quarter < 4 {
            assert_eq!(rates.rates(), BTreeMap::new());
        }
    }
    assert_eq!(rates.rates(), BTreeMap::from([("read".to_owned(), 60.0)]));
}
