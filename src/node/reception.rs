//! Which daemons callers are told to use.

use super::boot_clock::BootClock;
use super::statuses::Statuses;
use spindle_platform::directory::Discovery;
use spindle_types::{Clock, DataCentre};
use std::net::SocketAddr;
use std::time::Duration;

/// For how long callers may keep an answer. Short against the time in which a stopping daemon still
/// takes requests, long against the cost of asking.
const ANSWER_LIFE: Duration = Duration::from_secs(2);

/// The most addresses in an answer, from the users' pages.
const ADDRESSES_MAX: usize = 64;

/// Answers callers who ask where to connect.
#[derive(Clone, Debug)]
pub struct NodeReception {
    statuses: Statuses,
    clock: BootClock,
}

impl NodeReception {
    /// A reception that tells what the statuses of the daemons tell.
    pub const fn new(statuses: Statuses, clock: BootClock) -> Self {
        Self { statuses, clock }
    }
}

impl Discovery for NodeReception {
    fn addresses(&self, _near: Option<&DataCentre>) -> Option<(Vec<SocketAddr>, Duration)> {
        let mut addresses = self.statuses.ready(self.clock.now());
        addresses.truncate(ADDRESSES_MAX);
        if addresses.is_empty() { None } else { Some((addresses, ANSWER_LIFE)) }
    }

    fn ready(&self) -> bool {
        self.statuses.is_ready()
    }
}
