//! Settings of the claims on calls that must run at most once.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Size, Span};

/// How claims are kept and settled.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// The number of claim streams; every daemon must have the same.
    pub partitions: u32,
    /// How long a key is remembered: a repeat within this time never runs the call again.
    pub replay_window: Span,
    /// How long the log keeps its records; claims are written again before that.
    pub log_retention: Span,
    /// How long a call waits for its claim, or for the answer to another attempt under its key.
    pub settle_timeout: Span,
    /// The largest answer that is kept for repeats of its key.
    pub answer_max: Size,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            partitions: 1,
            replay_window: Span::from_secs(6 * 3_600),
            log_retention: Span::from_secs(24 * 3_600),
            settle_timeout: Span::from_secs(5),
            answer_max: Size::from_kib(64),
        }
    }
}

impl ClaimSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        if !(1..=1_024).contains(&self.partitions) {
            problems.add("claim.partitions", self.partitions, "1 to 1024");
        }
        if self.answer_max > Size::from_mib(1) {
            problems.add("claim.answer_max", self.answer_max, "at most 1MiB");
        }
        for (name, span) in [
            ("replay_window", self.replay_window),
            ("log_retention", self.log_retention),
            ("settle_timeout", self.settle_timeout),
        ] {
            if span.get().is_zero() {
                problems.add(format!("claim.{name}"), span, "more than 0s");
            }
        }
    }
}
