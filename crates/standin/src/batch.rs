//! The service-time model of an engine: continuous batching in steps.
//!
//! A step decodes one token of every generation whose prompt has been computed, and computes
//! uncached prompt tokens of the others up to a limit that both share. Its time is a base, a part
//! for each generation that decodes, and a part for each prompt token. Generations wait for a slot
//! by priority, then in order of arrival.

use crate::prefix::{EventDelivery, PrefixCache};
use slotmap::{SlotMap, new_key_type};
use spindle_types::Blocks;
use spindle_types::config::Priority;
use spindle_types::prefix::block_tokens;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

new_key_type! {
    /// A generation at an engine.
    pub struct JobKey;
}

/// The parameters of the service-time model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// The time of one step with an empty batch.
    pub step_base: Duration,
    /// The time that each decoding generation adds to a step.
    pub step_slope: Duration,
    /// Generations that run at once.
    pub slots: u32,
    /// Generations that wait for a slot; more are refused.
    pub queue: u32,
    /// Tokens computed in one step, decoded and of prompts together.
    pub step_tokens: u32,
    /// Blocks of prompt prefixes that are cached.
    pub cache_blocks: u32,
    /// The time between a change of the cache and the publication of its event.
    pub event_delay: Duration,
    /// One cache event in this many is lost; 0 loses none.
    pub event_loss_period: u64,
    /// The age of load reports.
    pub load_report_delay: Duration,
    /// Tokens whose KV cache is transferred a second.
    pub transfer_rate: f64,
}

impl EngineModel {
    /// A model of an ordinary engine, as a constant.
    pub const DEFAULT: Self = Self {
        prefill_rate: 20_000.0,
        step_base: Duration::from_millis(8),
        step_slope: Duration::from_micros(300),
        slots: 32,
        queue: 128,
        step_tokens: 512,
        cache_blocks: 8_192,
        event_delay: Duration::from_millis(200),
        event_loss_period: 50,
        load_report_delay: Duration::from_millis(250),
        transfer_rate: 200_000.0,
    };

    /// The time in which the KV cache of a number of tokens is transferred.
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.transfer_rate)
    }

    const fn event_delivery(&self) -> EventDelivery {
        EventDelivery { delay: self.event_delay, loss_period: self.event_loss_period }
    }
}

impl Default for EngineModel {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// A generation to compute.
#[derive(Clone, Debug)]
pub struct Job {
    /// The prompt and the tokens produced by earlier attempts.
    pub blocks: Blocks,
    /// Leading tokens whose KV cache has been imported.
    pub imported: u32,
    /// The offset of the first token to produce.
    pub first_offset: u32,
    /// The offset after the last token.
    pub end_offset: u32,
    /// The order in which it gets a slot.
    pub priority: Priority,
}

/// What a step brought to one generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepOutput {
    /// The generation.
    pub job: JobKey,
    /// The offset of the token produced; none if it ended without one.
    pub offset: Option<u32>,
    /// Prompt tokens that were computed, told with the first token.
    pub prefilled: Option<u32>,
    /// Whether the generation has ended.
    pub ended: bool,
}

#[derive(Debug)]
struct Entry {
    job: Job,
    /// Prompt tokens to compute, known once the generation has a slot.
    prefill: u32,
    /// Prompt tokens left to compute.
    left: u32,
    next: u32,
}

/// The generations of one engine.
#[derive(Debug)]
pub struct Batch {
    model: EngineModel,
    cache: PrefixCache,
    jobs: SlotMap<JobKey, Entry>,
    waiting: [VecDeque<JobKey>; 2],
    running: Vec<JobKey>,
}

/// Why a generation was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

impl Batch {
    /// An engine without work and with an empty cache.
    pub fn new(model: EngineModel) -> Self {
        let blocks = usize::try_from(model.cache_blocks).unwrap_or(usize::MAX);
        Self {
            model,
            cache: PrefixCache::new(blocks, model.event_delivery()),
            jobs: SlotMap::with_key(),
            waiting: Default::default(),
            running: Vec::new(),
        }
    }

    /// Takes a generation.
    ///
    /// # Errors
    ///
    /// The queue is full.
    pub fn submit(&mut self, job: Job) -> Result<JobKey, QueueFull> {
        let limit = self.model.slots.saturating_add(self.model.queue);
        if self.jobs.len() >= usize::try_from(limit).unwrap_or(usize::MAX) {
            return Err(QueueFull);
        }
        let queue = usize::from(job.priority == Priority::Batch);
        let next = job.first_offset;
        let key = self.jobs.insert(Entry { job, prefill: 0, left: 0, next });
        self.waiting[queue].push_back(key);
        Ok(key)
    }

    /// Drops a generation. Does nothing if it has ended.
    pub fn cancel(&mut self, key: JobKey) {
        if self.jobs.remove(key).is_none() {
            return;
        }
        self.waiting.iter_mut().for_each(|queue| queue.retain(|waiting| *waiting != key));
        self.running.retain(|running| *running != key);
    }

    /// Generations that have a slot.
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Generations that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Prompt tokens of waiting generations and those not yet computed of running ones.
    pub fn queued_tokens(&self) -> u64 {
        let waiting = self.waiting.iter().flatten().map(|key| self.jobs[*key].job.blocks.tokens);
        let running = self.running.iter().map(|key| self.jobs[*key].left);
        waiting.chain(running).map(u64::from).sum()
    }

    /// The prefix cache.
    pub const fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// The time of the next step, or none without work.
    pub fn step_time(&mut self) -> Option<Duration> {
        self.fill_slots();
        if self.running.is_empty() {
            return None;
        }
        let (decoding, prefill) = self.step_work();
        let prefill_time = Duration::from_secs_f64(f64::from(prefill) / self.model.prefill_rate);
        Some(self.model.step_base + self.model.step_slope * decoding + prefill_time)
    }

    /// Ends the step and returns what it produced.
    pub fn finish_step(&mut self, now: Instant) -> Vec<StepOutput> {
        let (_, mut budget) = self.step_work();
        let mut produced = Vec::new();
        for key in self.running.clone() {
            let entry = &mut self.jobs[key];
            let taken = entry.left.min(budget);
            let was_left = entry.left;
            entry.left -= taken;
            budget -= taken;
            if entry.left > 0 {
                continue;
            }
            if was_left > 0 {
                self.cache.store(now, &entry.job.blocks.hashes);
            }
            produced.push(entry.produce(key));
        }
        for ended in produced.iter().filter(|produced| produced.ended) {
            self.cancel(ended.job);
        }
        produced
    }

    fn fill_slots(&mut self) {
        let slots = usize::try_from(self.model.slots).unwrap_or(usize::MAX);
        while self.running.len() < slots {
            let Some(key) = self.waiting.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            let entry = &mut self.jobs[key];
            let cached = block_tokens(self.cache.lookup(&entry.job.blocks.hashes));
            let known = cached.max(entry.job.imported);
            // The last token is always computed, because the next one follows from it.
            entry.prefill = entry.job.blocks.tokens.saturating_sub(known).max(1);
            entry.left = entry.prefill;
            self.running.push(key);
        }
    }

    /// The generations that decode in this step, and the prompt tokens that it computes.
    fn step_work(&self) -> (u32, u32) {
        let decoding = self.running.iter().filter(|key| self.jobs[**key].left == 0).count();
        let decoding = u32::try_from(decoding).unwrap_or(u32::MAX);
        let left: u32 = self.running.iter().map(|key| self.jobs[*key].left).sum();
        (decoding, left.min(self.model.step_tokens.saturating_sub(decoding).max(1)))
    }
}

impl Entry {
    fn produce(&mut self, job: JobKey) -> StepOutput {
        let first = self.next == self.job.first_offset;
        let prefilled = first.then_some(self.prefill);
        if self.next >= self.job.end_offset {
            return StepOutput { job, offset: None, prefilled, ended: true };
        }
        let offset = Some(self.next);
        self.next += 1;
        StepOutput { job, offset, prefilled, ended: self.next >= self.job.end_offset }
    }
}

#[cfg(test)]
mod tests;
