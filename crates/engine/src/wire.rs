//! Wire types of the engine API.

use serde::{Deserialize, Serialize};
use spindle_types::config::{Priority, Role};
use spindle_types::{Adapter, Attempt, Fencing, Model, RequestId, Revision, Version};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// `POST /v1/completions` with streaming: starts a generation or resumes one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Request id, repeated in every chunk.
    pub request: RequestId,
    /// Attempt number, repeated in every chunk.
    pub attempt: Attempt,
    /// Model that generates the answer.
    pub model: Model,
    /// The adapter to apply, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Adapter>,
    /// Prompt text.
    pub prompt: String,
    /// Tokens already produced by earlier attempts; the generation continues after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub produced: Vec<String>,
    /// Imported KV cache to start from, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv: Option<KvHandle>,
    /// Maximum length of the whole answer, in tokens, including those already produced.
    pub max_tokens: u32,
    /// Scheduling priority at the engine.
    #[serde(default)]
    pub priority: Priority,
}

/// Handle of a KV cache that an engine retains for a transfer, or has imported.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KvHandle(pub u64);

/// `POST /v1/kv/exports`: retains the KV cache of a running generation, which continues.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Attempt that runs at the engine.
    pub attempt: Attempt,
}

/// The answer to an export.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KvExport {
    /// Handle of the cache at the exporting engine.
    pub handle: KvHandle,
    /// Number of prompt and produced tokens that the cache covers.
    pub tokens: u32,
    /// Expected duration of the transfer, in milliseconds.
    pub transfer_ms: u64,
}

/// `POST /v1/kv/imports`: fetches a cache from another engine. Answered when the transfer is
/// complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KvImportRequest {
    /// Address of the exporting engine.
    pub source: SocketAddr,
    /// Handle of the cache at that engine.
    pub handle: KvHandle,
}

/// The answer to an import.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KvImport {
    /// Handle of the cache at the importing engine; one generation may start from it.
    pub handle: KvHandle,
    /// Number of tokens that the cache covers.
    pub tokens: u32,
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended its answer.
    Stop,
    /// The answer reached the requested length.
    Length,
}

/// An event in the stream of a generation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the request.
    pub request: RequestId,
    /// Attempt that produced the event.
    pub attempt: Attempt,
    /// Offset of the first of `tokens` in the whole answer, from 0.
    pub offset: u32,
    /// New tokens; empty in the last event.
    pub tokens: Vec<String>,
    /// Set in the last event only, whose offset is the length of the whole answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
    /// Number of prompt and produced tokens that had to be computed; set in the first event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefilled: Option<u32>,
}

/// `GET /v1/load`: the load of an engine at a recent time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Number of running generations.
    pub running: u32,
    /// Number of waiting generations.
    pub waiting: u32,
    /// Number of prompt tokens waiting to be processed.
    pub queued_tokens: u64,
    /// Loaded model.
    pub model: Option<Model>,
    /// Version of the loaded model.
    pub version: Option<Version>,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// Phases of a generation that the engine performs.
    #[serde(default)]
    pub role: Role,
}

/// A change in the prefix cache of an engine.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CacheEvent {
    /// A block of prompt tokens was cached. The hash covers the block and all before it.
    Stored {
        /// Hash of the block.
        hash: u64,
    },
    /// A block was evicted.
    Evicted {
        /// Hash of the block.
        hash: u64,
    },
}

/// `GET /v1/cache/events?from=N`: events from a sequence number on. There may be gaps in the
/// numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number to ask for next.
    pub next: u64,
    /// Events with their sequence numbers.
    pub events: Vec<(u64, CacheEvent)>,
}

/// `POST /v1/orders`: the state that an engine must reach. Idempotent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the sender's lease.
    pub fencing: Fencing,
    /// Configuration revision that requires the state.
    pub revision: Revision,
    /// Model to serve.
    pub model: Model,
    /// Version to serve.
    pub version: Option<Version>,
    /// Adapters to load.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// Role to take.
    pub role: Role,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The order was accepted.
    Accepted,
    /// The order was refused, because the engine has seen a higher fencing token.
    Fenced,
}
