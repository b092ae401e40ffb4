//! Orders to engines: models, versions, adapters and roles, rolled out without taking a pool below
//! its need.

use super::{Action, InstanceKind, RunningInstance};
use spindle_types::config::Role;
use spindle_types::{
    Adapter, Configuration, Instance, MachineClass, Model, Pool, PoolSpec, Version,
};
use std::collections::{BTreeMap, BTreeSet};

/// What an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// The model.
    pub model: Option<Model>,
    /// The version.
    pub version: Option<Version>,
    /// The adapters.
    pub adapters: BTreeSet<Adapter>,
    /// What it does.
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

/// An order to one engine, stated as the state to reach.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderAction {
    /// The engine's instance.
    pub instance: Instance,
    /// The engine's pool, whose specification is the state to reach.
    pub pool: Pool,
    /// The weights to read first, if the engine lacks them.
    pub weights: Option<(Model, Version)>,
}

/// The orders that are due, those of the pools that lack most first. An engine that serves another
/// version is ordered only while the others carry the pool's need.
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
        let lack = if need > 0.0 { (need - serving) / need } else { 0.0 };
        let mut left = serving;
        let mut due = Vec::new();
        for (instance, state) in states.iter().filter(|(_, state)| !state.is_ready(spec)) {
            let reload = state.model != spec.model || state.version != spec.version;
            if reload && serves(state) {
                if left - rate(&instance.kind) < need {
                    continue;
                }
                left -= rate(&instance.kind);
            }
            due.push(Action::Order(OrderAction {
                instance: instance.instance.clone(),
                pool: pool.clone(),
                weights: reload.then(|| spec.model.clone().zip(spec.version.clone())).flatten(),
            }));
        }
        groups.push((lack, due));
    }
    groups.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    groups.into_iter().flat_map(|(_, due)| due).collect()
}
