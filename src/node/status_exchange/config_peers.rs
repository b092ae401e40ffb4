//! The other daemons as sources and receivers of configurations.

use super::{EXCHANGE_TIMEOUT, PeerStatuses};
use crate::node::config_archive::Document;
use crate::node::config_exchange::ConfigPeers;
use jsonrpsee::core::ClientError;
use spindle_daemon::{ConfigNotice, ConfigPiece, ConfigQuestion, Dialer, StatusExchangeClient};
use spindle_policy::config_source::Holder;
use spindle_policy::presence::Phase;
use spindle_types::Clock;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call that returns a whole configuration.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of daemons whose notices are kept until their statuses arrive.
const NOTICES_MAX: usize = 16;

impl PeerStatuses {
    /// Notes that another daemon has a version, which its status may tell only later.
    pub(in crate::node) fn on_config_notice(&self, notice: ConfigNotice) {
        let now = self.parts.clock.now();
        {
            let notices = &mut self.state().notices;
            notices.retain(|known| known.holder != notice.holder);
            if notices.len() >= NOTICES_MAX {
                notices.remove(0);
            }
            notices.push(notice);
        }
        self.parts.follower.versions().on_heard(now, notice.version, "notice");
    }
}

impl ConfigPeers for PeerStatuses {
    fn holders(&self, version: u64) -> Vec<Holder<SocketAddr>> {
        let now = self.parts.clock.now();
        let own = &self.parts.settings.data_centre;
        let mut state = self.state();
        state.notices.retain(|notice| notice.version > version);
        let noticed = |address: SocketAddr| {
            let notice = state.notices.iter().find(|notice| notice.holder == address);
            notice.map(|notice| notice.version)
        };
        let holder = |daemon: &spindle_policy::presence::KnownDaemon| {
            let address = daemon.identity.peer;
            let version = daemon.status.config.max(noticed(address).unwrap_or_default());
            Holder { address, version, is_local: daemon.identity.data_centre == *own }
        };
        let holders = state.presence.live(now).map(holder);
        holders.filter(|holder| holder.version > version).collect()
    }

    fn lacking(&self, version: u64) -> Vec<SocketAddr> {
        let now = self.parts.clock.now();
        let state = self.state();
        let lacking = state.presence.live(now).filter(|daemon| {
            daemon.status.phase != Phase::Leaving && daemon.status.config < version
        });
        lacking.map(|daemon| daemon.identity.peer).collect()
    }

    async fn piece(
        &self,
        peer: SocketAddr,
        question: ConfigQuestion,
    ) -> Result<Option<ConfigPiece>, ClientError> {
        self.connection(peer)?.config_piece(question).await
    }

    async fn document(&self, peer: SocketAddr) -> Result<Option<Document>, ClientError> {
        let connection = Dialer::default().connect(peer, DOCUMENT_TIMEOUT)?;
        let document = connection.document().await?;
        Ok(document.map(|document| Document {
            version: document.version,
            content: document.content.into(),
            mark: None,
        }))
    }

    async fn tell(&self, peer: SocketAddr, version: u64) {
        let notice = ConfigNotice { version, holder: self.parts.settings.peer_address };
        let told = match self.connection(peer) {
            Ok(connection) => connection.config_notice(notice).await,
            Err(error) => Err(error),
        };
        if let Err(error) = told {
            log::debug!(
                "event=configuration_notice_failed peer={peer} timeout={EXCHANGE_TIMEOUT:?} error={error:?}"
            );
        }
    }
}
