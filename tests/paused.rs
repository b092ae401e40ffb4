//! A daemon process that is paused while the configuration changes.

use bronzespindle::client::CallerClient;
use bronzespindle::deployment::{Deployment, Example};
use bronzespindle::publisher::Outcome;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use spindle_policy::freshness::CONTACT_TIMEOUT;
use spindle_standin::EngineModel;
use spindle_types::Change;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const POLL: Duration = Duration::from_millis(20);
const KEY: &str = "cava-escazu-key";
const MODEL: &str = "sommelier-llm";

struct Paused(Child);

impl Drop for Paused {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::test]
async fn resumed_daemon_never_serves_a_team_removed_meanwhile() {
    let deployment = Deployment::start(Example::Vendimia, 1, EngineModel::default()).await.unwrap();
    let settings = deployment.settings(1).unwrap();
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
    let process = Paused(child);
    let caller = CallerClient::new(KEY);
    let address = loop {
        tokio::time::sleep(POLL).await;
        let entries = deployment.platform.entries();
        let entry = entries.iter().find(|entry| entry.instance == settings.identity.instance);
        if let Some(entry) = entry
            && caller.chat(entry.address, MODEL, "Hello", 2).await.is_ok()
        {
            break entry.address;
        }
    };
    let pid = Pid::from_raw(i32::try_from(process.0.id()).unwrap());
    kill(pid, Signal::SIGSTOP).unwrap();
    let shared = deployment.daemons[0].shared();
    let base = shared.config.borrow().revision;
    let change = Change::RemoveTeam { team: "cava-escazu".parse().unwrap() };
    let outcome = shared.publisher.publish(base, "ana".parse().unwrap(), change).await;
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    tokio::time::sleep(CONTACT_TIMEOUT + Duration::from_secs(1)).await;
    kill(pid, Signal::SIGCONT).unwrap();
    for _ in 0..50 {
        let served = caller.chat(address, MODEL, "Hello", 2).await.is_ok();
        assert!(!served, "the daemon served with the old configuration");
    }
}
