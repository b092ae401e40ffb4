//! A store for tests of the units that follow it.

use bytes::Bytes;
use spindle_relay::backends::{
    AppendOutcome, Feed, FeedBatch, FeedRecord, Store, StoreError, Topic, TopicRecords,
};
use spindle_relay::{ActiveConfig, Limits};
use spindle_types::Instance;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A store that holds one configuration, answers no call while it is dark, and never answers those
/// that came then.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeStore {
    /// Whether it is dark.
    pub(super) dark: Arc<AtomicBool>,
    /// The calls that have come.
    pub(super) calls: Arc<AtomicU64>,
    version: Arc<AtomicU64>,
}

fn serving(version: u64) -> ActiveConfig {
    let (services, routes, teams) = (HashMap::new(), Vec::new(), Vec::new());
    ActiveConfig::new(version, Limits::default(), services, routes, teams)
}

impl FakeStore {
    /// Puts a version of the configuration into the store.
    pub(super) fn set(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
    }

    async fn answer(&self, from: u64, wait: Duration) -> Result<FeedBatch, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let timeout = wait + Duration::from_millis(1_500);
        if self.dark.load(Ordering::Relaxed) {
            tokio::time::sleep(timeout).await;
            return Err(StoreError::Lost("no answer in time".to_owned()));
        }
        let mut left = wait;
        let step = Duration::from_millis(10);
        while self.version.load(Ordering::Relaxed) < from && !left.is_zero() {
            tokio::time::sleep(step).await;
            left = left.saturating_sub(step);
            if self.dark.load(Ordering::Relaxed) {
                tokio::time::sleep(timeout).await;
                return Err(StoreError::Lost("no answer in time".to_owned()));
            }
        }
        let version = self.version.load(Ordering::Relaxed);
        let item = FeedRecord::Configuration(Arc::new(serving(version)), Bytes::new());
        let items = if version >= from { vec![item] } else { Vec::new() };
        Ok(FeedBatch { items, next: version + 1 })
    }
}

impl Store for FakeStore {
    async fn read_latest(&self, _feed: Feed) -> Result<FeedBatch, StoreError> {
        self.answer(0, Duration::ZERO).await
    }

    async fn read_feed(
        &self,
        _feed: Feed,
        from: u64,
        wait: Duration,
    ) -> Result<FeedBatch, StoreError> {
        self.answer(from, wait).await
    }

    async fn read_topic(&self, _topic: Topic, _from: u64) -> Result<TopicRecords, StoreError> {
        Err(StoreError::Refused("not held here".to_owned()))
    }

    async fn append(
        &self,
        _topic: Topic,
        _at: u64,
        _record: Bytes,
    ) -> Result<AppendOutcome, StoreError> {
        Err(StoreError::Refused("not held here".to_owned()))
    }

    async fn publish_peer_address(
        &self,
        _instance: &Instance,
        _peer: SocketAddr,
    ) -> Result<(), StoreError> {
        Err(StoreError::Refused("not held here".to_owned()))
    }

    async fn peer_addresses(&self) -> Result<Vec<SocketAddr>, StoreError> {
        Err(StoreError::Refused("not held here".to_owned()))
    }

    fn decode_configuration(&self, _document: &[u8]) -> Result<ActiveConfig, String> {
        Err("not held here".to_owned())
    }
}
