//! A request that is assigned to an upstream, and what is observed of the upstream through it.

use crate::balancer::{Balancer, FIXED_LATENCY_MS, State};
use crate::limits::LimitUse;
use crate::metrics::METRICS;
use crate::protocol::{NamedLimit, ReportedLoad};
use crate::rollout_watch::Observation;
use crate::tracked_upstream::SendPermission;
use opentelemetry::KeyValue;
use spindle_policy::breaker::{BreakerTransition, FailureKind};
use spindle_policy::service_pace::ExpectedWork;
use spindle_policy::upstream_registry::{UpstreamId, UpstreamKey, UpstreamState};
use spindle_types::{MonotonicInstant, SoftwareVersion};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum ratio of measured to estimated latency; its reciprocal is the minimum.
const SLOWDOWN_MAX: f64 = 8.0;

/// Weight of the newest response in the moving average of an upstream's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;

/// A request assigned to an upstream. It counts towards the load there until it is dropped.
#[derive(Debug)]
pub struct Assignment {
    pub(crate) balancer: Balancer,
    /// The chosen upstream.
    pub key: UpstreamKey,
    /// Instance and start time of the upstream; a restarted instance differs in the latter.
    pub upstream_id: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Version of the upstream's software, if it states one.
    pub version: Option<SoftwareVersion>,
    /// When the upstream was chosen.
    pub assigned_at: MonotonicInstant,
    /// Time that processing the prompt adds to the upstream's queue until the response begins, in
    /// milliseconds.
    pub(crate) queued_ms: f64,
    /// Estimated time until the response begins, in milliseconds.
    pub(crate) expected_ms: f64,
    /// Whether the request counts against the limit of the upstream.
    pub(crate) counted: bool,
    /// Whether the request has been sent, at least in part.
    pub(crate) sent: bool,
    /// Whether the estimated time depends on a prompt.
    pub(crate) has_prompt: bool,
    /// What is known of the work of the prompt; none if the first byte says nothing of it.
    pub(crate) work: Option<ExpectedWork>,
    /// What is observed for a rollout; none in deployments without rollouts.
    pub(crate) observation: Option<Box<Observation>>,
}

/// Outcome of an attempt, as far as it concerns the circuit breaker of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamResult {
    /// A complete response other than a server error.
    Answered,
    /// The upstream refused the request without executing it.
    Refused,
    /// A server error, an invalid or incomplete response, or silence for too long.
    Failed,
    /// No connection could be made.
    Unreachable,
}

impl Assignment {
    /// Records the load that the upstream has reported in a response.
    pub fn on_load(&self, now: MonotonicInstant, reported_load: Option<ReportedLoad>) {
        let Some(reported_load) = reported_load else { return };
        if let Some(upstream) = self.balancer.state().upstreams.get_mut(self.key) {
            upstream.reported_load = Some((now, reported_load));
        }
    }

    /// Records whether the upstream has refused a request as full or accepted it.
    pub(crate) fn on_capacity(&self, now: MonotonicInstant, is_full: bool) {
        if let Some(upstream) = self.balancer.state().upstreams.get_mut(self.key) {
            upstream.refused_at = is_full.then_some(now);
        }
    }

    /// Whether the upstream is known to be shutting down or gone.
    pub(crate) fn is_leaving(&self) -> bool {
        let state = self.balancer.state();
        let listed = state.registry.get(self.key);
        listed.is_none_or(|listed| listed.state == UpstreamState::Leaving)
    }

    /// Whether the request may be sent now. Checked right before sending: the upstream may have left
    /// or named a limit since it was chosen.
    pub fn may_send(&mut self, now: MonotonicInstant) -> SendPermission {
        let mut state = self.balancer.state();
        let is_same = state.registry.get(self.key).is_some_and(|listed| {
            listed.usable(now) && listed.registration.version == self.version
        });
        if !is_same {
            return SendPermission::Left;
        }
        let upstream = state.upstreams.get(self.key);
        let slots = state.registry.get(self.key).map_or(0, |listed| listed.registration.slots);
        // This request is counted among those that run there.
        let wait = upstream
            .and_then(|upstream| upstream.wait(now, upstream.running.saturating_sub(1), slots));
        if wait.is_some() {
            return SendPermission::Limited;
        }
        if !self.counted {
            match state.limits.take(now, self.key) {
                Some(false) => return SendPermission::Limited,
                Some(true) => self.counted = true,
                None => {}
            }
        }
        SendPermission::Granted
    }

    /// Records whether the request has been sent, at least in part. A request that was not sent
    /// does not count against the limit of the upstream.
    pub const fn set_sent(&mut self, sent: bool) {
        self.sent = sent;
    }

    /// Records that sending begins.
    pub(crate) fn on_sent(&mut self, now: MonotonicInstant) {
        self.set_sent(true);
        if let Some(observation) = &mut self.observation {
            observation.on_sent(now);
        }
    }

    /// The limit of the upstream, for the logs.
    pub(crate) fn limit_use(&self, now: MonotonicInstant) -> Option<LimitUse> {
        self.balancer.state().limits.in_use(now, self.key)
    }

    /// Records what a response says of the limit of the upstream.
    pub fn on_limit(&self, now: MonotonicInstant, named: NamedLimit) {
        let mut state = self.balancer.state();
        let State { registry, limits, .. } = &mut *state;
        let Some(listed) = registry.get(self.key) else { return };
        if named != NamedLimit::None {
            let service = KeyValue::new("service", listed.registration.service.to_string());
            METRICS.limited_sends.add(1, &[service]);
        }
        let upstream = (self.key, &self.upstream_id.instance);
        limits.on_answer((now, self.assigned_at), upstream, named);
    }

    /// Records whether a response says that the upstream is brittle, and whether it is a rejection.
    pub fn on_brittle(&self, now: MonotonicInstant, rejections: Option<u32>, is_rejection: bool) {
        let mut state = self.balancer.state();
        let Some(upstream) = state.upstreams.get_mut(self.key) else { return };
        if upstream.brittleness.on_answer(now, self.assigned_at, rejections) {
            log::warn!(
                "event=upstream_brittle upstream={} rejections_per_s={}",
                self.upstream_id.instance,
                rejections.map_or(-1, i64::from),
            );
        }
        if is_rejection {
            upstream.brittleness.on_rejected(now, rand::random());
        }
    }

    /// Records the first byte of the response: the prompt has left the queue, and the measured
    /// latency updates the upstream's slowdown. Later calls have no effect.
    pub fn on_first_byte(&mut self, now: MonotonicInstant) {
        let queued_ms = std::mem::take(&mut self.queued_ms);
        let expected_ms = std::mem::take(&mut self.expected_ms);
        if let Some(observation) = &mut self.observation {
            let estimated_ms = (expected_ms - FIXED_LATENCY_MS).max(0.0);
            let expected = Duration::from_secs_f64(estimated_ms / 1e3);
            observation.on_first_byte(now, self.has_prompt.then_some(expected));
        }
        let mut state = self.balancer.state();
        let State { registry, upstreams, paces, .. } = &mut *state;
        let Some(listed) = registry.get(self.key) else { return };
        let Some(upstream) = upstreams.get_mut(self.key) else { return };
        upstream.queued_ms = (upstream.queued_ms - queued_ms).max(0.0);
        let service = &listed.registration.service;
        let measured = now.since(self.assigned_at);
        if let Some(work) = self.work.take() {
            let pace = paces.entry(service.clone()).or_default();
            pace.on_first_byte(now, self.key, work, measured);
        }
        if expected_ms > 0.0 {
            let pace = paces.get(service).map_or(1.0, |pace| pace.pace(now));
            let measured_ms = measured.as_secs_f64() * 1e3 + FIXED_LATENCY_MS;
            let paced_ms = (expected_ms - FIXED_LATENCY_MS) * pace + FIXED_LATENCY_MS;
            let ratio = (measured_ms / paced_ms).clamp(1.0 / SLOWDOWN_MAX, SLOWDOWN_MAX) * pace;
            let slowdown =
                upstream.slowdown(now, pace) * (1.0 - SLOWDOWN_WEIGHT) + ratio * SLOWDOWN_WEIGHT;
            upstream.slowdown = Some((now, slowdown));
        }
    }

    /// Records that the response is no stream: it may begin long before or after its prompt has been
    /// processed, so it says nothing of the pace.
    pub(crate) const fn on_whole_response(&mut self) {
        self.work = None;
    }

    /// Records that the deadline has passed without a response.
    pub(crate) fn on_overdue(&mut self, now: MonotonicInstant) {
        if let Some(observation) = &mut self.observation {
            observation.on_overdue(now);
        }
    }

    /// The balancer that made the assignment.
    pub(crate) const fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// Records that bytes of a response have arrived.
    pub fn on_heard(&self, now: MonotonicInstant) {
        self.balancer.on_heard(now, self.key);
    }

    /// Whether the upstream has sent anything since `time`, on any connection of this daemon.
    pub(crate) fn is_heard_since(&self, time: MonotonicInstant) -> bool {
        let state = self.balancer.state();
        state.upstreams.get(self.key).is_some_and(|upstream| upstream.heard_at >= time)
    }

    /// Records how the attempt ended, which may open or close the circuit breaker of the upstream.
    pub fn on_result(&self, now: MonotonicInstant, result: UpstreamResult) {
        if let Some(observation) = &self.observation {
            observation.on_result(result);
        }
        if result == UpstreamResult::Unreachable {
            return self.balancer.on_connection_failed(now, self.assigned_at, self.key);
        }
        let mut state = self.balancer.state();
        let Some(upstream) = state.upstreams.get_mut(self.key) else { return };
        let transition = match result {
            UpstreamResult::Answered => upstream.breaker.on_success(),
            UpstreamResult::Failed => {
                upstream.breaker.on_failure(now, self.assigned_at, FailureKind::Failed)
            }
            UpstreamResult::Refused | UpstreamResult::Unreachable => BreakerTransition::Unchanged,
        };
        match transition {
            BreakerTransition::Unchanged => {}
            BreakerTransition::Opened => {
                log::warn!("event=breaker_opened upstream={}", self.upstream_id.instance);
            }
            BreakerTransition::Recovered => {
                log::info!("event=breaker_closed upstream={}", self.upstream_id.instance);
            }
        }
    }

    /// Records that the upstream is shutting down, or that its address now belongs to another one.
    pub fn on_leaving(&self, now: MonotonicInstant) {
        self.balancer.on_leaving(now, &self.upstream_id, "answer");
    }

    /// Records that the upstream accepts no requests of this daemon for a time. Returns the time
    /// that is observed.
    pub fn on_pause(&self, now: MonotonicInstant, pause: Duration) -> Duration {
        let mut state = self.balancer.state();
        let upstream = state.upstreams.get_mut(self.key);
        upstream.map_or(Duration::ZERO, |upstream| upstream.pause.on_named(now, pause))
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        let mut state = self.balancer.state();
        if self.counted && !self.sent {
            state.limits.give_back(self.key);
        }
        if let Some(upstream) = state.upstreams.get_mut(self.key) {
            upstream.running = upstream.running.saturating_sub(1);
            upstream.queued_ms = (upstream.queued_ms - self.queued_ms).max(0.0);
        }
    }
}

#[cfg(test)]
mod tests;
