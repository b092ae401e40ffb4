//! Drives one generation to its whole answer, over as many attempts as it takes.
//!
//! A broken attempt is resumed at another upstream from the prompt and the tokens produced so far.

use crate::admission::Permit;
use crate::context::Context;
use crate::daemon::Shared;
use crate::demand;
use crate::meter::Meter;
use rand::SeedableRng;
use rand::rngs::StdRng;
use spindle_caller::{Completion, Refusal};
use spindle_engine::wire::Finish;
use spindle_engine::{Chunk, Engine, Generate, GenerateError, Generation, Step};
use spindle_policy::answer::{Answer, Part, Received};
use spindle_policy::retry::{Retry, full_jitter};
use spindle_policy::routing::{AttemptEnd, Demand, Route};
use spindle_types::{
    Attempt, Clock, Instance, MonotonicInstant, Pool, RefusalReason, RequestId, Sent, Unsent,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Events that a slow caller may lag behind.
const PROGRESS_BUFFER: usize = 64;

/// The delay after which a refused caller may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a generation tells its caller.
#[derive(Debug)]
pub enum Progress {
    /// Text that follows, with the offset of its first token.
    Text {
        /// The offset of the first token.
        offset: u32,
        /// The text.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// Why it ended.
        finish: Finish,
        /// Its length in tokens.
        length: u32,
        /// Tokens computed again by resumed attempts.
        recomputed: u32,
    },
    /// The answer was given up; nothing follows.
    Refused(Refusal),
}

/// Starts a generation for a pool. Dropping the receiver cancels it.
pub fn start<C: Context>(
    shared: Arc<Shared<C>>,
    id: RequestId,
    completion: Completion,
    pool: Pool,
    permit: Permit,
) -> mpsc::Receiver<Progress> {
    let (progress, receiver) = mpsc::channel(PROGRESS_BUFFER);
    let started = shared.context.clock().now();
    let demand = demand::of(&shared.config.borrow(), &completion, &pool);
    let speed = shared.settings.routing.params(shared.settings.identity.data_centre.clone()).speed;
    let prefill = Duration::from_secs_f64(speed.prefill(demand.tokens));
    let meter = Meter::new(permit, shared.upstreams.clone(), &demand, prefill);
    let driver = Driver {
        shared,
        id,
        demand,
        progress,
        started,
        answer: Answer::new(id),
        excluded: Vec::new(),
        recomputed: 0,
        meter,
        pauses: 0,
        retries: 0,
        retry: None,
    };
    tokio::spawn(driver.run(Custody::Unsent(Unsent::new(completion))));
    receiver
}

/// The request with its proof of whether it may have run.
enum Custody {
    Unsent(Unsent<Completion>),
    Sent(Completion, Sent),
}

impl Custody {
    fn completion(&self) -> &Completion {
        match self {
            Self::Unsent(unsent) => unsent.request(),
            Self::Sent(completion, _) => completion,
        }
    }

    fn send(self) -> (Completion, Sent) {
        match self {
            Self::Unsent(unsent) => unsent.send(),
            Self::Sent(completion, sent) => (completion, sent),
        }
    }

    fn give_up(self, reason: RefusalReason) -> Refusal {
        match self {
            Self::Unsent(unsent) => Refusal::NotRun(unsent.refuse(reason, Some(RETRY_AFTER))),
            Self::Sent(_, sent) => Refusal::Unknown(sent.lose()),
        }
    }
}

/// How an attempt ended.
enum Attempted {
    Finished,
    CallerGone,
    Failed,
}

/// Whether a retry was granted after a wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Waited {
    Granted,
    Refused,
}

struct Driver<C> {
    shared: Arc<Shared<C>>,
    id: RequestId,
    demand: Demand,
    progress: mpsc::Sender<Progress>,
    started: MonotonicInstant,
    answer: Answer,
    excluded: Vec<Instance>,
    recomputed: u32,
    meter: Meter,
    pauses: u32,
    retries: u32,
    /// The upstream whose failure makes a retry necessary.
    retry: Option<Instance>,
}

impl<C: Context> Driver<C> {
    async fn run(mut self, mut custody: Custody) {
        let mut progressed_at = self.started;
        loop {
            if self.progress.is_closed() {
                return;
            }
            let length = self.answer.length();
            let now = self.shared.context.clock().now();
            if now.since(progressed_at) >= self.shared.settings.caller.stall_timeout.get() {
                return self.refuse(custody.give_up(RefusalReason::NoUpstream)).await;
            }
            if let Some(failed) = self.retry.take()
                && self.wait_for_retry(failed).await == Waited::Refused
            {
                continue;
            }
            let Some(route) = self.shared.upstreams.choose(&self.demand, &self.excluded).await
            else {
                self.excluded.clear();
                self.pause().await;
                continue;
            };
            self.pauses = 0;
            self.meter.on_dispatch(self.shared.context.clock().now(), route.key, length);
            let (next, attempted) = self.attempt(custody, &route).await;
            custody = next;
            let end = match attempted {
                Attempted::Finished => AttemptEnd::Completed,
                Attempted::CallerGone => AttemptEnd::Cancelled,
                Attempted::Failed => AttemptEnd::Failed,
            };
            self.shared.upstreams.end(route.key, end).await;
            if end != AttemptEnd::Failed {
                return;
            }
            if self.answer.length() > length {
                progressed_at = self.shared.context.clock().now();
                self.excluded.clear();
            }
            self.retry = Some(route.instance.clone());
            self.excluded.push(route.instance);
        }
    }

    /// Waits as the retry budget says. The loss of an upstream that was announced needs no budget,
    /// for it tells nothing of the load.
    async fn wait_for_retry(&mut self, failed: Instance) -> Waited {
        if self.shared.upstreams.leaving().borrow().contains(&failed) {
            return Waited::Granted;
        }
        match self.meter.permit().retry(self.retries).await {
            Retry::Granted { after } => {
                self.retries += 1;
                tokio::time::sleep(after).await;
                Waited::Granted
            }
            Retry::Exhausted { again } => {
                self.retry = Some(failed);
                tokio::time::sleep(again).await;
                Waited::Refused
            }
        }
    }

    /// Waits before the pool is asked again when no upstream can take work.
    async fn pause(&mut self) {
        let seed = u64::try_from(self.shared.context.random() >> 64).unwrap_or_default();
        let params = self.shared.settings.admission.retry();
        let delay = full_jitter(&params, self.pauses, &mut StdRng::seed_from_u64(seed));
        self.pauses += 1;
        tokio::time::sleep(delay).await;
    }

    async fn refuse(self, refusal: Refusal) {
        // A caller that has gone needs no refusal.
        let _ = self.progress.send(Progress::Refused(refusal)).await;
    }

    async fn attempt(&mut self, custody: Custody, route: &Route) -> (Custody, Attempted) {
        let number = self.answer.start_attempt();
        let request = self.request(custody.completion(), number);
        let was_unsent = matches!(custody, Custody::Unsent(_));
        let (completion, sent) = custody.send();
        match self.shared.context.engine().generate(route.address, &request).await {
            Ok(stream) => {
                let attempted = self.follow(stream, number).await;
                (Custody::Sent(completion, sent), attempted)
            }
            Err(GenerateError::Refused { proof, text }) => {
                self.log_failure(route, number, &text);
                let custody = if was_unsent {
                    Custody::Unsent(sent.restore(proof, completion))
                } else {
                    Custody::Sent(completion, sent)
                };
                (custody, Attempted::Failed)
            }
            Err(GenerateError::Lost(text)) => {
                self.log_failure(route, number, &text);
                (Custody::Sent(completion, sent), Attempted::Failed)
            }
        }
    }

    fn request(&self, completion: &Completion, attempt: Attempt) -> Generate {
        Generate {
            request: self.id,
            attempt,
            model: completion.model.clone(),
            adapter: completion.adapter.clone(),
            prompt: completion.prompt.clone(),
            produced: self.answer.tokens().to_vec(),
            max_tokens: completion.max_tokens,
            priority: completion.priority,
        }
    }

    fn log_failure(&self, route: &Route, attempt: Attempt, text: &str) {
        let (id, instance) = (self.id, &route.instance);
        log::info!(
            "event=attempt_failed request={id} attempt={attempt} instance={instance} error={text:?}"
        );
    }

    async fn follow<G: Generation>(&mut self, mut stream: G, number: Attempt) -> Attempted {
        let stall = self.shared.settings.caller.stall_timeout.get();
        loop {
            let step = tokio::select! {
                step = tokio::time::timeout(stall, stream.next()) => step,
                () = self.progress.closed() => return Attempted::CallerGone,
            };
            let broken = match step {
                Err(_) => "no event before the stall timeout".to_owned(),
                Ok(Step::Broken(text)) => text,
                Ok(Step::Chunk(chunk)) => match self.on_chunk(chunk, number).await {
                    Some(attempted) => return attempted,
                    None => continue,
                },
            };
            let id = self.id;
            log::info!("event=attempt_broken request={id} attempt={number} error={broken:?}");
            return Attempted::Failed;
        }
    }

    async fn on_chunk(&mut self, chunk: Chunk, number: Attempt) -> Option<Attempted> {
        if number > Attempt(1) && chunk.attempt == number {
            self.recomputed += chunk.prefilled.unwrap_or(0);
        }
        let finish = chunk.finish;
        let length = self.answer.length();
        let received = self.answer.on_part(part(chunk));
        self.meter.on_length(self.shared.context.clock().now(), self.answer.length());
        if let Some(text) = self.text_from(length) {
            let sent = self.progress.send(Progress::Text { offset: length, text }).await;
            if sent.is_err() {
                return Some(Attempted::CallerGone);
            }
        }
        match received {
            Received::Finished => Some(self.finish(finish.unwrap_or(Finish::Stop)).await),
            Received::Gap => Some(Attempted::Failed),
            Received::Tokens { .. } | Received::Foreign | Received::AfterEnd => None,
        }
    }

    fn text_from(&self, length: u32) -> Option<String> {
        let known = usize::try_from(length).unwrap_or(usize::MAX);
        let new = self.answer.tokens().get(known..).filter(|new| !new.is_empty())?;
        Some(new.concat())
    }

    async fn finish(&mut self, finish: Finish) -> Attempted {
        let (length, recomputed) = (self.answer.length(), self.recomputed);
        self.meter.on_finished(length);
        let finished = Progress::Finished { finish, length, recomputed };
        match self.progress.send(finished).await {
            Ok(()) => Attempted::Finished,
            Err(_) => Attempted::CallerGone,
        }
    }
}

fn part(chunk: Chunk) -> Part {
    Part {
        request: chunk.request,
        attempt: chunk.attempt,
        offset: chunk.offset,
        last: chunk.finish.is_some(),
        tokens: chunk.tokens,
    }
}
