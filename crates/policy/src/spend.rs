//! What is spent an hour, by pool, data centre, market and team, against the confirmed plan and the
//! teams' budgets.

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

/// Seconds of an hour.
const HOUR_SECS: f64 = 3_600.0;

/// The share of its budget below which a team that was over it is within it again.
const WITHIN_SHARE: f64 = 0.9;

/// What a cost report is made from.
#[derive(Clone, Copy, Debug)]
pub struct CostInput<'a> {
    /// The configuration in force.
    pub config: &'a Configuration,
    /// What runs, one entry an instance.
    pub running: &'a [InstanceKind],
    /// Present prices.
    pub offers: &'a [PricedOffer],
    /// What the teams used in the last hour.
    pub cells: &'a [TeamModelCounts],
}

/// The spend of one kind of instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CostRow {
    /// The pool.
    pub pool: Pool,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The machine class.
    pub class: MachineClass,
    /// How the instances are bought.
    pub market: Market,
    /// Instances that the plan wants.
    pub planned: u32,
    /// Instances that run.
    pub running: u32,
    /// What those cost an hour at present prices; none if the price is not known.
    pub hourly_spend: Option<Money>,
}

/// Whether a team is within its budget.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum BudgetStatus {
    /// It is within it, or has none.
    Within,
    /// It has spent more in the last hour.
    Over,
}

/// What one team's requests for one model cost in the last hour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamCost {
    /// The team.
    pub team: Team,
    /// The model.
    pub model: Model,
    /// Tokens generated.
    pub tokens: Tokens,
    /// Tokens computed again.
    pub recomputed: Tokens,
    /// The tokens at the price that the model's pools have at their full rate.
    pub hourly_spend: Money,
}

/// The spend of an hour.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CostReport {
    /// When it was made.
    pub at: UtcInstant,
    /// By kind of instance.
    pub rows: Vec<CostRow>,
    /// By team and model.
    pub teams: Vec<TeamCost>,
    /// The budget of each team that has one.
    pub budgets: BTreeMap<Team, Money>,
    /// The cost that was confirmed.
    pub planned: Option<Money>,
    /// The most that may be spent.
    pub limit: Option<Money>,
    /// What is spent; none if a price is not known.
    pub spend: Option<Money>,
}

/// What is spent an hour at present prices.
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
    /// What a team spent in the last hour, over all models.
    pub fn team_spend(&self, team: &Team) -> Money {
        self.teams.iter().filter(|cost| cost.team == *team).map(|cost| cost.hourly_spend).sum()
    }

    /// Whether a team is within its budget, given whether it was before.
    pub fn budget_status(&self, team: &Team, before: BudgetStatus) -> BudgetStatus {
        let Some(budget) = self.budgets.get(team) else {
            return BudgetStatus::Within;
        };
        let share = match before {
            BudgetStatus::Within => 1.0,
            BudgetStatus::Over => WITHIN_SHARE,
        };
        let limit = budget.units() * share;
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

/// The price of a token of each model: the spend of its pools over what they generate at full rate.
/// Idle capacity is nobody's.
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
