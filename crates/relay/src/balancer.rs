//! Load balancing: the known upstreams, the load on each, and the choice among them.

use crate::assignment::Assignment;
use crate::backends::StoredVersions;
use crate::limits::UpstreamLimits;
use crate::pool::{ConnectionPool, Endpoint};
use crate::rollout_watch::{Eligible, RolloutWatch};
use crate::tracked_upstream::TrackedUpstream;
use slotmap::SecondaryMap;
use spindle_policy::fleet::InstanceCounts;
use spindle_policy::rate_share::Position;
use spindle_policy::rollout::trial_upstreams;
use spindle_policy::service_pace::{ExpectedWork, ServicePace};
use spindle_policy::stream_versions::{
    KnownVersions, PermittedVersions, STREAM_LIFETIME_MAX, VersionHistory,
};
use spindle_policy::upstream_contact::ServiceContact;
use spindle_policy::upstream_limit::LimitReport;
use spindle_policy::upstream_registry::{
    RegisteredUpstream, Registration, UpstreamChange, UpstreamId, UpstreamKey, UpstreamRegistry,
    UpstreamState,
};
use spindle_policy::upstream_selection::{Candidate, Choice, Criteria, LimitState, choose};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Service, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Latency that does not depend on the upstream's work, in milliseconds; added to both the measured
/// and the estimated time so that short requests don't distort their ratio.
pub(crate) const FIXED_LATENCY_MS: f64 = 30.0;

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) registry: UpstreamRegistry,
    pub(crate) upstreams: SecondaryMap<UpstreamKey, TrackedUpstream>,
    pub(crate) limits: UpstreamLimits,
    pub(crate) contacts: HashMap<Service, ServiceContact>,
    pub(crate) paces: HashMap<Service, ServicePace>,
}

/// Load balancer over all known upstreams. Clones share all state.
#[derive(Clone, Debug)]
pub struct Balancer {
    state: Arc<Mutex<State>>,
    pool: ConnectionPool,
    own_data_centre: DataCentre,
    /// Learns which versions there are.
    rollouts: RolloutWatch,
}

/// Upstreams that were recently found to be shutting down or gone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingUpstreams {
    /// The upstreams, in the order of their ids.
    pub ids: Vec<UpstreamId>,
    /// Whether they are all that this daemon can tell: none was left out for lack of space, and no
    /// registration is in its grace period.
    pub complete: bool,
}

/// Which upstreams of a service an attempt may use.
#[derive(Clone, Copy, Debug)]
pub struct Restrictions<'a> {
    /// Upstreams that have been tried.
    pub tried: &'a [UpstreamKey],
    /// Versions of the software that may serve the attempt.
    pub versions: &'a PermittedVersions,
    /// Upstreams that may get new work while versions change.
    pub eligible: &'a Eligible,
}

impl Balancer {
    /// Creates a balancer without upstreams for a daemon in the given data centre.
    pub fn new(own_data_centre: DataCentre, pool: ConnectionPool) -> Self {
        Self { state: Arc::default(), pool, own_data_centre, rollouts: RolloutWatch::default() }
    }

    /// The same balancer, which tells `rollouts` of the versions of the upstreams.
    #[must_use]
    pub fn with_rollouts(self, rollouts: RolloutWatch) -> Self {
        Self { rollouts, ..self }
    }

    /// Connection pool of the upstreams.
    pub const fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// What learns of the versions of the upstreams.
    pub const fn rollouts(&self) -> &RolloutWatch {
        &self.rollouts
    }

    /// Adds or updates an upstream from its registration. `source` tells in the log where the
    /// registration came from.
    pub fn on_registration(
        &self,
        now: MonotonicInstant,
        registration: Registration,
        source: &'static str,
    ) {
        let change = self.state().registry.on_registration(now, registration);
        self.log_change(now, change, source);
    }

    /// Handles the removal of an instance's registration.
    pub fn on_removal(&self, now: MonotonicInstant, instance: &Instance, source: &'static str) {
        let change = self.state().registry.on_removal(now, instance);
        self.log_change(now, change, source);
    }

    /// Handles a complete list of the registered instances: upstreams missing from it are treated
    /// as removed.
    pub fn on_full_list(&self, now: MonotonicInstant, present: &[Instance]) {
        let changes = self.state().registry.on_complete_list(now, present);
        changes.into_iter().for_each(|change| self.log_change(now, change, "list"));
    }

    /// Records that the whole system starts for the first time, so that no upstream can have served
    /// before.
    pub fn set_first_start(&self) {
        self.state().registry.set_first_start();
    }

    /// What another daemon that started lately needs to know of versions; `age` is the time since
    /// the last read of the store.
    pub fn version_history(&self, now: MonotonicInstant, age: Duration) -> VersionHistory {
        let state = self.state();
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        VersionHistory {
            complete_ms: millis(state.registry.complete_for(now)),
            // Rounded up, so that it is never less than the age.
            age_ms: millis(age) + 1,
            seen: state.registry.all_versions().into_iter().collect(),
        }
    }

    /// The versions of the upstreams of all services, those that left lately included.
    pub fn all_versions(&self) -> StoredVersions {
        self.state().registry.all_versions().into_iter().collect()
    }

    /// Whether all versions are known that streams can have begun at.
    pub fn knows_versions(&self, now: MonotonicInstant) -> bool {
        self.state().registry.complete_for(now) == STREAM_LIFETIME_MAX
    }

    /// Adopts what another daemon knew when it answered a call that was sent at `sent`.
    pub fn adopt_history(
        &self,
        now: MonotonicInstant,
        sent: MonotonicInstant,
        history: &VersionHistory,
    ) {
        if self.state().registry.adopt_history(now, sent, history) {
            log::info!(
                "event=versions_adopted source=daemon complete_ms={} age_ms={} versions={}",
                history.complete_ms,
                history.age_ms,
                history.seen.len(),
            );
        }
    }

    /// Adopts the versions that the daemons had stored when all of them had stopped.
    pub fn adopt_stored(
        &self,
        now: MonotonicInstant,
        seen: &[(Service, Option<SoftwareVersion>)],
    ) -> bool {
        let adopted = self.state().registry.adopt_stored(now, seen);
        if adopted {
            log::info!("event=versions_adopted source=store versions={}", seen.len());
        }
        adopted
    }

    /// What is known of the software versions of a service.
    pub fn versions(&self, now: MonotonicInstant, service: &Service) -> KnownVersions {
        self.state().registry.versions(now, service)
    }

    /// Marks an upstream as shutting down or gone; it gets no new requests.
    pub fn on_leaving(
        &self,
        now: MonotonicInstant,
        upstream_id: &UpstreamId,
        source: &'static str,
    ) {
        let change = self.state().registry.on_leaving(now, upstream_id);
        self.log_change(now, change, source);
    }

    /// Records that the store could not be read. Registrations that lapse around an outage stay in
    /// use for a while.
    pub fn on_outage(&self, now: MonotonicInstant) {
        self.state().registry.on_outage(now);
    }

    /// Sets the load that the other daemons put on each instance: number of requests, and queued
    /// prompt processing in milliseconds.
    pub fn on_peer_load(&self, peer_load: &BTreeMap<&Instance, (u32, u32)>) {
        let mut state = self.state();
        let State { registry, upstreams, .. } = &mut *state;
        for (key, listed) in registry.iter() {
            if let Some(upstream) = upstreams.get_mut(key) {
                let instance = &listed.registration.id.instance;
                upstream.peer_load = peer_load.get(instance).copied().unwrap_or_default();
            }
        }
    }

    /// Forgets upstreams that have been gone for long and have no request left.
    pub fn prune(&self, now: MonotonicInstant) {
        let mut state = self.state();
        let State { registry, upstreams, limits, contacts, .. } = &mut *state;
        registry.prune(now, |key| upstreams.get(key).is_some_and(|upstream| upstream.running > 0));
        upstreams.retain(|key, _| registry.get(key).is_some());
        limits.retain(|key| registry.get(key).is_some());
        let is_listed = |service: &Service| {
            registry.iter().any(|(_, listed)| listed.registration.service == *service)
        };
        contacts.retain(|service, _| is_listed(service));
    }

    /// Assigns a request to an upstream of a service.
    ///
    /// # Errors
    ///
    /// The reason for which no upstream can take the request.
    pub fn assign(
        &self,
        now: MonotonicInstant,
        service: &Service,
        criteria: &Criteria<'_>,
        restrictions: Restrictions<'_>,
    ) -> Result<Assignment, Choice> {
        let mut state = self.state();
        let prompt = criteria.prompt;
        let prefix_id = prompt.and_then(|prompt| prompt.prefix_id);
        let candidates =
            state.candidates(now, service, &self.own_data_centre, (prefix_id, restrictions));
        let choice = choose(&candidates, criteria);
        let Choice::Upstream(key, queued_ms) = choice else {
            return Err(choice);
        };
        let Some(listed) = state.registry.get(key) else {
            return Err(Choice::None);
        };
        let Registration { id: upstream_id, address, version, .. } = listed.registration.clone();
        let chosen = candidates.iter().find(|found| found.key == key);
        let expected_ms = chosen.map_or(0.0, |found| {
            // A plain call is compared with one to an idle upstream. Compared with the time that it
            // takes there beside others, a busy upstream would look faster than an idle one.
            let requests = prompt.map_or(0, |_| found.requests);
            let found = Candidate { slowdown: 1.0, requests, ..*found };
            found.first_byte_ms(prompt, found.sent_prefix) + FIXED_LATENCY_MS
        });
        let work = chosen.zip(prompt).map(|(chosen, prompt)| ExpectedWork::new(chosen, prompt));
        let counted = state.limits.take(now, key) == Some(true);
        let upstream = &mut state.upstreams[key];
        upstream.breaker.on_attempt(now);
        upstream.running += 1;
        upstream.queued_ms += queued_ms;
        upstream.on_prefix_sent(now, prefix_id);
        Ok(Assignment {
            balancer: self.clone(),
            key,
            upstream_id,
            address,
            version,
            assigned_at: now,
            queued_ms,
            expected_ms,
            counted,
            sent: false,
            has_prompt: prompt.is_some(),
            work,
            observation: None,
        })
    }

    /// Whether a service has a usable upstream that has not been tried.
    pub fn has_untried(
        &self,
        now: MonotonicInstant,
        service: &Service,
        restrictions: Restrictions<'_>,
    ) -> bool {
        let state = self.state();
        state
            .candidates(now, service, &self.own_data_centre, (None, restrictions))
            .iter()
            .any(Candidate::is_open)
    }

    /// Records what another daemon was told of the limit of an upstream.
    pub fn on_limit_report(
        &self,
        now: MonotonicInstant,
        upstream_id: &UpstreamId,
        report: LimitReport,
    ) {
        let mut state = self.state();
        if let Some(key) = state.registry.key_of(upstream_id) {
            state.limits.on_peer_report(now, (key, &upstream_id.instance), report);
        }
    }

    /// What this daemon's own responses said of the limits of upstreams, at most `count`. The other
    /// daemons are told of them.
    pub fn limit_reports(
        &self,
        now: MonotonicInstant,
        count: usize,
    ) -> Vec<(UpstreamId, LimitReport)> {
        let state = self.state();
        state.limits.own_reports(now, &state.registry, count)
    }

    /// Sets this daemon's place among those that send to each limited upstream, given by the
    /// service and the id of the upstream. To be called several times a second.
    pub fn set_limit_positions(
        &self,
        now: MonotonicInstant,
        position: impl Fn(&Service, &UpstreamId) -> Option<Position>,
    ) {
        let mut state = self.state();
        let State { registry, limits, upstreams, .. } = &mut *state;
        for (key, upstream) in upstreams.iter_mut() {
            if upstream.brittleness.is_named()
                && let Some(listed) = registry.get(key)
            {
                let Registration { service, id, .. } = &listed.registration;
                upstream.brittleness.set_position(now, position(service, id));
            }
        }
        limits.set_positions(now, registry, position);
    }

    /// Whether an upstream of a service says that it is brittle.
    pub(crate) fn has_brittle(&self, service: &Service) -> bool {
        let state = self.state();
        state.registry.iter().any(|(key, listed)| {
            listed.registration.service == *service
                && state.upstreams.get(key).is_some_and(|upstream| upstream.brittleness.is_named())
        })
    }

    /// The rates that the limited upstreams of a service take, in requests per second.
    pub fn limited_rates(&self, now: MonotonicInstant, service: &Service) -> Vec<f64> {
        let state = self.state();
        state.limits.rates(now, &state.registry, service)
    }

    /// Load that this daemon puts on each instance: number of requests, and processing time of the
    /// prompts queued there, in milliseconds.
    pub fn own_load(&self) -> BTreeMap<Instance, (u32, u32)> {
        let state = self.state();
        let busy = state.upstreams.iter().filter(|(_, upstream)| upstream.running > 0);
        let loads = busy.filter_map(|(key, upstream)| {
            let listed = state.registry.get(key)?;
            let load = (upstream.running, upstream.queued_ms as u32);
            Some((listed.registration.id.instance.clone(), load))
        });
        loads.collect()
    }

    /// Upstreams that were recently found to be shutting down or gone, at most `limit`. The other
    /// daemons are told of them.
    pub fn leaving(&self, now: MonotonicInstant, limit: usize) -> LeavingUpstreams {
        let state = self.state();
        let mut recent = state.registry.leaving(now);
        let ids = recent.by_ref().take(limit).cloned().collect();
        let complete = recent.next().is_none() && !state.registry.has_lapsed();
        LeavingUpstreams { ids, complete }
    }

    /// Registrations of all upstreams that may get new requests.
    pub fn usable_registrations(&self, now: MonotonicInstant) -> Vec<Registration> {
        let state = self.state();
        let usable = state.registry.iter().filter(|(_, listed)| listed.usable(now));
        usable.map(|(_, listed)| listed.registration.clone()).collect()
    }

    /// Number of instances of a service in each data centre whose version `is_counted`, without those
    /// that are shutting down.
    pub fn instance_counts(
        &self,
        service: &Service,
        is_counted: impl Fn(Option<&SoftwareVersion>) -> bool,
    ) -> BTreeMap<DataCentre, InstanceCounts> {
        let state = self.state();
        let mut instance_counts: BTreeMap<DataCentre, InstanceCounts> = BTreeMap::new();
        for (_, listed) in state.registry.iter() {
            let registration = &listed.registration;
            let is_leaving = listed.state == UpstreamState::Leaving;
            if registration.service != *service
                || is_leaving
                || !is_counted(registration.version.as_ref())
            {
                continue;
            }
            let found = instance_counts.entry(registration.data_centre.clone()).or_default();
            if registration.reclaimable {
                found.reclaimable += 1;
            } else {
                found.on_demand += 1;
            }
        }
        instance_counts
    }

    fn log_change(&self, now: MonotonicInstant, change: UpstreamChange, source: &'static str) {
        let (key, event) = match change {
            UpstreamChange::None => return,
            UpstreamChange::Added(key) => (key, "upstream_added"),
            UpstreamChange::Left(key) => (key, "upstream_leaving"),
            UpstreamChange::Lapsed(key) => (key, "upstream_lapsed"),
            UpstreamChange::Returned(key) => (key, "upstream_returned"),
        };
        let mut state = self.state();
        let State { registry, upstreams, contacts, .. } = &mut *state;
        let Some(listed) = registry.get(key) else { return };
        let changed = listed.registration.service.clone();
        let Registration { id, service, address, data_centre, version, reclaimable, .. } =
            &listed.registration;
        let version = version.as_ref().map_or("-", SoftwareVersion::as_str);
        log::info!(
            "event={event} upstream={} born={} service={service} data_centre={data_centre} \
             address={address} version={version} reclaimable={reclaimable} source={source}",
            id.instance,
            id.started_at_ms,
        );
        match change {
            UpstreamChange::Added(_) => {
                contacts.entry(service.clone()).or_default().on_added();
                let mut name = id.instance.as_str().as_bytes().to_vec();
                name.extend(id.started_at_ms.to_le_bytes());
                upstreams.insert(
                    key,
                    TrackedUpstream { identity: xxh3_64(&name), ..TrackedUpstream::default() },
                );
            }
            UpstreamChange::Left(_) => self.pool.close(Endpoint::Upstream(key)),
            _ => {}
        }
        drop(state);
        self.tell_versions(now, &changed);
    }

    /// Tells of the versions of the upstreams of all services. To be called several times a second,
    /// as registrations may lapse or change without further notice.
    pub fn tell_all_versions(&self, now: MonotonicInstant) {
        if !self.rollouts.is_enabled() {
            return;
        }
        let services: BTreeSet<Service> = {
            let state = self.state();
            state.registry.iter().map(|(_, listed)| listed.registration.service.clone()).collect()
        };
        services.iter().for_each(|service| self.tell_versions(now, service));
    }

    fn tell_versions(&self, now: MonotonicInstant, service: &Service) {
        if !self.rollouts.is_enabled() {
            return;
        }
        let versions: Vec<_> = {
            let state = self.state();
            let usable = state.registry.iter().filter(|(_, listed)| {
                listed.registration.service == *service && listed.usable(now)
            });
            let version = |listed: &RegisteredUpstream| {
                let Registration { version, id, slots, .. } = &listed.registration;
                (version.clone(), id.started_at_ms, *slots)
            };
            usable.map(|(_, listed)| version(listed)).collect()
        };
        self.rollouts.on_upstreams(now, service, &versions);
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is still consistent: no code that holds it panics in the middle of a
        // change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn candidates(
        &self,
        now: MonotonicInstant,
        service: &Service,
        own_data_centre: &DataCentre,
        (prefix_id, restrictions): (Option<u64>, Restrictions<'_>),
    ) -> Vec<Candidate> {
        let Restrictions { tried, versions, eligible } = restrictions;
        let usable = self.registry.iter().filter(|(_, listed)| {
            let Registration { service: found, version, .. } = &listed.registration;
            found == service
                && listed.usable(now)
                && versions.permits(version.as_ref())
                && eligible.versions.permits(version.as_ref())
        });
        let mut usable: Vec<_> = usable.collect();
        if let Some(step) = &eligible.trial {
            let instances = usable.iter().map(|(_, listed)| &listed.registration.id.instance);
            let chosen: BTreeSet<Instance> =
                trial_upstreams(step, instances).into_iter().cloned().collect();
            usable.retain(|(_, listed)| chosen.contains(&listed.registration.id.instance));
        }
        let usable = usable.into_iter();
        let pace = self.pace(now, service);
        let candidates = usable.filter_map(|(key, listed)| {
            let upstream = self.upstreams.get(key)?;
            Some(Candidate {
                key,
                identity: upstream.identity,
                requests: upstream.requests(now),
                own_requests: upstream.running,
                peer_requests: upstream.peer_load.0,
                report: upstream.report(now),
                queued_prefill_ms: upstream.queued_ms + f64::from(upstream.peer_load.1),
                slowdown: upstream.slowdown(now, pace),
                sent_prefix: prefix_id
                    .is_some_and(|prefix_id| upstream.has_recent_prefix(now, prefix_id)),
                slots: listed.registration.slots,
                is_full: upstream.is_full(now),
                breaker: upstream.breaker_state(now),
                limit: match upstream.wait(now, upstream.running, listed.registration.slots) {
                    Some(left) => LimitState::Exhausted(left),
                    None => self.limits.state(now, key),
                },
                is_local: listed.registration.data_centre == *own_data_centre,
                tried: tried.contains(&key),
            })
        });
        candidates.collect()
    }
}
