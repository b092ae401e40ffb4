//! Settings of the exchange between daemons.

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
    /// The time between two heartbeats.
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
            heartbeat: Span::from_millis(500),
            list_interval: Span::from_millis(1_000),
            notice_interval: Span::from_millis(250),
        }
    }
}

impl PeerSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
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
