//! Starts the tasks that keep the state shared by all daemons through the log service: the
//! configuration, its checkpoints and the leader lease.

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

/// Handles to the tasks that keep the shared state.
#[derive(Debug)]
pub struct StateHandles<C> {
    /// Follows the log stream of the configuration.
    pub follower: ConfigFollower,
    /// Publishes operators' changes of the configuration.
    pub publisher: Publisher<C>,
    /// The leader lease, whose holder plans and sends orders.
    pub lease: Lease,
    /// The smallest revision in force at any live daemon.
    pub in_force: InForceWatch,
    /// Sets that revision; used by the membership task.
    pub in_force_sender: watch::Sender<Revision>,
}

/// The running tasks. Dropping this stops them at once.
#[derive(Debug)]
pub struct StateTasks {
    follower_task: JoinHandle<()>,
    checkpoint_task: JoinHandle<()>,
    lease_task: JoinHandle<()>,
}

impl StateTasks {
    /// Waits until the lease task has ended, which a drain makes it do after it has released the
    /// lease.
    pub async fn finish(&mut self) {
        // An error means that the task panicked, which the runtime has logged.
        let _ = (&mut self.lease_task).await;
    }
}

impl Drop for StateTasks {
    fn drop(&mut self) {
        self.follower_task.abort();
        self.checkpoint_task.abort();
        self.lease_task.abort();
    }
}

/// Starts the tasks. `drain` makes the lease task release the lease and end.
pub fn start<C: Context>(
    context: &C,
    settings: &StateSettings,
    own: Incarnation,
    drain: Drain,
) -> (StateHandles<C>, StateTasks) {
    let (follower, follower_task) = config_follower::start(context.clone());
    let (in_force_sender, in_force) = watch::channel(Revision(0));
    let timeout = settings.publish_timeout.get();
    let publisher = Publisher::new(context.clone(), follower.clone(), in_force.clone(), timeout);
    let (lease, lease_task) =
        lease::start(context.clone(), settings, own, drain, follower.log_access());
    let retention = settings.retention.get();
    let checkpoint_task =
        checkpoints::start(context.clone(), follower.clone(), lease.clone(), retention);
    let state = StateHandles { follower, publisher, lease, in_force, in_force_sender };
    (state, StateTasks { follower_task, checkpoint_task, lease_task })
}
