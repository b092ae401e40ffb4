//! Settings of a planned stop.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span};

/// How a planned stop goes.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// How long new connections are still accepted after the daemon has left the address answers.
    pub linger: Span,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { linger: Span::from_secs(2) }
    }
}

impl DrainSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        if self.linger > Span::from_secs(60) {
            problems.add("drain.linger", self.linger, "at most 1m");
        }
    }
}
