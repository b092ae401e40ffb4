//! Tables of experiment results: measurements for each strategy, and checks of each guarantee.

use super::StrategyReport;
use super::faults::FaultCounts;
use crate::load::{RequestOutcome, SubmissionAudit, team_table};
use crate::settings::ExperimentSettings;
use tabled::Table;
use tabled::builder::Builder;
use tabled::settings::Style;

/// Prints the results of an experiment.
pub fn print_reports(settings: &ExperimentSettings, reports: &[StrategyReport]) {
    println!("{}", settings.title);
    println!("seed {}, {} daemons\n", settings.traffic.seed, settings.daemons);
    println!("{}\n", measurement_table(reports));
    println!("{}", guarantee_table(reports));
    for report in reports {
        print_details(settings, report);
    }
}

/// Prints why requests failed, and the results by team if the load contains floods.
fn print_details(settings: &ExperimentSettings, report: &StrategyReport) {
    let name = format!("{} {}", report.load.example, report.strategy);
    for (reason, count) in &report.load.reasons {
        println!("{name}: {count} {reason}");
    }
    if !settings.traffic.floods.is_empty() {
        println!("\n{name}\n\n{}", team_table(&report.load));
    }
}

/// Builds a table with one row per run: request outcomes, latencies, cost and recomputed tokens.
pub(super) fn measurement_table(reports: &[StrategyReport]) -> Table {
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
    for report in reports {
        table.push_record(measurement_row(report));
    }
    markdown(table)
}

fn measurement_row(report: &StrategyReport) -> Vec<String> {
    let load = &report.load;
    let share = 100.0 * load.in_target as f64 / (load.offered as f64).max(1.0);
    let mut row = vec![load.example.clone(), report.strategy.to_string(), load.offered.to_string()];
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
    row.push(format!("{:.4}", report.cost_per_thousand));
    row.push(load.recomputed.to_string());
    row.push(report.prefilled.to_string());
    row
}

/// Builds a table with one row per guarantee: the faults injected, and how often the guarantee was
/// checked and broken.
pub fn guarantee_table(reports: &[StrategyReport]) -> Table {
    let caused = FaultCounts::sum(reports.iter().map(|report| &report.caused));
    let audits: Vec<SubmissionAudit> =
        reports.iter().filter_map(|report| report.load.audit).collect();
    let audit = |field: fn(&SubmissionAudit) -> u64| audits.iter().map(field).sum::<u64>();
    let ended = |end| reports.iter().map(|report| report.load.outcome_count(end)).sum::<u64>();
    let offered: u64 = reports.iter().map(|report| report.load.offered).sum();
    let looks: u64 = reports.iter().map(|report| report.configuration.looks).sum();
    let reverts: u64 = reports.iter().map(|report| report.configuration.reverts).sum();
    let faults = caused.reclaims + caused.losses + caused.outages + caused.replacements;
    let submissions = audit(|audit| audit.submissions);
    let rows = [
        ("accepted requests survive faults", faults, offered, ended(RequestOutcome::Lost)),
        (
            "answers are complete and match their request",
            faults,
            offered,
            ended(RequestOutcome::Wrong),
        ),
        (
            "submissions reported as not run did not run",
            faults,
            submissions,
            audit(|audit| audit.false_not_run),
        ),
        ("submissions run at most once", faults, submissions, audit(|audit| audit.duplicates)),
        (
            "submissions reported as completed did run",
            faults,
            submissions,
            audit(|audit| audit.missing),
        ),
        (
            "no new work at a reclaimed upstream after 2 s",
            caused.reclaims,
            caused.observed,
            caused.late_starts,
        ),
        (
            "changes are in force everywhere within 16 s",
            faults,
            caused.changes,
            caused.late_changes,
        ),
        ("configuration revisions never decrease", faults, looks, reverts),
    ];
    let mut table = Builder::default();
    table.push_record(["guarantee", "faults injected", "checked", "broken"]);
    for (guarantee, faults, checked, broken) in rows {
        let numbers = [faults, checked, broken].map(|number| number.to_string());
        table.push_record([guarantee.to_owned()].into_iter().chain(numbers));
    }
    markdown(table)
}

fn markdown(table: Builder) -> Table {
    let mut table = table.build();
    table.with(Style::markdown());
    table
}
