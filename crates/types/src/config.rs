//! The shared configuration and the records that change it.
//!
//! The configuration is a fold over the operators' stream of the log service. A record names the
//! revision it was based on, and takes effect only if that is still the newest one.

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

/// The state that all accepted records up to `revision` make.
#[derive(Clone, Debug, Default, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// The offset of the newest record that took effect; 0 before any.
    pub revision: Revision,
    /// Teams by name.
    pub teams: BTreeMap<Team, TeamSpec>,
    /// Pools of upstreams by name.
    pub pools: BTreeMap<Pool, PoolSpec>,
    /// Plain services by name.
    pub services: BTreeMap<Service, ServiceSpec>,
    /// The confirmed plan, if there is one.
    pub plan: Option<ConfirmedPlan>,
}

impl Configuration {
    /// The team that owns a key, given the key's hash.
    pub fn team_by_key(&self, hash: &KeyHash) -> Option<(&Team, &TeamSpec)> {
        self.teams.iter().find(|(_, spec)| spec.keys.contains(hash))
    }

    /// The pools that serve a model, in order of name.
    pub fn pools_serving(&self, model: &Model) -> impl Iterator<Item = (&Pool, &PoolSpec)> {
        let model = model.clone();
        self.pools.iter().filter(move |(_, spec)| spec.serves(&model))
    }

    /// The changes that make this configuration from an empty one, in an order that is valid.
    pub fn into_changes(self) -> Vec<Change> {
        let teams = self.teams.into_iter().map(|(team, spec)| Change::PutTeam { team, spec });
        let pools = self.pools.into_iter().map(|(pool, spec)| Change::PutPool { pool, spec });
        let services =
            self.services.into_iter().map(|(service, spec)| Change::PutService { service, spec });
        let plan = self.plan.into_iter().map(|plan| Change::ConfirmPlan { plan });
        teams.chain(pools).chain(services).chain(plan).collect()
    }

    /// Applies a change and moves to its revision.
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

/// The SHA-256 of a bearer key, in lower-case hexadecimal.
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
    /// The hash of a key.
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

/// The order in which queued work is served.
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
    /// Served first.
    #[default]
    Interactive,
    /// Served when no interactive work waits.
    Batch,
}

/// A team's keys, share and limits.
#[derive(Clone, Debug, Default, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamSpec {
    /// Hashes of the team's bearer keys.
    pub keys: BTreeSet<KeyHash>,
    /// The team's weight in fair queueing; 0 is taken as 1.
    pub weight: u32,
    /// Requests a second across all daemons; none is unlimited.
    pub request_quota: Option<u32>,
    /// Generated tokens a second across all daemons; none is unlimited.
    pub token_quota: Option<u32>,
    /// Streams in flight across all daemons; none is unlimited.
    pub stream_quota: Option<u32>,
    /// The most the team may spend an hour; none is unlimited.
    pub hourly_budget: Option<Money>,
}

/// What an engine of a pool does.
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
    /// Prefill alone; decoding goes on elsewhere after a KV transfer.
    Prefill,
    /// Decode alone.
    Decode,
}

/// What an upstream does with the fencing number of an order.
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
    /// Refuses an order whose number is lower than one already seen.
    Checked,
    /// Ignores the number.
    #[default]
    Ignored,
}

/// The latency that a pool promises at the 95th percentile.
#[derive(Clone, Copy, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LatencyTarget {
    /// From acceptance to the first token.
    pub first_token: Span,
    /// Between two tokens.
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
    /// The model served; none for plain services.
    pub model: Option<Model>,
    /// The version of the model's weights.
    pub version: Option<Version>,
    /// The adapters loaded beside the model.
    pub adapters: BTreeSet<Adapter>,
    /// What the engines do.
    pub role: Role,
    /// What the upstreams do with fencing numbers.
    pub fencing: FencingCheck,
    /// The latency promised.
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
    /// Idempotent: may be retried.
    #[default]
    Allowed,
    /// Not idempotent: sent at most once.
    Never,
}

/// The repeatability of the calls of a service that match a method and a path prefix.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The prefix of the path below the service.
    pub path: String,
    /// Whether matching calls may be repeated.
    pub repeat: Repeat,
}

/// A plain service and the rules for its calls.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The pool of upstreams.
    pub pool: Pool,
    /// Rules in order; the first match counts. Without a match, GET, HEAD and OPTIONS may be
    /// repeated and other methods may not.
    #[serde(default)]
    pub routes: Vec<RouteSpec>,
}

impl ServiceSpec {
    /// Whether a call may be repeated.
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

/// How the cloud sells an instance.
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
    /// Cheaper; can be taken back after a notice of seconds.
    Reclaimable,
    /// Dearer; kept until stopped.
    OnDemand,
}

/// A number of instances of one kind for one pool.
#[derive(Clone, Debug, Eq, JsonSchema, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The pool that the instances join.
    pub pool: Pool,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The machine class.
    pub class: MachineClass,
    /// How they are bought.
    pub market: Market,
    /// How many.
    pub count: u32,
}

/// What the system may do without asking again.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The most that may be spent an hour.
    pub hourly_spend: Money,
    /// The data centres that replacements may use.
    pub data_centres: BTreeSet<DataCentre>,
    /// The machine classes that replacements may use.
    pub classes: BTreeSet<MachineClass>,
    /// Whether on-demand instances may replace reclaimable ones.
    pub on_demand: bool,
}

/// A plan that an operator has confirmed.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmedPlan {
    /// The hash of the exact plan that was shown.
    pub digest: String,
    /// The operator who confirmed it.
    pub operator: Operator,
    /// What is to run.
    pub placements: Vec<Placement>,
    /// What the system may do by itself.
    pub envelope: Envelope,
    /// The cost an hour that was shown.
    pub hourly_cost: Money,
    /// The intent that the plan meets; its pools take effect with the plan.
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
    /// Puts a plan in force.
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
        /// The revision on which the change was based.
        base: Revision,
        /// Who asked for it.
        operator: Operator,
        /// When it was appended, by the appender's clock.
        at: UtcInstant,
        /// A number drawn by the appender, by which it recognises its own record.
        nonce: u64,
        /// The change.
        change: Box<Change>,
    },
    /// The whole state, appended again before the records that made it expire.
    Checkpoint {
        /// The newest offset whose effect the state includes.
        covers: Offset,
        /// The state; its revision is the newest record that took effect.
        state: Box<Configuration>,
    },
}

#[cfg(test)]
mod tests;
