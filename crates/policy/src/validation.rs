//! Validates a change against the configuration that it applies to.
//!
//! The publisher validates a change before it appends it, and every reader validates it again with
//! the same function, so an invalid change has no effect at any reader.

use spindle_types::config::{ConfirmedPlan, RouteSpec, TeamSpec};
use spindle_types::{
    Change, Configuration, Intent, Pool, PoolSpec, Problems, Service, ServiceSpec, Team,
};

/// Validates a change against the configuration that it applies to.
///
/// # Errors
///
/// All problems found, each with the path of the value, what was found and what is allowed.
pub fn check_change(state: &Configuration, change: &Change) -> Result<(), Problems> {
    let mut problems = Problems::new();
    match change {
        Change::PutTeam { team, spec } => check_team(state, team, spec, &mut problems),
        Change::RemoveTeam { team } => {
            check_known("team", team, state.teams.keys(), &mut problems);
        }
        Change::PutPool { pool, spec } => check_pool(state, pool, spec, &mut problems),
        Change::RemovePool { pool } => check_removal(state, pool, &mut problems),
        Change::PutService { service, spec } => check_service(state, service, spec, &mut problems),
        Change::RemoveService { service } => {
            check_known("service", service, state.services.keys(), &mut problems);
        }
        Change::ConfirmPlan { plan } => check_plan(state, plan, &mut problems),
    }
    problems.finish(|| ())
}

fn check_known<'a, K: Eq + std::fmt::Display + 'a>(
    path: &str,
    name: &K,
    known: impl Iterator<Item = &'a K> + Clone,
    problems: &mut Problems,
) {
    if known.clone().any(|other| other == name) {
        return;
    }
    let names: Vec<_> = known.map(ToString::to_string).collect();
    problems.add(path, format!("unknown {name}"), describe_names(&names));
}

fn describe_names(names: &[String]) -> String {
    if names.is_empty() { "none is configured".to_owned() } else { names.join(", ") }
}

fn check_team(state: &Configuration, team: &Team, spec: &TeamSpec, problems: &mut Problems) {
    for key in &spec.keys {
        let owner = state.team_by_key(key).map(|(owner, _)| owner).filter(|owner| *owner != team);
        if let Some(owner) = owner {
            problems.add("spec.keys", format!("a key of team {owner}"), "keys of this team alone");
        }
    }
}

fn check_pool(state: &Configuration, pool: &Pool, spec: &PoolSpec, problems: &mut Problems) {
    if spec.model.is_none() {
        if spec.version.is_some() {
            problems.add("spec.version", "a version without a model", "none");
        }
        if !spec.adapters.is_empty() {
            problems.add("spec.adapters", "adapters without a model", "none");
        }
        return;
    }
    if let Some(service) = service_on(state, pool) {
        let found = format!("a model, while service {service} uses the pool");
        problems.add("spec.model", found, "none");
    }
}

fn service_on<'a>(state: &'a Configuration, pool: &Pool) -> Option<&'a Service> {
    state.services.iter().find(|(_, spec)| spec.pool == *pool).map(|(service, _)| service)
}

fn check_removal(state: &Configuration, pool: &Pool, problems: &mut Problems) {
    check_known("pool", pool, state.pools.keys(), problems);
    if let Some(service) = service_on(state, pool) {
        problems.add("pool", format!("{pool}, which service {service} uses"), "an unused pool");
    }
    let placements = state.plan.iter().flat_map(|plan| &plan.placements);
    if placements.into_iter().any(|placement| placement.pool == *pool) {
        let found = format!("{pool}, which the confirmed plan places");
        problems.add("pool", found, "a pool that the plan does not name");
    }
}

fn check_service(
    state: &Configuration,
    _service: &Service,
    spec: &ServiceSpec,
    problems: &mut Problems,
) {
    check_known("spec.pool", &spec.pool, state.pools.keys(), problems);
    if state.pools.get(&spec.pool).is_some_and(|pool| pool.model.is_some()) {
        let found = format!("{}, whose upstreams are engines", spec.pool);
        problems.add("spec.pool", found, "a pool without a model");
    }
    for (index, route) in spec.routes.iter().enumerate() {
        check_route(index, route, problems);
    }
}

fn check_route(index: usize, route: &RouteSpec, problems: &mut Problems) {
    let upper = route.method.bytes().all(|byte| byte.is_ascii_uppercase());
    if route.method.is_empty() || !upper {
        let path = format!("spec.routes[{index}].method");
        problems.add(path, format!("{:?}", route.method), "an HTTP method in upper case");
    }
    if !route.path.starts_with('/') {
        let path = format!("spec.routes[{index}].path");
        problems.add(path, format!("{:?}", route.path), "a path that starts with '/'");
    }
}

fn check_plan(state: &Configuration, plan: &ConfirmedPlan, problems: &mut Problems) {
    let mut pools = state.pools.clone();
    for (pool, spec) in plan.intent.iter().flat_map(Intent::pools) {
        check_pool(state, &pool, &spec, problems);
        pools.insert(pool, spec);
    }
    for (index, placement) in plan.placements.iter().enumerate() {
        let path = format!("plan.placements[{index}].pool");
        check_known(&path, &placement.pool, pools.keys(), problems);
    }
    if plan.hourly_cost > plan.envelope.hourly_spend {
        let allowed = format!("at most the envelope's {}", plan.envelope.hourly_spend);
        problems.add("plan.hourly_cost", plan.hourly_cost, allowed);
    }
}

#[cfg(test)]
mod tests;
