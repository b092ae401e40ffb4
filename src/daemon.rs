//! One daemon: starts its servers and background tasks, and stops them gracefully, so that requests
//! in progress finish.

use crate::admin::{self, AdminHandler};
use crate::admission::{self, AdmissionHandle, Watches};
use crate::budgets::{self, BudgetWatch};
use crate::caller_api::CallerApi;
use crate::claims::{self, Claims};
use crate::config_follower::{ConfigFollower, ConfigWatch};
use crate::context::Context;
use crate::crash_causes::{self, CrashCauses};
use crate::draining;
use crate::evacuation::{self, Evacuation};
use crate::journal::{self, Journal};
use crate::lease::Lease;
use crate::members::{self, InForceWatch, MemberWatch, PeerService};
use crate::peer_tls::PeerTls;
use crate::plans::{self, PlanWatch};
use crate::publisher::Publisher;
use crate::reconciler;
use crate::replicas::{self, ReplicaService};
use crate::replicator::{self, Replicator};
use crate::service_levels::{self, ServiceLevels};
use crate::settings::{IdentitySettings, Settings};
use crate::state::{self, StateTasks};
use crate::upstreams::{self, Upstreams};
use eyre::WrapErr;
use jsonrpsee::server::ServerHandle;
use spindle_daemon::{BoundServer, Dialer, ReplicaServer, bind_server};
use spindle_http::{Drain, DrainTrigger, ServerLimits, bind, serve};
use spindle_instances::{InstanceEntry, Instances, State, Workload};
use spindle_policy::freshness::Freshness;
use spindle_policy::roster::{DaemonRecord, Health};
use spindle_types::Incarnation;
use spindle_types::config::Market;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The delay before a failed registration in the instance list is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The state shared by the tasks of a daemon: handles to each other and constant values.
#[derive(Debug)]
pub struct Shared<C> {
    /// Access to the platform's services and the clock.
    pub context: C,
    /// The settings that the daemon was started with.
    pub settings: Settings,
    /// Identifies this run of the daemon; a restart gets a new one.
    pub incarnation: Incarnation,
    /// The configuration in force at this daemon.
    pub config: ConfigWatch,
    /// Follows the log stream of the configuration.
    pub follower: ConfigFollower,
    /// Publishes operators' changes of the configuration.
    pub publisher: Publisher<C>,
    /// Views of the log that are shown to operators.
    pub operator_views: OperatorViews,
    /// The leader lease, whose holder plans and sends orders.
    pub lease: Lease,
    /// Routes requests to upstreams.
    pub upstreams: Upstreams,
    /// Which requests crash the upstreams that run them.
    pub crashes: CrashCauses<C>,
    /// Admission control and the retry budgets.
    pub admission: AdmissionHandle,
    /// Opens RPC connections to other daemons.
    pub dialer: Dialer,
    /// The daemons as this one sees them, itself included.
    pub members: MemberWatch,
    /// The smallest revision in force at any live daemon.
    pub in_force: InForceWatch,
    /// Claims on calls that must run at most once.
    pub claims: Claims,
    /// The requests that are served or replicated here.
    pub journal: Journal,
    /// Replicates the state of requests to another daemon.
    pub replicator: Replicator,
    /// Moves streams away from upstreams whose instances are being reclaimed.
    pub evacuation: Evacuation,
    /// Signals that the daemon drains: it accepts no new requests and gives up the lease.
    pub drain: Drain,
    /// Cancelled when the daemon is dropped; ends the tasks of all requests.
    pub shutdown: CancellationToken,
}

impl<C: Context> Shared<C> {
    /// Spawns a request's task. It continues when its caller disconnects and ends with the daemon.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let shutdown = self.shutdown.clone();
        tokio::spawn(async move {
            // `None` means that the daemon was dropped and the task with it.
            let _ = shutdown.run_until_cancelled(task).await;
        });
    }

    /// Whether this daemon's configuration is recent enough to accept new requests.
    pub fn freshness(&self) -> Freshness {
        self.follower.contacts.freshness(&self.context)
    }
}

/// Views of the log that are shown to operators. Requests of teams over their budget are refused.
#[derive(Clone, Debug)]
pub struct OperatorViews {
    /// The service levels reached, by team and model.
    pub levels: ServiceLevels,
    /// The newest plans, including those that wait for confirmation.
    pub plans: PlanWatch,
    /// The teams whose spend exceeds their budget.
    pub over_budget: BudgetWatch,
}

/// A running daemon. Dropping it stops it at once, without a drain.
#[derive(Debug)]
pub struct Daemon<C> {
    shared: Arc<Shared<C>>,
    caller: SocketAddr,
    peer: SocketAddr,
    admin: Option<SocketAddr>,
    /// Stops the servers for callers and operators from accepting connections.
    server_drain: DrainTrigger,
    /// Makes the daemon refuse new requests and release the lease.
    work_drain: DrainTrigger,
    front_task: JoinHandle<()>,
    background_tasks: Vec<JoinHandle<()>>,
    state: StateTasks,
    rpc: ServerHandle,
    peers: PeerService,
    _keys: PeerTls,
}

impl<C: Context> Daemon<C> {
    /// Starts a daemon and registers it in the instance list.
    ///
    /// # Errors
    ///
    /// A listen address can't be bound, the TLS keys can't be loaded, or a server can't be started.
    pub async fn start(context: C, settings: Settings) -> eyre::Result<Self> {
        let incarnation = Incarnation(u64::try_from(context.random() >> 64).unwrap_or_default());
        let (server_drain, work_drain) = (DrainTrigger::new(), DrainTrigger::new());
        let (listener, caller) = bind_callers(&settings).await?;
        let keys = PeerTls::load(&settings.peer)?;
        let server = bind_peers(&settings, &keys).await?;
        let peer = server.address();
        let dialer = Dialer::new(keys.tls());
        let own = local_record(&settings.identity, incarnation, caller, peer);
        let StartedParts { shared, tasks, view_tasks, peers } =
            start_parts(context, settings, own, dialer, work_drain.signal());
        let mut methods = peers.methods()?;
        methods.merge(ReplicaService(Arc::clone(&shared)).into_rpc())?;
        let rpc = server.start(methods)?;
        let front_task = start_front(&shared, listener, server_drain.signal());
        let admin = admin::start(AdminHandler(Arc::clone(&shared)), server_drain.signal()).await?;
        let daemon = Self {
            background_tasks: start_background_tasks(&shared, view_tasks),
            shared,
            caller,
            peer,
            admin,
            server_drain,
            work_drain,
            front_task,
            state: tasks,
            rpc,
            peers,
            _keys: keys,
        };
        daemon.register(State::Live).await;
        log::info!("event=started incarnation={incarnation} caller={caller} peer={peer}");
        Ok(daemon)
    }

    /// The address on which callers are served.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller
    }

    /// The address on which RPC calls of other daemons are answered.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// The address on which operators are served; none if the admin server is off.
    pub const fn admin_address(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// The state shared by the daemon's tasks.
    pub const fn shared(&self) -> &Arc<Shared<C>> {
        &self.shared
    }

    /// Stops gracefully. The daemon tells the other daemons and the instance list that it leaves,
    /// and keeps serving for `drain.linger` so that callers stop choosing it. It then accepts
    /// nothing new, and returns when all requests in progress have been answered and the lease is
    /// released.
    pub async fn stop(mut self) {
        log::info!("event=draining incarnation={}", self.shared.incarnation);
        self.peers.leave().await;
        self.register(State::Leaving).await;
        tokio::time::sleep(self.shared.settings.drain.linger.get()).await;
        self.work_drain.start();
        self.server_drain.start();
        // An error means that the server panicked, which the runtime has logged.
        let _ = (&mut self.front_task).await;
        self.state.finish().await;
        // The server may have stopped by itself.
        let _ = self.rpc.stop();
        log::info!("event=stopped incarnation={}", self.shared.incarnation);
    }

    async fn register(&self, state: State) {
        let identity = &self.shared.settings.identity;
        let entry = InstanceEntry {
            instance: identity.instance.clone(),
            data_centre: identity.data_centre.clone(),
            class: identity.class.clone(),
            market: Market::OnDemand,
            address: self.caller,
            kind: Workload::Daemon { peer: self.peer },
            state,
        };
        let context = self.shared.context.clone();
        if context.instances().register(&entry).await.is_ok() {
            return;
        }
        tokio::spawn(async move {
            while let Err(error) = context.instances().register(&entry).await {
                log::warn!("event=register_failed error={error:?}");
                tokio::time::sleep(REGISTER_RETRY_DELAY).await;
            }
        });
    }
}

/// The tasks of a daemon apart from its servers, and the handles to them.
struct StartedParts<C> {
    shared: Arc<Shared<C>>,
    tasks: StateTasks,
    view_tasks: Vec<JoinHandle<()>>,
    peers: PeerService,
}

fn start_parts<C: Context>(
    context: C,
    settings: Settings,
    own: DaemonRecord,
    dialer: Dialer,
    drain: Drain,
) -> StartedParts<C> {
    let incarnation = own.incarnation;
    let (upstreams, daemons) = upstreams::start(context.clone(), &settings);
    let claims = claims::start(&context, incarnation, &settings.claim);
    let evacuation = evacuation::start(context.clone(), &settings.survival, upstreams.stops());
    let (state, tasks) = state::start(&context, &settings.state, incarnation, drain.clone());
    let (operator_views, view_tasks) = start_operator_views(&context, incarnation, &settings);
    let (peers, messages) = PeerService::new(state.follower.clone());
    let (in_flight_sender, in_flight) = watch::channel(0);
    let dependencies = members::Dependencies {
        own,
        heartbeat: settings.peer.heartbeat,
        follower: state.follower.clone(),
        daemons,
        upstreams: upstreams.clone(),
        messages,
        dialer: dialer.clone(),
        in_force: state.in_force_sender,
        in_flight,
    };
    let members = members::start(context.clone(), dependencies);
    let config = state.follower.config.clone();
    let capacity = upstreams.capacity();
    let watches = Watches { config: config.clone(), members: members.clone(), capacity };
    let admission = admission::start(context.clone(), &settings, watches, in_flight_sender);
    let shutdown = CancellationToken::new();
    let journal = journal::start(&settings.replica);
    let ties = replicator::Dependencies {
        journal: journal.clone(),
        members: members.clone(),
        dialer: dialer.clone(),
        life: shutdown.clone(),
    };
    let replicator = replicator::start(&settings, incarnation, ties);
    let own_instance = settings.identity.instance.clone();
    let crashes = CrashCauses::new(context.clone(), own_instance, upstreams.clone());
    let shared = Arc::new(Shared {
        context,
        settings,
        incarnation,
        config,
        follower: state.follower,
        publisher: state.publisher,
        operator_views,
        lease: state.lease,
        upstreams,
        crashes,
        admission,
        dialer,
        members,
        in_force: state.in_force,
        claims,
        journal,
        replicator,
        evacuation,
        drain,
        shutdown,
    });
    StartedParts { shared, tasks, view_tasks, peers }
}

/// Starts the tasks that follow the log streams of service levels, plans and budgets.
fn start_operator_views<C: Context>(
    context: &C,
    own: Incarnation,
    settings: &Settings,
) -> (OperatorViews, Vec<JoinHandle<()>>) {
    let interval = settings.operator.report_interval.get();
    let (levels, level_tasks) = service_levels::start(context.clone(), own, interval);
    let (plans, plan_task) = plans::start(context.clone());
    let (over_budget, budget_task) = budgets::start(context.clone());
    let tasks = level_tasks.into_iter().chain([plan_task, budget_task]).collect();
    (OperatorViews { levels, plans, over_budget }, tasks)
}

/// Starts the tasks that follow drains, carry out plans and watch replicas, and adds them to
/// `tasks`.
fn start_background_tasks<C: Context>(
    shared: &Arc<Shared<C>>,
    mut tasks: Vec<JoinHandle<()>>,
) -> Vec<JoinHandle<()>> {
    tasks.push(draining::start(shared.context.clone(), shared.upstreams.clone()));
    tasks.push(reconciler::start(Arc::clone(shared)));
    tasks.push(replicas::watch(shared));
    tasks.push(crash_causes::start(shared.crashes.clone()));
    tasks
}

async fn bind_peers(settings: &Settings, keys: &PeerTls) -> eyre::Result<BoundServer> {
    let listen = settings.peer.listen;
    bind_server(listen, keys.tls())
        .await
        .wrap_err_with(|| format!("can't bind peer.listen {listen}"))
}

async fn bind_callers(settings: &Settings) -> eyre::Result<(TcpListener, SocketAddr)> {
    let listen = settings.caller.listen;
    bind(listen).await.wrap_err_with(|| format!("can't bind caller.listen {listen}"))
}

fn start_front<C: Context>(
    shared: &Arc<Shared<C>>,
    listener: TcpListener,
    server_drain: Drain,
) -> JoinHandle<()> {
    let connections = usize::try_from(shared.settings.caller.connections).unwrap_or(usize::MAX);
    let limits = ServerLimits { connections, ..ServerLimits::default() };
    tokio::spawn(serve(listener, CallerApi(Arc::clone(shared)), limits, server_drain))
}

fn local_record(
    identity: &IdentitySettings,
    incarnation: Incarnation,
    caller: SocketAddr,
    peer: SocketAddr,
) -> DaemonRecord {
    DaemonRecord {
        incarnation,
        instance: identity.instance.clone(),
        data_centre: identity.data_centre.clone(),
        caller,
        peer,
        version: 1,
        health: Health::Live,
        leaving: false,
    }
}

impl<C> Drop for Daemon<C> {
    fn drop(&mut self) {
        self.shared.shutdown.cancel();
        self.front_task.abort();
        self.background_tasks.iter().for_each(JoinHandle::abort);
        // The server may have stopped by itself.
        let _ = self.rpc.stop();
    }
}
