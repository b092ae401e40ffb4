//! Settings of the API for callers.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Size, Span};
use std::net::{Ipv4Addr, SocketAddr};

/// The API for callers.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// The address on which the API is served; port 0 takes any free port.
    #[schemars(schema_with = "super::load::address_schema")]
    pub listen: SocketAddr,
    /// How long callers may cache the answer to an address query.
    pub address_ttl: Span,
    /// Maximum size of a request body.
    pub body_max: Size,
    /// Timeout for the arrival of a whole request body.
    pub body_timeout: Span,
    /// Time without progress after which a request is abandoned.
    pub stall_timeout: Span,
    /// Maximum number of open connections.
    pub connections: u32,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 8080)),
            address_ttl: Span::from_secs(30),
            body_max: Size::from_mib(4),
            body_timeout: Span::from_secs(30),
            stall_timeout: Span::from_secs(60),
            connections: 4_096,
        }
    }
}

impl CallerSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        if self.connections == 0 {
            problems.add("caller.connections", 0, "1 or more");
        }
        if self.body_max.0 == 0 {
            problems.add("caller.body_max", self.body_max, "more than 0B");
        }
        for (name, span) in [
            ("address_ttl", self.address_ttl),
            ("body_timeout", self.body_timeout),
            ("stall_timeout", self.stall_timeout),
        ] {
            if span.get().is_zero() {
                problems.add(format!("caller.{name}"), span, "more than 0s");
            }
        }
    }
}
