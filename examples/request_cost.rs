//! Measures the cost of claims and replicas: `cargo run --release --example request_cost -- [SECONDS]`.
//!
//! Runs daemons in one process over real sockets. Claims: the latency of non-idempotent calls at a
//! constant rate per daemon, with and without an idempotency key, and the appends that the log
//! served. Replicas: the messages and bytes that one daemon sends to the replica holder of its
//! streams.

use bronzespindle::client::{CallerClient, ServiceCall};
use bronzespindle::deployment::{Deployment, Example};
use eyre::{OptionExt, ensure};
use futures_util::future::join_all;
use http::{Method, StatusCode};
use spindle_standin::{EngineModel, whole_answer};
use spindle_types::Model;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The numbers of daemons at which claims are measured.
const SIZES: [usize; 4] = [2, 4, 8, 16];

/// The time between calls at one daemon: 4.6 requests per second, the target load of a daemon.
const CALL_INTERVAL: Duration = Duration::from_millis(217);

/// The numbers of concurrent streams at which replicas are measured.
const STREAMS: [usize; 4] = [1, 12, 24, 49];

/// The length of the streams, in tokens.
const STREAM_TOKENS: u32 = 250;

const TEAM_KEY: &str = "cava-escazu-key";

const MODEL: &str = "sommelier-llm";

/// Sends a non-idempotent call, with or without an idempotency key. Returns its latency.
async fn call(daemon: SocketAddr, key: Option<&str>) -> eyre::Result<Duration> {
    let started = Instant::now();
    let call = ServiceCall {
        service: "booking-desk",
        method: &Method::POST,
        path: "/allocations",
        key,
        body: "{\"case\":1}",
    };
    let (status, body) = CallerClient::new(TEAM_KEY).call(daemon, call).await?;
    ensure!(status == StatusCode::OK, "{status}: {body}");
    Ok(started.elapsed())
}

/// Calls one daemon at a constant rate. Returns the latency of each call.
async fn call_at_constant_rate(
    daemon: SocketAddr,
    index: usize,
    count: usize,
    keys: Option<&str>,
) -> eyre::Result<Vec<Duration>> {
    tokio::time::sleep(CALL_INTERVAL * u32::try_from(index % 8)? / 8).await;
    let mut ticks = tokio::time::interval(CALL_INTERVAL);
    let mut latencies = Vec::new();
    for number in 0..count {
        ticks.tick().await;
        let key = keys.map(|prefix| format!("{prefix}-{index}-{number}"));
        latencies.push(call(daemon, key.as_deref()).await?);
    }
    Ok(latencies)
}

struct CallStatistics {
    p50: f64,
    p95: f64,
    appends: f64,
}

async fn measure_calls(
    deployment: &Deployment,
    seconds: u64,
    keys: Option<&str>,
) -> eyre::Result<CallStatistics> {
    let count = usize::try_from(seconds * 1_000 / 217)?;
    let (before, started) = (deployment.log.appends(), Instant::now());
    let daemons = deployment.daemons.iter().enumerate();
    let calls =
        daemons.map(|(i, daemon)| call_at_constant_rate(daemon.caller_address(), i, count, keys));
    let results: eyre::Result<Vec<_>> = join_all(calls).await.into_iter().collect();
    let appended = deployment.log.appends() - before;
    let mut latencies = results?.concat();
    latencies.sort();
    let at = |share: usize| latencies[(latencies.len() - 1) * share / 100].as_secs_f64() * 1_000.0;
    let appends = appended as f64 / started.elapsed().as_secs_f64();
    Ok(CallStatistics { p50: at(50), p95: at(95), appends })
}

async fn measure_claims(seconds: u64) -> eyre::Result<()> {
    println!("| daemons | calls/s | no key p50 ms | p95 ms | key p50 ms | p95 ms | appends/s |");
    println!("|---|---|---|---|---|---|---|");
    for size in SIZES {
        let deployment = Deployment::start(Example::Vendimia, size, EngineModel::default()).await?;
        measure_calls(&deployment, 2, Some("warm")).await?;
        let plain = measure_calls(&deployment, seconds, None).await?;
        let keyed = measure_calls(&deployment, seconds, Some("key")).await?;
        let rate = size as f64 / CALL_INTERVAL.as_secs_f64();
        println!(
            "| {size} | {rate:.1} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} |",
            plain.p50, plain.p95, keyed.p50, keyed.p95, keyed.appends
        );
    }
    Ok(())
}

async fn read_stream(daemon: SocketAddr, number: usize) -> eyre::Result<u32> {
    let prompt = format!("dossier {number}");
    let caller = CallerClient::new(TEAM_KEY);
    let mut stream = caller.chat(daemon, MODEL, &prompt, STREAM_TOKENS).await?;
    let actual = stream.read_to_end().await?;
    let model = Model::try_from(MODEL)?;
    let expected = whole_answer(&model, &format!("user: {prompt}\n"), STREAM_TOKENS);
    ensure!(actual == expected, "the answer differs");
    Ok(stream.usage().unwrap_or_default().completion_tokens)
}

async fn measure_replicas() -> eyre::Result<()> {
    println!("\n| streams | tokens | seconds | messages/s | KB/s | bytes per token |");
    println!("|---|---|---|---|---|---|");
    for count in STREAMS {
        let deployment = Deployment::start(Example::Vendimia, 3, EngineModel::default()).await?;
        let daemon = deployment.daemons.first().ok_or_eyre("no daemon")?;
        let started = Instant::now();
        let streams = (0..count).map(|number| read_stream(daemon.caller_address(), number));
        let tokens: eyre::Result<Vec<u32>> = join_all(streams).await.into_iter().collect();
        let (tokens, elapsed) = (tokens?.into_iter().sum::<u32>(), started.elapsed().as_secs_f64());
        let [messages, bytes, _] = daemon.shared().replicator.traffic().counts();
        println!(
            "| {count} | {tokens} | {elapsed:.1} | {:.0} | {:.1} | {:.0} |",
            messages as f64 / elapsed,
            bytes as f64 / elapsed / 1_000.0,
            bytes as f64 / f64::from(tokens)
        );
    }
    Ok(())
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let seconds = std::env::args().nth(1).map_or(Ok(8), |text| text.parse())?;
    measure_claims(seconds).await?;
    measure_replicas().await
}
