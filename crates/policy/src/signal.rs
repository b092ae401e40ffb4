//! Detects that the confirmed plan no longer fits, from reclaims, refused starts, prices, load and
//! missed latency targets.
//!
//! Each signal except a wave of reclaims must stay above its threshold for `HOLD_TIME` before it is
//! raised. It must fall below a lower threshold before it can be raised again. Thus noise proposes
//! no plan, and a lasting change proposes one plan.

use crate::burn::{Counts, OBJECTIVE, TeamModelCounts};
use crate::capacity::Load;
use crate::plan::{ReclaimRates, pool_loads};
use crate::reconcile::{InstanceKind, RunningInstance, hourly_spend};
use spindle_types::config::{ConfirmedPlan, Market};
use spindle_types::{DataCentre, Instance, Intent, Model, MonotonicInstant, Pool, PricedOffer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// How long a signal must stay above its threshold before it is raised.
const HOLD_TIME: Duration = Duration::from_secs(60);

/// The sliding window in which reclaims count as one wave.
const WAVE_WINDOW: Duration = Duration::from_secs(300);

/// The smallest number of reclaims that counts as a wave.
const WAVE_MIN: usize = 3;

/// The fraction of the plan's instances whose reclaim counts as a wave.
const WAVE_SHARE: f64 = 0.2;

/// The relative change of the plan's cost that raises a signal, and the change below which the
/// signal is cleared.
const PRICE_RAISE: f64 = 0.10;
const PRICE_CLEAR: f64 = 0.05;

/// The relative growth of a pool's load that raises a signal, and the growth below which the signal
/// is cleared.
const LOAD_RAISE: f64 = 0.10;
const LOAD_CLEAR: f64 = 0.0;

/// The shortfall of the attainment below the objective that raises a signal, and the shortfall
/// below which the signal is cleared.
const ATTAINMENT_RAISE: f64 = 0.01;
const ATTAINMENT_CLEAR: f64 = 0.0;

/// The smallest number of first tokens from which an attainment is computed.
const ATTAINMENT_EVENTS_MIN: u64 = 100;

/// The factor by which the planned demand of a model that misses its objective is raised.
const ATTAINMENT_GROWTH_FACTOR: f64 = 1.2;

/// The weight of the default reclaim rate against observations, in instance hours.
const PRIOR_HOURS: f64 = 20.0;

/// The kind of change that a signal reports.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum SignalKind {
    /// Many instances were reclaimed within a short time.
    ReclaimWave,
    /// Instances can't be started: the cloud refuses, or the plan's envelope does not permit it.
    RefusedStarts,
    /// The plan costs more or less at current prices than when it was confirmed.
    Prices,
    /// The load of a pool exceeds the load that the plan was made for.
    LoadGrowth,
    /// A model misses its latency target more often than the objective permits.
    Attainment,
}

/// A signal that a new plan may be needed.
#[derive(Clone, Debug, PartialEq)]
pub struct Signal {
    /// The kind of change.
    pub kind: SignalKind,
    /// A description of the change with its measured extent.
    pub detail: String,
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

/// A snapshot of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// The plan in force.
    pub plan: &'a ConfirmedPlan,
    /// The running instances.
    pub running: &'a [RunningInstance],
    /// The current prices.
    pub offers: &'a [PricedOffer],
    /// Pools that lack instances which can't be bought.
    pub short_pools: &'a BTreeSet<Pool>,
    /// The recent request counts by team and model.
    pub cells: &'a [TeamModelCounts],
}

/// A measured value relative to the thresholds that raise and clear a signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Level {
    Above,
    Between,
    Below,
}

/// The hysteresis of one signal.
#[derive(Clone, Debug, Default)]
struct Latch {
    above_since: Option<MonotonicInstant>,
    raised: bool,
}

impl Latch {
    /// Applies a level. Returns true if the signal is newly raised.
    fn update(&mut self, now: MonotonicInstant, level: Level, hold: Duration) -> bool {
        match level {
            Level::Below => *self = Self::default(),
            Level::Between => self.above_since = None,
            Level::Above => {
                let since = *self.above_since.get_or_insert(now);
                if !self.raised && now.since(since) >= hold {
                    self.raised = true;
                    return true;
                }
            }
        }
        false
    }
}

/// Detects signals from successive observations of a deployment.
#[derive(Clone, Debug, Default)]
pub struct SignalDetector {
    latches: BTreeMap<SignalKind, Latch>,
    /// The digest of the plan in force.
    plan: Option<String>,
    /// The reclaimable instances of the previous observation.
    seen: BTreeMap<Instance, InstanceKind>,
    /// Instances that are already counted as reclaimed but still listed.
    reclaimed: BTreeSet<Instance>,
    reclaims: VecDeque<MonotonicInstant>,
    reclaim_counts: BTreeMap<DataCentre, f64>,
    instance_hours: BTreeMap<DataCentre, f64>,
    last_observed: Option<MonotonicInstant>,
}

impl SignalDetector {
    /// Processes an observation and returns the signals that are newly raised.
    pub fn on_observation(
        &mut self,
        now: MonotonicInstant,
        observation: &Observation<'_>,
    ) -> Vec<Signal> {
        if self.plan.as_ref() != Some(&observation.plan.digest) {
            self.plan = Some(observation.plan.digest.clone());
            self.latches.clear();
            self.reclaims.clear();
        }
        self.count_reclaims(now, observation.running);
        let levels = [
            (SignalKind::ReclaimWave, self.reclaim_wave(observation), Duration::ZERO),
            (SignalKind::RefusedStarts, refused_starts(observation), HOLD_TIME),
            (SignalKind::Prices, price_change(observation), HOLD_TIME),
            (SignalKind::LoadGrowth, load_growth(observation), HOLD_TIME),
            (SignalKind::Attainment, attainment(observation), HOLD_TIME),
        ];
        let mut signals = Vec::new();
        for (kind, (level, detail), hold) in levels {
            if self.latches.entry(kind).or_default().update(now, level, hold) {
                signals.push(Signal { kind, detail });
            }
        }
        signals
    }

    /// Records that this system stops an instance, so that it does not count as reclaimed.
    pub fn on_stop(&mut self, instance: &Instance) {
        self.seen.remove(instance);
    }

    /// The observed reclaims per instance hour in each data centre, smoothed with the default rate.
    pub fn reclaim_rates(&self) -> ReclaimRates {
        let rate = |(data_centre, hours): (&DataCentre, &f64)| {
            let count = self.reclaim_counts.get(data_centre).copied().unwrap_or(0.0);
            let prior = ReclaimRates::default().rate(data_centre);
            let rate = (prior * PRIOR_HOURS + count) / (PRIOR_HOURS + hours);
            (data_centre.clone(), rate)
        };
        ReclaimRates(self.instance_hours.iter().map(rate).collect())
    }

    fn count_reclaims(&mut self, now: MonotonicInstant, running: &[RunningInstance]) {
        let reclaimable = running.iter().filter(|r| r.kind.market == Market::Reclaimable);
        let present: BTreeMap<_, _> =
            reclaimable.map(|r| (r.instance.clone(), r.kind.clone())).collect();
        let leaving = running.iter().filter(|r| r.leaving).map(|r| &r.instance);
        let missing = self.seen.keys().filter(|instance| !present.contains_key(*instance));
        let lost: BTreeSet<_> = leaving.chain(missing).cloned().collect();
        for instance in lost {
            let Some(kind) = self.seen.get(&instance).or_else(|| present.get(&instance)) else {
                continue;
            };
            let data_centre = kind.data_centre.clone();
            if self.reclaimed.insert(instance) {
                self.reclaims.push_back(now);
                *self.reclaim_counts.entry(data_centre).or_default() += 1.0;
            }
        }
        let hours = self.last_observed.map_or(0.0, |then| now.since(then).as_secs_f64() / 3_600.0);
        for kind in present.values() {
            *self.instance_hours.entry(kind.data_centre.clone()).or_default() += hours;
        }
        self.last_observed = Some(now);
        self.reclaimed.retain(|instance| present.contains_key(instance));
        self.seen = present;
        while self.reclaims.front().is_some_and(|at| now.since(*at) > WAVE_WINDOW) {
            self.reclaims.pop_front();
        }
    }

    fn reclaim_wave(&self, observation: &Observation<'_>) -> (Level, String) {
        let planned: u32 = observation.plan.placements.iter().map(|p| p.count).sum();
        let threshold = (f64::from(planned) * WAVE_SHARE).ceil() as usize;
        let count = self.reclaims.len();
        let level = match count {
            0 => Level::Below,
            count if count >= threshold.max(WAVE_MIN) => Level::Above,
            _ => Level::Between,
        };
        (level, format!("{count} instances reclaimed, {planned} planned"))
    }
}

fn refused_starts(observation: &Observation<'_>) -> (Level, String) {
    let names: Vec<_> = observation.short_pools.iter().map(ToString::to_string).collect();
    let level = if names.is_empty() { Level::Below } else { Level::Above };
    (level, format!("no start possible for {}", names.join(", ")))
}

fn price_change(observation: &Observation<'_>) -> (Level, String) {
    let kinds: Vec<_> = observation
        .plan
        .placements
        .iter()
        .flat_map(|placement| {
            let count = usize::try_from(placement.count).unwrap_or(0);
            std::iter::repeat_n(InstanceKind::from(placement), count)
        })
        .collect();
    let Some(cost) = hourly_spend(&kinds, observation.offers) else {
        return (Level::Above, "a planned machine class is no longer sold".to_owned());
    };
    let confirmed = observation.plan.hourly_cost;
    let change = cost.units() / confirmed.units().max(1e-6) - 1.0;
    let level = level(change.abs(), PRICE_RAISE, PRICE_CLEAR);
    (level, format!("the plan costs {cost} per hour, {confirmed} was confirmed"))
}

fn load_growth(observation: &Observation<'_>) -> (Level, String) {
    let worst = load_factors(observation).into_iter().max_by(|(_, a), (_, b)| a.total_cmp(b));
    let Some((pool, factor)) = worst else {
        return (Level::Below, String::new());
    };
    let level = level(factor - 1.0, LOAD_RAISE, LOAD_CLEAR);
    (level, format!("{pool} carries {:.0}% of the load planned", factor * 100.0))
}

/// The load of each pool that reports it, as a multiple of the planned load.
fn load_factors(observation: &Observation<'_>) -> BTreeMap<Pool, f64> {
    let planned: BTreeMap<Pool, Load> =
        observation.plan.intent.as_ref().map(pool_loads).unwrap_or_default();
    let mut busy: BTreeMap<&Pool, f64> = BTreeMap::new();
    for instance in observation.running {
        if let Some(requests) = instance.busy {
            *busy.entry(&instance.kind.pool).or_default() += f64::from(requests);
        }
    }
    let factor = |(pool, load): (Pool, Load)| {
        let busy = *busy.get(&pool)?;
        Some((pool, busy / load.concurrency.max(1.0)))
    };
    planned.into_iter().filter_map(factor).collect()
}

fn attainment(observation: &Observation<'_>) -> (Level, String) {
    let worst = attainments(observation).into_iter().min_by(|(_, a), (_, b)| a.total_cmp(b));
    let Some((model, share)) = worst else {
        return (Level::Below, String::new());
    };
    let level = level(OBJECTIVE - share, ATTAINMENT_RAISE, ATTAINMENT_CLEAR);
    (level, format!("{model} meets its target for {:.1}%", share * 100.0))
}

/// The lower of the two attainments of each model, for models with enough events.
fn attainments(observation: &Observation<'_>) -> BTreeMap<Model, f64> {
    let mut totals: BTreeMap<Model, Counts> = BTreeMap::new();
    for cell in observation.cells {
        *totals.entry(cell.model.clone()).or_default() += cell.counts;
    }
    let counted = totals.into_iter().filter(|(_, c)| c.first_token.total >= ATTAINMENT_EVENTS_MIN);
    counted
        .map(|(model, counts)| {
            let (first, interval) = (counts.first_token, counts.token_interval);
            (model, first.attainment().min(interval.attainment()))
        })
        .collect()
}

/// The intent of the plan in force with its demand raised: to the current load for pools that
/// exceed the planned load, and by a fixed factor for models that miss their objective.
pub fn grown_intent(observation: &Observation<'_>) -> Option<Intent> {
    let mut intent = observation.plan.intent.clone()?;
    let model_attainments = attainments(observation);
    for model in intent.models.values_mut() {
        let share = model.spec.model.as_ref().and_then(|name| model_attainments.get(name));
        if share.is_some_and(|share| OBJECTIVE - share >= ATTAINMENT_RAISE) {
            model.demand.requests *= ATTAINMENT_GROWTH_FACTOR;
        }
    }
    for (pool, factor) in load_factors(observation) {
        if let Some(model) = intent.models.get_mut(&pool)
            && factor > 1.0 + LOAD_RAISE
        {
            model.demand.requests *= factor;
        }
    }
    Some(intent)
}

fn level(value: f64, raise: f64, clear: f64) -> Level {
    if value >= raise {
        Level::Above
    } else if value < clear {
        Level::Below
    } else {
        Level::Between
    }
}

#[cfg(test)]
mod tests;
