//! Rollouts as one daemon follows them: which upstreams may get new work, and what is observed of the
//! old and the new version of a service while a rollout runs.
//!
//! Without rollouts in the deployment a [`RolloutWatch`] holds nothing and costs one check a request.
//! With them, the requests in flight are counted by route and version all the time, because a rollout
//! ends only when none is left at the old version. Responses are counted only while a rollout runs.

use crate::assignment::{Assignment, UpstreamResult};
use crate::config::Route;
use crate::metrics::METRICS;
use opentelemetry::KeyValue;
use spindle_policy::rollout::{
    Evidence, EvidenceMap, NewWork, Response, RolloutStep, RolloutView, Stage, Verdict,
    VersionSeen, VersionsSeen, request_draw,
};
use spindle_policy::rollout_status::{EVIDENCE_MAX, EvidenceKey, RolloutReport, SERVICES_MAX};
use spindle_types::{Instance, MonotonicInstant, RequestId, Service, SoftwareVersion, UtcInstant};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_128;

/// How long responses are counted after the last step of a rollout.
const COUNTED_AFTER_END: Duration = Duration::from_secs(10);

/// The number of events from which on a stream counts as answered, before it ends: long streams would
/// otherwise tell of a slow version too late.
const EVENTS_JUDGED: u64 = 24;

/// The draw of a request that takes no part in a trial: the largest below 1.
const DRAW_OUTSIDE: f64 = 1.0 - f64::EPSILON;

/// The time to the first byte, in milliseconds, that stands for one as long as estimated.
const ESTIMATED_MS: f64 = 64.0;

/// Added to the measured and the estimated time of prompts, in milliseconds, so that the fixed part of
/// short ones doesn't distort their ratio.
const FIXED_MS: f64 = 5.0;

/// The lower bound of the ratio of measured to estimated time. A prompt whose prefix another daemon
/// has sent before takes a fraction of the estimate at the old version; at the new one its prefix is
/// still to be computed, which doesn't make the version slow.
const RATIO_MIN: f64 = 0.5;

/// Reports by service.
pub type ServiceReports = Vec<(Service, RolloutReport)>;

/// The upstreams that may get a new request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Eligible {
    /// By their version.
    pub versions: NewWork,
    /// The step whose choice of upstreams is binding too, if the request takes part in a trial.
    pub trial: Option<Arc<RolloutStep>>,
}

/// The draw of a request, which is the same at each daemon.
pub(crate) fn draw_of(id: &str) -> f64 {
    request_draw(RequestId(xxh3_128(id.as_bytes())))
}

/// Requests of one route.
#[derive(Debug, Default)]
struct RouteCounts {
    /// Sent since the start of the daemon; sent again, they count once.
    sent: u64,
    /// In flight, by the version of the upstream.
    in_flight: BTreeMap<Option<SoftwareVersion>, u32>,
}

#[derive(Debug, Default)]
struct ServiceWatch {
    versions: VersionsSeen,
    routes: BTreeMap<String, RouteCounts>,
    /// The responses since the step of this first sequence.
    evidence: (u64, EvidenceMap),
    /// When this daemon heard of the last step of the rollout.
    ended_at: Option<MonotonicInstant>,
    /// The first sequence of the order whose target was found bad here.
    convicted: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    view: RolloutView,
    services: HashMap<Service, ServiceWatch>,
}

/// What a daemon knows of rollouts. Clones share all state.
#[derive(Clone, Debug, Default)]
pub struct RolloutWatch(Option<Arc<Mutex<State>>>);

impl RolloutWatch {
    /// For a deployment with rollouts. The default is for one without.
    pub fn enabled() -> Self {
        Self(Some(Arc::default()))
    }

    /// Whether the deployment has rollouts.
    pub const fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// The upstreams of a service that may get a new request. One that has been sent to a trial's
    /// target before is `outside`: it goes on at the old version, so that it doesn't count twice
    /// against the target's share.
    pub(crate) fn eligible(
        &self,
        now: MonotonicInstant,
        service: &Service,
        route: &Route,
        (draw, outside): (f64, bool),
    ) -> Eligible {
        let Some(state) = self.state() else { return Eligible::default() };
        let Some(known) = state.services.get(service) else { return Eligible::default() };
        let permits = |draw| state.view.permits(now, service, &route.name, draw, &known.versions);
        let others = permits(DRAW_OUTSIDE);
        if outside {
            return Eligible { versions: others, trial: None };
        }
        let versions = permits(draw);
        let step = state.view.step(service).filter(|_| versions != others);
        Eligible { trial: step.cloned().map(Arc::new), versions }
    }

    /// Sets the usable upstreams of a service: the version of each, if it states one, when it
    /// started, in milliseconds since 1970, and its number of slots.
    pub(crate) fn on_upstreams(
        &self,
        now: MonotonicInstant,
        service: &Service,
        upstreams: &[(Option<SoftwareVersion>, u64, u32)],
    ) {
        let Some(mut state) = self.state() else { return };
        let State { view, services } = &mut *state;
        if upstreams.is_empty() && !services.contains_key(service) {
            return;
        }
        let known = services.entry(service.clone()).or_default();
        let is_target = |version: &Option<SoftwareVersion>| {
            view.step(service).is_some_and(|step| Some(&step.order.target) == version.as_ref())
        };
        let versions = &mut known.versions.0;
        versions.iter_mut().for_each(|seen| seen.upstreams = 0);
        for (version, started_at_ms, slots) in upstreams {
            let started_at = UtcInstant(*started_at_ms);
            match versions.iter_mut().find(|seen| seen.version == *version) {
                Some(seen) => {
                    let is_first = seen.upstreams == 0 || started_at < seen.started_at;
                    seen.started_at = if is_first { started_at } else { seen.started_at };
                    seen.slots = if seen.upstreams == 0 { *slots } else { seen.slots.min(*slots) };
                    seen.upstreams += 1;
                }
                None => {
                    let version = version.clone();
                    if !versions.is_empty() && !is_target(&version) {
                        let version = version.as_ref().map_or("-", SoftwareVersion::as_str);
                        log::info!("event=version_held service={service} version={version}");
                    }
                    versions.push(VersionSeen {
                        version,
                        upstreams: 1,
                        slots: *slots,
                        started_at,
                        first_seen: now,
                    });
                }
            }
        }
        versions.retain(|seen| seen.upstreams > 0);
    }

    /// The versions of the upstreams of a service.
    pub fn versions(&self, service: &Service) -> VersionsSeen {
        let state = self.state();
        let known = state.as_ref().and_then(|state| state.services.get(service));
        known.map(|known| known.versions.clone()).unwrap_or_default()
    }

    /// Records a heartbeat of a daemon that holds the lease, with the steps that it confirms. The
    /// heartbeat was made at `made_at`, and the orders listed at `listed_at`.
    pub fn on_holder<'a>(
        &self,
        now: MonotonicInstant,
        (made_at, listed_at): (MonotonicInstant, MonotonicInstant),
        steps: impl Iterator<Item = &'a RolloutStep>,
    ) {
        let Some(mut state) = self.state() else { return };
        for step in steps {
            state.on_step(now, step, made_at);
        }
        state.view.on_holder(listed_at);
    }

    /// The newest steps that this daemon knows.
    pub fn steps(&self) -> Vec<RolloutStep> {
        let Some(state) = self.state() else { return Vec::new() };
        state.services.keys().filter_map(|service| state.view.step(service).cloned()).collect()
    }

    /// The services whose responses are counted, with the first sequence of the order.
    pub fn counted(&self, now: MonotonicInstant) -> Vec<(Service, u64)> {
        let Some(state) = self.state() else { return Vec::new() };
        let counted = state.services.iter().filter_map(|(service, known)| {
            let step = state.view.step(service)?;
            known.is_counted(now).then(|| (service.clone(), step.first_sequence))
        });
        counted.collect()
    }

    /// The newest step of a service, while its rollout runs and shortly after.
    pub fn recent_step(&self, now: MonotonicInstant, service: &Service) -> Option<RolloutStep> {
        let state = self.state()?;
        let known = state.services.get(service)?;
        state.view.step(service).filter(|_| known.is_counted(now)).cloned()
    }

    /// The responses to this daemon's requests for a service since the order of first sequence
    /// `order`.
    pub fn evidence(&self, service: &Service, order: u64) -> EvidenceMap {
        let state = self.state();
        let known = state.as_ref().and_then(|state| state.services.get(service));
        let evidence =
            known.map(|known| &known.evidence).filter(|(of_order, _)| *of_order == order);
        evidence.map(|(_, evidence)| evidence.clone()).unwrap_or_default()
    }

    /// Judges the evidence of all daemons on the order of a service.
    pub fn on_evidence(&self, now: MonotonicInstant, service: &Service, evidence: &EvidenceMap) {
        let Some(mut state) = self.state() else { return };
        let State { view, services } = &mut *state;
        let Some(known) = services.get_mut(service) else { return };
        let Verdict::Bad { reason, route } = view.on_evidence(now, service, evidence) else {
            return;
        };
        let Some(step) = view.step(service) else { return };
        if known.convicted.replace(step.first_sequence) != Some(step.first_sequence) {
            log::warn!(
                "event=rollout_convicted service={service} target={} stage={} reason={reason} \
                 route={route} answers={}",
                step.order.target,
                step.stage,
                evidence.target_answers(),
            );
        }
    }

    /// Records that the holder of the lease stopped the order of first sequence `order`.
    pub fn on_stop(&self, service: &Service, order: u64) {
        let Some(mut state) = self.state() else { return };
        if state.view.on_stop(service, order) {
            log::warn!("event=rollout_stopped service={service} order={order}");
        }
    }

    /// What the other daemons are told of this one's requests: a report of each service with a
    /// rollout, and the evidence.
    pub fn reports(&self, now: MonotonicInstant) -> (ServiceReports, Vec<(EvidenceKey, Evidence)>) {
        let (mut reports, mut entries) = (Vec::new(), Vec::new());
        let Some(state) = self.state() else { return (reports, entries) };
        let mut services: Vec<_> = state.services.iter().collect();
        services.sort_by_key(|(service, _)| *service);
        for (service, known) in services {
            let Some(step) = state.view.step(service).filter(|_| known.is_counted(now)) else {
                continue;
            };
            let is_convicted = state.view.is_convicted(service);
            reports.push((service.clone(), known.report(step, is_convicted)));
            let (order, evidence) = &known.evidence;
            for ((route, upstream), counts) in &evidence.0 {
                let key = (service.clone(), *order, route.clone(), upstream.clone());
                entries.push((key, counts.clone()));
            }
        }
        // Failures are what the others have to know of first.
        entries.sort_by_key(|(_, counts)| Reverse((counts.failed > 0, counts.answers)));
        entries.truncate(EVIDENCE_MAX);
        reports.truncate(SERVICES_MAX);
        (reports, entries)
    }

    /// Begins to observe a request that is assigned to an upstream, for the `is_first` time.
    pub(crate) fn begin(
        &self,
        now: MonotonicInstant,
        (service, route): (&Service, &Arc<Route>),
        assignment: &Assignment,
        is_first: bool,
    ) -> Option<Box<Observation>> {
        let mut state = self.state()?;
        let State { view, services } = &mut *state;
        let known = services.entry(service.clone()).or_default();
        let version = assignment.version.clone();
        let counts = known.route(&route.name);
        counts.sent += u64::from(is_first);
        *counts.in_flight.entry(version.clone()).or_default() += 1;
        let step = view.step(service);
        let is_target = step.is_some_and(|step| Some(&step.order.target) == version.as_ref());
        if known.is_counted(now) {
            let side = KeyValue::new("side", if is_target { "target" } else { "old" });
            let service = KeyValue::new("service", service.to_string());
            METRICS.rollout_requests.add(1, &[service, side]);
        }
        Some(Box::new(Observation {
            watch: self.clone(),
            service: service.clone(),
            route: Arc::clone(route),
            instance: assignment.upstream_id.instance.clone(),
            is_trial: is_target && step.is_some_and(|step| step.share(&route.name) < 1.0),
            version,
            sent_at: now,
            first_byte: None,
            first_events: None,
            pace: None,
            recorded: AtomicU8::new(UNRECORDED),
        }))
    }

    fn state(&self) -> Option<MutexGuard<'_, State>> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        Some(self.0.as_ref()?.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl State {
    fn on_step(&mut self, now: MonotonicInstant, step: &RolloutStep, made_at: MonotonicInstant) {
        let service = &step.order.service;
        let before = self.view.step(service).map(|step| (step.first_sequence, step.stage));
        if !self.view.on_step(now, step.clone(), made_at) {
            return;
        }
        let Some(step) = self.view.step(service) else { return };
        let known = self.services.entry(service.clone()).or_default();
        if known.evidence.0 != step.first_sequence {
            known.evidence = (step.first_sequence, EvidenceMap::default());
        }
        known.ended_at = match (step.stage.is_final(), known.ended_at) {
            (false, _) => None,
            (true, Some(at)) if before == Some((step.first_sequence, step.stage)) => Some(at),
            (true, _) => Some(now),
        };
        let stage = match step.stage {
            Stage::Trial => 1,
            Stage::Switch => 2,
            Stage::Completed => 3,
            Stage::RolledBack => 4,
        };
        METRICS.rollout_stage.record(stage, &[KeyValue::new("service", service.to_string())]);
        log::info!(
            "event=rollout_heard service={service} target={} stage={} sequence={} reason={} \
             age_ms={}",
            step.order.target,
            step.stage,
            step.sequence,
            step.reason,
            now.since(made_at).as_millis(),
        );
    }
}

impl ServiceWatch {
    fn is_counted(&self, now: MonotonicInstant) -> bool {
        self.evidence.0 > 0 && self.ended_at.is_none_or(|at| now.since(at) < COUNTED_AFTER_END)
    }

    fn route(&mut self, name: &str) -> &mut RouteCounts {
        if !self.routes.contains_key(name) {
            self.routes.insert(name.to_owned(), RouteCounts::default());
        }
        self.routes.get_mut(name).expect("inserted if it was missing")
    }

    fn report(&self, step: &RolloutStep, is_convicted: bool) -> RolloutReport {
        let is_target =
            |version: &Option<SoftwareVersion>| version.as_ref() == Some(&step.order.target);
        let in_flight = |counts: &RouteCounts, of_target: bool| -> u32 {
            let of_side =
                counts.in_flight.iter().filter(|(version, _)| is_target(version) == of_target);
            of_side.map(|(_, count)| count).sum()
        };
        let old = self.routes.iter().map(|(route, counts)| (route, in_flight(counts, false)));
        let old = old.filter(|(_, count)| *count > 0);
        RolloutReport {
            order: step.first_sequence,
            stage: step.stage,
            sent: self.routes.iter().map(|(route, counts)| (route.clone(), counts.sent)).collect(),
            old_in_flight: old.map(|(route, count)| (route.clone(), count)).collect(),
            target_in_flight: self.routes.values().map(|counts| in_flight(counts, true)).sum(),
            is_convicted,
        }
    }
}

/// Nothing of the response is recorded.
const UNRECORDED: u8 = 0;
/// It is recorded as answered.
const ANSWERED: u8 = 1;
/// It is recorded as failed, or is not to be recorded.
const CLOSED: u8 = 2;

/// A request at an upstream. It counts as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct Observation {
    watch: RolloutWatch,
    service: Service,
    route: Arc<Route>,
    version: Option<SoftwareVersion>,
    instance: Instance,
    /// Whether the upstream is one of the target, which gets only a share of the route's requests.
    pub(crate) is_trial: bool,
    sent_at: MonotonicInstant,
    first_byte: Option<Duration>,
    /// When the first events arrived, how many, and how long the caller had delayed them.
    first_events: Option<(MonotonicInstant, u64, Duration)>,
    pace: Option<Duration>,
    recorded: AtomicU8,
}

impl Observation {
    /// Records that the request is sent now.
    pub(crate) const fn on_sent(&mut self, now: MonotonicInstant) {
        self.sent_at = now;
    }

    /// Records the first byte of the response. `expected` is the estimated time until then if it
    /// depends on the prompt. Times of prompts of different lengths are made comparable.
    pub(crate) fn on_first_byte(&mut self, now: MonotonicInstant, expected: Option<Duration>) {
        let measured = now.since(self.sent_at);
        let normal = |expected: Duration| {
            let fixed = FIXED_MS / 1e3;
            let ratio = (measured.as_secs_f64() + fixed) / (expected.as_secs_f64() + fixed);
            Duration::from_secs_f64(ratio.max(RATIO_MIN) * ESTIMATED_MS / 1e3)
        };
        self.first_byte.get_or_insert(expected.map_or(measured, normal));
    }

    /// Records that `delivered` events of the response have been passed on, which the caller has
    /// delayed by `held`.
    pub(crate) fn on_events(&mut self, now: MonotonicInstant, delivered: u64, held: Duration) {
        let (first_at, first, held_before) =
            *self.first_events.get_or_insert((now, delivered, held));
        let Ok(pauses) = u32::try_from(delivered - first) else { return };
        if pauses > 0 {
            let span = now.since(first_at).saturating_sub(held.saturating_sub(held_before));
            self.pace = Some(span / pauses);
        }
        if delivered >= EVENTS_JUDGED {
            self.record(false);
        }
    }

    /// Records how the attempt ended.
    pub(crate) fn on_result(&self, result: UpstreamResult) {
        match result {
            UpstreamResult::Answered => self.record(false),
            UpstreamResult::Failed => self.record(true),
            UpstreamResult::Refused | UpstreamResult::Unreachable => {
                self.recorded.store(CLOSED, Ordering::Relaxed);
            }
        }
    }

    /// Records that the deadline has passed without a response. It would have come later.
    pub(crate) fn on_overdue(&mut self, now: MonotonicInstant) {
        self.first_byte.get_or_insert(now.since(self.sent_at));
        self.record(false);
    }

    fn record(&self, is_failed: bool) {
        let before =
            self.recorded.fetch_max(if is_failed { CLOSED } else { ANSWERED }, Ordering::Relaxed);
        if before == CLOSED || (before == ANSWERED && !is_failed) {
            return;
        }
        let Some(mut state) = self.watch.state() else { return };
        let State { view, services } = &mut *state;
        let Some(step) = view.step(&self.service) else { return };
        let Some(known) = services.get_mut(&self.service) else { return };
        if !known.is_counted(self.sent_at) {
            return;
        }
        let is_target = self.version.as_ref() == Some(&step.order.target);
        let upstream = is_target.then_some(&self.instance);
        if before == ANSWERED {
            // It was counted as answered when it had gone on for a while.
            let key = (self.route.name.clone(), upstream.cloned());
            if let Some(counts) = known.evidence.1.0.get_mut(&key) {
                counts.failed = counts.failed.saturating_add(1);
            }
            return;
        }
        let response = Response { is_failed, first_byte: self.first_byte, pace: self.pace };
        known.evidence.1.record(&self.route.name, upstream, &response);
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        let Some(mut state) = self.watch.state() else { return };
        let Some(known) = state.services.get_mut(&self.service) else { return };
        let counts = known.route(&self.route.name);
        if let Some(count) = counts.in_flight.get_mut(&self.version) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                counts.in_flight.remove(&self.version);
            }
        }
    }
}

#[cfg(test)]
mod tests;
