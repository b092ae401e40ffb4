//! The instances of a service as the leader counts them for orders, also while a rollout runs beside
//! which the platform starts a second set of instances.

use super::leader::Parts;
use spindle_policy::fleet::{CapacityOrder, InstanceCounts};
use spindle_policy::rollout::{RolloutStep, Stage};
use spindle_types::{DataCentre, MonotonicInstant, Service};
use std::collections::BTreeMap;

/// The instances of a service by data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct ServiceStock {
    /// Those that serve new requests.
    pub(super) serving: BTreeMap<DataCentre, InstanceCounts>,
    /// Those of the other version of a rollout; none if no rollout runs.
    others: Option<BTreeMap<DataCentre, InstanceCounts>>,
}

impl ServiceStock {
    /// Counts the instances that `parts` knows.
    pub(super) fn new(parts: &Parts, now: MonotonicInstant, service: &Service) -> Self {
        let step = parts.rollouts.recent_step(now, service);
        Self::under(step.as_ref(), |counts_target| {
            parts.balancer.instance_counts(service, |version| {
                let is_target =
                    step.as_ref().is_some_and(|step| version == Some(&step.order.target));
                is_target == counts_target
            })
        })
    }

    /// Counts the instances under a step, given those that run its target or don't.
    fn under(
        step: Option<&RolloutStep>,
        count: impl Fn(bool) -> BTreeMap<DataCentre, InstanceCounts>,
    ) -> Self {
        let Some(step) = step else { return Self { serving: count(false), others: None } };
        let serves_target = matches!(step.stage, Stage::Switch | Stage::Completed);
        let (serving, mut others) = (count(serves_target), count(!serves_target));
        if step.stage == Stage::Trial {
            // The platform starts as many instances of the target as there are old ones. Those that
            // haven't registered yet count too, or an order would stop them.
            for (data_centre, old) in &serving {
                let target = others.entry(data_centre.clone()).or_default();
                target.on_demand = target.on_demand.max(old.on_demand);
                target.reclaimable = target.reclaimable.max(old.reclaimable);
            }
        }
        Self { serving, others: Some(others) }
    }

    /// The number to order so that as many instances serve as `order` says; none if no order may be
    /// sent, as it would lower the number while a rollout runs.
    pub(super) fn count_to_order(&self, order: &CapacityOrder) -> Option<u32> {
        let Some(others) = &self.others else { return Some(order.count) };
        let of = |counts: &BTreeMap<DataCentre, InstanceCounts>| {
            let counts = counts.get(&order.data_centre).copied().unwrap_or_default();
            if order.reclaimable { counts.reclaimable } else { counts.on_demand }
        };
        (order.count > of(&self.serving)).then(|| order.count + of(others))
    }
}

#[cfg(test)]
mod tests;
