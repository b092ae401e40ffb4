//! What upstreams say of themselves in their responses: that they are leaving, and for how long they
//! accept nothing.

use crate::daemon::{Daemon, POLL_INTERVAL, start_deployment};
use crate::standin::{Platform, Upstream};
use std::time::Duration;

/// The time after a notice from which on requests to the upstream count.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Sends requests through the daemons in turn until `upstream` has told each of them something.
async fn send_until(daemons: &[Daemon], told: impl Fn(usize) -> bool) {
    for (index, daemon) in daemons.iter().enumerate() {
        for attempt in 0..200 {
            if told(index) {
                break;
            }
            daemon.send(&format!("t-{index}-{attempt}"), "GET", "/read/x").await;
            tokio::time::sleep(POLL_INTERVAL / 4).await;
        }
    }
}

async fn answered(daemons: &[Daemon], prefix: &str, count: usize) -> usize {
    let mut answered = 0;
    for request in 0..count {
        let id = format!("{prefix}-{request}");
        let response = daemons[request % daemons.len()].send(&id, "GET", "/read/x").await;
        answered += usize::from(response.status() == 200);
    }
    answered
}

fn executions(platform: &Platform, upstream: &str, prefix: &str) -> usize {
    let there = platform.executions_at(upstream);
    there.iter().filter(|execution| execution.id.starts_with(prefix)).count()
}

#[tokio::test]
async fn an_upstream_that_says_it_leaves_gets_no_more_requests_from_any_daemon() {
    let (platform, upstreams, daemons) = start_deployment(3).await;
    upstreams[0].tell_leaving();
    // One daemon is told and tells the others.
    send_until(&daemons[..1], |_| executions(&platform, "i-1", "t-") > 0).await;
    assert!(executions(&platform, "i-1", "t-") > 0, "the upstream was not used");
    tokio::time::sleep(NOTICE_TIME * 2).await;
    assert_eq!(answered(&daemons, "r", 30).await, 30);
    assert_eq!(executions(&platform, "i-1", "r-"), 0);
    // The same start of the instance registers again as ready.
    upstreams[0].renew("desk");
    tokio::time::sleep(NOTICE_TIME * 2).await;
    assert_eq!(answered(&daemons, "s", 30).await, 30);
    assert_eq!(executions(&platform, "i-1", "s-"), 0);
}

#[tokio::test]
async fn upstreams_that_name_a_pause_get_no_requests_until_it_ends() {
    let (_platform, upstreams, daemons) = start_deployment(2).await;
    let upstreams = &upstreams[..2];
    upstreams.iter().for_each(|upstream| upstream.reject(Some("30.5")));
    answered(&daemons, "p", 12).await;
    tokio::time::sleep(NOTICE_TIME).await;
    let before: Vec<usize> = upstreams.iter().map(Upstream::rejections).collect();
    answered(&daemons, "q", 60).await;
    for (upstream, before) in upstreams.iter().zip(before) {
        // Each upstream permits two requests of a daemon while it pauses.
        let found = upstream.rejections() - before;
        assert!(found <= 2 * daemons.len(), "{found} requests during a pause");
    }
}

#[tokio::test]
async fn requests_that_only_pausing_upstreams_could_serve_are_refused_with_the_time_left() {
    let (platform, upstreams, daemons) = start_deployment(1).await;
    upstreams[0].reject(Some("20"));
    upstreams[1].reject(Some("20"));
    for attempt in 0..20 {
        daemons[0].send(&format!("t-{attempt}"), "POST", "/book/x").await;
    }
    let response = daemons[0].send("r-1", "POST", "/book/x").await;
    assert_eq!(response.status(), 503);
    let retry_after: f64 = response.headers()["retry-after"].to_str().unwrap().parse().unwrap();
    assert!((10.0..=22.0).contains(&retry_after), "{retry_after}");
    assert!(platform.executions("r-1").is_empty());
}

#[tokio::test]
async fn an_upstream_is_used_again_after_its_pause_and_after_nonsense() {
    let (platform, upstreams, daemons) = start_deployment(1).await;
    // Each request that the other one rejects is sent to this one, unless it pauses.
    upstreams[1].reject(None);
    for (index, text) in ["0.3", "-1", "soon", "NaN"].into_iter().enumerate() {
        upstreams[0].reject(Some(text));
        let before = upstreams[0].rejections();
        send_until(&daemons, |_| upstreams[0].rejections() > before).await;
        upstreams[0].set_behaviour(crate::standin::UpstreamBehaviour::Normal);
        tokio::time::sleep(NOTICE_TIME).await;
        let prefix = format!("u{index}");
        answered(&daemons, &prefix, 40).await;
        assert!(executions(&platform, "i-1", &prefix) > 0, "{text}");
    }
}
