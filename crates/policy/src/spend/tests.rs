use super::*;
use crate::burn::Counts;
use crate::plan::{PlanInput, ReclaimRates, cheapest_plan};
use spindle_types::{Change, Intent, Operator, Revision};

fn report(tokens: u64, budget: &str) -> CostReport {
    let intent: Intent =
        serde_norway::from_str(include_str!("../../../../examples/kanem/intent.yaml")).unwrap();
    let offers: Vec<PricedOffer> =
        serde_norway::from_str(include_str!("../../../../examples/kanem/offers.yaml")).unwrap();
    let mut config: Configuration =
        serde_norway::from_str(include_str!("../../../../examples/kanem/configuration.yaml"))
            .unwrap();
    let reclaims = ReclaimRates::default();
    let input = PlanInput {
        intent: &intent,
        offers: &offers,
        reclaims: &reclaims,
        base: Revision(0),
        in_force: None,
    };
    let made = cheapest_plan(UtcInstant(0), &input).unwrap();
    let plan = made.confirmed_by(Operator::try_from("ana").unwrap());
    config.apply(Revision(1), Change::ConfirmPlan { plan });
    let team: Team = "kano-ministry".parse().unwrap();
    config.teams.get_mut(&team).unwrap().hourly_budget = Some(budget.parse().unwrap());
    let running: Vec<_> = made
        .placements
        .iter()
        .flat_map(|priced| {
            let count = usize::try_from(priced.placement.count).unwrap();
            std::iter::repeat_n(InstanceKind::from(&priced.placement), count)
        })
        .collect();
    let counts = Counts { tokens: Tokens(tokens), recomputed: Tokens(500), ..Counts::default() };
    let cells = [TeamModelCounts { team, model: "census-llm".parse().unwrap(), counts }];
    let input = CostInput { config: &config, running: &running, offers: &offers, cells: &cells };
    cost_report(UtcInstant(0), &input)
}

#[test]
fn spend_equals_the_quiet_cost_of_a_plan_that_runs_in_full() {
    let report = report(100_000, "1.00");
    assert!(report.rows.iter().all(|row| row.planned == row.running));
    let sum: Money = report.rows.iter().filter_map(|row| row.hourly_spend).sum();
    assert_eq!(Some(sum), report.spend);
    insta::assert_yaml_snapshot!((&report.teams, report.planned, report.limit, report.spend));
}

#[test]
fn budget_status_changes_above_the_budget_and_back_well_below_it() {
    let team: Team = "kano-ministry".parse().unwrap();
    let spend = report(10_000_000, "1.00").team_spend(&team);
    let with = |budget: Money| report(10_000_000, &budget.to_string());
    let tight = with(Money::from_units(spend.units() * 0.99));
    assert_eq!(BudgetStatus::Over, tight.budget_status(&team, BudgetStatus::Within));
    let close = with(Money::from_units(spend.units() * 1.05));
    assert_eq!(BudgetStatus::Within, close.budget_status(&team, BudgetStatus::Within));
    assert_eq!(BudgetStatus::Over, close.budget_status(&team, BudgetStatus::Over));
    let ample = with(Money::from_units(spend.units() * 1.2));
    assert_eq!(BudgetStatus::Within, ample.budget_status(&team, BudgetStatus::Over));
}
