//! Upstreams of several versions of their software in one service.

use crate::daemon::{CALL_TIMEOUT, Daemon, POLL_INTERVAL, client, start_deployment};
use crate::standin::{
    self, FIRST_VERSION, Platform, STREAM_EVENTS, Upstream, UpstreamBehaviour, event,
};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use nix::sys::signal::Signal;
use spindle_http::Body;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) const SECOND_VERSION: &str = "v1.1";

/// Streams in each test.
const STREAMS: usize = 12;

/// Sends a request for a stream with more headers than usual.
pub(crate) async fn start_stream(
    daemon: SocketAddr,
    id: &str,
    headers: &[(&str, &str)],
) -> Response<Incoming> {
    let mut request = Request::builder().method("POST").uri(format!("http://{daemon}/draft/x"));
    for (name, value) in standin::caller_headers(id) {
        request = request.header(name, value);
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Body::from("content".to_owned())).unwrap();
    tokio::time::timeout(CALL_TIMEOUT, client().send(request)).await.unwrap().unwrap()
}

/// Reads a stream until it has that many events or ends. Returns its text and whether it is complete.
pub(crate) async fn read_events(response: &mut Response<Incoming>, count: usize) -> (String, bool) {
    let mut text = String::new();
    while text.matches("\n\n").count() < count {
        match response.body_mut().frame().await {
            Some(Ok(frame)) => {
                text.push_str(&String::from_utf8_lossy(&frame.into_data().unwrap()));
            }
            Some(Err(_)) => return (text, false),
            None => return (text, true),
        }
    }
    (text, false)
}

/// Returns the events of a stream after `after`, as one version writes them.
pub(crate) fn events(version: &str, after: u64) -> String {
    (after + 1..=STREAM_EVENTS).map(|number| event(version, number)).collect()
}

/// The version that wrote the first event of a text.
pub(crate) fn version_of(text: &str) -> &'static str {
    if text.contains(SECOND_VERSION) { SECOND_VERSION } else { FIRST_VERSION }
}

/// The id of the last event of a text.
fn last_id(text: &str) -> u64 {
    text.rsplit("id: ").next().unwrap().lines().next().unwrap().parse().unwrap()
}

/// Starts daemons, and two upstreams of each version of the model service.
async fn start_versions(daemons: usize) -> (Platform, Vec<Upstream>, Vec<Daemon>) {
    let (platform, mut upstreams, daemons) = start_deployment(daemons).await;
    for name in ["i-5", "i-6"] {
        upstreams.push(Upstream::start_version(&platform, name, "model", SECOND_VERSION).await);
    }
    for daemon in &daemons {
        while daemon.log().matches("event=upstream_added upstream=").count() < 6 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    (platform, upstreams, daemons)
}

#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_only_at_the_version_that_began_it() {
    let (_platform, upstreams, daemons) = start_versions(1).await;
    upstreams[2].set_behaviour(UpstreamBehaviour::TruncatesStreams);
    upstreams[4].set_behaviour(UpstreamBehaviour::TruncatesStreams);
    for stream in 0..STREAMS {
        let mut response = start_stream(daemons[0].caller, &format!("s-{stream}"), &[]).await;
        let (text, complete) = read_events(&mut response, usize::MAX).await;
        assert!(complete, "{text}");
        assert_eq!(text, events(version_of(&text), 0));
    }
}

/// Starts streams at the first `lost` daemons, signals these, and takes the streams up at the others.
/// Returns what had arrived of each stream, and the response that goes on with it.
async fn take_up_after(
    daemons: &mut Vec<Daemon>,
    lost: usize,
    signal: Signal,
) -> Vec<(String, Response<Incoming>)> {
    let mut streams = Vec::new();
    for stream in 0..STREAMS {
        let id = format!("s-{stream}");
        let response = start_stream(daemons[stream % lost].caller, &id, &[]).await;
        streams.push((id, response));
    }
    let mut begun = Vec::new();
    for (id, mut response) in streams {
        let (text, _) = read_events(&mut response, 5).await;
        begun.push((id, text, response));
    }
    let others = daemons.split_off(lost);
    for daemon in daemons.iter_mut() {
        daemon.signal(signal);
        if signal == Signal::SIGKILL {
            daemon.exit().await;
        }
    }
    let mut resumed = Vec::new();
    for (index, (id, text, _)) in begun.into_iter().enumerate() {
        let daemon = others[index % others.len()].caller;
        let after = last_id(&text).to_string();
        let headers = [("resumes", id.as_str()), ("last-event-id", after.as_str())];
        resumed.push((text, start_stream(daemon, &format!("{id}-2"), &headers).await));
    }
    daemons.extend(others);
    resumed
}

/// Checks that streams go on to their end at the version that began them. Returns the versions.
async fn check_versions(resumed: Vec<(String, Response<Incoming>)>) -> BTreeSet<&'static str> {
    let mut versions = BTreeSet::new();
    for (begun, mut response) in resumed {
        assert_eq!(response.status(), 200);
        let (rest, complete) = read_events(&mut response, usize::MAX).await;
        assert!(complete, "{rest}");
        assert_eq!(rest, events(version_of(&begun), last_id(&begun)), "{begun}");
        versions.insert(version_of(&begun));
    }
    versions
}

#[tokio::test]
async fn a_stream_taken_up_at_another_daemon_goes_on_at_the_version_that_began_it() {
    let (_platform, _upstreams, mut daemons) = start_versions(4).await;
    let resumed = take_up_after(&mut daemons, 1, Signal::SIGKILL).await;
    assert_eq!(check_versions(resumed).await.len(), 2);
}

#[tokio::test]
async fn the_last_daemon_left_goes_on_with_the_streams_of_all_others() {
    let (_platform, _upstreams, mut daemons) = start_versions(4).await;
    let resumed = take_up_after(&mut daemons, 3, Signal::SIGKILL).await;
    assert_eq!(check_versions(resumed).await.len(), 2);
}

#[tokio::test]
async fn a_stream_of_a_suspended_daemon_goes_on_at_the_version_that_began_it() {
    let (_platform, _upstreams, mut daemons) = start_versions(3).await;
    let resumed = take_up_after(&mut daemons, 1, Signal::SIGSTOP).await;
    assert_eq!(check_versions(resumed).await.len(), 2);
}

#[tokio::test]
async fn a_restarted_daemon_goes_on_with_streams_that_others_have_on_record() {
    let (platform, _upstreams, mut daemons) = start_versions(3).await;
    let restarted = daemons.pop().unwrap();
    let addresses = [restarted.caller, restarted.ready, restarted.peer, restarted.directory];
    let (name, seed) = (restarted.name.clone(), daemons[0].peer);
    let id = "s-0";
    let mut begun = start_stream(daemons[0].caller, id, &[]).await;
    let (text, _) = read_events(&mut begun, 3).await;
    drop(restarted);
    drop(daemons.remove(0));
    let daemon = Daemon::start(&platform, &name, addresses, seed);
    daemon.wait_for_server().await;
    daemon.wait_for("/read/x", 200).await;
    daemon.wait_for_addresses(2).await;
    let after = last_id(&text).to_string();
    let headers = [("resumes", id), ("last-event-id", after.as_str())];
    let response = start_stream(daemon.caller, "s-0-2", &headers).await;
    check_versions(vec![(text, response)]).await;
}

#[tokio::test]
async fn a_restarted_daemon_learns_from_others_that_there_was_one_version() {
    let (platform, _upstreams, mut daemons) = start_deployment(3).await;
    platform.end_first_start();
    let restarted = daemons.pop().unwrap();
    let addresses = [restarted.caller, restarted.ready, restarted.peer, restarted.directory];
    let (name, seed) = (restarted.name.clone(), daemons[0].peer);
    drop(restarted);
    let daemon = Daemon::start(&platform, &name, addresses, seed);
    while !daemon.log().contains("event=versions_adopted") {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    daemons.push(daemon);
    let resumed = take_up_after(&mut daemons, 2, Signal::SIGKILL).await;
    assert_eq!(check_versions(resumed).await, BTreeSet::from([FIRST_VERSION]));
}

#[tokio::test]
async fn a_stream_taken_up_at_another_daemon_goes_on_while_there_is_one_version() {
    let (_platform, _upstreams, mut daemons) = start_deployment(3).await;
    let resumed = take_up_after(&mut daemons, 1, Signal::SIGKILL).await;
    assert_eq!(check_versions(resumed).await, BTreeSet::from([FIRST_VERSION]));
}

#[tokio::test]
async fn a_stream_whose_version_is_unknown_or_gone_is_refused_as_not_run() {
    let (platform, upstreams, daemons) = start_versions(2).await;
    let mut begun = start_stream(daemons[0].caller, "s-0", &[]).await;
    let (text, _) = read_events(&mut begun, 3).await;
    let unknown = [("resumes", "never-seen")];
    let repeated = [("resumes", "s-0"), ("resumes", "s-1")];
    for headers in [&unknown[..], &repeated[..], &[]] {
        let headers = [headers, &[("last-event-id", "3")]].concat();
        let response = start_stream(daemons[1].caller, "s-unknown", &headers).await;
        assert_eq!(response.status(), 503, "{headers:?}");
        assert!(response.headers().contains_key("retry-after"));
    }
    assert!(platform.executions("s-unknown").is_empty());
    // No event has arrived, so any version may begin the stream.
    for headers in [&[unknown[0]][..], &[unknown[0], ("last-event-id", "")]] {
        let mut response = start_stream(daemons[1].caller, "s-new", headers).await;
        let (all, complete) = read_events(&mut response, usize::MAX).await;
        assert!(complete);
        assert_eq!(all, events(version_of(&all), 0));
    }
    let gone = if version_of(&text) == FIRST_VERSION { 2..4 } else { 4..6 };
    for upstream in &upstreams[gone] {
        upstream.leave("model");
    }
    for daemon in &daemons {
        while daemon.log().matches("event=upstream_leaving upstream=").count() < 2 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    let headers = [("resumes", "s-0"), ("last-event-id", "3")];
    let response = start_stream(daemons[1].caller, "s-gone", &headers).await;
    assert_eq!(response.status(), 503);
    assert!(platform.executions("s-gone").is_empty());
}

#[tokio::test]
async fn a_stream_of_a_split_route_goes_on_at_the_service_that_began_it() {
    let (platform, _upstreams, mut daemons) = start_deployment(3).await;
    let _other = Upstream::start_version(&platform, "i-5", "other", SECOND_VERSION).await;
    let mut split = standin::configuration(7);
    split["services"].as_array_mut().unwrap().push(serde_json::json!({"name": "other"}));
    let halves = serde_json::json!([
        {"service": "model", "weight": 1}, {"service": "other", "weight": 1},
    ]);
    split["routes"][2].as_object_mut().unwrap().remove("service");
    split["routes"][2]["traffic-split"] = halves;
    platform.configure(&split);
    for daemon in &daemons {
        let in_force = || daemon.log().contains("event=configuration_in_force version=7");
        while !in_force() || !daemon.log().contains("event=upstream_added upstream=i-5") {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    let resumed = take_up_after(&mut daemons, 1, Signal::SIGKILL).await;
    assert_eq!(check_versions(resumed).await.len(), 2);
}

/// Starts streams, kills all daemons at once and starts them again. Takes the streams up once each
/// daemon serves requests. Returns what had arrived of each stream, and the response.
async fn take_up_after_kill_of_all(
    platform: &Platform,
    daemons: Vec<Daemon>,
    while_down: impl AsyncFnOnce(),
) -> Vec<(String, Response<Incoming>)> {
    platform.end_first_start();
    let mut begun = Vec::new();
    for stream in 0..STREAMS {
        let id = format!("s-{stream}");
        let daemon = &daemons[stream % daemons.len()];
        begun.push((id.clone(), start_stream(daemon.caller, &id, &[]).await));
    }
    let mut texts = Vec::new();
    for (id, mut response) in begun {
        let (text, _) = read_events(&mut response, 5).await;
        texts.push((id, text, response));
    }
    // Time to tell and store.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let restarts: Vec<_> = daemons
        .iter()
        .map(|daemon| {
            (daemon.name.clone(), [daemon.caller, daemon.ready, daemon.peer, daemon.directory])
        })
        .collect();
    drop(daemons);
    while_down().await;
    let seed = restarts[0].1[2];
    let daemons: Vec<Daemon> = restarts
        .iter()
        .map(|(name, addresses)| Daemon::start(platform, name, *addresses, seed))
        .collect();
    for daemon in &daemons {
        daemon.wait_for_server().await;
        daemon.wait_for("/read/x", 200).await;
    }
    let mut resumed = Vec::new();
    for (index, (id, text, _)) in texts.into_iter().enumerate() {
        let daemon = daemons[(index + 1) % daemons.len()].caller;
        let after = last_id(&text).to_string();
        let headers = [("resumes", id.as_str()), ("last-event-id", after.as_str())];
        let mut response = start_stream(daemon, &format!("{id}-2"), &headers).await;
        if response.status() == 200 {
            let (rest, complete) = read_events(&mut response, usize::MAX).await;
            assert!(complete, "{rest}");
            assert_eq!(rest, events(version_of(&text), last_id(&text)), "{text}");
        }
        resumed.push((text, response));
    }
    resumed
}

/// The number of streams that went on, of each version.
fn went_on(resumed: &[(String, Response<Incoming>)], version: &str) -> usize {
    let of_version = resumed.iter().filter(|(text, _)| version_of(text) == version);
    of_version.filter(|(_, response)| response.status() == 200).count()
}

#[tokio::test]
async fn streams_of_the_only_version_go_on_after_all_daemons_were_killed() {
    let (platform, _upstreams, daemons) = start_deployment(3).await;
    let resumed = take_up_after_kill_of_all(&platform, daemons, async || {}).await;
    assert!(went_on(&resumed, FIRST_VERSION) * 10 >= STREAMS * 9, "{resumed:?}");
}

#[tokio::test]
async fn streams_of_two_versions_go_on_at_their_own_after_all_daemons_were_killed() {
    let (platform, _upstreams, daemons) = start_versions(3).await;
    let resumed = take_up_after_kill_of_all(&platform, daemons, async || {}).await;
    let counts = [FIRST_VERSION, SECOND_VERSION].map(|version| went_on(&resumed, version));
    assert!(counts.iter().sum::<usize>() * 10 >= STREAMS * 9, "{counts:?}");
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

#[tokio::test]
async fn streams_of_a_version_that_left_while_all_daemons_were_down_are_refused() {
    let (platform, upstreams, daemons) = start_versions(3).await;
    let old = upstreams[2..4].to_vec();
    let resumed = take_up_after_kill_of_all(&platform, daemons, async || {
        old.iter().for_each(|upstream| upstream.leave("model"));
    })
    .await;
    assert_eq!(went_on(&resumed, FIRST_VERSION), 0);
    assert!(went_on(&resumed, SECOND_VERSION) > 0);
}

#[tokio::test]
async fn streams_are_refused_if_another_version_came_while_all_daemons_were_down() {
    let (platform, _upstreams, daemons) = start_deployment(3).await;
    let new = platform.clone();
    let resumed = take_up_after_kill_of_all(&platform, daemons, async || {
        let upstream = Upstream::start_version(&new, "i-9", "model", SECOND_VERSION).await;
        std::mem::forget(upstream);
    })
    .await;
    // None is mixed, which is checked for each that goes on.
    assert_eq!(resumed.len(), STREAMS);
}

/// The others are suspended, so that none of them answers. The daemon that takes the stream up has read
/// the store before the second version joined, another one after it.
#[tokio::test]
async fn a_daemon_that_hears_no_other_goes_on_with_no_stream_at_the_only_version_that_it_knows() {
    let (platform, _upstreams, daemons) = start_deployment(8).await;
    let _joined = Upstream::start_version(&platform, "i-5", "model", SECOND_VERSION).await;
    let knows = |daemon: &Daemon| daemon.log().contains("event=upstream_added upstream=i-5");
    while !daemons.iter().any(knows) {
        tokio::time::sleep(POLL_INTERVAL / 4).await;
    }
    let Some(late) = daemons.iter().find(|daemon| !knows(daemon)) else {
        println!("not tested: all daemons have read of the second version at once");
        return;
    };
    for daemon in daemons.iter().filter(|daemon| daemon.name != late.name) {
        daemon.signal(Signal::SIGSTOP);
    }
    // Nobody has this stream on record, as if the daemon that began it could tell no other.
    let headers = [("resumes", "unrecorded"), ("last-event-id", "3")];
    let response = start_stream(late.caller, "cut", &headers).await;
    assert_eq!(response.status(), 503);
    assert!(platform.executions("cut").is_empty());
}
