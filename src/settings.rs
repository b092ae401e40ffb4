//! Settings of a process, read from a YAML document and validated before use.
//!
//! Each section has its own struct with defaults. The JSON schema of the document is generated
//! from these types.

mod admission;
mod caller;
mod claim;
mod drain;
mod experiment;
mod identity;
mod load;
mod logs;
mod metrics;
mod operator;
mod peer;
mod planner;
mod platform;
mod replica;
mod routing;
mod state;
mod survival;
mod tls;
mod traffic;

pub use admission::AdmissionSettings;
pub use caller::CallerSettings;
pub use claim::ClaimSettings;
pub use drain::DrainSettings;
pub use experiment::{EngineSettings, ExperimentSettings, Fault, FaultSettings};
pub use identity::IdentitySettings;
pub use load::{LoadError, check_document, load, schema};
pub use logs::{LogLevel, LogSettings};
pub use metrics::MetricsSettings;
pub use operator::OperatorSettings;
pub use peer::PeerSettings;
pub use planner::PlannerSettings;
pub use platform::PlatformSettings;
pub use replica::{ReplicaSettings, UnreplicatedAction};
pub use routing::RoutingSettings;
pub use state::StateSettings;
pub use survival::{NoticeAction, SurvivalSettings};
pub use tls::TlsSettings;
pub use traffic::TrafficSettings;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::Problems;

/// The settings of a daemon.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance on which this daemon runs and its location.
    pub identity: IdentitySettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// The API for callers.
    #[serde(default)]
    pub caller: CallerSettings,
    /// Claims, which make sure that a call with an idempotency key runs at most once.
    #[serde(default)]
    pub claim: ClaimSettings,
    /// Communication with other daemons.
    #[serde(default)]
    pub peer: PeerSettings,
    /// Selection of upstreams.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// State that all daemons share through the log service.
    #[serde(default)]
    pub state: StateSettings,
    /// Replication of accepted requests, and storage of answers that a caller can fetch again.
    #[serde(default)]
    pub replica: ReplicaSettings,
    /// Moving streams away from an upstream that is about to be reclaimed.
    #[serde(default)]
    pub survival: SurvivalSettings,
    /// Admission queues and retries.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Planned stop of the daemon.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Reconciliation of the running instances with the confirmed plan.
    #[serde(default)]
    pub planner: PlannerSettings,
    /// The administration API for operators.
    #[serde(default)]
    pub operator: OperatorSettings,
    /// Log output.
    #[serde(default)]
    pub logs: LogSettings,
    /// The endpoint from which metrics are scraped.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Settings {
    /// Creates settings in which every optional section has its defaults.
    pub fn new(identity: IdentitySettings, platform: PlatformSettings) -> Self {
        Self {
            identity,
            platform,
            caller: CallerSettings::default(),
            admission: AdmissionSettings::default(),
            claim: ClaimSettings::default(),
            peer: PeerSettings::default(),
            routing: RoutingSettings::default(),
            state: StateSettings::default(),
            replica: ReplicaSettings::default(),
            survival: SurvivalSettings::default(),
            drain: DrainSettings::default(),
            planner: PlannerSettings::default(),
            operator: OperatorSettings::default(),
            logs: LogSettings::default(),
            metrics: MetricsSettings::default(),
        }
    }

    /// Checks the rules that the JSON schema can't express.
    fn check(&self) -> Problems {
        let mut problems = Problems::new();
        self.caller.check(&mut problems);
        self.claim.check(&mut problems);
        self.peer.check(&mut problems);
        self.routing.check(&mut problems);
        self.state.check(&mut problems);
        self.replica.check(&mut problems);
        self.survival.check(&mut problems);
        self.admission.check(&mut problems);
        self.drain.check(&mut problems);
        self.planner.check(&mut problems);
        self.operator.check(&mut problems);
        problems
    }
}

#[cfg(test)]
mod tests;
