//! Plans the evacuation of the streams of an upstream that has received a stop notice.
//!
//! Each stream either stays until it is done, moves with its KV cache, or resumes at another
//! upstream from its prompt and the tokens produced so far. The plan minimises the tokens that have
//! to be computed again, and leaves no stream at the upstream when the notice ends.

use serde::{Deserialize, Serialize};
use spindle_types::MonotonicInstant;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// How a stream leaves the upstream.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum StreamAction {
    /// The stream stays, because it will be done before the notice ends.
    Stay,
    /// The KV cache is transferred while the stream continues; then it moves to another upstream.
    Transfer,
    /// Another upstream computes the KV cache again from the prompt and the tokens produced so far.
    Resume,
}

/// A stream at an upstream that is about to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavingStream<K> {
    /// The key of the stream.
    pub key: K,
    /// When the caller expects the answer; streams with earlier deadlines are planned first.
    pub deadline: MonotonicInstant,
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// The number of tokens produced so far.
    pub produced_tokens: u32,
    /// The maximum number of tokens still to be produced.
    pub max_remaining_tokens: u32,
    /// The measured time between two tokens; `None` before the second token.
    pub token_interval: Option<Duration>,
}

/// The cost model of KV cache transfers from one upstream to others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransferModel {
    /// The KV cache size of one token, in bytes.
    pub token_bytes: u64,
    /// The total rate of all transfers from one upstream, in bytes per second; 0 if it can't
    /// transfer.
    pub rate: u64,
    /// The time at the end of the notice that the plan does not use.
    pub margin: Duration,
}

impl TransferModel {
    /// The time to transfer the KV cache of `tokens` tokens; `None` if the upstream can't transfer.
    pub fn duration(&self, tokens: u64) -> Option<Duration> {
        let bytes = tokens.saturating_mul(self.token_bytes);
        let micros = bytes.saturating_mul(1_000_000).checked_div(self.rate)?;
        Some(Duration::from_micros(micros))
    }
}

/// Plans an action for each stream of an upstream that stops at `stop`, in order of execution.
pub fn plan_moves<K: Copy + Ord>(
    now: MonotonicInstant,
    stop: MonotonicInstant,
    model: &TransferModel,
    mut streams: Vec<LeavingStream<K>>,
) -> Vec<(K, StreamAction)> {
    let usable = stop.since(now).saturating_sub(model.margin);
    let mut transfer_time = Duration::ZERO;
    streams.sort_by_key(|stream| (stream.deadline, stream.key));
    let decide = |stream: &LeavingStream<K>| {
        if finishes_in_time(stream, usable) {
            return StreamAction::Stay;
        }
        let tokens = u64::from(stream.prompt_tokens) + u64::from(stream.produced_tokens);
        match model.duration(tokens) {
            Some(duration) if stream.produced_tokens > 0 && transfer_time + duration <= usable => {
                transfer_time += duration;
                StreamAction::Transfer
            }
            _ => StreamAction::Resume,
        }
    };
    let moves: Vec<_> = streams.iter().map(decide).collect();
    streams.iter().map(|stream| stream.key).zip(moves).collect()
}

/// Whether a stream is certain to be done within the usable time.
fn finishes_in_time<K>(stream: &LeavingStream<K>, usable: Duration) -> bool {
    let Some(token_interval) = stream.token_interval else {
        return false;
    };
    token_interval.saturating_mul(stream.max_remaining_tokens) <= usable
}

#[cfg(test)]
mod tests;
