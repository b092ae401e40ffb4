//! Settings of the communication between daemons.

use super::TlsSettings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span};
use std::net::{Ipv4Addr, SocketAddr};

/// Communication with other daemons.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// The address on which this daemon listens for other daemons; port 0 takes any free port.
    #[schemars(schema_with = "super::load::address_schema")]
    pub listen: SocketAddr,
    /// The files for mutual TLS between daemons.
    pub tls: Option<TlsSettings>,
    /// Whether connections between daemons may be unencrypted on addresses other than loopback.
    pub plaintext: bool,
    /// Time between two heartbeats in a small deployment.
    pub heartbeat: Span,
    /// Time between two polls of the instance list.
    pub list_interval: Span,
    /// Time between two polls of reclaim notices.
    pub notice_interval: Span,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 8081)),
            tls: None,
            plaintext: false,
            heartbeat: Span::from_millis(500),
            list_interval: Span::from_millis(1_000),
            notice_interval: Span::from_millis(250),
        }
    }
}

impl PeerSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        if self.tls.is_none() && !self.plaintext && !self.listen.ip().is_loopback() {
            let found = format!("missing, while {} is not a loopback address", self.listen);
            problems.add("peer.tls", found, "certificate, key and authority; or plaintext: true");
        }
        for (name, span) in [
            ("heartbeat", self.heartbeat),
            ("list_interval", self.list_interval),
            ("notice_interval", self.notice_interval),
        ] {
            if span < Span::from_millis(10) {
                problems.add(format!("peer.{name}"), span, "10ms or more");
            }
        }
    }
}
