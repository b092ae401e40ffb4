//! Rollouts: the traffic of a service moves to another software version of its upstreams.
//!
//! An operator orders the rollout. The lease holder sends a small share of the requests to the new
//! version ([`RolloutController`]), compares the responses with the old version's ([`judge`]), and
//! either moves all traffic or rolls back. Every daemon follows the newest step ([`RolloutView`])
//! and stops sending to a version that it finds bad by itself.

mod controller;
mod evidence;
mod share;
mod verdict;
mod view;

pub use controller::RolloutController;
pub use evidence::{BUCKETS, Evidence, EvidenceHistory, EvidenceMap, Response};
pub use share::{request_draw, trial_rank, trial_upstreams};
pub use verdict::{ALL_ROUTES, BadReason, Verdict, judge};
pub use view::{NewWork, RolloutView};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use spindle_types::{MonotonicInstant, Offset, Service, SoftwareVersion, UtcInstant};
use std::collections::BTreeMap;
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr};

/// Time before the deadline at which a rollout has to be decided, so that its last step can be
/// stored and sent in time.
pub const DECISION_LEAD: Duration = Duration::from_millis(700);

/// How long a trial or switch step is valid after the holder last sent it.
pub const STEP_VALIDITY: Duration = Duration::from_millis(2_500);

/// How long a version must have been known before it may serve without a step.
pub const VERSION_HOLD: Duration = Duration::from_secs(3);

/// How long after a restore of the store a missing or different order isn't acted on: the operator
/// writes the orders again that the restore lost.
pub const RESTORE_GRACE: Duration = Duration::from_secs(3);

/// Limits on what a bad version may do.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutBounds {
    /// The fraction of a service's requests during a rollout that a bad version may get.
    pub share: f64,
    /// The number of requests that a bad version may get in addition.
    pub slack: f64,
    /// Time from the 50th bad response until the last request that is sent to a bad version.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub rollback: Duration,
}

/// Where an order is recorded; the position in time among a service's orders.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct OrderRevision {
    /// How often the store had been restored when the record was read.
    pub era: u64,
    /// The offset of the record.
    pub offset: Offset,
}

/// An operator's order. Two records with equal content after a restore of the store are the same
/// order.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// The service whose traffic moves.
    pub service: Service,
    /// The version that it moves to.
    pub target: SoftwareVersion,
    /// The time from the order's acknowledgement to its deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// Where the order is recorded.
    pub revision: OrderRevision,
}

impl RolloutOrder {
    /// Whether both records are the same order: the same record, or a record that was written again
    /// after a restore of the store.
    pub fn is_same(&self, other: &Self) -> bool {
        self.revision == other.revision
            || (self.revision.era != other.revision.era
                && self.service == other.service
                && self.target == other.target
                && self.duration == other.duration)
    }
}

/// A stage of a rollout. Stages only advance; `Completed` and `RolledBack` are final.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// The target gets a small share of the requests.
    Trial,
    /// New requests move to the target.
    Switch,
    /// The target serves alone.
    Completed,
    /// The target gets no more requests.
    RolledBack,
}

impl Stage {
    /// Whether the rollout has ended.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// A part of a trial. In `FirstPulse`, two upstreams have the load of an old one at its busiest, so
/// that a version that is bad only under load is found. Where the trial's requests are too few for
/// the normal load of two upstreams, two short pulses bring one upstream each to that load.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TrialPhase {
    /// Requests spread over the trial's upstreams.
    #[default]
    Spread,
    /// The normal load of the first upstream, or the highest of the first two.
    FirstPulse,
    /// Spread again.
    Pause,
    /// The normal load of the second upstream.
    SecondPulse,
    /// Spread until the switch.
    Rest,
}

/// Why a step was made. The names are written to logs.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StepReason {
    /// The operator has ordered the rollout.
    Ordered,
    /// The order was recorded again, after a restore of the store or with another duration.
    Recorded,
    /// The target has registered, or the request rates have changed.
    Shares,
    /// One upstream gets its normal load for a moment.
    Pulse,
    /// The trial found the target sound.
    Sound,
    /// No request is left at the old version.
    Drained,
    /// The deadline is near.
    Deadline,
    /// No old upstream is registered, or the target is the version that served before.
    Sole,
    /// The target was found bad.
    Bad,
    /// The evidence didn't suffice before the deadline.
    Undecided,
    /// No upstream of the target registered in time.
    Missing,
    /// The order was withdrawn.
    Withdrawn,
    /// Another order has replaced this one.
    Replaced,
}

/// The step in force for a service; stored, and sent to all daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RolloutStep {
    /// The order that is carried out.
    pub order: RolloutOrder,
    /// The stage of the rollout.
    pub stage: Stage,
    /// Rises with each step of a service.
    pub sequence: u64,
    /// The sequence of the order's first step. Identifies the order in the daemons' evidence, also
    /// when its record was written again at another offset.
    pub first_sequence: u64,
    /// The order's deadline, in milliseconds since 1970 in UTC.
    pub deadline_utc_ms: u64,
    /// The fraction of the new requests of each route that goes to the target.
    pub shares: BTreeMap<String, f64>,
    /// The fraction for routes without an own one.
    pub default_share: f64,
    /// The part of the trial.
    pub phase: TrialPhase,
    /// The number of target upstreams that may be used; [`trial_upstreams`] chooses them.
    pub upstreams: u32,
    /// The version that serves the other requests; none if it isn't known yet.
    pub base: Option<SoftwareVersion>,
    /// Why the step was made.
    pub reason: StepReason,
}

impl RolloutStep {
    /// The fraction of a route's new requests that goes to the target.
    pub fn share(&self, route: &str) -> f64 {
        self.shares.get(route).copied().unwrap_or(self.default_share)
    }

    /// Whether daemons that follow this step route requests in another way than under `before`. The
    /// others learn of the rest, such as a new record of the same order, with the next statuses.
    pub fn changes_routing(&self, before: &Self) -> bool {
        let is_second = |step: &Self| step.phase == TrialPhase::SecondPulse;
        self.first_sequence != before.first_sequence
            || self.order.target != before.order.target
            || self.stage != before.stage
            || self.shares != before.shares
            || self.default_share.to_bits() != before.default_share.to_bits()
            || self.upstreams != before.upstreams
            || self.base != before.base
            || is_second(self) != is_second(before)
    }

    /// Whether this decision takes the place of an earlier one that isn't stored yet. Shares follow the
    /// evidence all the time, so a difference in them alone is no other decision.
    pub fn replaces(&self, unstored: &Self) -> bool {
        let kind = |step: &Self| (step.order.revision, step.stage, step.phase, step.upstreams);
        kind(self) != kind(unstored)
            || self.order.service != unstored.order.service
            || self.sequence != unstored.sequence
            || self.shares.len() != unstored.shares.len()
    }

    /// Whether this step takes precedence over another of the same service: its order is later, or
    /// the order is the same and the stage is further, or both are the same and the sequence is
    /// higher. The order goes first, since sequences can repeat after a restore of the store.
    pub fn supersedes(&self, other: &Self) -> bool {
        if !self.order.is_same(&other.order) {
            return self.order.revision > other.order.revision;
        }
        let progress = |step: &Self| (step.stage, step.sequence);
        if self.order.revision == other.order.revision {
            return progress(self) > progress(other);
        }
        // After a restore, the same content can also be a new order: a later first step tells.
        (self.first_sequence, progress(self)) > (other.first_sequence, progress(other))
    }
}

/// One version among the registered upstreams of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionSeen {
    /// The version; none for upstreams that state no valid one.
    pub version: Option<SoftwareVersion>,
    /// The number of its registered upstreams that aren't leaving.
    pub upstreams: u32,
    /// The smallest number of slots of one of them.
    pub slots: u32,
    /// When the longest-running of them started.
    pub started_at: UtcInstant,
    /// When this daemon first saw the version in this service.
    pub first_seen: MonotonicInstant,
}

/// The versions of a service that are registered; the wiring keeps it beside its upstreams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionsSeen(pub Vec<VersionSeen>);

impl VersionsSeen {
    /// The number of registered upstreams of a version.
    pub fn upstreams(&self, version: &SoftwareVersion) -> u32 {
        let of_version = self.0.iter().filter(|seen| seen.version.as_ref() == Some(version));
        of_version.map(|seen| seen.upstreams).sum()
    }

    /// The number of registered upstreams of other versions.
    pub fn others(&self, version: &SoftwareVersion) -> u32 {
        let others = self.0.iter().filter(|seen| seen.version.as_ref() != Some(version));
        others.map(|seen| seen.upstreams).sum()
    }

    /// The smallest number of slots of a registered upstream of a version; 0 without one.
    fn slots(&self, version: &SoftwareVersion) -> u32 {
        let of_version = self.0.iter().filter(|seen| seen.version.as_ref() == Some(version));
        of_version.map(|seen| seen.slots).min().unwrap_or_default()
    }

    /// The version of the longest-running upstream among those that `is_permitted` accepts.
    fn oldest(&self, is_permitted: impl Fn(&VersionSeen) -> bool) -> Option<&VersionSeen> {
        let usable = self.0.iter().filter(|seen| seen.upstreams > 0 && is_permitted(seen));
        usable.min_by_key(|seen| (seen.started_at, seen.first_seen, &seen.version))
    }
}

/// What the holder knows of all daemons, for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// The evidence of all daemons for the step in force (equal `first_sequence`), summed.
    pub evidence: EvidenceMap,
    /// Requests per second by route, to all versions, of all daemons.
    pub route_rates: BTreeMap<String, f64>,
    /// The registered upstreams.
    pub versions: VersionsSeen,
    /// Requests in flight at upstreams of other versions than the target, by route.
    pub old_in_flight: BTreeMap<String, u32>,
    /// Requests in flight at upstreams of the target.
    pub target_in_flight: u32,
    /// Whether a daemon has found the target bad by itself ([`RolloutView::is_convicted`]). A holder
    /// that has just taken over lacks the history by which others found it.
    pub is_convicted: bool,
    /// The age of the oldest status of a living daemon that the sums contain.
    pub news_age: Duration,
}

#[cfg(test)]
mod tests;
