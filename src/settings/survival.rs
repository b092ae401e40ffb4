//! Settings of moving streams away from upstreams that are about to be reclaimed.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_policy::evacuation::TransferModel;
use spindle_types::{Problems, Size, Span};
use strum::Display;

/// What happens to the streams of an upstream when a reclaim notice for it arrives.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, JsonSchema, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "NoticeUse")]
pub enum NoticeAction {
    /// Each stream stays to its end, is transferred with its KV cache, or resumes at another
    /// upstream, depending on what fits into the notice period.
    #[default]
    Plan,
    /// Every stream resumes at another upstream at once. A baseline for measurements.
    Resume,
    /// Nothing until a stream breaks, which then resumes at another upstream. A baseline for
    /// measurements.
    Ignore,
}

/// Moving streams away from an upstream that is about to be reclaimed.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SurvivalSettings {
    /// Size of the KV cache of one token.
    pub token_size: Size,
    /// KV cache data that an engine can transfer per second; 0B if it can't transfer any.
    pub transfer_rate: Size,
    /// How a reclaim notice is used.
    pub notice: NoticeAction,
    /// Time at the end of the notice period that the plan does not use.
    pub margin: Span,
}

impl Default for SurvivalSettings {
    fn default() -> Self {
        Self {
            token_size: Size::from_kib(128),
            transfer_rate: Size::from_mib(2_048),
            notice: NoticeAction::default(),
            margin: Span::from_millis(150),
        }
    }
}

impl SurvivalSettings {
    /// The model from which the duration of KV cache transfers is estimated.
    pub const fn transfer_model(&self) -> TransferModel {
        TransferModel {
            token_bytes: self.token_size.0,
            rate: self.transfer_rate.0,
            margin: self.margin.get(),
        }
    }

    pub(super) fn check(&self, problems: &mut Problems) {
        if self.token_size.0 == 0 {
            problems.add("survival.token_size", self.token_size, "more than 0B");
        }
        if self.margin > Span::from_secs(5) {
            problems.add("survival.margin", self.margin, "at most 5s");
        }
    }
}
