//! Calls with idempotency keys run at most once, through several daemons over real sockets.

use bronzespindle::client::{CallerClient, ServiceCall};
use bronzespindle::deployment::{Deployment, Example};
use bronzespindle::launcher::UpstreamStandin;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use spindle_standin::EngineModel;
use spindle_standin::service::ServiceStandin;
use std::net::SocketAddr;
use std::time::Duration;

const TEAM_KEY: &str = "cava-escazu-key";

const BODY: &str = "{\"case\":12}";

struct Cluster {
    deployment: Deployment,
}

impl Cluster {
    async fn start() -> Self {
        let deployment = Deployment::start(Example::Vendimia, 3, EngineModel::default());
        Self { deployment: deployment.await.unwrap() }
    }

    fn daemon(&self, index: usize) -> SocketAddr {
        self.deployment.daemons[index].caller_address()
    }

    async fn call(&self, daemon: usize, key: &str) -> (StatusCode, String) {
        self.call_as(daemon, TEAM_KEY, Some(key), BODY).await
    }

    async fn call_as(
        &self,
        daemon: usize,
        team: &str,
        key: Option<&str>,
        body: &str,
    ) -> (StatusCode, String) {
        let (service, path) = ("booking-desk", "/allocations");
        let call = ServiceCall { service, method: &Method::POST, path, key, body };
        CallerClient::new(team).call(self.daemon(daemon), call).await.unwrap()
    }

    fn services(&self) -> Vec<ServiceStandin> {
        let services = self.deployment.upstreams("booking-desk").into_iter();
        let services = services.filter_map(|(_, upstream)| match upstream {
            UpstreamStandin::Service(service) => Some(service),
            UpstreamStandin::Engine(_) => None,
        });
        services.collect()
    }

    fn execution_count(&self) -> usize {
        self.services().iter().map(|service| service.calls().len()).sum()
    }
}

fn outcome(answer: &(StatusCode, String)) -> (u16, Option<String>, Option<String>) {
    let document: serde_json::Value = serde_json::from_str(&answer.1).unwrap_or_default();
    let text = |name: &str| Some(document.get(name)?.as_str()?.to_owned());
    (answer.0.as_u16(), text("outcome"), text("reason"))
}

#[tokio::test]
async fn concurrent_calls_with_one_key_run_once_and_get_the_same_answer() {
    let cluster = Cluster::start().await;
    let answers = join_all((0..9).map(|index| cluster.call(index % 3, "k1"))).await;
    assert_eq!(1, cluster.execution_count());
    assert_eq!(StatusCode::OK, answers[0].0);
    assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
}

#[tokio::test]
async fn repeat_after_a_lost_answer_is_unknown_and_does_not_run() {
    let cluster = Cluster::start().await;
    cluster.services().iter().for_each(|service| service.faults().lose_answers(1));
    let first = outcome(&cluster.call(0, "k1").await);
    let repeat = outcome(&cluster.call(1, "k1").await);
    assert_eq!(1, cluster.execution_count());
    insta::assert_debug_snapshot!([first, repeat]);
}

#[tokio::test]
async fn lost_append_reply_is_resolved_by_reading_the_log() {
    let cluster = Cluster::start().await;
    cluster.deployment.log.faults().lose_answers(1);
    let actual = cluster.call(0, "k1").await;
    assert_eq!((StatusCode::OK, 1), (actual.0, cluster.execution_count()));
}

#[tokio::test]
async fn keyed_call_in_a_log_outage_is_not_sent_and_runs_afterwards() {
    let cluster = Cluster::start().await;
    cluster.deployment.log.faults().set_down(true);
    let during = outcome(&cluster.call(0, "k1").await);
    assert_eq!(0, cluster.execution_count());
    cluster.deployment.log.faults().set_down(false);
    let after = cluster.call(1, "k1").await;
    assert_eq!((StatusCode::OK, 1), (after.0, cluster.execution_count()));
    insta::assert_debug_snapshot!(during);
}

#[tokio::test]
async fn repeat_of_an_executed_call_is_never_reported_as_not_run_in_a_log_outage() {
    let cluster = Cluster::start().await;
    cluster.services().iter().for_each(|service| service.faults().lose_answers(1));
    cluster.call(0, "k1").await;
    cluster.deployment.log.faults().set_down(true);
    let actual = outcome(&cluster.call(1, "k1").await);
    assert_eq!(1, cluster.execution_count());
    assert_eq!(Some("unknown"), actual.1.as_deref(), "{actual:?}");
}

#[tokio::test]
async fn claim_appended_after_a_retry_at_another_daemon_never_runs() {
    let cluster = Cluster::start().await;
    cluster.call(0, "warm").await;
    let log = cluster.deployment.log.faults();
    log.set_delay(Duration::from_secs(6));
    let first = cluster.call(0, "k1");
    let retry = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        log.set_delay(Duration::ZERO);
        cluster.call(1, "k1").await
    };
    let (first, retry) = tokio::join!(first, retry);
    assert_eq!((StatusCode::OK, 2), (retry.0, cluster.execution_count()), "{first:?}");
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(2, cluster.execution_count());
}

#[tokio::test]
async fn key_is_scoped_to_its_team_and_bound_to_its_request() {
    let cluster = Cluster::start().await;
    cluster.call(0, "k1").await;
    let other_request = outcome(&cluster.call_as(1, TEAM_KEY, Some("k1"), "{\"case\":13}").await);
    let other_team = outcome(&cluster.call_as(1, "casa-limon-key", Some("k1"), BODY).await);
    assert_eq!(2, cluster.execution_count());
    insta::assert_debug_snapshot!([other_request, other_team]);
}

#[tokio::test]
async fn disconnected_caller_gets_the_answer_by_repeating_its_key() {
    let cluster = Cluster::start().await;
    let slow = Duration::from_millis(300);
    cluster.services().iter().for_each(|service| service.faults().set_delay(slow));
    let gone = tokio::time::timeout(Duration::from_millis(150), cluster.call(0, "k1")).await;
    assert!(gone.is_err());
    let actual = cluster.call(1, "k1").await;
    assert_eq!((StatusCode::OK, 1), (actual.0, cluster.execution_count()));
}

#[tokio::test]
async fn call_fails_over_from_an_upstream_that_refuses_connections() {
    let cluster = Cluster::start().await;
    cluster.services().iter().skip(1).for_each(ServiceStandin::kill);
    let actual = cluster.call(0, "k1").await;
    assert_eq!((StatusCode::OK, 1), (actual.0, cluster.execution_count()));
}

#[tokio::test]
async fn expired_key_is_refused_by_the_time_in_the_key() {
    let cluster = Cluster::start().await;
    let actual = outcome(&cluster.call(0, "01900000-0001-7abc-8def-0123456789ab").await);
    assert_eq!(0, cluster.execution_count());
    insta::assert_debug_snapshot!(actual);
}
