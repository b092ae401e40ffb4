//! The paces of the services, as the balancer learns them from responses and from other daemons.

use crate::balancer::{Balancer, State};
use crate::metrics::METRICS;
use opentelemetry::KeyValue;
use spindle_policy::service_pace::PaceReport;
use spindle_types::{MonotonicInstant, Service};
use std::collections::{BTreeMap, BTreeSet};

impl Balancer {
    /// What this daemon reports to the others of the paces, from its own responses.
    pub fn own_paces(&self, now: MonotonicInstant) -> BTreeMap<Service, PaceReport> {
        let state = self.state();
        let reports = state
            .paces
            .iter()
            .filter_map(|(service, pace)| Some((service.clone(), pace.report(now)?)));
        reports.collect()
    }

    /// Takes the paces that the other live daemons report of each service, and logs paces that have
    /// changed. To be called several times a second.
    pub fn on_peer_paces(
        &self,
        now: MonotonicInstant,
        reports: impl Fn(&Service) -> Vec<PaceReport>,
    ) {
        let mut state = self.state();
        let State { registry, paces, .. } = &mut *state;
        let services: BTreeSet<&Service> =
            registry.iter().map(|(_, listed)| &listed.registration.service).collect();
        paces.retain(|service, _| services.contains(service));
        let mut changes = Vec::new();
        for service in services {
            let reports = reports(service);
            if !reports.is_empty() || paces.contains_key(service) {
                let pace = paces.entry(service.clone()).or_default();
                pace.on_reports(reports.into_iter());
                if let Some(changed) = pace.take_change(now) {
                    changes.push((service.clone(), changed, pace.weight(now)));
                }
            }
        }
        drop(state);
        for (service, pace, samples) in changes {
            log::info!("event=pace service={service} pace={pace:.2} samples={samples}");
            METRICS.service_pace.record(pace, &[KeyValue::new("service", service.to_string())]);
        }
    }
}

impl State {
    pub(crate) fn pace(&self, now: MonotonicInstant, service: &Service) -> f64 {
        self.paces.get(service).map_or(1.0, |pace| pace.pace(now))
    }
}
