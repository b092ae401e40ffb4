//! Measures the cost of the control plane: `cargo run --release --example control -- [SECONDS]`.
//!
//! Runs daemons in one process over real sockets, with the default intervals and without callers.
//! Measures the time until a configuration change is known to be in force everywhere, the CPU time
//! and memory per daemon (including the platform stand-ins), and the bytes on the wire that a
//! heartbeat takes beyond its JSON.

use bronzespindle::context::LiveContext;
use bronzespindle::daemon::Daemon;
use bronzespindle::deployment::{Deployment, Example};
use bronzespindle::publisher::PublishOutcome;
use bronzespindle::settings::{PeerSettings, Settings};
use eyre::{OptionExt, bail};
use spindle_daemon::{Dialer, GossipClient};
use spindle_policy::exchange::Packet;
use spindle_policy::membership::Heartbeat;
use spindle_standin::EngineModel;
use spindle_types::config::TeamSpec;
use spindle_types::{Change, DataCentre, Incarnation, Revision, Team};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The numbers of daemons at which the cost is measured.
const SIZES: [usize; 5] = [4, 6, 8, 16, 32];

/// The number of changes whose propagation is timed at each size.
const CHANGES: usize = 12;

/// The number of heartbeats whose bytes are counted.
const HEARTBEATS: u64 = 50;

/// The clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

type Daemons = Vec<Daemon<LiveContext>>;

fn settings(deployment: &Deployment, index: usize) -> eyre::Result<Settings> {
    let mut settings = deployment.settings(index)?;
    let listen = settings.peer.listen;
    settings.peer = PeerSettings { listen, ..PeerSettings::default() };
    Ok(settings)
}

async fn start(deployment: &Deployment, count: usize) -> eyre::Result<Daemons> {
    let mut daemons = Vec::new();
    for index in 0..count {
        let settings = settings(deployment, index)?;
        let context = LiveContext::new(&settings.platform);
        daemons.push(Daemon::start(context, settings).await?);
    }
    let newest = Revision(deployment.configuration.clone().into_changes().len() as u64);
    for daemon in &daemons {
        daemon.shared().in_force.clone().wait_for(|reached| *reached >= newest).await?;
    }
    Ok(daemons)
}

async fn publish(daemons: &Daemons, number: usize) -> eyre::Result<Revision> {
    let shared = daemons[number % daemons.len()].shared();
    let base = daemons.iter().map(|daemon| daemon.shared().config.borrow().revision).max();
    let base = base.ok_or_eyre("no daemon")?;
    shared.config.clone().wait_for(|config| config.revision >= base).await?;
    let team = Team::try_from(format!("team-{number}"))?;
    let change = Change::PutTeam { team, spec: TeamSpec::default() };
    match shared.publisher.publish(base, "ana".parse()?, change).await {
        PublishOutcome::Accepted { revision } => Ok(revision),
        outcome => bail!("not accepted: {outcome:?}"),
    }
}

/// Returns the milliseconds from the call until the change is in force at all daemons, and until
/// the daemon that published it knows that.
async fn time_change(daemons: &Daemons, number: usize) -> eyre::Result<(f64, f64)> {
    let start = Instant::now();
    let revision = publish(daemons, number).await?;
    for daemon in daemons {
        daemon.shared().config.clone().wait_for(|config| config.revision >= revision).await?;
    }
    let in_force = start.elapsed().as_secs_f64() * 1e3;
    let shared = daemons[number % daemons.len()].shared();
    shared.in_force.clone().wait_for(|reached| *reached >= revision).await?;
    Ok((in_force, start.elapsed().as_secs_f64() * 1e3))
}

fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    (ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default()) / TICKS_PER_SECOND
}

fn memory_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

async fn measure(count: usize, duration: Duration) -> eyre::Result<()> {
    let deployment = Deployment::start(Example::Vendimia, 0, EngineModel::default()).await?;
    let before = (memory_kib(), cpu_seconds());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let idle = cpu_seconds() - before.1;
    let daemons = start(&deployment, count).await?;
    let cpu = cpu_seconds();
    tokio::time::sleep(duration).await;
    let cpu = (cpu_seconds() - cpu) / duration.as_secs_f64() - idle;
    let memory = memory_kib() - before.0;
    let mut times = Vec::new();
    for number in 0..CHANGES {
        times.push(time_change(&daemons, number).await?);
        tokio::time::sleep(Duration::from_millis(137)).await;
    }
    let worst = |pick: fn(&(f64, f64)) -> f64| times.iter().map(pick).fold(0.0, f64::max);
    println!(
        "| {count} | {:.0} | {:.0} | {:.2} | {:.0} |",
        worst(|time| time.0),
        worst(|time| time.1),
        cpu * 100.0 / count as f64,
        memory / count as f64,
    );
    Ok(())
}

/// Starts a TCP proxy to an address that counts the bytes of both directions.
async fn counting_proxy(to: SocketAddr, count: Arc<AtomicU64>) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(to).await else { continue };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::spawn(copy(client_read, server_write, Arc::clone(&count)));
            tokio::spawn(copy(server_read, client_write, Arc::clone(&count)));
        }
    });
    Ok(address)
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    count: Arc<AtomicU64>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(length) = from.read(&mut buffer).await {
        count.fetch_add(length as u64, Ordering::Relaxed);
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Returns the bytes on the wire of one message beyond the JSON of the heartbeat.
async fn envelope_bytes() -> eyre::Result<f64> {
    let deployment = Deployment::start(Example::Vendimia, 1, EngineModel::default()).await?;
    let count = Arc::new(AtomicU64::new(0));
    let address = counting_proxy(deployment.daemons[0].peer_address(), Arc::clone(&count)).await?;
    let connection = Dialer::default().open(address).await?;
    let beat = Heartbeat {
        from: Incarnation(1),
        data_centre: DataCentre::try_from("heredia-a")?,
        revision: Revision(0),
        age: Some(0),
        packet: Packet::Same,
    };
    let body = |beat: &Heartbeat| serde_json::to_vec(beat).map_or(0, |body| body.len() as u64);
    connection.beat(beat.clone()).await?;
    let before = count.load(Ordering::Relaxed);
    let mut bodies = 0;
    for _ in 0..HEARTBEATS {
        bodies += body(&beat) + body(&connection.beat(beat.clone()).await?);
    }
    let bytes = count.load(Ordering::Relaxed) - before;
    Ok((bytes - bodies) as f64 / (2 * HEARTBEATS) as f64)
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let duration = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(10);
    println!(
        "one message adds {:.0} bytes to its JSON, without TCP and TLS",
        envelope_bytes().await?
    );
    println!(
        "| daemons | in force everywhere, worst ms | known to be, worst ms | CPU % of a core per \
         daemon | KiB per daemon |"
    );
    println!("|---|---|---|---|---|");
    for count in SIZES {
        measure(count, Duration::from_secs(duration)).await?;
    }
    Ok(())
}
