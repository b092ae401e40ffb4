//! The calls by which daemons tell each other of themselves and help one that the store refuses.

use bytes::Bytes;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use spindle_policy::presence::Message;
use spindle_policy::upstream_registry::Registration;

/// A configuration as it was read from the store.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Its version.
    pub version: u64,
    /// Its text.
    #[serde_as(as = "Base64")]
    pub content: Vec<u8>,
}

impl ConfigDocument {
    /// A document of a version.
    pub fn new(version: u64, content: &Bytes) -> Self {
        Self { version, content: content.to_vec() }
    }
}

/// Statuses of daemons.
#[rpc(client, server, namespace = "status")]
pub trait StatusExchange {
    /// Brings what two daemons know of all daemons together.
    #[method(name = "exchange")]
    async fn exchange(&self, message: Message) -> RpcResult<Message>;

    /// The configuration in force; none if there is none.
    #[method(name = "document")]
    async fn document(&self) -> RpcResult<Option<ConfigDocument>>;

    /// The upstreams that may get work.
    #[method(name = "registrations")]
    async fn registrations(&self) -> RpcResult<Vec<Registration>>;
}
