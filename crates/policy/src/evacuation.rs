//! What becomes of the streams of an upstream that has been told to leave.
//!
//! Each stream stays until it is done, moves with its KV cache, or resumes elsewhere from its
//! prompt and the tokens produced so far. The choice keeps the number of tokens that have to be
//! computed again low, and leaves nothing behind when the notice ends.

use serde::{Deserialize, Serialize};
use spindle_types::MonotonicInstant;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// What a stream does.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum StreamAction {
    /// It stays, for it will be done before the notice ends.
    Stay,
    /// Its KV cache is transferred while it goes on, and it then continues elsewhere.
    Transfer,
    /// It is computed again elsewhere from its prompt and the tokens produced so far.
    Resume,
}

/// A stream at an upstream that leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeavingStream<K> {
    /// Which stream.
    pub key: K,
    /// When its caller expects the answer; the earliest is served first.
    pub deadline: MonotonicInstant,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The tokens produced so far.
    pub produced_tokens: u32,
    /// The most tokens that are still to come.
    pub max_remaining_tokens: u32,
    /// The time between two tokens, as measured; none before the second token.
    pub token_interval: Option<Duration>,
}

/// How KV caches are transferred from one upstream to others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransferModel {
    /// The size of one token's cache, in bytes.
    pub token_bytes: u64,
    /// The rate of all transfers of one upstream together, in bytes a second.
    pub rate: u64,
    /// The part of the notice that is kept free at its end.
    pub margin: Duration,
}

impl TransferModel {
    /// The time that the transfer of a number of tokens takes; none if there is no transfer.
    pub fn duration(&self, tokens: u64) -> Option<Duration> {
        let bytes = tokens.saturating_mul(self.token_bytes);
        let micros = bytes.saturating_mul(1_000_000).checked_div(self.rate)?;
        Some(Duration::from_micros(micros))
    }
}

/// Decides for all streams of an upstream that stops at `stop`, in the order in which they act.
pub fn plan_moves<K: Copy + Ord>(
    now: MonotonicInstant,
    stop: MonotonicInstant,
    model: &TransferModel,
    mut leavers: Vec<LeavingStream<K>>,
) -> Vec<(K, StreamAction)> {
    let usable = stop.since(now).saturating_sub(model.margin);
    let mut used = Duration::ZERO;
    leavers.sort_by_key(|leaver| (leaver.deadline, leaver.key));
    let decide = |leaver: &LeavingStream<K>| {
        if stays(leaver, usable) {
            return StreamAction::Stay;
        }
        let tokens = u64::from(leaver.prompt_tokens) + u64::from(leaver.produced_tokens);
        match model.duration(tokens) {
            Some(duration) if leaver.produced_tokens > 0 && used + duration <= usable => {
                used += duration;
                StreamAction::Transfer
            }
            _ => StreamAction::Resume,
        }
    };
    let moves: Vec<_> = leavers.iter().map(decide).collect();
    leavers.iter().map(|leaver| leaver.key).zip(moves).collect()
}

fn stays<K>(leaver: &LeavingStream<K>, usable: Duration) -> bool {
    let Some(token_interval) = leaver.token_interval else {
        return false;
    };
    token_interval.saturating_mul(leaver.max_remaining_tokens) <= usable
}

#[cfg(test)]
mod tests;
