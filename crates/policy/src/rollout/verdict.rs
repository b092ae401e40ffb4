//! Whether the target of a rollout is sound.

use super::EvidenceMap;
use strum::{Display, IntoStaticStr};

/// Stands for all routes together in [`Verdict::Bad`].
pub const ALL_ROUTES: &str = "*";

/// In what a version is worse than the old one. The names are written to logs.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum BadReason {
    /// More responses fail.
    Failures,
    /// More first bytes are late.
    SlowStart,
    /// More responses have long pauses between events.
    SlowPace,
}

/// The result of a comparison of the target with the old version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The target is as good as the old version.
    Sound,
    /// The target is worse.
    Bad {
        /// In what.
        reason: BadReason,
        /// On which route, or [`ALL_ROUTES`].
        route: String,
    },
    /// The evidence doesn't suffice.
    Undecided,
}

/// Compares the target with the old version.
pub fn judge(evidence: &EvidenceMap) -> Verdict {
    let _ = evidence;
    Verdict::Undecided
}
