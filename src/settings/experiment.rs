//! Settings of an experiment: load, faults and the strategies that are compared.

use super::TrafficSettings;
use crate::deployment::Example;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_policy::routing::Strategy;
use spindle_standin::EngineModel;
use spindle_types::{Money, Problems, Span};
use std::collections::BTreeMap;

/// The data centres of an example.
const DATA_CENTRES: usize = 4;

/// One experiment.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentSettings {
    /// What it shows.
    pub title: String,
    /// Arrivals a second by deployment; each deployment is run on its own.
    pub rates: BTreeMap<Example, f64>,
    /// The load; the deployment and the rate come from `rates`.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// Daemons.
    #[serde(default = "daemons_default")]
    pub daemons: usize,
    /// The engines' service times.
    #[serde(default)]
    pub engine: EngineSettings,
    /// The strategies that are compared.
    #[serde(default = "strategies_default")]
    pub strategies: Vec<Strategy>,
    /// The price an hour of an instance by data centre, in the order of the example's.
    #[serde(default)]
    pub prices: Vec<Money>,
    /// What goes wrong, and when.
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
    /// Checks what the schema can't express.
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

/// The service times of an experiment's engines; what is not given is as in `EngineModel`.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// The time of one step with an empty batch.
    pub step_base: Span,
    /// The time that each decoding generation adds to a step.
    pub step_slope: Span,
    /// Generations that run at once.
    pub slots: u32,
    /// Generations that wait for a slot.
    pub queue: u32,
    /// Blocks of prompt prefixes that are cached.
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

/// One fault of an experiment.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// When it happens, from the start of the load.
    pub at: Span,
    /// What happens.
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

/// What can go wrong.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Every upstream of a data centre is taken back after a notice.
    Reclaim {
        /// The data centre, by its place in the example.
        data_centre: usize,
        /// The time between notice and stop.
        notice: Span,
    },
    /// The upstreams that the example places in a data centre are started again.
    Refill {
        /// The data centre, by its place in the example.
        data_centre: usize,
    },
    /// Every upstream of a data centre stops without notice.
    Loss {
        /// The data centre, by its place in the example.
        data_centre: usize,
    },
    /// The log service refuses everything for a while.
    LogOutage {
        /// For how long.
        lasting: Span,
    },
    /// The instance list refuses everything for a while.
    ListOutage {
        /// For how long.
        lasting: Span,
    },
    /// Every daemon is replaced, one after the other: a new one starts, then the old one stops.
    ReplaceDaemons,
    /// The price of a data centre changes.
    Price {
        /// The data centre, by its place in the example.
        data_centre: usize,
        /// The new price an hour.
        price: Money,
    },
    /// Configuration changes are published.
    Changes {
        /// How many.
        count: u32,
        /// The time between two.
        every: Span,
    },
}
