//! A daemon on the users' platform: the relay, and the units that keep what it goes by.
//!
//! This file wires and nothing else. The units: [`configuration`] and [`registrations`] follow the
//! store, [`statuses`] exchanges with the other daemons, [`actor`] does what one daemon at a time
//! may do, [`reception`] tells callers where to connect.

pub mod actor;
pub mod boot_clock;
pub mod configuration;
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
use spindle_daemon::{StatusesServer, bind_server};
use spindle_http::{DrainTrigger, ServerLimits, bind};
use spindle_platform::cloud::PlatformCloud;
use spindle_platform::directory::{Directory, Readiness};
use spindle_platform::headers::PlatformDialect;
use spindle_platform::ingress::Ingress;
use spindle_platform::settings::NodeSettings;
use spindle_platform::store::PlatformStore;
use spindle_policy::sharing::RetryLimit;
use spindle_relay::accounts::AccountRules;
use spindle_relay::pool::Pool;
use spindle_relay::relay::RelayParts;
use spindle_relay::{Accounts, Board, Limits, Relay, Serving, door};
use spindle_types::{Clock, Incarnation};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// The port on which metrics are served. The same as in `deploy/system.toml`.
const METRICS_PORT: u16 = 9_464;

/// The part of the descriptors that callers' connections may use. Each request needs one to its
/// upstream as well.
const CALLER_DESCRIPTORS: f64 = 0.5;

/// How much of the time that a stop may take is for callers to learn of it. Most keep an address
/// answer for two seconds.
const LEARN_SHARE: f64 = 0.3;

/// The part of the time that a stop may take after which the process ends by itself.
const STOP_SHARE: f64 = 0.95;

/// Runs a daemon until SIGTERM, which drains it.
///
/// # Errors
///
/// A listen address can't be bound.
pub async fn run(settings: NodeSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let mut reload = signal(SignalKind::hangup()).wrap_err("SIGHUP")?;
    let clock = BootClock;
    let incarnation = Incarnation(rand::random());
    log::info!(
        "event=starting incarnation={incarnation} instance={} data_centre={} caller={} peer={}",
        settings.instance,
        settings.data_centre,
        settings.caller,
        settings.peer,
    );
    let (leaving, closing) = (DrainTrigger::new(), DrainTrigger::new());
    let store = PlatformStore::new(settings.store);
    let board = Board::new(settings.data_centre.clone(), Pool::default());
    let accounts = Accounts::new(AccountRules {
        retries: RetryLimit {
            ratio: settings.bounds.retry_budget_ratio,
            slack: settings.bounds.budget_slack,
            window: settings.bounds.budget_window,
        },
        window: settings.bounds.usage_window,
    });
    let (serving_sender, serving) = watch::channel(Arc::new(Serving::default()));
    let (limits_sender, limits) = watch::channel(Limits::default());
    let daemons = Arc::new(AtomicU32::new(1));
    let current = Arc::new(AtomicBool::new(false));
    let closed = Arc::new(AtomicBool::new(false));

    let follower = ConfigurationFollower::new(
        store.clone(),
        clock,
        accounts.clone(),
        (serving_sender, limits_sender),
    );
    let registrations =
        RegistrationFollower::new(store.clone(), clock, board.clone(), Arc::clone(&daemons));
    let statuses = Statuses::new(statuses::Parts {
        incarnation,
        settings: settings.clone(),
        clock,
        board: board.clone(),
        accounts: accounts.clone(),
        follower: follower.clone(),
        registrations: registrations.clone(),
        serving: serving.clone(),
        daemons: Arc::clone(&daemons),
        current: Arc::clone(&current),
        leaving: leaving.signal(),
    });
    let relay = Relay::new(RelayParts {
        clock,
        dialect: PlatformDialect,
        board: board.clone(),
        accounts,
        serving: serving.clone(),
        current,
        daemons,
        closed: Arc::clone(&closed),
    });

    let peers = bind_server(settings.peer, None).await;
    let peers = peers.wrap_err_with(|| format!("listen.control {}", settings.peer))?;
    let service = StatusService::new(statuses.clone(), follower.clone(), board.clone());
    let rpc = peers.start(service.into_rpc())?;
    start_reception(&settings, NodeReception::new(statuses.clone(), clock)).await?;
    let metrics = SocketAddr::new(settings.caller.ip(), METRICS_PORT);
    if let Err(error) = metrics::start(metrics, closing.signal()).await {
        log::warn!("event=metrics_failed address={metrics} error={error:?}");
    }
    let (listener, caller) = bind(settings.caller)
        .await
        .wrap_err_with(|| format!("listen.front {}", settings.caller))?;
    let most = (f64::from(settings.descriptors) * CALLER_DESCRIPTORS) as usize;
    let ingress = Ingress::new(relay, clock, leaving.signal());
    let serving_callers =
        tokio::spawn(door::serve(listener, ingress, limits, most, closing.signal()));
    tokio::spawn(follower.clone().run());
    tokio::spawn(registrations.run());
    tokio::spawn(statuses.clone().run());
    let actor = settings.cloud.map(|address| {
        let cloud = PlatformCloud::new(address, settings.instance.clone());
        let parts = actor::Parts {
            incarnation,
            bounds: settings.bounds,
            clock,
            store: store.clone(),
            cloud,
            board: board.clone(),
            serving: serving.clone(),
            statuses: statuses.clone(),
        };
        tokio::spawn(Actor::new(parts, leaving.signal()).run())
    });
    log::info!("event=started incarnation={incarnation} caller={caller}");

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => log::info!("event=reloaded changed=none"),
        }
    }
    let began = clock.now();
    log::info!("event=stopping incarnation={incarnation}");
    leaving.start();
    statuses.announce().await;
    if let Some(actor) = actor {
        // An error means that the task has panicked, which the runtime logs.
        let _ = actor.await;
    }
    let grace = settings.bounds.grace;
    tokio::time::sleep(grace.mul_f64(LEARN_SHARE)).await;
    closed.store(true, Ordering::Relaxed);
    closing.start();
    let left = grace.mul_f64(STOP_SHARE).saturating_sub(clock.now().since(began));
    let finished = tokio::time::timeout(left, serving_callers).await.is_ok();
    // The server may have stopped by itself.
    let _ = rpc.stop();
    log::info!("event=stopped incarnation={incarnation} finished={finished}");
    Ok(())
}

async fn start_reception(settings: &NodeSettings, reception: NodeReception) -> eyre::Result<()> {
    // Answers until the process ends: others may be told here that this daemon leaves.
    let never = Box::leak(Box::new(DrainTrigger::new())).signal();
    let limits = ServerLimits { header_timeout: Duration::from_secs(3), ..ServerLimits::default() };
    let (directory, _) = bind(settings.directory)
        .await
        .wrap_err_with(|| format!("listen.directory {}", settings.directory))?;
    tokio::spawn(spindle_http::serve(
        directory,
        Directory(reception.clone()),
        limits,
        never.clone(),
    ));
    let (ready, _) =
        bind(settings.ready).await.wrap_err_with(|| format!("listen.ready {}", settings.ready))?;
    tokio::spawn(spindle_http::serve(ready, Readiness(reception), limits, never));
    Ok(())
}
