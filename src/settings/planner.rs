//! Settings of the reconciler, which the daemon that holds the lease runs to start and stop
//! instances until they match the confirmed plan.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span};

/// Reconciliation of the running instances with the confirmed plan.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerSettings {
    /// Time between two comparisons of the running instances with the plan.
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
