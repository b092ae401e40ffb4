//! A limited cache of prompt prefixes, block by block, and the events that it publishes late and
//! with gaps.

use spindle_engine::{CacheEvent, CacheEvents};
use spindle_types::BlockHash;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The events that are kept for readers.
const EVENTS_MAX: usize = 65_536;

/// How events reach readers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventDelivery {
    /// The time between a change and its publication.
    pub delay: Duration,
    /// One event in this many is lost; 0 loses none.
    pub loss_period: u64,
}

/// A least-recently-used set of blocks.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    delivery: EventDelivery,
    uses: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    clock: u64,
    events: VecDeque<(u64, Instant, CacheEvent)>,
    next: u64,
}

impl PrefixCache {
    /// An empty cache of a number of blocks.
    pub fn new(capacity: usize, delivery: EventDelivery) -> Self {
        Self {
            capacity,
            delivery,
            uses: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            next: 1,
        }
    }

    /// The number of leading blocks that are cached; they count as used now.
    pub fn lookup(&mut self, blocks: &[BlockHash]) -> usize {
        let cached = blocks.iter().take_while(|hash| self.uses.contains_key(hash)).count();
        for hash in &blocks[..cached] {
            self.touch(*hash);
        }
        cached
    }

    /// Stores blocks and evicts those used least recently.
    pub fn store(&mut self, now: Instant, blocks: &[BlockHash]) {
        for hash in blocks {
            if !self.uses.contains_key(hash) {
                self.publish(now, CacheEvent::Stored { hash: hash.0 });
            }
            self.touch(*hash);
        }
        while self.uses.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.uses.remove(&oldest);
            self.publish(now, CacheEvent::Evicted { hash: oldest.0 });
        }
    }

    /// The published events from a sequence number on.
    pub fn events(&self, now: Instant, from: u64) -> CacheEvents {
        let ready = |at: &Instant| now.duration_since(*at) >= self.delivery.delay;
        let lost = |number: u64| {
            self.delivery.loss_period > 0 && number.is_multiple_of(self.delivery.loss_period)
        };
        let ready = self.events.iter().take_while(|(_, at, _)| ready(at));
        let mut published = CacheEvents { next: from, events: Vec::new() };
        for (number, _, event) in ready.filter(|(number, ..)| *number >= from) {
            published.next = number + 1;
            if !lost(*number) {
                published.events.push((*number, *event));
            }
        }
        published
    }

    fn touch(&mut self, hash: BlockHash) {
        self.clock += 1;
        if let Some(old) = self.uses.insert(hash, self.clock) {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.clock, hash);
    }

    fn publish(&mut self, now: Instant, event: CacheEvent) {
        self.events.push_back((self.next, now, event));
        self.next += 1;
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
