//! Reports the hourly spend by pool, data centre, market and team, compared with the confirmed plan
//! and the teams' budgets.

use crate::burn::TeamModelCounts;
use crate::plan::instance_rates;
use crate::reconcile::{InstanceKind, hourly_spend};
use serde::{Deserialize, Serialize};
use spindle_types::config::Market;
use spindle_types::{
    Configuration, DataCentre, MachineClass, Model, Money, Pool, PricedOffer, Team, Tokens,
    UtcInstant,
};
use std::collections::BTreeMap;
use strum::{Display, IntoStaticStr};

const HOUR_SECS: f64 = 3_600.0;

/// The fraction of its budget below which a team that exceeded the budget counts as within it
/// again. The hysteresis prevents frequent changes.
const WITHIN_FRACTION: f64 = 0.9;

/// The input of a cost report.
#[derive(Clone, Copy, Debug)]
pub struct CostInput<'a> {
    /// The configuration in force.
    pub config: &'a Configuration,
    /// The kinds of the running instances, one entry per instance.
    pub running: &'a [InstanceKind],
    /// The current prices.
    pub offers: &'a [PricedOffer],
    /// The teams' usage in the last hour.
    pub cells: &'a [TeamModelCounts],
}

/// The hourly spend on one kind of instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CostRow {
    /// The pool that the instances serve.
    pub pool: Pool,
    /// The data centre in which they run.
    pub data_centre: DataCentre,
    /// Their machine class.
    pub class: MachineClass,
    /// Whether they are bought on demand or may be reclaimed.
    pub market: Market,
    /// The number of instances in the plan.
    pub planned: u32,
    /// The number of running instances.
    pub running: u32,
    /// The hourly cost of the running instances at current prices. `None` if a price is unknown.
    pub hourly_spend: Option<Money>,
}

/// Whether a team is within its budget.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum BudgetStatus {
    /// The team is within its budget or has none.
    Within,
    /// The team has exceeded its budget in the last hour.
    Over,
}

/// The cost of one team's requests for one model in the last hour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamCost {
    /// The team that sent the requests.
    pub team: Team,
    /// The model that was requested.
    pub model: Model,
    /// Generated tokens.
    pub tokens: Tokens,
    /// Tokens computed again after the loss of an upstream.
    pub recomputed: Tokens,
    /// The cost of all these tokens at the price per token of the model's pools under full load.
    pub hourly_spend: Money,
}

/// A report of the hourly spend.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CostReport {
    /// When the report was made.
    pub at: UtcInstant,
    /// The spend by kind of instance.
    pub rows: Vec<CostRow>,
    /// The cost by team and model.
    pub teams: Vec<TeamCost>,
    /// The hourly budget of each team that has one.
    pub budgets: BTreeMap<Team, Money>,
    /// The hourly cost of the confirmed plan.
    pub planned: Option<Money>,
    /// The largest hourly spend that the plan's envelope permits.
    pub limit: Option<Money>,
    /// The hourly spend on all running instances. `None` if a price is unknown.
    pub spend: Option<Money>,
}

/// Reports the hourly spend at current prices.
pub fn cost_report(now: UtcInstant, input: &CostInput<'_>) -> CostReport {
    let plan = input.config.plan.as_ref();
    let teams = input.config.teams.iter();
    CostReport {
        at: now,
        rows: rows(input),
        teams: team_costs(input),
        budgets: teams.filter_map(|(t, spec)| Some((t.clone(), spec.hourly_budget?))).collect(),
        planned: plan.map(|plan| plan.hourly_cost),
        limit: plan.map(|plan| plan.envelope.hourly_spend),
        spend: hourly_spend(input.running, input.offers),
    }
}

impl CostReport {
    /// The spend of a team in the last hour over all models.
    pub fn team_spend(&self, team: &Team) -> Money {
        self.teams.iter().filter(|cost| cost.team == *team).map(|cost| cost.hourly_spend).sum()
    }

    /// Whether a team is within its budget, given its previous status.
    pub fn budget_status(&self, team: &Team, before: BudgetStatus) -> BudgetStatus {
        let Some(budget) = self.budgets.get(team) else {
            return BudgetStatus::Within;
        };
        let fraction = match before {
            BudgetStatus::Within => 1.0,
            BudgetStatus::Over => WITHIN_FRACTION,
        };
        let limit = budget.units() * fraction;
        if self.team_spend(team).units() > limit {
            BudgetStatus::Over
        } else {
            BudgetStatus::Within
        }
    }
}

fn rows(input: &CostInput<'_>) -> Vec<CostRow> {
    let mut counts: BTreeMap<InstanceKind, (u32, u32)> = BTreeMap::new();
    let placements = input.config.plan.iter().flat_map(|plan| &plan.placements);
    for placement in placements {
        counts.entry(InstanceKind::from(placement)).or_default().0 += placement.count;
    }
    for kind in input.running {
        counts.entry(kind.clone()).or_default().1 += 1;
    }
    let row = |(kind, (planned, running)): (InstanceKind, (u32, u32))| CostRow {
        hourly_spend: hourly_spend([&kind], input.offers).map(|price| price.times(running)),
        pool: kind.pool,
        data_centre: kind.data_centre,
        class: kind.class,
        market: kind.market,
        planned,
        running,
    };
    counts.into_iter().map(row).collect()
}

fn team_costs(input: &CostInput<'_>) -> Vec<TeamCost> {
    let prices = token_prices(input);
    let cost = |cell: &TeamModelCounts| {
        let computed = cell.counts.tokens + cell.counts.recomputed;
        let price = prices.get(&cell.model).copied().unwrap_or(0.0);
        TeamCost {
            team: cell.team.clone(),
            model: cell.model.clone(),
            tokens: cell.counts.tokens,
            recomputed: cell.counts.recomputed,
            hourly_spend: Money::from_units(computed.0 as f64 * price),
        }
    };
    input.cells.iter().map(cost).collect()
}

/// The price per token of each model: the spend of its pools divided by the tokens that they
/// generate under full load. The cost of idle capacity is thus not charged to any team.
fn token_prices(input: &CostInput<'_>) -> BTreeMap<Model, f64> {
    let Some(intent) = input.config.plan.as_ref().and_then(|plan| plan.intent.as_ref()) else {
        return BTreeMap::new();
    };
    let mut totals: BTreeMap<Model, (f64, f64)> = BTreeMap::new();
    for (pool, wanted) in &intent.models {
        let Some(model) = &wanted.spec.model else { continue };
        let rates = instance_rates(intent, pool);
        for kind in input.running.iter().filter(|kind| kind.pool == *pool) {
            let price = hourly_spend([kind], input.offers).map_or(0.0, Money::units);
            let requests = rates.get(&kind.class).copied().unwrap_or(0.0) * HOUR_SECS;
            let (spend, tokens) = totals.entry(model.clone()).or_default();
            *spend += price;
            *tokens += requests * f64::from(wanted.demand.answer_tokens);
        }
    }
    let known = totals.into_iter().filter(|(_, (_, tokens))| *tokens > 0.0);
    known.map(|(model, (spend, tokens))| (model, spend / tokens)).collect()
}

#[cfg(test)]
mod tests;
