use super::*;
use spindle_policy::rollout::{OrderRevision, RolloutOrder, StepReason, TrialPhase};
use spindle_types::Offset;
use std::time::Duration;

fn centre() -> DataCentre {
    "a".try_into().unwrap()
}

fn step(stage: Stage) -> RolloutStep {
    RolloutStep {
        order: RolloutOrder {
            service: "desk".try_into().unwrap(),
            target: "v2".try_into().unwrap(),
            duration: Duration::from_secs(12),
            revision: OrderRevision { era: 0, offset: Offset(7) },
        },
        stage,
        sequence: 2,
        first_sequence: 1,
        deadline_utc_ms: 0,
        shares: BTreeMap::new(),
        default_share: 0.0,
        phase: TrialPhase::Spread,
        upstreams: 4,
        base: None,
        reason: StepReason::Ordered,
    }
}

/// The count that is sent when `wanted` reclaimable instances are to serve, beside `old` ones and
/// those of the target.
fn sent(step: Option<&RolloutStep>, (old, target): (u32, u32), wanted: u32) -> Option<u32> {
    let count = |counts_target: bool| {
        let reclaimable = if counts_target { target } else { old };
        BTreeMap::from([(centre(), InstanceCounts { on_demand: 0, reclaimable })])
    };
    let stock = ServiceStock::under(step, count);
    let order = CapacityOrder { data_centre: centre(), reclaimable: true, count: wanted };
    stock.count_to_order(&order)
}

#[test]
fn orders_are_sent_as_planned_without_a_rollout() {
    assert_eq!(sent(None, (8, 0), 3), Some(3));
    assert_eq!(sent(None, (8, 0), 12), Some(12));
}

/// Guards against an order that stops instances of either version during a rollout.
#[test]
fn no_order_lowers_the_number_during_a_rollout() {
    for stage in [Stage::Trial, Stage::Switch, Stage::Completed, Stage::RolledBack] {
        for wanted in 0..=8 {
            assert_eq!(sent(Some(&step(stage)), (8, 8), wanted), None, "{stage} {wanted}");
        }
    }
}

#[test]
fn orders_that_raise_the_number_count_both_versions() {
    assert_eq!(sent(Some(&step(Stage::Trial)), (8, 8), 10), Some(18));
    // The target's instances start beside the old ones and haven't registered yet.
    assert_eq!(sent(Some(&step(Stage::Trial)), (8, 0), 10), Some(18));
    assert_eq!(sent(Some(&step(Stage::Switch)), (8, 9), 10), Some(18));
    assert_eq!(sent(Some(&step(Stage::RolledBack)), (8, 2), 10), Some(12));
}
