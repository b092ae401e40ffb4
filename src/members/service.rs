//! Answers the calls of other daemons.

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

/// Messages that may wait for the task.
const MAILBOX: usize = 256;

/// What reaches the task that keeps the view.
#[derive(Debug)]
pub enum Inbound {
    /// A heartbeat of another daemon.
    Beat {
        /// The heartbeat.
        beat: Heartbeat,
        /// Where the answer goes.
        reply: oneshot::Sender<Heartbeat>,
    },
    /// This daemon leaves.
    Leave,
}

/// Answers heartbeats and hands out configuration.
#[derive(Clone, Debug)]
pub struct PeerService {
    mailbox: mpsc::Sender<Inbound>,
    follower: ConfigFollower,
}

impl PeerService {
    /// The service, and what it sends to the task that keeps the view.
    pub fn new(follower: ConfigFollower) -> (Self, mpsc::Receiver<Inbound>) {
        let (mailbox, inbound) = mpsc::channel(MAILBOX);
        (Self { mailbox, follower }, inbound)
    }

    /// The calls that the service answers.
    ///
    /// # Errors
    ///
    /// Two calls have the same name.
    pub fn methods(&self) -> Result<RpcModule<Self>, RegisterMethodError> {
        let mut methods = GossipServer::into_rpc(self.clone());
        methods.merge(ConfigurationSourceServer::into_rpc(self.clone()))?;
        Ok(methods)
    }

    /// Tells the other daemons that this one leaves.
    pub async fn leave(&self) {
        // Without the task nobody can be told.
        let _ = self.mailbox.send(Inbound::Leave).await;
    }
}

fn stopping() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the daemon is stopping", None::<()>)
}

#[async_trait]
impl GossipServer for PeerService {
    async fn beat(&self, beat: Heartbeat) -> RpcResult<Heartbeat> {
        let (reply, answer) = oneshot::channel();
        let sent = self.mailbox.send(Inbound::Beat { beat, reply }).await;
        sent.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }
}

#[async_trait]
impl ConfigurationSourceServer for PeerService {
    async fn since(&self, revision: Revision) -> RpcResult<ConfigUpdate> {
        Ok(self.follower.followed.borrow().fold.update_since(revision))
    }
}
