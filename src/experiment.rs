//! Experiments: load and faults on a whole deployment, with what each promise and each measure came
//! to, for each strategy that is compared.

mod all;
mod faults;
mod monitor;
mod table;
mod threads;

pub use all::run_all;
pub use table::{guarantees, print_reports};

use crate::deployment::{Deployment, DeploymentOptions, Example, IntervalPreset, UpstreamStandin};
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

/// The seconds of an hour.
const HOUR_SECONDS: f64 = 3_600.0;

/// What one run of an experiment showed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StrategyReport {
    /// The strategy.
    pub strategy: Strategy,
    /// What callers met.
    pub load: LoadReport,
    /// What went wrong on purpose.
    pub caused: FaultCounts,
    /// What was seen of the configuration.
    pub configuration: monitor::RevisionChecks,
    /// The price of the time that engines computed, in the deployment's currency.
    pub cost: f64,
    /// That price for each thousand answers in target.
    pub cost_per_thousand: f64,
    /// Prompt and produced tokens that engines computed.
    pub prefilled: u64,
    /// Processor time of the daemons, in seconds.
    pub daemon_cpu: f64,
}

/// Loads an experiment.
///
/// # Errors
///
/// The file can't be read, or holds mistakes.
pub fn load_file(path: &Path) -> Result<ExperimentSettings, LoadError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| LoadError::File { path: path.to_owned(), error })?;
    parse(&text)
}

/// Reads an experiment.
///
/// # Errors
///
/// All mistakes.
pub fn parse(text: &str) -> Result<ExperimentSettings, LoadError> {
    let settings: ExperimentSettings = check_document(text).map_err(LoadError::Problems)?;
    let problems = settings.check();
    problems.finish(|| settings).map_err(LoadError::Problems)
}

/// Runs every strategy at every deployment, one after the other.
///
/// # Errors
///
/// A deployment does not start.
pub async fn run(
    settings: &ExperimentSettings,
    progress: Progress,
) -> eyre::Result<Vec<StrategyReport>> {
    let mut outcomes = Vec::new();
    for (example, rate) in &settings.rates {
        for strategy in &settings.strategies {
            outcomes.push(run_one(settings, *example, *rate, *strategy, progress).await?);
        }
    }
    Ok(outcomes)
}

async fn run_one(
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
    let placed = placements(&deployment);
    let monitor = RevisionMonitor::start(&deployment);
    let deployment = Arc::new(Mutex::new(deployment));
    let player = FaultInjector::new(
        Arc::clone(&deployment),
        prices.clone(),
        monitor.watched(),
        &settings.faults,
    );
    let cpu_before = threads.cpu_seconds();
    let (run, caused) =
        tokio::join!(load::run(traffic, &configuration, targets, progress), player.play());
    let (run, caused) = (run?, caused?);
    let daemon_cpu = threads.cpu_seconds() - cpu_before;
    let deployment = deployment.lock().await;
    let ran = deployment.submissions();
    let target = load::latency_target(&run.settings, &configuration);
    let load = LoadReport::new(&run, target, Some(&ran));
    let spent = EngineUsage::of(&deployment, &placed, &prices);
    let thousands = load.in_target as f64 / 1_000.0;
    Ok(StrategyReport {
        strategy,
        cost: spent.cost,
        cost_per_thousand: if thousands > 0.0 { spent.cost / thousands } else { f64::INFINITY },
        prefilled: spent.prefilled,
        configuration: monitor.finish(),
        caused,
        load,
        daemon_cpu,
    })
}

/// The prices an hour by data centre.
#[derive(Clone, Debug)]
pub(crate) struct Prices(BTreeMap<DataCentre, Money>);

impl Prices {
    fn new(example: Example, prices: &[Money]) -> eyre::Result<Self> {
        let one = Money::from_units(1.0);
        let mut by_name = BTreeMap::new();
        for (index, name) in example.data_centres().into_iter().enumerate() {
            let price = prices.get(index).copied().unwrap_or(one);
            by_name.insert(DataCentre::try_from(name)?, price);
        }
        Ok(Self(by_name))
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

/// The data centre of each upstream.
fn placements(deployment: &Deployment) -> BTreeMap<Instance, DataCentre> {
    let entries = deployment.platform.entries().into_iter();
    entries.map(|entry| (entry.instance, entry.data_centre)).collect()
}

/// What the engines did.
struct EngineUsage {
    cost: f64,
    prefilled: u64,
}

impl EngineUsage {
    /// The engines' computing time at the prices of the start.
    fn of(
        deployment: &Deployment,
        placed: &BTreeMap<Instance, DataCentre>,
        prices: &Prices,
    ) -> Self {
        let mut spent = Self { cost: 0.0, prefilled: 0 };
        for (instance, upstream) in deployment.launched() {
            let UpstreamStandin::Engine(engine) = upstream else {
                continue;
            };
            let counts = engine.counts();
            let price = placed.get(&instance).map_or(1.0, |data_centre| prices.of(data_centre));
            spent.cost += price * hours(counts.busy);
            spent.prefilled += counts.prefilled;
        }
        spent
    }
}

fn hours(time: Duration) -> f64 {
    time.as_secs_f64() / HOUR_SECONDS
}

#[cfg(test)]
mod tests;
