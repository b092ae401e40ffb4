//! Experiments: a complete deployment under load and faults, once for each routing strategy, with
//! measurements and checks of the system's guarantees.

mod all;
mod faults;
mod monitor;
mod table;
mod threads;

pub use all::run_all;
pub use table::{guarantee_table, print_reports};

use crate::deployment::{Deployment, DeploymentOptions, Example, IntervalPreset};
use crate::launcher::UpstreamStandin;
use crate::load::{self, LoadReport, Progress, Targets};
use crate::settings::{
    ExperimentSettings, LoadError, RoutingSettings, TrafficSettings, check_document,
};
use faults::{FaultCounts, FaultInjector};
use monitor::RevisionMonitor;
use serde::Serialize;
use spindle_policy::routing::Strategy;
use spindle_types::{DataCentre, Instance, Money};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// The number of seconds per hour.
const HOUR_SECONDS: f64 = 3_600.0;

/// The results of one experiment run with one strategy and deployment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StrategyReport {
    /// The routing strategy of the daemons.
    pub strategy: Strategy,
    /// The results as callers saw them.
    pub load: LoadReport,
    /// The injected faults and their immediate effects.
    pub caused: FaultCounts,
    /// The checks that configuration revisions never decrease.
    pub configuration: monitor::RevisionChecks,
    /// The cost of the engines' busy time, in the deployment's currency.
    pub cost: f64,
    /// `cost` per thousand answers within the latency target; infinite if there are none.
    pub cost_per_thousand: f64,
    /// The number of prompt and previously produced tokens that engines prefilled.
    pub prefilled: u64,
    /// The CPU time of all daemons, in seconds.
    pub daemon_cpu: f64,
}

/// Reads and checks an experiment file.
///
/// # Errors
///
/// The file can't be read, or its content is invalid.
pub fn load_file(path: &Path) -> Result<ExperimentSettings, LoadError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| LoadError::File { path: path.to_owned(), error })?;
    parse(&text)
}

/// Parses and checks an experiment document.
///
/// # Errors
///
/// The document is invalid; the error lists all problems.
pub fn parse(text: &str) -> Result<ExperimentSettings, LoadError> {
    let settings: ExperimentSettings = check_document(text).map_err(LoadError::Problems)?;
    let problems = settings.check();
    problems.finish(|| settings).map_err(LoadError::Problems)
}

/// Runs every strategy on every deployment, sequentially.
///
/// # Errors
///
/// A deployment does not start.
pub async fn run(
    settings: &ExperimentSettings,
    progress: Progress,
) -> eyre::Result<Vec<StrategyReport>> {
    let mut reports = Vec::new();
    for (example, rate) in &settings.rates {
        for strategy in &settings.strategies {
            reports.push(run_strategy(settings, *example, *rate, *strategy, progress).await?);
        }
    }
    Ok(reports)
}

async fn run_strategy(
    settings: &ExperimentSettings,
    example: Example,
    rate: f64,
    strategy: Strategy,
    progress: Progress,
) -> eyre::Result<StrategyReport> {
    let threads = threads::DaemonThreads::start()?;
    let options = DeploymentOptions {
        daemons: settings.daemons,
        engines: None,
        routing: RoutingSettings {
            strategy,
            step_base: settings.engine.step_base,
            step_slope: settings.engine.step_slope,
            ..RoutingSettings::default()
        },
        intervals: IntervalPreset::Standard,
        runtime: Some(threads.handle()),
    };
    let deployment = Deployment::start_with(example, options, settings.engine.model()).await?;
    let prices = Prices::new(example, &settings.prices)?;
    prices.publish(&deployment);
    let traffic = TrafficSettings { example, rate, ..settings.traffic.clone() };
    let configuration = deployment.configuration.clone();
    let targets = Targets::daemons(&deployment);
    let data_centres = data_centres_by_instance(&deployment);
    let monitor = RevisionMonitor::start(&deployment);
    let deployment = Arc::new(Mutex::new(deployment));
    let injector = FaultInjector::new(
        Arc::clone(&deployment),
        prices.clone(),
        monitor.configs(),
        &settings.faults,
    );
    let cpu_before = threads.cpu_seconds();
    let (run, caused) =
        tokio::join!(load::run(traffic, &configuration, targets, progress), injector.inject_all());
    let (run, caused) = (run?, caused?);
    let daemon_cpu = threads.cpu_seconds() - cpu_before;
    let deployment = deployment.lock().await;
    let executed = deployment.submissions();
    let target = load::latency_target(&run.settings, &configuration);
    let load = LoadReport::new(&run, target, Some(&executed));
    let usage = EngineUsage::of(&deployment, &data_centres, &prices);
    let thousands = load.in_target as f64 / 1_000.0;
    Ok(StrategyReport {
        strategy,
        cost: usage.cost,
        cost_per_thousand: if thousands > 0.0 { usage.cost / thousands } else { f64::INFINITY },
        prefilled: usage.prefilled,
        configuration: monitor.finish(),
        caused,
        load,
        daemon_cpu,
    })
}

/// The hourly instance price of each data centre.
#[derive(Clone, Debug)]
pub(crate) struct Prices(BTreeMap<DataCentre, Money>);

impl Prices {
    fn new(example: Example, prices: &[Money]) -> eyre::Result<Self> {
        let default_price = Money::from_units(1.0);
        let mut by_data_centre = BTreeMap::new();
        for (index, name) in example.data_centres().into_iter().enumerate() {
            let price = prices.get(index).copied().unwrap_or(default_price);
            by_data_centre.insert(DataCentre::try_from(name)?, price);
        }
        Ok(Self(by_data_centre))
    }

    fn set(&mut self, data_centre: &DataCentre, price: Money) {
        self.0.insert(data_centre.clone(), price);
    }

    fn publish(&self, deployment: &Deployment) {
        deployment.set_prices(&self.0);
    }

    fn of(&self, data_centre: &DataCentre) -> f64 {
        self.0.get(data_centre).map_or(1.0, |price| price.units())
    }
}

/// Returns the data centre of each listed instance.
fn data_centres_by_instance(deployment: &Deployment) -> BTreeMap<Instance, DataCentre> {
    let entries = deployment.platform.entries().into_iter();
    entries.map(|entry| (entry.instance, entry.data_centre)).collect()
}

/// The work of all engines and its cost.
struct EngineUsage {
    cost: f64,
    prefilled: u64,
}

impl EngineUsage {
    /// Sums the usage of all engines, at the prices from the start of the run.
    fn of(
        deployment: &Deployment,
        data_centres: &BTreeMap<Instance, DataCentre>,
        prices: &Prices,
    ) -> Self {
        let mut usage = Self { cost: 0.0, prefilled: 0 };
        for (instance, upstream) in deployment.launched() {
            let UpstreamStandin::Engine(engine) = upstream else {
                continue;
            };
            let counts = engine.counts();
            let price =
                data_centres.get(&instance).map_or(1.0, |data_centre| prices.of(data_centre));
            usage.cost += price * hours(counts.busy);
            usage.prefilled += counts.prefilled;
        }
        usage
    }
}

fn hours(time: Duration) -> f64 {
    time.as_secs_f64() / HOUR_SECONDS
}

#[cfg(test)]
mod tests;
