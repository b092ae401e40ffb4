//! RPC by which daemons gossip about their membership.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use spindle_policy::membership::Heartbeat;

/// Exchanges heartbeats with other daemons.
#[rpc(client, server, namespace = "gossip")]
pub trait Gossip {
    /// Receives a heartbeat and returns the own one.
    #[method(name = "beat")]
    async fn beat(&self, beat: Heartbeat) -> RpcResult<Heartbeat>;
}
