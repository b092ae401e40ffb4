//! Client of model engines.

use crate::wire::{
    CacheEvents, Chunk, GenerateRequest, KvExport, KvExportRequest, KvImport, KvImportRequest,
    Load, Order, OrderReply,
};
use futures_util::{Stream, StreamExt};
use http::{Method, StatusCode};
use spindle_http::client::{error_body, json_request};
use spindle_http::event::BodyEvents;
use spindle_http::{CallError, Client, Event, decode_events};
use spindle_types::UpstreamRefusal;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout of calls other than generations and KV transfers.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a KV cache transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum size of the answer to a call other than a generation, in bytes.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// A generation was not started, or may not have been started.
#[derive(Debug, Error)]
pub enum GenerateError {
    /// The engine started nothing.
    #[error("engine refused: {text}")]
    Refused {
        /// Proof that nothing was started.
        proof: UpstreamRefusal,
        /// Message of the engine or the transport.
        text: String,
    },
    /// The answer was lost; the engine may have started the generation.
    #[error("engine's answer lost: {0}")]
    Lost(String),
}

/// An event in the stream of a generation.
#[derive(Debug)]
pub enum GenerationEvent {
    /// Tokens, or the end of the generation.
    Chunk(Chunk),
    /// The stream ended early or contains an invalid event; nothing follows.
    Broken(String),
}

/// The stream of one generation. Dropping it cancels the generation.
pub trait Generation: Send + Unpin {
    /// Waits for the next event. None follows [`GenerationEvent::Broken`] or the last chunk.
    fn next(&mut self) -> impl Future<Output = GenerationEvent> + Send;
}

/// The calls to model engines.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The stream of one generation.
    type Generation: Generation;

    /// Starts a generation at an engine.
    fn generate(
        &self,
        engine: SocketAddr,
        request: &GenerateRequest,
    ) -> impl Future<Output = Result<Self::Generation, GenerateError>> + Send;

    /// Reads the load of an engine.
    fn load(&self, engine: SocketAddr) -> impl Future<Output = Result<Load, CallError>> + Send;

    /// Reads the prefix cache events of an engine from a sequence number on.
    fn cache_events(
        &self,
        engine: SocketAddr,
        from: u64,
    ) -> impl Future<Output = Result<CacheEvents, CallError>> + Send;

    /// Makes an engine retain the KV cache of a running generation for a transfer.
    fn export_kv(
        &self,
        engine: SocketAddr,
        request: &KvExportRequest,
    ) -> impl Future<Output = Result<KvExport, CallError>> + Send;

    /// Makes an engine fetch a KV cache from another one. Returns when the transfer is complete.
    fn import_kv(
        &self,
        engine: SocketAddr,
        request: &KvImportRequest,
    ) -> impl Future<Output = Result<KvImport, CallError>> + Send;

    /// Orders an engine to reach a state, such as serving another model.
    fn order(
        &self,
        engine: SocketAddr,
        order: &Order,
    ) -> impl Future<Output = Result<OrderReply, CallError>> + Send;
}

/// Calls to model engines over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: Client,
    transfers: Client,
}

impl HttpEngine {
    /// Creates a client with its own connection pools.
    pub fn new() -> Self {
        Self {
            client: Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES),
            transfers: Client::new(TRANSFER_TIMEOUT, ANSWER_MAX_BYTES),
        }
    }
}

impl Default for HttpEngine {
    fn default() -> Self {
        Self::new()
    }
}

/// The stream of a generation, received as server-sent events.
#[derive(Debug)]
pub struct HttpGeneration<S> {
    events: S,
}

impl<S> Generation for HttpGeneration<S>
where
    S: Stream<Item = Result<Event, CallError>> + Send + Unpin,
{
    async fn next(&mut self) -> GenerationEvent {
        match self.events.next().await {
            None => GenerationEvent::Broken("stream ended before its last event".to_owned()),
            Some(Err(error)) => GenerationEvent::Broken(error.to_string()),
            Some(Ok(event)) => match serde_json::from_str(&event.data) {
                Ok(chunk) => GenerationEvent::Chunk(chunk),
                Err(error) => GenerationEvent::Broken(format!("event is not valid: {error}")),
            },
        }
    }
}

impl Engine for HttpEngine {
    type Generation = HttpGeneration<BodyEvents>;

    async fn generate(
        &self,
        engine: SocketAddr,
        request: &GenerateRequest,
    ) -> Result<Self::Generation, GenerateError> {
        let request = json_request(Method::POST, engine, "/v1/completions", Some(request))
            .map_err(|error| refused(UpstreamRefusal::never_connected(), error.to_string()))?;
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(CallError::NotSent(text)) => {
                return Err(refused(UpstreamRefusal::never_connected(), text));
            }
            Err(error) => return Err(GenerateError::Lost(error.to_string())),
        };
        let status = response.status();
        if status.is_success() {
            return Ok(HttpGeneration { events: decode_events(response.into_body()) });
        }
        let text = error_body(response, CALL_TIMEOUT).await;
        if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(refused(UpstreamRefusal::stated(), text));
        }
        Err(GenerateError::Lost(format!("status {status}: {text}")))
    }

    async fn load(&self, engine: SocketAddr) -> Result<Load, CallError> {
        self.client.get(engine, "/v1/load").await
    }

    async fn cache_events(&self, engine: SocketAddr, from: u64) -> Result<CacheEvents, CallError> {
        self.client.get(engine, &format!("/v1/cache/events?from={from}")).await
    }

    async fn export_kv(
        &self,
        engine: SocketAddr,
        request: &KvExportRequest,
    ) -> Result<KvExport, CallError> {
        self.client.call(Method::POST, engine, "/v1/kv/exports", Some(request)).await
    }

    async fn import_kv(
        &self,
        engine: SocketAddr,
        request: &KvImportRequest,
    ) -> Result<KvImport, CallError> {
        self.transfers.call(Method::POST, engine, "/v1/kv/imports", Some(request)).await
    }

    async fn order(&self, engine: SocketAddr, order: &Order) -> Result<OrderReply, CallError> {
        self.client.call(Method::POST, engine, "/v1/orders", Some(order)).await
    }
}

fn refused(proof: UpstreamRefusal, text: String) -> GenerateError {
    GenerateError::Refused { proof, text }
}
