//! Daemons as separate processes that receive signals.

use bronzespindle::client::{CallerClient, ClientError, ServiceCall};
use bronzespindle::deployment::{Deployment, Example};
use bronzespindle::launcher::UpstreamStandin;
use bronzespindle::publisher::PublishOutcome;
use http::{Method, StatusCode};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use spindle_instances::{State, Workload};
use spindle_policy::freshness::CONTACT_TIMEOUT;
use spindle_standin::{EngineModel, whole_answer};
use spindle_types::{Change, Model};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tempfile::TempDir;

const TEAM_KEY: &str = "kano-ministry-key";
const MODEL: &str = "census-llm";
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon process, killed when dropped.
struct Process {
    child: Child,
    caller: SocketAddr,
    _directory: TempDir,
}

impl Process {
    async fn start(deployment: &Deployment, index: usize) -> Self {
        let settings = deployment.settings(index).unwrap();
        let instance = settings.identity.instance.clone();
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("settings.yaml");
        // YAML is a superset of JSON.
        std::fs::write(&path, serde_json::to_string(&settings).unwrap()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_bronzespindle"))
            .args(["serve", "--log-level", "off", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let caller = loop {
            let entries = deployment.platform.entries();
            let entry = entries.into_iter().find(|entry| {
                entry.instance == instance && matches!(entry.kind, Workload::Daemon { .. })
            });
            match entry {
                Some(entry) if entry.state == State::Live => break entry.address,
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        Self { child, caller, _directory: directory }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        kill(pid, signal).unwrap();
    }

    async fn exit(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the daemon lists exactly this number of addresses.
    async fn wait_for_addresses(&self, count: usize) {
        let caller = CallerClient::new(TEAM_KEY);
        loop {
            match caller.addresses(self.caller).await {
                Ok(reply) if reply.addresses.len() == count => return,
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error only means that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn standins() -> Deployment {
    Deployment::start(Example::Kanem, 0, EngineModel::default()).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_lets_open_streams_finish() {
    let deployment = standins().await;
    let mut process = Process::start(&deployment, 0).await;
    process.wait_for_addresses(1).await;
    let caller = CallerClient::new(TEAM_KEY);
    let mut stream = caller.chat(process.caller, MODEL, "census narrative", 150).await.unwrap();
    let mut actual = stream.next().await.unwrap().unwrap();
    process.signal(Signal::SIGTERM);
    actual.push_str(&stream.read_to_end().await.unwrap());
    let model = Model::try_from(MODEL).unwrap();
    assert_eq!(whole_answer(&model, "user: census narrative\n", 150), actual);
    drop(stream);
    assert!(process.exit().await.success());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_daemon_is_removed_from_address_replies() {
    let deployment = standins().await;
    let survivor = Process::start(&deployment, 0).await;
    let mut killed = Process::start(&deployment, 1).await;
    survivor.wait_for_addresses(2).await;
    killed.signal(Signal::SIGKILL);
    killed.exit().await;
    survivor.wait_for_addresses(1).await;
    let reply = CallerClient::new(TEAM_KEY).addresses(survivor.caller).await.unwrap();
    assert_eq!(survivor.caller, reply.addresses[0].address);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_a_killed_daemon_is_resumed_at_another_without_loss() {
    let deployment = standins().await;
    let survivor = Process::start(&deployment, 0).await;
    let mut killed = Process::start(&deployment, 1).await;
    survivor.wait_for_addresses(2).await;
    killed.wait_for_addresses(2).await;
    let caller = CallerClient::new(TEAM_KEY);
    let mut stream = caller.chat(killed.caller, MODEL, "census narrative", 150).await.unwrap();
    let mut actual = stream.next().await.unwrap().unwrap();
    killed.signal(Signal::SIGKILL);
    killed.exit().await;
    // Data sent before the kill may still arrive.
    while let Ok(Some(text)) = stream.next().await {
        actual.push_str(&text);
    }
    let mut rest = caller.pick_up(survivor.caller, &stream).await.unwrap();
    actual.push_str(&rest.read_to_end().await.unwrap());
    let model = Model::try_from(MODEL).unwrap();
    assert_eq!(whole_answer(&model, "user: census narrative\n", 150), actual);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keyed_call_runs_at_most_once_across_a_killed_and_a_paused_daemon() {
    let deployment = standins().await;
    let mut killed = Process::start(&deployment, 0).await;
    let paused = Process::start(&deployment, 1).await;
    let survivor = Process::start(&deployment, 2).await;
    for process in [&killed, &paused, &survivor] {
        process.wait_for_addresses(3).await;
    }
    let caller = CallerClient::new(TEAM_KEY);
    let call = ServiceCall {
        service: "returns-app",
        method: &Method::POST,
        path: "/enrolments",
        key: Some("return-2026-kano-17"),
        body: "{\"pupils\":412}",
    };
    let (first, second) = tokio::join!(caller.call(killed.caller, call), async {
        killed.signal(Signal::SIGKILL);
        paused.signal(Signal::SIGSTOP);
        let answer = caller.call(survivor.caller, call).await;
        paused.signal(Signal::SIGCONT);
        answer
    });
    killed.exit().await;
    let third = caller.call(paused.caller, call).await;
    let executions = execution_count(&deployment, "returns-app");
    assert!(executions <= 1, "executed {executions} times; {first:?} {second:?} {third:?}");
    let reported_not_run = |answer: &Result<(StatusCode, String), ClientError>| matches!(answer, Ok((_, body)) if body.contains("\"outcome\":\"not_run\""));
    if executions == 1 {
        assert!(!reported_not_run(&second) && !reported_not_run(&third), "{second:?} {third:?}");
    }
}

fn execution_count(deployment: &Deployment, pool: &str) -> usize {
    let calls = deployment.upstreams(pool).into_iter().map(|(_, upstream)| match upstream {
        UpstreamStandin::Service(service) => service.calls().len(),
        UpstreamStandin::Engine(_) => 0,
    });
    calls.sum()
}

#[tokio::test]
async fn daemon_paused_while_a_team_is_removed_never_serves_that_team() {
    let deployment = Deployment::start(Example::Vendimia, 1, EngineModel::default()).await.unwrap();
    let process = Process::start(&deployment, 1).await;
    let caller = CallerClient::new("cava-escazu-key");
    let serves = async || {
        let chat = caller.chat(process.caller, "sommelier-llm", "Hello", 2).await;
        chat.is_ok()
    };
    while !serves().await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    process.signal(Signal::SIGSTOP);
    let shared = deployment.daemons[0].shared();
    let base = shared.config.borrow().revision;
    let change = Change::RemoveTeam { team: "cava-escazu".parse().unwrap() };
    let outcome = shared.publisher.publish(base, "ana".parse().unwrap(), change).await;
    assert!(matches!(outcome, PublishOutcome::Accepted { .. }), "{outcome:?}");
    tokio::time::sleep(CONTACT_TIMEOUT + Duration::from_secs(1)).await;
    process.signal(Signal::SIGCONT);
    for _ in 0..50 {
        assert!(!serves().await, "the daemon served a team that had been removed");
    }
}
