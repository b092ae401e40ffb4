//! RPC by which a daemon replicates its requests to other daemons, and by which any daemon can read
//! the answers.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use spindle_types::{Attempt, Incarnation, Instance, Pool, RequestId, Team};

/// A request as a replica stores it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicatedRequest {
    /// Team that made the request.
    pub team: Team,
    /// Pool that serves the request.
    pub pool: Pool,
    /// The validated request, as JSON.
    pub request: Box<RawValue>,
}

/// The end of a complete answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CompletedAnswer {
    /// Reason why the generation ended, as reported by the engine.
    pub finish: String,
    /// Length of the answer in tokens.
    pub length: u32,
    /// Tokens that resumed attempts computed again.
    pub recomputed: u32,
}

/// An update of the replica of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestUpdate {
    /// Id of the request.
    pub id: RequestId,
    /// The request itself, if the receiver does not store it yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<ReplicatedRequest>,
    /// Newest attempt at the request.
    pub attempt: Attempt,
    /// Offset of the first of `tokens` in the answer.
    pub offset: u32,
    /// New tokens of the answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<String>,
    /// End of the answer, if it is complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ending: Option<CompletedAnswer>,
    /// Whether the request was abandoned, so that the replica is to be deleted.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub dropped: bool,
}

/// A batch of updates from a daemon. Even an empty batch renews the daemon's lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestUpdates {
    /// Daemon that serves the requests.
    pub owner: Incarnation,
    /// Updates, in order.
    pub updates: Vec<RequestUpdate>,
}

/// A request for the tokens of an answer from an offset on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Team that asks; only the owner of the request gets an answer.
    pub team: Team,
    /// Offset of the first token wanted.
    pub from: u32,
    /// Maximum time to wait for that token, in milliseconds.
    pub wait_ms: u64,
}

/// Part of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ReadReply {
    /// This daemon stores no such request of the team.
    NotFound,
    /// Tokens from the offset on; empty if none arrived in time.
    Tokens {
        /// New tokens, in order.
        tokens: Vec<String>,
    },
    /// The answer is complete and has no tokens from the offset on.
    Ended {
        /// End of the answer.
        ending: CompletedAnswer,
    },
    /// The request was abandoned.
    Lost,
}

/// Stores replicas of other daemons' requests and serves their answers.
#[rpc(client, server, namespace = "replica")]
pub trait Replica {
    /// Applies updates. Returns the requests that this daemon does not store, whose updates were
    /// ignored.
    #[method(name = "update")]
    async fn update(&self, updates: RequestUpdates) -> RpcResult<Vec<RequestId>>;

    /// Takes over requests from a daemon that is shutting down, and returns those taken over.
    #[method(name = "adopt")]
    async fn adopt(&self, ids: Vec<RequestId>) -> RpcResult<Vec<RequestId>>;

    /// Returns the stored request, if it belongs to the team.
    #[method(name = "describe")]
    async fn describe(&self, id: RequestId, team: Team) -> RpcResult<Option<ReplicatedRequest>>;

    /// Reads part of an answer.
    #[method(name = "read")]
    async fn read(&self, request: ReadRequest) -> RpcResult<ReadReply>;

    /// Notifies this daemon that the daemon on an instance accepts no new work.
    #[method(name = "leaving")]
    async fn leaving(&self, instance: Instance) -> RpcResult<()>;
}
