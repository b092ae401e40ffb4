//! Stand-in for the log service.

use crate::fault::{Faults, truncated_response};
use crate::server::{StandinServer, query_number};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::value::RawValue;
use spindle_http::{Body, Handler, json, read_json, text};
use spindle_log::wire::{AppendReply, AppendRequest, BATCH_MAX_RECORDS, Batch, Record};
use spindle_types::{Clock, Offset, SystemClock};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// The largest request body of an append, in bytes.
const APPEND_MAX_BYTES: usize = 8 * 1024 * 1024;

/// The timeout for reading the request body of an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Stream {
    expired: u64,
    records: Vec<Record>,
}

impl Stream {
    fn end(&self) -> Offset {
        Offset(self.expired + self.records.len() as u64 + 1)
    }

    fn batch(&self, from: Offset, limit: usize) -> Batch {
        let skipped =
            usize::try_from(from.0.saturating_sub(self.expired + 1)).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skipped).take(limit).cloned().collect();
        Batch { oldest: Offset(self.expired + 1), end: self.end(), records }
    }
}

#[derive(Debug)]
struct State {
    clock: SystemClock,
    streams: Mutex<HashMap<String, Stream>>,
    appends: watch::Sender<u64>,
    faults: Faults,
}

impl State {
    fn streams(&self) -> MutexGuard<'_, HashMap<String, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, bodies: Vec<Box<RawValue>>) -> Offset {
        let at = self.clock.utc();
        let mut streams = self.streams();
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.end();
        for body in bodies {
            let offset = stream.end();
            stream.records.push(Record { offset, at, body });
        }
        drop(streams);
        self.appends.send_modify(|count| *count += 1);
        first
    }

    fn batch(&self, stream: &str, from: Offset, limit: usize) -> Batch {
        self.streams().entry(stream.to_owned()).or_default().batch(from, limit)
    }
}

/// A log service that keeps its records in memory.
#[derive(Clone, Debug)]
pub struct LogStandin {
    state: Arc<State>,
    server: Arc<StandinServer>,
}

impl LogStandin {
    /// Starts a log service without records.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(State {
            clock: SystemClock::new(),
            streams: Mutex::default(),
            appends: watch::Sender::new(0),
            faults: Faults::default(),
        });
        let server = StandinServer::start(LogHandler(Arc::clone(&state))).await?;
        Ok(Self { state, server: Arc::new(server) })
    }

    /// The address of the log service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that the log service injects.
    pub fn faults(&self) -> &Faults {
        &self.state.faults
    }

    /// The number of appends executed, by HTTP or directly.
    pub fn appends(&self) -> u64 {
        *self.state.appends.borrow()
    }

    /// The records of a stream that have not expired.
    pub fn records(&self, stream: &str) -> Vec<Record> {
        self.state.batch(stream, Offset(1), usize::MAX).records
    }

    /// Appends a record directly, bypassing HTTP and the faults.
    pub fn append(&self, stream: &str, body: Box<RawValue>) -> Offset {
        self.state.append(stream, vec![body])
    }

    /// Deletes the records of a stream below an offset, as if they had expired.
    pub fn expire(&self, stream: &str, below: Offset) {
        let mut streams = self.state.streams();
        let stream = streams.entry(stream.to_owned()).or_default();
        let count = usize::try_from(below.0.saturating_sub(stream.expired + 1)).unwrap_or(0);
        let count = count.min(stream.records.len());
        stream.records.drain(..count);
        stream.expired += count as u64;
    }
}

#[derive(Clone)]
struct LogHandler(Arc<State>);

impl Handler for LogHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let state = &self.0;
        tokio::time::sleep(state.faults.delay()).await;
        if state.faults.is_down() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let stream = request.uri().path().strip_prefix("/streams/");
        let Some(stream) = stream.and_then(|rest| rest.strip_suffix("/records")) else {
            return text(StatusCode::NOT_FOUND, "no such path");
        };
        let stream = stream.to_owned();
        match *request.method() {
            Method::POST => self.append(&stream, request).await,
            Method::GET => self.read(&stream, request.uri()).await,
            _ => text(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST"),
        }
    }
}

impl LogHandler {
    async fn append(&self, stream: &str, request: Request<Incoming>) -> Response<Body> {
        let state = &self.0;
        let body = request.into_body();
        let append: AppendRequest = match read_json(body, APPEND_MAX_BYTES, APPEND_TIMEOUT).await {
            Ok(append) => append,
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if append.records.len() > BATCH_MAX_RECORDS {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "too many records");
        }
        if state.faults.take_refusal() {
            return text(StatusCode::TOO_MANY_REQUESTS, "refused");
        }
        let first = state.append(stream, append.records);
        if state.faults.take_lost_answer() {
            return truncated_response();
        }
        json(StatusCode::OK, &AppendReply { first })
    }

    async fn read(&self, stream: &str, uri: &http::Uri) -> Response<Body> {
        let from = Offset(query_number(uri, "from").unwrap_or(1));
        let limit = query_number(uri, "limit").unwrap_or(BATCH_MAX_RECORDS as u64);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX).min(BATCH_MAX_RECORDS);
        let wait = Duration::from_millis(query_number(uri, "wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        let mut appends = self.0.appends.subscribe();
        loop {
            appends.mark_unchanged();
            let batch = self.0.batch(stream, from, limit);
            let changed = tokio::time::timeout_at(deadline, appends.changed());
            if !batch.records.is_empty() || changed.await.is_err() {
                return json(StatusCode::OK, &batch);
            }
        }
    }
}
