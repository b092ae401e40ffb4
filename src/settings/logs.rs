//! Settings of the log output.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// The log level.
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
    /// Nothing is logged.
    Off,
    /// Failures of this process.
    Error,
    /// Also failures of peers.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also each request.
    Debug,
    /// Also each message.
    Trace,
}

/// Log output.
#[derive(Clone, Debug, Default, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The lowest severity of the events that are logged.
    pub level: LogLevel,
}
