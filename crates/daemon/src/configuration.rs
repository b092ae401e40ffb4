//! The calls by which a daemon gets newer configuration from another one.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use spindle_policy::config_update::ConfigUpdate;
use spindle_types::Revision;

/// Configuration from peers.
#[rpc(client, server, namespace = "configuration")]
pub trait ConfigurationSource {
    /// What brings the caller from a revision to the state of this daemon.
    #[method(name = "since")]
    async fn since(&self, revision: Revision) -> RpcResult<ConfigUpdate>;
}
