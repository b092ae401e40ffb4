//! Compares the routing strategies on the same seeded load in virtual time.
//!
//! `cargo run --release -p spindle-policy --example compare -- --help`

mod engine;
mod fleet;
mod load;

use clap::Parser;
use fleet::{Fleet, Setup, Wave};
use load::{Deployment, RequestSpec};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use spindle_policy::routing::Strategy;
use spindle_types::MonotonicInstant;
use spindle_types::config::LatencyTarget;
use std::time::Duration;
use strum::IntoEnumIterator;
use tabled::{Table, Tabled};

/// Requests that arrive before this time only warm the caches and are not counted.
const WARM_UP: Duration = Duration::from_secs(30);

const START: MonotonicInstant = MonotonicInstant::from_micros(0);

/// Compares the strategies that choose an upstream.
#[derive(Debug, Parser)]
struct Arguments {
    /// First seed of the load and of the routers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs, each with the next seed; their results are pooled.
    #[arg(long, default_value_t = 5)]
    runs: u64,
    /// Duration of the load in seconds; the first 30 s warm the caches and are not counted.
    #[arg(long, default_value_t = 150)]
    secs: u64,
    /// Requests per second and engine in the runs with a reclaim.
    #[arg(long, default_value_t = 1.8)]
    rate: f64,
    /// Let callers use a random daemon instead of the one that the address answer prefers.
    #[arg(long)]
    unsteered: bool,
    /// Number of engines whose load a daemon polls.
    #[arg(long, default_value_t = 4)]
    watched: usize,
    /// Interval between two load polls of an engine, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    poll_ms: u64,
    /// Skip the search for the highest rate that meets the target.
    #[arg(long)]
    quick: bool,
}

#[derive(Debug, Tabled)]
struct Row {
    deployment: &'static str,
    strategy: String,
    #[tabled(rename = "first token p50/p95/p99 (ms)")]
    first: String,
    #[tabled(rename = "interval p50/p95/p99 (ms)")]
    interval: String,
    #[tabled(rename = "in target (%)")]
    met: String,
    #[tabled(rename = "prefilled/request")]
    prefilled: String,
    #[tabled(rename = "recomputed")]
    recomputed: String,
    #[tabled(rename = "busy cost/1M tokens")]
    busy: String,
    #[tabled(rename = "highest rate in target (1/s)")]
    highest: String,
    #[tabled(rename = "cost/1M tokens at target")]
    cost: String,
}

fn main() {
    let arguments = &Arguments::parse();
    let deployments = [load::vendimia(), load::kanem()];
    let mut rows = Vec::new();
    for deployment in &deployments {
        std::thread::scope(|scope| {
            let row = |strategy| scope.spawn(move || row(arguments, deployment, strategy));
            let running: Vec<_> = Strategy::iter().map(row).collect();
            rows.extend(running.into_iter().filter_map(|row| row.join().ok()));
        });
    }
    println!("{}", Table::new(rows));
}

fn setup(arguments: &Arguments, strategy: Strategy, wave: Option<Wave>) -> Setup {
    Setup {
        strategy,
        params: |params| params,
        steered: !arguments.unsteered,
        watched: arguments.watched,
        poll: Duration::from_millis(arguments.poll_ms),
        wave,
    }
}

/// Pooled results of the runs of one strategy on one deployment.
#[derive(Debug, Default)]
struct Pooled {
    first: Vec<f64>,
    interval: Vec<f64>,
    requests: f64,
    met: f64,
    tokens: f64,
    prefilled: f64,
    recomputed: f64,
    busy: f64,
    hourly: f64,
}

impl Pooled {
    fn add(&mut self, deployment: &Deployment, fleet: &Fleet<'_>, requests: &[RequestSpec]) {
        let target = deployment.target;
        let first_max = target.first_token.get().as_secs_f64();
        let interval_max = target.token_interval.get().as_secs_f64();
        let all = fleet.outcomes.iter().zip(requests);
        for (outcome, _) in all.filter(|(_, request)| request.at.since(START) >= WARM_UP) {
            let first = outcome.first.unwrap_or(f64::INFINITY);
            let interval = outcome.interval.unwrap_or(0.0);
            self.first.push(first);
            self.interval.push(interval);
            self.requests += 1.0;
            self.met += f64::from(u8::from(first <= first_max && interval <= interval_max));
            self.prefilled += f64::from(outcome.prefilled);
            self.recomputed += f64::from(outcome.recomputed);
        }
        let produced = fleet.outcomes.iter().map(|outcome| f64::from(outcome.produced));
        self.tokens += produced.sum::<f64>();
        self.busy += fleet.engines.iter().map(|engine| engine.busy * engine.price).sum::<f64>();
        let paid = &fleet.engines[..deployment.engines];
        self.hourly = paid.iter().map(|engine| engine.price).sum();
    }

    fn sort(&mut self) {
        self.first.sort_by(f64::total_cmp);
        self.interval.sort_by(f64::total_cmp);
    }

    fn is_in_target(&self, target: &LatencyTarget) -> bool {
        percentile(&self.first, 95) <= target.first_token.get().as_secs_f64()
            && percentile(&self.interval, 95) <= target.token_interval.get().as_secs_f64()
    }
}

/// Runs a strategy with each seed and pools the results.
fn pool(arguments: &Arguments, deployment: &Deployment, setup: &Setup, rate: f64) -> Pooled {
    let mut pooled = Pooled::default();
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let span = Duration::from_secs(arguments.secs);
        let requests = load::requests(deployment, rate, span, &mut generator);
        let mut fleet = Fleet::new(deployment, setup, &requests, seed);
        fleet.run();
        pooled.add(deployment, &fleet, &requests);
    }
    pooled.sort();
    pooled
}

fn row(arguments: &Arguments, deployment: &Deployment, strategy: Strategy) -> Row {
    let wave = Wave {
        at: Duration::from_secs(arguments.secs / 2),
        notice: Duration::from_secs(5),
        replaced: Duration::from_secs(20),
    };
    let rate = arguments.rate * deployment.engines as f64;
    let pooled = pool(arguments, deployment, &setup(arguments, strategy, Some(wave)), rate);
    let highest = if arguments.quick { 0.0 } else { highest_rate(arguments, deployment, strategy) };
    // Average tokens per request over all runs.
    let answer = pooled.tokens / arguments.runs as f64 / (rate * arguments.secs as f64);
    let cost = pooled.hourly / (highest * answer * 3_600.0) * 1e6;
    Row {
        deployment: deployment.name,
        strategy: strategy.to_string(),
        first: percentiles(&pooled.first),
        interval: percentiles(&pooled.interval),
        met: format!("{:.1}", 100.0 * pooled.met / pooled.requests),
        prefilled: format!("{:.0}", pooled.prefilled / pooled.requests),
        recomputed: format!("{:.0}", pooled.recomputed / arguments.runs as f64),
        busy: format!("{:.3}", pooled.busy / 3_600.0 / pooled.tokens * 1e6),
        highest: format!("{highest:.1}"),
        cost: format!("{cost:.3}"),
    }
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    sorted.get(sorted.len() * percent / 100).copied().unwrap_or(f64::INFINITY)
}

fn percentiles(sorted: &[f64]) -> String {
    let text = [50, 95, 99].map(|percent| format!("{:.1}", 1e3 * percentile(sorted, percent)));
    text.join(" / ")
}

/// Highest rate in requests per second, to within 1 %, at which both 95th percentiles meet the
/// target.
fn highest_rate(arguments: &Arguments, deployment: &Deployment, strategy: Strategy) -> f64 {
    let engines = deployment.engines as f64;
    let (mut low, mut high) = (0.1 * engines, 5.0 * engines);
    while high - low > 0.01 * high {
        let rate = 0.5 * (low + high);
        let pooled = pool(arguments, deployment, &setup(arguments, strategy, None), rate);
        if pooled.is_in_target(&deployment.target) {
            low = rate;
        } else {
            high = rate;
        }
    }
    low
}
