//! Runs a complete deployment in one process, either to explore it or to check its guarantees once.

use crate::client::{CallerClient, ChatStream, ServiceCall};
use crate::deployment::{DEMO_OPERATOR_KEY, Deployment, Example};
use crate::launcher::UpstreamStandin;
use eyre::{bail, ensure, eyre};
use http::{Method, StatusCode};
use spindle_standin::{EngineModel, whole_answer};
use spindle_types::{Instance, Model};
use std::net::SocketAddr;
use std::time::Duration;
use tabled::{Table, Tabled};

/// The number of daemons to start.
const DAEMONS: usize = 3;

/// The length of the streamed answers, in tokens.
const STREAM_TOKENS: u32 = 200;

/// The time between the reclaim notice and the stop of the instance.
const RECLAIM_NOTICE: Duration = Duration::from_millis(300);

/// The names in an example deployment that the demo uses.
struct ExampleNames {
    team: &'static str,
    model: &'static str,
    engines: &'static str,
    service: &'static str,
    idempotent_path: &'static str,
    submission_path: &'static str,
}

impl Example {
    const fn names(self) -> ExampleNames {
        match self {
            Self::Vendimia => ExampleNames {
                team: "cava-escazu",
                model: "sommelier-llm",
                engines: "sommelier-llm",
                service: "booking-desk",
                idempotent_path: "/allocations/7",
                submission_path: "/allocations",
            },
            Self::Kanem => ExampleNames {
                team: "kano-ministry",
                model: "census-llm",
                engines: "spindle-pool",
                service: "returns-app",
                idempotent_path: "/enrolments/7",
                submission_path: "/enrolments",
            },
        }
    }
}

/// One row of the result table.
#[derive(Debug, Tabled)]
struct ResultRow {
    check: &'static str,
    outcome: String,
    detail: String,
}

/// Starts a deployment, prints its addresses, and runs it until the process is interrupted.
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
    println!("\nPress Ctrl-C to stop.");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// Starts a deployment, checks its guarantees with a few requests, and prints a table.
///
/// # Errors
///
/// The deployment does not start, or a guarantee was broken.
pub async fn run_checks(example: Example) -> eyre::Result<()> {
    let deployment = Deployment::start(example, DAEMONS, EngineModel::default()).await?;
    let mut checks = Checks { deployment, names: example.names() };
    let results = [
        ("streamed answer is complete", checks.streamed_answer().await),
        ("idempotent call is answered", checks.idempotent_call().await),
        ("submission sent several times runs once", checks.submission().await),
        ("stream survives a reclaim", checks.reclaim().await),
        ("planned stop waits for open streams", checks.planned_stop().await),
    ];
    let broken = results.iter().filter(|(_, result)| result.is_err()).count();
    let rows = results.into_iter().map(|(check, result)| match result {
        Ok(detail) => ResultRow { check, outcome: "kept".to_owned(), detail },
        Err(error) => {
            ResultRow { check, outcome: "BROKEN".to_owned(), detail: format!("{error:#}") }
        }
    });
    println!("{}", Table::new(rows));
    ensure!(broken == 0, "{broken} guarantees were broken");
    Ok(())
}

struct Checks {
    deployment: Deployment,
    names: ExampleNames,
}

impl Checks {
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
        ensure!(actual == expected, "the answer differs from the expected one");
        Ok(())
    }

    async fn streamed_answer(&self) -> eyre::Result<String> {
        let prompt = "Summarise the offer of the négociant";
        let mut stream = self.start_stream(self.address().await?, prompt).await?;
        self.check_answer(prompt, &stream.read_to_end().await?)?;
        Ok(format!("{} tokens", stream.usage().unwrap_or_default().completion_tokens))
    }

    async fn idempotent_call(&self) -> eyre::Result<String> {
        let ExampleNames { service, idempotent_path: path, .. } = self.names;
        let call = ServiceCall { service, method: &Method::GET, path, key: None, body: "" };
        let (status, _) = self.caller().call(self.address().await?, call).await?;
        ensure!(status == StatusCode::OK, "status {status}");
        Ok(status.to_string())
    }

    async fn submission(&self) -> eyre::Result<String> {
        let ExampleNames { service, submission_path: path, .. } = self.names;
        let body = "{\"case\":12}";
        let call = ServiceCall { service, method: &Method::POST, path, key: Some("demo-1"), body };
        let mut statuses = Vec::new();
        for daemon in &self.deployment.daemons {
            let (status, _) = self.caller().call(daemon.caller_address(), call).await?;
            statuses.push(status.as_u16());
        }
        let executions = self.execution_count(body);
        ensure!(executions == 1, "it ran {executions} times");
        Ok(format!(
            "sent to {} daemons, ran {executions} time, statuses {statuses:?}",
            statuses.len()
        ))
    }

    fn execution_count(&self, body: &str) -> usize {
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
        Ok(format!("{instance} reclaimed mid-stream, {recomputed} tokens recomputed"))
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
        Ok("the daemon stopped after its stream had ended".to_owned())
    }
}
