//! The other daemons through which requests can be sent, and the choice among them.

use rand::rng;
use spindle_policy::helper_selection::{AVOID_TIME, Helper, select};
use spindle_types::{Instance, MonotonicInstant, Service};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Another daemon, as its newest status describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HelperDaemon {
    /// Instance that the daemon runs on.
    pub instance: Instance,
    /// Address for requests that are handed over.
    pub address: SocketAddr,
    /// Whether it is in the data centre of this daemon.
    pub is_local: bool,
    /// Number of its requests in flight.
    pub load: u32,
    /// Services of which it reaches no upstream.
    pub lost: BTreeSet<Service>,
    /// Version of the configuration in force there.
    pub config: u64,
}

#[derive(Debug, Default)]
struct State {
    daemons: Vec<HelperDaemon>,
    /// Number of requests in flight through each daemon.
    in_flight: HashMap<SocketAddr, u32>,
    /// When a connection to a daemon last failed.
    failed_at: HashMap<SocketAddr, MonotonicInstant>,
}

/// The daemons that can help this one. Clones share all state.
#[derive(Clone, Debug, Default)]
pub struct Helpers(Arc<Mutex<State>>);

/// A request in flight through a helper, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct HelperUse {
    helpers: Helpers,
    pub(crate) instance: Instance,
    pub(crate) address: SocketAddr,
}

impl Helpers {
    /// Sets the daemons that accept requests now.
    pub fn set(&self, daemons: Vec<HelperDaemon>) {
        let mut state = self.state();
        let is_known =
            |address: &SocketAddr| daemons.iter().any(|daemon| daemon.address == *address);
        state.failed_at.retain(|address, _| is_known(address));
        state.daemons = daemons;
    }

    /// Whether a daemon other than `tried` reaches the upstreams of a service.
    pub(crate) fn has_any(
        &self,
        now: MonotonicInstant,
        service: &Service,
        tried: &[SocketAddr],
    ) -> bool {
        let state = self.state();
        state.daemons.iter().any(|daemon| state.is_eligible(now, daemon, service, tried))
    }

    /// Selects a daemon other than `tried` that reaches the upstreams of a service. Those that have at
    /// least version `config` of the configuration are preferred: right after a change no status says
    /// so yet, though most daemons have it. So are those that have lost the fewest other services: a
    /// daemon that is cut off may not know yet that this service is concerned too.
    pub(crate) fn select(
        &self,
        now: MonotonicInstant,
        service: &Service,
        config: u64,
        tried: &[SocketAddr],
    ) -> Option<HelperUse> {
        let mut state = self.state();
        let mut eligible: Vec<&HelperDaemon> = state
            .daemons
            .iter()
            .filter(|daemon| state.is_eligible(now, daemon, service, tried))
            .collect();
        if eligible.iter().any(|daemon| daemon.config >= config) {
            eligible.retain(|daemon| daemon.config >= config);
        }
        let fewest_lost = eligible.iter().map(|daemon| daemon.lost.len()).min()?;
        eligible.retain(|daemon| daemon.lost.len() == fewest_lost);
        let candidates: Vec<Helper> = eligible
            .iter()
            .map(|daemon| {
                let own = state.in_flight.get(&daemon.address).copied().unwrap_or_default();
                Helper { is_local: daemon.is_local, load: daemon.load.saturating_add(own) }
            })
            .collect();
        let needs_help = |daemon: &&HelperDaemon| daemon.is_local && daemon.lost.contains(service);
        let local_cut = 1 + state.daemons.iter().filter(needs_help).count();
        let index = select(&candidates, local_cut, &mut rng())?;
        let HelperDaemon { instance, address, .. } = eligible[index].clone();
        *state.in_flight.entry(address).or_default() += 1;
        Some(HelperUse { helpers: self.clone(), instance, address })
    }

    /// Avoids a daemon for a while, to which no connection could be made.
    pub(crate) fn on_failed(&self, now: MonotonicInstant, address: SocketAddr) {
        self.state().failed_at.insert(address, now);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_eligible(
        &self,
        now: MonotonicInstant,
        daemon: &HelperDaemon,
        service: &Service,
        tried: &[SocketAddr],
    ) -> bool {
        let failed_at = self.failed_at.get(&daemon.address);
        !daemon.lost.contains(service)
            && !tried.contains(&daemon.address)
            && failed_at.is_none_or(|at| now.since(*at) >= AVOID_TIME)
    }
}

impl Drop for HelperUse {
    fn drop(&mut self) {
        let mut state = self.helpers.state();
        if let Some(count) = state.in_flight.get_mut(&self.address) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                state.in_flight.remove(&self.address);
            }
        }
    }
}

#[cfg(test)]
mod tests;
