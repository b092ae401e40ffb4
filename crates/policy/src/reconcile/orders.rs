//! Orders to engines to load models, versions, adapters and roles. A rollout never takes a pool
//! below the capacity that it needs.

use super::{Action, InstanceKind, RunningInstance};
use spindle_types::config::Role;
use spindle_types::{
    Adapter, Configuration, Instance, MachineClass, Model, Pool, PoolSpec, Version,
};
use std::collections::{BTreeMap, BTreeSet};

/// Model, adapters and role that an engine reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// The loaded model, if any.
    pub model: Option<Model>,
    /// The version of the model weights.
    pub version: Option<Version>,
    /// The loaded adapters.
    pub adapters: BTreeSet<Adapter>,
    /// Whether the engine prefills, decodes, or does both.
    pub role: Role,
}

impl EngineState {
    fn is_ready(&self, spec: &PoolSpec) -> bool {
        self.model == spec.model
            && self.version == spec.version
            && self.adapters == spec.adapters
            && self.role == spec.role
    }
}

/// An order to one engine. It states the state to reach, so it can be repeated safely.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderAction {
    /// The instance of the engine.
    pub instance: Instance,
    /// The pool of the engine; its specification is the state to reach.
    pub pool: Pool,
    /// Weights that the engine has to load first, if it lacks them.
    pub weights: Option<(Model, Version)>,
}

/// Orders that are due. Pools that lack the largest fraction of their need come first. An engine
/// that serves the model in another version is reloaded only if the remaining engines cover the
/// need of the pool.
pub(super) fn orders(
    config: &Configuration,
    needs: &BTreeMap<Pool, f64>,
    rates: &BTreeMap<Pool, BTreeMap<MachineClass, f64>>,
    running: &[RunningInstance],
) -> Vec<Action> {
    let rate = |kind: &InstanceKind| {
        rates.get(&kind.pool).and_then(|rates| rates.get(&kind.class)).copied().unwrap_or(0.0)
    };
    let mut groups = Vec::new();
    for (pool, spec) in config.pools.iter().filter(|(_, spec)| spec.model.is_some()) {
        let engines = running.iter().filter(|r| r.kind.pool == *pool && !r.leaving);
        let states: Vec<_> = engines.filter_map(|r| Some((r, r.engine.as_ref()?))).collect();
        let need = needs.get(pool).copied().unwrap_or(0.0);
        let serves = |state: &EngineState| state.model == spec.model;
        let serving: f64 =
            states.iter().filter(|(_, state)| serves(state)).map(|(r, _)| rate(&r.kind)).sum();
        let deficit = if need > 0.0 { (need - serving) / need } else { 0.0 };
        let mut remaining = serving;
        let mut due = Vec::new();
        for (instance, state) in states.iter().filter(|(_, state)| !state.is_ready(spec)) {
            let reload = state.model != spec.model || state.version != spec.version;
            if reload && serves(state) {
                if remaining - rate(&instance.kind) < need {
                    continue;
                }
                remaining -= rate(&instance.kind);
            }
            due.push(Action::Order(OrderAction {
                instance: instance.instance.clone(),
                pool: pool.clone(),
                weights: reload.then(|| spec.model.clone().zip(spec.version.clone())).flatten(),
            }));
        }
        groups.push((deficit, due));
    }
    groups.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    groups.into_iter().flat_map(|(_, due)| due).collect()
}
