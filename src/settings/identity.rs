//! Settings that identify the instance on which a process runs.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Instance, MachineClass, Region};

/// The instance on which this daemon runs and its location.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdentitySettings {
    /// The name of the instance.
    pub instance: Instance,
    /// The data centre of the instance.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// The machine class of the instance.
    pub class: MachineClass,
}
