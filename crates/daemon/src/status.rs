//! RPC by which daemons exchange their statuses, and help a daemon that can't read the store.

use bytes::Bytes;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use spindle_policy::crash_ledger::CrashNews;
use spindle_policy::presence::Message;
use spindle_policy::rollout_status::StepNotice;
use spindle_policy::shared_limits::{QuotaGrant, QuotaQuestion};
use spindle_policy::store_era::FeedMark;
use spindle_policy::stream_versions::{
    StreamAnswer, StreamQuestion, StreamRecords, VersionHistory,
};
use spindle_policy::upstream_registry::Registration;
use spindle_types::Team;
use std::net::SocketAddr;

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

/// A question for a piece of the newest configuration of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigQuestion {
    /// Version that the caller has; 0 if it has none.
    pub own: u64,
    /// Version of the pieces before; none to begin with the newest one.
    #[serde(default)]
    pub version: Option<u64>,
    /// Offset of the piece in the compressed document, in bytes.
    #[serde(default)]
    pub offset: u64,
}

/// A piece of a compressed configuration.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigPiece {
    /// Version of the configuration.
    pub version: u64,
    /// Version that the document is compressed against; 0 if against none.
    pub base: u64,
    /// Digest of the document.
    pub digest: u64,
    /// Size of the whole compressed document, in bytes.
    pub size: u64,
    /// Offset of this piece in it, in bytes.
    pub offset: u64,
    /// The piece; base64 on the wire.
    #[serde_as(as = "Base64")]
    pub content: Vec<u8>,
    /// Where a reader of the store that has this version reads on.
    #[serde(default)]
    pub mark: Option<FeedMark>,
}

impl ConfigPiece {
    /// Whether this piece continues at `offset` the content that `first` begins.
    pub fn follows(&self, first: &Self, offset: u64) -> bool {
        let content = |piece: &Self| (piece.version, piece.base, piece.digest, piece.size);
        content(self) == content(first) && self.offset == offset && !self.content.is_empty()
    }
}

/// Tells a daemon that the caller has put a version in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigNotice {
    /// Version of the configuration.
    pub version: u64,
    /// Address at which the caller answers other daemons.
    pub holder: SocketAddr,
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

    /// Returns a piece of the configuration in force, if that is newer than the caller's.
    #[method(name = "config_piece")]
    async fn config_piece(&self, question: ConfigQuestion) -> RpcResult<Option<ConfigPiece>>;

    /// Notes that the caller has a version.
    #[method(name = "config_notice")]
    async fn config_notice(&self, notice: ConfigNotice) -> RpcResult<()>;

    /// Grants units of the quota of a team that the daemon keeps; none if it knows no such quota.
    #[method(name = "quota_grant")]
    async fn quota_grant(
        &self,
        team: Team,
        question: QuotaQuestion,
    ) -> RpcResult<Option<QuotaGrant>>;

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

    /// Records steps of rollouts that the caller has stored as the holder of the lease. Returns whether
    /// this daemon knows the caller.
    #[method(name = "step_notice")]
    async fn step_notice(&self, notice: StepNotice) -> RpcResult<bool>;

    /// Returns what is known of the version of a stream.
    #[method(name = "stream_version")]
    async fn stream_version(&self, question: StreamQuestion) -> RpcResult<StreamAnswer>;
}
