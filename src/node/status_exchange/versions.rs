//! What the statuses and the reads of the store tell of software versions, and whom to ask and tell.

use super::PeerStatuses;
use crate::node::stream_versions::Peer;
use spindle_daemon::StatusExchangeClient;
use spindle_policy::stream_versions::KnownVersions;
use spindle_types::{Clock, Instance, MonotonicInstant, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

impl PeerStatuses {
    /// What is known of the software versions of a service.
    pub(in crate::node) fn versions(
        &self,
        now: MonotonicInstant,
        service: &Service,
    ) -> KnownVersions {
        self.parts.balancer.versions(now, service).at_age(self.read_age(now))
    }

    /// Time since this daemon's last read of the upstreams from the store. What peers tell of leaving
    /// upstreams doesn't count here, as it says nothing of new ones.
    pub(in crate::node) fn read_age(&self, now: MonotonicInstant) -> Option<Duration> {
        self.parts.registrations.last_success().map(|at| now.since(at))
    }

    /// Reads the upstreams from the store, and returns whether all is known within `timeout` that the
    /// store had acknowledged before `since`.
    pub(in crate::node) async fn read_upstreams_after(
        &self,
        since: MonotonicInstant,
        timeout: Duration,
    ) -> bool {
        self.parts.registrations.read_after(since, timeout).await
    }

    /// Adopts what another daemon knows of the versions before this one started.
    pub(in crate::node) async fn adopt_history(self, peer: SocketAddr) {
        let sent = self.parts.clock.now();
        let Ok(connection) = self.connection(peer) else { return };
        match connection.version_history().await {
            Ok(Some(history)) => {
                self.parts.balancer.adopt_history(self.parts.clock.now(), sent, &history);
            }
            Ok(None) => {}
            Err(error) => log::debug!("event=history_call_failed peer={peer} error={error:?}"),
        }
    }

    /// Whether this daemon knows all versions that streams can have begun at.
    pub(in crate::node) fn knows_versions(&self, now: MonotonicInstant) -> bool {
        self.parts.balancer.knows_versions(now)
    }

    /// The instances of the other daemons that may be running, silent ones included.
    pub(in crate::node) fn possible_peers(&self, now: MonotonicInstant) -> Vec<Instance> {
        let state = self.state();
        let own = &self.parts.settings.instance;
        let others = state.presence.possibly_running(now).map(|daemon| &daemon.identity.instance);
        others.filter(|instance| *instance != own).cloned().collect()
    }

    /// The other daemons that this one hears.
    pub(in crate::node) fn live_peers(&self, now: MonotonicInstant) -> Vec<Peer> {
        let state = self.state();
        // A daemon that has just been restarted is heard as two incarnations.
        let mut peers: BTreeMap<SocketAddr, Peer> = BTreeMap::new();
        for daemon in state.presence.live(now) {
            let address = daemon.identity.peer;
            peers.entry(address).or_insert_with(|| Peer {
                instance: daemon.identity.instance.clone(),
                data_centre: daemon.identity.data_centre.clone(),
                address,
            });
        }
        peers.into_values().collect()
    }
}
