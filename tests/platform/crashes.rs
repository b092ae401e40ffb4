//! Requests that crash the upstreams that run them.

use crate::daemon::{Daemon, POLL_INTERVAL, start_deployment};
use crate::standin::{CrashCause, Platform, Upstream, UpstreamBehaviour};
use crate::versions::{read_events, start_stream};
use std::time::Duration;

/// How long after a daemon could know of something it has to act on it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Crashes after which what causes them has to be known.
const CRASHES_KNOWN: usize = 5;

/// Requests that may still reach upstreams later.
const LATE_MAX: usize = 3;

/// The same for a request that is repeated.
const CRASHES_OF_REPEAT_KNOWN: usize = 3;

/// Most requests sent until that many upstreams have crashed.
const REQUESTS_MAX: usize = 40;

/// The time between two requests.
const PAUSE: Duration = Duration::from_millis(50);

/// The time between two crashes from which on both count.
const CRASHES_APART: Duration = Duration::from_millis(200);

const BAD_PART: &str = "bad0";

/// The prompts of requests that hold the part, in each place that it can have, and of sound ones.
fn prompt(number: usize, bad: Option<&str>) -> String {
    let mut parts = vec!["5c1e".to_owned(), "91bd".to_owned(), format!("e44{:x}", number % 3)];
    if let Some(bad) = bad {
        parts.insert(number % 4, bad.to_owned());
    }
    parts.push(format!("f{number:x}"));
    parts.iter().map(|part| format!("{part}:20")).collect::<Vec<_>>().join(",")
}

/// Starts daemons, and four upstreams of a service. Those of the service are the last ones.
async fn start_four(daemons: usize, service: &str) -> (Platform, Vec<Upstream>, Vec<Daemon>) {
    let (platform, mut upstreams, daemons) = start_deployment(daemons).await;
    if service == "desk" {
        upstreams.rotate_left(2);
    }
    for name in ["i-5", "i-6"] {
        upstreams.push(Upstream::start(&platform, name, service).await);
    }
    for daemon in &daemons {
        while daemon.log().matches("event=upstream_added upstream=").count() < 6 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    (platform, upstreams, daemons)
}

/// Sends a stream's request. Returns whether its first event arrived.
async fn begins(daemon: &Daemon, id: &str, prompt: &str) -> bool {
    let mut response = start_stream(daemon.caller, id, &[("x-prompt-prefix", prompt)]).await;
    response.status() == 200 && read_events(&mut response, 3).await.0.contains("\n\n")
}

/// Starts three daemons before upstreams that a part of prompts crashes.
async fn start_with_bad_part() -> (Platform, Vec<Upstream>, Vec<Daemon>) {
    let (platform, upstreams, daemons) = start_four(3, "model").await;
    for upstream in &upstreams[2..] {
        upstream.set_crash_cause(Some(CrashCause::Parts(vec![BAD_PART.to_owned()])));
    }
    (platform, upstreams, daemons)
}

#[tokio::test]
async fn requests_with_a_part_that_crashes_upstreams_stop_reaching_them_from_all_daemons() {
    let (platform, _upstreams, daemons) = start_with_bad_part().await;
    for number in 0..REQUESTS_MAX {
        if platform.crashes() >= CRASHES_KNOWN {
            break;
        }
        let daemon = &daemons[number % daemons.len()];
        begins(daemon, &format!("bad-{number}"), &prompt(number, Some(BAD_PART))).await;
        begins(daemon, &format!("early-{number}"), &prompt(number, None)).await;
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(CONTACT_TIME).await;
    let mut served = 0;
    for number in 0..REQUESTS_MAX {
        let daemon = &daemons[number % daemons.len()];
        begins(daemon, &format!("late-{number}"), &prompt(number, Some(BAD_PART))).await;
        served += usize::from(begins(daemon, &format!("ok-{number}"), &prompt(number, None)).await);
        tokio::time::sleep(PAUSE).await;
    }
    let late = platform.executions_of("late-");
    assert!(late <= LATE_MAX, "{late} requests reached upstreams after {CRASHES_KNOWN} crashes");
    assert!(served * 10 >= REQUESTS_MAX * 9, "{served} of {REQUESTS_MAX} sound requests began");
}

/// Repeats a request that crashes upstreams, at all daemons, among sound ones of the same caller and
/// route. Returns how many repeats reached upstreams after it was known, and how many sound requests
/// were answered.
async fn repeat(bad: (&'static str, &'static str, &'static str), sound: &str) -> (usize, usize) {
    let (platform, upstreams, daemons) = start_four(3, "desk").await;
    let (method, path, body) = bad;
    for upstream in &upstreams[2..] {
        upstream.set_crash_cause(Some(CrashCause::Request { path, body }));
    }
    for number in 0..REQUESTS_MAX {
        if platform.crashes() >= CRASHES_OF_REPEAT_KNOWN {
            break;
        }
        daemons[number % daemons.len()].send(&format!("bad-{number}"), method, path).await;
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(CONTACT_TIME).await;
    let mut served = 0;
    for number in 0..REQUESTS_MAX {
        let daemon = &daemons[number % daemons.len()];
        daemon.send(&format!("late-{number}"), method, path).await;
        let response = daemon.send(&format!("ok-{number}"), method, sound).await;
        served += usize::from(response.status() == 200);
        tokio::time::sleep(PAUSE).await;
    }
    (platform.executions_of("late-"), served)
}

/// Sends requests that hold the bad part until a daemon has convicted it.
async fn convict(daemons: &[Daemon]) {
    for number in 0..REQUESTS_MAX {
        if daemons[0].log().contains(&format!("event=crash_convicted key=part:{BAD_PART}")) {
            return;
        }
        let daemon = &daemons[number % daemons.len()];
        begins(daemon, &format!("bad-{number}"), &prompt(number, Some(BAD_PART))).await;
        begins(daemon, &format!("early-{number}"), &prompt(number, None)).await;
        tokio::time::sleep(PAUSE).await;
    }
    panic!("the part was not convicted");
}

#[tokio::test]
async fn a_restarted_daemon_learns_from_others_what_crashes_upstreams() {
    let (platform, upstreams, mut daemons) = start_four(3, "model").await;
    platform.end_first_start();
    for upstream in &upstreams[2..] {
        upstream.set_crash_cause(Some(CrashCause::Parts(vec![BAD_PART.to_owned()])));
    }
    convict(&daemons).await;
    let restarted = daemons.pop().unwrap();
    let addresses = [restarted.caller, restarted.ready, restarted.peer, restarted.directory];
    let (name, seed) = (restarted.name.clone(), daemons[0].peer);
    drop(restarted);
    let daemon = Daemon::start(&platform, &name, addresses, seed);
    daemon.wait_for_server().await;
    daemon.wait_for("/read/x", 200).await;
    tokio::time::sleep(CONTACT_TIME).await;
    for number in 0..REQUESTS_MAX {
        begins(&daemon, &format!("late-{number}"), &prompt(number, Some(BAD_PART))).await;
        tokio::time::sleep(PAUSE).await;
    }
    let late = platform.executions_of("late-");
    assert!(late <= LATE_MAX, "{late} requests reached upstreams");
}

#[tokio::test]
async fn daemons_that_were_all_killed_together_still_know_what_crashes_upstreams() {
    let (platform, upstreams, daemons) = start_four(3, "model").await;
    platform.end_first_start();
    for upstream in &upstreams[2..] {
        upstream.set_crash_cause(Some(CrashCause::Parts(vec![BAD_PART.to_owned()])));
    }
    convict(&daemons).await;
    drop(daemons);
    let daemons = Daemon::start_all(&platform, 3).await;
    daemons[0].wait_for("/read/x", 200).await;
    tokio::time::sleep(CONTACT_TIME).await;
    for number in 0..REQUESTS_MAX {
        let daemon = &daemons[number % daemons.len()];
        begins(daemon, &format!("late-{number}"), &prompt(number, Some(BAD_PART))).await;
        begins(daemon, &format!("ok-{number}"), &prompt(number, None)).await;
        tokio::time::sleep(PAUSE).await;
    }
    let late = platform.executions_of("late-");
    assert!(late <= LATE_MAX, "{late} requests reached upstreams");
}

#[tokio::test]
async fn connections_that_end_while_the_upstream_lives_blame_nothing() {
    let (_platform, upstreams, daemons) = start_deployment(1).await;
    for upstream in &upstreams[..2] {
        upstream.set_behaviour(UpstreamBehaviour::DropsAnswers);
    }
    let lost_lines = || daemons[0].log().matches("event=no_crash").count();
    let mut sent = 0;
    while lost_lines() < 2 * CRASHES_KNOWN {
        assert!(sent < REQUESTS_MAX, "{} of {sent} requests were tested", lost_lines());
        assert_eq!(daemons[0].send(&format!("r-{sent}"), "GET", "/read/x").await.status(), 502);
        tokio::time::sleep(2 * CRASHES_APART).await;
        sent += 1;
    }
    assert!(!daemons[0].log().contains("event=crash_blamed"), "something was blamed");
}

#[tokio::test]
async fn sound_requests_are_served_after_upstreams_were_killed_in_series() {
    let (_platform, upstreams, daemons) = start_four(3, "model").await;
    let kill_all = async {
        for _ in 0..2 {
            for upstream in &upstreams[2..] {
                tokio::time::sleep(2 * CRASHES_APART).await;
                upstream.kill("model");
            }
        }
    };
    let send = async {
        for number in 0..REQUESTS_MAX {
            let daemon = &daemons[number % daemons.len()];
            begins(daemon, &format!("early-{number}"), &prompt(number, None)).await;
        }
    };
    tokio::join!(kill_all, send);
    tokio::time::sleep(CONTACT_TIME).await;
    let mut served = 0;
    for number in 0..REQUESTS_MAX {
        let daemon = &daemons[number % daemons.len()];
        served += usize::from(begins(daemon, &format!("ok-{number}"), &prompt(number, None)).await);
    }
    assert!(served * 10 >= REQUESTS_MAX * 9, "{served} of {REQUESTS_MAX} sound requests began");
}

#[tokio::test]
async fn a_repeated_request_that_crashes_upstreams_stops_reaching_them_from_all_daemons() {
    for (bad, sound) in
        [(("GET", "/read/x?bad", ""), "/read/x"), (("POST", "/book/x?bad", "content"), "/book/x")]
    {
        let (late, served) = repeat(bad, sound).await;
        assert!(
            late <= LATE_MAX,
            "{bad:?}: {late} repeats after {CRASHES_OF_REPEAT_KNOWN} crashes"
        );
        assert!(served * 10 >= REQUESTS_MAX * 9, "{served} of {REQUESTS_MAX} sound requests");
    }
}

/// Each daemon logs each key of the crashes that it sees itself, and one line for each message of the
/// others: with hundreds of daemons, lines of each key of each crash would be most of the log.
#[tokio::test]
async fn daemons_log_what_others_saw_of_crashes_in_one_line_a_message() {
    let (platform, _upstreams, daemons) = start_with_bad_part().await;
    for number in 0..REQUESTS_MAX {
        if platform.crashes() >= CRASHES_KNOWN {
            break;
        }
        begins(&daemons[0], &format!("bad-{number}"), &prompt(number, Some(BAD_PART))).await;
        begins(&daemons[1], &format!("early-{number}"), &prompt(number, None)).await;
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(CONTACT_TIME).await;
    let of_others = |log: &str, event: &str| {
        let lines = log.lines().filter(|line| line.contains(event));
        lines.filter(|line| line.contains("source=daemon")).count()
    };
    for daemon in &daemons {
        let log = daemon.log();
        assert_eq!(of_others(&log, "event=crash_blamed"), 0);
        assert_eq!(of_others(&log, "event=crash_acquitted"), 0);
    }
    let log = daemons[2].log();
    assert!(log.contains("event=crash_news_heard"));
    assert!(of_others(&log, "event=crash_convicted") > 0);
}
