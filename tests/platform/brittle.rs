//! Upstreams that fail if they have to reject more than a number of requests in a second.

use crate::daemon::Daemon;
use crate::standin::{self, Platform, Upstream};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Upstreams, requests that each processes at a time, and how long each takes.
const UPSTREAMS: usize = 4;
const SLOTS: usize = 2;
const WORK: Duration = Duration::from_millis(100);

/// Rejections in a second that an upstream bears.
const REJECTIONS: usize = 5;

/// The time after the first notice from which on fewer requests may wait.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How long requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// Sends requests at a multiple of the capacity, and returns how many were answered and sent.
async fn load(daemons: &Arc<Vec<Daemon>>, prefix: &str, multiple: f64) -> (usize, usize) {
    let rate = (UPSTREAMS * SLOTS) as f64 / WORK.as_secs_f64() * multiple;
    let count = (rate * LOAD_TIME.as_secs_f64()) as usize;
    let mut requests = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    for request in 0..count {
        ticks.tick().await;
        let (daemons, id) = (Arc::clone(daemons), format!("{prefix}-{request}"));
        requests.spawn(async move {
            let daemon = &daemons[request % daemons.len()];
            daemon.send(&id, "POST", "/book/x").await.status() == 200
        });
    }
    let answered = requests.join_all().await.into_iter().filter(|answered| *answered).count();
    (answered, count)
}

async fn start() -> (Platform, Vec<Upstream>, Arc<Vec<Daemon>>) {
    let platform = Platform::start().await;
    platform.configure(&standin::configuration(3));
    let mut upstreams = Vec::new();
    for index in 0..UPSTREAMS {
        let upstream = Upstream::start(&platform, &format!("i-{index}"), "desk").await;
        upstream.set_capacity(SLOTS, WORK, 12);
        upstream.renew("desk");
        upstreams.push(upstream);
    }
    let daemons = Daemon::start_all(&platform, 4).await;
    for daemon in &daemons {
        daemon.wait_for("/read/x", 200).await;
    }
    (platform, upstreams, Arc::new(daemons))
}

/// Falls of the upstreams and the share of what fits that is served, from the contact time on.
async fn serve_brittle(multiple: f64) -> (usize, f64) {
    let (platform, upstreams, daemons) = start().await;
    upstreams.iter().for_each(|upstream| upstream.set_brittle(REJECTIONS));
    load(&daemons, "before", 0.3).await;
    tokio::time::sleep(CONTACT_TIME.saturating_sub(LOAD_TIME)).await;
    upstreams.iter().for_each(|upstream| upstream.set_waiting(1));
    let (answered, count) = load(&daemons, "brittle", multiple).await;
    let fitting = count as f64 / multiple.max(1.0);
    (platform.crashes(), answered as f64 / fitting)
}

#[tokio::test]
async fn brittle_upstreams_do_not_fall_below_their_capacity() {
    let (falls, served) = serve_brittle(0.6).await;
    assert!(falls <= 2 && served >= 0.85, "{falls} falls, {served:.2} served");
}

#[tokio::test]
async fn brittle_upstreams_do_not_fall_under_overload() {
    let (falls, served) = serve_brittle(1.5).await;
    assert!(falls <= 2 && served >= 0.85, "{falls} falls, {served:.2} served");
}
