//! Keeps requests that crash upstreams from being sent, on the system's own interface.
//!
//! The decisions are those of [`spindle_policy::crash_ledger`]. Each daemon decides by the crashes
//! that its own requests met, and sends the probes of what it has convicted itself.

use crate::context::Context;
use crate::journal::AcceptedRequest;
use crate::service_call::Call;
use crate::upstreams::Upstreams;
use spindle_policy::crash_ledger::{Verdict, WorkKey};
use spindle_policy::routing::{AttemptEnd, Demand, Route};
use spindle_policy::upstream_registry::UpstreamId;
use spindle_relay::connection::{CONNECT_TIMEOUT, is_refused};
use spindle_relay::crash_keeper::{
    CUT_SETTLE_TIME, CrashKeeper, OTHERS_TESTED_MAX, RECHECK_DELAYS,
};
use spindle_types::{BlockHash, Clock, Instance, Pool, RequestId, Service, Team};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Maximum number of blocks of a prompt that are blamed, from its start on: 4,096 tokens. The blocks
/// of one long prompt must not displace what else is remembered.
const BLOCKS_MAX: usize = 256;

/// Interval at which old crashes are forgotten.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// What a request holds that may crash upstreams.
#[derive(Clone, Debug)]
pub struct Work {
    /// Name of the request in the log.
    id: String,
    keys: Vec<WorkKey>,
    /// Pools whose upstreams can serve the request.
    pools: Vec<Pool>,
}

impl Work {
    /// The work of a generation: its prompt's blocks but the last, and the request as a whole.
    pub fn generation(id: RequestId, accepted: &AcceptedRequest, demand: &Demand) -> Self {
        let AcceptedRequest { team, completion, .. } = accepted;
        let adapter = completion.adapter.as_ref().map_or("", |adapter| adapter.as_str());
        let tokens = completion.max_tokens.to_string();
        let head = [completion.model.as_str(), adapter, &tokens];
        let request =
            WorkKey::request(Some(team), head, std::iter::empty(), completion.prompt.as_bytes());
        // The hash of a block contains the model, so that the name of the service adds nothing.
        let service = Service::try_from("generation");
        let (_, shared) = demand.blocks.split_last().unwrap_or((&BlockHash(0), &[]));
        let parts = service.iter().flat_map(|service| {
            shared.iter().take(BLOCKS_MAX).map(|block| WorkKey::part(service, block.0))
        });
        let keys = parts.chain([request]).collect();
        Self { id: id.to_string(), keys, pools: demand.pools.clone() }
    }

    /// The work of a call to a plain service, which is the call as a whole.
    pub fn call(team: &Team, pool: &Pool, call: &Call) -> Self {
        let head = [pool.as_str(), call.method.as_str(), &call.path];
        let key = WorkKey::request(Some(team), head, std::iter::empty(), &call.body);
        Self { id: key.to_string(), keys: vec![key], pools: vec![pool.clone()] }
    }
}

/// A response that was lost while it was beginning.
struct LostResponse {
    work: Work,
    upstream: UpstreamId,
    address: SocketAddr,
}

/// The causes of crashes that are known here. Clones share all state.
#[derive(Clone, Debug)]
pub struct CrashCauses<C> {
    context: C,
    keeper: CrashKeeper,
    upstreams: Upstreams,
}

impl<C: Context> CrashCauses<C> {
    /// Creates the state of the daemon on an instance.
    pub fn new(context: C, own: Instance, upstreams: Upstreams) -> Self {
        Self { context, keeper: CrashKeeper::new(own), upstreams }
    }

    /// Whether a request may not be sent, because of something that it holds. To be asked only if
    /// the request is sent otherwise, because a probe counts as sent.
    pub fn verdict(&self, work: &Work) -> Option<Verdict> {
        let Work { id, keys, .. } = work;
        let verdict = self.keeper.verdict(self.context.clock().now(), id, keys)?;
        log::info!("event=crash_cause_refused request={id} key={}", verdict.key);
        Some(verdict)
    }

    /// Records a response that went on: what its request holds is sound.
    pub fn on_sound(&self, work: &Work) {
        self.keeper.on_sound(self.context.clock().now(), &work.keys);
    }

    /// Handles a connection that was lost while the response was beginning. What the request holds
    /// is blamed if the upstream's process has ended.
    pub async fn on_lost(&self, work: &Work, route: &Route) {
        if self.upstreams.leaving().borrow().contains(&route.instance) {
            return;
        }
        let lost = LostResponse {
            work: work.clone(),
            upstream: upstream_id(&route.instance),
            address: route.address,
        };
        // In a task of its own, which goes on if the request is dropped.
        let checking = tokio::spawn(self.clone().check(lost));
        // An error means that the task panicked, which the runtime logs.
        let _ = checking.await;
    }

    /// Handles the end of the body of a call's answer.
    pub async fn on_answer_end(&self, work: &Work, route: &Route, end: AttemptEnd) {
        match end {
            AttemptEnd::Completed => self.on_sound(work),
            AttemptEnd::Failed => self.on_lost(work, route).await,
            AttemptEnd::Cancelled | AttemptEnd::Refused | AttemptEnd::Unreachable => {}
        }
    }

    async fn check(self, lost: LostResponse) {
        if self.keeper.has_crashed(&lost.upstream) || is_refused(lost.address).await {
            return self.on_refused(&lost).await;
        }
        tokio::spawn(async move {
            for delay in RECHECK_DELAYS {
                tokio::time::sleep(delay).await;
                if is_refused(lost.address).await {
                    return self.on_refused(&lost).await;
                }
            }
            let LostResponse { work: Work { id, .. }, upstream, .. } = lost;
            log::info!("event=no_crash request={id} upstream={}", upstream.instance);
        });
    }

    /// Handles an upstream that refuses connections. If others that have not crashed accept none
    /// either, this daemon is cut off.
    async fn on_refused(&self, lost: &LostResponse) {
        let LostResponse { work: Work { id, keys, .. }, upstream, .. } = lost;
        tokio::time::sleep(CUT_SETTLE_TIME).await;
        if self.reaches_others(lost).await {
            return self.keeper.on_crash(self.context.clock().now(), id, upstream, keys);
        }
        log::info!(
            "event=no_crash request={id} upstream={} cause=others_unreached",
            upstream.instance
        );
    }

    async fn reaches_others(&self, lost: &LostResponse) -> bool {
        let demand = Demand { pools: lost.work.pools.clone(), ..Demand::default() };
        let mut excluded = vec![lost.upstream.instance.clone()];
        let mut tested = 0;
        while tested < OTHERS_TESTED_MAX {
            let Some(route) = self.upstreams.choose(&demand, &excluded).await else {
                break;
            };
            // Nothing is sent there.
            self.upstreams.end(route.key, AttemptEnd::Cancelled).await;
            let is_known = self.keeper.has_crashed(&upstream_id(&route.instance));
            excluded.push(route.instance);
            if is_known {
                continue;
            }
            tested += 1;
            let connecting = TcpStream::connect(route.address);
            if !matches!(tokio::time::timeout(CONNECT_TIMEOUT, connecting).await, Ok(Ok(_))) {
                return false;
            }
        }
        true
    }
}

/// Identifies an upstream of the own interface. The instance list doesn't say when its process
/// started, so two crashes of one instance count as one.
fn upstream_id(instance: &Instance) -> UpstreamId {
    UpstreamId { instance: instance.clone(), started_at_ms: 0 }
}

/// Starts the task that forgets old crashes.
pub fn start<C: Context>(causes: CrashCauses<C>) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            // No other daemons, because none is told of the crashes: each one sends its own probes.
            causes.keeper.maintain(causes.context.clock().now(), Vec::new());
            // Nobody is to be told of them.
            causes.keeper.take_untold(causes.context.clock().now());
            causes.keeper.take_unsaved();
        }
    })
}

#[cfg(test)]
mod tests;
