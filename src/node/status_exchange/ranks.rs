//! The load by rank that the other daemons report.

use super::{PeerStatuses, State};
use spindle_policy::presence::KnownDaemon;
use spindle_types::{MonotonicInstant, Service};
use std::collections::BTreeMap;

impl PeerStatuses {
    /// Passes what the live daemons report of each service with ranks to the admission by rank.
    pub(super) fn update_ranks(&self, now: MonotonicInstant, state: &State) {
        let mut upstreams: BTreeMap<Service, usize> = BTreeMap::new();
        for registration in self.parts.balancer.usable_registrations(now) {
            *upstreams.entry(registration.service).or_default() += 1;
        }
        let live: Vec<&KnownDaemon> = state.presence.live(now).collect();
        let reports = |service: &Service| {
            let reports = live.iter().filter_map(|daemon| {
                Some((now.since(daemon.at), daemon.status.ranks.get(service)?))
            });
            reports.collect::<Vec<_>>().into_iter()
        };
        self.parts.ranks.on_peers(now, reports, &upstreams);
    }
}
