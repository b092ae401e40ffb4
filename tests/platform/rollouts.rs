//! Rollouts: the traffic of a service moves to another version of its upstreams, or back.

use crate::daemon::{Daemon, POLL_INTERVAL, POLLS_MAX, client};
use crate::standin::{
    self, FIRST_VERSION, Platform, StoreBehaviour, Upstream, UpstreamBehaviour, caller_headers,
};
use crate::versions::{SECOND_VERSION, events, read_events, start_stream, version_of};
use http::Request;
use serde_json::{Value, json};
use spindle_http::Body;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// The time from an order to its deadline, in seconds.
const DURATION_S: u64 = 12;

/// The same where streams of 0.8 s have to end between the switch and the deadline. The bound on the
/// exposure then allows for a switch that early, and for enough requests in the trial.
const STREAMS_DURATION_S: u64 = 20;

/// The time from an order until the upstreams of its target have started.
const START_TIME: Duration = Duration::from_secs(2);

/// The time between two requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// The number of upstreams of each version.
const UPSTREAMS: usize = 4;

/// The requests that a bad version may get of so many.
fn exposure_max(requests: usize) -> usize {
    requests / 10 + 50
}

/// A deployment with rollouts, and upstreams of the first version of one service.
struct Deployment {
    platform: Platform,
    daemons: Vec<Daemon>,
    old: Vec<Upstream>,
    service: &'static str,
}

impl Deployment {
    async fn start(service: &'static str) -> Self {
        let platform = Platform::start().await;
        platform.enable_rollouts();
        platform.configure(&standin::configuration(3));
        let desk = Upstream::start(&platform, "desk-0", "desk").await;
        let mut old = if service == "desk" { vec![desk] } else { Vec::new() };
        while old.len() < UPSTREAMS {
            let name = format!("old-{}", old.len());
            old.push(Upstream::start(&platform, &name, service).await);
        }
        let daemons = Daemon::start_all(&platform, 3).await;
        for daemon in &daemons {
            daemon.wait_for("/read/x", 200).await;
        }
        Self { platform, daemons, old, service }
    }

    /// Orders a rollout to the second version.
    fn order(&self, duration_s: u64) {
        let order =
            json!({"service": self.service, "target": SECOND_VERSION, "duration-s": duration_s});
        self.platform.put("keyed.op", &self.key(), Some(&order));
    }

    fn key(&self) -> String {
        format!("rollout/{}", self.service)
    }

    async fn start_target(&self, behaviour: UpstreamBehaviour) -> Vec<Upstream> {
        tokio::time::sleep(START_TIME).await;
        let mut target = Vec::new();
        for index in 0..UPSTREAMS {
            let name = format!("new-{index}");
            let upstream =
                Upstream::start_version(&self.platform, &name, self.service, SECOND_VERSION).await;
            upstream.set_behaviour(behaviour);
            target.push(upstream);
        }
        target
    }

    /// The state that was last written for the operators.
    fn state(&self) -> Option<Value> {
        self.platform.newest("keyed.status", &self.key()).0
    }

    async fn wait_for_state(&self, state: &str) {
        let expected = json!({"state": state, "target": SECOND_VERSION});
        for _ in 0..POLLS_MAX {
            if self.state().as_ref() == Some(&expected) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{:?} in place of {expected}: {}", self.state(), self.rollout_lines());
    }

    /// What the daemons have logged of rollouts.
    fn rollout_lines(&self) -> String {
        let logs = self.daemons.iter().map(|daemon| (daemon, daemon.log()));
        let lines = logs.flat_map(|(daemon, log)| {
            let of_rollouts = log.lines().filter(|line| line.contains("event=rollout"));
            of_rollouts.map(|line| format!("{} {line}\n", daemon.name)).collect::<Vec<_>>()
        });
        lines.collect()
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.caller).collect()
    }

    /// The number of requests that upstreams executed.
    fn executions(&self, upstreams: &[Upstream]) -> usize {
        upstreams.iter().map(|upstream| self.platform.executions_at(upstream.name()).len()).sum()
    }

    /// The latest request that upstreams executed.
    fn last_execution(&self, upstreams: &[Upstream]) -> Option<Instant> {
        let all = upstreams.iter().flat_map(|found| self.platform.executions_at(found.name()));
        all.map(|execution| execution.at).max()
    }
}

/// Callers that send requests until they are told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<usize>>,
}

impl Load {
    /// Plain requests; counts those that are sent.
    fn plain(daemons: Vec<SocketAddr>, callers: usize) -> Self {
        Self::start(daemons, callers, |daemon, id| async move {
            let uri = format!("http://{daemon}/read/x");
            let request = caller_headers(&id)
                .into_iter()
                .fold(Request::builder().uri(uri), |request, (name, value)| {
                    request.header(name, value)
                });
            let response = client().send(request.body(Body::Empty).unwrap()).await;
            assert!(response.is_ok(), "{id}");
        })
    }

    /// Streams, each of which has to be complete and of one version.
    fn streams(daemons: Vec<SocketAddr>, callers: usize) -> Self {
        Self::start(daemons, callers, |daemon, id| async move {
            let mut response = start_stream(daemon, &id, &[]).await;
            assert_eq!(response.status(), 200, "{id}");
            let (text, complete) = read_events(&mut response, usize::MAX).await;
            assert!(complete, "{id}: {text}");
            assert_eq!(text, events(version_of(&text), 0), "{id}");
        })
    }

    fn start<F: Future<Output = ()> + Send>(
        daemons: Vec<SocketAddr>,
        callers: usize,
        send: impl Fn(SocketAddr, String) -> F + Clone + Send + 'static,
    ) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let caller = |index: usize| {
            let (stop, send) = (Arc::clone(&stop), send.clone());
            let daemon = daemons[index % daemons.len()];
            tokio::spawn(async move {
                let mut sent = 0;
                while !stop.load(Ordering::Relaxed) {
                    send(daemon, format!("load-{index}-{sent}")).await;
                    sent += 1;
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
                sent
            })
        };
        let callers = (0..callers).map(caller).collect();
        Self { stop, callers }
    }

    /// Ends the load, and returns the number of requests. Panics if a caller has.
    async fn end(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        let mut sent = 0;
        for caller in self.callers {
            sent += caller.await.unwrap();
        }
        sent
    }
}

/// Guards against a rollout that doesn't end, and against streams that are cut off when the old
/// upstreams stop at its end.
#[tokio::test]
async fn a_sound_version_gets_all_traffic_and_no_stream_is_cut() {
    let deployment = Deployment::start("model").await;
    let load = Load::streams(deployment.callers(), 24);
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.order(STREAMS_DURATION_S);
    deployment.wait_for_state("running").await;
    let target = deployment.start_target(UpstreamBehaviour::Normal).await;
    deployment.wait_for_state("completed").await;
    deployment.old.iter().for_each(Upstream::stop);
    let stopped = Instant::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    load.end().await;
    let served = deployment.last_execution(&target).unwrap();
    assert!(served > stopped, "{}", deployment.rollout_lines());
    assert!(deployment.last_execution(&deployment.old).unwrap() <= stopped);
}

/// Guards against a bad version that gets more than its share of the requests, or stays in use.
#[tokio::test]
async fn a_version_that_fails_half_of_its_responses_is_rolled_back() {
    let deployment = Deployment::start("desk").await;
    let load = Load::plain(deployment.callers(), 9);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = deployment.platform.executions_of("load-");
    deployment.order(DURATION_S);
    deployment.wait_for_state("running").await;
    let target = deployment.start_target(UpstreamBehaviour::FailsHalf).await;
    deployment.wait_for_state("rolled_back").await;
    // Later than all daemons have heard of it.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let rolled_back = deployment.executions(&target);
    tokio::time::sleep(Duration::from_secs(2)).await;
    load.end().await;
    let requests = deployment.platform.executions_of("load-") - before;
    let lines = deployment.rollout_lines();
    assert_eq!(deployment.executions(&target), rolled_back, "{lines}");
    assert!(rolled_back > 0, "{lines}");
    assert!(rolled_back <= exposure_max(requests), "{rolled_back} of {requests}: {lines}");
}

/// Guards against a step that is followed although it is not stored, and against one that is lost with
/// a restored store.
#[tokio::test]
async fn a_rolled_back_version_stays_so_after_the_store_was_restored() {
    let deployment = Deployment::start("desk").await;
    let load = Load::plain(deployment.callers(), 6);
    deployment.platform.copy_store();
    deployment.order(DURATION_S);
    deployment.wait_for_state("running").await;
    let target = deployment.start_target(UpstreamBehaviour::FailsHalf).await;
    deployment.wait_for_state("rolled_back").await;
    deployment.platform.restore_store();
    deployment.order(DURATION_S);
    target.iter().for_each(|upstream| upstream.renew("desk"));
    deployment.wait_for_state("rolled_back").await;
    let before = deployment.executions(&target);
    tokio::time::sleep(Duration::from_secs(3)).await;
    load.end().await;
    assert_eq!(deployment.executions(&target), before, "{}", deployment.rollout_lines());
}

/// Guards against a version that gets traffic though nobody ordered it, and against daemons that
/// follow a holder that can't reach the store.
#[tokio::test]
async fn a_version_that_comes_while_the_store_is_away_gets_no_new_work() {
    let deployment = Deployment::start("desk").await;
    let load = Load::plain(deployment.callers(), 6);
    deployment.order(DURATION_S);
    deployment.wait_for_state("running").await;
    let target = deployment.start_target(UpstreamBehaviour::Normal).await;
    for daemon in &deployment.daemons {
        while daemon.log().matches("event=upstream_added upstream=new-").count() < UPSTREAMS {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    deployment.platform.set_behaviour(StoreBehaviour::Silent);
    // Longer than a step is valid after the lease has ended.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = deployment.executions(&target);
    tokio::time::sleep(Duration::from_secs(2)).await;
    load.end().await;
    assert_eq!(deployment.executions(&target), before, "{}", deployment.rollout_lines());
}

/// Guards against rollouts in deployments without them.
#[tokio::test]
async fn a_deployment_without_rollouts_ignores_orders() {
    let platform = Platform::start().await;
    platform.configure(&standin::configuration(3));
    let _old = Upstream::start(&platform, "old-0", "desk").await;
    let daemons = Daemon::start_all(&platform, 2).await;
    daemons[0].wait_for("/read/x", 200).await;
    let order = json!({"service": "desk", "target": SECOND_VERSION, "duration-s": DURATION_S});
    platform.put("keyed.op", "rollout/desk", Some(&order));
    let _new = Upstream::start_version(&platform, "new-0", "desk", SECOND_VERSION).await;
    let mut versions = BTreeSet::new();
    for attempt in 0..POLLS_MAX {
        // Two at a time: one alone goes to the same idle upstream each time.
        let ids = [format!("both-{attempt}-a"), format!("both-{attempt}-b")];
        let (one, two) = tokio::join!(
            daemons[0].send(&ids[0], "GET", "/read/x"),
            daemons[0].send(&ids[1], "GET", "/read/x"),
        );
        assert_eq!([one.status(), two.status()], [200, 200]);
        versions.extend(ids.iter().flat_map(|id| platform.executions(id)));
        if versions.len() == 2 {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(versions.len(), 2, "{FIRST_VERSION} and {SECOND_VERSION}: {versions:?}");
    assert_eq!(platform.newest("keyed.status", "rollout/desk"), (None, 0));
}
