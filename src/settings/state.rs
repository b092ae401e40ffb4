//! Settings of the state that the daemons share through the log service.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span};

/// State that all daemons share through the log service.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StateSettings {
    /// How long the log service keeps records.
    pub retention: Span,
    /// How long the leader may act without renewing its lease. The leader is the one daemon that
    /// sends orders to upstreams and the cloud.
    pub lease_term: Span,
    /// Timeout of an order to an upstream or the cloud.
    pub order_timeout: Span,
    /// How long a published change waits until it is known whether it took effect.
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
