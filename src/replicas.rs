//! Holds replicas for other daemons, and takes over their requests when they die or stop.

use crate::answer_reader;
use crate::context::Context;
use crate::daemon::Shared;
use crate::generation;
use crate::journal::{AcceptedRequest, AnswerEnd, Appended, Owner};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use serde_json::value::to_raw_value;
use spindle_daemon::{
    ReadReply, ReadRequest, ReplicaClient, ReplicaServer, ReplicatedRequest, RequestUpdate,
    RequestUpdates,
};
use spindle_types::{Incarnation, Instance, RequestId, Team};
use std::sync::{Arc, Weak};
use std::time::Duration;

/// JSON-RPC error code with which a daemon that has ended answers.
const DAEMON_ENDED_CODE: i32 = -32_001;

/// Interval of the check for lapsed leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time within which a daemon whose lease has lapsed must answer a probe to count as alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// JSON-RPC service for the replicas of other daemons.
#[derive(Debug)]
pub struct ReplicaService<C>(pub Arc<Shared<C>>);

#[async_trait]
impl<C: Context> ReplicaServer for ReplicaService<C> {
    async fn update(&self, updates: RequestUpdates) -> RpcResult<Vec<RequestId>> {
        self.check_alive()?;
        let RequestUpdates { owner, updates } = updates;
        self.0.journal.renew(owner).await;
        let mut missing = Vec::new();
        for update in updates {
            let id = update.id;
            if self.apply(owner, update).await == Appended::Missing {
                missing.push(id);
            }
        }
        Ok(missing)
    }

    async fn adopt(&self, ids: Vec<RequestId>) -> RpcResult<Vec<RequestId>> {
        self.check_alive()?;
        let taken = self.0.journal.take_over(ids).await;
        resume_all(&self.0, &taken).await;
        Ok(taken)
    }

    async fn describe(&self, id: RequestId, team: Team) -> RpcResult<Option<ReplicatedRequest>> {
        self.check_alive()?;
        let Some((accepted, _)) = self.0.journal.attach(id, team).await else {
            return Ok(None);
        };
        let (team, pool) = (accepted.team.clone(), accepted.pool.clone());
        let request = to_raw_value(&accepted.completion).ok();
        Ok(request.map(|request| ReplicatedRequest { team, pool, request }))
    }

    async fn read(&self, request: ReadRequest) -> RpcResult<ReadReply> {
        self.check_alive()?;
        Ok(answer_reader::read_for_peer(&self.0.journal, request).await)
    }

    async fn leaving(&self, instance: Instance) -> RpcResult<()> {
        self.0.upstreams.mark_leaving(instance).await;
        Ok(())
    }
}

impl<C: Context> ReplicaService<C> {
    /// Refuses calls that arrive over connections that are still open after the daemon has ended.
    fn check_alive(&self) -> RpcResult<()> {
        if self.0.shutdown.is_cancelled() {
            return Err(ErrorObjectOwned::owned(
                DAEMON_ENDED_CODE,
                "the daemon has ended",
                None::<()>,
            ));
        }
        Ok(())
    }

    async fn apply(&self, owner: Incarnation, update: RequestUpdate) -> Appended {
        let journal = &self.0.journal;
        let RequestUpdate { id, held, attempt, offset, tokens, ending, dropped } = update;
        if dropped {
            journal.remove_replica(id, owner).await;
            return Appended::Applied;
        }
        if let Some(held) = held {
            let Ok(completion) = serde_json::from_str(held.request.get()) else {
                log::warn!("event=replica_invalid request={id}");
                return Appended::Applied;
            };
            let accepted = AcceptedRequest { team: held.team, pool: held.pool, completion };
            journal.open(id, Arc::new(accepted), Owner::Remote(owner)).await;
        }
        let appended = journal.append_replica(id, owner, attempt, offset, tokens).await;
        if let (Appended::Applied, Some(ending)) = (appended, ending) {
            journal.end_replica(id, owner, AnswerEnd::Complete(ending)).await;
        }
        appended
    }
}

/// Starts the task that watches for lapsed leases; it ends with the daemon.
pub fn watch<C: Context>(shared: &Arc<Shared<C>>) -> tokio::task::JoinHandle<()> {
    let shared = Arc::downgrade(shared);
    tokio::spawn(watch_leases(shared))
}

async fn watch_leases<C: Context>(shared: Weak<Shared<C>>) {
    let mut ticks = tokio::time::interval(LEASE_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        for owner in shared.journal.lapsed_owners().await {
            on_lapsed(&shared, owner).await;
        }
    }
}

/// Handles a lapsed lease. If the daemon still answers, it has found another holder, and its
/// replicas here are removed. Otherwise it is dead, and its requests are taken over.
async fn on_lapsed<C: Context>(shared: &Arc<Shared<C>>, owner: Incarnation) {
    if is_alive(shared, owner).await {
        shared.journal.discard_replicas(owner).await;
        return;
    }
    let taken = shared.journal.take_over_from(owner).await;
    log::info!("event=take_over owner={owner} requests={}", taken.len());
    resume_all(shared, &taken).await;
}

async fn is_alive<C: Context>(shared: &Shared<C>, owner: Incarnation) -> bool {
    let member = {
        let members = shared.members.borrow();
        members.iter().find(|member| member.incarnation == Some(owner)).cloned()
    };
    let Some(client) =
        member.and_then(|member| shared.dialer.connect(member.peer, PROBE_TIMEOUT).ok())
    else {
        return false;
    };
    let probe = RequestUpdates { owner: shared.incarnation, updates: Vec::new() };
    client.update(probe).await.is_ok()
}

async fn resume_all<C: Context>(shared: &Arc<Shared<C>>, ids: &[RequestId]) {
    for id in ids {
        if let Some(snapshot) = shared.journal.snapshot(*id).await {
            generation::resume(Arc::clone(shared), snapshot).await;
        }
    }
}
