//! Load balancing: the known upstreams, the load on each, and the choice among them.

use crate::backends::StoredVersions;
use crate::limits::{LimitUse, UpstreamLimits};
use crate::metrics::METRICS;
use crate::pool::{ConnectionPool, Endpoint};
use crate::protocol::{NamedLimit, ReportedLoad};
use crate::tracked_upstream::{SendPermission, TrackedUpstream};
use opentelemetry::KeyValue;
use slotmap::SecondaryMap;
use spindle_policy::breaker::{BreakerTransition, FailureKind};
use spindle_policy::fleet::InstanceCounts;
use spindle_policy::rate_share::Position;
use spindle_policy::stream_versions::{
    KnownVersions, PermittedVersions, STREAM_LIFETIME_MAX, VersionHistory,
};
use spindle_policy::upstream_contact::{ContactChange, ContactTest, ServiceContact};
use spindle_policy::upstream_limit::LimitReport;
use spindle_policy::upstream_registry::{
    Registration, UpstreamChange, UpstreamId, UpstreamKey, UpstreamRegistry, UpstreamState,
};
use spindle_policy::upstream_selection::{Candidate, Choice, LimitState, Prompt, choose};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Service, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Weight of the newest response in the moving average of an upstream's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;

/// Maximum ratio of measured to estimated latency; its reciprocal is the minimum.
const SLOWDOWN_MAX: f64 = 8.0;

/// Latency that does not depend on the upstream's work, in milliseconds; added to both the measured
/// and the estimated time so that short requests don't distort their ratio.
const FIXED_LATENCY_MS: f64 = 30.0;

#[derive(Debug, Default)]
struct State {
    registry: UpstreamRegistry,
    upstreams: SecondaryMap<UpstreamKey, TrackedUpstream>,
    limits: UpstreamLimits,
    contacts: HashMap<Service, ServiceContact>,
}

/// Load balancer over all known upstreams. Clones share all state.
#[derive(Clone, Debug)]
pub struct Balancer {
    state: Arc<Mutex<State>>,
    pool: ConnectionPool,
    own_data_centre: DataCentre,
}

/// A request assigned to an upstream. It counts towards the load there until it is dropped.
#[derive(Debug)]
pub struct Assignment {
    balancer: Balancer,
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
    queued_ms: f64,
    /// Estimated time until the response begins, in milliseconds.
    expected_ms: f64,
    /// Whether the request counts against the limit of the upstream.
    counted: bool,
    /// Whether the request has been sent, at least in part.
    sent: bool,
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

/// Test connections to upstreams of one service that are begun together.
#[derive(Clone, Debug)]
pub(crate) struct ContactRound {
    pub(crate) service: Service,
    pub(crate) upstreams: Vec<(UpstreamKey, SocketAddr)>,
    /// Whether they are a sample that tells of the whole service.
    pub(crate) is_sample: bool,
}

/// Which upstreams of a service an attempt may use.
#[derive(Clone, Copy, Debug)]
pub struct Restrictions<'a> {
    /// Upstreams that have been tried.
    pub tried: &'a [UpstreamKey],
    /// Versions of the software that may serve the attempt.
    pub versions: &'a PermittedVersions,
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

impl Balancer {
    /// Creates a balancer without upstreams for a daemon in the given data centre.
    pub fn new(own_data_centre: DataCentre, pool: ConnectionPool) -> Self {
        Self { state: Arc::default(), pool, own_data_centre }
    }

    /// Connection pool of the upstreams.
    pub const fn pool(&self) -> &ConnectionPool {
        &self.pool
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
        self.log_change(change, source);
    }

    /// Handles the removal of an instance's registration.
    pub fn on_removal(&self, now: MonotonicInstant, instance: &Instance, source: &'static str) {
        let change = self.state().registry.on_removal(now, instance);
        self.log_change(change, source);
    }

    /// Handles a complete list of the registered instances: upstreams missing from it are treated
    /// as removed.
    pub fn on_full_list(&self, now: MonotonicInstant, present: &[Instance]) {
        let changes = self.state().registry.on_complete_list(now, present);
        changes.into_iter().for_each(|change| self.log_change(change, "list"));
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
        self.log_change(change, source);
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
        let State { registry, upstreams, limits, contacts } = &mut *state;
        registry.prune(now, |key| upstreams.get(key).is_some_and(|upstream| upstream.running > 0));
        upstreams.retain(|key, _| registry.get(key).is_some());
        limits.retain(|key| registry.get(key).is_some());
        let is_listed = |service: &Service| {
            registry.iter().any(|(_, listed)| listed.registration.service == *service)
        };
        contacts.retain(|service, _| is_listed(service));
    }

    /// Assigns a request to an upstream of a service. `max_wait` is the longest acceptable time
    /// until its response begins.
    ///
    /// # Errors
    ///
    /// The reason for which no upstream can take the request.
    pub fn assign(
        &self,
        now: MonotonicInstant,
        service: &Service,
        prompt: Option<&Prompt>,
        max_wait: Duration,
        restrictions: Restrictions<'_>,
    ) -> Result<Assignment, Choice> {
        let mut state = self.state();
        let prefix_id = prompt.and_then(|prompt| prompt.prefix_id);
        let candidates =
            state.candidates(now, service, &self.own_data_centre, (prefix_id, restrictions));
        let choice = choose(&candidates, prompt, max_wait);
        let Choice::Upstream(key, queued_ms) = choice else {
            return Err(choice);
        };
        let Some(listed) = state.registry.get(key) else {
            return Err(Choice::None);
        };
        let Registration { id: upstream_id, address, version, .. } = listed.registration.clone();
        let chosen = candidates.iter().find(|found| found.key == key);
        let expected_ms = chosen.map_or(0.0, |found| {
            let found = Candidate { slowdown: 1.0, ..*found };
            found.first_byte_ms(prompt, found.sent_prefix) + FIXED_LATENCY_MS
        });
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

    /// Whether this daemon reaches no upstream of a service.
    pub fn has_lost(&self, service: &Service) -> bool {
        self.state().contacts.get(service).is_some_and(ServiceContact::is_lost)
    }

    /// The share of the upstreams of a service to which the newest connection has failed.
    pub fn unreached_share(&self, now: MonotonicInstant, service: &Service) -> f64 {
        let state = self.state();
        let (unreached, known) = count_unreached(&state.registry, &state.upstreams, now, service);
        unreached as f64 / known.max(1) as f64
    }

    /// Services of which this daemon reaches no upstream, for long enough to tell others.
    pub fn lost_services(&self, now: MonotonicInstant) -> BTreeSet<Service> {
        let state = self.state();
        let lost = state.contacts.iter().filter(|(_, contact)| contact.is_confirmed(now));
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Test connections that are due. `random` returns numbers between 0 and 1.
    pub(crate) fn take_tests(
        &self,
        now: MonotonicInstant,
        mut random: impl FnMut() -> f64,
    ) -> Vec<ContactRound> {
        let mut state = self.state();
        let State { registry, contacts, upstreams, .. } = &mut *state;
        let unreached = |key| upstreams.get(key).is_some_and(|upstream| upstream.unreached);
        if !upstreams.values().any(|upstream| upstream.unreached)
            && !contacts.values().any(ServiceContact::is_lost)
        {
            return Vec::new();
        }
        let lost = lost_services(contacts);
        let mut rounds = Vec::new();
        for (service, contact) in contacts {
            let usable = registry.iter().filter(|(_, listed)| {
                listed.registration.service == *service && listed.usable(now)
            });
            let usable = usable.map(|(key, listed)| (key, listed.registration.address));
            let mut usable: Vec<_> = usable.collect();
            let any_unreached = usable.iter().any(|(key, _)| unreached(*key));
            let others_lost = lost.iter().any(|lost| lost != service);
            let Some(test) = contact.take_test(now, others_lost, any_unreached, random()) else {
                continue;
            };
            let (count, is_sample) = match test {
                ContactTest::Sample(count) => (count, true),
                ContactTest::Others(count) => {
                    usable.retain(|(key, _)| !unreached(*key));
                    (count, false)
                }
                ContactTest::Failed(count) => {
                    usable.retain(|(key, _)| unreached(*key));
                    (count, false)
                }
            };
            let mut drawn = Vec::new();
            while drawn.len() < count && !usable.is_empty() {
                let index = (random() * usable.len() as f64) as usize;
                drawn.push(usable.swap_remove(index.min(usable.len() - 1)));
            }
            rounds.push(ContactRound { service: service.clone(), upstreams: drawn, is_sample });
        }
        rounds
    }

    /// The upstreams other than `key` that may be used, those of the same service first.
    pub(crate) fn others(
        &self,
        now: MonotonicInstant,
        key: UpstreamKey,
    ) -> Vec<(UpstreamKey, UpstreamId, SocketAddr)> {
        let state = self.state();
        let service = state.registry.get(key).map(|listed| listed.registration.service.clone());
        let usable =
            state.registry.iter().filter(|(other, listed)| *other != key && listed.usable(now));
        let mut others: Vec<_> = usable.collect();
        others.sort_by_key(|(_, listed)| Some(&listed.registration.service) != service.as_ref());
        let others = others.into_iter().map(|(other, listed)| {
            (other, listed.registration.id.clone(), listed.registration.address)
        });
        others.collect()
    }

    /// Records the result of a test connection that began at `started`.
    pub(crate) fn on_test(
        &self,
        now: MonotonicInstant,
        started: MonotonicInstant,
        key: UpstreamKey,
        reached: bool,
    ) {
        if reached {
            self.on_heard(now, key);
        } else {
            self.on_connection_failed(now, started, key);
        }
    }

    /// Records how many upstreams of a sample have accepted test connections.
    pub(crate) fn on_sample(
        &self,
        now: MonotonicInstant,
        service: &Service,
        reached: usize,
        tested: usize,
    ) {
        let mut state = self.state();
        let Some(contact) = state.contacts.get_mut(service) else { return };
        if contact.on_sample(now, reached, tested) == ContactChange::Regained {
            log::info!(
                "event=contact_regained service={service} reached={reached} tested={tested}"
            );
        }
    }

    /// Records that bytes have arrived from an upstream, or that it has accepted a connection.
    pub(crate) fn on_heard(&self, now: MonotonicInstant, key: UpstreamKey) {
        let mut state = self.state();
        let State { registry, contacts, upstreams, .. } = &mut *state;
        let Some(listed) = registry.get(key) else { return };
        if let Some(upstream) = upstreams.get_mut(key) {
            upstream.heard_at = now;
            if std::mem::take(&mut upstream.unreached) {
                log::info!("event=upstream_reached upstream={}", listed.registration.id.instance);
            }
        }
        let service = &listed.registration.service;
        match contacts.get_mut(service) {
            Some(contact) => contact.on_heard(now),
            None => contacts.entry(service.clone()).or_default().on_heard(now),
        }
    }

    fn on_connection_failed(
        &self,
        now: MonotonicInstant,
        started: MonotonicInstant,
        key: UpstreamKey,
    ) {
        let mut state = self.state();
        let State { registry, contacts, upstreams, .. } = &mut *state;
        let Some(listed) = registry.get(key) else { return };
        let instance = &listed.registration.id.instance;
        if let Some(upstream) = upstreams.get_mut(key)
            && upstream.heard_at < started
            && !std::mem::replace(&mut upstream.unreached, true)
        {
            log::warn!("event=upstream_unreached upstream={instance}");
        }
        let service = listed.registration.service.clone();
        let (unreached, known) = count_unreached(registry, upstreams, now, &service);
        let contact = contacts.entry(service.clone()).or_default();
        let counts = (unreached, known.max(1));
        if contact.on_failed(now, started, key, counts) == ContactChange::Lost {
            log::warn!(
                "event=contact_lost service={service} unreached={unreached} upstreams={known}"
            );
            METRICS.contact_losses.add(1, &[KeyValue::new("service", service.to_string())]);
        }
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

    /// Number of instances of a service in each data centre, without those that are shutting down.
    pub fn instance_counts(&self, service: &Service) -> BTreeMap<DataCentre, InstanceCounts> {
        let state = self.state();
        let mut instance_counts: BTreeMap<DataCentre, InstanceCounts> = BTreeMap::new();
        for (_, listed) in state.registry.iter() {
            let registration = &listed.registration;
            if registration.service != *service || listed.state == UpstreamState::Leaving {
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

    fn log_change(&self, change: UpstreamChange, source: &'static str) {
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
                if let Some(contact) = contacts.get_mut(service) {
                    contact.on_added();
                }
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
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is still consistent: no code that holds it panics in the middle of a
        // change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The number of upstreams of a service to which the newest connection has failed, and of all that may
/// be used.
fn count_unreached(
    registry: &UpstreamRegistry,
    upstreams: &SecondaryMap<UpstreamKey, TrackedUpstream>,
    now: MonotonicInstant,
    service: &Service,
) -> (usize, usize) {
    let usable = registry
        .iter()
        .filter(|(_, listed)| listed.registration.service == *service && listed.usable(now));
    let reached = usable.map(|(key, _)| upstreams.get(key).is_none_or(|found| !found.unreached));
    reached
        .fold((0, 0), |(unreached, known), reached| (unreached + usize::from(!reached), known + 1))
}

fn lost_services(contacts: &HashMap<Service, ServiceContact>) -> BTreeSet<Service> {
    let lost = contacts.iter().filter(|(_, contact)| contact.is_lost());
    lost.map(|(service, _)| service.clone()).collect()
}

impl State {
    fn candidates(
        &self,
        now: MonotonicInstant,
        service: &Service,
        own_data_centre: &DataCentre,
        (prefix_id, restrictions): (Option<u64>, Restrictions<'_>),
    ) -> Vec<Candidate> {
        let usable = self.registry.iter().filter(|(_, listed)| {
            let Registration { service: found, version, .. } = &listed.registration;
            found == service
                && listed.usable(now)
                && restrictions.versions.permits(version.as_ref())
        });
        let candidates = usable.filter_map(|(key, listed)| {
            let upstream = self.upstreams.get(key)?;
            Some(Candidate {
                key,
                identity: upstream.identity,
                requests: upstream.requests(now),
                queued_prefill_ms: upstream.queued_ms + f64::from(upstream.peer_load.1),
                slowdown: upstream.slowdown(now),
                sent_prefix: prefix_id
                    .is_some_and(|prefix_id| upstream.has_recent_prefix(now, prefix_id)),
                slots: listed.registration.slots,
                breaker: upstream.breaker_state(now),
                limit: match upstream.wait(now, upstream.running, listed.registration.slots) {
                    Some(left) => LimitState::Exhausted(left),
                    None => self.limits.state(now, key),
                },
                is_local: listed.registration.data_centre == *own_data_centre,
                tried: restrictions.tried.contains(&key),
            })
        });
        candidates.collect()
    }
}

impl Assignment {
    /// Records the load that the upstream has reported in a response.
    pub fn on_load(&self, now: MonotonicInstant, reported_load: Option<ReportedLoad>) {
        let Some(reported_load) = reported_load else { return };
        if let Some(upstream) = self.balancer.state().upstreams.get_mut(self.key) {
            upstream.reported_load = Some((now, reported_load.requests));
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
        let mut state = self.balancer.state();
        let Some(upstream) = state.upstreams.get_mut(self.key) else { return };
        upstream.queued_ms = (upstream.queued_ms - queued_ms).max(0.0);
        if expected_ms > 0.0 {
            let measured_ms = now.since(self.assigned_at).as_secs_f64() * 1e3 + FIXED_LATENCY_MS;
            let ratio = (measured_ms / expected_ms).clamp(1.0 / SLOWDOWN_MAX, SLOWDOWN_MAX);
            let slowdown =
                upstream.slowdown(now) * (1.0 - SLOWDOWN_WEIGHT) + ratio * SLOWDOWN_WEIGHT;
            upstream.slowdown = Some((now, slowdown));
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
