//! Admission and steering at daemons, over real sockets.

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
async fn streams_beyond_a_team_s_quota_are_refused_as_not_run() {
    let deployment = Deployment::start(Example::Vendimia, 2, SLOW).await.unwrap();
    let daemon = deployment.daemons[0].caller_address();
    let flood = CallerClient::new("casa-limon-key");
    let asked = (0..40).map(|i| {
        let prompt = format!("offer {i}");
        let flood = &flood;
        async move { flood.chat(daemon, MODEL, &prompt, 400).await }
    });
    let streams = join_all(asked).await;
    let refused = streams.iter().filter(|stream| match stream {
        Err(ClientError::Refused(refused)) => {
            refused.status == StatusCode::TOO_MANY_REQUESTS
                && refused.outcome == Outcome::NotRun
                && refused.retry_after.is_some()
                && refused.document.contains("quota_exceeded")
        }
        _ => false,
    });
    assert_eq!(10, refused.count(), "half of the quota of 60 may run at one of two daemons");
    let other = CallerClient::new("vinos-alajuela-key");
    let mut answer = other.chat(daemon, MODEL, "quiet", 3).await.unwrap();
    assert_eq!(3, answer.read_to_end().await.unwrap().split_whitespace().count());
}

#[tokio::test]
async fn other_daemons_hear_of_the_requests_in_flight() {
    let deployment = Deployment::start(Example::Vendimia, 2, SLOW).await.unwrap();
    let daemon = deployment.daemons[0].caller_address();
    let caller = CallerClient::new("cava-escazu-key");
    let streams = (0..9).map(|_| caller.chat(daemon, MODEL, "offer", 400));
    let streams = join_all(streams).await;
    assert!(streams.iter().all(Result::is_ok));
    let mut members = deployment.daemons[1].shared().members.clone();
    let heard = |members: &Arc<Vec<Member>>| members.iter().any(|member| member.load >= 8);
    let heard = tokio::time::timeout(Duration::from_secs(20), members.wait_for(heard)).await;
    assert!(heard.is_ok_and(|heard| heard.is_ok()));
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
    let better = response.headers().get("bronzespindle-use");
    let better = better.map(|value| value.to_str().unwrap().to_owned()).unwrap_or_default();
    let body = read_body(response.into_body(), 1 << 20, Duration::from_secs(10)).await.unwrap();
    (status, better, String::from_utf8_lossy(&body).into_owned())
}

#[tokio::test]
async fn daemons_of_a_data_centre_agree_on_the_address_of_a_family() {
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
async fn caller_at_another_daemon_is_served_and_told_the_better_one() {
    let deployment = Deployment::start(Example::Vendimia, 9, SLOW).await.unwrap();
    // The first, fifth and ninth daemon stand in the same data centre.
    let mut better = Vec::new();
    for index in [0, 4, 8] {
        let daemon = deployment.daemons[index].caller_address();
        let path = "/v1/services/booking-desk/allocations/7";
        let (status, hint, _) = get(daemon, path, Some("offers-week-9")).await;
        assert_eq!(StatusCode::OK, status);
        better.push(hint);
    }
    let hints: Vec<_> = better.iter().filter(|hint| !hint.is_empty()).collect();
    assert_eq!(1, hints.len(), "two of three daemons serve the family: {better:?}");
    let own: Vec<_> =
        [0, 4, 8].map(|index| deployment.daemons[index].caller_address().to_string()).into();
    assert!(own.contains(hints[0]));
}
