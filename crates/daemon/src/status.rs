//! RPC by which daemons exchange their statuses, and help a daemon that can't read the store.

use bytes::Bytes;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use spindle_policy::crash_ledger::CrashNews;
use spindle_policy::presence::Message;
use spindle_policy::stream_versions::{
    StreamAnswer, StreamQuestion, StreamRecords, VersionHistory,
};
use spindle_policy::upstream_registry::Registration;

/// An encoded configuration, as read from the store.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Version of the configuration.
    pub version: u64,
    /// The encoded configuration; base64 on the wire.
    #[serde_as(as = "Base64")]
    pub content: Vec<u8>,
}

impl ConfigDocument {
    /// Creates a document from the content read from the store.
    pub fn new(version: u64, content: &Bytes) -> Self {
        Self { version, content: content.to_vec() }
    }
}

/// Exchanges what two daemons know about all daemons, the configuration and the upstreams.
#[rpc(client, server, namespace = "status")]
pub trait StatusExchange {
    /// Receives the statuses that the caller knows, and returns those that it may lack.
    #[method(name = "exchange")]
    async fn exchange(&self, message: Message) -> RpcResult<Message>;

    /// Returns the configuration in force, if there is one.
    #[method(name = "document")]
    async fn document(&self) -> RpcResult<Option<ConfigDocument>>;

    /// Returns the registrations of the upstreams that may get requests.
    #[method(name = "registrations")]
    async fn registrations(&self) -> RpcResult<Vec<Registration>>;

    /// Returns what is known of the versions of all services; none before the first read.
    #[method(name = "version_history")]
    async fn version_history(&self) -> RpcResult<Option<VersionHistory>>;

    /// Records the versions of the caller's streams.
    #[method(name = "keep_streams")]
    async fn keep_streams(&self, records: Vec<StreamRecords>) -> RpcResult<()>;

    /// Records crashes of upstreams and acquittals that the caller has seen.
    #[method(name = "crash_news")]
    async fn crash_news(&self, news: CrashNews) -> RpcResult<()>;

    /// Returns all that is known of crashes, or nothing if its digest is the given one.
    #[method(name = "crash_records")]
    async fn crash_records(&self, digest: u64) -> RpcResult<Option<CrashNews>>;

    /// Returns what is known of the version of a stream.
    #[method(name = "stream_version")]
    async fn stream_version(&self, question: StreamQuestion) -> RpcResult<StreamAnswer>;
}
