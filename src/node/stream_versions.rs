//! Tells other daemons at which software versions the streams of this one are, and asks them about
//! streams that callers take up here.

use super::boot_clock::BootClock;
use super::status_exchange::PeerStatuses;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use spindle_daemon::{PeerConnection, StatusExchangeClient};
use spindle_policy::stream_versions::{
    KnownVersions, StreamAnswer, StreamQuestion, StreamRecords, VersionSource, decide, keepers,
};
use spindle_relay::stream_keeper::{PendingQuestion, StreamKeeper};
use spindle_types::{Clock, DataCentre, Instance, SoftwareVersion};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval at which other daemons are told of new streams. Shorter than the time until the first
/// event of most streams.
const TELL_INTERVAL: Duration = Duration::from_millis(50);

/// How long the answers of other daemons are awaited. Several round trips between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The same if all that this daemon knows says which version it is.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(40);

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

/// Tells and asks other daemons.
#[derive(Debug)]
pub struct StreamVersionExchange {
    own: (Instance, DataCentre),
    clock: BootClock,
    keeper: StreamKeeper,
    statuses: PeerStatuses,
    /// Messages to each daemon, which are sent one after the other.
    outboxes: HashMap<SocketAddr, mpsc::Sender<Vec<StreamRecords>>>,
}

impl StreamVersionExchange {
    /// Creates an exchange for the daemon on an instance.
    pub fn new(
        own: (Instance, DataCentre),
        clock: BootClock,
        keeper: StreamKeeper,
        statuses: PeerStatuses,
    ) -> Self {
        Self { own, clock, keeper, statuses, outboxes: HashMap::new() }
    }

    /// Answers the relay's questions and tells other daemons of streams, until the process exits.
    pub async fn run(mut self, mut questions: mpsc::Receiver<PendingQuestion>) {
        let mut ticks = tokio::time::interval(TELL_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut history_ticks = tokio::time::interval(HISTORY_INTERVAL);
        history_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = history_ticks.tick() => self.ask_history(),
                _ = ticks.tick() => self.tell(),
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
        let now = self.clock.now();
        let known = self.statuses.versions(now, &question.service);
        let peers = self.statuses.live_peers(now);
        let connections: Vec<PeerConnection> =
            peers.iter().filter_map(|peer| self.statuses.connection(peer.address).ok()).collect();
        tokio::spawn(async move {
            let asked = connections.len();
            let (version, source) = collect_answers(&known, connections, &question).await;
            log::info!(
                "event=stream_version id={id} service={} version={} source={source} asked={asked} \
                 seen={}",
                question.service,
                version.as_ref().map_or("-", SoftwareVersion::as_str),
                known.seen.len(),
            );
            // An error means that the caller has disconnected.
            let _ = reply.send((version, source));
        });
    }
}

/// Asks daemons until one has a record, or all have answered or had time to.
async fn collect_answers(
    known: &KnownVersions,
    connections: Vec<PeerConnection>,
    question: &StreamQuestion,
) -> (Option<SoftwareVersion>, VersionSource) {
    let mut calls: FuturesUnordered<_> = connections
        .into_iter()
        .map(|connection| async move { connection.stream_version(question.clone()).await })
        .collect();
    let timeout = if known.sole.is_some() { CONFIRM_TIMEOUT } else { ANSWER_TIMEOUT };
    let mut answers: Vec<StreamAnswer> = Vec::new();
    let collecting = async {
        while let Some(answer) = calls.next().await {
            match answer {
                Ok(answer) => {
                    let has_record = answer.version.is_some();
                    answers.push(answer);
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
    decide(known, &answers)
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
