//! The calls by which daemons learn of each other.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use spindle_policy::membership::Heartbeat;

/// Heartbeats.
#[rpc(client, server, namespace = "gossip")]
pub trait Gossip {
    /// Sends a heartbeat and gets one back.
    #[method(name = "beat")]
    async fn beat(&self, beat: Heartbeat) -> RpcResult<Heartbeat>;
}
