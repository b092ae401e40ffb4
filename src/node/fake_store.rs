//! An in-memory store for tests of the followers.

use bytes::Bytes;
use spindle_policy::crash_ledger::CrashNews;
use spindle_policy::rollout::RolloutStep;
use spindle_policy::stream_versions::StreamRecords;
use spindle_relay::backends::{
    AppendOutcome, Appended, Feed, FeedBatch, FeedRecord, OrderList, Store, StoreError,
    StoredVersions, Topic, TopicRecords,
};
use spindle_relay::{ActiveConfig, Limits};
use spindle_types::{Instance, Service, SoftwareVersion};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The size of a page of a read, in bytes.
const PAGE_BYTES: usize = 1 << 20;

/// The rate of a link, in bytes a second: 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1.25e6;

/// The size of the parts in which transfers share a link, in bytes.
const LINK_PART_BYTES: usize = 8_192;

/// One direction of a link, which transfers share.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeLink(Arc<tokio::sync::Mutex<()>>);

impl FakeLink {
    /// Waits until so many bytes have passed.
    pub(super) async fn transfer(&self, bytes: usize) {
        let mut left = bytes;
        while left > 0 {
            let part = left.min(LINK_PART_BYTES);
            let _busy = self.0.lock().await;
            tokio::time::sleep(Duration::from_secs_f64(part as f64 / LINK_BYTES_PER_S)).await;
            left -= part;
        }
    }
}

/// The document of a version, of which each differs from the one before in one line.
pub(super) fn filled_document(version: u64, bytes: usize) -> Bytes {
    const LINE: &str = "host=wuny96.example timeout-ms=3000 max-attempts=2 kind=streaming service=";
    let mut document = format!("{version}\n");
    let lines = (bytes / 100).max(1) as u64;
    for line in 0..lines {
        // The newest version that has changed this line.
        let changed = version.saturating_sub((version % lines + lines - line) % lines);
        let name =
            xxhash_rust::xxh3::xxh3_64(&[line.to_le_bytes(), changed.to_le_bytes()].concat());
        document.push_str(&format!("{name:016x} {LINE}\n"));
    }
    document.into()
}

/// What the store holds of rollouts.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeRollouts {
    /// The records of the topic.
    pub(super) records: Vec<Bytes>,
    /// The operators' orders, and the services with an unreadable one.
    pub(super) orders: OrderList,
    /// The steps whose states were written for the operators.
    pub(super) written: Vec<RolloutStep>,
    /// How the next appends and writes fail, if they do.
    pub(super) failure: Option<AppendFailure>,
    /// The number of appends and writes that were tried.
    pub(super) tried: usize,
}

/// How an append fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AppendFailure {
    /// Nothing is appended.
    Refused,
    /// The record is appended, and the answer lost.
    AnswerLost,
    /// Nothing is appended, and the call doesn't end by itself.
    NoAnswer,
}

impl FakeRollouts {
    /// Appends if nothing fails.
    fn append(&mut self, append: impl FnOnce(&mut Self)) -> Result<(), StoreError> {
        self.tried += 1;
        if matches!(self.failure, Some(AppendFailure::Refused | AppendFailure::NoAnswer)) {
            return Err(StoreError::Refused("unavailable".to_owned()));
        }
        append(self);
        match self.failure {
            Some(_) => Err(StoreError::Lost("no answer in time".to_owned())),
            None => Ok(()),
        }
    }
}

/// A store that holds one configuration version and a log of registrations. While it is
/// unreachable, calls fail after their timeout, even if the store becomes reachable before that.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeStore {
    /// Whether calls time out instead of being answered.
    pub(super) unreachable: Arc<AtomicBool>,
    /// Whether a read from an offset has an answer that can't be decoded.
    pub(super) unreadable: Arc<AtomicBool>,
    /// Number of calls received.
    pub(super) calls: Arc<AtomicU64>,
    version: Arc<AtomicU64>,
    /// Size of a configuration, in bytes.
    document_bytes: usize,
    /// The link of the daemon that reads, if its rate is limited.
    link: Option<FakeLink>,
    upstreams: Arc<Mutex<Vec<FeedRecord>>>,
    /// What it holds of rollouts.
    pub(super) rollouts: Arc<Mutex<FakeRollouts>>,
}

fn config(version: u64) -> ActiveConfig {
    let (services, routes, teams) = (HashMap::new(), Vec::new(), Vec::new());
    ActiveConfig::new(version, Limits::default(), services, routes, teams)
}

impl FakeStore {
    /// A store with configurations of a given size.
    pub(super) fn with_documents(document_bytes: usize) -> Self {
        Self { document_bytes, ..Self::default() }
    }

    /// The same store as a daemon sees it that reads through a link.
    pub(super) fn behind(&self, link: FakeLink) -> Self {
        Self { link: Some(link), ..self.clone() }
    }

    /// Replaces the stored configuration by one of this version.
    pub(super) fn set(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
    }

    /// Appends a record to the feed of the upstreams.
    pub(super) fn push_upstream(&self, record: FeedRecord) {
        self.upstreams.lock().unwrap().push(record);
    }

    async fn answer(&self, feed: Feed, from: u64, wait: Duration) -> Result<FeedBatch, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let timeout = wait + Duration::from_millis(1_500);
        if self.unreachable.load(Ordering::Relaxed) {
            tokio::time::sleep(timeout).await;
            return Err(StoreError::Lost("no answer in time".to_owned()));
        }
        if feed == Feed::Upstreams {
            let records = self.upstreams.lock().unwrap();
            let items = records.iter().skip(from as usize).cloned().collect();
            let end = records.len() as u64;
            return Ok(FeedBatch { items, next: end, end, era: None });
        }
        let mut remaining_wait = wait;
        let step = Duration::from_millis(10);
        while self.version.load(Ordering::Relaxed) < from && !remaining_wait.is_zero() {
            tokio::time::sleep(step).await;
            remaining_wait = remaining_wait.saturating_sub(step);
            if self.unreachable.load(Ordering::Relaxed) {
                tokio::time::sleep(timeout).await;
                return Err(StoreError::Lost("no answer in time".to_owned()));
            }
        }
        let newest = self.version.load(Ordering::Relaxed);
        let end = newest + 1;
        if newest < from {
            return Ok(FeedBatch { items: Vec::new(), next: end, end, era: None });
        }
        // Each version has a record of its own, and offset 0 stands for the list of the newest ones.
        let per_page = (PAGE_BYTES / self.document_bytes.max(1)).max(1) as u64;
        let records = if from == 0 { 1 } else { (end - from).min(per_page) };
        let version = if from == 0 { newest } else { from + records - 1 };
        if let Some(link) = &self.link {
            link.transfer(records as usize * self.document_bytes).await;
        }
        let document = filled_document(version, self.document_bytes);
        let item = FeedRecord::Configuration(Arc::new(config(version)), document);
        Ok(FeedBatch { items: vec![item], next: version + 1, end, era: None })
    }
}

impl Store for FakeStore {
    async fn read_latest(&self, feed: Feed) -> Result<FeedBatch, StoreError> {
        self.answer(feed, 0, Duration::ZERO).await
    }

    async fn read_feed(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
    ) -> Result<FeedBatch, StoreError> {
        if self.unreadable.load(Ordering::Relaxed) {
            return Err(StoreError::Form("too large".to_owned()));
        }
        self.answer(feed, from, wait).await
    }

    async fn read_topic(&self, topic: Topic, from: u64) -> Result<TopicRecords, StoreError> {
        if topic != Topic::Rollouts {
            return Err(StoreError::Refused("not supported by the fake store".to_owned()));
        }
        let rollouts = self.rollouts.lock().unwrap();
        let records = (0..).zip(rollouts.records.iter().cloned()).skip(from as usize);
        let (end, era) = (rollouts.records.len() as u64, rollouts.orders.era);
        // A page holds one record.
        Ok(TopicRecords { oldest: 0, end, records: records.take(1).collect(), era })
    }

    async fn append(&self, topic: Topic, at: u64, record: Bytes) -> Result<Appended, StoreError> {
        if topic != Topic::Rollouts {
            return Err(StoreError::Refused("not supported by the fake store".to_owned()));
        }
        let failure = self.rollouts.lock().unwrap().failure;
        if failure == Some(AppendFailure::NoAnswer) {
            std::future::pending::<()>().await;
        }
        let mut rollouts = self.rollouts.lock().unwrap();
        let (end, era) = (rollouts.records.len() as u64, rollouts.orders.era);
        if at != end {
            return Ok(Appended { outcome: AppendOutcome::Conflict { end }, era });
        }
        rollouts.append(|rollouts| rollouts.records.push(record))?;
        Ok(Appended { outcome: AppendOutcome::At(end), era })
    }

    async fn publish_peer_address(
        &self,
        _instance: &Instance,
        _peer: SocketAddr,
    ) -> Result<(), StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
    }

    async fn peer_addresses(&self) -> Result<Vec<SocketAddr>, StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
    }

    async fn publish_crash_cause(
        &self,
        _key: &str,
        _evidence: Option<&CrashNews>,
    ) -> Result<(), StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
    }

    async fn crash_causes(&self) -> Result<Vec<CrashNews>, StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
    }

    async fn publish_versions(
        &self,
        _seen: &[(Service, Option<SoftwareVersion>)],
    ) -> Result<(), StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
    }

    async fn stored_versions(&self) -> Result<Option<StoredVersions>, StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
    }

    async fn publish_streams(&self, _records: &[StreamRecords]) -> Result<(), StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
    }

    async fn stored_streams(&self) -> Result<Vec<StreamRecords>, StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
    }

    async fn rollout_orders(&self) -> Result<OrderList, StoreError> {
        Ok(self.rollouts.lock().unwrap().orders.clone())
    }

    async fn publish_rollout(&self, step: &RolloutStep) -> Result<Option<u64>, StoreError> {
        let mut rollouts = self.rollouts.lock().unwrap();
        rollouts.append(|rollouts| rollouts.written.push(step.clone()))?;
        Ok(rollouts.orders.era)
    }

    fn decode_configuration(&self, document: &[u8]) -> Result<ActiveConfig, String> {
        let text = std::str::from_utf8(document).map_err(|error| error.to_string())?;
        let version = text.lines().next().unwrap_or_default().parse();
        Ok(config(version.map_err(|error: std::num::ParseIntError| error.to_string())?))
    }
}
