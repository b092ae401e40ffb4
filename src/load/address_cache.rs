//! A caller's view of which daemons to use: the address answers that it has been given, each kept
//! for its time to live.

use crate::client::CallerClient;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// The least time for which an answer is kept.
const TTL_MIN: Duration = Duration::from_millis(100);

/// The addresses that are remembered.
const SEEN_MAX: usize = 16;

#[derive(Debug)]
struct Kept {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// The answers of one caller by what they were asked for.
#[derive(Debug)]
pub struct AddressCache {
    seeds: Vec<SocketAddr>,
    next: AtomicUsize,
    kept: Mutex<HashMap<String, Kept>>,
    /// Every address ever told, newest first.
    seen: Mutex<Vec<SocketAddr>>,
}

impl AddressCache {
    /// A cache that knows only the first addresses.
    pub fn new(seeds: Vec<SocketAddr>, first: usize) -> Self {
        Self {
            seeds,
            next: AtomicUsize::new(first),
            kept: Mutex::default(),
            seen: Mutex::default(),
        }
    }

    /// The addresses to use, best first.
    ///
    /// Asks a daemon when the kept answer has expired; if none answers, the expired answer, all
    /// addresses told before and the first ones are still used.
    pub async fn addresses(&self, client: &CallerClient, query: &str) -> Vec<SocketAddr> {
        let now = Instant::now();
        let old = {
            let kept = self.kept.lock().await;
            match kept.get(query) {
                Some(kept) if kept.until > now => return kept.addresses.clone(),
                Some(kept) => kept.addresses.clone(),
                None => Vec::new(),
            }
        };
        let asked = self.next.fetch_add(1, Ordering::Relaxed);
        let seeds = self.seeds.iter().cycle().skip(asked % self.seeds.len().max(1));
        let seen = self.seen.lock().await.clone();
        let seeds = seeds.take(self.seeds.len()).copied();
        let known: Vec<SocketAddr> = old.into_iter().chain(seen).chain(seeds).collect();
        for daemon in &known {
            let Ok(reply) = client.addresses_for(*daemon, query).await else {
                continue;
            };
            let addresses: Vec<SocketAddr> =
                reply.addresses.iter().map(|address| address.address).collect();
            if addresses.is_empty() {
                continue;
            }
            self.remember(&addresses).await;
            let until = now + Duration::from_secs(reply.ttl_seconds).max(TTL_MIN);
            let kept = Kept { addresses: addresses.clone(), until };
            self.kept.lock().await.insert(query.to_owned(), kept);
            return addresses;
        }
        known
    }

    async fn remember(&self, addresses: &[SocketAddr]) {
        let mut seen = self.seen.lock().await;
        seen.retain(|address| !addresses.contains(address));
        seen.splice(0..0, addresses.iter().copied());
        seen.truncate(SEEN_MAX);
    }

    /// Drops a kept answer, after a daemon in it could not be reached.
    pub async fn forget(&self, query: &str) {
        if let Some(kept) = self.kept.lock().await.get_mut(query) {
            kept.until = Instant::now();
        }
    }
}
