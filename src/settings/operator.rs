//! Settings of the administration API.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::config::KeyHash;
use spindle_types::{Operator, Problems, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The administration API for operators.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// The address on which the administration API is served. Without it, the API is off.
    #[schemars(schema_with = "super::load::optional_address_schema")]
    pub listen: Option<SocketAddr>,
    /// The operators, each with the hashes of its bearer keys.
    pub keys: BTreeMap<Operator, BTreeSet<KeyHash>>,
    /// Time between two reports of this daemon's service levels to the log service.
    pub report_interval: Span,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self { listen: None, keys: BTreeMap::new(), report_interval: Span::from_secs(300) }
    }
}

impl OperatorSettings {
    /// Finds the operator who owns the key with this hash.
    pub fn operator_by_key(&self, hash: &KeyHash) -> Option<&Operator> {
        self.keys.iter().find(|(_, keys)| keys.contains(hash)).map(|(operator, _)| operator)
    }

    pub(super) fn check(&self, problems: &mut Problems) {
        if self.listen.is_some() && self.keys.is_empty() {
            problems.add("operator.keys", "none", "at least one key, or no operator.listen");
        }
        if self.report_interval < Span::from_millis(100) {
            problems.add("operator.report_interval", self.report_interval, "100ms or more");
        }
    }
}
