//! Caches the replies of daemons to address queries, each for its time to live.

use crate::client::CallerClient;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// The minimum time to live of a cached reply.
const TTL_MIN: Duration = Duration::from_millis(100);

/// The maximum number of remembered addresses.
const KNOWN_MAX: usize = 16;

#[derive(Debug)]
struct CachedReply {
    addresses: Vec<SocketAddr>,
    expires: Instant,
}

/// The cached address replies of one caller, by query.
#[derive(Debug)]
pub struct AddressCache {
    seeds: Vec<SocketAddr>,
    next_seed: AtomicUsize,
    cached: Mutex<HashMap<String, CachedReply>>,
    /// Addresses from all earlier replies, most recent first, at most [`KNOWN_MAX`].
    known_addresses: Mutex<Vec<SocketAddr>>,
}

impl AddressCache {
    /// Creates an empty cache. The first query goes to the seed at index `first_seed`, modulo their
    /// number.
    pub fn new(seeds: Vec<SocketAddr>, first_seed: usize) -> Self {
        Self {
            seeds,
            next_seed: AtomicUsize::new(first_seed),
            cached: Mutex::default(),
            known_addresses: Mutex::default(),
        }
    }

    /// Returns the addresses to use for a query, in order of preference.
    ///
    /// Queries daemons when the cached reply has expired. If none replies, returns the expired reply,
    /// the known addresses and the seeds.
    pub async fn addresses(&self, client: &CallerClient, query: &str) -> Vec<SocketAddr> {
        let now = Instant::now();
        let expired = {
            let cached = self.cached.lock().await;
            match cached.get(query) {
                Some(cached) if cached.expires > now => return cached.addresses.clone(),
                Some(cached) => cached.addresses.clone(),
                None => Vec::new(),
            }
        };
        let start = self.next_seed.fetch_add(1, Ordering::Relaxed);
        let seeds = self.seeds.iter().cycle().skip(start % self.seeds.len().max(1));
        let known_addresses = self.known_addresses.lock().await.clone();
        let seeds = seeds.take(self.seeds.len()).copied();
        let candidates: Vec<SocketAddr> =
            expired.into_iter().chain(known_addresses).chain(seeds).collect();
        for daemon in &candidates {
            let Ok(reply) = client.addresses_for(*daemon, query).await else {
                continue;
            };
            let addresses: Vec<SocketAddr> =
                reply.addresses.iter().map(|address| address.address).collect();
            if addresses.is_empty() {
                continue;
            }
            self.remember(&addresses).await;
            let expires = now + Duration::from_secs(reply.ttl_seconds).max(TTL_MIN);
            let cached = CachedReply { addresses: addresses.clone(), expires };
            self.cached.lock().await.insert(query.to_owned(), cached);
            return addresses;
        }
        candidates
    }

    async fn remember(&self, addresses: &[SocketAddr]) {
        let mut known_addresses = self.known_addresses.lock().await;
        known_addresses.retain(|address| !addresses.contains(address));
        known_addresses.splice(0..0, addresses.iter().copied());
        known_addresses.truncate(KNOWN_MAX);
    }

    /// Marks a cached reply as expired, for use after one of its daemons could not be reached or
    /// broke a stream.
    pub async fn expire(&self, query: &str) {
        if let Some(cached) = self.cached.lock().await.get_mut(query) {
            cached.expires = Instant::now();
        }
    }
}
