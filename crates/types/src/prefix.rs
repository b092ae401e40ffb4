//! Hashes of prompt prefixes, used in the cache events of engines and by the router.
//!
//! A prompt is split at white space into tokens, and these into blocks of [`BLOCK_TOKENS`] tokens.
//! The hash of a block is the XXH3-64 of its tokens, each followed by a zero byte, seeded with the
//! hash of the previous block; it therefore identifies the block and everything before it. The seed
//! of the first block is the XXH3-64, with seed 0, of the model name, a zero byte and the adapter
//! name (empty without an adapter). An incomplete last block has no hash.

use crate::id::{Adapter, Model};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Number of tokens in a block.
pub const BLOCK_TOKENS: usize = 16;

/// Hash of a block of prompt tokens and all blocks before it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// Length of a prompt and the hashes of its full blocks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptBlocks {
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Hashes of the full blocks, in order.
    pub hashes: Vec<BlockHash>,
}

impl PromptBlocks {
    /// Splits a prompt into blocks and hashes them.
    pub fn of(model: &Model, adapter: Option<&Adapter>, prompt: &str) -> Self {
        let adapter = adapter.map_or("", Adapter::as_str);
        let mut seed = xxh3_64(format!("{model}\0{adapter}").as_bytes());
        let mut block = Xxh3::with_seed(seed);
        let mut count = 0;
        let mut hashes = Vec::new();
        for token in prompt.split_whitespace() {
            block.update(token.as_bytes());
            block.update(&[0]);
            count += 1;
            if count % BLOCK_TOKENS == 0 {
                seed = block.digest();
                hashes.push(BlockHash(seed));
                block = Xxh3::with_seed(seed);
            }
        }
        Self { tokens: u32::try_from(count).unwrap_or(u32::MAX), hashes }
    }
}

/// Converts a number of full blocks into their length in tokens.
pub fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks.saturating_mul(BLOCK_TOKENS)).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
