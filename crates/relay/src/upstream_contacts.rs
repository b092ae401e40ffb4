//! Which upstreams this daemon reaches, from its connections to them.

use crate::balancer::{Balancer, State};
use crate::metrics::METRICS;
use crate::tracked_upstream::TrackedUpstream;
use opentelemetry::KeyValue;
use slotmap::SecondaryMap;
use spindle_policy::upstream_contact::{ContactChange, ContactTest, ServiceContact};
use spindle_policy::upstream_registry::{UpstreamId, UpstreamKey, UpstreamRegistry};
use spindle_types::{MonotonicInstant, Service};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Test connections to upstreams of one service that are begun together.
#[derive(Clone, Debug)]
pub(crate) struct ContactRound {
    pub(crate) service: Service,
    pub(crate) upstreams: Vec<(UpstreamKey, SocketAddr)>,
    /// Whether they are a sample that tells of the whole service.
    pub(crate) is_sample: bool,
}

impl Balancer {
    /// Whether this daemon reaches no upstream of a service, as far as it knows.
    pub fn has_lost(&self, service: &Service) -> bool {
        let state = self.state();
        let contact = state.contacts.get(service);
        if contact.is_some_and(ServiceContact::is_lost) {
            return true;
        }
        let lost_at = state.contacts.values().filter_map(ServiceContact::lost_at).max();
        lost_at.is_some_and(|at| !contact.is_some_and(|contact| contact.is_heard_since(at)))
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

    pub(crate) fn on_connection_failed(
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

#[cfg(test)]
mod tests;
