//! Stand-in for the weight store, which limits the rate of reads.

use crate::fault::Faults;
use crate::server::StandinServer;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use spindle_http::{Body, Handler, json, text};
use spindle_types::Size;
use spindle_weights::{ReadReply, Weights};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug)]
struct State {
    interval: Duration,
    next_read_at: Mutex<Instant>,
    size: Size,
    faults: Faults,
}

/// A weight store that holds every model.
#[derive(Clone, Debug)]
pub struct WeightsStandin {
    state: Arc<State>,
    server: Arc<StandinServer>,
}

impl WeightsStandin {
    /// Starts a store that grants one read per interval and reports `size` for every model.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start(interval: Duration, size: Size) -> io::Result<Self> {
        let next_read_at = Mutex::new(Instant::now());
        let state = Arc::new(State { interval, next_read_at, size, faults: Faults::default() });
        let server = StandinServer::start(WeightsHandler(Arc::clone(&state))).await?;
        Ok(Self { state, server: Arc::new(server) })
    }

    /// The address of the weight store.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that the weight store injects.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }
}

#[derive(Clone)]
struct WeightsHandler(Arc<State>);

impl Handler for WeightsHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let state = &self.0;
        tokio::time::sleep(state.faults.delay()).await;
        if state.faults.is_down() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        if *request.method() == Method::GET {
            return json(StatusCode::OK, &Weights { size: state.size });
        }
        let now = Instant::now();
        let mut next_read_at = state.next_read_at.lock().unwrap_or_else(PoisonError::into_inner);
        if *next_read_at > now {
            let wait = next_read_at.duration_since(now).as_millis();
            let after_ms = u64::try_from(wait).unwrap_or(u64::MAX).max(1);
            return json(StatusCode::OK, &ReadReply::Wait { after_ms });
        }
        *next_read_at = now + state.interval;
        json(StatusCode::OK, &ReadReply::Granted)
    }
}
