//! Settings of the state that the daemons share through the log service.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span};

/// How shared state is kept.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StateSettings {
    /// The time for which the log service keeps records.
    pub retention: Span,
    /// The time for which the daemon that acts for all may act without renewing its lease.
    pub lease_term: Span,
    /// The longest time that an order to an upstream or the cloud may take.
    pub order_timeout: Span,
    /// The time within which the effect of a published change must be known.
    pub publish_timeout: Span,
}

impl Default for StateSettings {
    fn default() -> Self {
        Self {
            retention: Span::from_secs(24 * 60 * 60),
            lease_term: Span::from_secs(10),
            order_timeout: Span::from_secs(5),
            publish_timeout: Span::from_secs(10),
        }
    }
}

impl StateSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        if self.retention < Span::from_secs(600) {
            problems.add("state.retention", self.retention, "10m or more");
        }
        if self.lease_term < Span::from_secs(1) || self.lease_term > Span::from_secs(60) {
            problems.add("state.lease_term", self.lease_term, "1s to 1m");
        }
        if self.order_timeout >= self.lease_term {
            problems.add("state.order_timeout", self.order_timeout, "less than lease_term");
        }
    }
}
