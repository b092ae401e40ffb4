//! Stand-in for a model engine, whose response times follow the model in [`crate::batch`].

mod scheduler;

use self::scheduler::{Output, Scheduler};
use crate::answer::{natural_length, token};
use crate::batch::{EngineModel, Job};
use crate::fault::Faults;
use crate::kv::KvStore;
use crate::server::{StandinServer, query_number};
use crate::stream_fault::StreamFaults;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::to_string;
use spindle_engine::{Chunk, Finish, GenerateRequest, Load, Order, OrderReply};
use spindle_http::reply::with_content_type;
use spindle_http::{Body, BodySender, Handler, encode_event, json, read_json, text};
use spindle_types::{Fencing, Model, PromptBlocks};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// The largest request body, in bytes.
const REQUEST_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The timeout for reading a request body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// How many events a slow receiver may fall behind before the outputs queue up in memory.
const EVENT_BUFFER: usize = 64;

/// The work that an engine has done since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineCounts {
    /// The number of generations that were started.
    pub started: u64,
    /// The number of tokens that were prefilled: of prompts, and of earlier attempts.
    pub prefilled: u64,
    /// The number of tokens that were generated.
    pub generated: u64,
    /// The total duration of the engine's steps.
    pub busy: Duration,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    kv: KvStore,
    stream_faults: StreamFaults,
    reported_load: Mutex<Load>,
    fencing: Mutex<Fencing>,
    checks_fencing: bool,
    active: AtomicU32,
    started: AtomicU64,
    prefilled: AtomicU64,
    generated: AtomicU64,
    faults: Faults,
}

impl State {
    fn reported_load(&self) -> MutexGuard<'_, Load> {
        self.reported_load.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An engine that serves one model.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    state: Arc<State>,
    server: Arc<StandinServer>,
}

impl EngineStandin {
    /// Starts an engine that has a model loaded. If `checks_fencing` is set, the engine rejects
    /// orders with a lower fencing token than that of an earlier order.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(
        model: Model,
        timing: EngineModel,
        checks_fencing: bool,
    ) -> io::Result<Self> {
        let state = Arc::new(State {
            scheduler: Scheduler::start(timing),
            kv: KvStore::new(timing.transfer_rate),
            stream_faults: StreamFaults::default(),
            reported_load: Mutex::new(Load { model: Some(model), ..Load::default() }),
            fencing: Mutex::default(),
            checks_fencing,
            active: AtomicU32::default(),
            started: AtomicU64::default(),
            prefilled: AtomicU64::default(),
            generated: AtomicU64::default(),
            faults: Faults::default(),
        });
        let server = StandinServer::start(EngineHandler(Arc::clone(&state))).await?;
        Ok(Self { state, server: Arc::new(server) })
    }

    /// The address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that the engine injects into calls.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// The faults that the engine injects into its streams.
    pub fn stream_faults(&self) -> &StreamFaults {
        &self.state.stream_faults
    }

    /// The work that the engine has done since its start.
    pub fn counts(&self) -> EngineCounts {
        EngineCounts {
            started: self.state.started.load(Ordering::Relaxed),
            prefilled: self.state.prefilled.load(Ordering::Relaxed),
            generated: self.state.generated.load(Ordering::Relaxed),
            busy: self.state.scheduler.busy(),
        }
    }

    /// The number of generations that run or wait for a slot.
    pub fn running(&self) -> u32 {
        self.state.active.load(Ordering::Relaxed)
    }

    /// Closes all connections at once.
    pub fn kill(&self) {
        self.server.kill();
    }
}

#[derive(Clone)]
struct EngineHandler(Arc<State>);

impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let state = &self.0;
        tokio::time::sleep(state.faults.delay()).await;
        if state.faults.is_down() || state.faults.take_refusal() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/completions") => self.generate(request).await,
            (_, path) if path.starts_with("/v1/kv/") => state.kv.serve(request).await,
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (&Method::GET, "/v1/load") => json(StatusCode::OK, &self.load()),
            (&Method::GET, "/v1/cache/events") => {
                let next = query_number(request.uri(), "from").unwrap_or(0);
                json(StatusCode::OK, &state.scheduler.cache_events(next))
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl EngineHandler {
    fn load(&self) -> Load {
        self.0.scheduler.load(self.0.reported_load().clone())
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let body = request.into_body();
        let order: Order = match read_json(body, REQUEST_MAX_BYTES, REQUEST_TIMEOUT).await {
            Ok(order) => order,
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let mut fencing = self.0.fencing.lock().unwrap_or_else(PoisonError::into_inner);
        if self.0.checks_fencing && order.fencing < *fencing {
            return json(StatusCode::OK, &OrderReply::Fenced);
        }
        *fencing = order.fencing.max(*fencing);
        let mut reported = self.0.reported_load();
        reported.model = Some(order.model);
        reported.version = order.version;
        reported.adapters = order.adapters;
        reported.role = order.role;
        json(StatusCode::OK, &OrderReply::Accepted)
    }

    async fn generate(&self, request: Request<Incoming>) -> Response<Body> {
        let state = &self.0;
        let body = request.into_body();
        let request: GenerateRequest =
            match read_json(body, REQUEST_MAX_BYTES, REQUEST_TIMEOUT).await {
                Ok(request) => request,
                Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
            };
        if state.reported_load().model.as_ref() != Some(&request.model) {
            return text(StatusCode::NOT_FOUND, "model is not loaded");
        }
        let job = build_job(&request, state.kv.take(request.kv));
        let input_tokens = job.blocks.tokens;
        let Ok(outputs) = state.scheduler.submit(job) else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "the queue is full");
        };
        state.started.fetch_add(1, Ordering::Relaxed);
        state.active.fetch_add(1, Ordering::Relaxed);
        let (sender, body) = Body::channel(EVENT_BUFFER);
        let generation = ActiveGeneration { state: Arc::clone(state), request, input_tokens };
        tokio::spawn(send_chunks(generation, outputs, sender));
        with_content_type(StatusCode::OK, "text/event-stream", body)
    }
}

/// A generation that runs or waits for a slot, which is counted until it is dropped.
struct ActiveGeneration {
    state: Arc<State>,
    request: GenerateRequest,
    /// The number of tokens of the prompt and of earlier attempts.
    input_tokens: u32,
}

impl Drop for ActiveGeneration {
    fn drop(&mut self) {
        self.state.active.fetch_sub(1, Ordering::Relaxed);
        self.state.kv.end(&self.request);
    }
}

/// The offset after the last token of a completion.
fn completion_end(request: &GenerateRequest) -> u32 {
    natural_length(&request.prompt).min(request.max_tokens)
}

fn build_job(request: &GenerateRequest, imported: u32) -> Job {
    let input = format!("{}{}", request.prompt, request.produced.concat());
    Job {
        blocks: PromptBlocks::of(&request.model, request.adapter.as_ref(), &input),
        imported,
        first_offset: u32::try_from(request.produced.len()).unwrap_or(u32::MAX),
        end_offset: completion_end(request),
        priority: request.priority,
    }
}

/// Sends the outputs of a generation as chunks. Cancels the generation if the receiver is gone.
async fn send_chunks(
    generation: ActiveGeneration,
    mut outputs: mpsc::UnboundedReceiver<Output>,
    sender: BodySender,
) {
    let ActiveGeneration { state, request, input_tokens } = &generation;
    let mut injector = state.stream_faults.start();
    let mut produced = 0;
    loop {
        let output = tokio::select! {
            output = outputs.recv() => output,
            () = sender.closed() => return,
        };
        let Some(Output { offset, prefilled, ended }) = output else {
            return;
        };
        state.prefilled.fetch_add(prefilled.unwrap_or(0).into(), Ordering::Relaxed);
        if let Some(offset) = offset {
            produced += 1;
            state.kv.grow(request, input_tokens + produced);
            let tokens = vec![token(&request.model, &request.prompt, offset)];
            let chunk = Chunk { tokens, prefilled, ..empty_chunk(request, offset) };
            state.generated.fetch_add(1, Ordering::Relaxed);
            if send(&sender, injector.on_chunk(chunk)).await.is_err() {
                return;
            }
        }
        if ended {
            break;
        }
    }
    let end = completion_end(request);
    let stopped = natural_length(&request.prompt) <= request.max_tokens;
    let finish = Some(if stopped { Finish::Stop } else { Finish::Length });
    let last = Chunk { finish, ..empty_chunk(request, end) };
    if send(&sender, injector.on_chunk(last)).await.is_ok() {
        sender.finish().await;
    }
}

fn empty_chunk(request: &GenerateRequest, offset: u32) -> Chunk {
    Chunk {
        request: request.request,
        attempt: request.attempt,
        offset,
        tokens: Vec::new(),
        finish: None,
        prefilled: None,
    }
}

async fn send(sender: &BodySender, chunks: Vec<Chunk>) -> Result<(), ()> {
    for chunk in chunks {
        let data = to_string(&chunk).map_err(|_| ())?;
        sender.send(encode_event(None, None, &data)).await.map_err(|_| ())?;
    }
    Ok(())
}
