//! Runs the steps of a batch in time and hands out what they bring.

use crate::batch::{Batch, EngineModel, Job, JobKey, QueueFull};
use spindle_engine::{CacheEvents, Load};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// What a step brought to one generation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Output {
    /// The offset of the token produced; none if it ended without one.
    pub(super) offset: Option<u32>,
    /// Prompt tokens that were computed, told with the first token.
    pub(super) prefilled: Option<u32>,
    /// Whether the generation has ended.
    pub(super) ended: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    running: u32,
    waiting: u32,
    queued_tokens: u64,
}

#[derive(Debug)]
struct Inner {
    batch: Batch,
    outputs: HashMap<JobKey, mpsc::UnboundedSender<Output>>,
    /// Past counts with their times, the oldest of which is the one reported.
    history: VecDeque<(Instant, Counts)>,
    load_report_delay: Duration,
    busy: Duration,
}

/// A batch whose steps are run in time; dropping it stops it.
#[derive(Debug)]
pub(super) struct Scheduler {
    inner: Arc<Mutex<Inner>>,
    work: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Scheduler {
    /// Starts an engine without work.
    pub(super) fn start(model: EngineModel) -> Self {
        let inner = Arc::new(Mutex::new(Inner {
            batch: Batch::new(model),
            outputs: HashMap::new(),
            history: VecDeque::from([(Instant::now(), Counts::default())]),
            load_report_delay: model.load_report_delay,
            busy: Duration::ZERO,
        }));
        let work = Arc::new(Notify::new());
        let task = tokio::spawn(run(Arc::clone(&inner), Arc::clone(&work)));
        Self { inner, work, task }
    }

    /// Takes a generation. Dropping the receiver cancels it at its next token.
    pub(super) fn submit(&self, job: Job) -> Result<mpsc::UnboundedReceiver<Output>, QueueFull> {
        let (sender, outputs) = mpsc::unbounded_channel();
        let mut inner = lock(&self.inner);
        let key = inner.batch.submit(job)?;
        inner.outputs.insert(key, sender);
        drop(inner);
        self.work.notify_one();
        Ok(outputs)
    }

    /// The published cache events from a sequence number on.
    pub(super) fn cache_events(&self, from: u64) -> CacheEvents {
        lock(&self.inner).batch.cache().events(Instant::now(), from)
    }

    /// The time for which steps have run.
    pub(super) fn busy(&self) -> Duration {
        lock(&self.inner).busy
    }

    /// A report of the load some time ago; `loaded` tells what is loaded.
    pub(super) fn load(&self, loaded: Load) -> Load {
        let now = Instant::now();
        let mut inner = lock(&self.inner);
        inner.forget(now);
        let Some((at, Counts { running, waiting, queued_tokens })) = inner.history.front().copied()
        else {
            return loaded;
        };
        // A report that has not changed since then is as young as the lag allows.
        let age = now.duration_since(at).min(inner.load_report_delay);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Load { age_ms, running, waiting, queued_tokens, ..loaded }
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Inner {
    fn remember(&mut self, now: Instant) {
        let counts = Counts {
            running: u32::try_from(self.batch.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.batch.waiting()).unwrap_or(u32::MAX),
            queued_tokens: self.batch.queued_tokens(),
        };
        self.history.push_back((now, counts));
        self.forget(now);
    }

    /// Drops reports that are older than a newer one that may be told.
    fn forget(&mut self, now: Instant) {
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
        self.drop_cancelled();
        self.remember(now);
    }

    /// Cancels generations whose receivers have gone, whether or not they have a slot.
    fn drop_cancelled(&mut self) {
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

/// Steps follow each other on a schedule of their own, so that late timers don't add up.
async fn run(inner: Arc<Mutex<Inner>>, work: Arc<Notify>) {
    let mut step_end = Instant::now();
    loop {
        let step = lock(&inner).batch.step_time();
        let Some(time) = step else {
            work.notified().await;
            step_end = Instant::now();
            continue;
        };
        step_end += time;
        tokio::time::sleep_until(step_end).await;
        let mut inner = lock(&inner);
        inner.busy += time;
        inner.finish_step(step_end);
    }
}
