//! Applies [`RankAdmission`] to the requests and responses of each service with priority ranks.

use crate::admission::AdmittedRequest;
use crate::metrics::METRICS;
use crate::protocol::{ReportedLoad, UpstreamProtocol};
use crate::relay::{RETRY_AFTER_MIN, Relay};
use crate::request::{BufferedRequest, Inbound, Refusal};
use crate::request_log::RequestLog;
use opentelemetry::KeyValue;
use spindle_policy::rank_admission::{
    FractionChange, PLAIN_CALL_WORK, Rank, RankAdmission, RankDecision, RankLoad, RankRequest,
};
use spindle_types::{Clock, MonotonicInstant, Service};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Admission by rank of all services. Clones share all state.
#[derive(Clone, Debug, Default)]
pub struct RankRoom {
    /// Whether requests are refused by rank at all.
    enabled: bool,
    /// Whether the load of upstreams is limited by rank.
    limits_load: bool,
    services: Arc<Mutex<HashMap<Service, RankAdmission>>>,
}

/// A request that was admitted by its rank. It counts as waiting until its response begins or until
/// it is dropped.
#[derive(Debug)]
pub(crate) struct RankedRequest {
    room: RankRoom,
    service: Service,
    rank: Rank,
    work: f64,
    /// Since when it has been waiting; `None` once its response has begun.
    waiting_since: Mutex<Option<MonotonicInstant>>,
}

impl RankRoom {
    /// Creates the admission of a daemon; unless it is enabled, it admits everything. `limits_load`
    /// tells whether the load of upstreams is limited by rank.
    pub fn new(enabled: bool, limits_load: bool) -> Self {
        Self { enabled, limits_load, services: Arc::default() }
    }

    /// Whether the load of upstreams is limited by rank.
    pub(crate) const fn limits_load(&self) -> bool {
        self.limits_load
    }

    /// Takes the reports of the other live daemons, each with its age, and the number of usable
    /// upstreams of each service.
    pub fn on_peers<'a, R>(
        &self,
        now: MonotonicInstant,
        reports: impl Fn(&Service) -> R,
        upstreams: &BTreeMap<Service, usize>,
    ) where
        R: Iterator<Item = (Duration, &'a RankLoad)>,
    {
        for (service, admission) in self.services().iter_mut() {
            let count = upstreams.get(service).copied().unwrap_or_default();
            admission.on_peers(now, reports(service), count);
        }
    }

    /// What this daemon reports to the others.
    pub fn own_loads(&self, now: MonotonicInstant) -> BTreeMap<Service, RankLoad> {
        let services = self.services();
        let loads = services
            .iter()
            .filter_map(|(service, admission)| Some((service.clone(), admission.own_load(now)?)));
        loads.collect()
    }

    /// Records the load that an upstream reports in a response, or that it is full.
    pub(crate) fn on_load(
        &self,
        now: MonotonicInstant,
        service: &Service,
        load: Option<ReportedLoad>,
        refused: bool,
    ) {
        if let Some(admission) = self.services().get_mut(service) {
            let (waiting, slots) =
                load.map_or((0, 0), |load| (load.waiting, load.slots.unwrap_or_default()));
            admission.on_response(now, waiting, slots, refused);
        }
    }

    fn decide(
        &self,
        now: MonotonicInstant,
        service: &Service,
        (request, target): (&RankRequest<'_>, Duration),
        draw: f64,
    ) -> RankDecision {
        let mut services = self.services();
        if !services.contains_key(service) {
            services.insert(service.clone(), RankAdmission::new(now, target));
        }
        let Some(admission) = services.get_mut(service) else { return RankDecision::Admit };
        admission.set_target(target);
        let decision = admission.decide(now, request, draw);
        if decision == RankDecision::Admit {
            admission.on_waiting(now, request.rank);
        }
        let changes = admission.take_changes(now);
        drop(services);
        changes.iter().for_each(|change| report(service, change));
        decision
    }

    fn services(&self) -> MutexGuard<'_, HashMap<Service, RankAdmission>> {
        // A poisoned lock is still consistent: no code that holds it panics in the middle of a
        // change.
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RankedRequest {
    /// Records the first byte of the response. Later calls have no effect.
    pub(crate) fn on_first_byte(&self, now: MonotonicInstant) {
        if let Some(since) = self.take_waiting()
            && let Some(admission) = self.room.services().get_mut(&self.service)
        {
            admission.on_first_byte(now, self.rank, self.work, now.since(since));
        }
    }

    fn take_waiting(&self) -> Option<MonotonicInstant> {
        self.waiting_since.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Drop for RankedRequest {
    fn drop(&mut self) {
        if let Some(since) = self.take_waiting()
            && let Some(admission) = self.room.services().get_mut(&self.service)
        {
            admission.on_abandoned(since, self.rank);
        }
    }
}

impl<P: UpstreamProtocol, K: Clock> Relay<P, K> {
    /// Decides by its rank whether a new request is sent to an upstream. Services without several
    /// ranks admit all.
    ///
    /// # Errors
    ///
    /// Too much work of this or higher ranks is offered.
    pub(crate) fn admit_by_rank(
        &self,
        admitted: &mut AdmittedRequest,
        buffered: &BufferedRequest,
        request_log: &mut RequestLog<K>,
    ) -> Result<(), Refusal> {
        let ranks = admitted.config.ranks(&admitted.service).filter(|_| self.0.ranks.enabled);
        let Some(ranks) = ranks else { return Ok(()) };
        let now = self.0.clock.now();
        let inbound = &buffered.inbound;
        let request = RankRequest {
            rank: admitted.rank,
            team: admitted.team.as_ref(),
            work: inbound.tokens.map_or(PLAIN_CALL_WORK, |(prompt, _)| f64::from(prompt)),
            left: admitted.deadline.since(now),
            content: content(buffered),
        };
        let draw = xxh3_64(inbound.id.as_bytes()) as f64 / u64::MAX as f64;
        let asked = (&request, ranks.shortest_target);
        match self.0.ranks.decide(now, &admitted.service, asked, draw) {
            RankDecision::Admit => {
                admitted.ranked = Some(Arc::new(RankedRequest {
                    room: self.0.ranks.clone(),
                    service: admitted.service.clone(),
                    rank: request.rank,
                    work: request.work,
                    waiting_since: Mutex::new(Some(now)),
                }));
                Ok(())
            }
            RankDecision::Refuse { retry_after } => {
                "rank_shed".clone_into(&mut request_log.cause);
                let service = KeyValue::new("service", admitted.service.to_string());
                let rank = KeyValue::new("rank", i64::from(u8::from(request.rank)));
                METRICS.rank_refusals.add(1, &[service, rank]);
                Err(Refusal::Overloaded { retry_after: retry_after.max(RETRY_AFTER_MIN) })
            }
        }
    }
}

/// A hash of what stays the same when a caller sends a request again.
fn content(buffered: &BufferedRequest) -> u64 {
    let Inbound { target, key, parts, .. } = &buffered.inbound;
    let mut head = target.to_string().into_bytes();
    head.extend(key.iter().flat_map(|key| key.bytes()));
    head.extend(parts.iter().flat_map(|part| part.id.to_le_bytes()));
    xxh3_64_with_seed(&buffered.body, xxh3_64(&head))
}

fn report(service: &Service, change: &FractionChange) {
    log::info!(
        "event=admission service={service} rank={} fraction={:.2} offered={:.0} capacity={:.0} \
         waiting={:.2} age_ms={}",
        change.rank,
        change.fraction,
        change.offered,
        change.capacity,
        change.pressure,
        change.age.as_millis(),
    );
    let service = KeyValue::new("service", service.to_string());
    let rank = KeyValue::new("rank", i64::from(u8::from(change.rank)));
    METRICS.rank_fraction.record(change.fraction, &[service, rank]);
}
