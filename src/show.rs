//! Formats plans, costs and the status as text for operators.

use spindle_operator::{PlanSummary, PlanView, StatusView};
use spindle_policy::plan::{PlacementChange, PoolForecast, PricedPlacement};
use spindle_policy::proposal::Author;
use spindle_policy::spend::{BudgetStatus, CostReport, CostRow, TeamCost};
use spindle_types::Money;
use std::fmt::Write;
use tabled::settings::Style;
use tabled::{Table, Tabled};

/// The number of digits of a digest that are shown in lists.
const SHORT_DIGEST: usize = 12;

#[derive(Tabled)]
struct PlacementRow {
    pool: String,
    #[tabled(rename = "data centre")]
    data_centre: String,
    class: String,
    market: String,
    count: u32,
    #[tabled(rename = "price/h")]
    price: String,
}

impl From<&PricedPlacement> for PlacementRow {
    fn from(priced: &PricedPlacement) -> Self {
        let placement = &priced.placement;
        Self {
            pool: placement.pool.to_string(),
            data_centre: placement.data_centre.to_string(),
            class: placement.class.to_string(),
            market: placement.market.to_string(),
            count: placement.count,
            price: priced.hourly_price.to_string(),
        }
    }
}

#[derive(Tabled)]
struct ForecastRow {
    pool: String,
    need: String,
    capacity: String,
    attainment: String,
    #[tabled(rename = "worst loss")]
    worst_loss: String,
    #[tabled(rename = "capacity left")]
    capacity_left: String,
    #[tabled(rename = "attainment left")]
    attainment_left: String,
}

impl From<&PoolForecast> for ForecastRow {
    fn from(forecast: &PoolForecast) -> Self {
        let percent = |share: spindle_types::Share| format!("{:.2}%", share.get() * 100.0);
        Self {
            pool: forecast.pool.to_string(),
            need: format!("{:.1}/s", forecast.need),
            capacity: format!("{:.1}/s", forecast.capacity),
            attainment: percent(forecast.attainment),
            worst_loss: forecast.worst_loss.to_string(),
            capacity_left: format!("{:.1}/s", forecast.capacity_left),
            attainment_left: percent(forecast.attainment_left),
        }
    }
}

#[derive(Tabled)]
struct SummaryRow {
    plan: String,
    state: String,
    made: String,
    #[tabled(rename = "cost/h")]
    cost: String,
    author: String,
}

impl From<&PlanSummary> for SummaryRow {
    fn from(summary: &PlanSummary) -> Self {
        Self {
            plan: short_digest(&summary.digest).to_owned(),
            state: summary.state.to_string(),
            made: summary.made_at.to_string(),
            cost: summary.hourly_cost.to_string(),
            author: author(&summary.author),
        }
    }
}

#[derive(Tabled)]
struct InstanceCostRow {
    pool: String,
    #[tabled(rename = "data centre")]
    data_centre: String,
    class: String,
    market: String,
    planned: u32,
    running: u32,
    #[tabled(rename = "spend/h")]
    spend: String,
}

impl From<&CostRow> for InstanceCostRow {
    fn from(row: &CostRow) -> Self {
        Self {
            pool: row.pool.to_string(),
            data_centre: row.data_centre.to_string(),
            class: row.class.to_string(),
            market: row.market.to_string(),
            planned: row.planned,
            running: row.running,
            spend: amount(row.hourly_spend),
        }
    }
}

#[derive(Tabled)]
struct TeamCostRow {
    team: String,
    model: String,
    tokens: u64,
    recomputed: u64,
    #[tabled(rename = "spend/h")]
    spend: String,
    #[tabled(rename = "budget/h")]
    budget: String,
    standing: String,
}

impl TeamCostRow {
    fn new(report: &CostReport, cost: &TeamCost) -> Self {
        Self {
            team: cost.team.to_string(),
            model: cost.model.to_string(),
            tokens: cost.tokens.0,
            recomputed: cost.recomputed.0,
            spend: cost.hourly_spend.to_string(),
            budget: amount(report.budgets.get(&cost.team).copied()),
            standing: report.budget_status(&cost.team, BudgetStatus::Within).to_string(),
        }
    }
}

/// Formats the report on spend: totals, then tables by kind of instance and by team.
pub(crate) fn cost(report: &CostReport) -> String {
    let mut text = format!(
        "spend {} an hour; confirmed {}, at most {}\n",
        amount(report.spend),
        amount(report.planned),
        amount(report.limit)
    );
    add_line(&mut text, &table(report.rows.iter().map(InstanceCostRow::from)));
    add_line(&mut text, &table(report.teams.iter().map(|cost| TeamCostRow::new(report, cost))));
    text
}

/// Formats an amount of money, or `-` if it is unknown.
fn amount(money: Option<Money>) -> String {
    money.map_or_else(|| "-".to_owned(), |money| money.to_string())
}

/// Formats a plan with its cost, the forecasts for its pools, its envelope and the changes against
/// the plan in force.
pub(crate) fn plan(view: &PlanView) -> String {
    let plan = &view.plan;
    let mut text = format!("plan {} ({}, by {})\n", view.digest, view.state, author(&view.author));
    add_line(&mut text, &table(plan.placements.iter().map(PlacementRow::from)));
    add_line(&mut text, &table(plan.pools.iter().map(ForecastRow::from)));
    let cost = plan.cost;
    add_line(
        &mut text,
        &format!(
            "cost an hour: {} expected; {} with nothing reclaimed, {} in 95 of 100 hours",
            cost.expected, cost.quiet, cost.high
        ),
    );
    let envelope = &plan.envelope;
    let on_demand = if envelope.on_demand { "allowed" } else { "not allowed" };
    add_line(
        &mut text,
        &format!(
            "envelope: at most {} an hour; replacements in {}; on {}; on demand {on_demand}",
            envelope.hourly_spend,
            comma_separated(&envelope.data_centres),
            comma_separated(&envelope.classes),
        ),
    );
    match plan.differences.as_slice() {
        [] => add_line(&mut text, "changes nothing"),
        differences => differences.iter().for_each(|d| add_line(&mut text, &change(d))),
    }
    text
}

fn change(change: &PlacementChange) -> String {
    let placement = &change.placement;
    format!(
        "change: {} in {} on {} ({}): {} -> {}",
        placement.pool,
        placement.data_centre,
        placement.class,
        placement.market,
        change.before,
        placement.count
    )
}

/// Formats a table with one row per plan.
pub(crate) fn plans(summaries: &[PlanSummary]) -> String {
    table(summaries.iter().map(SummaryRow::from))
}

/// Formats the status: the revision and plan in force, the running instances and the open plans.
pub(crate) fn status(status: &StatusView) -> String {
    let mut text = format!(
        "revision {} at {} of {} daemons\n",
        status.revision, status.daemons_current, status.daemons
    );
    match (&status.plan, &status.operator, status.hourly_cost, status.hourly_limit) {
        (Some(plan), Some(operator), Some(cost), Some(limit)) => add_line(
            &mut text,
            &format!(
                "plan {} confirmed by {operator}: {cost} an hour, at most {limit}",
                short_digest(plan)
            ),
        ),
        _ => add_line(&mut text, "no plan is in force"),
    }
    add_line(&mut text, &format!("instances: {} of {} wanted", status.running, status.wanted));
    add_line(&mut text, &format!("spend: {} an hour", status.hourly_spend));
    for plan in &status.open_plans {
        add_line(&mut text, &format!("plan {} waits for a confirmation", short_digest(plan)));
    }
    text
}

fn author(author: &Author) -> String {
    match author {
        Author::Operator { operator } => operator.to_string(),
        Author::System { reason } => format!("the system: {reason}"),
    }
}

/// The beginning of a digest, for lists.
fn short_digest(digest: &str) -> &str {
    digest.get(..SHORT_DIGEST).unwrap_or(digest)
}

fn comma_separated<T: ToString>(names: &std::collections::BTreeSet<T>) -> String {
    names.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

fn table<R: Tabled>(rows: impl Iterator<Item = R>) -> String {
    Table::new(rows).with(Style::psql()).to_string()
}

fn add_line(text: &mut String, content: &str) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{content}");
}
