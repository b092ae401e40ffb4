//! Drives one generation to its whole answer, over as many attempts as it takes.
//!
//! A broken attempt is resumed at another upstream from the prompt and the tokens produced so far.
//! When its upstream is about to be taken back, it moves as [`crate::evacuation`] orders.

use crate::admission::Permit;
use crate::answer_reader::Reader;
use crate::context::Context;
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

/// The pause before a request that was taken over is tried again.
const TAKEN_OVER_DELAY: Duration = Duration::from_millis(50);

/// Accepts a request and starts its generation. It goes on while its answer is read, or until it
/// is whole.
///
/// # Errors
///
/// The request has to be replicated first, and no other daemon can.
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

/// Goes on with a request that was taken over from another daemon, until its answer is whole.
pub async fn resume<C: Context>(shared: Arc<Shared<C>>, snapshot: Snapshot) {
    let Snapshot { id, accepted, attempt, tokens, .. } = snapshot;
    let opened = shared.journal.open(id, Arc::clone(&accepted), Owner::Local).await;
    let Some(OpenedRequest { wanted, attached }) = opened else {
        return;
    };
    shared.replicator.replicate_request(id, &accepted).await;
    let answer = Answer::resumed(id, attempt, tokens, accepted.completion.max_tokens);
    // The former owner may have sent it.
    let (completion, flight) = SendState::new(accepted.completion.clone()).send();
    let driver = Driver::new(Arc::clone(&shared), id, &accepted, answer, wanted, None);
    shared.spawn(driver.run(flight.lost(completion), Some(attached)));
}

/// How an attempt ended.
enum Attempted {
    Finished,
    CallerGone,
    Failed,
    /// The upstream started nothing.
    Refused(Reachability),
    /// The upstream is about to go; the cache may have been transferred to the next one.
    Moved(Option<TransferredCache>),
}

impl Attempted {
    fn end(&self) -> AttemptEnd {
        match self {
            Self::Finished => AttemptEnd::Completed,
            Self::CallerGone | Self::Moved(_) => AttemptEnd::Cancelled,
            Self::Failed => AttemptEnd::Failed,
            Self::Refused(contact) => AttemptEnd::from(*contact),
        }
    }
}

/// Where an attempt runs.
struct Place {
    route: Route,
    kv: Option<KvHandle>,
}

/// A transfer that is under way, stopped when dropped.
type Transfer = AbortOnDropHandle<Option<TransferredCache>>;

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
    wanted: watch::Receiver<bool>,
    started: MonotonicInstant,
    answer: Answer,
    excluded: Vec<Instance>,
    recomputed: u32,
    meter: Meter,
    pauses: u32,
    retries: u32,
    /// The upstream whose failure makes a retry necessary. An attempt that brought the answer
    /// forward is no failure: its resumption can't multiply the load.
    retry: Option<Instance>,
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
        let home = shared.settings.identity.data_centre.clone();
        let speed = shared.settings.routing.router_params(home).speed;
        let prefill = Duration::from_secs_f64(speed.prefill(demand.prefill_tokens));
        let meter = Meter::new(permit, shared.upstreams.clone(), &demand, prefill);
        Self {
            shared,
            id,
            demand,
            wanted,
            started,
            answer,
            excluded: Vec::new(),
            recomputed: 0,
            meter,
            pauses: 0,
            retries: 0,
            retry: None,
        }
    }

    /// Runs attempts until the answer is whole or wanted no more; `_attached` keeps it wanted.
    async fn run(mut self, mut custody: SendState<Completion>, _attached: Option<ReaderGuard>) {
        let mut progressed_at = self.started;
        let mut moved = None;
        loop {
            if !*self.wanted.borrow() {
                return self.forget().await;
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
            let Some(place) = self.place(moved.take()).await else {
                self.excluded.clear();
                self.pause().await;
                continue;
            };
            self.pauses = 0;
            let now = self.shared.context.clock().now();
            self.meter.on_dispatch(now, place.route.key, length);
            let (next, attempted) = self.attempt(custody, &place).await;
            custody = next;
            self.shared.upstreams.end(place.route.key, attempted.end()).await;
            match attempted {
                Attempted::Finished => return,
                Attempted::CallerGone => return self.forget().await,
                Attempted::Failed if self.answer.length() > length => {}
                Attempted::Failed | Attempted::Refused(_) => {
                    self.retry = Some(place.route.instance.clone());
                }
                Attempted::Moved(transferred) => moved = transferred,
            }
            if self.answer.length() > length {
                progressed_at = self.shared.context.clock().now();
                self.excluded.clear();
            }
            self.excluded.push(place.route.instance);
        }
    }

    /// Where the next attempt runs; none if no upstream can take it.
    async fn place(&self, moved: Option<TransferredCache>) -> Option<Place> {
        if let Some(TransferredCache { reservation, handle }) = moved
            && let Some(route) = reservation.take()
        {
            return Some(Place { route, kv: Some(handle) });
        }
        let route = self.shared.upstreams.choose(&self.demand, &self.excluded).await?;
        Some(Place { route, kv: None })
    }

    /// Waits as the retry budget says. The loss of an upstream that was announced needs no budget,
    /// for it tells nothing of the load.
    async fn wait_for_retry(&mut self, failed: Instance) -> Waited {
        if self.shared.upstreams.leaving().borrow().contains(&failed) {
            return Waited::Granted;
        }
        let retry = match self.meter.permit() {
            Some(permit) => permit.retry(self.retries).await,
            None => RetryDecision::Granted { after: TAKEN_OVER_DELAY },
        };
        match retry {
            RetryDecision::Granted { after } => {
                self.retries += 1;
                tokio::time::sleep(after).await;
                Waited::Granted
            }
            RetryDecision::Exhausted { ask_again_after } => {
                self.retry = Some(failed);
                tokio::time::sleep(ask_again_after).await;
                Waited::Refused
            }
        }
    }

    /// Waits before the pool is asked again when no upstream can take work.
    async fn pause(&mut self) {
        let seed = u64::try_from(self.shared.context.random() >> 64).unwrap_or_default();
        let params = self.shared.settings.admission.retry_params();
        let delay = full_jitter(&params, self.pauses, &mut StdRng::seed_from_u64(seed));
        self.pauses += 1;
        tokio::time::sleep(delay).await;
    }

    /// Gives up an answer that nobody wants.
    async fn forget(self) {
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
        custody: SendState<Completion>,
        place: &Place,
    ) -> (SendState<Completion>, Attempted) {
        let route = &place.route;
        let number = self.answer.start_attempt();
        let request = GenerateRequest { kv: place.kv, ..self.request(custody.request(), number) };
        let info = self.stream_info(&request, &route.instance);
        let mut seat = self.shared.evacuation.register(info.clone()).await;
        let (completion, flight) = custody.send();
        let started = tokio::select! {
            started = self.generate(route, &request) => started,
            () = ordered_away(&mut seat) => return (flight.lost(completion), Attempted::Moved(None)),
        };
        match started {
            Ok(stream) => {
                let attempted = self.follow(stream, number, seat, &info, route).await;
                (flight.lost(completion), attempted)
            }
            Err(GenerateError::Refused { proof, text }) => {
                self.log_failure(route, number, &text);
                let attempted = Attempted::Refused(proof.reachability());
                (flight.refused(proof, completion), attempted)
            }
            Err(GenerateError::Lost(text)) => {
                self.log_failure(route, number, &text);
                (flight.lost(completion), Attempted::Failed)
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
            prompt: self.demand.prefill_tokens,
            start: self.answer.length(),
            max: request.max_tokens,
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
        mut seat: StreamRegistration,
        info: &StreamInfo,
        route: &Route,
    ) -> Attempted {
        let stall = self.shared.settings.caller.stall_timeout.get();
        let mut transfer: Option<Transfer> = None;
        let mut accepted = tokio::time::Instant::now();
        loop {
            let step = tokio::select! {
                step = tokio::time::timeout_at(accepted + stall, stream.next()) => step,
                () = unwanted(&mut self.wanted) => return Attempted::CallerGone,
                transferred = done(&mut transfer) => return Attempted::Moved(transferred),
                order = seat.next_action() => match order {
                    StreamAction::Stay => continue,
                    StreamAction::Resume => return Attempted::Moved(None),
                    StreamAction::Transfer => {
                        transfer = Some(self.start_transfer(route, number));
                        continue;
                    }
                },
            };
            let length = self.answer.length();
            let broken = match step {
                Err(_) => "no token before the stall timeout".to_owned(),
                Ok(GenerationEvent::Broken(text)) => text,
                Ok(GenerationEvent::Chunk(chunk)) => {
                    if let Some(attempted) = self.on_chunk(chunk, number).await {
                        return attempted;
                    }
                    if self.answer.length() > length {
                        accepted = tokio::time::Instant::now();
                        let now = self.shared.context.clock().now();
                        info.progress.reach(now, self.answer.length());
                    }
                    continue;
                }
            };
            let id = self.id;
            log::info!("event=attempt_broken request={id} attempt={number} error={broken:?}");
            return Attempted::Failed;
        }
    }

    fn start_transfer(&self, route: &Route, attempt: Attempt) -> Transfer {
        let instance = route.instance.clone();
        let source = TransferSource { engine: route.address, instance, request: self.id, attempt };
        let (demand, excluded) = (self.demand.clone(), self.excluded.clone());
        let transfer = transfer(Arc::clone(&self.shared), source, demand, excluded);
        AbortOnDropHandle::new(tokio::spawn(transfer))
    }

    async fn on_chunk(&mut self, chunk: Chunk, number: Attempt) -> Option<Attempted> {
        if number > Attempt(1) && chunk.attempt == number {
            self.recomputed += chunk.prefilled.unwrap_or(0);
        }
        let finish = chunk.finish;
        let length = self.answer.length();
        let received = self.answer.receive(part(chunk));
        self.meter.on_length(self.shared.context.clock().now(), self.answer.length());
        self.publish(length, number).await;
        match received {
            ChunkOutcome::Finished => {
                self.finish(finish.unwrap_or(Finish::Stop)).await;
                Some(Attempted::Finished)
            }
            ChunkOutcome::Gap | ChunkOutcome::Contradiction => Some(Attempted::Failed),
            ChunkOutcome::Tokens { .. } | ChunkOutcome::Foreign | ChunkOutcome::AfterEnd => None,
        }
    }

    /// Hands on the tokens from an offset on, first to the replica, then to readers.
    async fn publish(&self, length: u32, attempt: Attempt) {
        let known = usize::try_from(length).unwrap_or(usize::MAX);
        let Some(new) = self.answer.tokens().get(known..).filter(|new| !new.is_empty()) else {
            return;
        };
        // Without a holder, the answer goes on unreplicated.
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
    // The journal has dropped the request.
    let _ = wanted.wait_for(|wanted| !wanted).await;
}

/// Waits until an order comes that can't be met where the attempt was to start.
async fn ordered_away(seat: &mut StreamRegistration) {
    while seat.next_action().await == StreamAction::Stay {}
}

/// Waits for the end of a transfer, if there is one.
async fn done(transfer: &mut Option<Transfer>) -> Option<TransferredCache> {
    match transfer {
        Some(transfer) => transfer.await.ok().flatten(),
        None => std::future::pending().await,
    }
}

fn part(chunk: Chunk) -> AnswerChunk {
    AnswerChunk {
        request: chunk.request,
        attempt: chunk.attempt,
        offset: chunk.offset,
        last: chunk.finish.is_some(),
        tokens: chunk.tokens,
    }
}
