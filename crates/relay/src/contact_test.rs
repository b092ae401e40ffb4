//! Test connections to upstreams, by which a daemon learns that it is cut off from them, and that it
//! no longer is.

use crate::balancer::Balancer;
use crate::connection::CONNECT_TIMEOUT;
use rand::RngExt;
use spindle_policy::upstream_registry::UpstreamKey;
use spindle_types::Clock;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Interval at which due tests are begun.
const TICK: Duration = Duration::from_millis(50);

/// Tests the connections to upstreams of services without contact, until the process exits.
pub async fn run<K: Clock>(balancer: Balancer, clock: K) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let due = balancer.take_tests(clock.now(), || rand::rng().random());
        for (key, address) in due {
            let (balancer, clock) = (balancer.clone(), clock.clone());
            tokio::spawn(async move { test(&balancer, &clock, key, address).await });
        }
    }
}

/// Whether an upstream accepts a connection. The result is recorded.
pub(crate) async fn test<K: Clock>(
    balancer: &Balancer,
    clock: &K,
    key: UpstreamKey,
    address: SocketAddr,
) -> bool {
    let started = clock.now();
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let reached = matches!(connecting, Ok(Ok(_)));
    balancer.on_test(clock.now(), started, key, reached);
    reached
}
