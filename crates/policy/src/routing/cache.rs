//! Prompt blocks that an upstream is believed to hold in its prefix cache.
//!
//! Beliefs come from the upstream's late and gapped events and from prompts sent there. They are
//! bounded, and the least recently used block is forgotten first.

use spindle_types::{BlockHash, block_tokens};
use std::collections::{HashMap, VecDeque};

/// Blocks remembered for an upstream.
const BLOCKS_MAX: usize = 16_384;

/// A change of an upstream's cache, as its events tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// A block is cached.
    Stored(BlockHash),
    /// A block was evicted.
    Evicted(BlockHash),
}

/// The blocks believed to be cached.
#[derive(Clone, Debug, Default)]
pub struct EstimatedCache {
    used: HashMap<BlockHash, u64>,
    order: VecDeque<(BlockHash, u64)>,
    tick: u64,
    next: u64,
}

impl EstimatedCache {
    /// How many tokens at the start of a prompt are believed to be cached.
    pub fn cached_tokens(&self, blocks: &[BlockHash]) -> u32 {
        let held = blocks.iter().take_while(|block| self.used.contains_key(block)).count();
        block_tokens(held)
    }

    /// Believes the blocks of a prompt to be cached from now on.
    pub fn on_prompt(&mut self, blocks: &[BlockHash]) {
        // The end of a prompt is evicted before its beginning.
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
    }

    /// The sequence number of the event to ask for next.
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Takes events with their sequence numbers. Where numbers are missing, evictions may have been
    /// missed, so the half of the beliefs that was used least recently is given up.
    pub fn on_events(&mut self, next: u64, events: &[(u64, CacheChange)]) {
        if next < self.next {
            // The upstream has restarted with an empty cache.
            *self = Self::default();
        }
        for (number, change) in events {
            if *number > self.next && self.next > 0 {
                self.forget(self.used.len() / 2);
            }
            self.next = self.next.max(number + 1);
            match change {
                CacheChange::Stored(block) => self.touch(*block),
                CacheChange::Evicted(block) => {
                    self.used.remove(block);
                }
            }
        }
        self.next = self.next.max(next);
    }

    /// The number of blocks believed to be cached.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether no block is believed to be cached.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn touch(&mut self, block: BlockHash) {
        self.tick += 1;
        self.used.insert(block, self.tick);
        self.order.push_back((block, self.tick));
        if self.used.len() > BLOCKS_MAX {
            self.forget(1);
        }
        if self.order.len() > 4 * BLOCKS_MAX {
            let used = &self.used;
            self.order.retain(|(block, tick)| used.get(block) == Some(tick));
        }
    }

    fn forget(&mut self, count: usize) {
        let kept = self.used.len().saturating_sub(count);
        while self.used.len() > kept {
            let Some((block, tick)) = self.order.pop_front() else {
                return;
            };
            if self.used.get(&block) == Some(&tick) {
                self.used.remove(&block);
            }
        }
    }
}

#[cfg(test)]
mod tests;
