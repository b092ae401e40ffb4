//! Calls that must not be repeated, through several daemons, over real sockets.

use bronzespindle::client::{CallerClient, ServiceCall};
use bronzespindle::deployment::{Deployment, Example, UpstreamStandin};
use futures_util::future::join_all;
use http::{Method, StatusCode};
use spindle_standin::engine::EngineModel;
use spindle_standin::service::ServiceStandin;
use std::net::SocketAddr;
use std::time::Duration;

const TEAM_KEY: &str = "cava-escazu-key";

const BODY: &str = "{\"case\":12}";

struct World {
    deployment: Deployment,
}

impl World {
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

    fn runs(&self) -> usize {
        self.services().iter().map(|service| service.calls().len()).sum()
    }
}

fn outcome(answer: &(StatusCode, String)) -> (u16, Option<String>, Option<String>) {
    let document: serde_json::Value = serde_json::from_str(&answer.1).unwrap_or_default();
    let text = |name: &str| Some(document.get(name)?.as_str()?.to_owned());
    (answer.0.as_u16(), text("outcome"), text("reason"))
}

#[tokio::test]
async fn one_key_at_all_daemons_at_once_runs_once_and_all_get_its_answer() {
    let world = World::start().await;
    let answers = join_all((0..9).map(|index| world.call(index % 3, "k1"))).await;
    assert_eq!(1, world.runs());
    assert_eq!(StatusCode::OK, answers[0].0);
    assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
}

#[tokio::test]
async fn repeat_after_a_lost_answer_is_unknown_and_does_not_run() {
    let world = World::start().await;
    world.services().iter().for_each(|service| service.faults().lose_answers(1));
    let first = outcome(&world.call(0, "k1").await);
    let repeat = outcome(&world.call(1, "k1").await);
    assert_eq!(1, world.runs());
    insta::assert_debug_snapshot!([first, repeat]);
}

#[tokio::test]
async fn lost_append_answer_is_settled_by_reading_on() {
    let world = World::start().await;
    world.deployment.log.faults().lose_answers(1);
    let actual = world.call(0, "k1").await;
    assert_eq!((StatusCode::OK, 1), (actual.0, world.runs()));
}

#[tokio::test]
async fn keyed_call_in_a_log_outage_is_not_sent_and_runs_afterwards() {
    let world = World::start().await;
    world.deployment.log.faults().set_down(true);
    let during = outcome(&world.call(0, "k1").await);
    assert_eq!(0, world.runs());
    world.deployment.log.faults().set_down(false);
    let after = world.call(1, "k1").await;
    assert_eq!((StatusCode::OK, 1), (after.0, world.runs()));
    insta::assert_debug_snapshot!(during);
}

#[tokio::test]
async fn repeat_of_a_call_that_ran_is_never_called_not_run_in_a_log_outage() {
    let world = World::start().await;
    world.services().iter().for_each(|service| service.faults().lose_answers(1));
    world.call(0, "k1").await;
    world.deployment.log.faults().set_down(true);
    let actual = outcome(&world.call(1, "k1").await);
    assert_eq!(1, world.runs());
    assert_eq!(Some("unknown"), actual.1.as_deref(), "{actual:?}");
}

#[tokio::test]
async fn claim_delayed_beyond_the_retry_elsewhere_never_runs() {
    let world = World::start().await;
    world.call(0, "warm").await;
    let log = world.deployment.log.faults();
    log.set_delay(Duration::from_secs(6));
    let first = world.call(0, "k1");
    let retry = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        log.set_delay(Duration::ZERO);
        world.call(1, "k1").await
    };
    let (first, retry) = tokio::join!(first, retry);
    assert_eq!((StatusCode::OK, 2), (retry.0, world.runs()), "{first:?}");
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(2, world.runs());
}

#[tokio::test]
async fn key_belongs_to_its_team_and_its_request() {
    let world = World::start().await;
    world.call(0, "k1").await;
    let other_request = outcome(&world.call_as(1, TEAM_KEY, Some("k1"), "{\"case\":13}").await);
    let other_team = outcome(&world.call_as(1, "casa-limon-key", Some("k1"), BODY).await);
    assert_eq!(2, world.runs());
    insta::assert_debug_snapshot!([other_request, other_team]);
}

#[tokio::test]
async fn caller_that_goes_away_finds_the_answer_under_its_key() {
    let world = World::start().await;
    let slow = Duration::from_millis(300);
    world.services().iter().for_each(|service| service.faults().set_delay(slow));
    let gone = tokio::time::timeout(Duration::from_millis(150), world.call(0, "k1")).await;
    assert!(gone.is_err());
    let actual = world.call(1, "k1").await;
    assert_eq!((StatusCode::OK, 1), (actual.0, world.runs()));
}

#[tokio::test]
async fn upstream_that_refuses_connections_is_followed_by_another() {
    let world = World::start().await;
    world.services().iter().skip(1).for_each(ServiceStandin::kill);
    let actual = world.call(0, "k1").await;
    assert_eq!((StatusCode::OK, 1), (actual.0, world.runs()));
}

#[tokio::test]
async fn expired_key_is_refused_by_its_own_proof() {
    let world = World::start().await;
    let actual = outcome(&world.call(0, "01900000-0001-7abc-8def-0123456789ab").await);
    assert_eq!(0, world.runs());
    insta::assert_debug_snapshot!(actual);
}
