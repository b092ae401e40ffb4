//! Requests that come while a daemon stops by plan.

use crate::daemon::{Daemon, POLL_INTERVAL, start_deployment};
use crate::standin::{self, Platform};
use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use nix::sys::signal::Signal;
use spindle_http::{Body, Handler, read_body};
use spindle_standin::server::StandinServer;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Interval at which requests are sent, for longer than the shutdown period of 4 s.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
const SENDS: usize = 45;

/// How long the upstream works on its requests once the stop has begun, in turn.
const WORK_MILLIS: [u64; 5] = [50, 300, 1_000, 2_500, 6_000];

/// An upstream that becomes slower when the stop begins.
#[derive(Clone, Default)]
struct SlowUpstream {
    executed: Arc<Mutex<BTreeSet<String>>>,
    /// The number of requests since the stop has begun; `None` before.
    since_stop: Arc<Mutex<Option<usize>>>,
}

impl Handler for SlowUpstream {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let id = request.headers()["x-request-id"].to_str().unwrap().to_owned();
        let _body = read_body(request.into_body(), 1 << 16, Duration::from_secs(5)).await;
        self.executed.lock().unwrap().insert(id.clone());
        let work = self.since_stop.lock().unwrap().as_mut().map_or(0, |count| {
            *count += 1;
            WORK_MILLIS[*count % WORK_MILLIS.len()]
        });
        tokio::time::sleep(Duration::from_millis(work)).await;
        let response = Response::builder().header("x-request-id", id);
        let response = response.header("x-response-signature", "s");
        response.body(Body::Whole(Bytes::from_static(b"done"))).unwrap()
    }
}

/// Sends a request that may not be repeated, its head in two halves if `pause` is given. Returns the
/// status of the response; `None` if there is none.
async fn send(stream: &mut TcpStream, id: &str, pause: Option<Duration>) -> Option<u16> {
    let headers = standin::caller_headers(id);
    let headers: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let request = format!("POST /book/x HTTP/1.1\r\n{headers}content-length: 7\r\n\r\ncontent");
    let (first, rest) = request.split_at(request.len() / 2);
    stream.write_all(first.as_bytes()).await.ok()?;
    if let Some(pause) = pause {
        tokio::time::sleep(pause).await;
    }
    stream.write_all(rest.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    let mut buffer = [0; 4_096];
    while !response.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(length @ 1..) => response.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    }
    let head = String::from_utf8_lossy(&response);
    head.split(' ').nth(1)?.parse().ok()
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect(address).await.ok()
}

/// Registers a slow upstream as the only one of its service.
async fn slow_service(platform: &Platform) -> (SlowUpstream, StandinServer) {
    let upstream = SlowUpstream::default();
    let server = StandinServer::start(upstream.clone()).await.unwrap();
    for name in ["i-1", "i-2"] {
        platform.put("keyed.servers", name, None);
    }
    let entry = serde_json::json!({
        "service": "desk", "address": server.address(), "zone": "a-1", "slots": 64,
        "version": standin::FIRST_VERSION, "state": "ready", "born": 1_700_000_000_000_u64,
    });
    platform.put("keyed.servers", "i-slow", Some(&entry));
    (upstream, server)
}

/// Waits until a daemon sends its requests to the slow upstream only.
async fn wait_for_upstream(daemon: &Daemon, upstream: &SlowUpstream) {
    let mut sent_there = 0;
    for attempt in 0.. {
        let id = format!("first-{attempt}");
        daemon.send(&id, "POST", "/book/x").await;
        let is_there = upstream.executed.lock().unwrap().contains(&id);
        sent_there = if is_there { sent_there + 1 } else { 0 };
        if sent_there >= 20 {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// In a planned stop, requests that came late in the shutdown period were passed on and then cut off
/// without an answer, among them some that may not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_come_late_in_a_planned_stop_are_answered_or_not_passed_on() {
    let (platform, _upstreams, mut daemons) = start_deployment(2).await;
    let (upstream, _server) = slow_service(&platform).await;
    wait_for_upstream(&daemons[0], &upstream).await;
    let caller = daemons[0].caller;
    let mut kept = Vec::new();
    for connection in 0..SENDS {
        let mut stream = connect(caller).await.unwrap();
        assert_eq!(send(&mut stream, &format!("kept-{connection}"), None).await, Some(200));
        kept.push(stream);
    }
    let answers: Arc<Mutex<BTreeMap<String, Option<u16>>>> = Arc::default();
    let mut requests = JoinSet::new();
    *upstream.since_stop.lock().unwrap() = Some(0);
    daemons[0].signal(Signal::SIGTERM);
    for (index, mut stream) in kept.into_iter().enumerate() {
        let half_sent = (index % 3 == 0).then_some(SEND_INTERVAL * 5);
        let kept_answers = Arc::clone(&answers);
        requests.spawn(async move {
            let id = format!("late-kept-{index}");
            let status = send(&mut stream, &id, half_sent).await;
            kept_answers.lock().unwrap().insert(id, status);
        });
        let answers = Arc::clone(&answers);
        requests.spawn(async move {
            let Some(mut stream) = connect(caller).await else { return };
            let id = format!("late-new-{index}");
            let status = send(&mut stream, &id, None).await;
            answers.lock().unwrap().insert(id, status);
        });
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    requests.join_all().await;
    assert!(daemons[0].exit().await.success());
    let (answers, executed) = (answers.lock().unwrap(), upstream.executed.lock().unwrap());
    let passed_on: Vec<_> = executed.iter().filter(|id| id.starts_with("late")).collect();
    assert!(passed_on.len() >= 5, "{passed_on:?}");
    for id in passed_on {
        let status = answers[id.as_str()];
        assert!(matches!(status, Some(200 | 502 | 504)), "{id}: {status:?}");
    }
}
