//! Settings of the platform's services.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Addresses of the platform's services.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The log service, which holds append-only streams of records.
    #[schemars(schema_with = "super::load::address_schema")]
    pub log: SocketAddr,
    /// The service that lists the instances.
    #[schemars(schema_with = "super::load::address_schema")]
    pub instances: SocketAddr,
    /// The cloud API, which starts and stops instances and lists offers.
    #[schemars(schema_with = "super::load::address_schema")]
    pub cloud: SocketAddr,
    /// The store from which model weights are loaded.
    #[schemars(schema_with = "super::load::address_schema")]
    pub weights: SocketAddr,
}
