//! Wire types towards callers: the OpenAI-compatible interface and the address answer.

use serde::{Deserialize, Serialize};
use spindle_types::config::Priority;
use spindle_types::{Adapter, Incarnation};
use std::net::SocketAddr;

/// `POST /v1/chat/completions`. Fields that the system does not use are accepted and ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// The most tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// The adapter to apply.
    #[serde(default)]
    pub adapter: Option<Adapter>,
    /// The order in which queued work is served.
    #[serde(default)]
    pub priority: Priority,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// The adapter to apply.
    #[serde(default)]
    pub adapter: Option<Adapter>,
    /// The order in which queued work is served.
    #[serde(default)]
    pub priority: Priority,
}

/// One answer or one event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The request's id.
    pub id: String,
    /// The kind of object, as the interface names it.
    pub object: String,
    /// The model.
    pub model: String,
    /// Always one choice.
    pub choices: Vec<Choice>,
    /// Token counts, in a whole answer only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The one choice of a reply. Which content field is set depends on the interface used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The content of a whole chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// The content of an event of a chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// The content of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Why the answer ended, in its last event.
    pub finish_reason: Option<String>,
}

/// The new content of an event of a chat answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The text that follows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of a whole answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Tokens computed again after an upstream was lost.
    pub recomputed_tokens: u32,
}

/// `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressReply {
    /// Where to connect, best first.
    pub addresses: Vec<DaemonAddress>,
    /// How long the answer may be kept, in seconds.
    pub ttl_seconds: u64,
}

/// One daemon's address.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonAddress {
    /// Where callers connect.
    pub address: SocketAddr,
    /// The daemon's life; the prefix of idempotency keys bound to it.
    pub incarnation: Incarnation,
}
