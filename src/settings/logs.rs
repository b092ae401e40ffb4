//! Settings of the log output.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The least severe events that are logged.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    JsonSchema,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Failures of the process.
    Error,
    /// Failures of its peers, too.
    Warn,
    /// Changes of state, too.
    #[default]
    Info,
    /// Each request, too.
    Debug,
    /// Each message, too.
    Trace,
}

/// What is logged.
#[derive(Clone, Debug, Default, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The least severe events that are logged.
    pub level: LogLevel,
}
