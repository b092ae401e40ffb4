//! Settings of the admission queues in front of the pools, and of retries.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_policy::admission::AdmissionParams;
use spindle_policy::retry::RetryParams;
use spindle_types::{Problems, Share, Size, Span};

/// Admission queues and retries.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// How long an interactive request may be queued before it is refused.
    pub interactive_wait: Span,
    /// How long a batch request may be queued before it is refused.
    pub batch_wait: Span,
    /// Maximum number of requests that may be queued for a pool.
    pub queue_max: u32,
    /// Maximum number of requests of one team that may be queued for a pool.
    pub team_max: u32,
    /// Maximum total size of the requests that may be queued for a pool.
    pub queue_bytes: Size,
    /// Fraction of a pool's limit that is reserved for teams that run less than their fair share.
    pub reserve: Share,
    /// Retries granted per successful request, both of a team and of a pool.
    pub retry_ratio: Share,
    /// Retries granted in a window even without successes, for each team and each pool.
    pub retry_floor: u32,
    /// Time in which the weight of a success or a retry decays to 1/e.
    pub retry_window: Span,
    /// Upper bound of the delay before the first retry. It doubles with each retry.
    pub retry_delay: Span,
    /// Upper bound of the delay before any retry.
    pub retry_max: Span,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        let admission = AdmissionParams::default();
        let retry = RetryParams::default();
        Self {
            interactive_wait: Span(admission.interactive_wait),
            batch_wait: Span(admission.batch_wait),
            queue_max: u32::try_from(admission.queue_max).unwrap_or(u32::MAX),
            team_max: u32::try_from(admission.team_max).unwrap_or(u32::MAX),
            queue_bytes: Size(admission.bytes_max as u64),
            reserve: Share::try_from(admission.reserve).unwrap_or_default(),
            retry_ratio: Share::try_from(retry.ratio).unwrap_or_default(),
            retry_floor: retry.floor as u32,
            retry_window: Span(retry.window),
            retry_delay: Span(retry.delay_base),
            retry_max: Span(retry.delay_max),
        }
    }
}

impl AdmissionSettings {
    /// The bounds of the queues. `token_time` is the time that an idle engine takes per token.
    pub fn admission_params(&self, token_time: Span) -> AdmissionParams {
        AdmissionParams {
            interactive_wait: self.interactive_wait.get(),
            batch_wait: self.batch_wait.get(),
            queue_max: usize::try_from(self.queue_max).unwrap_or(usize::MAX),
            team_max: usize::try_from(self.team_max).unwrap_or(usize::MAX),
            bytes_max: self.queue_bytes.bytes(),
            reserve: self.reserve.get(),
            token_time: token_time.get(),
        }
    }

    /// The budget and the backoff of retries.
    pub fn retry_params(&self) -> RetryParams {
        RetryParams {
            ratio: self.retry_ratio.get(),
            floor: f64::from(self.retry_floor),
            window: self.retry_window.get(),
            delay_base: self.retry_delay.get(),
            delay_max: self.retry_max.get(),
        }
    }

    pub(super) fn check(&self, problems: &mut Problems) {
        if self.reserve.get() > 0.9 {
            problems.add("admission.reserve", self.reserve.get(), "at most 0.9");
        }
        if self.retry_floor == 0 {
            problems.add("admission.retry_floor", 0, "1 or more");
        }
        if self.retry_window < Span::from_secs(1) {
            problems.add("admission.retry_window", self.retry_window, "1s or more");
        }
        if self.retry_delay > self.retry_max {
            let allowed = format!("at most admission.retry_max, {}", self.retry_max);
            problems.add("admission.retry_delay", self.retry_delay, allowed);
        }
    }
}
