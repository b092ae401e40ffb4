//! An in-memory store for tests of the followers.

use bytes::Bytes;
use spindle_policy::crash_ledger::CrashNews;
use spindle_policy::stream_versions::StreamRecords;
use spindle_relay::backends::{
    Appended, Feed, FeedBatch, FeedRecord, Store, StoreError, StoredVersions, Topic, TopicRecords,
};
use spindle_relay::{ActiveConfig, Limits};
use spindle_types::{Instance, Service, SoftwareVersion};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A store that holds one configuration version and a log of registrations. While it is
/// unreachable, calls fail after their timeout, even if the store becomes reachable before that.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeStore {
    /// Whether calls time out instead of being answered.
    pub(super) unreachable: Arc<AtomicBool>,
    /// Number of calls received.
    pub(super) calls: Arc<AtomicU64>,
    version: Arc<AtomicU64>,
    upstreams: Arc<Mutex<Vec<FeedRecord>>>,
}

fn config(version: u64) -> ActiveConfig {
    let (services, routes, teams) = (HashMap::new(), Vec::new(), Vec::new());
    ActiveConfig::new(version, Limits::default(), services, routes, teams)
}

impl FakeStore {
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
        let version = self.version.load(Ordering::Relaxed);
        let item = FeedRecord::Configuration(Arc::new(config(version)), Bytes::new());
        let items = if version >= from { vec![item] } else { Vec::new() };
        Ok(FeedBatch { items, next: version + 1, end: version + 1, era: None })
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
        self.answer(feed, from, wait).await
    }

    async fn read_topic(&self, _topic: Topic, _from: u64) -> Result<TopicRecords, StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
    }

    async fn append(
        &self,
        _topic: Topic,
        _at: u64,
        _record: Bytes,
    ) -> Result<Appended, StoreError> {
        Err(StoreError::Refused("not supported by the fake store".to_owned()))
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

    fn decode_configuration(&self, _document: &[u8]) -> Result<ActiveConfig, String> {
        Err("not supported by the fake store".to_owned())
    }
}
