//! An operator's intent: what to run, where, with which latency and at what cost.

use crate::config::{Market, PoolSpec};
use crate::id::{DataCentre, MachineClass, Pool};
use crate::problem::Problems;
use crate::unit::{Money, Share, Span};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of data centres with which the system survives the loss of one.
const DATA_CENTRES_MIN: usize = 2;

/// What an operator wants to run, from which a plan is made.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The data centres that may be used. The plan must carry the load after the loss of any one.
    pub data_centres: BTreeSet<DataCentre>,
    /// Maximum spend per hour.
    pub hourly_budget: Money,
    /// Maximum fraction of a pool's instances that may be reclaimable.
    #[serde(default = "default_reclaimable_max")]
    pub reclaimable_max: Share,
    /// Pools of model engines, by name.
    #[serde(default)]
    pub models: BTreeMap<Pool, ModelIntent>,
    /// Pools of plain services, by name.
    #[serde(default)]
    pub services: BTreeMap<Pool, ServiceIntent>,
}

const fn default_reclaimable_max() -> Share {
    Share::from_percent(100)
}

/// The load of a pool of model engines, and what one engine handles on each machine class.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelIntent {
    /// Specification of the pool: model, version, adapters, role and latency target.
    pub spec: PoolSpec,
    /// Peak load.
    pub demand: ModelDemand,
    /// Performance of one engine on each machine class that may be used.
    pub engines: BTreeMap<MachineClass, EngineProfile>,
}

/// The peak load of a model.
#[derive(Clone, Copy, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelDemand {
    /// Requests per second.
    pub requests: f64,
    /// Mean number of uncached tokens in a prompt.
    pub prompt_tokens: u32,
    /// Mean number of tokens in an answer.
    pub answer_tokens: u32,
}

/// The performance of one engine.
#[derive(Clone, Copy, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineProfile {
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Duration of one decoding step with an empty batch.
    pub step_base: Span,
    /// Additional duration of a step for each running generation.
    pub step_slope: Span,
    /// Maximum number of concurrent generations.
    pub slots: u32,
}

/// The load of a pool of plain services, and what one upstream handles on each machine class.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceIntent {
    /// Specification of the pool.
    #[serde(default)]
    pub spec: PoolSpec,
    /// Peak load in calls per second.
    pub calls: f64,
    /// Calls per second that one upstream handles, by machine class.
    pub machines: BTreeMap<MachineClass, f64>,
}

impl Intent {
    /// Checks the rules that the schema can't express, and returns all violations.
    pub fn check(&self) -> Problems {
        let mut problems = Problems::new();
        if self.data_centres.len() < DATA_CENTRES_MIN {
            let found = format!("{} data centres", self.data_centres.len());
            problems.add("data_centres", found, "at least 2, so that one may be lost");
        }
        if self.hourly_budget <= Money(0) {
            problems.add("hourly_budget", self.hourly_budget, "more than 0");
        }
        if self.models.is_empty() && self.services.is_empty() {
            problems.add("models", "no model and no service", "at least one of either");
        }
        for (pool, model) in &self.models {
            model.check(&format!("models.{pool}"), &mut problems);
        }
        for (pool, service) in &self.services {
            service.check(&format!("services.{pool}"), &mut problems);
            if self.models.contains_key(pool) {
                problems.add(
                    format!("services.{pool}"),
                    "also a model's pool",
                    "a name of its own",
                );
            }
        }
        problems
    }

    /// The specifications of all pools, of models and plain services.
    pub fn pools(&self) -> BTreeMap<Pool, PoolSpec> {
        let models = self.models.iter().map(|(pool, model)| (pool.clone(), model.spec.clone()));
        let services =
            self.services.iter().map(|(pool, service)| (pool.clone(), service.spec.clone()));
        models.chain(services).collect()
    }

    /// The machine classes that any pool may use.
    pub fn classes(&self) -> BTreeSet<MachineClass> {
        let engines = self.models.values().flat_map(|model| model.engines.keys());
        let machines = self.services.values().flat_map(|service| service.machines.keys());
        engines.chain(machines).cloned().collect()
    }
}

impl ModelIntent {
    fn check(&self, path: &str, problems: &mut Problems) {
        if self.spec.model.is_none() {
            problems.add(format!("{path}.spec.model"), "missing", "the name of a model");
        }
        check_rate(&format!("{path}.demand.requests"), self.demand.requests, problems);
        if self.demand.answer_tokens == 0 {
            problems.add(format!("{path}.demand.answer_tokens"), 0, "at least 1");
        }
        if self.engines.is_empty() {
            problems.add(format!("{path}.engines"), "none", "at least one machine class");
        }
        for (class, profile) in &self.engines {
            let path = format!("{path}.engines.{class}");
            check_rate(&format!("{path}.prefill_rate"), profile.prefill_rate, problems);
            if profile.slots == 0 {
                problems.add(format!("{path}.slots"), 0, "at least 1");
            }
            if profile.step_base == Span::default() {
                problems.add(format!("{path}.step_base"), profile.step_base, "more than 0s");
            }
        }
    }
}

impl ServiceIntent {
    fn check(&self, path: &str, problems: &mut Problems) {
        if let Some(model) = &self.spec.model {
            problems.add(format!("{path}.spec.model"), model, "no model in a plain service");
        }
        check_rate(&format!("{path}.calls"), self.calls, problems);
        if self.machines.is_empty() {
            problems.add(format!("{path}.machines"), "none", "at least one machine class");
        }
        for (class, rate) in &self.machines {
            check_rate(&format!("{path}.machines.{class}"), *rate, problems);
        }
    }
}

fn check_rate(path: &str, rate: f64, problems: &mut Problems) {
    const RATE_MAX: f64 = 1e9;
    if !(rate > 0.0 && rate <= RATE_MAX) {
        problems.add(path, rate, "more than 0 a second, and at most 1e9");
    }
}

/// A kind of instance that the cloud sells, with its price.
#[derive(Clone, Debug, Eq, JsonSchema, PartialEq, Serialize, Deserialize)]
pub struct PricedOffer {
    /// Data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// Machine class of the instance.
    pub class: MachineClass,
    /// Whether it is reclaimable or on demand.
    pub market: Market,
    /// Price per hour.
    pub hourly_price: Money,
    /// Number of instances available, if the cloud states it.
    pub available: Option<u32>,
}

#[cfg(test)]
mod tests;
