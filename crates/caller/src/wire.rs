//! Wire types of the caller-facing API: the OpenAI-compatible endpoints and the address lookup.

use serde::{Deserialize, Serialize};
use spindle_types::config::Priority;
use spindle_types::{Adapter, Incarnation};
use std::net::SocketAddr;

/// `POST /v1/chat/completions`. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Adapter to apply, if any.
    #[serde(default)]
    pub adapter: Option<Adapter>,
    /// Priority in queues.
    #[serde(default)]
    pub priority: Priority,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author, for example `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Adapter to apply, if any.
    #[serde(default)]
    pub adapter: Option<Adapter>,
    /// Priority in queues.
    #[serde(default)]
    pub priority: Priority,
}

/// A whole answer, or one event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Id of the request.
    pub id: String,
    /// Object type, as named by the OpenAI API.
    pub object: String,
    /// Name of the model.
    pub model: String,
    /// Always exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts, in a whole answer only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The only choice of a reply. Which content field is set depends on the endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// Content of a whole chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Content of an event of a chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Content of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Reason why the answer ended; set in its last event.
    pub finish_reason: Option<String>,
}

/// The new content of an event of a chat answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Text to append to the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of a whole answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the answer.
    pub completion_tokens: u32,
    /// Number of tokens that were computed again after an upstream was lost.
    pub recomputed_tokens: u32,
}

/// `GET /v1/addresses`: the daemons that a caller may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressReply {
    /// Daemons to connect to, preferred ones first.
    pub addresses: Vec<DaemonAddress>,
    /// Time for which the answer may be cached, in seconds.
    pub ttl_seconds: u64,
}

/// The address of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonAddress {
    /// Address for callers.
    pub address: SocketAddr,
    /// Incarnation of the daemon; the prefix of idempotency keys that are bound to it.
    pub incarnation: Incarnation,
}
