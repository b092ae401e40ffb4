//! A whole deployment in one process, to look at or to check its promises once.

use crate::client::{CallerClient, ChatStream, ServiceCall};
use crate::deployment::{DEMO_OPERATOR_KEY, Deployment, Example, UpstreamStandin};
use eyre::{bail, ensure, eyre};
use http::{Method, StatusCode};
use spindle_standin::{EngineModel, whole_answer};
use spindle_types::{Instance, Model};
use std::net::SocketAddr;
use std::time::Duration;
use tabled::{Table, Tabled};

/// The number of daemons that are started.
const DAEMONS: usize = 3;

/// The length of the streamed answers, in tokens.
const STREAM_TOKENS: u32 = 200;

/// The notice of the reclaim.
const RECLAIM_NOTICE: Duration = Duration::from_millis(300);

/// The names that the examples give to what the demo uses.
struct Names {
    team: &'static str,
    model: &'static str,
    engines: &'static str,
    service: &'static str,
    safe_path: &'static str,
    once_path: &'static str,
}

impl Example {
    const fn names(self) -> Names {
        match self {
            Self::Vendimia => Names {
                team: "cava-escazu",
                model: "sommelier-llm",
                engines: "sommelier-llm",
                service: "booking-desk",
                safe_path: "/allocations/7",
                once_path: "/allocations",
            },
            Self::Kanem => Names {
                team: "kano-ministry",
                model: "census-llm",
                engines: "spindle-pool",
                service: "returns-app",
                safe_path: "/enrolments/7",
                once_path: "/enrolments",
            },
        }
    }
}

/// One line of the table.
#[derive(Debug, Tabled)]
struct Row {
    check: &'static str,
    outcome: String,
    detail: String,
}

/// Starts a deployment and keeps it up until the process is interrupted.
///
/// # Errors
///
/// The deployment does not start.
pub async fn serve(example: Example) -> eyre::Result<()> {
    let deployment = Deployment::start(example, DAEMONS, EngineModel::default()).await?;
    let names = example.names();
    println!("log       http://{}", deployment.log.address());
    println!("instances http://{}", deployment.platform.list_address());
    println!("cloud     http://{}", deployment.platform.cloud_address());
    println!("weights   http://{}", deployment.weights.address());
    for daemon in &deployment.daemons {
        let identity = &daemon.shared().settings.identity;
        let address = daemon.caller_address();
        println!("daemon    http://{address} ({} in {})", identity.instance, identity.data_centre);
        if let Some(admin) = daemon.admin_address() {
            println!("admin     {admin} (key {DEMO_OPERATOR_KEY})");
        }
    }
    if let Some(daemon) = deployment.daemons.first() {
        println!("\ncurl -N http://{}/v1/chat/completions \\", daemon.caller_address());
        println!("  -H 'Authorization: Bearer {}-key' \\", names.team);
        println!(
            "  -d '{{\"model\":\"{}\",\"stream\":true,\"max_tokens\":20,\
             \"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'",
            names.model
        );
    }
    println!("\nCtrl-C stops it.");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// Starts a deployment, checks its promises with a handful of requests, and prints a table.
///
/// # Errors
///
/// The deployment does not start, or a promise was broken.
pub async fn run_checks(example: Example) -> eyre::Result<()> {
    let deployment = Deployment::start(example, DAEMONS, EngineModel::default()).await?;
    let mut script = Script { deployment, names: example.names() };
    let results = [
        ("streamed answer is whole", script.stream().await),
        ("plain call is answered", script.plain_call().await),
        ("call not to be repeated runs once", script.call_once().await),
        ("stream survives a reclaim", script.reclaim().await),
        ("planned stop cuts nothing off", script.planned_stop().await),
    ];
    let broken = results.iter().filter(|(_, result)| result.is_err()).count();
    let rows = results.into_iter().map(|(check, result)| match result {
        Ok(detail) => Row { check, outcome: "kept".to_owned(), detail },
        Err(error) => Row { check, outcome: "BROKEN".to_owned(), detail: format!("{error:#}") },
    });
    println!("{}", Table::new(rows));
    ensure!(broken == 0, "{broken} promises were broken");
    Ok(())
}

struct Script {
    deployment: Deployment,
    names: Names,
}

impl Script {
    fn caller(&self) -> CallerClient {
        CallerClient::new(format!("{}-key", self.names.team))
    }

    async fn address(&self) -> eyre::Result<SocketAddr> {
        let daemon = self.deployment.daemons.first().ok_or_else(|| eyre!("no daemon"))?;
        let reply = self.caller().addresses(daemon.caller_address()).await?;
        let first = reply.addresses.first().ok_or_else(|| eyre!("no address"))?;
        Ok(first.address)
    }

    async fn start_stream(&self, daemon: SocketAddr, prompt: &str) -> eyre::Result<ChatStream> {
        Ok(self.caller().chat(daemon, self.names.model, prompt, STREAM_TOKENS).await?)
    }

    fn check_answer(&self, prompt: &str, actual: &str) -> eyre::Result<()> {
        let model = Model::try_from(self.names.model)?;
        let expected = whole_answer(&model, &format!("user: {prompt}\n"), STREAM_TOKENS);
        ensure!(actual == expected, "the answer differs from the one expected");
        Ok(())
    }

    async fn stream(&self) -> eyre::Result<String> {
        let prompt = "Summarise the offer of the négociant";
        let mut stream = self.start_stream(self.address().await?, prompt).await?;
        self.check_answer(prompt, &stream.read_to_end().await?)?;
        Ok(format!("{} tokens", stream.usage().unwrap_or_default().completion_tokens))
    }

    async fn plain_call(&self) -> eyre::Result<String> {
        let Names { service, safe_path: path, .. } = self.names;
        let call = ServiceCall { service, method: &Method::GET, path, key: None, body: "" };
        let (status, _) = self.caller().call(self.address().await?, call).await?;
        ensure!(status == StatusCode::OK, "status {status}");
        Ok(status.to_string())
    }

    async fn call_once(&self) -> eyre::Result<String> {
        let Names { service, once_path: path, .. } = self.names;
        let body = "{\"case\":12}";
        let call = ServiceCall { service, method: &Method::POST, path, key: Some("demo-1"), body };
        let mut statuses = Vec::new();
        for daemon in &self.deployment.daemons {
            let (status, _) = self.caller().call(daemon.caller_address(), call).await?;
            statuses.push(status.as_u16());
        }
        let runs = self.runs(body);
        ensure!(runs == 1, "it ran {runs} times");
        Ok(format!("sent to {} daemons, ran {runs} time, statuses {statuses:?}", statuses.len()))
    }

    fn runs(&self, body: &str) -> usize {
        let services = self.deployment.upstreams(self.names.service);
        let calls = services.into_iter().filter_map(|(_, upstream)| match upstream {
            UpstreamStandin::Service(service) => Some(service.calls()),
            UpstreamStandin::Engine(_) => None,
        });
        calls.flatten().filter(|call| call.body == body).count()
    }

    async fn reclaim(&self) -> eyre::Result<String> {
        let prompt = "Draft the campaign dossier for Pauillac";
        let mut stream = self.start_stream(self.address().await?, prompt).await?;
        let mut content = stream.next().await?.unwrap_or_default();
        let instance = self.busy_engine()?;
        self.deployment.platform.reclaim(&instance, RECLAIM_NOTICE);
        content.push_str(&stream.read_to_end().await?);
        self.check_answer(prompt, &content)?;
        let recomputed = stream.usage().unwrap_or_default().recomputed_tokens;
        Ok(format!("{instance} reclaimed in mid-stream, {recomputed} tokens computed again"))
    }

    fn busy_engine(&self) -> eyre::Result<Instance> {
        for (instance, upstream) in self.deployment.upstreams(self.names.engines) {
            if let UpstreamStandin::Engine(engine) = upstream
                && engine.running() > 0
            {
                return Ok(instance);
            }
        }
        bail!("no engine is busy")
    }

    async fn planned_stop(&mut self) -> eyre::Result<String> {
        let daemon = self.deployment.daemons.pop().ok_or_else(|| eyre!("no daemon"))?;
        let prompt = "Compare the offers of the week";
        let mut stream = self.start_stream(daemon.caller_address(), prompt).await?;
        let mut content = stream.next().await?.unwrap_or_default();
        let stopping = tokio::spawn(daemon.stop());
        content.push_str(&stream.read_to_end().await?);
        self.check_answer(prompt, &content)?;
        drop(stream);
        stopping.await?;
        Ok("the daemon stopped after its stream ended".to_owned())
    }
}
