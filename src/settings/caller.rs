//! Settings of the interface to callers.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Size, Span};
use std::net::{Ipv4Addr, SocketAddr};

/// How callers are served.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// The address on which callers are served; port 0 takes any free port.
    #[schemars(schema_with = "super::load::address_schema")]
    pub listen: SocketAddr,
    /// How long callers may keep an address answer.
    pub address_ttl: Span,
    /// The largest request body.
    pub body_max: Size,
    /// The time within which a request body must arrive.
    pub body_timeout: Span,
    /// The time after which a request that makes no progress is given up.
    pub stall_timeout: Span,
    /// The most connections open at once.
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
