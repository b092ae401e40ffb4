//! A model engine's stand-in, whose times follow the model of [`crate::batch`].

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
use spindle_engine::{Chunk, Finish, Generate, Load, Order, OrderReply};
use spindle_http::reply::with_content_type;
use spindle_http::{Body, BodySender, Handler, encode_event, json, read_json, text};
use spindle_types::{Blocks, Fencing, Model};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// The largest request, in bytes.
const REQUEST_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The time within which a request must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Events that a slow receiver may lag behind before they wait in memory.
const EVENT_BUFFER: usize = 64;

/// What an engine has done since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineCounts {
    /// Generations started.
    pub started: u64,
    /// Prompt and produced tokens computed at starts.
    pub prefilled: u64,
    /// Tokens generated.
    pub generated: u64,
    /// The time for which it computed.
    pub busy: Duration,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    kv: KvStore,
    stream_faults: StreamFaults,
    loaded: Mutex<Load>,
    fencing: Mutex<Fencing>,
    checks_fencing: bool,
    running: AtomicU32,
    started: AtomicU64,
    prefilled: AtomicU64,
    generated: AtomicU64,
    faults: Faults,
}

impl State {
    fn loaded(&self) -> MutexGuard<'_, Load> {
        self.loaded.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An engine that serves one model.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    state: Arc<State>,
    server: Arc<StandinServer>,
}

impl EngineStandin {
    /// Starts an engine with a model loaded.
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
            loaded: Mutex::new(Load { model: Some(model), ..Load::default() }),
            fencing: Mutex::default(),
            checks_fencing,
            running: AtomicU32::default(),
            started: AtomicU64::default(),
            prefilled: AtomicU64::default(),
            generated: AtomicU64::default(),
            faults: Faults::default(),
        });
        let server = StandinServer::start(EngineHandler(Arc::clone(&state))).await?;
        Ok(Self { state, server: Arc::new(server) })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its faults.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// The faults of its streams.
    pub fn stream_faults(&self) -> &StreamFaults {
        &self.state.stream_faults
    }

    /// What it has done.
    pub fn counts(&self) -> EngineCounts {
        EngineCounts {
            started: self.state.started.load(Ordering::Relaxed),
            prefilled: self.state.prefilled.load(Ordering::Relaxed),
            generated: self.state.generated.load(Ordering::Relaxed),
            busy: self.state.scheduler.busy(),
        }
    }

    /// Generations being computed or waiting.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::Relaxed)
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
            (_, path) if path.starts_with("/v1/kv/") => state.kv.answer(request).await,
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
        self.0.scheduler.load(self.0.loaded().clone())
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
        let mut loaded = self.0.loaded();
        loaded.model = Some(order.model);
        loaded.version = order.version;
        loaded.adapters = order.adapters;
        loaded.role = order.role;
        json(StatusCode::OK, &OrderReply::Accepted)
    }

    async fn generate(&self, request: Request<Incoming>) -> Response<Body> {
        let state = &self.0;
        let body = request.into_body();
        let request: Generate = match read_json(body, REQUEST_MAX_BYTES, REQUEST_TIMEOUT).await {
            Ok(request) => request,
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if state.loaded().model.as_ref() != Some(&request.model) {
            return text(StatusCode::NOT_FOUND, "model is not loaded");
        }
        let job = job(&request, state.kv.take(request.kv));
        let heard = job.blocks.tokens;
        let Ok(outputs) = state.scheduler.submit(job) else {
            return text(StatusCode::SERVICE_UNAVAILABLE, "the queue is full");
        };
        state.started.fetch_add(1, Ordering::Relaxed);
        state.running.fetch_add(1, Ordering::Relaxed);
        let (sender, body) = Body::channel(EVENT_BUFFER);
        let slot = Slot { state: Arc::clone(state), request, heard };
        tokio::spawn(produce(slot, outputs, sender));
        with_content_type(StatusCode::OK, "text/event-stream", body)
    }
}

/// One running generation, counted until dropped.
struct Slot {
    state: Arc<State>,
    request: Generate,
    /// The tokens of the prompt and of earlier attempts.
    heard: u32,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        self.state.kv.end(&self.request);
    }
}

/// The offset after the last token of an answer.
fn answer_end(request: &Generate) -> u32 {
    natural_length(&request.prompt).min(request.max_tokens)
}

fn job(request: &Generate, imported: u32) -> Job {
    let heard = format!("{}{}", request.prompt, request.produced.concat());
    Job {
        blocks: Blocks::of(&request.model, request.adapter.as_ref(), &heard),
        imported,
        first_offset: u32::try_from(request.produced.len()).unwrap_or(u32::MAX),
        end_offset: answer_end(request),
        priority: request.priority,
    }
}

/// Sends what a generation brings; when the receiver has gone, the generation is cancelled.
async fn produce(slot: Slot, mut outputs: mpsc::UnboundedReceiver<Output>, sender: BodySender) {
    let Slot { state, request, heard } = &slot;
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
            state.kv.grow(request, heard + produced);
            let tokens = vec![token(&request.model, &request.prompt, offset)];
            let chunk = Chunk { tokens, prefilled, ..blank_chunk(request, offset) };
            state.generated.fetch_add(1, Ordering::Relaxed);
            if send(&sender, injector.on_chunk(chunk)).await.is_err() {
                return;
            }
        }
        if ended {
            break;
        }
    }
    let end = answer_end(request);
    let stopped = natural_length(&request.prompt) <= request.max_tokens;
    let finish = Some(if stopped { Finish::Stop } else { Finish::Length });
    let last = Chunk { finish, ..blank_chunk(request, end) };
    if send(&sender, injector.on_chunk(last)).await.is_ok() {
        sender.finish().await;
    }
}

fn blank_chunk(request: &Generate, offset: u32) -> Chunk {
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
