//! Test connections to upstreams, by which a daemon learns that it is cut off from them, and that it
//! no longer is.

use crate::balancer::Balancer;
use crate::connection::CONNECT_TIMEOUT;
use crate::upstream_contacts::ContactRound;
use futures_util::future::join_all;
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
        for round in balancer.take_tests(clock.now(), || rand::rng().random()) {
            tokio::spawn(run_round(balancer.clone(), clock.clone(), round));
        }
    }
}

async fn run_round<K: Clock>(balancer: Balancer, clock: K, round: ContactRound) {
    let ContactRound { service, upstreams, is_sample } = round;
    let tested = upstreams.len();
    let tests = upstreams.into_iter().map(|(key, address)| test(&balancer, &clock, key, address));
    let results = join_all(tests).await;
    if is_sample {
        let reached = results.into_iter().filter(|reached| *reached).count();
        balancer.on_sample(clock.now(), &service, reached, tested);
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
