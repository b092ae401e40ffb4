//! A daemon on the users' platform: the relay, and the units that keep what it goes by.
//!
//! This file wires and nothing else. The units: [`configuration`] and [`registrations`] follow the
//! store, [`statuses`] exchanges with the other daemons, [`actor`] does what one daemon at a time
//! may do, [`reception`] tells callers where to connect.

pub mod actor;
pub mod boot_clock;
pub mod configuration;
#[cfg(test)]
mod fake_store;
pub mod reception;
pub mod registrations;
pub mod statuses;

use self::actor::Actor;
use self::boot_clock::BootClock;
use self::configuration::ConfigurationFollower;
use self::reception::NodeReception;
use self::registrations::RegistrationFollower;
use self::statuses::{StatusService, Statuses};
use crate::metrics;
use eyre::WrapErr;
use spindle_daemon::{StatusExchangeServer, bind_server};
use spindle_http::{DrainTrigger, ServerLimits, bind};
use spindle_platform::cloud::PlatformCloud;
use spindle_platform::directory::{ReadinessHandler, ResolveHandler};
use spindle_platform::headers::PlatformDialect;
use spindle_platform::ingress::Ingress;
use spindle_platform::settings::NodeSettings;
use spindle_platform::store::PlatformStore;
use spindle_policy::cluster_clock::ClusterClock;
use spindle_policy::shared_limits::{QuotaTolerance, RetryBudgetSpec};
use spindle_relay::pool::ConnectionPool;
use spindle_relay::relay::RelayParts;
use spindle_relay::usage::UsageRules;
use spindle_relay::{ActiveConfig, Balancer, Limits, Relay, UsageTracker, caller_server};
use spindle_types::{Clock, Incarnation};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The port on which metrics are served. The same as in `deploy/system.toml`.
const METRICS_PORT: u16 = 9_464;

/// The part of the descriptors that callers' connections may use. Each request needs one to its
/// upstream as well.
const CALLER_DESCRIPTORS: f64 = 0.5;

/// How much of the time that a stop may take streams are still begun. Most callers keep an address
/// answer for two seconds, and streams take a few seconds.
const STREAMS_SHARE: f64 = 0.3;

/// How much of the time that a stop may take connections are still accepted. Some callers keep an
/// address answer three times as long as they are told.
const ACCEPT_SHARE: f64 = 0.76;

/// The part of the time that a stop may take after which the process ends by itself.
const STOP_SHARE: f64 = 0.95;

/// The units of a daemon, wired and not yet running.
struct Units {
    clock: BootClock,
    store: PlatformStore,
    board: Balancer,
    serving: watch::Receiver<Arc<ActiveConfig>>,
    limits: watch::Receiver<Limits>,
    follower: ConfigurationFollower<PlatformStore, BootClock>,
    registrations: RegistrationFollower<PlatformStore, BootClock>,
    statuses: Statuses,
    relay: Relay<PlatformDialect, BootClock>,
}

/// The steps of a stop.
struct Stop {
    /// Callers are told to go elsewhere.
    leaving: DrainTrigger,
    /// No stream is begun any more.
    closed: Arc<AtomicBool>,
    /// No connection is accepted any more.
    closing: DrainTrigger,
    /// Never starts: other daemons and those who ask for addresses are answered until the process
    /// ends, so that they hear that this one leaves.
    never: DrainTrigger,
}

/// Runs a daemon until SIGTERM, which drains it.
///
/// # Errors
///
/// A listen address can't be bound.
pub async fn run(settings: NodeSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let mut reload = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
    let incarnation = Incarnation(rand::random());
    log::info!(
        "event=starting incarnation={incarnation} instance={} data_centre={} caller={} peer={}",
        settings.instance,
        settings.data_centre,
        settings.caller_address,
        settings.peer_address,
    );
    let stop = Stop {
        leaving: DrainTrigger::new(),
        closing: DrainTrigger::new(),
        never: DrainTrigger::new(),
        closed: Arc::default(),
    };
    let units = wire(&settings, incarnation, &stop);
    let peers = bind_server(settings.peer_address, None).await;
    let peers = peers.wrap_err_with(|| format!("listen.control {}", settings.peer_address))?;
    let service =
        StatusService::new(units.statuses.clone(), units.follower.clone(), units.board.clone());
    let rpc = peers.start(service.into_rpc())?;
    let reception = NodeReception::new(units.statuses.clone(), units.clock);
    start_reception(&settings, reception, &stop).await?;
    start_metrics(&settings, &stop).await;
    let serving = start_callers(&settings, &units, &stop).await?;
    tokio::spawn(units.follower.clone().run());
    tokio::spawn(units.registrations.clone().run());
    tokio::spawn(units.statuses.clone().find_others());
    tokio::spawn(units.statuses.clone().run());
    let actor = start_actor(&settings, incarnation, &units, &stop);
    log::info!("event=started incarnation={incarnation}");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => log::info!("event=reloaded changed=none"),
        }
    }
    log::info!("event=stopping incarnation={incarnation}");
    let finished = finish(&settings, &units, stop, serving, actor).await;
    // The server may have stopped by itself.
    let _ = rpc.stop();
    log::info!("event=stopped incarnation={incarnation} finished={finished}");
    Ok(())
}

fn wire(settings: &NodeSettings, incarnation: Incarnation, stop: &Stop) -> Units {
    let clock = BootClock;
    let store = PlatformStore::new(settings.store_address);
    let board = Balancer::new(settings.data_centre.clone(), ConnectionPool::default());
    let civil = ClusterClock::new(clock.now(), clock.utc());
    let accounts = UsageTracker::new(account_rules(settings), civil);
    let (serving_sender, serving) = watch::channel(Arc::new(ActiveConfig::default()));
    let (limits_sender, limits) = watch::channel(Limits::default());
    let daemons = Arc::new(AtomicU32::new(1));
    let current: Arc<AtomicBool> = Arc::default();
    let outlets = (serving_sender, limits_sender);
    let registrations =
        RegistrationFollower::new(store.clone(), clock, board.clone(), Arc::clone(&daemons));
    let follower = ConfigurationFollower::new(
        store.clone(),
        clock,
        accounts.clone(),
        outlets,
        registrations.outages(),
    );
    let statuses = Statuses::new(statuses::Parts {
        incarnation,
        settings: settings.clone(),
        clock,
        store: store.clone(),
        board: board.clone(),
        accounts: accounts.clone(),
        follower: follower.clone(),
        registrations: registrations.clone(),
        serving: serving.clone(),
        daemons: Arc::clone(&daemons),
        current: Arc::clone(&current),
        leaving: stop.leaving.signal(),
    });
    let relay = Relay::new(RelayParts {
        clock,
        protocol: PlatformDialect,
        balancer: board.clone(),
        usage: accounts,
        config: serving.clone(),
        config_is_current: current,
        daemon_count: daemons,
        refuse_streams: Arc::clone(&stop.closed),
    });
    Units { clock, store, board, serving, limits, follower, registrations, statuses, relay }
}

fn account_rules(settings: &NodeSettings) -> UsageRules {
    let retries = RetryBudgetSpec {
        ratio: settings.bounds.retry_budget_ratio,
        slack: settings.bounds.retry_budget_slack,
        window: settings.bounds.retry_budget_window,
    };
    let tolerance = QuotaTolerance {
        overage: settings.bounds.quota_overage,
        slack: settings.bounds.quota_slack,
        window: settings.bounds.quota_window,
    };
    UsageRules { retries, tolerance, window: settings.bounds.usage_window }
}

async fn start_metrics(settings: &NodeSettings, stop: &Stop) {
    let address = SocketAddr::new(settings.caller_address.ip(), METRICS_PORT);
    // A daemon without metrics still serves.
    if let Err(error) = metrics::start(address, stop.closing.signal()).await {
        log::warn!("event=metrics_failed address={address} error={error:?}");
    }
}

async fn start_callers(
    settings: &NodeSettings,
    units: &Units,
    stop: &Stop,
) -> eyre::Result<JoinHandle<()>> {
    let (listener, _) = bind(settings.caller_address)
        .await
        .wrap_err_with(|| format!("listen.front {}", settings.caller_address))?;
    let most = (f64::from(settings.max_descriptors) * CALLER_DESCRIPTORS) as usize;
    let ingress = Ingress::new(units.relay.clone(), units.clock, stop.leaving.signal());
    let closing = stop.closing.signal();
    Ok(tokio::spawn(caller_server::serve(listener, ingress, units.limits.clone(), most, closing)))
}

fn start_actor(
    settings: &NodeSettings,
    incarnation: Incarnation,
    units: &Units,
    stop: &Stop,
) -> Option<JoinHandle<()>> {
    let cloud = PlatformCloud::new(settings.cloud_address?, settings.instance.clone());
    let parts = actor::Parts {
        incarnation,
        bounds: settings.bounds,
        clock: units.clock,
        store: units.store.clone(),
        cloud,
        board: units.board.clone(),
        serving: units.serving.clone(),
        statuses: units.statuses.clone(),
    };
    Some(tokio::spawn(Actor::new(parts, stop.leaving.signal()).run()))
}

/// Stops as planned; whether every request was finished.
async fn finish(
    settings: &NodeSettings,
    units: &Units,
    stop: Stop,
    serving: JoinHandle<()>,
    actor: Option<JoinHandle<()>>,
) -> bool {
    let began = units.clock.now();
    stop.leaving.start();
    units.statuses.announce().await;
    if let Some(actor) = actor {
        // An error means that the task has panicked, which the runtime logs.
        let _ = actor.await;
    }
    let grace = settings.bounds.shutdown_grace;
    let until = |share| grace.mul_f64(share).saturating_sub(units.clock.now().since(began));
    tokio::time::sleep(until(STREAMS_SHARE)).await;
    stop.closed.store(true, Ordering::Relaxed);
    tokio::time::sleep(until(ACCEPT_SHARE)).await;
    stop.closing.start();
    tokio::time::timeout(until(STOP_SHARE), serving).await.is_ok()
}

async fn start_reception(
    settings: &NodeSettings,
    reception: NodeReception,
    stop: &Stop,
) -> eyre::Result<()> {
    let never = stop.never.signal();
    let limits = ServerLimits { header_timeout: Duration::from_secs(3), ..ServerLimits::default() };
    let (directory, _) = bind(settings.directory_address)
        .await
        .wrap_err_with(|| format!("listen.directory {}", settings.directory_address))?;
    tokio::spawn(spindle_http::serve(
        directory,
        ResolveHandler(reception.clone()),
        limits,
        never.clone(),
    ));
    let (ready, _) = bind(settings.readiness_address)
        .await
        .wrap_err_with(|| format!("listen.ready {}", settings.readiness_address))?;
    tokio::spawn(spindle_http::serve(ready, ReadinessHandler(reception), limits, never));
    Ok(())
}
