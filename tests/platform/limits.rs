//! Limits on the rate of requests that upstreams name in their responses.

use crate::daemon::{Daemon, start_deployment};
use crate::standin::Platform;
use std::time::{Duration, Instant};

/// How long after a daemon has learned of a limit its requests count against it.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Sends requests through each daemon until it has returned a response that names a limit.
async fn wait_until_told(daemons: &[Daemon]) {
    for (index, daemon) in daemons.iter().enumerate() {
        for attempt in 0.. {
            let response = daemon.send(&format!("told-{index}-{attempt}"), "GET", "/read/x").await;
            if response.headers().contains_key("server-limit") {
                break;
            }
        }
    }
    tokio::time::sleep(NOTICE_TIME).await;
}

/// Sends requests through all daemons in turn. Returns the number of those that got status 200, and
/// the number that the upstream executed.
async fn send_all(
    platform: &Platform,
    daemons: &[Daemon],
    count: usize,
    upstream: &str,
) -> (usize, usize) {
    let (mut answered, mut executed) = (0, 0);
    for request in 0..count {
        let id = format!("r-{request}");
        let response = daemons[request % daemons.len()].send(&id, "GET", "/read/x").await;
        answered += usize::from(response.status() == 200);
        executed += platform.executions(&id).iter().filter(|name| *name == upstream).count();
    }
    (answered, executed)
}

#[tokio::test]
#[ignore = "KNOWN-RED"]
async fn an_upstream_gets_no_more_requests_from_all_daemons_than_the_limit_that_it_names() {
    let (platform, upstreams, daemons) = start_deployment(3).await;
    upstreams[0].set_limit(Some("0.5"));
    wait_until_told(&daemons).await;
    let started = Instant::now();
    let (answered, executed) = send_all(&platform, &daemons, 60, "i-1").await;
    let allowed = 1.5 * 0.5 * started.elapsed().as_secs_f64() + 5.0;
    assert_eq!(answered, 60);
    assert!(executed as f64 <= allowed, "{executed} requests, {allowed} allowed");
}
