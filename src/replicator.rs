//! Keeps a replica of every request of this daemon at another daemon, the holder, in another data
//! centre if there is one.
//!
//! One message at a time carries the updates of all requests. Tokens reach their caller only after
//! the replica has them. So a caller that continues at the replica never reads other tokens at an
//! offset than before. When the holder fails, the next holder gets every request in full.

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

/// Capacity of the task's mailbox, in updates.
const MAILBOX: usize = 8_192;

/// Maximum number of updates taken from the mailbox for one message.
const UPDATES_MAX: usize = 1_024;

/// Timeout of a call to the holder.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a daemon that failed as the holder is not chosen again.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// Number of renewals in one lease while there is nothing to send.
const RENEWALS_A_LEASE: u32 = 4;

/// Whether another daemon has received an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Replicated {
    /// The holder has received it.
    Yes,
    /// No other daemon can hold replicas.
    NoHolder,
}

struct PendingUpdate {
    update: RequestUpdate,
    reply: oneshot::Sender<Replicated>,
}

/// Counts of what has been sent to holders since the daemon started.
#[derive(Debug, Default)]
pub struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
    tokens: AtomicU64,
}

impl Traffic {
    /// Numbers of messages, of bytes in them, and of tokens in them.
    pub fn counts(&self) -> [u64; 3] {
        [&self.messages, &self.bytes, &self.tokens].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Handle to the replication task.
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
        let empty = update(id, Attempt(0), length);
        let update = match end {
            AnswerEnd::Complete(ending) => RequestUpdate { ending: Some(ending.clone()), ..empty },
            AnswerEnd::NotRun(_) | AnswerEnd::Unknown(_) => {
                RequestUpdate { dropped: true, ..empty }
            }
        };
        self.send(update).await
    }

    /// Removes the replica of a request.
    pub async fn discard(&self, id: RequestId) {
        self.send(RequestUpdate { dropped: true, ..update(id, Attempt(0), 0) }).await;
    }

    /// Counts of what has been sent to holders.
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

/// The update that gives a holder a whole request with its answer so far.
fn whole_update(snapshot: Snapshot) -> RequestUpdate {
    let Snapshot { id, accepted, attempt, tokens, end } = snapshot;
    let ending = match end {
        Some(AnswerEnd::Complete(ending)) => Some(ending),
        _ => None,
    };
    RequestUpdate { held: held(&accepted), tokens, ending, ..update(id, attempt, 0) }
}

/// Handles that the task needs.
pub(crate) struct Dependencies {
    /// Journal with the requests that this daemon drives.
    pub(crate) journal: Journal,
    /// Daemons of the deployment, from which the holder is chosen.
    pub(crate) members: MemberWatch,
    /// Opens connections to other daemons.
    pub(crate) dialer: Dialer,
    /// Cancelled when the daemon ends.
    pub(crate) life: CancellationToken,
}

/// Starts the task. It ends with the daemon, so that a dead daemon's lease is not renewed.
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
        renewal_interval: settings.replica.lease.get() / RENEWALS_A_LEASE,
        incarnation,
        deps,
        holder: None,
        failed_holders: HashMap::new(),
        traffic: Arc::clone(&traffic),
    };
    tokio::spawn(life.run_until_cancelled_owned(task.run(items)));
    Replicator { mailbox, traffic }
}

struct Task {
    instance: Instance,
    data_centre: DataCentre,
    interval: Duration,
    renewal_interval: Duration,
    incarnation: Incarnation,
    deps: Dependencies,
    holder: Option<(Instance, PeerConnection)>,
    failed_holders: HashMap<Instance, Instant>,
    traffic: Arc<Traffic>,
}

impl Task {
    async fn run(mut self, mut items: mpsc::Receiver<PendingUpdate>) {
        let mut group = Vec::new();
        loop {
            let received = tokio::time::timeout(
                self.renewal_interval,
                items.recv_many(&mut group, UPDATES_MAX),
            )
            .await;
            if received == Ok(0) {
                return;
            }
            let (updates, replies): (Vec<_>, Vec<_>) =
                group.drain(..).map(|PendingUpdate { update, reply }| (update, reply)).unzip();
            let replicated = self.replicate(updates).await;
            for reply in replies {
                // Sending fails only if the request's driver is gone.
                let _ = reply.send(replicated);
            }
            tokio::time::sleep(self.interval).await;
        }
    }

    /// Sends updates to the holder. If it fails, the next holder gets all requests in full first.
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
                batch = self.all_requests().await;
            }
            batch.extend(updates.iter().cloned());
            if self.send(batch).await {
                return Replicated::Yes;
            }
            log::warn!("event=replica_failed instance={}", chosen.instance);
            self.failed_holders.insert(chosen.instance, Instant::now());
            self.holder = None;
        }
    }

    fn choose(&mut self) -> Option<Member> {
        self.failed_holders.retain(|_, at| at.elapsed() < AVOID_TIME);
        let members = self.deps.members.borrow();
        let usable = |member: &&Member| {
            member.instance != self.instance && !self.failed_holders.contains_key(&member.instance)
        };
        let usable: Vec<&Member> = members.iter().filter(usable).collect();
        let holder = self.holder.as_ref().map(|(instance, _)| instance);
        choose_holder(incarnation_tag(self.incarnation), &self.data_centre, holder, &usable)
            .cloned()
    }

    async fn all_requests(&self) -> Vec<RequestUpdate> {
        self.deps.journal.owned_requests().await.into_iter().map(whole_update).collect()
    }

    /// Sends a batch; false if the holder did not apply all of it.
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

    /// Sends in full the requests that the holder lacks, for instance because it has restarted, and
    /// then their updates.
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
