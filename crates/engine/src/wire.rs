//! Wire types of model engines.

use serde::{Deserialize, Serialize};
use spindle_types::config::{Priority, Role};
use spindle_types::{Adapter, Attempt, Fencing, Model, RequestId, Revision, Version};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// `POST /v1/completions` with streaming: one generation, or the rest of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The request, which every chunk repeats.
    pub request: RequestId,
    /// The attempt, which every chunk repeats.
    pub attempt: Attempt,
    /// The model.
    pub model: Model,
    /// The adapter to apply, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Adapter>,
    /// The prompt.
    pub prompt: String,
    /// The tokens already produced by earlier attempts; generation goes on after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub produced: Vec<String>,
    /// The imported KV cache with which to start, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv: Option<KvHandle>,
    /// The length of the whole answer at which generation stops, in tokens.
    pub max_tokens: u32,
    /// The order in which the engine schedules.
    #[serde(default)]
    pub priority: Priority,
}

/// A KV cache that an engine holds ready for a transfer, or has imported.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KvHandle(pub u64);

/// `POST /v1/kv/exports`: keeps the KV cache of a running generation, which goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt that runs at the engine.
    pub attempt: Attempt,
}

/// The answer to an export.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KvExport {
    /// Names the cache at the exporting engine.
    pub handle: KvHandle,
    /// The tokens that it covers, of the prompt and produced.
    pub tokens: u32,
    /// The time that the transfer is expected to take, in milliseconds.
    pub transfer_ms: u64,
}

/// `POST /v1/kv/imports`: reads a cache from another engine; answered when it is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KvImportRequest {
    /// The exporting engine.
    pub source: SocketAddr,
    /// The cache there.
    pub handle: KvHandle,
}

/// The answer to an import.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KvImport {
    /// Names the cache at the importing engine, where one generation may start with it.
    pub handle: KvHandle,
    /// The tokens that it covers.
    pub tokens: u32,
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended its answer.
    Stop,
    /// The answer reached the length asked for.
    Length,
}

/// One event of a generation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request answered.
    pub request: RequestId,
    /// The attempt answered.
    pub attempt: Attempt,
    /// The place of the first token of `tokens` in the whole answer, from 0.
    pub offset: u32,
    /// The tokens; empty in the last event.
    pub tokens: Vec<String>,
    /// Set in the last event, whose offset is the length of the whole answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
    /// Prompt and produced tokens that had to be computed again, told in the first event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefilled: Option<u32>,
}

/// `GET /v1/load`: an engine's load at a past moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
    /// Generations being computed.
    pub running: u32,
    /// Generations waiting.
    pub waiting: u32,
    /// Prompt tokens waiting to be computed.
    pub queued_tokens: u64,
    /// The model loaded.
    pub model: Option<Model>,
    /// The version loaded.
    pub version: Option<Version>,
    /// The adapters loaded.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// What the engine does.
    #[serde(default)]
    pub role: Role,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CacheEvent {
    /// A block of prompt tokens is now cached; the hash covers the block and all before it.
    Stored {
        /// The hash.
        hash: u64,
    },
    /// A block was evicted.
    Evicted {
        /// The hash.
        hash: u64,
    },
}

/// `GET /v1/cache/events?from=N`: events from a sequence number on; numbers may be missing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The sequence number to ask for next.
    pub next: u64,
    /// Events with their sequence numbers.
    pub events: Vec<(u64, CacheEvent)>,
}

/// `POST /v1/orders`: the state that an engine is to reach. Repeating it changes nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the sender's lease.
    pub fencing: Fencing,
    /// The configuration revision that asks for it.
    pub revision: Revision,
    /// The model to serve.
    pub model: Model,
    /// The version to serve.
    pub version: Option<Version>,
    /// The adapters to load.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// The role to take.
    pub role: Role,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The order was taken.
    Accepted,
    /// A higher fencing number has been seen.
    Fenced,
}
