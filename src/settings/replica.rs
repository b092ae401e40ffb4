//! Settings of the replicas of accepted requests, and of answers that are picked up.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Size, Span};
use strum::Display;

/// What is done with a request of which no other daemon can hold a replica.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, JsonSchema, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Unreplicated")]
pub enum UnreplicatedAction {
    /// It is served; it is lost if this daemon dies.
    #[default]
    Serve,
    /// It is refused as not run.
    Refuse,
}

/// How requests are replicated and picked up.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicaSettings {
    /// What is done with a request of which no replica can be had.
    pub unreplicated: UnreplicatedAction,
    /// The least time between two messages to the daemon that holds the replicas.
    pub interval: Span,
    /// The time without a message after which a replica takes over.
    pub lease: Span,
    /// How long a generation goes on after its caller has gone.
    pub grace: Span,
    /// How long an answer can be picked up after its end.
    pub keep: Span,
    /// The most that all answers kept may take.
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
