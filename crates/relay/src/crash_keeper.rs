//! What this daemon knows of crashes of upstreams: tells a crash from a lost connection, and keeps
//! requests that hold what crashes upstreams from being sent.

use crate::admission::AdmittedRequest;
use crate::assignment::Assignment;
use crate::balancer::Balancer;
use crate::connection::is_refused;
use crate::contact_test;
use crate::metrics::METRICS;
use crate::protocol::UpstreamProtocol;
use crate::relay::{AttemptHistory, Relay, refuse};
use crate::request::{BufferedRequest, Refusal};
use crate::request_log::RequestLog;
use futures_util::future::join_all;
use opentelemetry::KeyValue;
use spindle_policy::crash_ledger::{
    CrashLedger, CrashNews, LedgerChange, LedgerEvent, Verdict, WorkKey,
};
use spindle_policy::upstream_registry::{UpstreamId, UpstreamKey};
use spindle_types::{Clock, Instance, MonotonicInstant};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// When to test again whether a process that has closed a connection is ending.
pub const RECHECK_DELAYS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(150)];

/// Number of other upstreams that are tested to tell a crash from a cut.
pub const OTHERS_TESTED_MAX: usize = 2;

/// Time within which a cut takes effect on all connections.
pub const CUT_SETTLE_TIME: Duration = Duration::from_millis(30);

#[derive(Debug)]
struct State {
    ledger: CrashLedger,
    own: Instance,
    /// Other daemons that may be running.
    others: Vec<Instance>,
    /// Keys whose conviction or release this daemon is to store.
    unsaved: BTreeSet<WorkKey>,
}

/// A response that was lost while it was beginning.
#[derive(Debug)]
struct LostResponse {
    /// Id of the caller's attempt.
    id: String,
    upstream: UpstreamId,
    key: UpstreamKey,
    address: SocketAddr,
    balancer: Balancer,
    /// What the request holds.
    keys: Vec<WorkKey>,
}

/// The crashes that are known here. Clones share all state.
#[derive(Clone, Debug)]
pub struct CrashKeeper {
    state: Arc<Mutex<State>>,
    news: Arc<Notify>,
}

impl CrashKeeper {
    /// Creates the keeper of the daemon on an instance.
    pub fn new(own: Instance) -> Self {
        let state = State {
            ledger: CrashLedger::default(),
            own,
            others: Vec::new(),
            unsaved: BTreeSet::new(),
        };
        Self { state: Arc::new(Mutex::new(state)), news: Arc::default() }
    }

    /// Handles a response that was lost while it was beginning. Whatever the request holds is blamed
    /// if the upstream's process has ended: a new connection is refused then, while other upstreams
    /// are reached. A connection that is cut off or reset, and an upstream that leaves, blame nothing.
    pub(crate) async fn on_lost<K: Clock>(
        &self,
        clock: &K,
        id: &str,
        assignment: &Assignment,
        keys: &[WorkKey],
    ) {
        if keys.is_empty() || assignment.is_leaving() {
            return;
        }
        let lost = LostResponse {
            id: id.to_owned(),
            upstream: assignment.upstream_id.clone(),
            key: assignment.key,
            address: assignment.address,
            balancer: assignment.balancer().clone(),
            keys: keys.to_vec(),
        };
        // In a task of its own, which goes on if the caller disconnects.
        let checking = tokio::spawn(self.clone().check(clock.clone(), lost));
        // An error means that the task panicked, which the runtime logs.
        let _ = checking.await;
    }

    async fn check<K: Clock>(self, clock: K, lost: LostResponse) {
        let is_known = self.state().ledger.has_crashed(&lost.upstream);
        if is_known || is_refused(lost.address).await {
            return self.on_refused(&clock, &lost).await;
        }
        tokio::spawn(async move {
            for delay in RECHECK_DELAYS {
                tokio::time::sleep(delay).await;
                if is_refused(lost.address).await {
                    return self.on_refused(&clock, &lost).await;
                }
            }
            log::info!("event=no_crash id={} upstream={}", lost.id, lost.upstream.instance);
        });
    }

    /// Handles an upstream that refuses connections. If others that have not crashed accept none
    /// either, this daemon is cut off.
    async fn on_refused<K: Clock>(&self, clock: &K, lost: &LostResponse) {
        tokio::time::sleep(CUT_SETTLE_TIME).await;
        let mut others = lost.balancer.others(clock.now(), lost.key);
        others.retain(|(_, upstream, _)| !self.state().ledger.has_crashed(upstream));
        others.truncate(OTHERS_TESTED_MAX);
        let tests = others
            .into_iter()
            .map(|(key, _, address)| contact_test::test(&lost.balancer, clock, key, address));
        if join_all(tests).await.into_iter().all(|reached| reached) {
            let LostResponse { id, upstream, keys, .. } = lost;
            return self.on_crash(clock.now(), id, upstream, keys);
        }
        log::info!(
            "event=no_crash id={} upstream={} cause=others_unreached",
            lost.id,
            lost.upstream.instance
        );
    }

    /// Whether an upstream is known to have crashed.
    pub fn has_crashed(&self, upstream: &UpstreamId) -> bool {
        self.state().ledger.has_crashed(upstream)
    }

    /// Records a crash that this daemon has seen, and what the request held that met it.
    pub fn on_crash(
        &self,
        now: MonotonicInstant,
        id: &str,
        upstream: &UpstreamId,
        keys: &[WorkKey],
    ) {
        log::warn!(
            "event=upstream_crashed id={id} upstream={} born={} keys={}",
            upstream.instance,
            upstream.started_at_ms,
            keys.len(),
        );
        let changes = self.state().ledger.on_crash(now, upstream, keys);
        self.report(&changes, "own");
        self.news.notify_one();
    }

    /// Records a response that went on: what its request holds is sound.
    pub fn on_sound(&self, now: MonotonicInstant, keys: &[WorkKey]) {
        if keys.is_empty() {
            return;
        }
        let changes = self.state().ledger.on_sound(now, keys);
        if !changes.is_empty() {
            self.report(&changes, "own");
            self.news.notify_one();
        }
    }

    /// Whether a request may not be sent, because of something that it holds.
    pub fn verdict(&self, now: MonotonicInstant, id: &str, keys: &[WorkKey]) -> Option<Verdict> {
        if keys.is_empty() {
            return None;
        }
        let mut state = self.state();
        let State { ledger, own, others, .. } = &mut *state;
        let verdict = ledger.verdict(now, keys, |key| {
            let is_prober = key.probed_by(own, others.iter());
            if is_prober {
                log::warn!("event=crash_probe id={id} key={key}");
            }
            is_prober
        })?;
        drop(state);
        METRICS.crash_refusals.add(1, &[]);
        Some(verdict)
    }

    /// Records what another daemon tells.
    pub fn on_news(&self, now: MonotonicInstant, news: &CrashNews) {
        let changes = self.state().ledger.on_news(now, news);
        self.report(&changes, "daemon");
        let verdicts = changes.iter().filter(|change| change.event.is_verdict()).count();
        if !changes.is_empty() {
            // The daemon that saw them logs each key.
            let crashed = news.crashes.iter().map(|crash| crash.upstream.instance.as_str());
            log::info!(
                "event=crash_news_heard changes={} verdicts={verdicts} upstreams={}",
                changes.len(),
                crashed.collect::<Vec<_>>().join(",")
            );
        }
        if verdicts > 0 {
            self.news.notify_one();
        }
    }

    /// Records a conviction that was stored before this daemon started.
    pub fn on_stored(&self, now: MonotonicInstant, evidence: &CrashNews) {
        let changes = self.state().ledger.on_news(now, evidence);
        self.report(&changes, "store");
    }

    /// Takes the keys that this daemon is to store, or to remove if they are no longer convicted.
    pub fn take_unsaved(&self) -> BTreeSet<WorkKey> {
        std::mem::take(&mut self.state().unsaved)
    }

    /// What convicts a key, in the form in which it is stored; none if it is not convicted.
    pub fn stored_conviction(&self, key: WorkKey) -> Option<CrashNews> {
        self.state().ledger.stored_conviction(key)
    }

    /// Waits until there may be something to tell the other daemons.
    pub async fn wait_for_news(&self) {
        self.news.notified().await;
    }

    /// Takes what the other daemons are to be told of.
    pub fn take_untold(&self, now: MonotonicInstant) -> CrashNews {
        self.state().ledger.take_untold(now)
    }

    /// All that is known here, unless a daemon with this digest knows the same.
    pub fn records(&self, now: MonotonicInstant, digest: u64) -> Option<CrashNews> {
        let state = self.state();
        (state.ledger.digest() != digest).then(|| state.ledger.records(now))
    }

    /// A digest of what is known here.
    pub fn digest(&self) -> u64 {
        self.state().ledger.digest()
    }

    /// Sets which other daemons may be running, and forgets what is old. To be called about once a
    /// second.
    pub fn maintain(&self, now: MonotonicInstant, others: Vec<Instance>) {
        let mut state = self.state();
        state.others = others;
        state.ledger.prune(now);
        let convicted = state.ledger.convicted();
        drop(state);
        METRICS.crash_convicted.record(u64::try_from(convicted).unwrap_or(u64::MAX), &[]);
    }

    /// Logs changes, and notes the verdicts that this daemon is to store.
    fn report(&self, changes: &[LedgerChange], source: &'static str) {
        for LedgerChange { key, event, blames, upstream } in changes {
            let upstream = upstream.as_ref().map_or("-", Instance::as_str);
            let name: &'static str = (*event).into();
            METRICS.crash_changes.add(1, &[KeyValue::new("event", name)]);
            match event {
                LedgerEvent::Blamed | LedgerEvent::Acquitted if source == "daemon" => {}
                LedgerEvent::Blamed | LedgerEvent::Acquitted => log::info!(
                    "event=crash_{name} key={key} blames={blames} upstream={upstream} \
                     source={source}"
                ),
                LedgerEvent::Convicted | LedgerEvent::Released => {
                    let mut state = self.state();
                    let State { ledger, own, others, unsaved } = &mut *state;
                    let evidence = ledger.evidence(*key);
                    if source != "store" && key.probed_by(own, others.iter()) {
                        unsaved.insert(*key);
                    }
                    drop(state);
                    log::warn!(
                        "event=crash_{name} key={key} blames={blames} upstreams={evidence} \
                         source={source}"
                    );
                }
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P: UpstreamProtocol, K: Clock> Relay<P, K> {
    /// Refuses a request that holds something that crashes upstreams.
    pub(crate) fn check_crash_causes(
        &self,
        admitted: &AdmittedRequest,
        buffered: &BufferedRequest,
        past: &AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> Result<(), Refusal> {
        let now = self.0.clock.now();
        let verdict = self.0.crashes.verdict(now, &buffered.inbound.id, &admitted.work_keys);
        let Some(verdict) = verdict else { return Ok(()) };
        request_log.cause = format!("crashes_upstreams:{}", verdict.key);
        Err(refuse(past, Refusal::CrashesUpstreams { retry_after: verdict.probe_in }))
    }

    /// Records that the connection was lost before the response went on, which may be because of
    /// what the request holds.
    pub(crate) async fn on_lost_beginning(
        &self,
        assignment: &Assignment,
        admitted: &AdmittedRequest,
        buffered: &BufferedRequest,
    ) {
        let id = &buffered.inbound.id;
        self.0.crashes.on_lost(&self.0.clock, id, assignment, &admitted.work_keys).await;
    }
}
