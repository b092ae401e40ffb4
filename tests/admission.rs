//! Admission by quota, and steering by prefix family, over real sockets.

use bronzespindle::client::{CallerClient, ClientError, Outcome};
use bronzespindle::deployment::{Deployment, Example};
use futures_util::future::join_all;
use http::{Method, Request, StatusCode, header};
use spindle_http::{Body, Client, read_body};
use spindle_policy::membership::Member;
use spindle_standin::EngineModel;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const MODEL: &str = "sommelier-llm";

const SLOW: EngineModel = EngineModel {
    prefill_rate: 1_000_000.0,
    step_base: Duration::from_millis(20),
    step_slope: Duration::ZERO,
    slots: 64,
    ..EngineModel::DEFAULT
};

#[tokio::test]
async fn streams_above_the_quota_of_a_team_are_refused_as_not_run() {
    let deployment = Deployment::start(Example::Vendimia, 2, SLOW).await.unwrap();
    let daemon = deployment.daemons[0].caller_address();
    let over_quota = CallerClient::new("casa-limon-key");
    let requests = (0..40).map(|i| {
        let prompt = format!("offer {i}");
        let over_quota = &over_quota;
        async move { over_quota.chat(daemon, MODEL, &prompt, 400).await }
    });
    let streams = join_all(requests).await;
    let refused = streams.iter().filter(|stream| match stream {
        Err(ClientError::Refused(refused)) => {
            refused.status == StatusCode::TOO_MANY_REQUESTS
                && refused.outcome == Outcome::NotRun
                && refused.retry_after.is_some()
                && refused.document.contains("quota_exceeded")
        }
        _ => false,
    });
    assert_eq!(10, refused.count(), "each of two daemons admits half of the quota of 60");
    let other = CallerClient::new("vinos-alajuela-key");
    let mut answer = other.chat(daemon, MODEL, "quiet", 3).await.unwrap();
    assert_eq!(3, answer.read_to_end().await.unwrap().split_whitespace().count());
}

#[tokio::test]
async fn other_daemons_learn_the_number_of_requests_in_flight() {
    let deployment = Deployment::start(Example::Vendimia, 2, SLOW).await.unwrap();
    let daemon = deployment.daemons[0].caller_address();
    let caller = CallerClient::new("cava-escazu-key");
    let streams = (0..9).map(|_| caller.chat(daemon, MODEL, "offer", 400));
    let streams = join_all(streams).await;
    assert!(streams.iter().all(Result::is_ok));
    let mut members = deployment.daemons[1].shared().members.clone();
    let learned = |members: &Arc<Vec<Member>>| members.iter().any(|member| member.load >= 8);
    let learned = tokio::time::timeout(Duration::from_secs(20), members.wait_for(learned)).await;
    assert!(learned.is_ok_and(|learned| learned.is_ok()));
}

async fn get(daemon: SocketAddr, path: &str, prefix: Option<&str>) -> (StatusCode, String, String) {
    let client = Client::new(Duration::from_secs(10), 1 << 20);
    let mut request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://{daemon}{path}"))
        .header(header::AUTHORIZATION, "Bearer cava-escazu-key");
    if let Some(prefix) = prefix {
        request = request.header("bronzespindle-prefix", prefix);
    }
    let response = client.send(request.body(Body::Empty).unwrap()).await.unwrap();
    let status = response.status();
    let preferred = response.headers().get("bronzespindle-use");
    let preferred = preferred.map(|value| value.to_str().unwrap().to_owned()).unwrap_or_default();
    let body = read_body(response.into_body(), 1 << 20, Duration::from_secs(10)).await.unwrap();
    (status, preferred, String::from_utf8_lossy(&body).into_owned())
}

#[tokio::test]
async fn daemons_of_a_data_centre_agree_on_the_addresses_for_a_prefix_family() {
    let deployment = Deployment::start(Example::Vendimia, 4, SLOW).await.unwrap();
    let caller = "service=booking-desk&data_centre=heredia-b";
    let mut answers = BTreeMap::new();
    for daemon in &deployment.daemons {
        let path = format!("/v1/addresses?{caller}&prefix=offers-week-9");
        let (status, _, body) = get(daemon.caller_address(), &path, None).await;
        assert_eq!(StatusCode::OK, status);
        answers.insert(body, ());
    }
    assert_eq!(1, answers.len(), "{answers:?}");
    let (status, _, body) =
        get(deployment.daemons[0].caller_address(), "/v1/addresses?colour=red", None).await;
    assert_eq!(StatusCode::BAD_REQUEST, status);
    assert!(body.contains("colour"), "{body}");
}

#[tokio::test]
async fn caller_at_another_daemon_is_served_and_told_the_preferred_one() {
    let deployment = Deployment::start(Example::Vendimia, 9, SLOW).await.unwrap();
    // Indices 0, 4 and 8 are in the same data centre.
    let mut hints = Vec::new();
    for index in [0, 4, 8] {
        let daemon = deployment.daemons[index].caller_address();
        let path = "/v1/services/booking-desk/allocations/7";
        let (status, hint, _) = get(daemon, path, Some("offers-week-9")).await;
        assert_eq!(StatusCode::OK, status);
        hints.push(hint);
    }
    let sent_hints: Vec<_> = hints.iter().filter(|hint| !hint.is_empty()).collect();
    assert_eq!(1, sent_hints.len(), "two of three daemons are preferred for the family: {hints:?}");
    let own: Vec<_> =
        [0, 4, 8].map(|index| deployment.daemons[index].caller_address().to_string()).into();
    assert!(own.contains(sent_hints[0]));
}
