//! Hashes of prompt prefixes, shared by engines' cache events and the router.
//!
//! A prompt is cut into blocks of [`BLOCK_TOKENS`] tokens. The hash of a block is the XXH3-64 of
//! its tokens, each followed by a zero byte, seeded with the hash of the block before it; so it
//! covers the block and all before it. The first seed is the XXH3-64 of the model's name, a zero
//! byte and the adapter's name (empty without one), with seed 0. A last block that is not full has
//! no hash. Tokens are the runs of the prompt between white space.

use crate::id::{Adapter, Model};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The tokens of a block.
pub const BLOCK_TOKENS: usize = 16;

/// The hash of a block of prompt tokens and all before it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// The number of tokens of a prompt and the hashes of its full blocks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptBlocks {
    /// The prompt's length in tokens.
    pub tokens: u32,
    /// The hashes of its full blocks, in order.
    pub hashes: Vec<BlockHash>,
}

impl PromptBlocks {
    /// Cuts a prompt into blocks and hashes them.
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

/// The length in tokens of a number of full blocks.
pub fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks.saturating_mul(BLOCK_TOKENS)).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
