//! Counts of responses, by route and upstream, that a daemon collects during a rollout.

use super::{Verdict, judge};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use spindle_types::{Instance, MonotonicInstant};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of classes of times: class `i` holds times from `2^(i-1)` up to `2^i` ms, class 0 those
/// below 1 ms, and the last one everything from 16 s.
pub const BUCKETS: usize = 16;

/// One response, as a daemon observed it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Response {
    /// Whether it failed: an error that the upstream is to blame for, or a stream that broke.
    pub is_failed: bool,
    /// The time until its first byte; none if there was none.
    pub first_byte: Option<Duration>,
    /// The mean time between its events; none if it had fewer than two. One value for each
    /// response, since the pauses of one response depend on each other.
    pub pace: Option<Duration>,
}

/// Response counts of one route from one side. Counts stop at their maximum.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Responses that ended, failed ones included.
    pub answers: u32,
    /// Responses that failed.
    pub failed: u32,
    /// Times until the first byte, by log2 of ms.
    pub first_byte: [u16; BUCKETS],
    /// Mean times between events, by log2 of ms.
    pub pace: [u16; BUCKETS],
}

/// What a daemon has observed, by (route, upstream of the target or none for the old version).
/// Cumulative for an order; sent in the daemon's status.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct EvidenceMap(
    #[serde_as(as = "Vec<(_, _)>")] pub BTreeMap<(String, Option<Instance>), Evidence>,
);

impl EvidenceMap {
    /// Counts a response of a target upstream, or of the old version if there is none.
    pub fn record(&mut self, route: &str, upstream: Option<&Instance>, response: &Response) {
        let _ = (route, upstream, response);
    }

    /// Adds the counts of another daemon.
    pub fn add(&mut self, other: &Self) {
        let _ = other;
    }

    /// The number of responses of the target.
    pub fn target_answers(&self) -> u32 {
        0
    }
}

/// Summed evidence over time, which finds a version that turned bad after a good start.
#[derive(Clone, Debug, Default)]
pub struct EvidenceHistory {
    snapshots: VecDeque<(MonotonicInstant, EvidenceMap)>,
}

impl EvidenceHistory {
    /// Judges all evidence, and what came in since each of the last snapshots.
    pub fn judge(&mut self, now: MonotonicInstant, evidence: &EvidenceMap) -> Verdict {
        let _ = (now, &self.snapshots);
        judge(evidence)
    }
}
