//! The command line: arguments and subcommands.

mod experiment;
mod load;
mod operate;
mod soak;
mod standin;

use self::experiment::ExperimentArguments;
use self::load::LoadArguments;
use self::operate::OperateCommand;
use self::soak::SoakArguments;
use self::standin::StandinArguments;
use crate::context::LiveContext;
use crate::daemon::Daemon;
use crate::deployment::Example;
use crate::reference::settings_reference;
use crate::settings::{self, LoadError, LogLevel, Settings, schema};
use crate::trace::{DaemonLog, trace};
use crate::{demo, logs, metrics, node};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use eyre::{WrapErr, eyre};
use spindle_http::DrainTrigger;
use spindle_platform::settings::{NodeSettings, SETTINGS_FILE_VARIABLE};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// The exit code if the arguments or a document contain mistakes.
const EXIT_INVALID: u8 = 2;

/// Serves language models and companion services on reclaimable instances.
#[derive(Debug, Parser)]
#[command(version, after_help = EXAMPLES)]
pub struct Arguments {
    /// Log level, in place of the one in the settings
    #[arg(long, global = true, value_name = "LEVEL")]
    log_level: Option<LogLevel>,
    #[command(subcommand)]
    command: Command,
}

/// Text printed below the help: examples and exit codes.
const EXAMPLES: &str = "\
Examples:
  bronzespindle demo --once
  bronzespindle check --settings examples/vendimia/settings.yaml
  bronzespindle serve --settings /etc/bronzespindle.yaml --log-level debug

Exit codes:
  0  done
  1  failed
  2  mistakes in the arguments or in a document";

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a daemon until SIGTERM or SIGINT, on which it drains and stops
    Serve {
        /// Settings file in YAML
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Runs a daemon on the users' platform, with a settings file written by that platform
    Node,
    /// Collects the lines about a request from the logs of daemons, and summarises its outcome
    Trace {
        /// Id of the request
        id: String,
        /// Log files of the daemons
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Validates a settings file and prints every mistake
    Check {
        /// Settings file in YAML
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Validates a file that the users' platform writes for `node`
        #[arg(long)]
        platform: bool,
    },
    /// Prints the JSON schema of the settings
    Schema,
    /// Prints the settings reference, in Markdown
    Reference,
    /// Runs a whole deployment in one process, with stand-ins for the platform and the upstreams
    Demo {
        /// Example deployment to run
        #[arg(long, value_enum, default_value_t)]
        example: Example,
        /// Sends a few requests, prints the results and exits
        #[arg(long)]
        once: bool,
    },
    /// Generates load on a fixed schedule and checks every answer
    Load(LoadArguments),
    /// Runs experiments and evaluates their results
    Experiment(ExperimentArguments),
    /// Runs load with random faults for several minutes, and fails if a guarantee was violated
    Soak(SoakArguments),
    /// Runs stand-ins for the platform and the upstreams, for use with daemons started by `serve`
    Standin(StandinArguments),
    /// Manages plans and shows reports and the status, through a daemon's administration API
    #[command(flatten)]
    Operate(OperateCommand),
    /// Prints shell completions
    Completions {
        /// Shell to generate completions for
        shell: Shell,
    },
}

impl clap::ValueEnum for LogLevel {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Off, Self::Error, Self::Warn, Self::Info, Self::Debug, Self::Trace]
    }

    fn to_possible_value(&self) -> Option<clap::builder::PossibleValue> {
        Some(clap::builder::PossibleValue::new(<&'static str>::from(*self)))
    }
}

/// Parses the arguments and runs the subcommand.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match execute(arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute(arguments: Arguments) -> eyre::Result<ExitCode> {
    let level = arguments.log_level;
    match arguments.command {
        Command::Serve { settings } => with_settings(&settings, |settings| {
            logs::start_stderr(level.unwrap_or(settings.logs.level));
            block_on(serve(settings))
        }),
        Command::Node => run_node(level.unwrap_or(LogLevel::Info)),
        Command::Trace { id, files } => print_trace(&id, &files),
        Command::Check { settings, platform: true } => check_node(&settings),
        Command::Check { settings, platform: false } => with_settings(&settings, |_| {
            println!("no mistakes");
            Ok(())
        }),
        Command::Schema => {
            println!("{:#}", schema::<Settings>());
            Ok(ExitCode::SUCCESS)
        }
        Command::Reference => {
            print!("{}", settings_reference());
            Ok(ExitCode::SUCCESS)
        }
        Command::Demo { example, once } => {
            logs::start_stderr(level.unwrap_or(LogLevel::Error));
            if once {
                block_on(demo::run_checks(example))?;
            } else {
                block_on(demo::serve(example))?;
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Load(arguments) => {
            logs::start_stderr(level.unwrap_or(LogLevel::Error));
            block_on(arguments.execute())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Experiment(arguments) => {
            logs::start_stderr(level.unwrap_or(LogLevel::Off));
            block_on(arguments.execute())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Soak(arguments) => {
            logs::start_stderr(level.unwrap_or(LogLevel::Off));
            block_on(arguments.execute())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Standin(arguments) => {
            logs::start_stderr(level.unwrap_or(LogLevel::Error));
            block_on(arguments.execute())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Operate(command) => {
            logs::start_stderr(level.unwrap_or(LogLevel::Error));
            operate::execute(command)
        }
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "bronzespindle", &mut std::io::stdout());
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn block_on<F: Future<Output = eyre::Result<()>>>(task: F) -> eyre::Result<()> {
    tokio::runtime::Builder::new_multi_thread().enable_all().build()?.block_on(task)
}

/// Runs a daemon on the users' platform. It uses a single thread, as its instance has only a fraction
/// of a core.
fn run_node(level: LogLevel) -> eyre::Result<ExitCode> {
    let path = std::env::var_os(SETTINGS_FILE_VARIABLE);
    let path = path.ok_or_else(|| eyre!("the variable {SETTINGS_FILE_VARIABLE} is not set"))?;
    with_node_settings(Path::new(&path), |settings| {
        logs::start_stdout(level);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let result = runtime.block_on(node::run(settings));
        logs::flush_stdout();
        result
    })
}

/// Prints every mistake of a settings file for `node`, or its main values if there are none.
fn check_node(path: &Path) -> eyre::Result<ExitCode> {
    with_node_settings(path, |settings| {
        println!("no mistakes");
        println!("instance={} data_centre={}", settings.instance, settings.data_centre);
        println!("caller={} peer={}", settings.caller_address, settings.peer_address);
        Ok(())
    })
}

/// Loads settings written by the users' platform and passes them to `next`, or prints every mistake.
fn with_node_settings(
    path: &Path,
    next: impl FnOnce(NodeSettings) -> eyre::Result<()>,
) -> eyre::Result<ExitCode> {
    match spindle_platform::settings::load(path) {
        Ok(settings) => next(settings).map(|()| ExitCode::SUCCESS),
        Err(problems) => {
            eprintln!("{problems}");
            Ok(ExitCode::from(EXIT_INVALID))
        }
    }
}

/// Prints the lines about a request from the logs, and a summary of its outcome.
fn print_trace(id: &str, files: &[PathBuf]) -> eyre::Result<ExitCode> {
    let mut logs = Vec::with_capacity(files.len());
    for path in files {
        let content = std::fs::read(path).wrap_err_with(|| path.display().to_string())?;
        let name = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy().into_owned();
        logs.push(DaemonLog { name, text: String::from_utf8_lossy(&content).into_owned() });
    }
    print!("{}", trace(id, &logs)?);
    Ok(ExitCode::SUCCESS)
}

/// Loads the settings and passes them to `next`, or prints every mistake.
fn with_settings(
    path: &Path,
    next: impl FnOnce(Settings) -> eyre::Result<()>,
) -> eyre::Result<ExitCode> {
    match settings::load(path) {
        Ok(settings) => next(settings).map(|()| ExitCode::SUCCESS),
        Err(error @ LoadError::File { .. }) => Err(error.into()),
        Err(LoadError::Problems(problems)) => {
            eprintln!("{problems}");
            eprintln!("{} mistakes in {}", problems.as_slice().len(), path.display());
            Ok(ExitCode::from(EXIT_INVALID))
        }
    }
}

/// Runs a daemon until SIGTERM or SIGINT.
async fn serve(settings: Settings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let metrics_drain = DrainTrigger::new();
    if let Some(listen) = settings.metrics.listen {
        let address = metrics::start(listen, metrics_drain.signal()).await?;
        log::info!("event=metrics_started address={address}");
    }
    let context = LiveContext::new(&settings.platform);
    let daemon = Daemon::start(context, settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    daemon.stop().await;
    Ok(())
}
