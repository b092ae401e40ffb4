//! Settings of the exchange between daemons.

use super::TlsSettings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span};
use std::net::{Ipv4Addr, SocketAddr};

/// How other daemons are met.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// The address on which other daemons are answered; port 0 takes any free port.
    #[schemars(schema_with = "super::load::address_schema")]
    pub listen: SocketAddr,
    /// The keys of the connections to other daemons.
    pub tls: Option<TlsSettings>,
    /// Whether connections to other daemons may do without TLS on other addresses than loopback.
    pub plaintext: bool,
    /// The time between two heartbeats of a small deployment.
    pub heartbeat: Span,
    /// The time between two reads of the instance list.
    pub list_interval: Span,
    /// The time between two reads of reclaim notices.
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
