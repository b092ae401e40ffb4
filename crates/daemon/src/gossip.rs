//! The calls by which daemons learn of each other.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use spindle_types::{Incarnation, Instance, Revision};

/// What daemons tell each other when they meet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    /// The instance of the sender.
    pub instance: Instance,
    /// The life of the sender.
    pub incarnation: Incarnation,
    /// The configuration revision in force at the sender.
    pub revision: Revision,
    /// Requests in flight at the sender.
    pub load: u32,
}

/// The calls that a daemon answers.
#[rpc(client, server, namespace = "gossip")]
pub trait Gossip {
    /// Exchanges greetings.
    #[method(name = "greet")]
    async fn greet(&self, greeting: Greeting) -> RpcResult<Greeting>;
}
