//! Settings of a process: a raw document in YAML and the checked form that the process uses.
//!
//! Each unit has its own settings struct with defaults. The schema of the document is generated
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
    /// Which instance this is and where it stands.
    pub identity: IdentitySettings,
    /// Where the platform's services answer.
    pub platform: PlatformSettings,
    /// How callers are served.
    #[serde(default)]
    pub caller: CallerSettings,
    /// How claims on calls that must run at most once are kept and settled.
    #[serde(default)]
    pub claim: ClaimSettings,
    /// How other daemons are met.
    #[serde(default)]
    pub peer: PeerSettings,
    /// How upstreams are chosen.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// How the state that all daemons share is kept.
    #[serde(default)]
    pub state: StateSettings,
    /// How requests are replicated and picked up.
    #[serde(default)]
    pub replica: ReplicaSettings,
    /// How streams survive the loss of their upstream.
    #[serde(default)]
    pub survival: SurvivalSettings,
    /// How requests are let in and retried.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// How a planned stop goes.
    #[serde(default)]
    pub drain: DrainSettings,
    /// How the confirmed plan is carried out.
    #[serde(default)]
    pub planner: PlannerSettings,
    /// How operators are served.
    #[serde(default)]
    pub operator: OperatorSettings,
    /// What is logged.
    #[serde(default)]
    pub logs: LogSettings,
    /// Where metrics are served.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Settings {
    /// Settings with the default for everything that has one.
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

    /// Checks what the schema can't express.
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
