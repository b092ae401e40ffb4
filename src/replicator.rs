//! Keeps a replica of every request of this daemon at another one, in another data centre if there
//! is one.
//!
//! One message at a time carries what is new of all requests. Tokens are handed to their caller
//! only once the replica has them, so that a caller that moves there never reads other tokens at
//! an offset than before. When the holder fails, the next one gets every request anew.

use crate::journal::{AcceptedRequest, AnswerEnd, Journal, Snapshot};
use crate::members::MemberWatch;
use crate::settings::Settings;
use serde_json::value::to_raw_value;
use spindle_daemon::{
    Dialer, PeerConnection, ReplicaClient, ReplicatedRequest, RequestUpdate, RequestUpdates,
};
use spindle_policy::membership::Member;
use spindle_policy::replica::{choose_holder, incarnation_tag};
use spindle_types::{Attempt, DataCentre, Incarnation, Instance, RequestId};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Messages that may wait for the task.
const MAILBOX: usize = 8_192;

/// The most updates that one message carries.
const UPDATES_MAX: usize = 1_024;

/// The time within which the holder must answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a daemon that failed as a holder is not chosen again.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// The part of a lease after which it is renewed if there is nothing to send.
const RENEWALS_A_LEASE: u32 = 4;

/// Whether another daemon has what was to be replicated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Replicated {
    /// It has.
    Yes,
    /// There is no daemon that could.
    NoHolder,
}

struct PendingUpdate {
    update: RequestUpdate,
    reply: oneshot::Sender<Replicated>,
}

/// What has been sent to holders.
#[derive(Debug, Default)]
pub struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
    tokens: AtomicU64,
}

impl Traffic {
    /// Messages, their bytes, and the tokens in them.
    pub fn counts(&self) -> [u64; 3] {
        [&self.messages, &self.bytes, &self.tokens].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Talks to the task.
#[derive(Clone, Debug)]
pub struct Replicator {
    mailbox: mpsc::Sender<PendingUpdate>,
    traffic: Arc<Traffic>,
}

impl Replicator {
    /// Replicates an accepted request.
    pub async fn replicate_request(&self, id: RequestId, accepted: &AcceptedRequest) -> Replicated {
        let update = RequestUpdate { held: held(accepted), ..update(id, Attempt(0), 0) };
        self.send(update).await
    }

    /// Replicates tokens from an offset on.
    pub async fn append(
        &self,
        id: RequestId,
        attempt: Attempt,
        offset: u32,
        tokens: Vec<String>,
    ) -> Replicated {
        self.send(RequestUpdate { tokens, ..update(id, attempt, offset) }).await
    }

    /// Replicates the end of an answer.
    pub async fn end(&self, id: RequestId, length: u32, end: &AnswerEnd) -> Replicated {
        let blank = update(id, Attempt(0), length);
        let update = match end {
            AnswerEnd::Complete(ending) => RequestUpdate { ending: Some(ending.clone()), ..blank },
            AnswerEnd::NotRun(_) | AnswerEnd::Unknown(_) => {
                RequestUpdate { dropped: true, ..blank }
            }
        };
        self.send(update).await
    }

    /// Lets the holder forget a request.
    pub async fn discard(&self, id: RequestId) {
        self.send(RequestUpdate { dropped: true, ..update(id, Attempt(0), 0) }).await;
    }

    /// What has been sent.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    async fn send(&self, update: RequestUpdate) -> Replicated {
        let (reply, answer) = oneshot::channel();
        if self.mailbox.send(PendingUpdate { update, reply }).await.is_err() {
            return Replicated::NoHolder;
        }
        answer.await.unwrap_or(Replicated::NoHolder)
    }
}

fn update(id: RequestId, attempt: Attempt, offset: u32) -> RequestUpdate {
    let tokens = Vec::new();
    RequestUpdate { id, held: None, attempt, offset, tokens, ending: None, dropped: false }
}

fn held(accepted: &AcceptedRequest) -> Option<ReplicatedRequest> {
    let request = to_raw_value(&accepted.completion).ok()?;
    let (team, pool) = (accepted.team.clone(), accepted.pool.clone());
    Some(ReplicatedRequest { team, pool, request })
}

/// Everything that a new holder needs of a request.
fn whole_update(snapshot: Snapshot) -> RequestUpdate {
    let Snapshot { id, accepted, attempt, tokens, end } = snapshot;
    let ending = match end {
        Some(AnswerEnd::Complete(ending)) => Some(ending),
        _ => None,
    };
    RequestUpdate { held: held(&accepted), tokens, ending, ..update(id, attempt, 0) }
}

/// What the task reads and talks to.
pub(crate) struct Dependencies {
    /// The requests of this daemon.
    pub(crate) journal: Journal,
    /// The daemons.
    pub(crate) members: MemberWatch,
    /// Connects to other daemons.
    pub(crate) dialer: Dialer,
    /// Ends with the daemon.
    pub(crate) life: CancellationToken,
}

/// Starts the task; it ends with the daemon, so that the lease is not renewed after its death.
pub(crate) fn start(
    settings: &Settings,
    incarnation: Incarnation,
    deps: Dependencies,
) -> Replicator {
    let (mailbox, items) = mpsc::channel(MAILBOX);
    let traffic = Arc::new(Traffic::default());
    let life = deps.life.clone();
    let task = Task {
        instance: settings.identity.instance.clone(),
        data_centre: settings.identity.data_centre.clone(),
        interval: settings.replica.interval.get(),
        renewal: settings.replica.lease.get() / RENEWALS_A_LEASE,
        incarnation,
        deps,
        holder: None,
        avoided: HashMap::new(),
        traffic: Arc::clone(&traffic),
    };
    tokio::spawn(life.run_until_cancelled_owned(task.run(items)));
    Replicator { mailbox, traffic }
}

struct Task {
    instance: Instance,
    data_centre: DataCentre,
    interval: Duration,
    renewal: Duration,
    incarnation: Incarnation,
    deps: Dependencies,
    holder: Option<(Instance, PeerConnection)>,
    avoided: HashMap<Instance, Instant>,
    traffic: Arc<Traffic>,
}

impl Task {
    async fn run(mut self, mut items: mpsc::Receiver<PendingUpdate>) {
        let mut group = Vec::new();
        loop {
            let received =
                tokio::time::timeout(self.renewal, items.recv_many(&mut group, UPDATES_MAX)).await;
            if received == Ok(0) {
                return;
            }
            let (updates, replies): (Vec<_>, Vec<_>) =
                group.drain(..).map(|PendingUpdate { update, reply }| (update, reply)).unzip();
            let replicated = self.replicate(updates).await;
            for reply in replies {
                // A driver that has gone needs no answer.
                let _ = reply.send(replicated);
            }
            tokio::time::sleep(self.interval).await;
        }
    }

    /// Sends updates to the holder, or everything to the next one if it fails.
    async fn replicate(&mut self, updates: Vec<RequestUpdate>) -> Replicated {
        loop {
            let Some(chosen) = self.choose() else {
                self.holder = None;
                return Replicated::NoHolder;
            };
            let mut batch = Vec::new();
            if self.holder.as_ref().is_none_or(|(instance, _)| *instance != chosen.instance) {
                log::info!("event=replica_holder instance={}", chosen.instance);
                let Ok(client) = self.deps.dialer.connect(chosen.peer, CALL_TIMEOUT) else {
                    return Replicated::NoHolder;
                };
                self.holder = Some((chosen.instance.clone(), client));
                batch = self.everything().await;
            }
            batch.extend(updates.iter().cloned());
            if self.send(batch).await {
                return Replicated::Yes;
            }
            log::warn!("event=replica_failed instance={}", chosen.instance);
            self.avoided.insert(chosen.instance, Instant::now());
            self.holder = None;
        }
    }

    fn choose(&mut self) -> Option<Member> {
        self.avoided.retain(|_, at| at.elapsed() < AVOID_TIME);
        let members = self.deps.members.borrow();
        let usable = |member: &&Member| {
            member.instance != self.instance && !self.avoided.contains_key(&member.instance)
        };
        let usable: Vec<&Member> = members.iter().filter(usable).collect();
        let holder = self.holder.as_ref().map(|(instance, _)| instance);
        choose_holder(incarnation_tag(self.incarnation), &self.data_centre, holder, &usable)
            .cloned()
    }

    async fn everything(&self) -> Vec<RequestUpdate> {
        self.deps.journal.owned_requests().await.into_iter().map(whole_update).collect()
    }

    /// Sends a batch; false if the holder did not take all of it.
    async fn send(&self, batch: Vec<RequestUpdate>) -> bool {
        let Some((_, client)) = &self.holder else {
            return false;
        };
        let tokens: usize = batch.iter().map(|update| update.tokens.len()).sum();
        let updates = RequestUpdates { owner: self.incarnation, updates: batch.clone() };
        let bytes = serde_json::to_vec(&updates).map_or(0, |bytes| bytes.len());
        let Ok(missing) = client.update(updates).await else {
            return false;
        };
        self.traffic.messages.fetch_add(1, Ordering::Relaxed);
        self.traffic.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.traffic.tokens.fetch_add(tokens as u64, Ordering::Relaxed);
        if missing.is_empty() {
            return true;
        }
        self.send_again(client, &missing, batch).await
    }

    /// Sends requests anew that the holder does not hold, for instance because it has restarted,
    /// and then what was new of them.
    async fn send_again(
        &self,
        client: &PeerConnection,
        missing: &[RequestId],
        batch: Vec<RequestUpdate>,
    ) -> bool {
        let mut updates = Vec::new();
        for id in missing {
            updates.extend(self.deps.journal.snapshot(*id).await.map(whole_update));
        }
        updates.extend(batch.into_iter().filter(|update| missing.contains(&update.id)));
        let updates = RequestUpdates { owner: self.incarnation, updates };
        client.update(updates).await.is_ok()
    }
}
