//! What a daemon reads from and writes to the store and the cloud, as traits that the adapter of a
//! platform implements and tests replace.

use crate::serving::Serving;
use bytes::Bytes;
use spindle_policy::upstream_registry::Registration;
use spindle_policy::usage_windows::RequestCounts;
use spindle_types::{DataCentre, Fencing, Instance, Service};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// What others write to the store and a daemon reads.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Feed {
    /// The operators' configuration.
    Configuration,
    /// The upstreams' registrations.
    Upstreams,
}

/// What daemons write to the store for each other.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// The lease of the one daemon that acts.
    Lease,
    /// The usage reports, before they are sent.
    Usage,
}

/// One record of a feed, decoded.
#[derive(Clone, Debug)]
pub enum Item {
    /// A configuration, and the document that it was read from.
    Configuration(Arc<Serving>, Bytes),
    /// An upstream.
    Registered(Registration),
    /// An upstream that is registered no more.
    Removed(Instance),
    /// A record that can't be read; it changes nothing.
    Unreadable {
        /// The key under which it is stored.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// A part of a feed.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The records, oldest first.
    pub items: Vec<Item>,
    /// Where to read on.
    pub next: u64,
}

/// A part of a topic.
#[derive(Clone, Debug)]
pub struct Records {
    /// The offset of the oldest record that is kept.
    pub oldest: u64,
    /// The offset that the next record will have.
    pub end: u64,
    /// Offsets and contents.
    pub records: Vec<(u64, Bytes)>,
}

/// What became of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Appended {
    /// The record has the offset.
    At(u64),
    /// Another record stands where this one was to be; nothing was appended.
    Conflict {
        /// The offset that the next record will have.
        end: u64,
    },
}

/// Why the store gave no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The records asked for have been deleted; the oldest offset that is kept, if it is told.
    Expired(Option<u64>),
    /// The store turned the call down; nothing was done.
    Refused(String),
    /// No connection was made or no answer came; an append may be done later.
    Lost(String),
    /// The answer can't be read.
    Form(String),
}

/// The store.
pub trait Store: Clone + Send + Sync + 'static {
    /// The newest record of each key of a feed.
    fn newest(&self, feed: Feed) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// The records of a feed from an offset, waiting up to `wait` for the first one.
    fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// The records of a topic from an offset on, without waiting.
    fn records(
        &self,
        topic: Topic,
        from: u64,
    ) -> impl Future<Output = Result<Records, StoreError>> + Send;

    /// Appends a record if the topic ends at the offset.
    fn append(
        &self,
        topic: Topic,
        at: u64,
        record: Bytes,
    ) -> impl Future<Output = Result<Appended, StoreError>> + Send;

    /// Tells where a daemon answers the others, in place of what was told of its instance before.
    fn announce(
        &self,
        instance: &Instance,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Where daemons have said that they answer, dead ones included.
    fn announced(&self) -> impl Future<Output = Result<Vec<SocketAddr>, StoreError>> + Send;

    /// Decodes a configuration that another daemon has read.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn configuration(&self, document: &[u8]) -> Result<Serving, String>;
}

/// How many instances of a service are wanted in a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScaleOrder {
    /// The service.
    pub service: Service,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether those that can be reclaimed are meant, or the others.
    pub reclaimable: bool,
    /// How many.
    pub count: u32,
}

/// Why the cloud did not do what was asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CloudError {
    /// A daemon with a higher fencing number has acted.
    Fenced,
    /// There are no such instances at the moment.
    Unavailable,
    /// The cloud turned the call down; nothing was done.
    Refused(String),
    /// No answer came; the order may be carried out later.
    Lost(String),
}

/// The cloud, towards the one daemon that acts.
pub trait Cloud: Clone + Send + Sync + 'static {
    /// The report of a window, as it is stored and sent.
    fn report(&self, window: u64, counts: &RequestCounts) -> Bytes;

    /// Sends a report.
    fn send_report(
        &self,
        fencing: Fencing,
        report: Bytes,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;

    /// Orders instances.
    fn scale(
        &self,
        fencing: Fencing,
        order: &ScaleOrder,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;
}
