//! The store and the cloud as a daemon uses them: traits that the adapter of a platform implements
//! and that tests replace with fakes.

use crate::config::ActiveConfig;
use bytes::Bytes;
use spindle_policy::crash_ledger::CrashNews;
use spindle_policy::rollout::{RolloutOrder, RolloutStep};
use spindle_policy::stream_versions::StreamRecords;
use spindle_policy::upstream_registry::Registration;
use spindle_policy::usage_windows::RequestCounts;
use spindle_types::{DataCentre, Fencing, Instance, Service, SoftwareVersion};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Data that others write to the store and daemons read.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Feed {
    /// Configuration that the operators publish.
    Configuration,
    /// Registrations of the upstreams.
    Upstreams,
}

/// Logs in the store that daemons write for each other.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// Lease of the leader: the one daemon that sends usage reports and orders instances.
    Lease,
    /// Usage reports, stored before they are sent.
    Usage,
    /// Versions that streams were sent to.
    Streams,
    /// Steps of rollouts, stored by the leader before any daemon follows them.
    Rollouts,
}

/// A decoded record of a feed.
#[derive(Clone, Debug)]
pub enum FeedRecord {
    /// A configuration, and the document that it was decoded from.
    Configuration(Arc<ActiveConfig>, Bytes),
    /// A new or updated registration of an upstream.
    Registered(Registration),
    /// The removal of an upstream's registration.
    Removed(Instance),
    /// A record that can't be decoded. It is logged and otherwise ignored.
    Unreadable {
        /// Key under which the record is stored.
        key: String,
        /// Why the record can't be decoded.
        cause: String,
    },
}

/// Records read from a feed in one call.
#[derive(Clone, Debug)]
pub struct FeedBatch {
    /// Records, oldest first.
    pub items: Vec<FeedRecord>,
    /// Offset from which to continue reading.
    pub next: u64,
    /// Offset that the next record written to the feed will get. Greater than `next` if the call
    /// returned only a part of the records.
    pub end: u64,
    /// The era of the store, which rises with each restore from an older copy; none if unknown.
    pub era: Option<u64>,
}

/// Records read from a topic in one call.
#[derive(Clone, Debug)]
pub struct TopicRecords {
    /// Offset of the oldest record still stored.
    pub oldest: u64,
    /// Offset that the next appended record will get.
    pub end: u64,
    /// Offset and content of each record, oldest first.
    pub records: Vec<(u64, Bytes)>,
    /// The era of the store, which rises with each restore from an older copy; none if unknown.
    pub era: Option<u64>,
}

/// Result of a conditional append, and the era of the store in which it was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// Whether the record was appended.
    pub outcome: AppendOutcome,
    /// The era of the store; none if unknown.
    pub era: Option<u64>,
}

/// Outcome of a conditional append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    At(u64),
    /// The topic does not end at the expected offset, as another record was appended there. Nothing
    /// was appended.
    Conflict {
        /// Offset that the next appended record will get.
        end: u64,
    },
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The requested records have been deleted. Holds the oldest offset still stored, if the store
    /// tells it.
    Expired(Option<u64>),
    /// The store refused the call; nothing was changed.
    Refused(String),
    /// No connection was made or no response arrived. An append may still take effect later.
    Lost(String),
    /// The response can't be decoded.
    Form(String),
}

/// The operators' orders of rollouts, as listed in one call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrderList {
    /// The newest order of each service, as far as it can be decoded.
    pub orders: Vec<RolloutOrder>,
    /// Names of the services whose newest order can't be decoded, each with the reason. It changes
    /// nothing: the order before it stays in force.
    pub unreadable: BTreeMap<String, String>,
    /// The era of the store, which rises with each restore from an older copy; none if unknown.
    pub era: Option<u64>,
}

/// Services, and the versions of their upstreams' software.
pub type StoredVersions = Vec<(Service, Option<SoftwareVersion>)>;

/// The store: keyed feeds, and topics with conditional appends.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key of a feed.
    fn read_latest(&self, feed: Feed)
    -> impl Future<Output = Result<FeedBatch, StoreError>> + Send;

    /// Reads the records of a feed from an offset on; waits up to `wait` for the first one.
    fn read_feed(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedBatch, StoreError>> + Send;

    /// Reads the records of a topic from an offset on, without waiting for new ones.
    fn read_topic(
        &self,
        topic: Topic,
        from: u64,
    ) -> impl Future<Output = Result<TopicRecords, StoreError>> + Send;

    /// Appends a record if `at` is the offset that the next record of the topic will get.
    fn append(
        &self,
        topic: Topic,
        at: u64,
        record: Bytes,
    ) -> impl Future<Output = Result<Appended, StoreError>> + Send;

    /// Publishes the address at which a daemon serves the other daemons. Replaces an earlier
    /// address of the same instance.
    fn publish_peer_address(
        &self,
        instance: &Instance,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the addresses that daemons have published; some may belong to daemons that no longer
    /// run.
    fn peer_addresses(&self) -> impl Future<Output = Result<Vec<SocketAddr>, StoreError>> + Send;

    /// Stores what convicts something that crashes upstreams, under its key, or removes it.
    fn publish_crash_cause(
        &self,
        key: &str,
        evidence: Option<&CrashNews>,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads what daemons have stored of this.
    fn crash_causes(&self) -> impl Future<Output = Result<Vec<CrashNews>, StoreError>> + Send;

    /// Stores the versions of the upstreams' software that streams may have begun at lately, of all
    /// services.
    fn publish_versions(
        &self,
        seen: &[(Service, Option<SoftwareVersion>)],
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads them; none if they were never stored.
    fn stored_versions(
        &self,
    ) -> impl Future<Output = Result<Option<StoredVersions>, StoreError>> + Send;

    /// Stores the versions that streams were sent to.
    fn publish_streams(
        &self,
        records: &[StreamRecords],
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads those that the store still keeps, oldest first.
    fn stored_streams(&self)
    -> impl Future<Output = Result<Vec<StreamRecords>, StoreError>> + Send;

    /// Lists the newest order of a rollout of each service. Withdrawn orders are left out.
    fn rollout_orders(&self) -> impl Future<Output = Result<OrderList, StoreError>> + Send;

    /// Writes to the store, for the operators, how far the rollout of a service is. Returns the era
    /// of the store.
    fn publish_rollout(
        &self,
        step: &RolloutStep,
    ) -> impl Future<Output = Result<Option<u64>, StoreError>> + Send;

    /// Decodes a configuration document that another daemon has read from the store.
    ///
    /// # Errors
    ///
    /// The reasons for which the document is not a valid configuration.
    fn decode_configuration(&self, document: &[u8]) -> Result<ActiveConfig, String>;
}

/// An order that sets the number of instances of a service in a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScaleOrder {
    /// Service whose instances are ordered.
    pub service: Service,
    /// Data centre in which the instances run.
    pub data_centre: DataCentre,
    /// Whether the order is for reclaimable instances or for regular ones, which are counted
    /// separately.
    pub reclaimable: bool,
    /// Wanted number of instances, including those that already run.
    pub count: u32,
}

/// Why a call to the cloud failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CloudError {
    /// A daemon with a higher fencing token has called the cloud, so this one no longer holds the
    /// lease.
    Fenced,
    /// The cloud has no such instances at the moment.
    Unavailable,
    /// The cloud refused the call; nothing was changed.
    Refused(String),
    /// No response arrived. The call may still take effect later.
    Lost(String),
}

/// The cloud, which only the leader calls. Every call carries the fencing token of its lease.
pub trait Cloud: Clone + Send + Sync + 'static {
    /// Encodes the usage report of a window in the form in which it is stored and sent.
    fn encode_report(&self, window: u64, counts: &RequestCounts) -> Bytes;

    /// Sends an encoded usage report.
    fn send_report(
        &self,
        fencing: Fencing,
        report: Bytes,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;

    /// Sets the wanted number of instances of a service.
    fn order_instances(
        &self,
        fencing: Fencing,
        order: &ScaleOrder,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;
}
