//! Runs the stand-ins of the platform and the upstreams as a separate process, for daemons that run
//! as processes of their own.

use crate::deployment::{Deployment, DeploymentOptions, Example, IntervalPreset};
use crate::settings::Settings;
use eyre::WrapErr;
use spindle_standin::EngineModel;
use spindle_types::{Span, Team};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The maximum team weight in published changes. Weights cycle from 1 to this value.
const WEIGHT_MAX: u32 = 8;

/// Which stand-ins and daemons to run.
#[derive(Clone, Debug)]
pub struct StandinOptions {
    /// The example deployment to start.
    pub example: Example,
    /// The number of settings files to write for daemons that run as processes of their own.
    pub external_daemons: usize,
    /// The number of daemons that run in the process of the stand-ins.
    pub daemons: usize,
    /// The number of engines; `None` uses the example's number.
    pub engines: Option<usize>,
    /// The rate of published configuration changes, per second.
    pub changes: f64,
    /// The directory to which settings files are written.
    pub directory: PathBuf,
    /// The service times of the engine stand-ins.
    pub engine_model: EngineModel,
}

/// Starts the stand-ins, writes the settings files, prints the addresses, and runs until the process
/// is interrupted.
///
/// # Errors
///
/// A port can't be bound or a file can't be written.
pub async fn serve(options: StandinOptions) -> eyre::Result<()> {
    let deployment_options = DeploymentOptions {
        daemons: options.daemons,
        engines: options.engines,
        intervals: IntervalPreset::Standard,
        ..DeploymentOptions::default()
    };
    let deployment =
        Deployment::start_with(options.example, deployment_options, options.engine_model).await?;
    for index in 0..options.external_daemons {
        let settings = external_settings(&deployment, options.daemons + index)?;
        let path = write_settings(&options.directory, &settings)?;
        println!("daemon {} {}", settings.caller.listen, path.display());
    }
    for daemon in &deployment.daemons {
        println!("inside {}", daemon.caller_address());
    }
    println!("instances {}", deployment.platform.list_address());
    for (instance, upstream) in deployment.all_upstreams() {
        println!("{} {} {instance}", upstream.kind(), upstream.address());
    }
    println!("ready");
    tokio::select! {
        stopped = tokio::signal::ctrl_c() => stopped?,
        published = publish_changes(&deployment, options.changes) => published?,
    }
    Ok(())
}

/// Returns the settings of an external daemon. Its loopback ports were free when they were probed,
/// but another process may take them before the daemon starts.
fn external_settings(deployment: &Deployment, index: usize) -> eyre::Result<Settings> {
    let mut settings = deployment.settings(index)?;
    settings.caller.listen = free_port()?;
    settings.peer.listen = free_port()?;
    settings.drain.linger = Span::from_secs(2);
    Ok(settings)
}

fn free_port() -> eyre::Result<SocketAddr> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}

fn write_settings(directory: &Path, settings: &Settings) -> eyre::Result<PathBuf> {
    let path = directory.join(format!("{}.yaml", settings.identity.instance));
    std::fs::write(&path, serde_norway::to_string(settings)?)
        .wrap_err_with(|| path.display().to_string())?;
    Ok(path)
}

/// Publishes changes of team weights at a fixed rate per second. Never returns if the rate is 0.
async fn publish_changes(deployment: &Deployment, rate: f64) -> eyre::Result<()> {
    if rate <= 0.0 {
        return std::future::pending().await;
    }
    let mut teams: Vec<Team> = deployment.configuration.teams.keys().cloned().collect();
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    let mut weight = 0;
    loop {
        interval.tick().await;
        teams.rotate_left(1);
        weight = weight % WEIGHT_MAX + 1;
        if let Some(team) = teams.first() {
            deployment.publish_weight(team, weight)?;
        }
    }
}
