//! Estimates which prompt blocks an upstream holds in its prefix cache.
//!
//! The estimate is built from the cache events of the upstream, which arrive late and with gaps,
//! and from the prompts sent there. Its size is bounded: the least recently used block is dropped
//! first.

use spindle_types::{BlockHash, block_tokens};
use std::collections::{HashMap, VecDeque};

/// The maximum number of blocks tracked for each upstream.
const BLOCKS_MAX: usize = 16_384;

/// A change of a prefix cache, as reported by a cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// A block was added to the cache.
    Stored(BlockHash),
    /// A block was evicted from the cache.
    Evicted(BlockHash),
}

/// The estimated content of the prefix cache of one upstream.
#[derive(Clone, Debug, Default)]
pub struct EstimatedCache {
    /// The tick of the last use of each block.
    last_used: HashMap<BlockHash, u64>,
    /// Uses in the order of their ticks; entries older than the last use of a block are stale.
    uses: VecDeque<(BlockHash, u64)>,
    /// The logical time, advanced by each use.
    tick: u64,
    /// The sequence number of the event to request next.
    next: u64,
}

impl EstimatedCache {
    /// The number of tokens at the start of a prompt that are expected to be cached.
    pub fn cached_tokens(&self, blocks: &[BlockHash]) -> u32 {
        let cached = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count();
        block_tokens(cached)
    }

    /// Adds the blocks of a prompt that was sent to the upstream.
    pub fn on_prompt(&mut self, blocks: &[BlockHash]) {
        // Engines evict the end of a prompt before its beginning, so the beginning is used last.
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
    }

    /// The sequence number of the event to request next.
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Applies events with their sequence numbers. A gap in the numbers may hide evictions, so the
    /// least recently used half of the blocks is dropped.
    pub fn on_events(&mut self, next: u64, events: &[(u64, CacheChange)]) {
        if next < self.next {
            // The upstream has restarted with an empty cache.
            *self = Self::default();
        }
        for (number, change) in events {
            if *number > self.next && self.next > 0 {
                self.evict_oldest(self.last_used.len() / 2);
            }
            self.next = self.next.max(number + 1);
            match change {
                CacheChange::Stored(block) => self.touch(*block),
                CacheChange::Evicted(block) => {
                    self.last_used.remove(block);
                }
            }
        }
        self.next = self.next.max(next);
    }

    /// The number of blocks expected to be cached.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Whether no block is expected to be cached.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    fn touch(&mut self, block: BlockHash) {
        self.tick += 1;
        self.last_used.insert(block, self.tick);
        self.uses.push_back((block, self.tick));
        if self.last_used.len() > BLOCKS_MAX {
            self.evict_oldest(1);
        }
        if self.uses.len() > 4 * BLOCKS_MAX {
            let used = &self.last_used;
            self.uses.retain(|(block, tick)| used.get(block) == Some(tick));
        }
    }

    fn evict_oldest(&mut self, count: usize) {
        let kept = self.last_used.len().saturating_sub(count);
        while self.last_used.len() > kept {
            let Some((block, tick)) = self.uses.pop_front() else {
                return;
            };
            if self.last_used.get(&block) == Some(&tick) {
                self.last_used.remove(&block);
            }
        }
    }
}

#[cfg(test)]
mod tests;
