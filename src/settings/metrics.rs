//! Settings of the metrics page.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where metrics are served.
#[derive(Clone, Debug, Default, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// The address of the scrape page; none serves none.
    #[schemars(schema_with = "super::load::optional_address_schema")]
    pub listen: Option<SocketAddr>,
}
