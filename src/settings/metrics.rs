//! Settings of the metrics endpoint.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The endpoint from which metrics are scraped.
#[derive(Clone, Debug, Default, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// The address on which metrics are served. Without it, the endpoint is off.
    #[schemars(schema_with = "super::load::optional_address_schema")]
    pub listen: Option<SocketAddr>,
}
