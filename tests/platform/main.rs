//! Daemons as separate processes on a stand-in of the users' platform.

mod brittle;
mod broken_streams;
mod crashes;
mod daemon;
mod duties;
mod endless;
mod endless_peers;
mod kept_connections;
mod late_requests;
mod limits;
mod many_daemons;
mod notices;
mod odd_entries;
mod partitions;
mod ranks;
#[path = "../../platform/standin/raw.rs"]
#[allow(unreachable_pub)]
mod raw;
mod restarts;
mod rollouts;
mod slow_readers;
#[path = "../../platform/standin/mod.rs"]
#[allow(unreachable_pub)]
mod standin;
mod versions;

use daemon::{CALL_TIMEOUT, Daemon, POLL_INTERVAL, POLLS_MAX, addresses, client, start_deployment};
use http::{Request, Response};
use hyper::body::Incoming;
use nix::sys::signal::Signal;
use spindle_http::{Body, read_body};
use standin::{Platform, STREAM_EVENTS, StoreBehaviour, Upstream, UpstreamBehaviour};
use std::process::Command;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn body(response: Response<Incoming>) -> Result<String, String> {
    let read = read_body(response.into_body(), 1 << 20, CALL_TIMEOUT).await;
    read.map(|content| String::from_utf8_lossy(&content).into_owned())
        .map_err(|error| error.to_string())
}

/// Returns the events of a complete stream, each once and in order.
fn complete_stream() -> String {
    (1..=STREAM_EVENTS).map(|event| format!("id: {event}\ndata: {event}\n\n")).collect()
}

#[tokio::test]
async fn only_requests_with_a_team_and_a_route_are_served() {
    let (platform, _upstreams, daemons) = start_deployment(2).await;
    for daemon in &daemons {
        assert!(daemon.is_ready().await);
        let response = daemon.send("r-1", "GET", "/read/a?b=c").await;
        assert!(response.headers().contains_key("x-response-signature"));
        assert_eq!(body(response).await.unwrap(), "/read/a cava");
        assert_eq!(daemon.send("r-2", "GET", "/nowhere/").await.status(), 404);
    }
    assert_eq!(platform.executions("r-1").len(), 2);
    assert!(platform.executions("r-2").is_empty());
    let request = Request::builder().uri(format!("http://{}/read/a", daemons[0].caller));
    let request = request.header("host", "h.example").header("x-request-id", "r-3");
    let response = client().send(request.body(Body::Empty).unwrap()).await.unwrap();
    assert_eq!(response.status(), 401);
    assert!(platform.executions("r-3").is_empty());
}

#[tokio::test]
async fn non_idempotent_request_is_not_retried_after_its_answer_is_lost() {
    let (platform, upstreams, daemons) = start_deployment(1).await;
    upstreams[0].set_behaviour(UpstreamBehaviour::DropsAnswers);
    upstreams[1].set_behaviour(UpstreamBehaviour::DropsAnswers);
    let response = daemons[0].send("b-1", "POST", "/book/x").await;
    assert_eq!(response.status(), 502);
    assert_eq!(platform.executions("b-1").len(), 1);
}

#[tokio::test]
async fn refusal_by_all_upstreams_is_returned_as_not_run_with_retry_after() {
    let (platform, upstreams, daemons) = start_deployment(1).await;
    upstreams[0].set_behaviour(UpstreamBehaviour::Full);
    upstreams[1].set_behaviour(UpstreamBehaviour::Full);
    let response = daemons[0].send("f-1", "POST", "/book/x").await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(!response.headers().contains_key("x-response-signature"));
    assert!(platform.executions("f-1").is_empty());
}

#[tokio::test]
async fn change_takes_effect_at_every_daemon_and_invalid_or_older_ones_are_ignored() {
    let (platform, _upstreams, daemons) = start_deployment(2).await;
    platform.configure(&serde_json::json!({"version": "none"}));
    let mut changed = standin::configuration(9);
    changed["routes"][0]["path-prefix"] = serde_json::json!("/new/");
    platform.configure(&changed);
    for daemon in &daemons {
        daemon.wait_for("/new/x", 200).await;
        assert_eq!(daemon.send("c-1", "GET", "/read/x").await.status(), 404);
    }
    // A lower version is never adopted.
    platform.configure(&standin::configuration(5));
    platform.truncate_history();
    tokio::time::sleep(Duration::from_secs(1)).await;
    for daemon in &daemons {
        assert_eq!(daemon.send("c-2", "GET", "/new/x").await.status(), 200);
    }
}

#[tokio::test]
async fn leaving_upstream_gets_no_new_requests() {
    let (platform, upstreams, daemons) = start_deployment(2).await;
    upstreams[0].leave("desk");
    // Longer than the platform allows daemons until they send no new requests to a leaving upstream.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (index, daemon) in daemons.iter().enumerate() {
        for attempt in 0..10 {
            let id = format!("l-{index}-{attempt}");
            assert_eq!(daemon.send(&id, "GET", "/read/x").await.status(), 200);
            assert_eq!(platform.executions(&id), ["i-2"]);
        }
    }
}

/// Guards against a restored store whose offsets, given out again, are taken for the continuation
/// of the records that were lost.
#[tokio::test]
async fn restored_store_is_read_again_from_the_start() {
    let (platform, upstreams, daemons) = start_deployment(2).await;
    platform.copy_store();
    let late = Upstream::start(&platform, "i-5", "desk").await;
    let mut changed = standin::configuration(9);
    changed["routes"][0]["path-prefix"] = serde_json::json!("/new/");
    platform.configure(&changed);
    for daemon in &daemons {
        daemon.wait_for("/new/x", 200).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.restore_store();
    upstreams[0].leave("desk");
    for _ in 0..3 {
        upstreams[1].renew("desk");
    }
    // Later than the daemons notice the restore, and within the time that upstreams are given.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    late.renew("desk");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for (index, daemon) in daemons.iter().enumerate() {
        for attempt in 0..20 {
            let id = format!("e-{index}-{attempt}");
            assert_eq!(daemon.send(&id, "GET", "/new/x").await.status(), 200);
            assert!(!platform.executions(&id).contains(&"i-1".to_owned()));
        }
    }
    upstreams[1].set_behaviour(UpstreamBehaviour::Full);
    for (index, daemon) in daemons.iter().enumerate() {
        let id = format!("e-{index}");
        assert_eq!(daemon.send(&id, "GET", "/new/x").await.status(), 200);
        assert_eq!(platform.executions(&id), ["i-5"]);
    }
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_unavailable() {
    let (platform, _upstreams, daemons) = start_deployment(2).await;
    for behaviour in [StoreBehaviour::Unavailable, StoreBehaviour::Silent] {
        platform.set_behaviour(behaviour);
        tokio::time::sleep(Duration::from_secs(2)).await;
        for daemon in &daemons {
            assert!(daemon.is_ready().await);
            assert_eq!(daemon.send("o-1", "GET", "/read/x").await.status(), 200);
        }
    }
    // The route may have been added meanwhile, so the answer is 503 and not 404.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(daemons[0].send("o-2", "GET", "/nowhere/").await.status(), 503);
}

#[tokio::test]
async fn daemons_find_each_other_through_the_store_when_no_seed_answers() {
    let platform = Platform::start().await;
    platform.configure(&standin::configuration(3));
    let nobody = addresses()[2];
    let start = |name| Daemon::start(&platform, name, addresses(), nobody);
    let daemons = [start("d-0"), start("d-1"), start("d-2")];
    for daemon in &daemons {
        daemon.wait_for_addresses(3).await;
    }
}

#[tokio::test]
async fn daemons_publish_their_addresses_again_after_the_store_was_restored() {
    let platform = Platform::start().await;
    platform.configure(&standin::configuration(3));
    platform.copy_store();
    let nobody = addresses()[2];
    let start = |name| Daemon::start(&platform, name, addresses(), nobody);
    let first = start("d-0");
    first.wait_for_addresses(1).await;
    platform.restore_store();
    // The second daemon finds the first one only through the store.
    let second = start("d-1");
    second.wait_for_addresses(2).await;
}

#[tokio::test]
async fn a_daemon_that_stops_writes_its_log_to_the_last_line() {
    let (_platform, _upstreams, mut daemons) = start_deployment(1).await;
    daemons[0].signal(Signal::SIGTERM);
    assert!(daemons[0].exit().await.success());
    let log = daemons[0].log();
    let last = log.lines().last().unwrap();
    assert!(last.contains("event=stopped") && last.contains("finished=true"), "{last}");
}

#[tokio::test]
async fn a_request_whose_upstream_is_silent_is_answered_before_a_planned_stop_ends() {
    let (platform, upstreams, mut daemons) = start_deployment(1).await;
    for upstream in &upstreams {
        upstream.set_behaviour(UpstreamBehaviour::Silent);
    }
    let request =
        Request::builder().method("POST").uri(format!("http://{}/book/x", daemons[0].caller));
    let headers = standin::caller_headers("silent-1");
    let request = headers.into_iter().fold(request, |all, (name, value)| all.header(name, value));
    let request = request.body(Body::from("content".to_owned())).unwrap();
    let sending = tokio::spawn(async move { client().send(request).await });
    while platform.executions("silent-1").is_empty() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    daemons[0].signal(Signal::SIGTERM);
    assert!(daemons[0].exit().await.success());
    let response = sending.await.unwrap();
    let status = response.map(|response| response.status().as_u16());
    assert!(matches!(status, Ok(502 | 504)), "{status:?}");
}

#[tokio::test]
async fn planned_stop_lets_open_streams_finish() {
    let (_platform, _upstreams, mut daemons) = start_deployment(2).await;
    let response = daemons[1].send("p-1", "POST", "/draft/x").await;
    daemons[1].signal(Signal::SIGTERM);
    assert_eq!(body(response).await.unwrap(), complete_stream());
    assert!(!daemons[1].is_ready().await);
    daemons[0].wait_for_addresses(1).await;
    assert!(daemons[1].exit().await.success());
}

#[tokio::test]
async fn oversized_requests_are_refused_before_they_reach_an_upstream() {
    let (platform, _upstreams, daemons) = start_deployment(1).await;
    let send = |header: (&'static str, String), body: Body| {
        let mut request = Request::builder().method("POST");
        request = request.uri(format!("http://{}/book/x", daemons[0].caller));
        for (name, value) in standin::caller_headers("big") {
            request = request.header(name, value);
        }
        let request = request.header(header.0, header.1).body(body).unwrap();
        async move { client().send(request).await.unwrap().status() }
    };
    let long = "x".repeat(20_000);
    assert_eq!(send(("x-long", long), Body::Empty).await, 431);
    let large = Body::from("y".repeat(100_000));
    assert_eq!(send(("x-short", "z".to_owned()), large).await, 413);
    assert!(platform.executions("big").is_empty());
}

#[tokio::test]
async fn daemons_killed_together_recover_the_configuration_from_the_store() {
    let (platform, _upstreams, daemons) = start_deployment(3).await;
    let mut changed = standin::configuration(9);
    changed["routes"][0]["path-prefix"] = serde_json::json!("/new/");
    platform.configure(&changed);
    daemons[2].wait_for("/new/x", 200).await;
    platform.truncate_history();
    let seed = daemons[0].peer;
    let addresses: Vec<_> = daemons
        .iter()
        .map(|daemon| [daemon.caller, daemon.ready, daemon.peer, daemon.directory])
        .collect();
    for mut daemon in daemons {
        daemon.signal(Signal::SIGKILL);
        daemon.exit().await;
    }
    for (index, addresses) in addresses.into_iter().enumerate() {
        let daemon = Daemon::start(&platform, &format!("d-{index}"), addresses, seed);
        // The first answers follow the newest configuration, or are 503 while none is known.
        daemon.wait_for_server().await;
        for attempt in 0..POLLS_MAX {
            let id = format!("again-{index}-{attempt}");
            match daemon.send(&id, "GET", "/new/x").await.status().as_u16() {
                200 => break,
                503 => tokio::time::sleep(POLL_INTERVAL).await,
                status => panic!("{status} for a route of the newest configuration"),
            }
            assert!(attempt + 1 < POLLS_MAX, "daemon {index} does not serve again");
        }
        daemon.wait_for("/read/x", 404).await;
    }
}

#[tokio::test]
async fn disconnected_caller_cancels_the_request_at_the_upstream() {
    let (platform, _upstreams, daemons) = start_deployment(1).await;
    let mut response = daemons[0].send("g-1", "POST", "/draft/x").await;
    let first = http_body_util::BodyExt::frame(response.body_mut()).await.unwrap().unwrap();
    assert!(first.is_data());
    drop(response);
    for _ in 0..POLLS_MAX {
        if platform.was_cancelled("g-1") {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the upstream request was not cancelled");
}

/// Sends raw bytes and returns what the daemon answers until it closes the connection or a second
/// has passed.
async fn send_raw(daemon: &Daemon, content: &str) -> String {
    let mut connection = TcpStream::connect(daemon.caller).await.unwrap();
    connection.write_all(content.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A connection reset counts as a refusal too, like an orderly close.
    let _ = tokio::time::timeout(Duration::from_secs(1), connection.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn requests_with_ambiguous_length_are_refused_and_smuggle_nothing() {
    let (platform, _upstreams, daemons) = start_deployment(1).await;
    let head: String = standin::caller_headers("u-1")
        .into_iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let hidden = format!("GET /read/hidden HTTP/1.1\r\n{}\r\n", head.replace("u-1", "u-2"));
    for lengths in [
        format!("content-length: 0\r\ncontent-length: {}\r\n", hidden.len()),
        "transfer-encoding: chunked, identity\r\n".to_owned(),
        "content-length: +0\r\n".to_owned(),
        "content-length : 0\r\n".to_owned(),
    ] {
        let request = format!("POST /book/x HTTP/1.1\r\n{head}{lengths}\r\n0\r\n\r\n{hidden}");
        let answer = send_raw(&daemons[0], &request).await;
        let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 400");
        assert!(refused, "{lengths:?}: {answer:?}");
    }
    assert!(platform.executions("u-1").is_empty());
    assert!(platform.executions("u-2").is_empty());
    // With both headers `transfer-encoding` takes precedence, and the connection is closed after the
    // request.
    let length = format!("content-length: {}\r\n", hidden.len() + 5);
    let chunked = "transfer-encoding: chunked\r\n";
    for lengths in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        let request = format!("POST /book/x HTTP/1.1\r\n{head}{lengths}\r\n0\r\n\r\n{hidden}");
        send_raw(&daemons[0], &request).await;
    }
    assert!(platform.executions("u-2").is_empty());
}

#[tokio::test]
async fn platform_settings_are_checked_without_starting_a_daemon() {
    let platform = Platform::start().await;
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("boot.yaml");
    let check = || {
        let command = ["check", "--platform", "--settings"];
        Command::new(env!("CARGO_BIN_EXE_bronzespindle")).args(command).arg(&path).output().unwrap()
    };
    std::fs::write(&path, platform.settings("d-0", &addresses(), &[])).unwrap();
    let output = check();
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("instance=d-0 data_centre=a-1"));
    let mistaken = platform.settings("D 0", &addresses(), &[]).replace("a-1", "A 1");
    std::fs::write(&path, mistaken).unwrap();
    let output = check();
    assert_eq!(output.status.code(), Some(2));
    // All mistakes are reported at once.
    let mistakes = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        mistakes.contains("node-name: holds 'D'") && mistakes.contains("zones.A 1"),
        "{mistakes}"
    );
}
