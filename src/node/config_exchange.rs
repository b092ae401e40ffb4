//! Fetches a newer configuration from other daemons as soon as one is known to exist, and tells
//! others of it.

use super::config_archive::Document;
use super::configuration::ConfigurationFollower;
use jsonrpsee::core::ClientError;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use spindle_daemon::config_delta::{self, DOCUMENT_MAX_BYTES};
use spindle_daemon::{ConfigPiece, ConfigQuestion};
use spindle_policy::config_source::{Fetches, Holder, select_told};
use spindle_relay::backends::Store;
use spindle_relay::config_versions::KnownVersions;
use spindle_types::Clock;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;

/// Time that a daemon that waits for a change at the store leaves the store to bring it.
const READER_DELAY: Duration = Duration::from_millis(100);

/// Time after which a fetch that has not ended is joined by one from another daemon.
const SECOND_FETCH_DELAY: Duration = Duration::from_millis(150);

/// Delay after which a failed fetch is followed by one from another daemon.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// The other daemons, as the source and the receivers of configurations.
pub trait ConfigPeers: Clone + Send + Sync + 'static {
    /// The daemons that have a version above `version`.
    fn holders(&self, version: u64) -> Vec<Holder<SocketAddr>>;

    /// The daemons that are not known to have `version`.
    fn lacking(&self, version: u64) -> Vec<SocketAddr>;

    /// Asks a daemon for a piece of its configuration.
    fn piece(
        &self,
        peer: SocketAddr,
        question: ConfigQuestion,
    ) -> impl Future<Output = Result<Option<ConfigPiece>, ClientError>> + Send;

    /// Asks a daemon that answers no [`Self::piece`] for its whole configuration.
    fn document(
        &self,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<Option<Document>, ClientError>> + Send;

    /// Tells a daemon that this one has a version.
    fn tell(&self, peer: SocketAddr, version: u64) -> impl Future<Output = ()> + Send;
}

/// Why a configuration could not be fetched from a daemon.
#[derive(Debug, Error)]
enum FetchError {
    #[error("call failed: {0}")]
    Call(#[from] ClientError),
    #[error("it has no newer version")]
    NotNewer,
    #[error("pieces don't fit together: {0}")]
    Pieces(&'static str),
    #[error("content can't be decoded: {0}")]
    Content(#[from] std::io::Error),
    #[error("digest differs")]
    Digest,
}

/// Whether the error is the answer of a daemon of an earlier release, which doesn't know the call.
fn is_unknown_call(error: &ClientError) -> bool {
    let ClientError::Call(error) = error else { return false };
    error.code() == jsonrpsee::types::error::METHOD_NOT_FOUND_CODE
}

/// Keeps the configuration of a daemon as new as that of the others.
#[derive(Clone, Debug)]
pub struct ConfigExchange<S, K, P> {
    follower: ConfigurationFollower<S, K>,
    clock: K,
    peers: P,
    fetches: Arc<Mutex<Fetches<SocketAddr>>>,
    generator: Arc<Mutex<ChaCha8Rng>>,
}

/// A fetch in progress, which ends when it is dropped.
struct Fetch<'a, S: Store, K: Clock, P> {
    exchange: &'a ConfigExchange<S, K, P>,
    peer: SocketAddr,
    succeeded: bool,
}

impl<S: Store, K: Clock, P> Drop for Fetch<'_, S, K, P> {
    fn drop(&mut self) {
        let now = self.exchange.clock.now();
        lock(&self.exchange.fetches).on_ended(now, self.peer, self.succeeded);
    }
}

impl<S: Store, K: Clock, P: ConfigPeers> ConfigExchange<S, K, P> {
    /// Creates an exchange for the daemon of `follower`. `seed` differs between daemons.
    pub fn new(follower: ConfigurationFollower<S, K>, clock: K, peers: P, seed: u64) -> Self {
        let generator = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
        Self { follower, clock, peers, fetches: Arc::default(), generator }
    }

    /// Fetches and tells until the process exits.
    pub async fn run(self) {
        tokio::join!(self.fetch_all(), self.tell_all());
    }

    /// Fetches whenever this daemon has heard of a version that it lacks.
    async fn fetch_all(&self) {
        let mut changes = self.follower.versions().subscribe();
        loop {
            // The sender lives as long as the follower.
            let _ = changes.wait_for(KnownVersions::is_behind).await;
            let mut caught_up = changes.clone();
            let delay = if self.follower.is_reading() { READER_DELAY } else { Duration::ZERO };
            tokio::select! {
                () = self.fetch_until_newer(delay) => {}
                () = self.fetch_until_newer(delay + SECOND_FETCH_DELAY) => {}
                _ = caught_up.wait_for(|versions| !versions.is_behind()) => {}
            }
        }
    }

    /// Fetches from one daemon after another until a newer version is in force.
    async fn fetch_until_newer(&self, delay: Duration) {
        let before = self.follower.versions().own();
        tokio::time::sleep(delay).await;
        while self.follower.versions().own() == before {
            if !self.fetch().await {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Fetches from one daemon. Returns whether that succeeded.
    async fn fetch(&self) -> bool {
        let holders = self.peers.holders(self.follower.versions().own());
        let begun = {
            let mut generator = lock(&self.generator);
            lock(&self.fetches).begin(self.clock.now(), &holders, &mut *generator)
        };
        let Some(peer) = begun else { return false };
        let mut fetch = Fetch { exchange: self, peer, succeeded: false };
        let started = self.clock.now();
        let result = self.fetch_from(peer).await;
        let call_ms = self.clock.now().since(started).as_millis();
        match result {
            Ok((document, bytes)) => {
                log::info!(
                    "event=configuration_fetched version={} peer={peer} bytes={bytes} \
                     call_ms={call_ms}",
                    document.version
                );
                fetch.succeeded = true;
                self.follower.on_document(&document);
            }
            Err(error) => log::info!(
                "event=configuration_fetch_failed peer={peer} call_ms={call_ms} error={error:?}"
            ),
        }
        fetch.succeeded
    }

    /// Fetches the newest version of a daemon. Also returns the number of bytes transferred.
    async fn fetch_from(&self, peer: SocketAddr) -> Result<(Document, usize), FetchError> {
        let own = self.follower.versions().own();
        let question = ConfigQuestion { own, version: None, offset: 0 };
        let first = match self.peers.piece(peer, question).await {
            Err(error) if is_unknown_call(&error) => {
                let document = self.peers.document(peer).await?.ok_or(FetchError::NotNewer)?;
                let bytes = document.content.len();
                return Ok((document, bytes));
            }
            result => result?.ok_or(FetchError::NotNewer)?,
        };
        let mut content = first.content.clone();
        while (content.len() as u64) < first.size {
            let offset = content.len() as u64;
            let question = ConfigQuestion { own, version: Some(first.version), offset };
            let next = self.peers.piece(peer, question).await?.ok_or(FetchError::NotNewer)?;
            if !next.follows(&first, offset) {
                return Err(FetchError::Pieces("one is of another content"));
            }
            content.extend_from_slice(&next.content);
            if content.len() > DOCUMENT_MAX_BYTES {
                return Err(FetchError::Pieces("too large"));
            }
        }
        let bytes = content.len();
        Ok((self.decode(&first, &content)?, bytes))
    }

    fn decode(&self, piece: &ConfigPiece, content: &[u8]) -> Result<Document, FetchError> {
        let base = match piece.base {
            0 => Default::default(),
            base => {
                let base = self.follower.archive().document(base);
                base.ok_or(FetchError::Pieces("of an unknown base"))?.content
            }
        };
        let decoded = config_delta::decode(&base, content)?;
        if config_delta::digest(&decoded) != piece.digest {
            return Err(FetchError::Digest);
        }
        Ok(Document { version: piece.version, content: decoded.into(), mark: piece.mark })
    }

    /// Tells a few other daemons whenever a newer version is in force here.
    async fn tell_all(&self) {
        let mut changes = self.follower.versions().subscribe();
        let mut told = 0;
        loop {
            // The sender lives as long as the follower.
            let _ = changes.wait_for(|versions| versions.own > told).await;
            told = changes.borrow().own;
            let lacking = self.peers.lacking(told);
            let peers = select_told(lacking, &mut *lock(&self.generator));
            for peer in peers {
                let (peers, version) = (self.peers.clone(), told);
                tokio::spawn(async move { peers.tell(peer, version).await });
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A poisoned lock is safe to use: no holder panics halfway through a change.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
