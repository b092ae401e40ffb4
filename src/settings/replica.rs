//! Settings of the replicas of accepted requests, and of the answers kept for callers that
//! reconnect.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Size, Span};
use strum::Display;

/// What happens to a request if no other daemon can hold a replica of it.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, JsonSchema, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Unreplicated")]
pub enum UnreplicatedAction {
    /// The request is served. It is lost if this daemon dies.
    #[default]
    Serve,
    /// The request is refused, with the outcome that it was not run.
    Refuse,
}

/// Replication of accepted requests, and storage of answers that a caller can fetch again.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicaSettings {
    /// What happens to a request if no other daemon can hold a replica of it.
    pub unreplicated: UnreplicatedAction,
    /// Minimum time between two messages to the daemon that holds the replicas.
    pub interval: Span,
    /// Time without a message after which the daemon that holds a replica takes the request over.
    pub lease: Span,
    /// How long a generation continues after its caller has disconnected.
    pub grace: Span,
    /// How long a completed answer is kept for a caller that reconnects.
    pub keep: Span,
    /// Maximum total size of the answers that are kept.
    pub keep_max: Size,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            unreplicated: UnreplicatedAction::default(),
            interval: Span::from_millis(5),
            lease: Span::from_secs(2),
            grace: Span::from_secs(2),
            keep: Span::from_secs(120),
            keep_max: Size::from_mib(64),
        }
    }
}

impl ReplicaSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        if self.lease < Span::from_millis(500) {
            problems.add("replica.lease", self.lease, "500ms or more");
        }
        if self.interval > Span::from_millis(100) {
            problems.add("replica.interval", self.interval, "at most 100ms");
        }
        if self.keep_max.0 == 0 {
            problems.add("replica.keep_max", self.keep_max, "more than 0B");
        }
    }
}
