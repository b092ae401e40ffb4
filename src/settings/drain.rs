//! Settings of a planned stop of the daemon.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span};

/// Planned stop of the daemon.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// How long the daemon still accepts new connections after it has been removed from the answers
    /// to address queries.
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
