//! Runs the steps of a batch in real time and delivers their outputs.

use crate::batch::{Batch, EngineModel, Job, JobKey, QueueFull};
use spindle_engine::{CacheEvents, Load};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The output of a step for one generation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Output {
    /// The offset of the produced token; none if the generation ended without one.
    pub(super) offset: Option<u32>,
    /// The number of prefilled tokens; only given with the first token.
    pub(super) prefilled: Option<u32>,
    /// Whether the generation has ended.
    pub(super) ended: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadCounts {
    running: u32,
    waiting: u32,
    queued_tokens: u64,
}

#[derive(Debug)]
struct Inner {
    batch: Batch,
    outputs: HashMap<JobKey, mpsc::UnboundedSender<Output>>,
    /// Counts with the times at which they were taken, oldest first. The first ones are reported.
    history: VecDeque<(Instant, LoadCounts)>,
    load_report_delay: Duration,
    busy: Duration,
}

/// A batch whose steps run in real time. Dropping the scheduler stops it.
#[derive(Debug)]
pub(super) struct Scheduler {
    inner: Arc<Mutex<Inner>>,
    work: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Scheduler {
    /// Starts a scheduler without generations.
    pub(super) fn start(model: EngineModel) -> Self {
        let inner = Arc::new(Mutex::new(Inner {
            batch: Batch::new(model),
            outputs: HashMap::new(),
            history: VecDeque::from([(Instant::now(), LoadCounts::default())]),
            load_report_delay: model.load_report_delay,
            busy: Duration::ZERO,
        }));
        let work = Arc::new(Notify::new());
        let task = tokio::spawn(run_steps(Arc::clone(&inner), Arc::clone(&work)));
        Self { inner, work, task }
    }

    /// Submits a generation. Dropping the receiver cancels the generation at its next token.
    pub(super) fn submit(&self, job: Job) -> Result<mpsc::UnboundedReceiver<Output>, QueueFull> {
        let (sender, outputs) = mpsc::unbounded_channel();
        let mut inner = lock(&self.inner);
        let key = inner.batch.submit(job)?;
        inner.outputs.insert(key, sender);
        drop(inner);
        self.work.notify_one();
        Ok(outputs)
    }

    /// Returns the published cache events from a sequence number on.
    pub(super) fn cache_events(&self, from: u64) -> CacheEvents {
        lock(&self.inner).batch.cache().events(Instant::now(), from)
    }

    /// The total duration of all steps.
    pub(super) fn busy(&self) -> Duration {
        lock(&self.inner).busy
    }

    /// Completes `base`, which tells what is loaded, with the delayed counts.
    pub(super) fn load(&self, base: Load) -> Load {
        let now = Instant::now();
        let mut inner = lock(&self.inner);
        inner.expire_counts(now);
        let Some((at, LoadCounts { running, waiting, queued_tokens })) =
            inner.history.front().copied()
        else {
            return base;
        };
        // Counts that have not changed for longer than the report delay are still current, so their
        // age is limited to the delay.
        let age = now.duration_since(at).min(inner.load_report_delay);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Load { age_ms, running, waiting, queued_tokens, ..base }
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Inner {
    fn record_counts(&mut self, now: Instant) {
        let counts = LoadCounts {
            running: u32::try_from(self.batch.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.batch.waiting()).unwrap_or(u32::MAX),
            queued_tokens: self.batch.queued_tokens(),
        };
        self.history.push_back((now, counts));
        self.expire_counts(now);
    }

    /// Drops counts if newer ones are old enough to be reported.
    fn expire_counts(&mut self, now: Instant) {
        let old = |at: Instant| now.duration_since(at) >= self.load_report_delay;
        while self.history.get(1).is_some_and(|(at, _)| old(*at)) {
            self.history.pop_front();
        }
    }

    fn finish_step(&mut self, now: Instant) {
        for produced in self.batch.finish_step(now) {
            let Some(sender) = self.outputs.get(&produced.job) else {
                continue;
            };
            let (offset, prefilled) = (produced.offset, produced.prefilled);
            let output = Output { offset, prefilled, ended: produced.ended };
            if sender.send(output).is_err() || produced.ended {
                self.outputs.remove(&produced.job);
                self.batch.cancel(produced.job);
            }
        }
        self.remove_cancelled();
        self.record_counts(now);
    }

    /// Cancels generations whose receivers were dropped, whether or not they have a slot.
    fn remove_cancelled(&mut self) {
        let Self { batch, outputs, .. } = self;
        outputs.retain(|job, sender| {
            if sender.is_closed() {
                batch.cancel(*job);
            }
            !sender.is_closed()
        });
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs steps while there are generations. Each step ends at a time computed from the end of the
/// previous one, so that timer delays don't accumulate.
async fn run_steps(inner: Arc<Mutex<Inner>>, work: Arc<Notify>) {
    let mut step_end = Instant::now();
    loop {
        let next = lock(&inner).batch.step_time();
        let Some(duration) = next else {
            work.notified().await;
            step_end = Instant::now();
            continue;
        };
        step_end += duration;
        tokio::time::sleep_until(step_end).await;
        let mut inner = lock(&inner);
        inner.busy += duration;
        inner.finish_step(step_end);
    }
}
