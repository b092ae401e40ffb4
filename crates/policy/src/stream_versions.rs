//! At which version of the upstreams' software a stream may go on.
//!
//! What two versions write in a stream doesn't fit together, so a stream goes on only at the version
//! that began it, and one whose version isn't known goes on nowhere.

use spindle_types::SoftwareVersion;

/// Versions of the software that may serve an attempt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum PermittedVersions {
    /// Every version: no event has been passed on yet.
    #[default]
    Any,
    /// The version that began the stream; none if its upstream stated no valid one, which permits no
    /// version.
    Only(Option<SoftwareVersion>),
}

impl PermittedVersions {
    /// Whether an upstream of this version may serve the attempt.
    pub fn permits(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(began) => began.is_some() && began.as_ref() == version,
        }
    }
}

#[cfg(test)]
mod tests;
