//! Tables of experiments: both measures for each strategy, and each promise.

use super::StrategyReport;
use super::faults::FaultCounts;
use crate::load::{RequestOutcome, SubmissionAudit, team_table};
use crate::settings::ExperimentSettings;
use tabled::Table;
use tabled::builder::Builder;
use tabled::settings::Style;

/// Prints what an experiment showed.
pub fn print_reports(settings: &ExperimentSettings, outcomes: &[StrategyReport]) {
    println!("{}", settings.title);
    println!("seed {}, {} daemons\n", settings.traffic.seed, settings.daemons);
    println!("{}\n", measures(outcomes));
    println!("{}", guarantees(outcomes));
    for outcome in outcomes {
        print_details(settings, outcome);
    }
}

/// Why requests got no whole answer, and in a flood what each team met.
fn print_details(settings: &ExperimentSettings, outcome: &StrategyReport) {
    let name = format!("{} {}", outcome.load.example, outcome.strategy);
    for (reason, count) in &outcome.load.reasons {
        println!("{name}: {count} {reason}");
    }
    if !settings.traffic.floods.is_empty() {
        println!("\n{name}\n\n{}", team_table(&outcome.load));
    }
}

/// One line a run: what callers met, and both measures.
pub(super) fn measures(outcomes: &[StrategyReport]) -> Table {
    let mut table = Builder::default();
    table.push_record([
        "deployment",
        "strategy",
        "requests",
        "whole",
        "not_run",
        "unknown",
        "late",
        "lost",
        "wrong",
        "in target",
        "first p50 ms",
        "first p95 ms",
        "first p99 ms",
        "interval p95 ms",
        "cost per 1,000 in target",
        "recomputed",
        "prefilled",
    ]);
    for outcome in outcomes {
        table.push_record(measure_row(outcome));
    }
    markdown(table)
}

fn measure_row(outcome: &StrategyReport) -> Vec<String> {
    let load = &outcome.load;
    let share = 100.0 * load.in_target as f64 / (load.offered as f64).max(1.0);
    let mut row =
        vec![load.example.clone(), outcome.strategy.to_string(), load.offered.to_string()];
    let ends = [
        RequestOutcome::Whole,
        RequestOutcome::NotRun,
        RequestOutcome::Unknown,
        RequestOutcome::Late,
        RequestOutcome::Lost,
        RequestOutcome::Wrong,
    ];
    row.extend(ends.iter().map(|end| load.outcome_count(*end).to_string()));
    row.push(format!("{share:.1}%"));
    let first = load.first_token;
    row.extend([first.p50, first.p95, first.p99].map(|time| format!("{time:.0}")));
    row.push(format!("{:.1}", load.token_interval.p95));
    row.push(format!("{:.4}", outcome.cost_per_thousand));
    row.push(load.recomputed.to_string());
    row.push(outcome.prefilled.to_string());
    row
}

/// Each promise with how often it was put to the test and how often it was broken.
pub fn guarantees(outcomes: &[StrategyReport]) -> Table {
    let caused = FaultCounts::sum(outcomes.iter().map(|outcome| &outcome.caused));
    let audits: Vec<SubmissionAudit> =
        outcomes.iter().filter_map(|outcome| outcome.load.audit).collect();
    let audit = |field: fn(&SubmissionAudit) -> u64| audits.iter().map(field).sum::<u64>();
    let ended = |end| outcomes.iter().map(|outcome| outcome.load.outcome_count(end)).sum::<u64>();
    let offered: u64 = outcomes.iter().map(|outcome| outcome.load.offered).sum();
    let looks: u64 = outcomes.iter().map(|outcome| outcome.configuration.looks).sum();
    let reverts: u64 = outcomes.iter().map(|outcome| outcome.configuration.reverts).sum();
    let faults = caused.reclaims + caused.losses + caused.outages + caused.replacements;
    let submissions = audit(|audit| audit.submissions);
    let rows = [
        ("accepted work survives", faults, offered, ended(RequestOutcome::Lost)),
        ("the whole answer to one's own request", faults, offered, ended(RequestOutcome::Wrong)),
        ("\"not run\" is true", faults, submissions, audit(|audit| audit.false_not_run)),
        ("runs at most once", faults, submissions, audit(|audit| audit.duplicates)),
        ("said to have run, did run", faults, submissions, audit(|audit| audit.missing)),
        (
            "leaving gets nothing new after 2 s",
            caused.reclaims,
            caused.observed,
            caused.late_starts,
        ),
        ("in force everywhere within 16 s", faults, caused.changes, caused.late_changes),
        ("configuration never reverts", faults, looks, reverts),
    ];
    let mut table = Builder::default();
    table.push_record(["promise", "faults caused", "checked", "broken"]);
    for (promise, faults, checked, broken) in rows {
        let numbers = [faults, checked, broken].map(|number| number.to_string());
        table.push_record([promise.to_owned()].into_iter().chain(numbers));
    }
    markdown(table)
}

fn markdown(table: Builder) -> Table {
    let mut table = table.build();
    table.with(Style::markdown());
    table
}
