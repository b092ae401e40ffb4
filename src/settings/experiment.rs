//! Settings of an experiment: the load, the faults, and the strategies to compare.

use super::TrafficSettings;
use crate::deployment::Example;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_policy::routing::Strategy;
use spindle_standin::EngineModel;
use spindle_types::{Money, Problems, Span};
use std::collections::BTreeMap;

/// The number of data centres of an example deployment.
const DATA_CENTRES: usize = 4;

/// An experiment, which runs the same load and faults with each strategy.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentSettings {
    /// The title under which the results are printed.
    pub title: String,
    /// Arrivals per second by example deployment. Each deployment is run separately.
    pub rates: BTreeMap<Example, f64>,
    /// The load. Its deployment and rate are replaced by those of `rates`.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// The number of daemons.
    #[serde(default = "daemons_default")]
    pub daemons: usize,
    /// The service times of the engines.
    #[serde(default)]
    pub engine: EngineSettings,
    /// The strategies to compare.
    #[serde(default = "strategies_default")]
    pub strategies: Vec<Strategy>,
    /// The hourly price of an instance by data centre, in the order of the example's data centres.
    #[serde(default)]
    pub prices: Vec<Money>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<FaultSettings>,
}

const fn daemons_default() -> usize {
    4
}

fn strategies_default() -> Vec<Strategy> {
    vec![Strategy::default()]
}

impl ExperimentSettings {
    /// Checks the rules that the JSON schema can't express.
    pub fn check(&self) -> Problems {
        let mut problems = Problems::new();
        self.traffic.check(&mut problems);
        if self.rates.is_empty() || self.strategies.is_empty() {
            problems.add("rates, strategies", "none", "at least one of each");
        }
        if !(1..=64).contains(&self.daemons) {
            problems.add("daemons", self.daemons, "1 to 64");
        }
        if !self.prices.is_empty() && self.prices.len() != DATA_CENTRES {
            problems.add("prices", self.prices.len(), "one for each of the 4 data centres");
        }
        for (index, fault) in self.faults.iter().enumerate() {
            fault.check(&format!("faults[{index}]"), &mut problems);
        }
        problems
    }
}

/// The service times of an experiment's engines. Defaults are those of `EngineModel`.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Duration of a decoding step with an empty batch.
    pub step_base: Span,
    /// Time that each generation in the batch adds to a decoding step.
    pub step_slope: Span,
    /// Maximum number of generations that run concurrently.
    pub slots: u32,
    /// Maximum number of generations that wait for a slot.
    pub queue: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: u32,
}

impl Default for EngineSettings {
    fn default() -> Self {
        let model = EngineModel::DEFAULT;
        Self {
            prefill_rate: model.prefill_rate,
            step_base: Span(model.step_base),
            step_slope: Span(model.step_slope),
            slots: model.slots,
            queue: model.queue,
            cache_blocks: model.cache_blocks,
        }
    }
}

impl EngineSettings {
    /// The parameters of the service-time model.
    pub const fn model(&self) -> EngineModel {
        EngineModel {
            prefill_rate: self.prefill_rate,
            step_base: self.step_base.get(),
            step_slope: self.step_slope.get(),
            slots: self.slots,
            queue: self.queue,
            cache_blocks: self.cache_blocks,
            ..EngineModel::DEFAULT
        }
    }
}

/// A fault that is injected during an experiment.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// When the fault is injected, counted from the start of the load.
    pub at: Span,
    /// The fault.
    pub fault: Fault,
}

impl FaultSettings {
    fn check(&self, path: &str, problems: &mut Problems) {
        let index = match &self.fault {
            Fault::Reclaim { data_centre, .. }
            | Fault::Loss { data_centre }
            | Fault::Refill { data_centre }
            | Fault::Price { data_centre, .. } => *data_centre,
            _ => 0,
        };
        if index >= DATA_CENTRES {
            problems.add(format!("{path}.fault.data_centre"), index, "0 to 3");
        }
    }
}

/// Faults and other events that an experiment can inject.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Every upstream of a data centre is reclaimed after a notice.
    Reclaim {
        /// The index of the data centre in the example deployment.
        data_centre: usize,
        /// The time between the notice and the stop.
        notice: Span,
    },
    /// The upstreams that the example deployment has in a data centre are started again.
    Refill {
        /// The index of the data centre in the example deployment.
        data_centre: usize,
    },
    /// Every upstream of a data centre stops without notice.
    Loss {
        /// The index of the data centre in the example deployment.
        data_centre: usize,
    },
    /// The log service refuses every request.
    LogOutage {
        /// The duration of the outage.
        lasting: Span,
    },
    /// The instance list refuses every request.
    ListOutage {
        /// The duration of the outage.
        lasting: Span,
    },
    /// The daemons are replaced one at a time: a new one starts, then the old one stops.
    ReplaceDaemons,
    /// The instance prices of a data centre change.
    Price {
        /// The index of the data centre in the example deployment.
        data_centre: usize,
        /// The new hourly price.
        price: Money,
    },
    /// Configuration changes are published.
    Changes {
        /// The number of changes.
        count: u32,
        /// The time between two changes.
        every: Span,
    },
}
