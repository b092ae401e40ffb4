//! Checks requests against the configuration in force, and charges the quotas of their teams.

use crate::config::{ActiveConfig, Route, TeamSpec};
use crate::handoff::Handoff;
use crate::protocol::UpstreamProtocol;
use crate::rank_room::RankedRequest;
use crate::relay::{RETRY_AFTER_MIN, Relay, backoff};
use crate::request::{Inbound, Refusal};
use crate::request_log::RequestLog;
use crate::rollout_watch::draw_of;
use crate::stream_origin::choose_service;
use spindle_policy::crash_ledger::WorkKey;
use spindle_policy::rank_admission::Rank;
use spindle_types::{Clock, MonotonicInstant, Service, Team};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Highest priority number that an engine takes, which is its lowest priority.
const ENGINE_PRIORITY_MAX: u32 = 9;

/// A request that has passed admission, with what was decided then. It keeps the configuration that
/// it was checked against until it ends, even if a newer one comes into force.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) config: Arc<ActiveConfig>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Service,
    pub(crate) team: Option<Team>,
    /// Priority at an engine; `None` if the service does not run on engines.
    pub(crate) engine_priority: Option<u32>,
    /// How urgent it is compared with others for the service.
    pub(crate) rank: Rank,
    /// Counts the request as waiting for its first byte, if it was admitted by its rank.
    pub(crate) ranked: Option<Arc<RankedRequest>>,
    /// Units charged to the team's quota.
    pub(crate) cost: f64,
    pub(crate) deadline: MonotonicInstant,
    /// What the request holds that may crash an upstream.
    pub(crate) work_keys: Arc<[WorkKey]>,
    /// Draw in 0..1 that decides on the part of the request in the trial of a rollout.
    pub(crate) draw: f64,
    /// Whether another daemon has handed it over, which has charged it.
    pub(crate) is_handed_over: bool,
    /// Whether the start of its response has been counted as usage.
    pub(crate) is_counted: bool,
}

impl<P: UpstreamProtocol, K: Clock> Relay<P, K> {
    /// Checks a request against one configuration and charges the quota of its team. One that was
    /// handed over has been charged.
    pub(crate) async fn admit(
        &self,
        inbound: &Inbound,
        config: Arc<ActiveConfig>,
        handoff: Option<&Handoff>,
        request_log: &mut RequestLog<K>,
    ) -> Result<AdmittedRequest, Refusal> {
        request_log.config_version = config.version;
        let needed = self.0.versions.needed(self.0.clock.now()).unwrap_or_default();
        let oldest = handoff.map_or(1, |handoff| handoff.config.max(needed));
        if config.version < oldest {
            return Err(Refusal::NoConfiguration { retry_after: backoff() });
        }
        let path = inbound.target.path();
        let route = config.route(&inbound.host, path).ok_or_else(|| self.deny(Refusal::NoRoute))?;
        let route = Arc::clone(route);
        request_log.route.clone_from(&route.name);
        request_log.kind = route.repeat.into();
        if route.repeat.is_stream() && self.0.refuse_streams.load(Ordering::Relaxed) {
            return Err(Refusal::Leaving { retry_after: RETRY_AFTER_MIN });
        }
        let spec = self.team(inbound, &config, &route)?;
        if let Some(spec) = spec {
            request_log.team = spec.team.to_string();
        }
        let service = choose_service(&route, inbound);
        request_log.service = service.to_string();
        let cost = match spec.filter(|_| handoff.is_none()) {
            Some(spec) => self.0.usage.admit(&self.0.clock, spec, inbound.tokens).await,
            None => Ok(0.0),
        };
        let cost =
            cost.map_err(|wait| Refusal::OverQuota { retry_after: wait.max(RETRY_AFTER_MIN) })?;
        if handoff.is_none() {
            let prompt = inbound.tokens.map_or(0, |(prompt, _)| prompt);
            self.0.usage.on_request(self.0.clock.now(), &service, prompt);
        }
        let timeout = inbound.timeout.unwrap_or(route.timeout).min(route.timeout);
        let has_engine =
            config.services.get(&service).is_some_and(|spec| spec.engine_slots.is_some());
        let priority = spec.and_then(|spec| spec.priority).unwrap_or(route.priority);
        Ok(AdmittedRequest {
            team: spec.map(|spec| spec.team.clone()),
            engine_priority: has_engine.then_some(priority.min(ENGINE_PRIORITY_MAX)),
            rank: Rank::from(priority),
            ranked: None,
            deadline: inbound.received_at + timeout,
            work_keys: Arc::default(),
            draw: draw_of(&inbound.id),
            is_handed_over: handoff.is_some(),
            is_counted: handoff.is_some_and(|handoff| handoff.is_counted),
            config,
            route,
            service,
            cost,
        })
    }

    fn team<'a>(
        &self,
        inbound: &Inbound,
        config: &'a ActiveConfig,
        route: &Route,
    ) -> Result<Option<&'a TeamSpec>, Refusal> {
        if route.public || config.teams().is_empty() {
            return Ok(None);
        }
        let spec = inbound.key.as_deref().and_then(|key| config.team_of(key));
        spec.map(Some).ok_or_else(|| self.deny(Refusal::UnknownKey))
    }

    /// Returns `refusal` if the configuration can be the newest, else a refusal that asks for a
    /// retry, since a newer configuration may allow the request.
    fn deny(&self, refusal: Refusal) -> Refusal {
        if self.0.config_is_current.load(Ordering::Relaxed) && !self.0.versions.is_behind() {
            return refusal;
        }
        Refusal::NoConfiguration { retry_after: backoff() }
    }
}
