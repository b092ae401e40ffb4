//! The shared configuration and the records that change it.
//!
//! The configuration results from applying the records of the operators' log stream in order. A
//! record states the revision that it is based on, and takes effect only if that is still the newest
//! one (optimistic concurrency control).

use crate::id::{
    Adapter, DataCentre, MachineClass, Model, Offset, Operator, Pool, Revision, Service, Team,
    Version,
};
use crate::intent::Intent;
use crate::time::UtcInstant;
use crate::unit::{Money, Span};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use strum::{Display, EnumString, IntoStaticStr};

/// The configuration after all accepted records up to `revision`.
#[derive(Clone, Debug, Default, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// Offset of the newest record that took effect; 0 if there is none.
    pub revision: Revision,
    /// Teams, by name.
    pub teams: BTreeMap<Team, TeamSpec>,
    /// Pools of upstreams, by name.
    pub pools: BTreeMap<Pool, PoolSpec>,
    /// Plain services, by name.
    pub services: BTreeMap<Service, ServiceSpec>,
    /// The confirmed plan, if there is one.
    pub plan: Option<ConfirmedPlan>,
}

impl Configuration {
    /// The team that owns the API key with this hash.
    pub fn team_by_key(&self, hash: &KeyHash) -> Option<(&Team, &TeamSpec)> {
        self.teams.iter().find(|(_, spec)| spec.keys.contains(hash))
    }

    /// The pools that serve a model, ordered by name.
    pub fn pools_serving(&self, model: &Model) -> impl Iterator<Item = (&Pool, &PoolSpec)> {
        let model = model.clone();
        self.pools.iter().filter(move |(_, spec)| spec.serves(&model))
    }

    /// The changes that build this configuration from an empty one, in a valid order.
    pub fn into_changes(self) -> Vec<Change> {
        let teams = self.teams.into_iter().map(|(team, spec)| Change::PutTeam { team, spec });
        let pools = self.pools.into_iter().map(|(pool, spec)| Change::PutPool { pool, spec });
        let services =
            self.services.into_iter().map(|(service, spec)| Change::PutService { service, spec });
        let plan = self.plan.into_iter().map(|plan| Change::ConfirmPlan { plan });
        teams.chain(pools).chain(services).chain(plan).collect()
    }

    /// Applies a change and sets the revision to that of the change.
    pub fn apply(&mut self, revision: Revision, change: Change) {
        match change {
            Change::PutTeam { team, spec } => {
                self.teams.insert(team, spec);
            }
            Change::RemoveTeam { team } => {
                self.teams.remove(&team);
            }
            Change::PutPool { pool, spec } => {
                self.pools.insert(pool, spec);
            }
            Change::RemovePool { pool } => {
                self.pools.remove(&pool);
            }
            Change::PutService { service, spec } => {
                self.services.insert(service, spec);
            }
            Change::RemoveService { service } => {
                self.services.remove(&service);
            }
            Change::ConfirmPlan { plan } => {
                let pools = plan.intent.iter().flat_map(Intent::pools);
                self.pools.extend(pools);
                self.plan = Some(plan);
            }
        }
        self.revision = revision;
    }
}

/// The SHA-256 hash of an API key (bearer token), in lower-case hexadecimal.
#[derive(
    Clone, Debug, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String", extend(
    "pattern" = "^[0-9a-f]{64}$",
    "x-allowed" = "64 hexadecimal digits in lower case",
))]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes an API key.
    pub fn of(key: &str) -> Self {
        use sha2::Digest;
        use std::fmt::Write;
        let mut text = String::with_capacity(64);
        for byte in sha2::Sha256::digest(key.as_bytes()) {
            // Writing to a string can't fail.
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }
}

impl TryFrom<String> for KeyHash {
    type Error = crate::id::IdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 64 || !text.bytes().all(hex) {
            return Err(Self::Error::Form { expected: "64 hexadecimal digits in lower case" });
        }
        Ok(Self(text))
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.0
    }
}

/// The priority of queued work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Is served first.
    #[default]
    Interactive,
    /// Is served only when no interactive work is waiting.
    Batch,
}

/// The API keys, queueing weight and quotas of a team.
#[derive(Clone, Debug, Default, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamSpec {
    /// Hashes of the team's API keys.
    pub keys: BTreeSet<KeyHash>,
    /// Weight of the team in fair queueing; 0 is treated as 1.
    pub weight: u32,
    /// Maximum requests per second across all daemons; unlimited if absent.
    pub request_quota: Option<u32>,
    /// Maximum generated tokens per second across all daemons; unlimited if absent.
    pub token_quota: Option<u32>,
    /// Maximum concurrent streams across all daemons; unlimited if absent.
    pub stream_quota: Option<u32>,
    /// Maximum spend of the team per hour; unlimited if absent.
    pub hourly_budget: Option<Money>,
}

/// Which phases of a generation the engines of a pool perform.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    JsonSchema,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only; another engine decodes after a transfer of the KV cache.
    Prefill,
    /// Decode only.
    Decode,
}

/// Whether an upstream checks the fencing token of an order.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    JsonSchema,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// Refuses an order whose fencing token is lower than one already seen.
    Checked,
    /// Ignores the fencing token.
    #[default]
    Ignored,
}

/// The 95th-percentile latency target of a pool.
#[derive(Clone, Copy, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LatencyTarget {
    /// Time from the acceptance of a request to its first token.
    pub first_token: Span,
    /// Time between two tokens.
    pub token_interval: Span,
}

impl Default for LatencyTarget {
    fn default() -> Self {
        Self { first_token: Span::from_millis(410), token_interval: Span::from_millis(26) }
    }
}

/// A set of interchangeable upstreams.
#[derive(Clone, Debug, Default, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolSpec {
    /// The model served; absent for plain services.
    pub model: Option<Model>,
    /// Version of the model's weights.
    pub version: Option<Version>,
    /// Adapters that are loaded in addition to the model.
    pub adapters: BTreeSet<Adapter>,
    /// Phases of a generation that the engines perform.
    pub role: Role,
    /// Whether the upstreams check fencing tokens.
    pub fencing: FencingCheck,
    /// Latency target.
    pub target: LatencyTarget,
}

impl PoolSpec {
    /// Whether the pool's engines serve a model.
    pub fn serves(&self, model: &Model) -> bool {
        self.model.as_ref() == Some(model)
    }
}

/// Whether a call may be sent to an upstream more than once.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    JsonSchema,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// The call is idempotent and may be retried.
    #[default]
    Allowed,
    /// The call is not idempotent and is sent at most once.
    Never,
}

/// Whether the calls of a service that match a method and a path prefix may be retried.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// The HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path, relative to the service.
    pub path: String,
    /// Whether matching calls may be retried.
    pub repeat: Repeat,
}

/// A plain service and the retry rules for its calls.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Pool of upstreams that serves the calls.
    pub pool: Pool,
    /// Retry rules in order; the first match applies. Without a match, GET, HEAD and OPTIONS may be
    /// retried and other methods may not.
    #[serde(default)]
    pub routes: Vec<RouteSpec>,
}

impl ServiceSpec {
    /// Whether a call with this method and path may be retried.
    pub fn repeat(&self, method: &str, path: &str) -> Repeat {
        let matches = |route: &&RouteSpec| route.method == method && path.starts_with(&route.path);
        if let Some(route) = self.routes.iter().find(matches) {
            return route.repeat;
        }
        match method {
            "GET" | "HEAD" | "OPTIONS" => Repeat::Allowed,
            _ => Repeat::Never,
        }
    }
}

/// The purchasing model of an instance.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Market {
    /// Cheaper; the cloud may reclaim it with a notice of a few seconds (spot).
    Reclaimable,
    /// More expensive; runs until it is stopped.
    OnDemand,
}

/// A number of instances with the same properties for one pool.
#[derive(Clone, Debug, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The pool that the instances join.
    pub pool: Pool,
    /// Data centre in which they run.
    pub data_centre: DataCentre,
    /// Machine class of the instances.
    pub class: MachineClass,
    /// Whether they are reclaimable or on demand.
    pub market: Market,
    /// Number of instances.
    pub count: u32,
}

/// The limits within which the system may replace instances without another confirmation.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Maximum spend per hour.
    pub hourly_spend: Money,
    /// Data centres that replacements may use.
    pub data_centres: BTreeSet<DataCentre>,
    /// Machine classes that replacements may use.
    pub classes: BTreeSet<MachineClass>,
    /// Whether on-demand instances may replace reclaimable ones.
    pub on_demand: bool,
}

/// A plan that an operator has confirmed.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmedPlan {
    /// Hash of the exact plan that the operator was shown.
    pub digest: String,
    /// The operator who confirmed it.
    pub operator: Operator,
    /// Instances to run.
    pub placements: Vec<Placement>,
    /// Limits within which the system may act without confirmation.
    pub envelope: Envelope,
    /// Cost per hour that the operator was shown.
    pub hourly_cost: Money,
    /// The intent that the plan fulfils; its pools take effect together with the plan.
    #[serde(default)]
    pub intent: Option<Intent>,
}

/// One change of the configuration.
#[derive(Clone, Debug, Display, JsonSchema, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Adds or replaces a team.
    PutTeam {
        /// The team.
        team: Team,
        /// Its specification.
        spec: TeamSpec,
    },
    /// Removes a team.
    RemoveTeam {
        /// The team.
        team: Team,
    },
    /// Adds or replaces a pool.
    PutPool {
        /// The pool.
        pool: Pool,
        /// Its specification.
        spec: PoolSpec,
    },
    /// Removes a pool.
    RemovePool {
        /// The pool.
        pool: Pool,
    },
    /// Adds or replaces a service.
    PutService {
        /// The service.
        service: Service,
        /// Its specification.
        spec: ServiceSpec,
    },
    /// Removes a service.
    RemoveService {
        /// The service.
        service: Service,
    },
    /// Puts a plan in force, and adds or replaces the pools of its intent.
    ConfirmPlan {
        /// The plan.
        plan: ConfirmedPlan,
    },
}

/// A record of the operators' stream.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A change that takes effect if `base` is the newest revision.
    Change {
        /// Revision on which the change is based.
        base: Revision,
        /// Operator who requested the change.
        operator: Operator,
        /// Time at which it was appended, by the appender's clock.
        at: UtcInstant,
        /// Random number by which the appender recognises its own record.
        nonce: u64,
        /// The change.
        change: Box<Change>,
    },
    /// The whole configuration, appended before the records that created it expire.
    Checkpoint {
        /// Newest offset whose effect the state includes.
        covers: Offset,
        /// The configuration; its revision is the newest record that took effect.
        state: Box<Configuration>,
    },
}

#[cfg(test)]
mod tests;
