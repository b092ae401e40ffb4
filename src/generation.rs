//! Drives one generation until its answer is complete, over as many attempts as needed.
//!
//! When an attempt breaks, the generation resumes at another upstream from the prompt and the
//! tokens produced so far. When the cloud is about to reclaim its upstream, the generation moves as
//! [`crate::evacuation`] decides.

use crate::admission::Permit;
use crate::answer_reader::Reader;
use crate::context::Context;
use crate::crash_causes::Work;
use crate::daemon::Shared;
use crate::demand;
use crate::evacuation::{StreamInfo, StreamRegistration};
use crate::journal::{AcceptedRequest, AnswerEnd, OpenedRequest, Owner, ReaderGuard, Snapshot};
use crate::kv_transfer::{TransferSource, TransferredCache, transfer};
use crate::meter::Meter;
use crate::replicator::Replicated;
use crate::send_state::SendState;
use crate::settings::UnreplicatedAction;
use rand::SeedableRng;
use rand::rngs::StdRng;
use spindle_caller::{Completion, Refusal};
use spindle_daemon::CompletedAnswer;
use spindle_engine::wire::Finish;
use spindle_engine::{
    Chunk, Engine, GenerateError, GenerateRequest, Generation, GenerationEvent, KvHandle,
};
use spindle_policy::answer::{Answer, AnswerChunk, ChunkOutcome};
use spindle_policy::evacuation::StreamAction;
use spindle_policy::retry::{RetryDecision, full_jitter};
use spindle_policy::routing::{AttemptEnd, Demand, Route};
use spindle_types::{
    Attempt, Clock, Instance, MonotonicInstant, Reachability, RefusalReason, RequestId, Unsent,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

/// Pause before a retry of a request that was taken over from another daemon. Such a request has no
/// admission permit, and so no retry budget to ask.
const TAKEN_OVER_DELAY: Duration = Duration::from_millis(50);

/// The number of chunks of a response that show that its request doesn't crash the upstream.
const SOUND_CHUNKS: u32 = 2;

/// Accepts a request and starts its generation, which runs until the answer is complete or nobody
/// reads it any more.
///
/// # Errors
///
/// The daemon is stopping, or the settings require a replica and no other daemon can hold it.
pub async fn start<C: Context>(
    shared: &Arc<Shared<C>>,
    id: RequestId,
    accepted: AcceptedRequest,
    permit: Permit,
) -> Result<Reader<C>, Refusal> {
    let accepted = Arc::new(accepted);
    let team = accepted.team.clone();
    let unsent = Unsent::new(accepted.completion.clone());
    let opened = shared.journal.open(id, Arc::clone(&accepted), Owner::Local).await;
    let Some(OpenedRequest { wanted, attached }) = opened else {
        return Err(SendState::Unsent(unsent).give_up(RefusalReason::Leaving));
    };
    let replicated = shared.replicator.replicate_request(id, &accepted).await;
    let refuses = shared.settings.replica.unreplicated == UnreplicatedAction::Refuse;
    if refuses && replicated == Replicated::NoHolder {
        shared.journal.remove(id).await;
        return Err(SendState::Unsent(unsent).give_up(RefusalReason::ReplicaUnavailable));
    }
    let answer = Answer::new(id, accepted.completion.max_tokens);
    let driver = Driver::new(Arc::clone(shared), id, &accepted, answer, wanted, Some(permit));
    shared.spawn(driver.run(SendState::Unsent(unsent), None));
    Ok(Reader::for_accepted(Arc::clone(shared), id, team, attached))
}

/// Continues a request that was taken over from another daemon until its answer is complete.
pub async fn resume<C: Context>(shared: Arc<Shared<C>>, snapshot: Snapshot) {
    let Snapshot { id, accepted, attempt, tokens, .. } = snapshot;
    let opened = shared.journal.open(id, Arc::clone(&accepted), Owner::Local).await;
    let Some(OpenedRequest { wanted, attached }) = opened else {
        return;
    };
    shared.replicator.replicate_request(id, &accepted).await;
    let answer = Answer::resumed(id, attempt, tokens, accepted.completion.max_tokens);
    // The former owner may already have sent the request to an upstream.
    let (completion, flight) = SendState::new(accepted.completion.clone()).send();
    let driver = Driver::new(Arc::clone(&shared), id, &accepted, answer, wanted, None);
    shared.spawn(driver.run(flight.lost(completion), Some(attached)));
}

/// How an attempt ended.
enum AttemptResult {
    Finished,
    CallerGone,
    Failed,
    /// The upstream started nothing.
    Refused(Reachability),
    /// The upstream is about to be reclaimed. Holds the KV cache if it was transferred to another
    /// upstream.
    Moved(Option<TransferredCache>),
}

impl AttemptResult {
    fn end(&self) -> AttemptEnd {
        match self {
            Self::Finished => AttemptEnd::Completed,
            Self::CallerGone | Self::Moved(_) => AttemptEnd::Cancelled,
            Self::Failed => AttemptEnd::Failed,
            Self::Refused(contact) => AttemptEnd::from(*contact),
        }
    }
}

/// The upstream that an attempt runs at, and the handle of a KV cache already transferred there.
struct AttemptTarget {
    route: Route,
    kv: Option<KvHandle>,
}

/// A KV cache transfer in progress; dropping it aborts the transfer.
type Transfer = AbortOnDropHandle<Option<TransferredCache>>;

/// Whether the retry budget granted a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RetryGrant {
    Granted,
    Refused,
}

/// Runs the attempts of one request and publishes its answer.
struct Driver<C> {
    shared: Arc<Shared<C>>,
    id: RequestId,
    demand: Demand,
    work: Work,
    wanted: watch::Receiver<bool>,
    started: MonotonicInstant,
    answer: Answer,
    /// Upstreams that are not tried again until the answer progresses or no other one can take it.
    excluded: Vec<Instance>,
    /// Number of tokens that resumed attempts computed again.
    recomputed: u32,
    meter: Meter,
    /// Number of pauses in a row because no upstream could take the request.
    pauses: u32,
    retries: u32,
    /// The upstream whose failure makes a retry necessary. An attempt that extended the answer is
    /// not counted as a failure: resuming it can't multiply the load.
    failed_upstream: Option<Instance>,
}

impl<C: Context> Driver<C> {
    fn new(
        shared: Arc<Shared<C>>,
        id: RequestId,
        accepted: &AcceptedRequest,
        answer: Answer,
        wanted: watch::Receiver<bool>,
        permit: Option<Permit>,
    ) -> Self {
        let started = shared.context.clock().now();
        let demand =
            demand::for_generation(&shared.config.borrow(), &accepted.completion, &accepted.pool);
        let work = Work::generation(id, accepted, &demand);
        let home = shared.settings.identity.data_centre.clone();
        let speed = shared.settings.routing.router_params(home).speed;
        let prefill = Duration::from_secs_f64(speed.prefill(demand.prefill_tokens));
        let meter = Meter::new(permit, shared.upstreams.clone(), &demand, prefill);
        Self {
            shared,
            id,
            demand,
            work,
            wanted,
            started,
            answer,
            excluded: Vec::new(),
            recomputed: 0,
            meter,
            pauses: 0,
            retries: 0,
            failed_upstream: None,
        }
    }

    /// Runs attempts until the answer is complete or nobody wants it. `_attached` counts as a
    /// reader, which keeps the answer wanted.
    async fn run(mut self, mut state: SendState<Completion>, _attached: Option<ReaderGuard>) {
        let mut progressed_at = self.started;
        let mut transferred_cache = None;
        loop {
            if !*self.wanted.borrow() {
                return self.abandon().await;
            }
            let length = self.answer.length();
            let now = self.shared.context.clock().now();
            if now.since(progressed_at) >= self.shared.settings.caller.stall_timeout.get() {
                return self.refuse(state.give_up(RefusalReason::NoUpstream)).await;
            }
            if let Some(failed) = self.failed_upstream.take()
                && self.wait_for_retry(failed).await == RetryGrant::Refused
            {
                continue;
            }
            let Some(target) = self.choose_target(transferred_cache.take()).await else {
                self.excluded.clear();
                self.pause().await;
                continue;
            };
            if let Some(verdict) = self.shared.crashes.verdict(&self.work) {
                self.shared.upstreams.end(target.route.key, AttemptEnd::Cancelled).await;
                let reason = RefusalReason::CrashesUpstreams;
                return self.refuse(state.give_up_until(reason, verdict.probe_in)).await;
            }
            self.pauses = 0;
            let now = self.shared.context.clock().now();
            self.meter.on_dispatch(now, target.route.key, length);
            let (next, result) = self.attempt(state, &target).await;
            state = next;
            self.shared.upstreams.end(target.route.key, result.end()).await;
            match result {
                AttemptResult::Finished => return,
                AttemptResult::CallerGone => return self.abandon().await,
                AttemptResult::Failed if self.answer.length() > length => {}
                AttemptResult::Failed | AttemptResult::Refused(_) => {
                    self.failed_upstream = Some(target.route.instance.clone());
                }
                AttemptResult::Moved(transferred) => transferred_cache = transferred,
            }
            if self.answer.length() > length {
                progressed_at = self.shared.context.clock().now();
                self.excluded.clear();
            }
            self.excluded.push(target.route.instance);
        }
    }

    /// Chooses where the next attempt runs: where the KV cache was transferred, or else at the
    /// router's choice. `None` if no upstream can take it.
    async fn choose_target(
        &self,
        transferred_cache: Option<TransferredCache>,
    ) -> Option<AttemptTarget> {
        if let Some(TransferredCache { reservation, handle }) = transferred_cache
            && let Some(route) = reservation.take()
        {
            return Some(AttemptTarget { route, kv: Some(handle) });
        }
        let route = self.shared.upstreams.choose(&self.demand, &self.excluded).await?;
        Some(AttemptTarget { route, kv: None })
    }

    /// Waits for the retry budget. The loss of an upstream that was announced as leaving needs no
    /// budget, because it is no sign of overload.
    async fn wait_for_retry(&mut self, failed: Instance) -> RetryGrant {
        if self.shared.upstreams.leaving().borrow().contains(&failed) {
            return RetryGrant::Granted;
        }
        let retry = match self.meter.permit() {
            Some(permit) => permit.retry(self.retries).await,
            None => RetryDecision::Granted { after: TAKEN_OVER_DELAY },
        };
        match retry {
            RetryDecision::Granted { after } => {
                self.retries += 1;
                tokio::time::sleep(after).await;
                RetryGrant::Granted
            }
            RetryDecision::Exhausted { ask_again_after } => {
                self.failed_upstream = Some(failed);
                tokio::time::sleep(ask_again_after).await;
                RetryGrant::Refused
            }
        }
    }

    /// Waits with full jitter before the next attempt to find an upstream, when none can take work.
    async fn pause(&mut self) {
        let seed = u64::try_from(self.shared.context.random() >> 64).unwrap_or_default();
        let params = self.shared.settings.admission.retry_params();
        let delay = full_jitter(&params, self.pauses, &mut StdRng::seed_from_u64(seed));
        self.pauses += 1;
        tokio::time::sleep(delay).await;
    }

    /// Discards a request whose answer nobody wants, and its replica.
    async fn abandon(self) {
        self.shared.journal.remove(self.id).await;
        self.shared.replicator.discard(self.id).await;
    }

    async fn refuse(self, refusal: Refusal) {
        if let Some(end) = AnswerEnd::refused(refusal) {
            self.shared.journal.end(self.id, end).await;
        }
        self.shared.replicator.discard(self.id).await;
    }

    async fn attempt(
        &mut self,
        state: SendState<Completion>,
        target: &AttemptTarget,
    ) -> (SendState<Completion>, AttemptResult) {
        let route = &target.route;
        let number = self.answer.start_attempt();
        let request = GenerateRequest { kv: target.kv, ..self.request(state.request(), number) };
        let info = self.stream_info(&request, &route.instance);
        let mut registration = self.shared.evacuation.register(info.clone()).await;
        let (completion, flight) = state.send();
        let started = tokio::select! {
            started = self.generate(route, &request) => started,
            () = told_to_move(&mut registration) =>
                return (flight.lost(completion), AttemptResult::Moved(None)),
        };
        match started {
            Ok(stream) => {
                let result = self.follow(stream, number, registration, &info, route).await;
                (flight.lost(completion), result)
            }
            Err(GenerateError::Refused { proof, text }) => {
                self.log_failure(route, number, &text);
                let result = AttemptResult::Refused(proof.reachability());
                (flight.refused(proof, completion), result)
            }
            Err(GenerateError::Lost(text)) => {
                self.log_failure(route, number, &text);
                self.shared.crashes.on_lost(&self.work, route).await;
                (flight.lost(completion), AttemptResult::Failed)
            }
        }
    }

    async fn generate(
        &self,
        route: &Route,
        request: &GenerateRequest,
    ) -> Result<<C::Engine as Engine>::Generation, GenerateError> {
        let stall = self.shared.settings.caller.stall_timeout.get();
        let starting = self.shared.context.engine().generate(route.address, request);
        match tokio::time::timeout(stall, starting).await {
            Ok(started) => started,
            Err(_) => Err(GenerateError::Lost("no answer before the stall timeout".to_owned())),
        }
    }

    fn stream_info(&self, request: &GenerateRequest, instance: &Instance) -> StreamInfo {
        StreamInfo {
            instance: instance.clone(),
            deadline: self.started,
            prompt_tokens: self.demand.prefill_tokens,
            start_tokens: self.answer.length(),
            max_tokens: request.max_tokens,
            progress: Arc::default(),
        }
    }

    fn request(&self, completion: &Completion, attempt: Attempt) -> GenerateRequest {
        GenerateRequest {
            request: self.id,
            attempt,
            model: completion.model.clone(),
            adapter: completion.adapter.clone(),
            prompt: completion.prompt.clone(),
            produced: self.answer.tokens().to_vec(),
            kv: None,
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

    async fn follow<G: Generation>(
        &mut self,
        mut stream: G,
        number: Attempt,
        mut registration: StreamRegistration,
        info: &StreamInfo,
        route: &Route,
    ) -> AttemptResult {
        let stall = self.shared.settings.caller.stall_timeout.get();
        let mut transfer: Option<Transfer> = None;
        let mut chunks = 0;
        let mut last_progress = tokio::time::Instant::now();
        loop {
            let step = tokio::select! {
                step = tokio::time::timeout_at(last_progress + stall, stream.next()) => step,
                () = unwanted(&mut self.wanted) => return AttemptResult::CallerGone,
                transferred = transfer_done(&mut transfer) => return AttemptResult::Moved(transferred),
                order = registration.next_action() => match order {
                    StreamAction::Stay => continue,
                    StreamAction::Resume => return AttemptResult::Moved(None),
                    StreamAction::Transfer => {
                        transfer = Some(self.start_transfer(route, number));
                        continue;
                    }
                },
            };
            let length = self.answer.length();
            let broken = match step {
                Err(_) => "no token before the stall timeout".to_owned(),
                Ok(GenerationEvent::Broken(text)) => {
                    if chunks < SOUND_CHUNKS {
                        self.shared.crashes.on_lost(&self.work, route).await;
                    }
                    text
                }
                Ok(GenerationEvent::Chunk(chunk)) => {
                    chunks += 1;
                    if chunks == SOUND_CHUNKS || chunk.finish.is_some() {
                        self.shared.crashes.on_sound(&self.work);
                    }
                    if let Some(result) = self.on_chunk(chunk, number).await {
                        return result;
                    }
                    if self.answer.length() > length {
                        last_progress = tokio::time::Instant::now();
                        let now = self.shared.context.clock().now();
                        info.progress.record_length(now, self.answer.length());
                    }
                    continue;
                }
            };
            let id = self.id;
            log::info!("event=attempt_broken request={id} attempt={number} error={broken:?}");
            return AttemptResult::Failed;
        }
    }

    fn start_transfer(&self, route: &Route, attempt: Attempt) -> Transfer {
        let instance = route.instance.clone();
        let source = TransferSource { engine: route.address, instance, request: self.id, attempt };
        let (demand, excluded) = (self.demand.clone(), self.excluded.clone());
        let transfer = transfer(Arc::clone(&self.shared), source, demand, excluded);
        AbortOnDropHandle::new(tokio::spawn(transfer))
    }

    async fn on_chunk(&mut self, chunk: Chunk, number: Attempt) -> Option<AttemptResult> {
        if number > Attempt(1) && chunk.attempt == number {
            self.recomputed += chunk.prefilled.unwrap_or(0);
        }
        let finish = chunk.finish;
        let length = self.answer.length();
        let received = self.answer.receive(answer_chunk(chunk));
        self.meter.on_length(self.shared.context.clock().now(), self.answer.length());
        self.publish(length, number).await;
        match received {
            ChunkOutcome::Finished => {
                self.finish(finish.unwrap_or(Finish::Stop)).await;
                Some(AttemptResult::Finished)
            }
            ChunkOutcome::Gap | ChunkOutcome::Contradiction => Some(AttemptResult::Failed),
            ChunkOutcome::Tokens { .. } | ChunkOutcome::Foreign | ChunkOutcome::AfterEnd => None,
        }
    }

    /// Publishes the tokens from an offset on, first to the replica, then to readers.
    async fn publish(&self, length: u32, attempt: Attempt) {
        let known = usize::try_from(length).unwrap_or(usize::MAX);
        let Some(new) = self.answer.tokens().get(known..).filter(|new| !new.is_empty()) else {
            return;
        };
        // If no daemon can hold a replica, the answer continues unreplicated.
        self.shared.replicator.append(self.id, attempt, length, new.to_vec()).await;
        self.shared.journal.append(self.id, attempt, length, new.to_vec()).await;
    }

    async fn finish(&mut self, finish: Finish) {
        let (length, recomputed) = (self.answer.length(), self.recomputed);
        self.meter.on_finished(length);
        let end =
            AnswerEnd::Complete(CompletedAnswer { finish: finish.to_string(), length, recomputed });
        self.shared.replicator.end(self.id, length, &end).await;
        self.shared.journal.end(self.id, end).await;
    }
}

/// Waits until nobody wants the answer.
async fn unwanted(wanted: &mut watch::Receiver<bool>) {
    // An error means that the journal has dropped the request, so nobody wants it either.
    let _ = wanted.wait_for(|wanted| !wanted).await;
}

/// Waits until the stream is told to leave the upstream before its attempt has started there. Even
/// a transfer means a new attempt elsewhere then, because there is no KV cache yet.
async fn told_to_move(registration: &mut StreamRegistration) {
    while registration.next_action().await == StreamAction::Stay {}
}

/// Waits for a transfer to end; never returns if there is none.
async fn transfer_done(transfer: &mut Option<Transfer>) -> Option<TransferredCache> {
    match transfer {
        Some(transfer) => transfer.await.ok().flatten(),
        None => std::future::pending().await,
    }
}

fn answer_chunk(chunk: Chunk) -> AnswerChunk {
    AnswerChunk {
        request: chunk.request,
        attempt: chunk.attempt,
        offset: chunk.offset,
        last: chunk.finish.is_some(),
        tokens: chunk.tokens,
    }
}
