//! Settings that tell a process which instance it is.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{DataCentre, Instance, MachineClass, Region};

/// Which instance this is and where it stands.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdentitySettings {
    /// The name of the instance.
    pub instance: Instance,
    /// The data centre in which it stands.
    pub data_centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
    /// The machine class of the instance.
    pub class: MachineClass,
}
