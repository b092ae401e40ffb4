//! Streams that are resumed at another daemon from replicas, over real sockets.

use bronzespindle::client::{CallerClient, ChatStream, ClientError};
use bronzespindle::context::LiveContext;
use bronzespindle::daemon::Daemon;
use bronzespindle::deployment::{Deployment, Example};
use bronzespindle::settings::UnreplicatedAction;
use http::StatusCode;
use spindle_standin::answer::natural_length;
use spindle_standin::{EngineModel, whole_answer};
use spindle_types::Model;
use std::net::SocketAddr;
use std::time::Duration;

const TEAM_KEY: &str = "cava-escazu-key";

const OTHER_KEY: &str = "casa-limon-key";

const MODEL: &str = "sommelier-llm";

const TOKENS: u32 = 150;

const ENGINE: EngineModel = EngineModel {
    step_base: Duration::from_millis(8),
    step_slope: Duration::ZERO,
    ..EngineModel::DEFAULT
};

fn prompt(seed: usize) -> String {
    let text = |n: usize| format!("dossier {seed} {n}");
    let long = |text: &String| natural_length(&format!("user: {text}\n")) >= TOKENS;
    (0..).map(text).find(long).unwrap()
}

fn expected(prompt: &str) -> String {
    whole_answer(&Model::try_from(MODEL).unwrap(), &format!("user: {prompt}\n"), TOKENS)
}

async fn deployment(daemons: usize) -> Deployment {
    Deployment::start(Example::Vendimia, daemons, ENGINE).await.unwrap()
}

/// Starts a stream and reads its first `events` events. Returns the stream and their content.
async fn start_stream(daemon: SocketAddr, prompt: &str, events: usize) -> (ChatStream, String) {
    let caller = CallerClient::new(TEAM_KEY);
    let mut stream = caller.chat(daemon, MODEL, prompt, TOKENS).await.unwrap();
    let mut content = String::new();
    for _ in 0..events {
        content.push_str(&stream.next().await.unwrap().unwrap());
    }
    (stream, content)
}

async fn resume_to_end(daemon: SocketAddr, lost: &ChatStream, content: &mut String) {
    let mut stream = CallerClient::new(TEAM_KEY).pick_up(daemon, lost).await.unwrap();
    content.push_str(&stream.read_to_end().await.unwrap());
}

#[tokio::test]
async fn stream_of_a_lost_daemon_is_resumed_at_any_other() {
    let mut deployment = deployment(4).await;
    let prompts: Vec<_> = (0..3).map(prompt).collect();
    let address = deployment.daemons[0].caller_address();
    let mut streams = Vec::new();
    for prompt in &prompts {
        streams.push(start_stream(address, prompt, 20).await);
    }
    drop(deployment.daemons.remove(0));
    let others: Vec<_> = deployment.daemons.iter().map(Daemon::caller_address).collect();
    for ((prompt, (stream, mut content)), other) in prompts.iter().zip(streams).zip(others) {
        resume_to_end(other, &stream, &mut content).await;
        assert_eq!(expected(prompt), content);
    }
}

#[tokio::test]
async fn stream_is_resumed_at_any_daemon_and_only_by_its_team() {
    let deployment = deployment(3).await;
    let prompt = prompt(1);
    let (lost, content) = start_stream(deployment.daemons[0].caller_address(), &prompt, 20).await;
    for daemon in &deployment.daemons {
        let mut content = content.clone();
        resume_to_end(daemon.caller_address(), &lost, &mut content).await;
        assert_eq!(expected(&prompt), content);
        let other = CallerClient::new(OTHER_KEY).pick_up(daemon.caller_address(), &lost).await;
        let refused = match other {
            Err(ClientError::Refused(refused)) => refused.status,
            _ => StatusCode::OK,
        };
        assert_eq!(StatusCode::NOT_FOUND, refused);
    }
}

#[tokio::test]
async fn stream_is_resumed_after_two_daemon_losses() {
    let mut deployment = deployment(4).await;
    let prompt = prompt(2);
    let (mut stream, mut content) =
        start_stream(deployment.daemons[0].caller_address(), &prompt, 10).await;
    for _ in 0..2 {
        drop(deployment.daemons.remove(0));
        let daemon = deployment.daemons[0].caller_address();
        stream = CallerClient::new(TEAM_KEY).pick_up(daemon, &stream).await.unwrap();
        for _ in 0..10 {
            content.push_str(&stream.next().await.unwrap().unwrap());
        }
    }
    content.push_str(&stream.read_to_end().await.unwrap());
    assert_eq!(expected(&prompt), content);
}

#[tokio::test]
async fn request_without_a_replica_holder_is_served_or_refused_by_setting() {
    let deployment = deployment(1).await;
    let prompt = prompt(3);
    let (mut served, mut content) =
        start_stream(deployment.daemons[0].caller_address(), &prompt, 1).await;
    content.push_str(&served.read_to_end().await.unwrap());
    assert_eq!(expected(&prompt), content);
    let deployment = Deployment::start(Example::Vendimia, 0, ENGINE).await.unwrap();
    let mut settings = deployment.settings(0).unwrap();
    settings.replica.unreplicated = UnreplicatedAction::Refuse;
    let context = LiveContext::new(&settings.platform);
    let daemon = Daemon::start(context, settings).await.unwrap();
    let mut config = daemon.shared().config.clone();
    config.wait_for(|config| !config.pools.is_empty()).await.unwrap();
    let caller = CallerClient::new(TEAM_KEY);
    let refused = caller.chat(daemon.caller_address(), MODEL, &prompt, TOKENS).await;
    let Err(ClientError::Refused(refused)) = refused else {
        panic!("the request was not refused");
    };
    let document: serde_json::Value = serde_json::from_str(&refused.document).unwrap();
    assert_eq!(
        ("not_run", "replica_unavailable"),
        (document["outcome"].as_str().unwrap(), document["reason"].as_str().unwrap(),)
    );
}
