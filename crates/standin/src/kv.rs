//! Export and import of KV caches between engine stand-ins.
//!
//! An engine sends its exports one after the other, so that they share its rate.

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use spindle_engine::{Generate, KvExport, KvExportRequest, KvHandle, KvImport, KvImportRequest};
use spindle_http::{Body, CallError, Client, json, read_json, text};
use spindle_types::{Attempt, RequestId};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The largest request, in bytes.
const REQUEST_MAX_BYTES: usize = 64 * 1024;

/// The time within which a request must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The time within which a transfer must be complete.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Debug, Default)]
struct Caches {
    running: HashMap<(RequestId, Attempt), u32>,
    exports: HashMap<KvHandle, u32>,
    imports: HashMap<KvHandle, u32>,
    handles: u64,
}

impl Caches {
    fn handle(&mut self) -> KvHandle {
        self.handles += 1;
        KvHandle(self.handles)
    }
}

/// The KV caches of one engine.
#[derive(Debug)]
pub(crate) struct KvStore {
    caches: Mutex<Caches>,
    egress: tokio::sync::Mutex<()>,
    client: Client,
    rate: f64,
}

impl KvStore {
    /// A store that sends `rate` tokens a second; 0 sends none.
    pub(crate) fn new(rate: f64) -> Self {
        let client = Client::new(TRANSFER_TIMEOUT, REQUEST_MAX_BYTES);
        Self { caches: Mutex::default(), egress: tokio::sync::Mutex::default(), client, rate }
    }

    fn caches(&self) -> MutexGuard<'_, Caches> {
        self.caches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A generation's cache covers a number of tokens now.
    pub(crate) fn grow(&self, request: &Generate, tokens: u32) {
        self.caches().running.insert((request.request, request.attempt), tokens);
    }

    /// A generation has ended; what was exported of it stays.
    pub(crate) fn end(&self, request: &Generate) {
        self.caches().running.remove(&(request.request, request.attempt));
    }

    /// The tokens that an imported cache covers, which serves one generation only.
    pub(crate) fn take(&self, handle: Option<KvHandle>) -> u32 {
        handle.and_then(|handle| self.caches().imports.remove(&handle)).unwrap_or(0)
    }

    /// Answers a call below `/v1/kv/`.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if self.rate <= 0.0 {
            return text(StatusCode::NOT_FOUND, "no transfers");
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/kv/exports") => {
                respond(request, async |call: KvExportRequest| self.export(call)).await
            }
            (&Method::POST, "/v1/kv/imports") => {
                respond(request, async |call: KvImportRequest| self.import(call).await).await
            }
            (&Method::GET, path) => self.send(path).await,
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn export(&self, call: KvExportRequest) -> Option<KvExport> {
        let mut caches = self.caches();
        let tokens = *caches.running.get(&(call.request, call.attempt))?;
        let handle = caches.handle();
        caches.exports.insert(handle, tokens);
        let transfer_ms = u64::try_from(self.duration(tokens).as_millis()).unwrap_or(u64::MAX);
        Some(KvExport { handle, tokens, transfer_ms })
    }

    fn duration(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.rate)
    }

    /// Sends an exported cache in the time that its size takes.
    async fn send(&self, path: &str) -> Response<Body> {
        let number = path.strip_prefix("/v1/kv/").and_then(|number| number.parse().ok());
        let handle = KvHandle(number.unwrap_or_default());
        let Some(tokens) = self.caches().exports.remove(&handle) else {
            return text(StatusCode::NOT_FOUND, "no such cache");
        };
        let _turn = self.egress.lock().await;
        tokio::time::sleep(self.duration(tokens)).await;
        json(StatusCode::OK, &tokens)
    }

    async fn import(&self, call: KvImportRequest) -> Option<KvImport> {
        let path = format!("/v1/kv/{}", call.handle.0);
        let received: Result<u32, CallError> = self.client.get(call.source, &path).await;
        let tokens = received.ok()?;
        let mut caches = self.caches();
        let handle = caches.handle();
        caches.imports.insert(handle, tokens);
        Some(KvImport { handle, tokens })
    }
}

async fn respond<Q: DeserializeOwned, A: Serialize>(
    request: Request<Incoming>,
    act: impl AsyncFnOnce(Q) -> Option<A>,
) -> Response<Body> {
    match read_json(request.into_body(), REQUEST_MAX_BYTES, REQUEST_TIMEOUT).await {
        Ok(call) => match act(call).await {
            Some(answer) => json(StatusCode::OK, &answer),
            None => text(StatusCode::NOT_FOUND, "no such cache"),
        },
        Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
