//! A model engine's stand-in with a small service-time model.

use crate::answer::{natural_length, token};
use crate::fault::Faults;
use crate::server::{StandinServer, query_number};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::to_string;
use spindle_engine::{CacheEvents, Chunk, Finish, Generate, Load, Order, OrderReply};
use spindle_http::reply::with_type;
use spindle_http::{Body, BodySender, Handler, encode_event, json, read_json, text};
use spindle_types::{Fencing, Model};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The largest request, in bytes.
const REQUEST_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The time within which a request must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Events that a slow receiver may lag behind.
const EVENT_BUFFER: usize = 64;

/// The parameters of the service-time model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Prompt tokens computed a second.
    pub prefill_rate: f64,
    /// The time of one decoding step with an empty batch.
    pub step_base: Duration,
    /// The time that each running generation adds to a step.
    pub step_slope: Duration,
    /// Generations that run at once.
    pub slots: u32,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_rate: 20_000.0,
            step_base: Duration::from_millis(8),
            step_slope: Duration::from_micros(300),
            slots: 32,
        }
    }
}

/// What an engine has done since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineCounts {
    /// Generations started.
    pub started: u64,
    /// Prompt and produced tokens computed at starts.
    pub prefilled: u64,
    /// Tokens generated.
    pub generated: u64,
}

#[derive(Debug)]
struct State {
    model: EngineModel,
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

    fn step(&self) -> Duration {
        self.model.step_base + self.model.step_slope * self.running.load(Ordering::Relaxed)
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
            model: timing,
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

    /// What it has done.
    pub fn counts(&self) -> EngineCounts {
        EngineCounts {
            started: self.state.started.load(Ordering::Relaxed),
            prefilled: self.state.prefilled.load(Ordering::Relaxed),
            generated: self.state.generated.load(Ordering::Relaxed),
        }
    }

    /// Generations being computed.
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
        if state.faults.is_down() || state.faults.takes_refusal() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/completions") => self.generate(request).await,
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (&Method::GET, "/v1/load") => json(StatusCode::OK, &self.load()),
            (&Method::GET, "/v1/cache/events") => {
                let next = query_number(request.uri(), "from").unwrap_or(0);
                json(StatusCode::OK, &CacheEvents { next, events: Vec::new() })
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl EngineHandler {
    fn load(&self) -> Load {
        let running = self.0.running.load(Ordering::Relaxed);
        Load { running, ..self.0.loaded().clone() }
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
        if state.running.fetch_add(1, Ordering::Relaxed) >= state.model.slots {
            state.running.fetch_sub(1, Ordering::Relaxed);
            return text(StatusCode::SERVICE_UNAVAILABLE, "all slots are taken");
        }
        state.started.fetch_add(1, Ordering::Relaxed);
        let (sender, body) = Body::pieces(EVENT_BUFFER);
        tokio::spawn(produce(Slot(Arc::clone(state)), request, sender));
        with_type(StatusCode::OK, "text/event-stream", body)
    }
}

/// One running generation, counted until dropped.
struct Slot(Arc<State>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn produce(slot: Slot, request: Generate, sender: BodySender) {
    let state = &slot.0;
    let prompt_tokens = request.prompt.split_whitespace().count() + request.produced.len();
    let prefilled = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
    state.prefilled.fetch_add(u64::from(prefilled), Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs_f64(f64::from(prefilled) / state.model.prefill_rate))
        .await;
    let end = natural_length(&request.prompt);
    let finish = if end <= request.max_tokens { Finish::Stop } else { Finish::Length };
    let end = end.min(request.max_tokens);
    let first = u32::try_from(request.produced.len()).unwrap_or(u32::MAX);
    for offset in first..end {
        tokio::time::sleep(state.step()).await;
        let tokens = vec![token(&request.model, &request.prompt, offset)];
        let prefilled = (offset == first).then_some(prefilled);
        let chunk = Chunk { tokens, prefilled, ..blank_chunk(&request, offset) };
        state.generated.fetch_add(1, Ordering::Relaxed);
        if send(&sender, &chunk).await.is_err() {
            return;
        }
    }
    let last = Chunk { finish: Some(finish), ..blank_chunk(&request, end) };
    if send(&sender, &last).await.is_ok() {
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

async fn send(sender: &BodySender, chunk: &Chunk) -> Result<(), ()> {
    let data = to_string(chunk).map_err(|_| ())?;
    sender.send(encode_event(None, None, &data)).await.map_err(|_| ())
}
