//! What a daemon has observed of one upstream.

use crate::protocol::ReportedLoad;
use spindle_policy::breaker::{BreakerState, CircuitBreaker};
use spindle_policy::upstream_brittleness::Brittleness;
use spindle_policy::upstream_pause::UpstreamPause;
use spindle_policy::upstream_selection::plain::{REPORTED_LOAD_MAX_AGE, UpstreamReport};
use spindle_types::MonotonicInstant;
use std::collections::HashMap;
use std::time::Duration;

/// How long an engine is assumed to keep a prompt prefix in its cache after this daemon has sent it
/// there. Within this time, computing the prefix again is billed.
const PREFIX_CACHE_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum number of prompt prefixes remembered for one upstream.
const RECENT_PREFIXES_MAX: usize = 256;

/// Time constant with which a measured slowdown decays towards the pace of the service: the
/// difference falls to 1/e. Slow upstreams are tried again by then.
const SLOWDOWN_DECAY: Duration = Duration::from_secs(4);

/// Whether an assigned request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPermission {
    /// It may be sent now.
    Granted,
    /// The upstream is shutting down or gone, or its entry names another version than before.
    Left,
    /// The upstream has named a limit or a pause that permits no request of this daemon now.
    Limited,
}

/// What this daemon has observed of one upstream, beside its registration.
#[derive(Debug, Default)]
pub(crate) struct TrackedUpstream {
    /// Hash of the instance and its start time, the same at every daemon.
    pub(crate) identity: u64,
    pub(crate) breaker: CircuitBreaker,
    pub(crate) pause: UpstreamPause,
    pub(crate) brittleness: Brittleness,
    /// When it was last heard, on any connection.
    pub(crate) heard_at: MonotonicInstant,
    /// Whether the newest connection to it has failed.
    pub(crate) unreached: bool,
    /// This daemon's requests there.
    pub(crate) running: u32,
    /// Prompt processing that this daemon's requests have queued there, in milliseconds.
    pub(crate) queued_ms: f64,
    /// The other daemons' requests there, and their queued prompt processing in milliseconds.
    pub(crate) peer_load: (u32, u32),
    /// Load that the upstream reported last, and when.
    pub(crate) reported_load: Option<(MonotonicInstant, ReportedLoad)>,
    /// When it last refused a request as full, if it has accepted none since.
    pub(crate) refused_at: Option<MonotonicInstant>,
    /// Prompt prefixes sent there, and when last.
    pub(crate) recent_prefixes: HashMap<u64, MonotonicInstant>,
    /// Smoothed ratio of measured to estimated latency, and when it was updated.
    pub(crate) slowdown: Option<(MonotonicInstant, f64)>,
}

impl TrackedUpstream {
    /// The time until this daemon may send a request there, if it may send none now.
    pub(crate) fn wait(&self, now: MonotonicInstant, running: u32, slots: u32) -> Option<Duration> {
        self.pause.left(now).max(self.brittleness.wait(now, running, slots))
    }

    /// The state of its breaker. One that is not reached is tested by connections, not by requests.
    pub(crate) fn breaker_state(&self, now: MonotonicInstant) -> BreakerState {
        if self.unreached {
            return BreakerState::Open { until: now };
        }
        self.breaker.state_at(now)
    }

    pub(crate) fn requests(&self, now: MonotonicInstant) -> u32 {
        let reported = self.report(now).filter(UpstreamReport::is_fresh);
        let counted = self.running.saturating_add(self.peer_load.0);
        reported.map_or(counted, |report| counted.max(report.requests))
    }

    /// The load that the upstream reported last.
    pub(crate) fn report(&self, now: MonotonicInstant) -> Option<UpstreamReport> {
        let (at, load) = self.reported_load?;
        let ReportedLoad { waiting, slots, pace, .. } = load;
        let requests = load.requests();
        Some(UpstreamReport { age: now.since(at), requests, waiting, slots, pace })
    }

    /// Whether it has refused a request as full lately.
    pub(crate) fn is_full(&self, now: MonotonicInstant) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) <= REPORTED_LOAD_MAX_AGE)
    }

    /// Recent ratio of measured to estimated latency of the first byte; 1 means as estimated. `pace`
    /// is the ratio at the engines of the service.
    pub(crate) fn slowdown(&self, now: MonotonicInstant, pace: f64) -> f64 {
        let Some((at, slowdown)) = self.slowdown else { return pace };
        let remaining = (-now.since(at).as_secs_f64() / SLOWDOWN_DECAY.as_secs_f64()).exp();
        pace + (slowdown - pace) * remaining
    }

    pub(crate) fn has_recent_prefix(&self, now: MonotonicInstant, prefix_id: u64) -> bool {
        self.recent_prefixes
            .get(&prefix_id)
            .is_some_and(|at| now.since(*at) <= PREFIX_CACHE_LIFETIME)
    }

    pub(crate) fn on_prefix_sent(&mut self, now: MonotonicInstant, prefix_id: Option<u64>) {
        let Some(prefix_id) = prefix_id else { return };
        if self.recent_prefixes.len() >= RECENT_PREFIXES_MAX {
            self.recent_prefixes.retain(|_, at| now.since(*at) <= PREFIX_CACHE_LIFETIME);
        }
        if self.recent_prefixes.len() < RECENT_PREFIXES_MAX {
            self.recent_prefixes.insert(prefix_id, now);
        }
    }
}
