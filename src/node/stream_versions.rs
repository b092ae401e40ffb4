//! Tells other daemons at which software versions the streams of this one are, and asks them about
//! streams that callers take up here.

use super::boot_clock::BootClock;
use super::status_exchange::PeerStatuses;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use spindle_daemon::{PeerConnection, StatusExchangeClient};
use spindle_policy::stream_versions::{
    StreamAnswer, StreamQuestion, StreamRecords, decide, keepers, stores_records,
};
use spindle_relay::Balancer;
use spindle_relay::backends::{Store, StoredVersions};
use spindle_relay::stream_keeper::{PendingQuestion, StreamKeeper};
use spindle_types::{Clock, DataCentre, Instance, MonotonicInstant, SoftwareVersion};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval at which other daemons are told of new streams. Shorter than the time until the first
/// event of most streams.
const TELL_INTERVAL: Duration = Duration::from_millis(50);

/// How long the answers of other daemons are awaited. Several round trips between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The same if all that this daemon knows says which version it is.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(40);

/// How long a read of the store is awaited that tells whether there are other versions by now.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a daemon that started lately asks another one for the versions of the time
/// before.
const HISTORY_INTERVAL: Duration = Duration::from_millis(500);

/// Messages that may wait for one daemon.
const OUTBOX_MAX: usize = 64;

/// The address of another daemon, and where it is.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Instance of the daemon.
    pub instance: Instance,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address for other daemons.
    pub address: SocketAddr,
}

/// Interval at which records are stored.
const STORE_INTERVAL: Duration = Duration::from_millis(250);

/// How long a daemon keeps records that another one is to store: until it notices that this one is
/// gone.
const STORE_TAKEOVER: Duration = Duration::from_secs(3);

/// Delay after which a call to the store that failed is made again.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Tells and asks other daemons, and stores what is to outlive all of them.
#[derive(Debug)]
pub struct StreamVersionExchange<S> {
    own: (Instance, DataCentre),
    clock: BootClock,
    keeper: StreamKeeper,
    statuses: PeerStatuses,
    balancer: Balancer,
    store: S,
    /// The versions that the store holds.
    stored: Arc<Mutex<Stored>>,
    /// Messages to each daemon, which are sent one after the other.
    outboxes: HashMap<SocketAddr, mpsc::Sender<Vec<StreamRecords>>>,
}

/// What this daemon knows of the versions in the store.
#[derive(Debug, Default)]
struct Stored {
    /// The versions as of the last read or write; none before the first read.
    seen: Option<Option<StoredVersions>>,
    /// Whether a write is in progress.
    is_writing: bool,
    /// Whether this daemon needs what was stored no longer.
    is_settled: bool,
}

impl<S: Store> StreamVersionExchange<S> {
    /// Creates an exchange for the daemon on an instance.
    pub fn new(
        own: (Instance, DataCentre),
        clock: BootClock,
        keeper: StreamKeeper,
        statuses: PeerStatuses,
        (balancer, store): (Balancer, S),
    ) -> Self {
        let stored = Arc::default();
        Self { own, clock, keeper, statuses, balancer, store, stored, outboxes: HashMap::new() }
    }

    /// Answers the relay's questions and tells other daemons of streams, until the process exits.
    pub async fn run(mut self, mut questions: mpsc::Receiver<PendingQuestion>) {
        let stored = Arc::clone(&self.stored);
        tokio::spawn(load(self.store.clone(), self.clock, self.keeper.clone(), stored));
        let mut store_ticks = tokio::time::interval(STORE_INTERVAL);
        store_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = tokio::time::interval(TELL_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut history_ticks = tokio::time::interval(HISTORY_INTERVAL);
        history_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = history_ticks.tick() => {
                    self.ask_history();
                    self.store_history();
                }
                _ = store_ticks.tick() => self.store_streams(),
                _ = ticks.tick() => {
                    self.adopt_stored();
                    self.tell();
                }
                question = questions.recv() => match question {
                    Some(question) => self.ask(question),
                    None => return,
                },
            }
        }
    }

    /// Asks another daemon for the versions of the time before this one started, while that matters.
    fn ask_history(&self) {
        let now = self.clock.now();
        if self.statuses.knows_versions(now) {
            return;
        }
        if let Some(peer) = self.statuses.live_peers(now).choose(&mut rand::rng()) {
            tokio::spawn(self.statuses.clone().adopt_history(peer.address));
        }
    }

    /// Adopts the stored versions as soon as this daemon has read them and all registrations.
    fn adopt_stored(&self) {
        let mut stored = self.stored();
        let now = self.clock.now();
        let Some(Some(seen)) = stored.seen.as_ref().filter(|_| !stored.is_settled) else { return };
        let settled = self.balancer.adopt_stored(now, seen) || self.statuses.knows_versions(now);
        stored.is_settled = settled;
    }

    /// Whether this daemon is the one that stores for all.
    fn stores(&self, now: MonotonicInstant) -> bool {
        let peers = self.statuses.live_peers(now);
        stores_records(&self.own.0, peers.iter().map(|peer| &peer.instance))
    }

    /// Stores the versions that streams may have begun at, if they have changed. Only a daemon that
    /// knows all of them does.
    fn store_history(&self) {
        let now = self.clock.now();
        if !self.statuses.knows_versions(now) || !self.stores(now) {
            return;
        }
        let seen: StoredVersions = self.balancer.all_versions();
        let mut stored = self.stored();
        let is_known = stored.seen.as_ref().is_some_and(|known| known.as_ref() == Some(&seen));
        if stored.seen.is_none() || is_known || stored.is_writing || seen.is_empty() {
            return;
        }
        stored.is_writing = true;
        drop(stored);
        let (store, stored) = (self.store.clone(), Arc::clone(&self.stored));
        tokio::spawn(async move {
            let result = store.publish_versions(&seen).await;
            log::info!("event=versions_stored versions={} result={result:?}", seen.len());
            let mut stored = stored.lock().unwrap_or_else(PoisonError::into_inner);
            stored.is_writing = false;
            if result.is_ok() {
                stored.seen = Some(Some(seen));
            }
        });
    }

    /// Stores the versions of streams that daemons have told each other of.
    fn store_streams(&self) {
        let now = self.clock.now();
        if !self.stores(now) {
            return self.keeper.drop_unstored(now, STORE_TAKEOVER);
        }
        let records = self.keeper.take_unstored(now);
        if records.is_empty() {
            return;
        }
        let store = self.store.clone();
        tokio::spawn(async move {
            if let Err(error) = store.publish_streams(&records).await {
                log::warn!("event=streams_unstored batches={} error={error:?}", records.len());
            }
        });
    }

    fn stored(&self) -> MutexGuard<'_, Stored> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&mut self) {
        let now = self.clock.now();
        let records = self
            .keeper
            .take_untold(now, |service| self.statuses.versions(now, service).sole.is_some());
        if records.is_empty() {
            return;
        }
        let peers = self.statuses.live_peers(now);
        let own = (&self.own.0, &self.own.1);
        let chosen = keepers(own, peers.iter().map(|peer| (&peer.instance, &peer.data_centre)));
        let storing = peers.iter().map(|peer| &peer.instance).filter(|instance| {
            let others = peers.iter().map(|peer| &peer.instance).chain([&self.own.0]);
            stores_records(instance, others.filter(|other| other != instance))
        });
        let chosen: Vec<&Instance> = chosen.into_iter().chain(storing).collect();
        let addresses: Vec<SocketAddr> = peers
            .iter()
            .filter(|peer| chosen.contains(&&peer.instance))
            .map(|peer| peer.address)
            .collect();
        self.outboxes.retain(|address, _| addresses.contains(address));
        for address in addresses {
            let outbox = self.outboxes.entry(address).or_insert_with(|| {
                let (sender, receiver) = mpsc::channel(OUTBOX_MAX);
                tokio::spawn(send_records(self.statuses.clone(), address, receiver));
                sender
            });
            if outbox.try_send(records.clone()).is_err() {
                log::debug!("event=stream_records_dropped peer={address}");
            }
        }
    }

    fn ask(&self, pending: PendingQuestion) {
        let PendingQuestion { id, question, reply } = pending;
        self.adopt_stored();
        let now = self.clock.now();
        let known = self.statuses.versions(now, &question.service);
        let peers = self.statuses.live_peers(now);
        let connections: Vec<(Instance, PeerConnection)> = peers
            .into_iter()
            .filter_map(|peer| Some((peer.instance, self.statuses.connection(peer.address).ok()?)))
            .collect();
        let statuses = self.statuses.clone();
        tokio::spawn(async move {
            let asked = connections.len();
            let timeout = if known.sole.is_some() { CONFIRM_TIMEOUT } else { ANSWER_TIMEOUT };
            let (answered, answers) = collect_answers(connections, &question, timeout).await;
            let has_record = answers.iter().any(|answer| answer.version.is_some());
            let sole = known.sole.as_ref().or_else(|| answers.first()?.sole.as_ref());
            // One that doesn't know of an only version may have heard of another one.
            let mut is_confirmed = answers.iter().all(|answer| answer.sole.as_ref() == sole)
                && statuses.possible_peers(now).iter().all(|possible| answered.contains(possible));
            if !is_confirmed && !has_record && sole.is_some() {
                is_confirmed = statuses.read_upstreams_after(now, READ_TIMEOUT).await;
            }
            let known = statuses.versions(BootClock.now(), &question.service);
            let (version, source) = decide(&known, &answers, is_confirmed);
            log::info!(
                "event=stream_version id={id} service={} version={} source={source} asked={asked} \
                 answered={} confirmed={is_confirmed} seen={}",
                question.service,
                version.as_ref().map_or("-", SoftwareVersion::as_str),
                answered.len(),
                known.seen.len(),
            );
            // An error means that the caller has disconnected.
            let _ = reply.send((version, source));
        });
    }
}

/// Reads what was stored before this daemon started.
async fn load<S: Store>(
    store: S,
    clock: BootClock,
    keeper: StreamKeeper,
    stored: Arc<Mutex<Stored>>,
) {
    loop {
        match (store.stored_versions().await, store.stored_streams().await) {
            (Ok(seen), Ok(records)) => {
                let now = clock.now();
                records.iter().for_each(|told| keeper.on_stored(now, told));
                log::info!(
                    "event=versions_read versions={} batches={}",
                    seen.as_ref().map_or(0, Vec::len),
                    records.len()
                );
                let mut stored = stored.lock().unwrap_or_else(PoisonError::into_inner);
                stored.seen = Some(seen);
                return;
            }
            (seen, records) => {
                log::info!(
                    "event=versions_unread error={:?}",
                    seen.err().or_else(|| records.err())
                );
            }
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
}

/// Asks daemons until one has a record, or all have answered or had time to. Also returns which have
/// answered.
async fn collect_answers(
    connections: Vec<(Instance, PeerConnection)>,
    question: &StreamQuestion,
    timeout: Duration,
) -> (Vec<Instance>, Vec<StreamAnswer>) {
    let mut calls: FuturesUnordered<_> = connections
        .into_iter()
        .map(|(instance, connection)| async move {
            (instance, connection.stream_version(question.clone()).await)
        })
        .collect();
    let (mut answered, mut answers) = (Vec::new(), Vec::new());
    let collecting = async {
        while let Some((instance, answer)) = calls.next().await {
            match answer {
                Ok(answer) => {
                    let has_record = answer.version.is_some();
                    answers.push(answer);
                    answered.push(instance);
                    if has_record {
                        return;
                    }
                }
                Err(error) => log::debug!("event=stream_question_failed error={error:?}"),
            }
        }
    };
    // What has been answered by then is used.
    let _ = tokio::time::timeout(timeout, collecting).await;
    (answered, answers)
}

/// Sends messages to a daemon until it is no longer chosen.
async fn send_records(
    statuses: PeerStatuses,
    peer: SocketAddr,
    mut messages: mpsc::Receiver<Vec<StreamRecords>>,
) {
    while let Some(mut records) = messages.recv().await {
        while let Ok(more) = messages.try_recv() {
            records.extend(more);
        }
        let sent = match statuses.connection(peer) {
            Ok(connection) => connection.keep_streams(records).await,
            Err(error) => Err(error),
        };
        if let Err(error) = sent {
            log::debug!("event=stream_records_failed peer={peer} error={error:?}");
        }
    }
}
