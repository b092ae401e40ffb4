//! Tells callers which daemons to connect to.

use super::boot_clock::BootClock;
use super::status_exchange::PeerStatuses;
use spindle_platform::directory::Discovery;
use spindle_types::{Clock, DataCentre};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How long callers may cache an answer. Short compared with the time during which a daemon that
/// shuts down still accepts requests, and long compared with the cost of a lookup.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Maximum number of addresses in an answer, as documented for users.
const MAX_ADDRESSES: usize = 64;

/// Answers address lookups and readiness probes from the daemon statuses.
#[derive(Clone, Debug)]
pub struct NodeDiscovery {
    statuses: PeerStatuses,
    clock: BootClock,
    /// The addresses in the last answer.
    last: Arc<Mutex<Vec<SocketAddr>>>,
}

impl NodeDiscovery {
    /// Creates a handler that answers from `statuses`.
    pub fn new(statuses: PeerStatuses, clock: BootClock) -> Self {
        Self { statuses, clock, last: Arc::default() }
    }

    fn log_change(&self, addresses: &[SocketAddr]) {
        // A poisoned lock is still consistent: the list is replaced as a whole.
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if *last == addresses {
            return;
        }
        log::info!(
            "event=addresses_changed named={} before={} addresses={addresses:?}",
            addresses.len(),
            last.len(),
        );
        addresses.clone_into(&mut last);
    }
}

impl Discovery for NodeDiscovery {
    fn addresses(&self, _near: Option<&DataCentre>) -> Option<(Vec<SocketAddr>, Duration)> {
        let mut addresses = self.statuses.ready_addresses(self.clock.now());
        addresses.truncate(MAX_ADDRESSES);
        self.log_change(&addresses);
        if addresses.is_empty() { None } else { Some((addresses, ADDRESS_TTL)) }
    }

    fn ready(&self) -> bool {
        self.statuses.is_ready()
    }
}
