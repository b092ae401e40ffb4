//! Settings of a process: a raw document in YAML and the checked form that the process uses.
//!
//! Each unit has its own settings struct with defaults. The schema of the document is generated
//! from these types.

mod admission;
mod caller;
mod drain;
mod identity;
mod load;
mod logs;
mod metrics;
mod peer;
mod platform;
mod routing;

pub use admission::AdmissionSettings;
pub use caller::CallerSettings;
pub use drain::DrainSettings;
pub use identity::IdentitySettings;
pub use load::{LoadError, check_document, load, schema};
pub use logs::{LogLevel, LogSettings};
pub use metrics::MetricsSettings;
pub use peer::PeerSettings;
pub use platform::PlatformSettings;
pub use routing::RoutingSettings;

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
    /// How other daemons are met.
    #[serde(default)]
    pub peer: PeerSettings,
    /// How upstreams are chosen.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// How requests are let in and retried.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// How a planned stop goes.
    #[serde(default)]
    pub drain: DrainSettings,
    /// What is logged.
    #[serde(default)]
    pub logs: LogSettings,
    /// Where metrics are served.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Settings {
    /// Checks what the schema can't express.
    fn check(&self) -> Problems {
        let mut problems = Problems::new();
        self.caller.check(&mut problems);
        self.peer.check(&mut problems);
        self.routing.check(&mut problems);
        self.admission.check(&mut problems);
        self.drain.check(&mut problems);
        problems
    }
}

#[cfg(test)]
mod tests;
