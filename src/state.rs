//! Starts the tasks that keep the state which all daemons share through the log service.

use crate::checkpoints;
use crate::config_follower::{self, ConfigFollower};
use crate::context::Context;
use crate::lease::{self, Lease};
use crate::members::InForceWatch;
use crate::publisher::Publisher;
use crate::settings::StateSettings;
use spindle_http::Drain;
use spindle_types::{Incarnation, Revision};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Handles to the shared state.
#[derive(Debug)]
pub struct State<C> {
    /// What has been read of the operators' stream.
    pub follower: ConfigFollower,
    /// Publishes changes of the configuration.
    pub publisher: Publisher<C>,
    /// The lease of the single actor.
    pub lease: Lease,
    /// The least revision in force at every live daemon.
    pub in_force: InForceWatch,
    /// Where that revision goes.
    pub in_force_sender: watch::Sender<Revision>,
}

/// The running tasks; dropping them stops them at once.
#[derive(Debug)]
pub struct StateTasks {
    following: JoinHandle<()>,
    checkpoints: JoinHandle<()>,
    leasing: JoinHandle<()>,
}

impl StateTasks {
    /// Waits until the lease has been given back, which a drain causes.
    pub async fn finish(&mut self) {
        // A failure means that the task panicked, which is logged by the runtime.
        let _ = (&mut self.leasing).await;
    }
}

impl Drop for StateTasks {
    fn drop(&mut self) {
        self.following.abort();
        self.checkpoints.abort();
        self.leasing.abort();
    }
}

/// Starts the tasks; `drain` tells the lease's holder to give it back.
pub fn start<C: Context>(
    context: &C,
    settings: &StateSettings,
    own: Incarnation,
    drain: Drain,
) -> (State<C>, StateTasks) {
    let (follower, following) = config_follower::start(context.clone());
    let (in_force_sender, in_force) = watch::channel(Revision(0));
    let timeout = settings.publish_timeout.get();
    let publisher = Publisher::new(context.clone(), follower.clone(), in_force.clone(), timeout);
    let (lease, leasing) = lease::start(context.clone(), settings, own, drain, follower.duty());
    let retention = settings.retention.get();
    let checkpoints =
        checkpoints::start(context.clone(), follower.clone(), lease.clone(), retention);
    let state = State { follower, publisher, lease, in_force, in_force_sender };
    (state, StateTasks { following, checkpoints, leasing })
}
