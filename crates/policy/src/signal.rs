//! Signals that the confirmed plan no longer fits: reclaims, refused starts, prices and load.
//!
//! Each signal must stay above its threshold for a while before it is raised, and must fall below
//! a lower one before it can be raised again; so noise proposes nothing, and a lasting change
//! proposes once.

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

/// How long a signal must last before it is raised.
const HOLD: Duration = Duration::from_secs(60);

/// The time over which reclaims are counted as one wave.
const WAVE_WINDOW: Duration = Duration::from_secs(300);

/// The fewest reclaims of a wave.
const WAVE_MIN: usize = 3;

/// The share of the plan's instances that makes a wave.
const WAVE_SHARE: f64 = 0.2;

/// The relative change of prices that raises a signal, and the one below which it is cleared.
const PRICE_RAISE: f64 = 0.10;
const PRICE_CLEAR: f64 = 0.05;

/// The relative growth of the load that raises a signal, and the one below which it is cleared.
const LOAD_RAISE: f64 = 0.10;
const LOAD_CLEAR: f64 = 0.0;

/// The shortfall of the attainment that raises a signal, and the one below which it is cleared.
const ATTAINMENT_RAISE: f64 = 0.01;
const ATTAINMENT_CLEAR: f64 = 0.0;

/// The fewest requests from which an attainment is judged.
const ATTAINMENT_EVENTS_MIN: u64 = 100;

/// The factor by which a model that misses its target is planned larger.
const ATTAINMENT_GROWTH: f64 = 1.2;

/// The instance hours that the first reclaim rate counts for.
const PRIOR_HOURS: f64 = 20.0;

/// What has changed.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum SignalKind {
    /// Many instances were reclaimed at once.
    ReclaimWave,
    /// The cloud refuses starts, or the envelope leaves no room for them.
    RefusedStarts,
    /// The plan costs more or less than was confirmed.
    Prices,
    /// A pool carries more than the plan was made for.
    LoadGrowth,
    /// A model misses its latency target more often than promised.
    Attainment,
}

/// A signal with its measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Signal {
    /// What has changed.
    pub kind: SignalKind,
    /// By how much.
    pub detail: String,
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

/// What one look at the deployment shows.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// The plan in force.
    pub plan: &'a ConfirmedPlan,
    /// What runs.
    pub running: &'a [RunningInstance],
    /// Present prices.
    pub offers: &'a [PricedOffer],
    /// Pools whose missing instances can't be bought.
    pub short: &'a BTreeSet<Pool>,
    /// What the teams' requests came to lately.
    pub cells: &'a [TeamModelCounts],
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Level {
    Above,
    Between,
    Below,
}

#[derive(Clone, Debug, Default)]
struct Latch {
    above_since: Option<MonotonicInstant>,
    raised: bool,
}

impl Latch {
    /// Whether the signal is raised now, and was not before.
    fn rises(&mut self, now: MonotonicInstant, level: Level, hold: Duration) -> bool {
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

/// Watches a deployment for signals.
#[derive(Clone, Debug, Default)]
pub struct SignalDetector {
    latches: BTreeMap<SignalKind, Latch>,
    plan: Option<String>,
    seen: BTreeMap<Instance, InstanceKind>,
    gone: BTreeSet<Instance>,
    reclaims: VecDeque<MonotonicInstant>,
    counts: BTreeMap<DataCentre, f64>,
    hours: BTreeMap<DataCentre, f64>,
    looked: Option<MonotonicInstant>,
}

impl SignalDetector {
    /// Looks at the deployment; the signals that are newly raised are returned.
    pub fn on_observation(&mut self, now: MonotonicInstant, look: &Observation<'_>) -> Vec<Signal> {
        if self.plan.as_ref() != Some(&look.plan.digest) {
            self.plan = Some(look.plan.digest.clone());
            self.latches.clear();
            self.reclaims.clear();
        }
        self.count_reclaims(now, look.running);
        let levels = [
            (SignalKind::ReclaimWave, self.wave(look), Duration::ZERO),
            (SignalKind::RefusedStarts, refusals(look), HOLD),
            (SignalKind::Prices, prices(look), HOLD),
            (SignalKind::LoadGrowth, growth(look), HOLD),
            (SignalKind::Attainment, attainment(look), HOLD),
        ];
        let mut signals = Vec::new();
        for (kind, (level, detail), hold) in levels {
            if self.latches.entry(kind).or_default().rises(now, level, hold) {
                signals.push(Signal { kind, detail });
            }
        }
        signals
    }

    /// Records that an instance is stopped by the system itself.
    pub fn on_stop(&mut self, instance: &Instance) {
        self.seen.remove(instance);
    }

    /// Reclaims of an instance an hour, as seen.
    pub fn reclaim_rates(&self) -> ReclaimRates {
        let rate = |(data_centre, hours): (&DataCentre, &f64)| {
            let count = self.counts.get(data_centre).copied().unwrap_or(0.0);
            let prior = ReclaimRates::default().rate(data_centre);
            let rate = (prior * PRIOR_HOURS + count) / (PRIOR_HOURS + hours);
            (data_centre.clone(), rate)
        };
        ReclaimRates(self.hours.iter().map(rate).collect())
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
            if self.gone.insert(instance) {
                self.reclaims.push_back(now);
                *self.counts.entry(data_centre).or_default() += 1.0;
            }
        }
        let hours = self.looked.map_or(0.0, |then| now.since(then).as_secs_f64() / 3_600.0);
        for kind in present.values() {
            *self.hours.entry(kind.data_centre.clone()).or_default() += hours;
        }
        self.looked = Some(now);
        self.gone.retain(|instance| present.contains_key(instance));
        self.seen = present;
        while self.reclaims.front().is_some_and(|at| now.since(*at) > WAVE_WINDOW) {
            self.reclaims.pop_front();
        }
    }

    fn wave(&self, look: &Observation<'_>) -> (Level, String) {
        let planned: u32 = look.plan.placements.iter().map(|p| p.count).sum();
        let least = (f64::from(planned) * WAVE_SHARE).ceil() as usize;
        let count = self.reclaims.len();
        let level = match count {
            0 => Level::Below,
            count if count >= least.max(WAVE_MIN) => Level::Above,
            _ => Level::Between,
        };
        (level, format!("{count} instances reclaimed, {planned} planned"))
    }
}

fn refusals(look: &Observation<'_>) -> (Level, String) {
    let names: Vec<_> = look.short.iter().map(ToString::to_string).collect();
    let level = if names.is_empty() { Level::Below } else { Level::Above };
    (level, format!("no start possible for {}", names.join(", ")))
}

fn prices(look: &Observation<'_>) -> (Level, String) {
    let kinds: Vec<_> = look
        .plan
        .placements
        .iter()
        .flat_map(|placement| {
            let count = usize::try_from(placement.count).unwrap_or(0);
            std::iter::repeat_n(InstanceKind::from(placement), count)
        })
        .collect();
    let Some(cost) = hourly_spend(&kinds, look.offers) else {
        return (Level::Above, "a planned machine class is no longer sold".to_owned());
    };
    let confirmed = look.plan.hourly_cost;
    let change = cost.units() / confirmed.units().max(1e-6) - 1.0;
    let level = level(change.abs(), PRICE_RAISE, PRICE_CLEAR);
    (level, format!("the plan costs {cost} an hour, confirmed were {confirmed}"))
}

fn growth(look: &Observation<'_>) -> (Level, String) {
    let worst = growths(look).into_iter().max_by(|(_, a), (_, b)| a.total_cmp(b));
    let Some((pool, factor)) = worst else {
        return (Level::Below, String::new());
    };
    let level = level(factor - 1.0, LOAD_RAISE, LOAD_CLEAR);
    (level, format!("{pool} carries {:.0}% of the load planned", factor * 100.0))
}

/// The load of each pool that tells it, as a multiple of the load planned.
fn growths(look: &Observation<'_>) -> BTreeMap<Pool, f64> {
    let planned: BTreeMap<Pool, Load> =
        look.plan.intent.as_ref().map(pool_loads).unwrap_or_default();
    let mut busy: BTreeMap<&Pool, f64> = BTreeMap::new();
    for instance in look.running {
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

fn attainment(look: &Observation<'_>) -> (Level, String) {
    let worst = attainments(look).into_iter().min_by(|(_, a), (_, b)| a.total_cmp(b));
    let Some((model, share)) = worst else {
        return (Level::Below, String::new());
    };
    let level = level(OBJECTIVE - share, ATTAINMENT_RAISE, ATTAINMENT_CLEAR);
    (level, format!("{model} meets its target for {:.1}%", share * 100.0))
}

/// The worse of the two attainments of each model, where enough was counted.
fn attainments(look: &Observation<'_>) -> BTreeMap<Model, f64> {
    let mut totals: BTreeMap<Model, Counts> = BTreeMap::new();
    for cell in look.cells {
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

/// The intent in force, with the demand of pools that have outgrown it raised to what they carry,
/// and that of models that miss their targets raised by a step.
pub fn grown_intent(look: &Observation<'_>) -> Option<Intent> {
    let mut intent = look.plan.intent.clone()?;
    let missing = attainments(look);
    for model in intent.models.values_mut() {
        let share = model.spec.model.as_ref().and_then(|name| missing.get(name));
        if share.is_some_and(|share| OBJECTIVE - share >= ATTAINMENT_RAISE) {
            model.demand.requests *= ATTAINMENT_GROWTH;
        }
    }
    for (pool, factor) in growths(look) {
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
