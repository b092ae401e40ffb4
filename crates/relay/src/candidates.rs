//! The upstreams that may take a request, as this daemon expects them to be at present.

use crate::balancer::{Restrictions, State};
use spindle_policy::rollout::trial_upstreams;
use spindle_policy::upstream_pace::{LearntPace, UpstreamCapacity, median};
use spindle_policy::upstream_registry::{RegisteredUpstream, Registration, UpstreamKey};
use spindle_policy::upstream_selection::{
    Candidate, LimitState, PLAIN_CALL_MS, Prompt, hold_prior_ms, remaining_share,
};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Service};
use std::collections::BTreeSet;
use std::time::Duration;

/// Weight of the newest request in the means over the requests for a service. The means then cover
/// some forty requests, whose sizes differ widely.
const MIX_WEIGHT: f64 = 0.05;

/// Means over this daemon's requests for a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestMix {
    /// Prefill time as estimated, in milliseconds.
    prefill_ms: f64,
    /// Fraction of the requests that keep to the upstream of their prefix.
    prefix_share: f64,
}

/// How old the knowledge of the other daemons' requests is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerNews {
    /// When the statuses were sent, on average.
    pub(crate) sent_at: MonotonicInstant,
}

/// The candidates of a service.
#[derive(Debug)]
pub(crate) struct ServiceView {
    pub(crate) candidates: Vec<Candidate>,
    /// Requests that the other daemons are expected to have sent since their statuses.
    pub(crate) unseen: f64,
}

impl State {
    /// Of the other daemons' requests, some have ended since their statuses. Since the load changes
    /// little within this time, as many are expected to have begun: those with a prefix at the same
    /// upstream, the others anywhere.
    pub(crate) fn candidates(
        &self,
        now: MonotonicInstant,
        service: &Service,
        own_data_centre: &DataCentre,
        (prompt, restrictions): (Option<&Prompt>, Restrictions<'_>),
    ) -> ServiceView {
        let prior_ms = hold_prior_ms(prompt.is_some());
        let service_median = self.median_ratio(now, service);
        let age_ms = now.since(self.peer_news.sent_at).as_secs_f64() * 1e3;
        let mix = self.mix.get(service);
        let prefix_share = mix.map_or(0.0, |mix| mix.prefix_share);
        let mut unseen = 0.0;
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
        let candidates = usable.into_iter().filter_map(|(key, listed)| {
            let upstream = self.upstreams.get(key)?;
            let hold_ms = upstream.learnt.hold_ms(prior_ms);
            let remaining = remaining_share(age_ms, hold_ms, prefix_share);
            let learnt = upstream.learnt.ratio(now, service_median);
            let told = f64::from(upstream.peer_load.0);
            unseen += told * (1.0 - remaining);
            let peer_requests = upstream.peer_requests(now, told * remaining);
            Some(Candidate {
                key,
                identity: upstream.identity,
                requests: upstream.running + peer_requests.round() as u32,
                peer_requests,
                queued_prefill_ms: upstream.queued_ms,
                mean_prefill_ms: mix.map_or(0.0, |mix| mix.prefill_ms),
                hold_ms,
                slowdown: learnt * upstream.slowdown(now) * upstream.pace.ratio(now),
                learnt,
                sent_prefix: prompt
                    .and_then(|prompt| prompt.prefix_id)
                    .is_some_and(|prefix_id| upstream.has_recent_prefix(now, prefix_id)),
                slots: listed.registration.slots,
                breaker: upstream.breaker_state(now),
                limit: self.limit_state(now, key, listed),
                is_local: listed.registration.data_centre == *own_data_centre,
                tried: tried.contains(&key),
            })
        });
        let candidates = candidates.collect();
        ServiceView { candidates, unseen }
    }

    /// The median over a service's upstreams of the learnt ratio of the duration of work to the prior;
    /// 1 until something is learnt.
    pub(crate) fn median_ratio(&self, now: MonotonicInstant, service: &Service) -> f64 {
        let of_service =
            self.registry.iter().filter(|(_, listed)| listed.registration.service == *service);
        let ratios = of_service
            .filter_map(|(key, _)| self.upstreams.get(key)?.learnt.known_ratio(now))
            .collect();
        median(ratios).unwrap_or(1.0)
    }

    /// The capacity of each upstream that may get requests for a service.
    pub(crate) fn capacity(
        &self,
        now: MonotonicInstant,
        service: &Service,
    ) -> Vec<UpstreamCapacity> {
        let service_median = self.median_ratio(now, service);
        // Only requests with prompts are in the mix.
        let prior_ms = hold_prior_ms(self.mix.contains_key(service));
        let usable = self
            .registry
            .iter()
            .filter(|(_, listed)| listed.registration.service == *service && listed.usable(now));
        let capacities = usable.filter_map(|(key, listed)| {
            let learnt = &self.upstreams.get(key)?.learnt;
            let ratio = learnt.ratio(now, service_median);
            Some(UpstreamCapacity {
                id: listed.registration.id.clone(),
                prefill_speed: LearntPace::prefill_speed(ratio),
                call_time: Duration::from_secs_f64(PLAIN_CALL_MS * ratio / 1e3),
                slots: listed.registration.slots,
                hold: Duration::from_secs_f64(learnt.hold_ms(prior_ms) / 1e3),
            })
        });
        capacities.collect()
    }

    fn limit_state(
        &self,
        now: MonotonicInstant,
        key: UpstreamKey,
        listed: &RegisteredUpstream,
    ) -> LimitState {
        let Some(upstream) = self.upstreams.get(key) else { return LimitState::Unlimited };
        match upstream.wait(now, upstream.running, listed.registration.slots) {
            Some(left) => LimitState::Exhausted(left),
            None => self.limits.state(now, key),
        }
    }

    /// Records a request that was assigned, and its prefill time in milliseconds.
    pub(crate) fn on_assigned(&mut self, service: &Service, prompt: &Prompt, prefill_ms: f64) {
        let prefix_share = if prompt.prefix_id.is_some() { 1.0 } else { 0.0 };
        if let Some(mix) = self.mix.get_mut(service) {
            mix.prefill_ms += (prefill_ms - mix.prefill_ms) * MIX_WEIGHT;
            mix.prefix_share += (prefix_share - mix.prefix_share) * MIX_WEIGHT;
        } else {
            self.mix.insert(service.clone(), RequestMix { prefill_ms, prefix_share });
        }
    }
}
