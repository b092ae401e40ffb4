//! Settings of the platform's services.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where the platform's services answer.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log service.
    #[schemars(schema_with = "super::load::address_schema")]
    pub log: SocketAddr,
    /// The instance list.
    #[schemars(schema_with = "super::load::address_schema")]
    pub instances: SocketAddr,
    /// The cloud API.
    #[schemars(schema_with = "super::load::address_schema")]
    pub cloud: SocketAddr,
    /// The weight store.
    #[schemars(schema_with = "super::load::address_schema")]
    pub weights: SocketAddr,
}
