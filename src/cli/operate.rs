//! The subcommands of operators: clients of the administration API.

use super::{EXIT_INVALID, block_on};
use crate::burn;
use crate::settings::check_document;
use crate::show;
use clap::{Args, Subcommand, ValueEnum};
use eyre::{WrapErr, eyre};
use spindle_operator::{AdminClient, AdminError, AdminRefusal};
use spindle_policy::burn::BurnReport;
use spindle_policy::spend::CostReport;
use spindle_types::{Intent, Problems};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The environment variable that holds the key if no option gives it.
const KEY_VARIABLE: &str = "BRONZESPINDLE_KEY";

/// What operators do.
#[derive(Debug, Subcommand)]
pub(super) enum OperateCommand {
    /// Makes a plan that meets an intent, and shows its cost; nothing changes
    Plan {
        /// The intent, in YAML
        intent: PathBuf,
        #[command(flatten)]
        access: Access,
    },
    /// Lists the newest plans, or shows one
    Plans {
        /// A plan's digest or its beginning
        plan: Option<String>,
        #[command(flatten)]
        access: Access,
    },
    /// Puts a plan in force, exactly as it was shown
    Confirm {
        /// The plan's digest or its beginning
        plan: String,
        #[command(flatten)]
        access: Access,
    },
    /// Declines a plan for good
    Reject {
        /// The plan's digest or its beginning
        plan: String,
        #[command(flatten)]
        access: Access,
    },
    /// Reports on service levels
    #[command(subcommand)]
    Report(ReportCommand),
    /// Shows what is in force, what runs and what it costs
    Status {
        #[command(flatten)]
        access: Access,
    },
}

/// What is reported on.
#[derive(Debug, Subcommand)]
pub(super) enum ReportCommand {
    /// Service levels by team and model, and how fast their error budgets burn
    Burn {
        /// The form of the report
        #[arg(long, value_enum, default_value_t)]
        format: Format,
        #[command(flatten)]
        access: Access,
    },
    /// Spend by pool, data centre, market and team, against the plan and the budgets
    Cost {
        /// The form of the report
        #[arg(long, value_enum, default_value_t)]
        format: PlainFormat,
        #[command(flatten)]
        access: Access,
    },
}

/// The form of a report without plots.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub(super) enum PlainFormat {
    /// A table
    #[default]
    Table,
    /// JSON
    Json,
}

/// The form of a report.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub(super) enum Format {
    /// A table
    #[default]
    Table,
    /// JSON
    Json,
    /// A page with plots
    Html,
}

/// Where the administration API is, and the key for it.
#[derive(Debug, Args)]
pub(super) struct Access {
    /// The administration address of any daemon
    #[arg(long, value_name = "IP:PORT")]
    admin: SocketAddr,
    /// A file that holds the key; without it, BRONZESPINDLE_KEY is read
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
}

impl Access {
    fn client(&self) -> eyre::Result<AdminClient> {
        let key = match &self.key_file {
            Some(path) => {
                std::fs::read_to_string(path).wrap_err_with(|| format!("{}", path.display()))?
            }
            None => std::env::var(KEY_VARIABLE)
                .map_err(|_| eyre!("no key: use --key-file or set {KEY_VARIABLE}"))?,
        };
        Ok(AdminClient::new(self.admin, key.trim().to_owned()))
    }
}

/// Runs a subcommand and prints its result.
pub(super) fn execute(command: OperateCommand) -> eyre::Result<ExitCode> {
    let mut code = ExitCode::SUCCESS;
    block_on(async {
        match text(command).await {
            Ok(text) => {
                println!("{}", text.trim_end());
                Ok(())
            }
            Err(Failure::Invalid(problems)) => {
                eprintln!("{problems}");
                code = ExitCode::from(EXIT_INVALID);
                Ok(())
            }
            Err(Failure::Other(error)) => Err(error),
        }
    })?;
    Ok(code)
}

enum Failure {
    Invalid(Problems),
    Other(eyre::Report),
}

impl From<eyre::Report> for Failure {
    fn from(error: eyre::Report) -> Self {
        Self::Other(error)
    }
}

impl From<AdminError> for Failure {
    fn from(error: AdminError) -> Self {
        match error {
            AdminError::Refused(AdminRefusal::Invalid { problems }) => Self::Invalid(problems),
            other => Self::Other(other.into()),
        }
    }
}

async fn text(command: OperateCommand) -> Result<String, Failure> {
    Ok(match command {
        OperateCommand::Plan { intent, access } => {
            let intent = load(&intent)?;
            let view = access.client()?.plan(&intent).await?;
            let confirm = format!("confirm with: bronzespindle confirm {}", view.digest);
            format!("{}{confirm}", show::plan(&view))
        }
        OperateCommand::Plans { plan: None, access } => {
            show::plans(&access.client()?.plans().await?)
        }
        OperateCommand::Plans { plan: Some(plan), access } => {
            show::plan(&access.client()?.show(&plan).await?)
        }
        OperateCommand::Confirm { plan, access } => {
            let confirmed = access.client()?.confirm(&plan).await?;
            format!("in force with revision {}", confirmed.revision)
        }
        OperateCommand::Reject { plan, access } => {
            access.client()?.reject(&plan).await?;
            "rejected".to_owned()
        }
        OperateCommand::Report(ReportCommand::Burn { format, access }) => {
            burn_text(&access.client()?.burn().await?, format)?
        }
        OperateCommand::Report(ReportCommand::Cost { format, access }) => {
            cost_text(&access.client()?.cost().await?, format)?
        }
        OperateCommand::Status { access } => show::status(&access.client()?.status().await?),
    })
}

fn load(path: &Path) -> Result<Intent, Failure> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("{}", path.display()))?;
    let intent: Intent = check_document(&text).map_err(Failure::Invalid)?;
    let problems = intent.check();
    problems.finish(|| intent).map_err(Failure::Invalid)
}

fn burn_text(report: &BurnReport, format: Format) -> eyre::Result<String> {
    match format {
        Format::Table => Ok(burn::table(report)),
        Format::Json => Ok(serde_json::to_string_pretty(report)?),
        Format::Html => burn::page(report),
    }
}

fn cost_text(report: &CostReport, format: PlainFormat) -> eyre::Result<String> {
    match format {
        PlainFormat::Table => Ok(show::cost(report)),
        PlainFormat::Json => Ok(serde_json::to_string_pretty(report)?),
    }
}
