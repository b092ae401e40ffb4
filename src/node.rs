//! A daemon on the users' platform: the relay, and the components that maintain its state.
//!
//! This module only constructs, starts and stops the components. [`configuration`] and
//! [`registrations`] follow the store, [`status_exchange`] exchanges statuses with the other
//! daemons, [`leader`] performs the tasks that only one daemon at a time may perform, and
//! [`discovery`] tells callers which daemons to connect to.

pub mod boot_clock;
pub mod config_archive;
pub mod config_exchange;
pub mod configuration;
pub mod crash_exchange;
pub mod discovery;
#[cfg(test)]
mod fake_store;
pub mod feed_position;
pub mod leader;
pub mod registrations;
pub mod rollouts;
mod service_stock;
pub mod status_exchange;
pub mod status_service;
pub mod stream_versions;

use self::boot_clock::BootClock;
use self::config_exchange::ConfigExchange;
use self::configuration::ConfigurationFollower;
use self::crash_exchange::CrashExchange;
use self::discovery::NodeDiscovery;
use self::leader::Leader;
use self::registrations::RegistrationFollower;
use self::rollouts::RolloutLeader;
use self::status_exchange::PeerStatuses;
use self::status_service::StatusService;
use self::stream_versions::StreamVersionExchange;
use crate::metrics;
use eyre::WrapErr;
use spindle_daemon::{StatusExchangeServer, bind_server};
use spindle_http::{DrainTrigger, ServerLimits, bind};
use spindle_platform::cloud::PlatformCloud;
use spindle_platform::directory::{ReadinessHandler, ResolveHandler};
use spindle_platform::headers::PlatformProtocol;
use spindle_platform::ingress::Ingress;
use spindle_platform::settings::NodeSettings;
use spindle_platform::store::PlatformStore;
use spindle_policy::cluster_clock::ClusterClock;
use spindle_policy::shared_limits::{QuotaTolerance, RetryBudgetSpec};
use spindle_relay::caller_stream::CurrentLimits;
use spindle_relay::contact_test;
use spindle_relay::crash_keeper::CrashKeeper;
use spindle_relay::handoff_server::HandoffHandler;
use spindle_relay::helpers::Helpers;
use spindle_relay::pool::ConnectionPool;
use spindle_relay::rank_room::RankRoom;
use spindle_relay::relay::RelayParts;
use spindle_relay::response_body::BodyMemory;
use spindle_relay::stream_keeper::{PendingQuestion, StreamKeeper};
use spindle_relay::usage::{QuotaCall, UsageRules};
use spindle_relay::{
    ActiveConfig, Balancer, ConfigVersions, Limits, Relay, RolloutWatch, UsageTracker,
    caller_server,
};
use spindle_types::{Clock, Incarnation};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// TCP port on which metrics are served. Must match `deploy/system.toml`.
const METRICS_PORT: u16 = 9_464;

/// Fraction of the file descriptors that connections of callers may use. Each request also needs a
/// descriptor for the connection to its upstream.
const CALLER_DESCRIPTOR_FRACTION: f64 = 0.4;

/// Fraction of the memory that request bodies may use together. They are held until their responses
/// end, in case they are sent again.
const REQUEST_MEMORY_FRACTION: f64 = 0.25;

/// Fraction of the file descriptors up to which requests of other daemons are in flight here.
const HANDOFF_DESCRIPTOR_FRACTION: f64 = 0.08;

/// Number of connections of other daemons for each such request; the others are idle.
const HANDOFF_CONNECTIONS_FACTOR: usize = 2;

/// Maximum size of the head of a request that is handed over, as a multiple of a caller's.
const HANDOFF_HEAD_FACTOR: usize = 3;

/// Part of the time within which a configuration must be in force for which a daemon that has heard of
/// a newer one decides by its own. The news takes up to as long.
const CONFIG_PATIENCE_DIVISOR: u32 = 2;

/// Fraction of the shutdown grace period after which new streams are refused. Most callers cache
/// daemon addresses for two seconds, and streams take a few seconds.
const STREAMS_END_FRACTION: f64 = 0.3;

/// Fraction of the shutdown grace period after which the caller port stops accepting connections.
/// Some callers cache daemon addresses for three times as long as they are told to.
const ACCEPT_END_FRACTION: f64 = 0.76;

/// Fraction of the shutdown grace period after which requests without a response get a failure as
/// their response. The rest is left for sending it.
const GIVE_UP_FRACTION: f64 = 0.9;

/// Questions to the daemons that keep quotas that may wait to be sent.
const QUOTA_CALLS_MAX: usize = 256;

/// Fraction of the shutdown grace period after which the process exits even if requests are still
/// in flight.
const SHUTDOWN_END_FRACTION: f64 = 0.95;

/// The components of a daemon, connected to each other but not yet started.
struct Components {
    clock: BootClock,
    store: PlatformStore,
    balancer: Balancer,
    config: watch::Receiver<Arc<ActiveConfig>>,
    limits: watch::Receiver<Limits>,
    follower: ConfigurationFollower<PlatformStore, BootClock>,
    registrations: RegistrationFollower<PlatformStore, BootClock>,
    statuses: PeerStatuses,
    relay: Relay<PlatformProtocol, BootClock>,
}

/// The triggers for the successive steps of a shutdown.
struct Shutdown {
    /// Callers are told to use other daemons.
    draining: DrainTrigger,
    /// New streams are refused.
    refuse_streams: Arc<AtomicBool>,
    /// The caller and metrics ports accept no more connections.
    close_listeners: DrainTrigger,
    /// Requests without a response are given up.
    give_up: DrainTrigger,
    /// Never triggered: like the peer port, the discovery and readiness ports answer until the process
    /// exits, so that other daemons and callers learn that this daemon is shutting down.
    never: DrainTrigger,
}

/// Runs a daemon until it receives SIGTERM, then drains it and returns.
///
/// # Errors
///
/// A signal handler can't be installed, or a listen address can't be bound.
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
    let shutdown = Shutdown {
        draining: DrainTrigger::new(),
        close_listeners: DrainTrigger::new(),
        give_up: DrainTrigger::new(),
        never: DrainTrigger::new(),
        refuse_streams: Arc::default(),
    };
    let (keeper, questions) = StreamKeeper::new();
    let crashes = CrashKeeper::new(settings.instance.clone());
    let (calls, quota_calls) = mpsc::channel(QUOTA_CALLS_MAX);
    let keepers = (keeper.clone(), crashes.clone(), calls);
    let components = build_components(&settings, incarnation, &shutdown, keepers);
    let peer_server = bind_server(settings.peer_address, None).await;
    let peer_server =
        peer_server.wrap_err_with(|| format!("listen.control {}", settings.peer_address))?;
    let service = StatusService::new(
        components.statuses.clone(),
        components.follower.clone(),
        components.balancer.clone(),
        keeper.clone(),
        crashes.clone(),
    );
    let rpc_handle = peer_server.start(service.into_rpc())?;
    let discovery = NodeDiscovery::new(components.statuses.clone(), components.clock);
    start_discovery(&settings, discovery, &shutdown).await?;
    start_metrics(&settings, &shutdown).await;
    let caller_task = start_callers(&settings, &components, &shutdown).await?;
    start_exchanges(&components, quota_calls);
    tokio::spawn(contact_test::run(components.balancer.clone(), components.clock));
    start_stream_versions(&settings, &components, keeper, questions);
    let (statuses, store) = (components.statuses.clone(), components.store.clone());
    tokio::spawn(CrashExchange::new(crashes, statuses, store).run());
    let leader_task = start_leader(&settings, incarnation, &components, &shutdown);
    log::info!("event=started incarnation={incarnation}");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => log::info!("event=reloaded changed=none"),
        }
    }
    log::info!("event=stopping incarnation={incarnation}");
    let finished = drain(&settings, &components, shutdown, caller_task, leader_task).await;
    // An error means that the server has already stopped.
    let _ = rpc_handle.stop();
    log::info!("event=stopped incarnation={incarnation} finished={finished}");
    Ok(())
}

fn build_components(
    settings: &NodeSettings,
    incarnation: Incarnation,
    shutdown: &Shutdown,
    (keeper, crashes, calls): (StreamKeeper, CrashKeeper, mpsc::Sender<QuotaCall>),
) -> Components {
    let clock = BootClock;
    let store = PlatformStore::new(settings.store_address);
    let rollouts = build_rollouts(settings);
    let balancer = build_balancer(settings).with_rollouts(rollouts.clone());
    let usage = build_usage(settings, calls);
    let (config_sender, config) = watch::channel(Arc::new(ActiveConfig::default()));
    let (limits_sender, limits) = watch::channel(Limits::default());
    let daemon_count = Arc::new(AtomicU32::new(1));
    let helpers = Helpers::default();
    let ranks = RankRoom::new(settings.priority_shedding, settings.rank_limits);
    let config_is_current: Arc<AtomicBool> = Arc::default();
    let registrations = build_registrations(settings, &store, &balancer, &daemon_count);
    let follower = ConfigurationFollower::new(
        store.clone(),
        clock,
        (usage.clone(), build_versions(settings)),
        (config_sender, limits_sender),
        registrations.outages(),
        (Arc::clone(&daemon_count), rand::random()),
    );
    let statuses = PeerStatuses::new(status_exchange::Parts {
        incarnation,
        settings: settings.clone(),
        clock,
        store: store.clone(),
        balancer: balancer.clone(),
        usage: usage.clone(),
        follower: follower.clone(),
        registrations: registrations.clone(),
        config: config.clone(),
        daemon_count: Arc::clone(&daemon_count),
        config_is_current: Arc::clone(&config_is_current),
        draining: shutdown.draining.signal(),
        helpers: helpers.clone(),
        rollouts: rollouts.clone(),
        ranks: ranks.clone(),
    });
    let relay = Relay::new(RelayParts {
        clock,
        protocol: PlatformProtocol,
        balancer: balancer.clone(),
        usage,
        config: config.clone(),
        config_is_current,
        versions: follower.versions().clone(),
        daemon_count,
        refuse_streams: Arc::clone(&shutdown.refuse_streams),
        give_up: shutdown.give_up.signal(),
        request_memory: BodyMemory::new(request_memory(settings)),
        body_memory: BodyMemory::default(),
        keeper,
        crashes,
        helpers,
        rollouts,
        instance: settings.instance.clone(),
        ranks,
    });
    Components { clock, store, balancer, config, limits, follower, registrations, statuses, relay }
}

fn build_rollouts(settings: &NodeSettings) -> RolloutWatch {
    match settings.bounds.rollouts {
        Some(_) => RolloutWatch::enabled(),
        None => RolloutWatch::default(),
    }
}

fn build_registrations(
    settings: &NodeSettings,
    store: &PlatformStore,
    balancer: &Balancer,
    daemon_count: &Arc<AtomicU32>,
) -> RegistrationFollower<PlatformStore, BootClock> {
    RegistrationFollower::new(
        store.clone(),
        BootClock,
        balancer.clone(),
        Arc::clone(daemon_count),
        settings.bounds.upstream_drain,
        rand::random(),
    )
}

fn build_usage(settings: &NodeSettings, calls: mpsc::Sender<QuotaCall>) -> UsageTracker {
    let cluster_clock = ClusterClock::new(BootClock.now(), BootClock.utc());
    UsageTracker::new(usage_rules(settings), cluster_clock, calls)
}

/// Memory that all request bodies may use together, in bytes.
fn request_memory(settings: &NodeSettings) -> usize {
    (settings.memory_bytes as f64 * REQUEST_MEMORY_FRACTION) as usize
}

fn build_versions(settings: &NodeSettings) -> ConfigVersions {
    ConfigVersions::new(settings.bounds.configuration / CONFIG_PATIENCE_DIVISOR)
}

fn build_balancer(settings: &NodeSettings) -> Balancer {
    let balancer = Balancer::new(settings.data_centre.clone(), ConnectionPool::default());
    if settings.first_start {
        balancer.set_first_start();
    }
    balancer
}

/// Starts to follow the store and to exchange with the other daemons what all have to know.
fn start_exchanges(components: &Components, quota_calls: mpsc::Receiver<QuotaCall>) {
    tokio::spawn(components.follower.clone().run());
    start_config_exchange(components);
    tokio::spawn(components.statuses.clone().call_quota_keepers(quota_calls));
    tokio::spawn(components.registrations.clone().run());
    tokio::spawn(components.statuses.clone().discover_peers());
    tokio::spawn(components.statuses.clone().run());
}

fn start_config_exchange(components: &Components) {
    let (follower, statuses) = (components.follower.clone(), components.statuses.clone());
    let exchange = ConfigExchange::new(follower, components.clock, statuses, rand::random());
    tokio::spawn(exchange.run());
}

fn start_stream_versions(
    settings: &NodeSettings,
    components: &Components,
    keeper: StreamKeeper,
    questions: mpsc::Receiver<PendingQuestion>,
) {
    let exchange = StreamVersionExchange::new(
        (settings.instance.clone(), settings.data_centre.clone()),
        components.clock,
        keeper,
        components.statuses.clone(),
        (components.balancer.clone(), components.store.clone()),
    );
    tokio::spawn(exchange.run(questions));
}

fn usage_rules(settings: &NodeSettings) -> UsageRules {
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

async fn start_metrics(settings: &NodeSettings, shutdown: &Shutdown) {
    let address = SocketAddr::new(settings.caller_address.ip(), METRICS_PORT);
    // The daemon serves requests even if metrics are unavailable.
    if let Err(error) = metrics::start(address, shutdown.close_listeners.signal()).await {
        log::warn!("event=metrics_failed address={address} error={error:?}");
    }
}

async fn start_callers(
    settings: &NodeSettings,
    components: &Components,
    shutdown: &Shutdown,
) -> eyre::Result<JoinHandle<()>> {
    let (listener, _) = bind(settings.caller_address)
        .await
        .wrap_err_with(|| format!("listen.front {}", settings.caller_address))?;
    let descriptors = f64::from(settings.max_descriptors);
    let ingress =
        Ingress::new(components.relay.clone(), components.clock, shutdown.draining.signal());
    let callers = tokio::spawn(caller_server::serve(
        listener,
        ingress,
        CurrentLimits::new(components.limits.clone()),
        (descriptors * CALLER_DESCRIPTOR_FRACTION) as usize,
        shutdown.close_listeners.signal(),
    ));
    let handoffs = start_handoffs(settings, components, shutdown).await;
    Ok(tokio::spawn(async move {
        // An error means that the task panicked, which the runtime logs.
        let _ = callers.await;
        if let Some(handoffs) = handoffs {
            let _ = handoffs.await;
        }
    }))
}

/// Accepts requests that other daemons hand over. Returns `None` if it can't: the daemon serves its
/// callers even so.
async fn start_handoffs(
    settings: &NodeSettings,
    components: &Components,
    shutdown: &Shutdown,
) -> Option<JoinHandle<()>> {
    let address = settings.handoff_address?;
    let listener = match bind(address).await {
        Ok((listener, _)) => listener,
        Err(error) => {
            log::warn!("event=handoffs_not_accepted address={address} error={error:?}");
            return None;
        }
    };
    let descriptors = f64::from(settings.max_descriptors);
    let in_flight_max = (descriptors * HANDOFF_DESCRIPTOR_FRACTION) as usize;
    let draining = shutdown.draining.signal();
    let handler = HandoffHandler::new(components.relay.clone(), draining, in_flight_max);
    Some(tokio::spawn(caller_server::serve(
        listener,
        handler,
        CurrentLimits::new(components.limits.clone()).with_head_factor(HANDOFF_HEAD_FACTOR),
        in_flight_max * HANDOFF_CONNECTIONS_FACTOR,
        shutdown.close_listeners.signal(),
    )))
}

fn start_leader(
    settings: &NodeSettings,
    incarnation: Incarnation,
    components: &Components,
    shutdown: &Shutdown,
) -> Option<JoinHandle<()>> {
    let cloud = PlatformCloud::new(settings.cloud_address?, settings.instance.clone());
    let (permission, rollout_permission) = watch::channel(None);
    if let Some(bounds) = settings.bounds.rollouts {
        let fleet = (components.statuses.clone(), components.balancer.rollouts().clone());
        let outside = (components.store.clone(), fleet, components.clock);
        tokio::spawn(RolloutLeader::new(bounds, outside, rollout_permission).run());
    }
    let parts = leader::Parts {
        incarnation,
        bounds: settings.bounds,
        clock: components.clock,
        store: components.store.clone(),
        cloud,
        balancer: components.balancer.clone(),
        registrations: components.registrations.clone(),
        config: components.config.clone(),
        statuses: components.statuses.clone(),
        rollouts: components.balancer.rollouts().clone(),
        permission,
    };
    Some(tokio::spawn(Leader::new(parts, shutdown.draining.signal()).run()))
}

/// Shuts down step by step. Returns whether every request finished within the grace period.
async fn drain(
    settings: &NodeSettings,
    components: &Components,
    shutdown: Shutdown,
    mut caller_task: JoinHandle<()>,
    leader_task: Option<JoinHandle<()>>,
) -> bool {
    let started = components.clock.now();
    shutdown.draining.start();
    components.statuses.announce().await;
    if let Some(leader) = leader_task {
        // An error means that the task panicked, which the runtime logs.
        let _ = leader.await;
    }
    let grace = settings.bounds.shutdown_grace;
    let until =
        |fraction| grace.mul_f64(fraction).saturating_sub(components.clock.now().since(started));
    tokio::time::sleep(until(STREAMS_END_FRACTION)).await;
    shutdown.refuse_streams.store(true, Ordering::Relaxed);
    tokio::time::sleep(until(ACCEPT_END_FRACTION)).await;
    shutdown.close_listeners.start();
    if tokio::time::timeout(until(GIVE_UP_FRACTION), &mut caller_task).await.is_ok() {
        return true;
    }
    log::warn!("event=requests_given_up reason=shutdown");
    shutdown.give_up.start();
    tokio::time::timeout(until(SHUTDOWN_END_FRACTION), caller_task).await.is_ok()
}

async fn start_discovery(
    settings: &NodeSettings,
    discovery: NodeDiscovery,
    shutdown: &Shutdown,
) -> eyre::Result<()> {
    let never = shutdown.never.signal();
    let limits = ServerLimits { header_timeout: Duration::from_secs(3), ..ServerLimits::default() };
    let (directory, _) = bind(settings.directory_address)
        .await
        .wrap_err_with(|| format!("listen.directory {}", settings.directory_address))?;
    tokio::spawn(spindle_http::serve(
        directory,
        ResolveHandler(discovery.clone()),
        limits,
        never.clone(),
    ));
    let (ready, _) = bind(settings.readiness_address)
        .await
        .wrap_err_with(|| format!("listen.ready {}", settings.readiness_address))?;
    tokio::spawn(spindle_http::serve(ready, ReadinessHandler(discovery), limits, never));
    Ok(())
}
