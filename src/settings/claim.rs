//! Settings of claims. A call that must run at most once is sent only after a claim on its
//! idempotency key has been recorded in the log.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Size, Span};

/// Claims, which make sure that a call with an idempotency key runs at most once.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Number of log streams that hold claims. Every daemon must have the same value.
    pub partitions: u32,
    /// How long an idempotency key is remembered. A repeat within this time never runs the call
    /// again.
    pub replay_window: Span,
    /// How long the log service keeps claim records. Claims that are still needed are written again
    /// before their records expire.
    pub log_retention: Span,
    /// How long a call waits for its claim, or for the answer to another attempt with the same key.
    pub settle_timeout: Span,
    /// Maximum size of an answer that is kept for repeats with the same key.
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
