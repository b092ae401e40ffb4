//! One daemon: starts its tasks, and stops them without cutting anything off.

use crate::admin::{self, Admin};
use crate::admission::{self, Admissions, Watches};
use crate::budgets::{self, BudgetWatch};
use crate::claims::{self, Claims};
use crate::context::Context;
use crate::draining;
use crate::evacuation::{self, Evacuation};
use crate::follower::{ConfigWatch, Follower};
use crate::front::Front;
use crate::journal::{self, Journal};
use crate::keys::Keys;
use crate::lease::Lease;
use crate::levels::{self, Levels};
use crate::members::{self, InForceWatch, MemberWatch, PeerService};
use crate::plans::{self, PlanWatch};
use crate::publisher::Publisher;
use crate::reconciler;
use crate::replicas::{self, ReplicaService};
use crate::replicator::{self, Replicator};
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

/// The pause after a failed registration.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What the tasks of a daemon share: handles to each other, and what never changes.
#[derive(Debug)]
pub struct Shared<C> {
    /// The outside world.
    pub context: C,
    /// The settings.
    pub settings: Settings,
    /// This life of the daemon.
    pub incarnation: Incarnation,
    /// The configuration in force.
    pub config: ConfigWatch,
    /// What has been read of the operators' stream.
    pub follower: Follower,
    /// Publishes changes of the configuration.
    pub publisher: Publisher<C>,
    /// What operators are shown.
    pub reading: Reading,
    /// The lease of the single actor.
    pub lease: Lease,
    /// The router.
    pub upstreams: Upstreams,
    /// Admission and the retry budgets.
    pub admission: Admissions,
    /// Opens connections to other daemons.
    pub dialer: Dialer,
    /// The daemons, itself included.
    pub members: MemberWatch,
    /// The least revision in force at every live daemon.
    pub in_force: InForceWatch,
    /// Claims on calls that must run at most once.
    pub claims: Claims,
    /// The requests served or held here.
    pub journal: Journal,
    /// Keeps replicas at another daemon.
    pub replicator: Replicator,
    /// Moves streams away from upstreams that are taken back.
    pub evacuation: Evacuation,
    /// Whether the daemon takes no new work.
    pub drain: Drain,
    /// Ends with the daemon, and every request's task with it.
    pub life: CancellationToken,
}

impl<C: Context> Shared<C> {
    /// Runs a request's task, which outlives its caller but not the daemon.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let life = self.life.clone();
        tokio::spawn(async move {
            // Cancelled means that the daemon has gone.
            let _ = life.run_until_cancelled(task).await;
        });
    }

    /// Whether this daemon can know the newest configuration.
    pub fn freshness(&self) -> Freshness {
        self.follower.contacts.freshness(&self.context)
    }
}

/// What a daemon reads from the log for operators.
#[derive(Clone, Debug)]
pub struct Reading {
    /// The service levels.
    pub levels: Levels,
    /// The plans that wait for a confirmation.
    pub plans: PlanWatch,
    /// The teams that are over their budgets.
    pub over_budget: BudgetWatch,
}

/// A running daemon; dropping it stops it at once.
#[derive(Debug)]
pub struct Daemon<C> {
    shared: Arc<Shared<C>>,
    caller: SocketAddr,
    peer: SocketAddr,
    admin: Option<SocketAddr>,
    closing: DrainTrigger,
    refusing: DrainTrigger,
    serving: JoinHandle<()>,
    operating: Vec<JoinHandle<()>>,
    state: StateTasks,
    rpc: ServerHandle,
    peers: PeerService,
    _keys: Keys,
}

impl<C: Context> Daemon<C> {
    /// Starts a daemon and registers it in the instance list.
    ///
    /// # Errors
    ///
    /// A listen address can't be bound.
    pub async fn start(context: C, settings: Settings) -> eyre::Result<Self> {
        let incarnation = Incarnation(u64::try_from(context.random() >> 64).unwrap_or_default());
        let (closing, refusing) = (DrainTrigger::new(), DrainTrigger::new());
        let (listener, caller) = bind_callers(&settings).await?;
        let keys = Keys::load(&settings.peer)?;
        let server = bind_peers(&settings, &keys).await?;
        let peer = server.address();
        let dialer = Dialer::new(keys.tls());
        let own = own_record(&settings.identity, incarnation, caller, peer);
        let Parts { shared, tasks, following, peers } =
            start_parts(context, settings, own, dialer, refusing.signal());
        let mut methods = peers.methods()?;
        methods.merge(ReplicaService(Arc::clone(&shared)).into_rpc())?;
        let rpc = server.start(methods)?;
        let serving = start_front(&shared, listener, closing.signal());
        let admin = admin::start(Admin(Arc::clone(&shared)), closing.signal()).await?;
        let daemon = Self {
            operating: start_operating(&shared, following),
            shared,
            caller,
            peer,
            admin,
            closing,
            refusing,
            serving,
            state: tasks,
            rpc,
            peers,
            _keys: keys,
        };
        daemon.register(State::Live).await;
        log::info!("event=started incarnation={incarnation} caller={caller} peer={peer}");
        Ok(daemon)
    }

    /// Where callers are served.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller
    }

    /// Where other daemons are answered.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// Where operators are served, if they are.
    pub const fn admin_address(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// What the tasks share.
    pub const fn shared(&self) -> &Arc<Shared<C>> {
        &self.shared
    }

    /// Stops as planned: leaves the address answers, lingers, takes nothing new, and returns when
    /// every request in progress has been answered.
    pub async fn stop(mut self) {
        log::info!("event=draining incarnation={}", self.shared.incarnation);
        self.peers.leave().await;
        self.register(State::Leaving).await;
        tokio::time::sleep(self.shared.settings.drain.linger.get()).await;
        self.refusing.start();
        self.closing.start();
        // A failure here means that the server panicked, which is logged by the runtime.
        let _ = (&mut self.serving).await;
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

/// The tasks of a daemon, apart from its servers.
struct Parts<C> {
    shared: Arc<Shared<C>>,
    tasks: StateTasks,
    following: Vec<JoinHandle<()>>,
    peers: PeerService,
}

fn start_parts<C: Context>(
    context: C,
    settings: Settings,
    own: DaemonRecord,
    dialer: Dialer,
    drain: Drain,
) -> Parts<C> {
    let incarnation = own.incarnation;
    let (upstreams, daemons) = upstreams::start(context.clone(), &settings);
    let claims = claims::start(&context, incarnation, &settings.claim);
    let evacuation = evacuation::start(context.clone(), &settings.survival, upstreams.stops());
    let (state, tasks) = state::start(&context, &settings.state, incarnation, drain.clone());
    let (reading, following) = start_reading(&context, incarnation, &settings);
    let (peers, inbound) = PeerService::new(state.follower.clone());
    let (running, load) = watch::channel(0);
    let parts = members::Parts {
        own,
        heartbeat: settings.peer.heartbeat,
        follower: state.follower.clone(),
        daemons,
        upstreams: upstreams.clone(),
        inbound,
        dialer: dialer.clone(),
        in_force: state.in_force_sender,
        load,
    };
    let members = members::start(context.clone(), parts);
    let config = state.follower.config.clone();
    let capacity = upstreams.capacity();
    let watches = Watches { config: config.clone(), members: members.clone(), capacity };
    let admission = admission::start(context.clone(), &settings, watches, running);
    let life = CancellationToken::new();
    let journal = journal::start(&settings.replica);
    let ties = replicator::Ties {
        journal: journal.clone(),
        members: members.clone(),
        dialer: dialer.clone(),
        life: life.clone(),
    };
    let replicator = replicator::start(&settings, incarnation, ties);
    let shared = Arc::new(Shared {
        context,
        settings,
        incarnation,
        config,
        follower: state.follower,
        publisher: state.publisher,
        reading,
        lease: state.lease,
        upstreams,
        admission,
        dialer,
        members,
        in_force: state.in_force,
        claims,
        journal,
        replicator,
        evacuation,
        drain,
        life,
    });
    Parts { shared, tasks, following, peers }
}

/// Follows the plans, the service levels and the budgets.
fn start_reading<C: Context>(
    context: &C,
    own: Incarnation,
    settings: &Settings,
) -> (Reading, Vec<JoinHandle<()>>) {
    let interval = settings.operator.report_interval.get();
    let (levels, counting) = levels::start(context.clone(), own, interval);
    let (plans, planning) = plans::start(context.clone());
    let (over_budget, budgeting) = budgets::start(context.clone());
    let tasks = counting.into_iter().chain([planning, budgeting]).collect();
    (Reading { levels, plans, over_budget }, tasks)
}

/// Follows drains and carries out plans, beside the tasks that read what they need.
fn start_operating<C: Context>(
    shared: &Arc<Shared<C>>,
    mut tasks: Vec<JoinHandle<()>>,
) -> Vec<JoinHandle<()>> {
    tasks.push(draining::start(shared.context.clone(), shared.upstreams.clone()));
    tasks.push(reconciler::start(Arc::clone(shared)));
    tasks.push(replicas::watch(shared));
    tasks
}

async fn bind_peers(settings: &Settings, keys: &Keys) -> eyre::Result<BoundServer> {
    let listen = settings.peer.listen;
    bind_server(listen, keys.tls()).await.wrap_err_with(|| format!("peer.listen {listen}"))
}

async fn bind_callers(settings: &Settings) -> eyre::Result<(TcpListener, SocketAddr)> {
    let listen = settings.caller.listen;
    bind(listen).await.wrap_err_with(|| format!("caller.listen {listen}"))
}

fn start_front<C: Context>(
    shared: &Arc<Shared<C>>,
    listener: TcpListener,
    closing: Drain,
) -> JoinHandle<()> {
    let connections = usize::try_from(shared.settings.caller.connections).unwrap_or(usize::MAX);
    let limits = ServerLimits { connections, ..ServerLimits::default() };
    tokio::spawn(serve(listener, Front(Arc::clone(shared)), limits, closing))
}

fn own_record(
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
        self.shared.life.cancel();
        self.serving.abort();
        self.operating.iter().for_each(JoinHandle::abort);
        // The server may have stopped by itself.
        let _ = self.rpc.stop();
    }
}
