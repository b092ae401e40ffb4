//! Limits on the rate of requests that upstreams name in their responses.

use crate::daemon::{Daemon, POLL_INTERVAL, client, start_deployment};
use crate::standin::{self, Platform};
use http::Request;
use nix::sys::signal::Signal;
use spindle_http::Body;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// How long after a daemon has learned of a limit its requests count against it.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// The time between two requests to one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// How long a request to a daemon may take.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// The span over which the users count requests to a limited upstream.
const COUNTED_SPAN: Duration = Duration::from_secs(4);

/// Requests that a daemon gets at most until it has returned a response that names a limit.
const TELLING_REQUESTS: usize = 50;

/// Sends requests through each daemon until it has returned a response that names a limit. Returns
/// the daemons that have. A daemon that hears of the limit from another one may have no part of it,
/// and get no such response.
async fn tell(daemons: &[Daemon]) -> Vec<&Daemon> {
    let mut told = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        for attempt in 0..TELLING_REQUESTS {
            let response = daemon.send(&format!("told-{index}-{attempt}"), "GET", "/read/x").await;
            if response.headers().contains_key("server-limit") {
                told.push(daemon);
                break;
            }
        }
    }
    tokio::time::sleep(NOTICE_TIME).await;
    told
}

/// Sends requests through some daemons in turn. Returns the number of those that got status 200, and
/// the number that the upstream executed.
async fn send_all(
    platform: &Platform,
    daemons: &[&Daemon],
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
async fn an_upstream_gets_no_more_requests_from_all_daemons_than_the_limit_that_it_names() {
    let (platform, upstreams, daemons) = start_deployment(3).await;
    upstreams[0].set_limit(Some("0.5"));
    let told = tell(&daemons).await;
    let started = Instant::now();
    let (answered, executed) = send_all(&platform, &told, 60, "i-1").await;
    let allowed = 1.5 * 0.5 * started.elapsed().as_secs_f64() + 5.0;
    assert_eq!(answered, 60);
    assert!(executed as f64 <= allowed, "{executed} requests, {allowed} allowed");
}

#[tokio::test]
async fn requests_that_no_limit_permits_are_refused_as_not_run_with_retry_after() {
    let (platform, upstreams, daemons) = start_deployment(2).await;
    upstreams[0].set_limit(Some("0.2"));
    upstreams[1].set_limit(Some("0.2"));
    tell(&daemons).await;
    let mut refused = 0;
    for request in 0..40 {
        let id = format!("r-{request}");
        let response = daemons[request % 2].send(&id, "POST", "/book/x").await;
        if response.status() == 503 {
            refused += 1;
            let retry_after = response.headers()["retry-after"].to_str().unwrap();
            assert!(retry_after.parse::<f64>().unwrap() > 0.0, "{retry_after}");
            assert!(platform.executions(&id).is_empty());
        }
    }
    assert!(refused >= 20, "{refused} refused");
}

#[tokio::test]
async fn limits_that_are_no_rate_lose_no_request() {
    let (platform, upstreams, daemons) = start_deployment(2).await;
    let all: Vec<&Daemon> = daemons.iter().collect();
    for text in ["0", "-3", "many", "1e300"] {
        upstreams[0].set_limit(Some(text));
        upstreams[1].set_limit(Some(text));
        let (answered, _) = send_all(&platform, &all, 10, "i-1").await;
        assert_eq!(answered, 10, "{text}");
    }
}

/// Sends requests until the upstream has executed one and returns whether it did.
async fn is_used(platform: &Platform, daemons: &[Daemon], upstream: &str) -> bool {
    for attempt in 0..1_500 {
        let id = format!("{upstream}-{attempt}");
        daemons[attempt % daemons.len()].send(&id, "GET", "/read/x").await;
        if platform.executions(&id).iter().any(|name| name == upstream) {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

#[tokio::test]
async fn a_limited_upstream_is_used_within_its_limit_and_freely_once_that_was_lifted() {
    let (platform, upstreams, daemons) = start_deployment(2).await;
    upstreams[0].set_limit(Some("2"));
    tell(&daemons).await;
    assert!(is_used(&platform, &daemons, "i-1").await);
    upstreams[0].set_limit(None);
    upstreams[1].set_limit(Some("0.2"));
    let mut whole_batches = 0;
    for batch in 0..1_500 {
        let mut answered = 0;
        for request in 0..10 {
            let id = format!("b-{batch}-{request}");
            let response = daemons[request % 2].send(&id, "GET", "/read/x").await;
            answered += usize::from(response.status() == 200);
        }
        whole_batches += usize::from(answered == 10);
        if whole_batches == 20 {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("only {whole_batches} batches of 10 requests were served whole");
}

/// Sends requests to a daemon at an even rate. Returns when it first returned a response that names
/// a limit.
async fn send_steadily(daemon: SocketAddr, name: usize, count: usize) -> (usize, Option<Instant>) {
    let mut told = None;
    let client = client();
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
    for request in 0..count {
        ticks.tick().await;
        let mut builder = Request::builder().uri(format!("http://{daemon}/read/x"));
        for (key, value) in standin::caller_headers(&format!("{name}:{request}")) {
            builder = builder.header(key, value);
        }
        // A daemon that was killed or suspended does not answer.
        let sending = client.send(builder.body(Body::Empty).unwrap());
        let Ok(Ok(response)) = tokio::time::timeout(ANSWER_TIME, sending).await else { continue };
        if response.headers().contains_key("server-limit") {
            told.get_or_insert_with(Instant::now);
        }
    }
    (name, told)
}

#[tokio::test]
async fn a_limit_holds_while_a_daemon_is_killed_and_another_one_suspended_and_resumed() {
    let limit = 2.0;
    let (platform, upstreams, mut daemons) = start_deployment(6).await;
    upstreams[0].set_limit(Some("2"));
    let mut senders = JoinSet::new();
    for (name, daemon) in daemons.iter().enumerate() {
        senders.spawn(send_steadily(daemon.caller, name, 280));
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    drop(daemons.remove(5));
    daemons[4].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(3)).await;
    daemons[4].signal(Signal::SIGCONT);
    let told: BTreeMap<usize, Instant> = senders
        .join_all()
        .await
        .into_iter()
        .filter_map(|(name, told)| Some((name, told? + NOTICE_TIME)))
        .collect();
    let counted: Vec<Instant> = platform
        .executions_at("i-1")
        .iter()
        .filter_map(|execution| {
            let sender = execution.id.split_once(':')?.0.parse().ok()?;
            told.get(&sender).filter(|from| execution.at >= **from).map(|_| execution.at)
        })
        .collect();
    let in_span = |end: &Instant| {
        counted.iter().filter(|at| *at <= end && end.duration_since(**at) < COUNTED_SPAN).count()
    };
    let most = counted.iter().map(in_span).max().unwrap_or_default();
    let allowed = 1.5 * limit * COUNTED_SPAN.as_secs_f64() + 5.0;
    assert!(!counted.is_empty(), "the limited upstream was not used");
    assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
}
