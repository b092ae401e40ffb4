//! Settings of how streams survive the loss of their upstream.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_policy::evacuation::TransferModel;
use spindle_types::{Problems, Size, Span};
use strum::Display;

/// What is done when an upstream is about to be taken back.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, JsonSchema, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "NoticeUse")]
pub enum NoticeAction {
    /// Streams stay, are transferred or resume elsewhere, as fits into the notice.
    #[default]
    Plan,
    /// Every stream resumes elsewhere at once; a baseline for measurements.
    Resume,
    /// Nothing; streams resume once they break. A baseline for measurements.
    Ignore,
}

/// How streams leave an upstream that is about to be taken back.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SurvivalSettings {
    /// The size of one token's KV cache.
    pub token_size: Size,
    /// What an engine can send of KV caches in a second; 0B if it can't send any.
    pub transfer_rate: Size,
    /// What is done with the notice.
    pub notice: NoticeAction,
    /// The part of a notice that is kept free at its end.
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
    /// The model by which moves are planned.
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
