//! The service-time model of a model engine with continuous batching.
//!
//! The engine works in steps. A step decodes one token of every generation whose prompt has been
//! computed (prefilled), and prefills uncached prompt tokens of the others. Both share a limit of
//! tokens per step. The time of a step is a base, plus an amount for each decoding generation, plus
//! an amount for each prefilled token. Generations get slots by priority, then in order of arrival.

use crate::prefix::{EventDelivery, PrefixCache};
use slotmap::{SlotMap, new_key_type};
use spindle_types::PromptBlocks;
use spindle_types::config::Priority;
use spindle_types::prefix::block_tokens;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

new_key_type! {
    /// Identifies a generation in a [`Batch`].
    pub struct JobKey;
}

/// The parameters of the service-time model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// The number of prompt tokens that are prefilled per second.
    pub prefill_rate: f64,
    /// The time of one step with an empty batch.
    pub step_base: Duration,
    /// The time that each decoding generation adds to a step.
    pub step_slope: Duration,
    /// The number of generations that run at once.
    pub slots: u32,
    /// The number of generations that may wait for a slot; further ones are refused.
    pub queue: u32,
    /// The maximum number of tokens per step, decoded and prefilled together.
    pub step_tokens: u32,
    /// The capacity of the prefix cache, in blocks.
    pub cache_blocks: u32,
    /// The time between a change of the prefix cache and the publication of its event.
    pub event_delay: Duration,
    /// One cache event in this many is lost; 0 loses none.
    pub event_loss_period: u64,
    /// The age of the load that is reported.
    pub load_report_delay: Duration,
    /// The number of tokens whose KV cache is transferred per second; 0 disables transfers.
    pub transfer_rate: f64,
}

impl EngineModel {
    /// The model of a typical engine.
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

    /// Returns the time that the transfer of the KV cache of `tokens` tokens takes.
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
    pub blocks: PromptBlocks,
    /// The number of leading tokens whose KV cache has been imported.
    pub imported: u32,
    /// The offset of the first token to produce.
    pub first_offset: u32,
    /// The offset after the last token.
    pub end_offset: u32,
    /// Generations of higher priority get a slot first.
    pub priority: Priority,
}

/// The result of a step for one generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepOutput {
    /// The generation.
    pub job: JobKey,
    /// The offset of the produced token; none if the generation ended without one.
    pub offset: Option<u32>,
    /// The number of prefilled tokens; only given with the first token.
    pub prefilled: Option<u32>,
    /// Whether the generation has ended.
    pub ended: bool,
}

#[derive(Debug)]
struct Entry {
    job: Job,
    /// The number of tokens to prefill, which is determined when the generation gets a slot.
    prefill_tokens: u32,
    /// The number of tokens that are still to be prefilled.
    remaining_prefill: u32,
    next_offset: u32,
}

/// The running and waiting generations of one engine.
#[derive(Debug)]
pub struct Batch {
    model: EngineModel,
    cache: PrefixCache,
    jobs: SlotMap<JobKey, Entry>,
    waiting: [VecDeque<JobKey>; 2],
    running: Vec<JobKey>,
}

/// The error if a generation is refused because the queue is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

impl Batch {
    /// Creates a batch without generations and with an empty prefix cache.
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

    /// Adds a generation to the queue.
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
        let next_offset = job.first_offset;
        let key =
            self.jobs.insert(Entry { job, prefill_tokens: 0, remaining_prefill: 0, next_offset });
        self.waiting[queue].push_back(key);
        Ok(key)
    }

    /// Removes a generation. Does nothing if it has ended.
    pub fn cancel(&mut self, key: JobKey) {
        if self.jobs.remove(key).is_none() {
            return;
        }
        self.waiting.iter_mut().for_each(|queue| queue.retain(|waiting| *waiting != key));
        self.running.retain(|running| *running != key);
    }

    /// The number of generations that have a slot.
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// The number of generations that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// The number of prompt tokens of waiting generations, plus those of running generations that
    /// are still to be prefilled.
    pub fn queued_tokens(&self) -> u64 {
        let waiting = self.waiting.iter().flatten().map(|key| self.jobs[*key].job.blocks.tokens);
        let running = self.running.iter().map(|key| self.jobs[*key].remaining_prefill);
        waiting.chain(running).map(u64::from).sum()
    }

    /// The prefix cache.
    pub const fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Assigns free slots and returns the duration of the next step, or none without generations.
    pub fn step_time(&mut self) -> Option<Duration> {
        self.fill_slots();
        if self.running.is_empty() {
            return None;
        }
        let (decoding, prefill) = self.step_work();
        let prefill_time = Duration::from_secs_f64(f64::from(prefill) / self.model.prefill_rate);
        Some(self.model.step_base + self.model.step_slope * decoding + prefill_time)
    }

    /// Completes the step and returns its results.
    pub fn finish_step(&mut self, now: Instant) -> Vec<StepOutput> {
        let (_, mut budget) = self.step_work();
        let mut produced = Vec::new();
        for key in self.running.clone() {
            let entry = &mut self.jobs[key];
            let computed = entry.remaining_prefill.min(budget);
            let before = entry.remaining_prefill;
            entry.remaining_prefill -= computed;
            budget -= computed;
            if entry.remaining_prefill > 0 {
                continue;
            }
            if before > 0 {
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
            let available = cached.max(entry.job.imported);
            // The last token is always computed, because the first generated token depends on it.
            entry.prefill_tokens = entry.job.blocks.tokens.saturating_sub(available).max(1);
            entry.remaining_prefill = entry.prefill_tokens;
            self.running.push(key);
        }
    }

    /// Returns the number of generations that decode in this step, and the number of tokens that it
    /// prefills.
    fn step_work(&self) -> (u32, u32) {
        let decoding =
            self.running.iter().filter(|key| self.jobs[**key].remaining_prefill == 0).count();
        let decoding = u32::try_from(decoding).unwrap_or(u32::MAX);
        let remaining: u32 = self.running.iter().map(|key| self.jobs[*key].remaining_prefill).sum();
        (decoding, remaining.min(self.model.step_tokens.saturating_sub(decoding).max(1)))
    }
}

impl Entry {
    fn produce(&mut self, job: JobKey) -> StepOutput {
        let first = self.next_offset == self.job.first_offset;
        let prefilled = first.then_some(self.prefill_tokens);
        if self.next_offset >= self.job.end_offset {
            return StepOutput { job, offset: None, prefilled, ended: true };
        }
        let offset = Some(self.next_offset);
        self.next_offset += 1;
        StepOutput { job, offset, prefilled, ended: self.next_offset >= self.job.end_offset }
    }
}

#[cfg(test)]
mod tests;
