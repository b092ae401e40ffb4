//! An open-loop load generator that checks the content of every answer.
//!
//! Requests are sent at times fixed in advance, whether or not earlier ones have completed, and
//! latencies are measured from the intended arrival. A slow system thus can't hide its delays by
//! slowing down the load (coordinated omission).

mod address_cache;
mod audit;
mod caller;
mod direct;
mod plot;
mod report;

pub use address_cache::AddressCache;
pub use audit::{fetch_submissions, submission_names};
pub use caller::{Caller, RequestOutcome, RequestRecord};
pub use plot::plot;
pub use report::{
    LatencyPercentiles, LoadReport, SubmissionAudit, TeamReport, print_report, team_table,
};

use crate::daemon::Daemon;
use crate::deployment::Deployment;
use crate::settings::TrafficSettings;
use crate::workload::{Arrival, arrivals};
use indicatif::{ProgressBar, ProgressStyle};
use spindle_types::config::LatencyTarget;
use spindle_types::{Configuration, Team};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How long the generator waits for outstanding requests after the last one has timed out.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Whether a progress bar is shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Shown on standard error if that is a terminal.
    Shown,
    /// Not shown.
    Hidden,
}

/// The servers that receive the load.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// The daemons that callers query first for addresses.
    pub daemons: Vec<SocketAddr>,
    /// Engines that receive generations directly, in round-robin order; if empty, generations go
    /// through daemons.
    pub engines: Vec<SocketAddr>,
}

impl Targets {
    /// Targets all daemons of a deployment.
    pub fn daemons(deployment: &Deployment) -> Self {
        let daemons = deployment.daemons.iter().map(Daemon::caller_address).collect();
        Self { daemons, engines: Vec::new() }
    }
}

/// The results of a load run.
#[derive(Debug)]
pub struct LoadRun {
    /// The settings that the run used.
    pub settings: TrafficSettings,
    /// The record of each request, in order of intended arrival.
    pub records: Vec<RequestRecord>,
    /// The largest number of concurrent requests.
    pub max_in_flight: usize,
}

/// Sends the load and waits until every request has an outcome or the run's deadline has passed.
///
/// Callers start from the addresses in `targets` and discover further daemons through them.
///
/// # Errors
///
/// Never fails at present.
pub async fn run(
    settings: TrafficSettings,
    configuration: &Configuration,
    targets: Targets,
    progress: Progress,
) -> eyre::Result<LoadRun> {
    let arrivals = arrivals(&settings, configuration);
    let callers = callers(&settings, &arrivals, &targets);
    let bar = progress_bar(progress, arrivals.len());
    let start = Instant::now();
    let deadline = start + settings.duration.get() + settings.patience.get() + SETTLE_TIME;
    let mut tasks = JoinSet::new();
    let mut max_in_flight = 0;
    let mut records = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.at).await;
        while let Some(finished) = tasks.try_join_next() {
            records.extend(finished);
            bar.inc(1);
        }
        if let Some(caller) = callers.get(&arrival.team) {
            let caller = Arc::clone(caller);
            tasks.spawn(async move { caller.send(arrival, start).await });
            max_in_flight = max_in_flight.max(tasks.len());
        }
    }
    while let Ok(Some(finished)) = tokio::time::timeout_at(deadline, tasks.join_next()).await {
        records.extend(finished);
        bar.inc(1);
    }
    bar.finish_and_clear();
    records.sort_by_key(|record: &RequestRecord| record.arrival);
    Ok(LoadRun { settings, records, max_in_flight })
}

fn callers(
    settings: &TrafficSettings,
    arrivals: &[Arrival],
    targets: &Targets,
) -> HashMap<Team, Arc<Caller>> {
    let mut callers = HashMap::new();
    for arrival in arrivals {
        callers
            .entry(arrival.team.clone())
            .or_insert_with(|| Arc::new(Caller::new(&arrival.team, settings, targets)));
    }
    callers
}

fn progress_bar(progress: Progress, length: usize) -> ProgressBar {
    if progress == Progress::Hidden {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(u64::try_from(length).unwrap_or(u64::MAX));
    let style = ProgressStyle::with_template("{elapsed} {wide_bar} {pos}/{len} completed");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar
}

/// Returns the latency target of the pool that serves the example's model, or the default target.
pub fn latency_target(settings: &TrafficSettings, configuration: &Configuration) -> LatencyTarget {
    let model = settings.example.model();
    let mut specs = configuration.pools.values();
    let spec = specs.find(|spec| spec.model.as_ref().is_some_and(|name| name.as_str() == model));
    spec.map(|spec| spec.target).unwrap_or_default()
}

#[cfg(test)]
mod tests;
