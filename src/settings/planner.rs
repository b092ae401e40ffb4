//! Settings of the daemon that holds the lease: how it brings what runs to what was confirmed.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span};

/// How the confirmed plan is carried out.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerSettings {
    /// The time between two looks at what runs.
    pub interval: Span,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self { interval: Span::from_secs(10) }
    }
}

impl PlannerSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        if self.interval < Span::from_millis(50) || self.interval > Span::from_secs(60) {
            problems.add("planner.interval", self.interval, "50ms to 1m");
        }
    }
}
