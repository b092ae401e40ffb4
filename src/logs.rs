//! Log output: one line of key=value pairs an event.

use crate::settings::LogLevel;
use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Off => Self::Off,
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}

/// Starts the log output on standard error. Does nothing if it has been started before.
pub fn start(level: LogLevel) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("bronzespindle")
        .add_filter_allow_str("spindle")
        .build();
    // An error means that it has been started before.
    let _ = TermLogger::init(level.into(), config, TerminalMode::Stderr, ColorChoice::Never);
}
