//! Transfer of KV caches between engine stand-ins.
//!
//! An engine sends its exports one at a time, so that they share its transfer rate.

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use spindle_engine::{
    GenerateRequest, KvExport, KvExportRequest, KvHandle, KvImport, KvImportRequest,
};
use spindle_http::{Body, CallError, Client, json, read_json, text};
use spindle_types::{Attempt, RequestId};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The largest request body, in bytes.
const REQUEST_MAX_BYTES: usize = 64 * 1024;

/// The timeout for reading a request body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout for importing a cache from another engine.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Debug, Default)]
struct Caches {
    running: HashMap<(RequestId, Attempt), u32>,
    exports: HashMap<KvHandle, u32>,
    imports: HashMap<KvHandle, u32>,
    last_handle: u64,
}

impl Caches {
    fn new_handle(&mut self) -> KvHandle {
        self.last_handle += 1;
        KvHandle(self.last_handle)
    }
}

/// The KV caches of one engine.
#[derive(Debug)]
pub(crate) struct KvStore {
    caches: Mutex<Caches>,
    sending: tokio::sync::Mutex<()>,
    client: Client,
    rate: f64,
}

impl KvStore {
    /// Creates a store that sends `rate` tokens per second; 0 disables transfers.
    pub(crate) fn new(rate: f64) -> Self {
        let client = Client::new(TRANSFER_TIMEOUT, REQUEST_MAX_BYTES);
        Self { caches: Mutex::default(), sending: tokio::sync::Mutex::default(), client, rate }
    }

    fn caches(&self) -> MutexGuard<'_, Caches> {
        self.caches.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records how many tokens the cache of a running generation covers.
    pub(crate) fn grow(&self, request: &GenerateRequest, tokens: u32) {
        self.caches().running.insert((request.request, request.attempt), tokens);
    }

    /// Removes the cache of a generation that has ended. Its exports remain.
    pub(crate) fn end(&self, request: &GenerateRequest) {
        self.caches().running.remove(&(request.request, request.attempt));
    }

    /// Removes an imported cache, which only one generation can use, and returns how many tokens it
    /// covers.
    pub(crate) fn take(&self, handle: Option<KvHandle>) -> u32 {
        handle.and_then(|handle| self.caches().imports.remove(&handle)).unwrap_or(0)
    }

    /// Handles a request below `/v1/kv/`.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        if self.rate <= 0.0 {
            return text(StatusCode::NOT_FOUND, "transfers are disabled");
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/kv/exports") => {
                handle_json(request, async |call: KvExportRequest| self.export(call)).await
            }
            (&Method::POST, "/v1/kv/imports") => {
                handle_json(request, async |call: KvImportRequest| self.import(call).await).await
            }
            (&Method::GET, path) => self.send_export(path).await,
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn export(&self, call: KvExportRequest) -> Option<KvExport> {
        let mut caches = self.caches();
        let tokens = *caches.running.get(&(call.request, call.attempt))?;
        let handle = caches.new_handle();
        caches.exports.insert(handle, tokens);
        let transfer_ms = u64::try_from(self.transfer_time(tokens).as_millis()).unwrap_or(u64::MAX);
        Some(KvExport { handle, tokens, transfer_ms })
    }

    fn transfer_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.rate)
    }

    /// Sends an exported cache, which takes time in proportion to its size.
    async fn send_export(&self, path: &str) -> Response<Body> {
        let number = path.strip_prefix("/v1/kv/").and_then(|number| number.parse().ok());
        let handle = KvHandle(number.unwrap_or_default());
        let Some(tokens) = self.caches().exports.remove(&handle) else {
            return text(StatusCode::NOT_FOUND, "no such cache");
        };
        let _permit = self.sending.lock().await;
        tokio::time::sleep(self.transfer_time(tokens)).await;
        json(StatusCode::OK, &tokens)
    }

    async fn import(&self, call: KvImportRequest) -> Option<KvImport> {
        let path = format!("/v1/kv/{}", call.handle.0);
        let received: Result<u32, CallError> = self.client.get(call.source, &path).await;
        let tokens = received.ok()?;
        let mut caches = self.caches();
        let handle = caches.new_handle();
        caches.imports.insert(handle, tokens);
        Some(KvImport { handle, tokens })
    }
}

async fn handle_json<Q: DeserializeOwned, A: Serialize>(
    request: Request<Incoming>,
    operation: impl AsyncFnOnce(Q) -> Option<A>,
) -> Response<Body> {
    match read_json(request.into_body(), REQUEST_MAX_BYTES, REQUEST_TIMEOUT).await {
        Ok(call) => match operation(call).await {
            Some(answer) => json(StatusCode::OK, &answer),
            None => text(StatusCode::NOT_FOUND, "no such cache"),
        },
        Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
