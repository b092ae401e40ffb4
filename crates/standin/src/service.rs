//! Stand-in for a plain service, which records each call that it executes and echoes it.

use crate::fault::{Faults, truncated_response};
use crate::server::StandinServer;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use spindle_engine::Load;
use spindle_http::{Body, Handler, json, read_body, text};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The largest request body, in bytes.
const CALL_MAX_BYTES: usize = 8 * 1024 * 1024;

/// The path that lists the executed calls. Reading it doesn't count as a call.
pub const CALLS_PATH: &str = "/-/calls";

/// The timeout for reading a request body.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// An executed call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The request body, with invalid UTF-8 replaced.
    pub body: String,
}

#[derive(Debug, Default)]
struct State {
    calls: Mutex<Vec<Call>>,
    running: AtomicU32,
    faults: Faults,
}

impl State {
    /// Responds to reads of the load and of cache events, which don't count as calls.
    fn status_response(&self, path: &str) -> Option<Response<Body>> {
        match path {
            "/v1/load" => {
                let running = self.running.load(Ordering::Relaxed);
                Some(json(StatusCode::OK, &Load { running, ..Load::default() }))
            }
            "/v1/cache/events" => Some(text(StatusCode::NOT_FOUND, "a service has no cache")),
            _ => None,
        }
    }
}

/// A call in progress, which is counted until it is dropped.
struct RunningCall<'a>(&'a State);

impl<'a> RunningCall<'a> {
    fn start(state: &'a State) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        Self(state)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A service that executes every call it receives.
#[derive(Clone, Debug)]
pub struct ServiceStandin {
    state: Arc<State>,
    server: Arc<StandinServer>,
}

impl ServiceStandin {
    /// Starts a service that has not executed any call.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(State::default());
        let server = StandinServer::start(ServiceHandler(Arc::clone(&state))).await?;
        Ok(Self { state, server: Arc::new(server) })
    }

    /// The address of the service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that the service injects.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// The executed calls, in order.
    pub fn calls(&self) -> Vec<Call> {
        self.state.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Closes all connections at once.
    pub fn kill(&self) {
        self.server.kill();
    }
}

#[derive(Clone)]
struct ServiceHandler(Arc<State>);

impl Handler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let state = &self.0;
        if request.uri().path() == CALLS_PATH {
            let calls = state.calls.lock().unwrap_or_else(PoisonError::into_inner);
            return json(StatusCode::OK, &*calls);
        }
        if state.faults.is_down() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        if let Some(response) = state.status_response(request.uri().path()) {
            return response;
        }
        if state.faults.take_refusal() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        let _running = RunningCall::start(state);
        tokio::time::sleep(state.faults.delay()).await;
        let (head, body) = request.into_parts();
        let body = match read_body(body, CALL_MAX_BYTES, CALL_TIMEOUT).await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let call = Call { method: head.method.to_string(), path: head.uri.to_string(), body };
        state.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call.clone());
        if state.faults.take_lost_answer() {
            return truncated_response();
        }
        json(StatusCode::OK, &call)
    }
}
