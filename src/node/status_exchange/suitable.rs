//! Which daemons callers and handed-over requests can be sent to, from the statuses of all.

use super::PeerStatuses;
use spindle_policy::presence::{Phase, Presence};
use spindle_policy::upstream_contact::in_contact;
use spindle_relay::helpers::HelperDaemon;
use spindle_types::{DataCentre, MonotonicInstant};
use std::net::SocketAddr;

impl PeerStatuses {
    /// Whether this daemon accepts requests: it has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.parts.draining.started() && self.parts.config.borrow().version > 0
    }

    /// The caller addresses of all daemons that are ready and reach the upstreams, sorted and without
    /// duplicates.
    pub fn ready_addresses(&self, now: MonotonicInstant) -> Vec<SocketAddr> {
        let own_lost = self.parts.balancer.lost_services(now);
        let state = self.state();
        let others = state.presence.live(now).filter(|daemon| daemon.status.phase == Phase::Ready);
        let others = others.map(|daemon| (daemon.identity.caller, &daemon.status.lost));
        let own = self.is_ready().then_some((self.parts.settings.caller_address, &own_lost));
        let (ready, lost): (Vec<SocketAddr>, Vec<_>) = others.chain(own).unzip();
        let suitable = ready.into_iter().zip(in_contact(lost)).filter(|(_, suitable)| *suitable);
        let mut addresses: Vec<SocketAddr> = suitable.map(|(address, _)| address).collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }
}

/// The other daemons that accept requests from this one.
pub(super) fn helpers(
    now: MonotonicInstant,
    own: &DataCentre,
    presence: &Presence,
) -> Vec<HelperDaemon> {
    let ready = presence.live(now).filter(|daemon| daemon.status.phase == Phase::Ready);
    let daemons = ready.filter_map(|daemon| {
        Some(HelperDaemon {
            instance: daemon.identity.instance.clone(),
            address: daemon.identity.handoff?,
            is_local: daemon.identity.data_centre == *own,
            load: daemon.status.running.values().map(|(requests, _)| requests).sum(),
            lost: daemon.status.lost.clone(),
            config: daemon.status.config,
        })
    });
    daemons.collect()
}
