//! What daemons tell each other of rollouts: the steps that the lease holder has stored, and what each
//! daemon has observed of the services that have one.

use crate::rollout::{Evidence, EvidenceMap, RolloutStep, Stage};
use crate::versioned_map::VersionedMap;
use serde::{Deserialize, Serialize};
use spindle_types::{Incarnation, Instance, MonotonicInstant, Service};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The maximum number of services whose steps and reports are kept of one daemon, to bound memory.
pub const SERVICES_MAX: usize = 64;

/// The maximum number of evidence entries that are kept of one daemon, to bound memory. Enough for
/// 20 routes and a dozen upstreams each.
pub const EVIDENCE_MAX: usize = 256;

/// The maximum difference between the rates of two daemons' clocks, as a divisor: one percent.
const CLOCK_DRIFT_DIVISOR: u64 = 100;

/// The window over which request rates are averaged. It covers several heartbeats of each daemon in
/// the largest deployments.
const RATE_WINDOW: Duration = Duration::from_secs(3);

/// The minimum time over which a rate is reported: the longest heartbeat interval.
const RATE_WINDOW_MIN: Duration = Duration::from_secs(1);

/// Whose responses an entry of the evidence counts: the service, the first sequence of the order, the
/// route, and the upstream of the target; none for the old version.
pub type EvidenceKey = (Service, u64, String, Option<Instance>);

/// What one daemon knows of the requests of a service with a rollout, beside the responses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The first sequence of the order.
    pub order: u64,
    /// The stage that the daemon follows.
    pub stage: Stage,
    /// The requests that it has sent to any version since its start, by route.
    pub sent: BTreeMap<String, u64>,
    /// Its requests in flight at other versions than the target, by route.
    pub old_in_flight: BTreeMap<String, u32>,
    /// Its requests in flight at the target.
    pub target_in_flight: u32,
    /// Whether it has found the target bad.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_convicted: bool,
}

/// The part of a daemon's status that concerns rollouts; empty in deployments without them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutStatus {
    /// Milliseconds, at the heartbeat, since the daemon last listed the operators' orders and stored
    /// the steps that follow from them; none unless it holds the lease. The heartbeat then confirms
    /// `steps`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listed: Option<u64>,
    /// The stored steps in force, by service.
    #[serde(skip_serializing_if = "VersionedMap::is_empty")]
    pub steps: VersionedMap<Service, RolloutStep>,
    /// The requests of services with a rollout.
    #[serde(skip_serializing_if = "VersionedMap::is_empty")]
    pub reports: VersionedMap<Service, RolloutReport>,
    /// The responses observed since each order.
    #[serde(skip_serializing_if = "VersionedMap::is_empty")]
    pub evidence: VersionedMap<EvidenceKey, Evidence>,
}

/// What the holder of the lease tells the other daemons of rollouts at once, before its status says it.
/// Carries no evidence, so that it stays small whatever the rollout has counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepNotice {
    /// The incarnation of the holder.
    pub holder: Incarnation,
    /// Milliseconds that the holder had been running when it made the notice.
    pub uptime: u64,
    /// Milliseconds, at that time, since it listed the orders that the steps follow from.
    pub listed: u64,
    /// Stored steps that change what daemons do.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<RolloutStep>,
    /// The services whose target is to get no more requests, with the first sequence of the order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stopped: Vec<(Service, u64)>,
}

impl RolloutStatus {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// What has changed after heartbeat `beat`.
    pub fn changed_since(&self, beat: u64) -> Self {
        Self {
            listed: self.listed,
            steps: self.steps.changed_since(beat),
            reports: self.reports.changed_since(beat),
            evidence: self.evidence.changed_since(beat),
        }
    }

    /// Applies the changes of a newer status. Evidence of earlier orders of a service is dropped.
    pub fn merge(&mut self, newer: &Self) {
        self.listed = newer.listed;
        self.steps.merge(&newer.steps, SERVICES_MAX);
        self.reports.merge(&newer.reports, SERVICES_MAX);
        if newer.evidence.is_empty() {
            return;
        }
        self.evidence.merge(&newer.evidence, EVIDENCE_MAX);
        let mut newest: BTreeMap<Service, u64> = BTreeMap::new();
        for ((service, order, ..), _) in newer.evidence.iter() {
            let known = newest.entry(service.clone()).or_default();
            *known = (*known).max(*order);
        }
        self.evidence.retain(|(service, order, ..)| {
            newest.get(service).is_none_or(|newest| newest <= order)
        });
    }

    /// Adds to `sum` the evidence on an order of a service.
    pub fn add_evidence(&self, service: &Service, order: u64, sum: &mut EvidenceMap) {
        let entries = self
            .evidence
            .iter()
            .filter(|((found, of_order, ..), _)| found == service && *of_order == order);
        let entries = entries.map(|((_, _, route, upstream), evidence)| {
            ((route.clone(), upstream.clone()), evidence.clone())
        });
        let own = EvidenceMap(entries.collect());
        if !own.0.is_empty() {
            sum.add(&own);
        }
    }
}

/// Estimates when another daemon made its heartbeats, by this daemon's clock. Messages arrive later
/// than they were made, by at least the network's delay and often much more, because daemons forward
/// them. The least delay seen is taken for none.
#[derive(Clone, Copy, Debug, Default)]
pub struct BeatClock {
    /// When the daemon started by this daemon's clock, in microseconds, at the latest; negative if it
    /// started before this instance.
    started_at: i64,
    /// When that was last updated.
    at: MonotonicInstant,
}

impl BeatClock {
    /// Starts from a heartbeat that was made no later than `at`, `uptime` after the start of its
    /// daemon.
    pub fn new(at: MonotonicInstant, uptime: Duration) -> Self {
        Self { started_at: start(at, uptime), at }
    }

    /// Records another heartbeat of the same daemon. Clocks may run at different rates, so an
    /// earlier estimate becomes less certain with time.
    pub fn on_beat(&mut self, at: MonotonicInstant, uptime: Duration) {
        let drift = at.since(self.at).as_micros() / u128::from(CLOCK_DRIFT_DIVISOR);
        let known = self.started_at.saturating_add(i64::try_from(drift).unwrap_or(i64::MAX));
        self.started_at = known.min(start(at, uptime));
        self.at = self.at.max(at);
    }

    /// When the heartbeat was made whose status states `uptime`.
    pub fn made_at(&self, uptime: Duration) -> MonotonicInstant {
        let micros = self.started_at.saturating_add(micros(uptime));
        MonotonicInstant::from_micros(u64::try_from(micros).unwrap_or_default())
    }
}

/// The rates of the requests for one service, summed over all daemons.
#[derive(Debug, Default)]
pub struct RouteRates {
    /// Requests that each daemon has sent since its start, by route.
    seen: BTreeMap<Incarnation, BTreeMap<String, u64>>,
    totals: BTreeMap<String, u64>,
    /// The totals at each update within the window.
    samples: VecDeque<(MonotonicInstant, BTreeMap<String, u64>)>,
}

impl RouteRates {
    /// Records how many requests each daemon has sent since its start, by route.
    pub fn on_sent<'a>(
        &mut self,
        now: MonotonicInstant,
        sent: impl Iterator<Item = (Incarnation, &'a BTreeMap<String, u64>)>,
    ) {
        for (daemon, routes) in sent {
            // Requests from before a daemon became known can't be assigned to a time.
            let is_known = self.seen.contains_key(&daemon);
            let known = self.seen.entry(daemon).or_default();
            for (route, count) in routes {
                let first = if is_known { 0 } else { *count };
                let before = known.insert(route.clone(), *count).unwrap_or(first);
                let total = self.totals.entry(route.clone()).or_default();
                *total += count.saturating_sub(before);
            }
        }
        self.samples.push_back((now, self.totals.clone()));
        while self.samples.get(1).is_some_and(|(at, _)| now.since(*at) >= RATE_WINDOW) {
            self.samples.pop_front();
        }
    }

    /// Requests per second by route; empty until they have been counted for a second.
    pub fn rates(&self) -> BTreeMap<String, f64> {
        let (Some((first, before)), Some((last, totals))) =
            (self.samples.front(), self.samples.back())
        else {
            return BTreeMap::new();
        };
        let span = last.since(*first);
        if span < RATE_WINDOW_MIN {
            return BTreeMap::new();
        }
        let rate = |(route, total): (&String, &u64)| {
            let count = total - before.get(route).copied().unwrap_or_default();
            (route.clone(), count as f64 / span.as_secs_f64())
        };
        totals.iter().map(rate).collect()
    }
}

fn start(at: MonotonicInstant, uptime: Duration) -> i64 {
    i64::try_from(at.micros()).unwrap_or(i64::MAX).saturating_sub(micros(uptime))
}

fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
