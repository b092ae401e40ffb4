//! The subcommand `load`.

use crate::deployment::{Deployment, Example};
use crate::load::{self, LoadReport, LoadRun, Progress, Targets};
use crate::process::Sampler;
use crate::settings::{TrafficSettings, check_document};
use clap::Args;
use eyre::WrapErr;
use spindle_standin::EngineModel;
use spindle_types::{Configuration, Problems, Span};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments of the subcommand `load`: the load to generate and its targets.
#[derive(Debug, Args)]
pub(super) struct LoadArguments {
    /// File with the settings of the load in YAML; the options below override them
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Address of a daemon; without any, a deployment is started in this process
    #[arg(long, value_name = "IP:PORT")]
    address: Vec<SocketAddr>,
    /// Address of a stand-in of a plain service, from which the calls that it ran are read
    #[arg(long, value_name = "IP:PORT", requires = "address")]
    service: Vec<SocketAddr>,
    /// Address of an engine; generations are sent directly to the engines, in rotation
    #[arg(long, value_name = "IP:PORT", requires = "address")]
    engine: Vec<SocketAddr>,
    /// Process id of a daemon, whose processor time and memory are reported
    #[arg(long, value_name = "PID")]
    process: Vec<u32>,
    /// Example deployment whose mix of requests is sent
    #[arg(long, value_enum)]
    example: Option<Example>,
    /// Seed of all random numbers
    #[arg(long)]
    seed: Option<u64>,
    /// Arrivals per second
    #[arg(long)]
    rate: Option<f64>,
    /// Period in which requests arrive, such as 30s
    #[arg(long)]
    duration: Option<Span>,
    /// Maximum number of tokens of any answer
    #[arg(long)]
    max_tokens: Option<u32>,
    /// Name of the only kind of request to send
    #[arg(long)]
    kind: Option<String>,
    /// Number of daemons of the deployment started in this process
    #[arg(long, default_value_t = 3, conflicts_with = "address")]
    daemons: usize,
    /// Prints the report as one line of JSON
    #[arg(long)]
    json: bool,
    /// Writes a plot of latencies over time
    #[arg(long, value_name = "SVG FILE")]
    plot: Option<PathBuf>,
}

impl LoadArguments {
    /// The settings of the load, from the file and the options.
    fn traffic(&self) -> eyre::Result<TrafficSettings> {
        let mut traffic = match &self.settings {
            Some(path) => {
                let text =
                    std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
                check_document(&text)?
            }
            None => TrafficSettings::default(),
        };
        traffic.example = self.example.unwrap_or(traffic.example);
        traffic.seed = self.seed.unwrap_or(traffic.seed);
        traffic.rate = self.rate.unwrap_or(traffic.rate);
        traffic.duration = self.duration.unwrap_or(traffic.duration);
        traffic.max_tokens = self.max_tokens.or(traffic.max_tokens);
        traffic.kind = self.kind.clone().or(traffic.kind);
        let mut problems = Problems::new();
        traffic.check(&mut problems);
        Ok(problems.finish(|| traffic)?)
    }

    /// Generates the load and prints the report.
    ///
    /// # Errors
    ///
    /// The settings contain mistakes, or the deployment does not start.
    pub(super) async fn execute(self) -> eyre::Result<()> {
        let traffic = self.traffic()?;
        let configuration = traffic.example.configuration()?;
        let target = load::latency_target(&traffic, &configuration);
        let samplers: Vec<Sampler> =
            self.process.iter().map(|pid| Sampler::start(*pid)).collect::<Result<_, _>>()?;
        let (run, submissions) = if self.address.is_empty() {
            self.run_in_process(traffic).await?
        } else {
            self.run_remote(traffic, &configuration).await?
        };
        let mut report = LoadReport::new(&run, target, submissions.as_deref());
        report.processes = samplers.into_iter().map(Sampler::finish).collect::<Result<_, _>>()?;
        if let Some(path) = &self.plot {
            load::plot(&run, path)?;
        }
        if self.json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            load::print_report(&report);
        }
        Ok(())
    }

    /// Starts a deployment in this process and generates the load. Also returns the calls that the
    /// plain services ran.
    async fn run_in_process(
        &self,
        traffic: TrafficSettings,
    ) -> eyre::Result<(LoadRun, Option<Vec<String>>)> {
        let deployment =
            Deployment::start(traffic.example, self.daemons, EngineModel::default()).await?;
        let targets = Targets::daemons(&deployment);
        let run = load::run(traffic, &deployment.configuration, targets, Progress::Shown).await?;
        let submissions = deployment.submissions();
        Ok((run, Some(submissions)))
    }

    /// Generates the load at the given addresses. Also returns the calls that the plain services ran,
    /// if addresses of services were given.
    async fn run_remote(
        &self,
        traffic: TrafficSettings,
        configuration: &Configuration,
    ) -> eyre::Result<(LoadRun, Option<Vec<String>>)> {
        let targets = Targets { daemons: self.address.clone(), engines: self.engine.clone() };
        let run = load::run(traffic, configuration, targets, Progress::Shown).await?;
        if self.service.is_empty() {
            return Ok((run, None));
        }
        Ok((run, Some(load::fetch_submissions(&self.service).await?)))
    }
}
