//! Counts of responses, by route and upstream, that a daemon collects during a rollout.

use super::Verdict;
use super::verdict::{Used, assess};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use spindle_types::{Instance, MonotonicInstant};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Number of classes of times: class `i` holds times from `2^(i-1)` up to `2^i` ms, class 0 those
/// below 1 ms, and the last one everything from 16 s.
pub const BUCKETS: usize = 16;

/// Time between two snapshots of the evidence.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of snapshots that are kept. Six cover the time from the target's registration to the
/// switch of the shortest rollouts, 12 s.
const SNAPSHOTS_MAX: usize = 6;

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
        let key = (route.to_owned(), upstream.cloned());
        let evidence = self.0.entry(key).or_default();
        evidence.answers = evidence.answers.saturating_add(1);
        evidence.failed = evidence.failed.saturating_add(response.is_failed.into());
        let count = |buckets: &mut [u16; BUCKETS], time: Option<Duration>| {
            if let Some(time) = time {
                let bucket = &mut buckets[bucket(time)];
                *bucket = bucket.saturating_add(1);
            }
        };
        count(&mut evidence.first_byte, response.first_byte);
        count(&mut evidence.pace, response.pace);
    }

    /// Adds the counts of another daemon.
    pub fn add(&mut self, other: &Self) {
        for (key, theirs) in &other.0 {
            let own = self.0.entry(key.clone()).or_default();
            own.answers = own.answers.saturating_add(theirs.answers);
            own.failed = own.failed.saturating_add(theirs.failed);
            combine(&mut own.first_byte, &theirs.first_byte, u16::saturating_add);
            combine(&mut own.pace, &theirs.pace, u16::saturating_add);
        }
    }

    /// Whether all counts are at least those of an earlier state. They fall when a daemon ended or
    /// isn't heard.
    fn continues(&self, earlier: &Self) -> bool {
        earlier.0.iter().all(|(key, before)| {
            let covers = |own: &[u16], before: &[u16]| own.iter().zip(before).all(|(o, b)| o >= b);
            self.0.get(key).is_some_and(|own| {
                own.answers >= before.answers
                    && own.failed >= before.failed
                    && covers(&own.first_byte, &before.first_byte)
                    && covers(&own.pace, &before.pace)
            })
        })
    }

    /// What came in since an earlier state, which this one continues.
    fn since(&self, earlier: &Self) -> Self {
        let mut recent = self.clone();
        for (key, own) in &mut recent.0 {
            let Some(before) = earlier.0.get(key) else { continue };
            own.answers = own.answers.saturating_sub(before.answers);
            own.failed = own.failed.saturating_sub(before.failed);
            combine(&mut own.first_byte, &before.first_byte, u16::saturating_sub);
            combine(&mut own.pace, &before.pace, u16::saturating_sub);
        }
        recent
    }

    /// The number of responses of the target.
    pub fn target_answers(&self) -> u32 {
        let of_target = self.0.iter().filter(|((_, upstream), _)| upstream.is_some());
        of_target.fold(0, |sum, (_, evidence)| sum.saturating_add(evidence.answers))
    }
}

/// The class of a time.
fn bucket(time: Duration) -> usize {
    let millis = time.as_millis().min(u128::from(u32::MAX));
    let bits = u128::BITS - millis.leading_zeros();
    usize::try_from(bits).map_or(BUCKETS - 1, |bits| bits.min(BUCKETS - 1))
}

fn combine(own: &mut [u16; BUCKETS], other: &[u16; BUCKETS], with: impl Fn(u16, u16) -> u16) {
    for (own, other) in own.iter_mut().zip(other) {
        *own = with(*own, *other);
    }
}

/// Summed evidence over time, which finds a version that turned bad after a good start.
///
/// All evidence and what came in since each of the last snapshots is judged, which is a cumulative
/// sum test (CUSUM) in steps of a snapshot's interval: good responses from before the change don't
/// outweigh the failures after it.
#[derive(Clone, Debug, Default)]
pub struct EvidenceHistory {
    snapshots: VecDeque<(MonotonicInstant, EvidenceMap)>,
}

impl EvidenceHistory {
    /// Judges all evidence, and what came in since each of the last snapshots. Bad if one of them
    /// is, sound if all evidence is and none of the recent raises a suspicion.
    pub fn judge(&mut self, now: MonotonicInstant, evidence: &EvidenceMap) -> Verdict {
        // A difference between the sums of different daemons says nothing.
        if self.snapshots.back().is_some_and(|(_, last)| !evidence.continues(last)) {
            self.snapshots.clear();
        }
        let used = Used::of(evidence);
        let whole = assess(evidence, used);
        let recent =
            self.snapshots.iter().map(|(_, earlier)| assess(&evidence.since(earlier), used));
        let worst = recent.max_by(|a, b| a.score.total_cmp(&b.score));
        let is_due = |(at, _): &(MonotonicInstant, _)| now.since(*at) >= SNAPSHOT_INTERVAL;
        if self.snapshots.back().is_none_or(is_due) {
            self.snapshots.push_back((now, evidence.clone()));
            if self.snapshots.len() > SNAPSHOTS_MAX {
                self.snapshots.pop_front();
            }
        }
        match worst {
            Some(worst) if worst.is_bad() && !whole.is_bad() => worst.verdict(),
            Some(worst) if worst.is_suspect() && !whole.is_bad() => Verdict::Undecided,
            _ => whole.verdict(),
        }
    }
}
