//! An LRU cache of prompt prefixes in blocks, and the events about its content. The events are
//! published with a delay, and some of them are lost.

use spindle_engine::{CacheEvent, CacheEvents};
use spindle_types::BlockHash;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of events that are retained for readers.
const MAX_EVENTS: usize = 65_536;

/// How cache events reach their readers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventDelivery {
    /// The time between a change of the cache and the publication of its event.
    pub delay: Duration,
    /// One event in this many is lost; 0 loses none.
    pub loss_period: u64,
}

/// A cache of blocks that evicts the least recently used ones.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    delivery: EventDelivery,
    last_uses: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    use_count: u64,
    events: VecDeque<(u64, Instant, CacheEvent)>,
    next_number: u64,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in blocks.
    pub fn new(capacity: usize, delivery: EventDelivery) -> Self {
        Self {
            capacity,
            delivery,
            last_uses: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            next_number: 1,
        }
    }

    /// Returns the number of leading blocks that are cached, and marks them as just used.
    pub fn lookup(&mut self, blocks: &[BlockHash]) -> usize {
        let cached = blocks.iter().take_while(|hash| self.last_uses.contains_key(hash)).count();
        for hash in &blocks[..cached] {
            self.mark_used(*hash);
        }
        cached
    }

    /// Stores blocks, and evicts the least recently used ones beyond the capacity.
    pub fn store(&mut self, now: Instant, blocks: &[BlockHash]) {
        for hash in blocks {
            if !self.last_uses.contains_key(hash) {
                self.publish(now, CacheEvent::Stored { hash: hash.0 });
            }
            self.mark_used(*hash);
        }
        while self.last_uses.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_uses.remove(&oldest);
            self.publish(now, CacheEvent::Evicted { hash: oldest.0 });
        }
    }

    /// Returns the published events from a sequence number on.
    pub fn events(&self, now: Instant, from: u64) -> CacheEvents {
        let published_by_now = |at: &Instant| now.duration_since(*at) >= self.delivery.delay;
        let lost = |number: u64| {
            self.delivery.loss_period > 0 && number.is_multiple_of(self.delivery.loss_period)
        };
        let due = self.events.iter().take_while(|(_, at, _)| published_by_now(at));
        let mut published = CacheEvents { next: from, events: Vec::new() };
        for (number, _, event) in due.filter(|(number, ..)| *number >= from) {
            published.next = number + 1;
            if !lost(*number) {
                published.events.push((*number, *event));
            }
        }
        published
    }

    fn mark_used(&mut self, hash: BlockHash) {
        self.use_count += 1;
        if let Some(previous) = self.last_uses.insert(hash, self.use_count) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.use_count, hash);
    }

    fn publish(&mut self, now: Instant, event: CacheEvent) {
        self.events.push_back((self.next_number, now, event));
        self.next_number += 1;
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
