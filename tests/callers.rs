//! Requests of callers through one daemon to upstreams, over real sockets.

use bronzespindle::client::{CallerClient, ClientError, ServiceCall};
use bronzespindle::deployment::{Deployment, Example};
use bronzespindle::launcher::UpstreamStandin;
use http::{Method, StatusCode};
use spindle_standin::{EngineModel, whole_answer};
use spindle_types::Model;
use std::net::SocketAddr;
use std::time::Duration;

const TEAM_KEY: &str = "cava-escazu-key";

const FAST: EngineModel = EngineModel {
    prefill_rate: 1_000_000.0,
    step_base: Duration::from_micros(500),
    step_slope: Duration::ZERO,
    ..EngineModel::DEFAULT
};

async fn deployment() -> (Deployment, SocketAddr) {
    let deployment = Deployment::start(Example::Vendimia, 1, FAST).await.unwrap();
    let address = deployment.daemons[0].caller_address();
    (deployment, address)
}

fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    let model = Model::try_from("sommelier-llm").unwrap();
    whole_answer(&model, &format!("user: {prompt}\n"), max_tokens)
}

fn is_unknown(answer: &Result<(StatusCode, String), ClientError>) -> bool {
    matches!(answer, Ok((_, body)) if body.contains("\"outcome\":\"unknown\""))
}

#[tokio::test]
async fn concurrent_callers_get_the_answers_to_their_own_prompts() {
    let (_deployment, address) = deployment().await;
    let caller = CallerClient::new(TEAM_KEY);
    let ask = async |prompt: String| {
        let mut stream = caller.chat(address, "sommelier-llm", &prompt, 40).await.unwrap();
        (stream.read_to_end().await.unwrap(), expected_answer(&prompt, 40))
    };
    let prompts = (0..20).map(|i| ask(format!("question {i}")));
    for (actual, expected) in futures_util::future::join_all(prompts).await {
        assert_eq!(expected, actual);
    }
}

#[tokio::test]
async fn refusals_are_problem_documents() {
    let (_deployment, address) = deployment().await;
    let call = |key: &'static str, service: &'static str| async move {
        let path = "/x";
        let call = ServiceCall { service, method: &Method::GET, path, key: None, body: "" };
        CallerClient::new(key).call(address, call).await.unwrap()
    };
    let unknown_key = call("nobody-key", "booking-desk").await;
    let unknown_service = call(TEAM_KEY, "no-such-service").await;
    insta::assert_debug_snapshot!([unknown_key, unknown_service]);
}

#[tokio::test]
async fn lost_answer_of_a_non_idempotent_call_is_reported_as_unknown() {
    let (deployment, address) = deployment().await;
    let services = deployment.upstreams("booking-desk");
    for (_, upstream) in &services {
        if let UpstreamStandin::Service(service) = upstream {
            service.faults().lose_answers(1);
        }
    }
    let call = ServiceCall {
        service: "booking-desk",
        method: &Method::POST,
        path: "/allocations",
        key: Some("k-1"),
        body: "case",
    };
    let caller = CallerClient::new(TEAM_KEY);
    let first = caller.call(address, call).await;
    let second = caller.call(address, call).await;
    // The first answer may break off after its headers, which the client reports as an error.
    assert!(first.is_err() || is_unknown(&first), "{first:?}");
    assert!(is_unknown(&second), "{second:?}");
    let runs: usize = services
        .iter()
        .map(|(_, upstream)| match upstream {
            UpstreamStandin::Service(service) => service.calls().len(),
            UpstreamStandin::Engine(_) => 0,
        })
        .sum();
    assert_eq!(1, runs);
}

#[tokio::test]
async fn keyed_call_without_the_log_is_not_sent_and_reported_as_unknown() {
    let (deployment, address) = deployment().await;
    deployment.log.faults().set_down(true);
    let call = ServiceCall {
        service: "booking-desk",
        method: &Method::POST,
        path: "/allocations",
        key: Some("k-2"),
        body: "case",
    };
    let answer = CallerClient::new(TEAM_KEY).call(address, call).await;
    assert!(is_unknown(&answer), "{answer:?}");
    assert!(answer.unwrap().1.contains("\"reason\":\"claim_unavailable\""));
    for (_, upstream) in deployment.upstreams("booking-desk") {
        if let UpstreamStandin::Service(service) = upstream {
            assert!(service.calls().is_empty());
        }
    }
}
