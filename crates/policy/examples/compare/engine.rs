//! Simulates an engine with continuous batching and a prefix cache of limited size.

use spindle_policy::routing::{CacheChange, EngineSpeed, UpstreamLoad};
use spindle_types::{BlockHash, MonotonicInstant, block_tokens};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of prompt tokens prefilled in one step.
const CHUNK_TOKENS: u32 = 512;

/// The interval between the load reports that an engine publishes.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A generation running or waiting at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The index of the request.
    pub(crate) request: usize,
    /// Block hashes of the prompt.
    pub(crate) blocks: Arc<[BlockHash]>,
    /// Tokens to prefill; those found in the cache are subtracted on admission.
    pub(crate) prefill: u32,
    /// Tokens still to generate.
    pub(crate) answer: u32,
}

/// Result of a step.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    /// Requests that received a token.
    pub(crate) tokens: Vec<usize>,
    /// Requests that have ended.
    pub(crate) ended: Vec<usize>,
    /// Requests admitted to the batch, with the tokens that they have to prefill.
    pub(crate) admitted: Vec<(usize, u32)>,
}

/// A prefix cache that evicts the least recently used block.
#[derive(Debug, Default)]
struct Cache {
    used: HashMap<BlockHash, u64>,
    order: BTreeMap<u64, BlockHash>,
    tick: u64,
    events: Vec<(u64, CacheChange)>,
}

impl Cache {
    fn cached(&self, blocks: &[BlockHash]) -> u32 {
        block_tokens(blocks.iter().take_while(|block| self.used.contains_key(block)).count())
    }

    fn store(&mut self, blocks: &[BlockHash], capacity: usize) {
        for block in blocks.iter().rev() {
            self.tick += 1;
            match self.used.insert(*block, self.tick) {
                Some(old) => {
                    self.order.remove(&old);
                }
                None => self.record_event(CacheChange::Stored(*block)),
            }
            self.order.insert(self.tick, *block);
        }
        while self.used.len() > capacity {
            let Some((_, block)) = self.order.pop_first() else { return };
            self.used.remove(&block);
            self.record_event(CacheChange::Evicted(block));
        }
    }

    fn record_event(&mut self, change: CacheChange) {
        self.events.push((self.events.len() as u64, change));
    }
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    /// The hourly price.
    pub(crate) price: f64,
    /// Whether the engine has been reclaimed.
    pub(crate) dead: bool,
    /// Whether a step is in progress.
    pub(crate) stepping: bool,
    /// The total time spent in steps, in seconds.
    pub(crate) busy: f64,
    speed: EngineSpeed,
    cache_blocks: usize,
    cache: Cache,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    published: UpstreamLoad,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub(crate) fn new(
        now: MonotonicInstant,
        speed: EngineSpeed,
        price: f64,
        cache_blocks: usize,
    ) -> Self {
        let (running, waiting, queued_tokens, loaded) = (0, 0, 0, None);
        Self {
            price,
            dead: false,
            stepping: false,
            busy: 0.0,
            speed,
            cache_blocks,
            cache: Cache::default(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            published: UpstreamLoad { taken: now, running, waiting, queued_tokens, loaded },
        }
    }

    /// Queues a generation.
    pub(crate) fn push(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Starts a step and returns its duration and result, if there is work.
    pub(crate) fn start_step(&mut self) -> Option<(Duration, StepResult)> {
        let mut stepped = StepResult::default();
        while self.running.len() < self.speed.slots as usize
            && let Some(mut job) = self.waiting.pop_front()
        {
            job.prefill -= self.cache.cached(&job.blocks).min(job.prefill);
            self.cache.store(&job.blocks, self.cache_blocks);
            stepped.admitted.push((job.request, job.prefill));
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let decoding = self.running.iter().filter(|job| job.prefill == 0).count();
        let mut chunk = CHUNK_TOKENS;
        for job in &mut self.running {
            if job.prefill == 0 {
                job.answer -= 1;
                stepped.tokens.push(job.request);
                continue;
            }
            let part = job.prefill.min(chunk);
            chunk -= part;
            job.prefill -= part;
            if job.prefill == 0 && part > 0 {
                job.answer -= 1;
                stepped.tokens.push(job.request);
            }
        }
        let ended = self.running.extract_if(.., |job| job.answer == 0);
        stepped.ended = ended.map(|job| job.request).collect();
        let secs = self.speed.step(decoding as f64) + self.speed.prefill(CHUNK_TOKENS - chunk);
        self.busy += secs;
        Some((Duration::from_secs_f64(secs), stepped))
    }

    /// Publishes a load report if the interval has passed.
    pub(crate) fn publish(&mut self, now: MonotonicInstant) {
        if now.since(self.published.taken) < REPORT_INTERVAL {
            return;
        }
        let queued = |job: &Job| u64::from(job.prefill);
        let queued_tokens = self.running.iter().map(queued).sum::<u64>()
            + self.waiting.iter().map(queued).sum::<u64>();
        self.published = UpstreamLoad {
            taken: now,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            queued_tokens,
            loaded: None,
        };
    }

    /// The newest load report.
    pub(crate) fn report(&self) -> UpstreamLoad {
        self.published.clone()
    }

    /// The sequence number of the event to request next, and the cache events from `from` on.
    pub(crate) fn events(&self, from: u64) -> (u64, &[(u64, CacheChange)]) {
        let events = &self.cache.events;
        (events.len() as u64, &events[usize::try_from(from).unwrap_or(0).min(events.len())..])
    }

    /// Stops the engine for good and returns the requests that it aborts.
    pub(crate) fn kill(&mut self) -> Vec<usize> {
        self.dead = true;
        let running = std::mem::take(&mut self.running).into_iter();
        running.chain(std::mem::take(&mut self.waiting)).map(|job| job.request).collect()
    }
}
