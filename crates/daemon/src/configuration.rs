//! RPC by which a daemon fetches a newer configuration from another daemon.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use spindle_policy::config_update::ConfigUpdate;
use spindle_types::Revision;

/// Serves the configuration to other daemons.
#[rpc(client, server, namespace = "configuration")]
pub trait ConfigurationSource {
    /// Returns the update that brings the caller from `revision` to this daemon's configuration.
    #[method(name = "since")]
    async fn since(&self, revision: Revision) -> RpcResult<ConfigUpdate>;
}
