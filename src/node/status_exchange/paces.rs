//! The paces of services that the other daemons report.

use super::{PeerStatuses, State};
use spindle_policy::presence::KnownDaemon;
use spindle_types::{MonotonicInstant, Service};

impl PeerStatuses {
    /// Passes the paces that the live daemons report to the balancer.
    pub(super) fn update_paces(&self, now: MonotonicInstant, state: &State) {
        let live: Vec<&KnownDaemon> = state.presence.live(now).collect();
        self.parts.balancer.on_peer_paces(now, |service: &Service| {
            live.iter().filter_map(|daemon| daemon.status.paces.get(service).copied()).collect()
        });
    }
}
