//! Tells the other daemons of crashes of upstreams and of what is acquitted, and learns from them
//! what this daemon has missed. What convicts is stored too, for the case that all daemons die.

use super::boot_clock::BootClock;
use super::status_exchange::PeerStatuses;
use rand::seq::IndexedRandom;
use spindle_daemon::StatusExchangeClient;
use spindle_policy::crash_ledger::{CrashNews, WorkKey};
use spindle_relay::backends::Store;
use spindle_relay::crash_keeper::CrashKeeper;
use spindle_types::Clock;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Time between two messages to the same daemon, within which news are collected.
const TELL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a daemon compares what it knows with another one.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Delays after which a message that failed is sent again.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];

/// Delay after which a call to the store that failed is made again.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of calls to store one conviction.
const STORE_CALLS_MAX: u32 = 5;

/// Tells and asks other daemons.
#[derive(Debug)]
pub struct CrashExchange<S> {
    crashes: CrashKeeper,
    statuses: PeerStatuses,
    store: S,
}

impl<S: Store> CrashExchange<S> {
    /// Creates an exchange of what a daemon knows of crashes.
    pub const fn new(crashes: CrashKeeper, statuses: PeerStatuses, store: S) -> Self {
        Self { crashes, statuses, store }
    }

    /// Tells and asks other daemons, until the process exits.
    pub async fn run(self) {
        tokio::spawn(load(self.crashes.clone(), self.store.clone()));
        let mut ticks = tokio::time::interval(COMPARE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.crashes.wait_for_news() => {
                    self.tell();
                    for key in self.crashes.take_unsaved() {
                        tokio::spawn(save(self.crashes.clone(), self.store.clone(), key));
                    }
                    tokio::time::sleep(TELL_INTERVAL).await;
                }
                _ = ticks.tick() => self.compare(),
            }
        }
    }

    fn tell(&self) {
        let now = BootClock.now();
        let news = self.crashes.take_untold(now);
        if news.is_empty() {
            return;
        }
        let peers = self.statuses.live_peers(now);
        log::info!(
            "event=crash_news_told crashes={} acquittals={} daemons={}",
            news.crashes.len(),
            news.acquittals.len(),
            peers.len(),
        );
        for peer in peers {
            tokio::spawn(send(self.statuses.clone(), peer.address, news.clone()));
        }
    }

    fn compare(&self) {
        let now = BootClock.now();
        self.crashes.maintain(now, self.statuses.possible_peers(now));
        if let Some(peer) = self.statuses.live_peers(now).choose(&mut rand::rng()) {
            tokio::spawn(fetch(self.crashes.clone(), self.statuses.clone(), peer.address));
        }
    }
}

/// Reads what was stored before this daemon started.
async fn load<S: Store>(crashes: CrashKeeper, store: S) {
    loop {
        match store.crash_causes().await {
            Ok(causes) => {
                log::info!("event=crash_causes_read count={}", causes.len());
                causes.iter().for_each(|cause| crashes.on_stored(BootClock.now(), cause));
                return;
            }
            Err(error) => log::debug!("event=crash_causes_unread error={error:?}"),
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
}

/// Stores the evidence against a key, or removes it.
async fn save<S: Store>(crashes: CrashKeeper, store: S, key: WorkKey) {
    for _ in 0..STORE_CALLS_MAX {
        let evidence = crashes.stored_conviction(key);
        let result = store.publish_crash_cause(&key.to_string(), evidence.as_ref()).await;
        let convicted = evidence.is_some();
        log::info!("event=crash_cause_stored key={key} convicted={convicted} result={result:?}");
        if result.is_ok() {
            return;
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
}

/// Sends news to a daemon, again if that fails.
async fn send(statuses: PeerStatuses, peer: SocketAddr, news: CrashNews) {
    let mut delays = REPEAT_DELAYS.iter();
    loop {
        let sent = match statuses.connection(peer) {
            Ok(connection) => connection.crash_news(news.clone()).await,
            Err(error) => Err(error),
        };
        let Err(error) = sent else { return };
        log::debug!("event=crash_news_failed peer={peer} error={error:?}");
        let Some(delay) = delays.next() else { return };
        tokio::time::sleep(*delay).await;
    }
}

/// Fetches from a daemon all that it knows, if this daemon knows something else.
async fn fetch(crashes: CrashKeeper, statuses: PeerStatuses, peer: SocketAddr) {
    let Ok(connection) = statuses.connection(peer) else { return };
    match connection.crash_records(crashes.digest()).await {
        Ok(Some(records)) => crashes.on_news(BootClock.now(), &records),
        Ok(None) => {}
        Err(error) => log::debug!("event=crash_records_failed peer={peer} error={error:?}"),
    }
}
