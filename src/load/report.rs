//! Summarises a load run as a report, and prints it as tables.

use super::{LoadRun, RequestOutcome, RequestRecord};
use crate::process::ProcessReport;
use hdrhistogram::Histogram;
use serde::Serialize;
use spindle_types::Team;
use spindle_types::config::LatencyTarget;
use std::collections::BTreeMap;
use std::time::Duration;
use tabled::builder::Builder;
use tabled::settings::Style;

/// The largest latency that a histogram records, in microseconds (one hour).
const TIME_MAX_US: u64 = 3_600_000_000;

/// The length to which failure reasons are truncated, in characters.
const REASON_MAX_CHARS: usize = 80;

/// The number of significant decimal digits that a histogram preserves.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of a set of latencies, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyPercentiles {
    /// The number of measured latencies.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

impl LatencyPercentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |share| histogram.value_at_quantile(share) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / 1_000.0,
        }
    }
}

/// A comparison of the submission outcomes that callers were told with what services executed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct SubmissionAudit {
    /// The number of submissions compared.
    pub submissions: u64,
    /// Submissions that were executed more than once.
    pub duplicates: u64,
    /// Submissions reported as not run that were executed.
    pub false_not_run: u64,
    /// Submissions reported as completed that were not executed.
    pub missing: u64,
}

/// The results of one team's requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TeamReport {
    /// The number of requests sent.
    pub offered: u64,
    /// The number of complete answers.
    pub whole: u64,
    /// The number of complete answers within the latency target.
    pub in_target: u64,
    /// The latency to the first token.
    pub first_token: LatencyPercentiles,
}

/// The results of a load run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// The name of the example deployment.
    pub example: String,
    /// The random seed of the run.
    pub seed: u64,
    /// The configured arrival rate, in requests per second.
    pub rate: f64,
    /// The number of requests sent.
    pub offered: u64,
    /// The largest number of concurrent requests.
    pub peak: usize,
    /// The number of requests by outcome.
    pub ends: BTreeMap<RequestOutcome, u64>,
    /// The number of requests without a complete answer, by outcome and reason.
    pub reasons: BTreeMap<String, u64>,
    /// The number of complete answers within the latency target.
    pub in_target: u64,
    /// Complete answers within the latency target, per second.
    pub goodput: f64,
    /// The number of tokens in complete answers.
    pub tokens: u64,
    /// Tokens in complete answers, per second.
    pub token_rate: f64,
    /// The number of tokens computed again after an upstream was lost.
    pub recomputed: u64,
    /// How often requests were sent again.
    pub retries: u64,
    /// How often broken streams were resumed.
    pub pickups: u64,
    /// The latency to the first token.
    pub first_token: LatencyPercentiles,
    /// The time between successive tokens.
    pub token_interval: LatencyPercentiles,
    /// The latency to the end of complete answers.
    pub total: LatencyPercentiles,
    /// The audit of submissions; `None` if the services' records were not available.
    pub audit: Option<SubmissionAudit>,
    /// The resource usage of daemon processes.
    pub processes: Vec<ProcessReport>,
    /// The results by team.
    pub teams: BTreeMap<Team, TeamReport>,
}

struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    fn new() -> Self {
        Self(
            Histogram::new_with_bounds(1, TIME_MAX_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid"),
        )
    }

    fn add(&mut self, time: Duration, count: u32) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record_n(micros, u64::from(count));
    }
}

impl LoadReport {
    /// Summarises a run. `executed` lists the submissions that the services executed, repeated for
    /// each execution, or is `None` if that is not known.
    pub fn new(run: &LoadRun, target: LatencyTarget, executed: Option<&[String]>) -> Self {
        let records = &run.records;
        let seconds = run.settings.duration.get().as_secs_f64();
        let in_target = count_where(records, |record| meets_target(record, target));
        let whole = || records.iter().filter(|record| record.outcome == RequestOutcome::Whole);
        let tokens: u64 = whole().map(|record| u64::from(record.tokens)).sum();
        let mut ends = BTreeMap::new();
        let mut reasons = BTreeMap::new();
        for record in records {
            *ends.entry(record.outcome).or_default() += 1;
            if record.outcome != RequestOutcome::Whole {
                let reason: String = record.detail.chars().take(REASON_MAX_CHARS).collect();
                *reasons.entry(format!("{}: {reason}", record.outcome)).or_default() += 1;
            }
        }
        let mut teams: BTreeMap<Team, Vec<RequestRecord>> = BTreeMap::new();
        for record in records {
            teams.entry(record.team.clone()).or_default().push(record.clone());
        }
        let teams = teams.into_iter().map(|(team, records)| (team, team_report(&records, target)));
        Self {
            example: run.settings.example.to_string(),
            seed: run.settings.seed,
            rate: run.settings.rate,
            offered: records.len() as u64,
            peak: run.max_in_flight,
            ends,
            reasons,
            in_target,
            goodput: in_target as f64 / seconds,
            tokens,
            token_rate: tokens as f64 / seconds,
            recomputed: records.iter().map(|record| u64::from(record.recomputed)).sum(),
            retries: records.iter().map(|record| u64::from(record.retries)).sum(),
            pickups: records.iter().map(|record| u64::from(record.pickups)).sum(),
            first_token: first_token(records),
            token_interval: token_interval(records),
            total: total_times(records),
            audit: executed.map(|executed| audit(records, executed)),
            processes: Vec::new(),
            teams: teams.collect(),
        }
    }

    /// Returns the number of requests with an outcome.
    pub fn outcome_count(&self, end: RequestOutcome) -> u64 {
        self.ends.get(&end).copied().unwrap_or(0)
    }
}

fn count_where(records: &[RequestRecord], predicate: impl Fn(&RequestRecord) -> bool) -> u64 {
    records.iter().filter(|record| predicate(record)).count() as u64
}

/// Whether an answer is complete and within the latency target. Calls to plain services have no
/// tokens, so their total time is compared with the target for the first token.
fn meets_target(record: &RequestRecord, target: LatencyTarget) -> bool {
    if record.outcome != RequestOutcome::Whole {
        return false;
    }
    let first = record.first_token.unwrap_or(record.total);
    let tokens: u32 = record.intervals.iter().map(|(_, count)| count).sum();
    let time: Duration = record.intervals.iter().map(|(gap, _)| *gap).sum();
    first <= target.first_token.get() && time <= target.token_interval.get() * tokens
}

fn team_report(records: &[RequestRecord], target: LatencyTarget) -> TeamReport {
    TeamReport {
        offered: records.len() as u64,
        whole: count_where(records, |record| record.outcome == RequestOutcome::Whole),
        in_target: count_where(records, |record| meets_target(record, target)),
        first_token: first_token(records),
    }
}

fn first_token(records: &[RequestRecord]) -> LatencyPercentiles {
    let mut times = LatencyHistogram::new();
    records.iter().filter_map(|record| record.first_token).for_each(|time| times.add(time, 1));
    LatencyPercentiles::of(&times.0)
}

fn token_interval(records: &[RequestRecord]) -> LatencyPercentiles {
    let mut times = LatencyHistogram::new();
    for (gap, count) in records.iter().flat_map(|record| &record.intervals) {
        times.add(*gap / (*count).max(1), *count);
    }
    LatencyPercentiles::of(&times.0)
}

fn total_times(records: &[RequestRecord]) -> LatencyPercentiles {
    let mut times = LatencyHistogram::new();
    let whole = records.iter().filter(|record| record.outcome == RequestOutcome::Whole);
    whole.for_each(|record| times.add(record.total, 1));
    LatencyPercentiles::of(&times.0)
}

/// Compares the submission outcomes that callers were told with the executed submissions.
fn audit(records: &[RequestRecord], executed: &[String]) -> SubmissionAudit {
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for name in executed {
        *runs.entry(name).or_default() += 1;
    }
    let mut audit = SubmissionAudit::default();
    for record in records {
        let Some(name) = record.submission.as_deref() else {
            continue;
        };
        let runs = runs.get(name).copied().unwrap_or(0);
        audit.submissions += 1;
        audit.duplicates += u64::from(runs > 1);
        audit.false_not_run += u64::from(record.outcome == RequestOutcome::NotRun && runs > 0);
        audit.missing += u64::from(record.outcome == RequestOutcome::Whole && runs == 0);
    }
    audit
}

/// Prints a report to standard output.
pub fn print_report(report: &LoadReport) {
    println!(
        "{} at {}/s, seed {}: {} requests, {:.1}/s in target, {:.0} tokens/s",
        report.example, report.rate, report.seed, report.offered, report.goodput, report.token_rate
    );
    let ends = report.ends.iter().map(|(end, count)| format!("{end} {count}"));
    println!("{}", ends.collect::<Vec<_>>().join(", "));
    println!(
        "recomputed tokens {}, retries {}, resumed streams {}",
        report.recomputed, report.retries, report.pickups
    );
    if let Some(audit) = report.audit {
        println!(
            "submissions {}: run more than once {}, false not_run {}, missing {}",
            audit.submissions, audit.duplicates, audit.false_not_run, audit.missing
        );
    }
    for ProcessReport { pid, cpu, core_share, resident, descriptors } in &report.processes {
        println!(
            "process {pid}: {cpu:.2} s of CPU time, {:.1}% of a core, {resident} KiB, \
             {descriptors} descriptors",
            core_share * 100.0
        );
    }
    for (reason, count) in &report.reasons {
        println!("{count} {reason}");
    }
    println!("{}", times_table(report));
    println!("{}", team_table(report));
}

fn times_table(report: &LoadReport) -> tabled::Table {
    let mut table = Builder::default();
    table.push_record(["ms", "count", "p50", "p95", "p99", "p99.9", "max"]);
    let rows = [
        ("first token", report.first_token),
        ("token interval", report.token_interval),
        ("total", report.total),
    ];
    for (name, percentiles) in rows {
        let LatencyPercentiles { count, p50, p95, p99, p999, max } = percentiles;
        let times = [p50, p95, p99, p999, max].map(|time| format!("{time:.1}"));
        table.push_record([name.to_owned(), count.to_string()].into_iter().chain(times));
    }
    let mut table = table.build();
    table.with(Style::markdown());
    table
}

/// Builds a table with one row per team.
pub fn team_table(report: &LoadReport) -> tabled::Table {
    let mut table = Builder::default();
    table.push_record(["team", "offered", "whole", "in target", "first token p95 ms"]);
    for (team, row) in &report.teams {
        table.push_record([
            team.to_string(),
            row.offered.to_string(),
            row.whole.to_string(),
            row.in_target.to_string(),
            format!("{:.1}", row.first_token.p95),
        ]);
    }
    let mut table = table.build();
    table.with(Style::markdown());
    table
}
