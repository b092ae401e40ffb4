//! The RPC service for other daemons: heartbeats and configuration updates.

use crate::config_follower::ConfigFollower;
use jsonrpsee::RpcModule;
use jsonrpsee::core::{RegisterMethodError, RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;
use spindle_daemon::{ConfigurationSourceServer, GossipServer};
use spindle_policy::config_update::ConfigUpdate;
use spindle_policy::membership::Heartbeat;
use spindle_types::Revision;
use tokio::sync::{mpsc, oneshot};

/// The capacity of the membership task's message queue.
const MESSAGE_QUEUE_CAPACITY: usize = 256;

/// A message to the membership task.
#[derive(Debug)]
pub enum MembershipMessage {
    /// Another daemon has sent a heartbeat.
    Heartbeat {
        /// The received heartbeat.
        heartbeat: Heartbeat,
        /// Receives the reply to the heartbeat.
        reply: oneshot::Sender<Heartbeat>,
    },
    /// This daemon is leaving, which the other daemons must be told.
    Leave,
}

/// Answers heartbeats and serves configuration updates to other daemons.
#[derive(Clone, Debug)]
pub struct PeerService {
    queue: mpsc::Sender<MembershipMessage>,
    follower: ConfigFollower,
}

impl PeerService {
    /// Creates the service and the queue of its messages to the membership task.
    pub fn new(follower: ConfigFollower) -> (Self, mpsc::Receiver<MembershipMessage>) {
        let (queue, messages) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        (Self { queue, follower }, messages)
    }

    /// The RPC methods of the service.
    ///
    /// # Errors
    ///
    /// Two methods have the same name.
    pub fn methods(&self) -> Result<RpcModule<Self>, RegisterMethodError> {
        let mut methods = GossipServer::into_rpc(self.clone());
        methods.merge(ConfigurationSourceServer::into_rpc(self.clone()))?;
        Ok(methods)
    }

    /// Tells the other daemons that this one leaves.
    pub async fn leave(&self) {
        // An error means that the membership task has ended, so no daemon can be told.
        let _ = self.queue.send(MembershipMessage::Leave).await;
    }
}

fn stopping() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the daemon is stopping", None::<()>)
}

#[async_trait]
impl GossipServer for PeerService {
    async fn beat(&self, heartbeat: Heartbeat) -> RpcResult<Heartbeat> {
        let (reply, answer) = oneshot::channel();
        let sent = self.queue.send(MembershipMessage::Heartbeat { heartbeat, reply }).await;
        sent.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }
}

#[async_trait]
impl ConfigurationSourceServer for PeerService {
    async fn since(&self, revision: Revision) -> RpcResult<ConfigUpdate> {
        Ok(self.follower.followed.borrow().state.update_since(revision))
    }
}
