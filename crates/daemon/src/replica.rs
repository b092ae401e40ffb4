//! The calls by which a daemon keeps replicas of its requests at another one, and by which answers
//! are picked up at any daemon.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use spindle_types::{Attempt, Incarnation, Instance, Pool, RequestId, Team};

/// A request as it is held.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicatedRequest {
    /// The team that made it.
    pub team: Team,
    /// The pool that serves it.
    pub pool: Pool,
    /// The checked request.
    pub request: Box<RawValue>,
}

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CompletedAnswer {
    /// Why it ended, as the engine said.
    pub finish: String,
    /// Its length in tokens.
    pub length: u32,
    /// Tokens computed again by resumed attempts.
    pub recomputed: u32,
}

/// What is new of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestUpdate {
    /// The request.
    pub id: RequestId,
    /// The request itself, if the receiver does not hold it yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<ReplicatedRequest>,
    /// The newest attempt.
    pub attempt: Attempt,
    /// The offset of the first token.
    pub offset: u32,
    /// Tokens of the answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<String>,
    /// The end of the answer, if it is whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ending: Option<CompletedAnswer>,
    /// Whether the request was given up, so that nothing is to be held.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub dropped: bool,
}

/// What is new at a daemon; also without updates, it renews the daemon's lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestUpdates {
    /// The daemon that serves the requests.
    pub owner: Incarnation,
    /// What is new.
    pub updates: Vec<RequestUpdate>,
}

/// Asks for the answer to a request from an offset on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The request.
    pub id: RequestId,
    /// The team that asks.
    pub team: Team,
    /// The offset of the first token wanted.
    pub from: u32,
    /// How long to wait for it, in milliseconds.
    pub wait_ms: u64,
}

/// A part of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ReadReply {
    /// This daemon holds no such request of that team.
    NotFound,
    /// Tokens from the offset on; none if none came in time.
    Tokens {
        /// The tokens.
        tokens: Vec<String>,
    },
    /// The answer is whole, and nothing follows the offset.
    Ended {
        /// How it ended.
        ending: CompletedAnswer,
    },
    /// The request was given up.
    Lost,
}

/// The calls that a daemon answers.
#[rpc(client, server, namespace = "replica")]
pub trait Replica {
    /// Takes what is new and returns the requests that are not held, whose updates were dropped.
    #[method(name = "update")]
    async fn update(&self, updates: RequestUpdates) -> RpcResult<Vec<RequestId>>;

    /// Takes requests over from a daemon that stops.
    #[method(name = "adopt")]
    async fn adopt(&self, ids: Vec<RequestId>) -> RpcResult<Vec<RequestId>>;

    /// The request as it is held, for its own team.
    #[method(name = "describe")]
    async fn describe(&self, id: RequestId, team: Team) -> RpcResult<Option<ReplicatedRequest>>;

    /// Reads a part of an answer.
    #[method(name = "read")]
    async fn read(&self, request: ReadRequest) -> RpcResult<ReadReply>;

    /// Learns that a daemon takes no new work.
    #[method(name = "leaving")]
    async fn leaving(&self, instance: Instance) -> RpcResult<()>;
}
