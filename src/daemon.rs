//! One daemon: starts its tasks, and stops them without cutting anything off.

use crate::admission::{self, Admissions, Watches};
use crate::claims::{self, Claims};
use crate::context::Context;
use crate::follower::{self, ConfigWatch};
use crate::front::Front;
use crate::members::{self, GossipService, MemberWatch};
use crate::settings::Settings;
use crate::upstreams::{self, Upstreams};
use eyre::WrapErr;
use jsonrpsee::server::ServerHandle;
use spindle_daemon::{GossipServer, start_server};
use spindle_http::{Drain, DrainTrigger, ServerLimits, bind, serve};
use spindle_instances::{Entry, Instances, Kind, State};
use spindle_types::Incarnation;
use spindle_types::config::Market;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

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
    /// The router.
    pub upstreams: Upstreams,
    /// Admission and the retry budgets.
    pub admission: Admissions,
    /// The daemons, itself included.
    pub members: MemberWatch,
    /// Claims on calls that must run at most once.
    pub claims: Claims,
    /// Whether the daemon takes no new work.
    pub drain: Drain,
}

/// A running daemon; dropping it stops it at once.
#[derive(Debug)]
pub struct Daemon<C> {
    shared: Arc<Shared<C>>,
    caller: SocketAddr,
    peer: SocketAddr,
    closing: DrainTrigger,
    refusing: DrainTrigger,
    serving: JoinHandle<()>,
    following: JoinHandle<()>,
    rpc: ServerHandle,
}

impl<C: Context> Daemon<C> {
    /// Starts a daemon and registers it in the instance list.
    ///
    /// # Errors
    ///
    /// A listen address can't be bound.
    pub async fn start(context: C, settings: Settings) -> eyre::Result<Self> {
        let incarnation = Incarnation(u64::try_from(context.random() >> 64).unwrap_or_default());
        let (config, following) = follower::start(context.clone());
        let (upstreams, daemons) = upstreams::start(context.clone(), &settings);
        let claims = claims::start(context.clone(), incarnation);
        let (closing, refusing) = (DrainTrigger::new(), DrainTrigger::new());
        let drain = refusing.signal();
        let (listener, caller) = bind(settings.caller.listen)
            .await
            .wrap_err_with(|| format!("caller.listen {}", settings.caller.listen))?;
        let listen = settings.peer.listen;
        let gossip =
            GossipService::new(settings.identity.instance.clone(), incarnation, config.clone());
        let members = members::start(
            context.clone(),
            settings.peer.heartbeat,
            gossip.clone(),
            daemons,
            &upstreams,
        );
        let watches = Watches {
            config: config.clone(),
            members: members.clone(),
            capacity: upstreams.capacity(),
        };
        let admission = admission::start(context.clone(), &settings, watches);
        let shared = Arc::new(Shared {
            context,
            settings,
            incarnation,
            config,
            upstreams,
            admission,
            members,
            claims,
            drain,
        });
        let (peer, rpc) = start_server(listen, gossip.into_rpc())
            .await
            .wrap_err_with(|| format!("peer.listen {listen}"))?;
        let limits = ServerLimits {
            connections: usize::try_from(shared.settings.caller.connections).unwrap_or(usize::MAX),
            ..ServerLimits::default()
        };
        let front = Front(Arc::clone(&shared));
        let serving = tokio::spawn(serve(listener, front, limits, closing.signal()));
        let daemon = Self { shared, caller, peer, closing, refusing, serving, following, rpc };
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

    /// What the tasks share.
    pub const fn shared(&self) -> &Arc<Shared<C>> {
        &self.shared
    }

    /// Stops as planned: leaves the address answers, lingers, takes nothing new, and returns when
    /// every request in progress has been answered.
    pub async fn stop(mut self) {
        log::info!("event=draining incarnation={}", self.shared.incarnation);
        self.register(State::Leaving).await;
        tokio::time::sleep(self.shared.settings.drain.linger.get()).await;
        self.refusing.start();
        self.closing.start();
        // A failure here means that the server panicked, which is logged by the runtime.
        let _ = (&mut self.serving).await;
        // The server may have stopped by itself.
        let _ = self.rpc.stop();
        log::info!("event=stopped incarnation={}", self.shared.incarnation);
    }

    async fn register(&self, state: State) {
        let identity = &self.shared.settings.identity;
        let entry = Entry {
            instance: identity.instance.clone(),
            data_centre: identity.data_centre.clone(),
            class: identity.class.clone(),
            market: Market::OnDemand,
            address: self.caller,
            kind: Kind::Daemon { peer: self.peer },
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

impl<C> Drop for Daemon<C> {
    fn drop(&mut self) {
        self.serving.abort();
        self.following.abort();
        // The server may have stopped by itself.
        let _ = self.rpc.stop();
    }
}
