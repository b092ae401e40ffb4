//! Which engines a request may be sent to whose rank limits their load.
//!
//! A daemon among many has few requests at each engine, and statuses of the others that are one to two
//! seconds old. If each daemon took the engine that looks best in them, all requests of that time would
//! go to one engine and fill its queue. Statuses and reports therefore tell which engines are too
//! busy, and one of the others is drawn.

use super::{Candidate, Criteria, LOAD_LIMIT_MAX};
use std::time::Duration;

/// How long the load that an engine has reported counts for the load of its service. A daemon that
/// sends six requests per second has the reports of two engines by then, and the load of a service
/// changes less within this time than that of one engine.
const SERVICE_LOAD_MAX_AGE: Duration = Duration::from_millis(500);

/// The number of engines whose reports tell the load of the service. With one, an engine that reports
/// a false load could have the requests of lower ranks refused.
const REPORTS_MIN: usize = 2;

/// The load of a service from which it counts for engines that have reported nothing lately, in
/// requests per slot. With engines drawn at random, some are above 1.0 while others have free slots: with
/// 1.25 in place of 1.5, 74 daemons refuse 0.13 in place of 0.05 of the last rank at exactly the capacity.
const SERVICE_LOAD_MIN: f64 = 1.5;

/// The requests of other daemons for each own one from which an engine is always drawn. Where fewer
/// daemons share a light load, the engine that looks best has the prefixes of streams cached more often.
const PEER_REQUESTS_MIN: u64 = 15;

/// The load of a service from which an engine is drawn whatever the number of daemons, in requests per
/// slot. The engines that look best are then soon full.
const BUSY_LOAD: f64 = 0.75;

/// The loads of the engines of a service, as they are compared with the limit of a rank.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedLoads {
    /// The load that engines without a fresh report have at least.
    service: f64,
}

impl RankedLoads {
    /// The loads for one request. For the most urgent rank, an engine is full only if it is known to be.
    pub(super) fn new(usable: &[&Candidate], criteria: &Criteria<'_>) -> Self {
        let service = if criteria.has_ranks && criteria.load_limit < LOAD_LIMIT_MAX {
            service_load(usable)
        } else {
            0.0
        };
        Self { service: if service >= SERVICE_LOAD_MIN { service } else { 0.0 } }
    }

    /// The load of one engine, in requests per slot.
    pub(super) fn of(&self, candidate: &Candidate, criteria: &Criteria<'_>) -> f64 {
        let load = candidate.load();
        match criteria.has_ranks {
            true if candidate.is_full => load.max(LOAD_LIMIT_MAX),
            true if !candidate.report.is_some_and(|report| report.is_fresh()) => {
                load.max(self.service)
            }
            _ => load,
        }
    }
}

/// The load of a service by the lower median of what engines reported lately, so that a single false report
/// doesn't matter; by the median of the counted requests if too few engines have reported.
fn service_load(usable: &[&Candidate]) -> f64 {
    let reported: Vec<f64> =
        usable.iter().filter_map(|candidate| reported_load(candidate)).collect();
    if reported.len() >= REPORTS_MIN {
        return lower_median(reported);
    }
    lower_median(usable.iter().map(|candidate| candidate.load()).collect())
}

fn reported_load(candidate: &Candidate) -> Option<f64> {
    if candidate.is_full {
        return Some(LOAD_LIMIT_MAX);
    }
    let report = candidate.report.filter(|report| report.age <= SERVICE_LOAD_MAX_AGE)?;
    let load = f64::from(report.requests) / f64::from(candidate.slots.max(1));
    Some(load.min(LOAD_LIMIT_MAX))
}

fn lower_median(mut loads: Vec<f64>) -> f64 {
    loads.sort_by(f64::total_cmp);
    loads.get(loads.len().saturating_sub(1) / 2).copied().unwrap_or_default()
}

/// Whether an engine is drawn, as most of the known requests are those of other daemons. A daemon that
/// sends most of them itself, as a single one does, knows the loads well enough to choose the best engine.
pub(super) fn is_drawn(usable: &[&Candidate]) -> bool {
    let sum = |requests: fn(&Candidate) -> u32| -> u64 {
        usable.iter().map(|candidate| u64::from(requests(candidate))).sum()
    };
    let own = sum(|candidate| candidate.own_requests);
    let others = sum(|candidate| candidate.peer_requests);
    others > PEER_REQUESTS_MIN * own || (others > own && service_load(usable) >= BUSY_LOAD)
}

/// The engines that are compared: one that is drawn, and those that have the prefix of the request in
/// their caches.
pub(super) fn compared<'a>(
    below: &[&'a Candidate],
    draw: f64,
    is_cached: impl Fn(&Candidate) -> bool,
) -> Vec<&'a Candidate> {
    let last = below.len().saturating_sub(1);
    let drawn = below.get(((draw * below.len() as f64) as usize).min(last)).copied();
    drawn.into_iter().chain(below.iter().copied().filter(|found| is_cached(found))).collect()
}

#[cfg(test)]
mod tests;
