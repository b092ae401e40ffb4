//! Plans: what an intent costs, what it attains, and what one lost data centre does to it.

use crate::capacity::{Load, engine_rate, nearest_target};
use crate::solve::{PlacementProgram, PurchaseOption, SolveError};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use spindle_types::config::{ConfirmedPlan, Envelope, LatencyTarget, Market, Placement};
use spindle_types::{
    DataCentre, Intent, MachineClass, Money, Operator, Pool, PricedOffer, Revision, Share,
    UtcInstant,
};
use std::collections::BTreeMap;
use thiserror::Error;

/// Hours for which a reclaimed instance is replaced by an on-demand one.
const REPLACEMENT_HOURS: f64 = 0.5;

/// Reclaims of an instance an hour, before any were seen.
const DEFAULT_RECLAIM_RATE: f64 = 0.05;

/// The standard normal quantile of 95 in 100.
const QUANTILE_95: f64 = 1.645;

/// The least share of the demand that counts as some.
const SCALE_MIN: f64 = 0.01;

/// Reclaims of an instance an hour, by data centre, as seen.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReclaimRates(pub BTreeMap<DataCentre, f64>);

impl ReclaimRates {
    /// The rate in a data centre.
    pub fn rate(&self, data_centre: &DataCentre) -> f64 {
        self.0.get(data_centre).copied().unwrap_or(DEFAULT_RECLAIM_RATE)
    }
}

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// What is wanted.
    pub intent: &'a Intent,
    /// What can be bought.
    pub offers: &'a [PricedOffer],
    /// The reclaims seen.
    pub reclaims: &'a ReclaimRates,
    /// The revision in force.
    pub base: Revision,
    /// The plan in force.
    pub in_force: Option<&'a ConfirmedPlan>,
}

/// What a plan costs an hour.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HourlyCost {
    /// With nothing reclaimed.
    pub quiet: Money,
    /// With reclaims at the rates seen, replaced by on-demand instances for a while.
    pub expected: Money,
    /// With more reclaims than in 95 of 100 hours, or the costliest data centre reclaimed.
    pub high: Money,
}

/// A placement with the price that it was planned with.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PricedPlacement {
    /// What is to run.
    #[serde(flatten)]
    pub placement: Placement,
    /// The price of one instance an hour.
    pub hourly_price: Money,
}

/// What a plan does for one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolForecast {
    /// The pool.
    pub pool: Pool,
    /// Requests a second that it must carry.
    pub need: f64,
    /// Requests a second that it carries.
    pub capacity: f64,
    /// The share of moments of the peak at which the latency target is met.
    pub attainment: Share,
    /// The data centre whose loss hurts most.
    pub worst_loss: DataCentre,
    /// Requests a second that are carried after that loss.
    pub capacity_left: f64,
    /// The share of moments of the peak at which the target is met after that loss.
    pub attainment_left: Share,
}

/// A placement whose number changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlacementChange {
    /// What is to run.
    #[serde(flatten)]
    pub placement: Placement,
    /// How many are in force now.
    pub before: u32,
}

/// A plan as it is shown and confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// When it was made.
    pub made_at: UtcInstant,
    /// The revision for which it was made.
    pub base: Revision,
    /// The digest of the plan that it replaces, if one was in force.
    pub replaces: Option<String>,
    /// What it meets.
    pub intent: Intent,
    /// What is to run.
    pub placements: Vec<PricedPlacement>,
    /// What it costs.
    pub cost: HourlyCost,
    /// What it does for each pool.
    pub pools: Vec<PoolForecast>,
    /// What the system may do without asking again.
    pub envelope: Envelope,
    /// What changes.
    pub differences: Vec<PlacementChange>,
}

impl Plan {
    /// The SHA-256 of the exact plan, in hexadecimal.
    pub fn digest(&self) -> String {
        // A plan holds no map whose keys are not text, so it can always be encoded.
        let content = serde_json::to_vec(self).unwrap_or_default();
        Sha256::digest(content).iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// The plan as an operator confirms it.
    pub fn confirmed_by(&self, operator: Operator) -> ConfirmedPlan {
        ConfirmedPlan {
            digest: self.digest(),
            operator,
            placements: self.placements.iter().map(|priced| priced.placement.clone()).collect(),
            envelope: self.envelope.clone(),
            hourly_cost: self.cost.expected,
            intent: Some(self.intent.clone()),
        }
    }

    /// The placements whose price is no longer the one shown.
    pub fn price_changes(&self, offers: &[PricedOffer]) -> Vec<PriceChange> {
        let now = |placement: &Placement| {
            let offer = offers.iter().find(|offer| is_for(offer, placement));
            offer.map(|offer| offer.hourly_price)
        };
        let changed = self.placements.iter().filter_map(|priced| {
            let price = now(&priced.placement);
            let placement = priced.placement.clone();
            let shown = priced.hourly_price;
            (price != Some(shown)).then_some(PriceChange { placement, shown, now: price })
        });
        changed.collect()
    }
}

/// A price that has changed since a plan was made.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PriceChange {
    /// What was to run.
    pub placement: Placement,
    /// The price shown.
    pub shown: Money,
    /// The present price; none if it is no longer sold.
    pub now: Option<Money>,
}

/// Why an intent can't be met, with the nearest that can.
#[derive(Clone, Debug, Error, PartialEq, Serialize, Deserialize)]
#[serde(tag = "binding", rename_all = "snake_case")]
pub enum BindingConstraint {
    /// No machine class meets the latency target, even with a single request.
    #[error(
        "latency target of {pool}: no machine class meets it; nearest is first_token {}, \
         token_interval {} on {class}", nearest.first_token, nearest.token_interval
    )]
    LatencyTarget {
        /// The pool.
        pool: Pool,
        /// The machine class that comes nearest.
        class: MachineClass,
        /// The nearest target that it meets.
        nearest: LatencyTarget,
    },
    /// The budget is too small.
    #[error("hourly_budget: {budget} is too little; the least that meets the targets is {least}")]
    Budget {
        /// The budget asked for.
        budget: Money,
        /// The least budget that is enough.
        least: Money,
    },
    /// The offers hold too few on-demand instances for the share asked for.
    #[error("reclaimable_max: too few on-demand instances are offered; without it, it can be met")]
    ReclaimableShare,
    /// Nothing is left when some data centre is lost.
    #[error("data_centres: instances are offered in {offered} of them, and one may be lost")]
    DataCentres {
        /// Data centres with an offer.
        offered: usize,
    },
    /// Too few instances are offered.
    #[error("offers: too few instances; {} of the demand can be carried", percent(scale))]
    Offers {
        /// The largest multiple of the demand that can be carried.
        scale: f64,
    },
}

fn percent(share: &f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// Why there is no plan.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlanError {
    /// The intent can't be met.
    #[error("{0}")]
    Infeasible(BindingConstraint),
    /// The solver failed.
    #[error("{0}")]
    Solver(String),
}

impl From<SolveError> for PlanError {
    fn from(error: SolveError) -> Self {
        Self::Solver(error.to_string())
    }
}

/// Makes the cheapest plan that meets an intent.
///
/// # Errors
///
/// The intent can't be met; the binding constraint is named.
pub fn cheapest_plan(now: UtcInstant, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
    let program = placement_program(input.intent, input.offers).map_err(PlanError::Infeasible)?;
    match program.cheapest() {
        Ok(counts) => Ok(describe(now, input, &program, &counts)),
        Err(SolveError::Infeasible) => Err(PlanError::Infeasible(diagnose(&program)?)),
        Err(error) => Err(error.into()),
    }
}

/// The program of an intent.
///
/// # Errors
///
/// No machine class meets the latency target of some pool.
pub fn placement_program(
    intent: &Intent,
    offers: &[PricedOffer],
) -> Result<PlacementProgram, BindingConstraint> {
    let mut program = PlacementProgram {
        budget: Some(intent.hourly_budget),
        reclaimable_max: intent.reclaimable_max.get(),
        ..PlacementProgram::default()
    };
    for (pool, load) in pool_loads(intent) {
        let rates = instance_rates(intent, &pool);
        if rates.is_empty() {
            return Err(latency_binding(intent, pool));
        }
        program.needs.insert(pool.clone(), load.required_capacity());
        let sold = offers.iter().filter(|offer| intent.data_centres.contains(&offer.data_centre));
        let choices = sold.filter_map(|offer| {
            let rate = rates.get(&offer.class)?;
            Some(choice(&pool, offer, *rate))
        });
        program.choices.extend(choices);
    }
    Ok(program)
}

fn choice(pool: &Pool, offer: &PricedOffer, rate: f64) -> PurchaseOption {
    PurchaseOption {
        pool: pool.clone(),
        data_centre: offer.data_centre.clone(),
        class: offer.class.clone(),
        market: offer.market,
        price: offer.hourly_price,
        limit: offer.available,
        rate,
    }
}

/// The load of each pool.
pub fn pool_loads(intent: &Intent) -> BTreeMap<Pool, Load> {
    let models = intent.models.iter().map(|(pool, model)| (pool.clone(), Load::of_model(model)));
    let services =
        intent.services.iter().map(|(pool, service)| (pool.clone(), Load::of_service(service)));
    models.chain(services).collect()
}

/// Requests a second that one instance of each fitting machine class carries in a pool.
pub fn instance_rates(intent: &Intent, pool: &Pool) -> BTreeMap<MachineClass, f64> {
    if let Some(service) = intent.services.get(pool) {
        return service.machines.clone();
    }
    let Some(model) = intent.models.get(pool) else {
        return BTreeMap::new();
    };
    let rate = |profile| engine_rate(profile, &model.spec.target, &model.demand);
    model.engines.iter().filter_map(|(c, profile)| Some((c.clone(), rate(profile)?))).collect()
}

fn latency_binding(intent: &Intent, pool: Pool) -> BindingConstraint {
    match intent.models.get(&pool).and_then(nearest_target) {
        Some((class, nearest)) => BindingConstraint::LatencyTarget { pool, class, nearest },
        None => BindingConstraint::Offers { scale: 0.0 },
    }
}

/// Names the constraint that makes a program infeasible.
fn diagnose(program: &PlacementProgram) -> Result<BindingConstraint, SolveError> {
    let unlimited = PlacementProgram { budget: None, ..program.clone() };
    match (program.budget, unlimited.cheapest()) {
        (Some(budget), Ok(counts)) => {
            return Ok(BindingConstraint::Budget { budget, least: unlimited.spend(&counts) });
        }
        (_, Ok(_) | Err(SolveError::Infeasible)) => {}
        (_, Err(error)) => return Err(error),
    }
    let mixed = PlacementProgram { reclaimable_max: 1.0, ..unlimited.clone() };
    if mixed.cheapest().is_ok() {
        return Ok(BindingConstraint::ReclaimableShare);
    }
    let scale = unlimited.max_demand_scale()?;
    let offered = program.data_centres().len();
    if scale < SCALE_MIN && offered < 2 {
        return Ok(BindingConstraint::DataCentres { offered });
    }
    Ok(BindingConstraint::Offers { scale })
}

fn describe(
    now: UtcInstant,
    input: &PlanInput<'_>,
    program: &PlacementProgram,
    counts: &[u32],
) -> Plan {
    let placements = placements(program, counts);
    let cost = hourly_cost(&placements, input);
    let intent = input.intent;
    let envelope = Envelope {
        hourly_spend: cost.high.min(intent.hourly_budget).max(cost.quiet),
        data_centres: intent.data_centres.clone(),
        classes: intent.classes(),
        on_demand: true,
    };
    Plan {
        made_at: now,
        base: input.base,
        replaces: input.in_force.map(|plan| plan.digest.clone()),
        intent: intent.clone(),
        cost,
        pools: outlooks(intent, program, counts),
        envelope,
        differences: differences(&placements, input.in_force),
        placements,
    }
}

fn placements(program: &PlacementProgram, counts: &[u32]) -> Vec<PricedPlacement> {
    let bought = program.choices.iter().zip(counts).filter(|(_, count)| **count > 0);
    let priced = bought.map(|(choice, count)| PricedPlacement {
        placement: Placement {
            pool: choice.pool.clone(),
            data_centre: choice.data_centre.clone(),
            class: choice.class.clone(),
            market: choice.market,
            count: *count,
        },
        hourly_price: choice.price,
    });
    let mut placements: Vec<_> = priced.collect();
    placements.sort_by(|a, b| a.placement.cmp(&b.placement));
    placements
}

/// The cost under reclaims: a reclaimed instance is replaced by an on-demand one for a while.
fn hourly_cost(placements: &[PricedPlacement], input: &PlanInput<'_>) -> HourlyCost {
    let quiet: Money = placements.iter().map(|p| p.hourly_price.times(p.placement.count)).sum();
    let (mut mean, mut variance) = (0.0, 0.0);
    let mut waves: BTreeMap<&DataCentre, f64> = BTreeMap::new();
    for priced in placements.iter().filter(|p| p.placement.market == Market::Reclaimable) {
        let Placement { data_centre, count, .. } = &priced.placement;
        let extra = substitute_price(priced, input.offers) - priced.hourly_price;
        let extra = extra.units().max(0.0) * REPLACEMENT_HOURS;
        let reclaims = input.reclaims.rate(data_centre) * f64::from(*count);
        mean += reclaims * extra;
        variance += reclaims * extra * extra;
        *waves.entry(data_centre).or_default() += extra * f64::from(*count);
    }
    let busy = mean + QUANTILE_95 * f64::sqrt(variance);
    let wave = waves.into_values().fold(0.0, f64::max);
    HourlyCost {
        quiet,
        expected: quiet + Money::from_units(mean),
        high: quiet + Money::from_units(busy.max(wave)),
    }
}

/// The price of the same machine class on demand, in the data centre or else the dearest one.
fn substitute_price(priced: &PricedPlacement, offers: &[PricedOffer]) -> Money {
    let Placement { data_centre, class, .. } = &priced.placement;
    let sold = || offers.iter().filter(|o| o.market == Market::OnDemand && o.class == *class);
    let here = sold().find(|offer| offer.data_centre == *data_centre);
    let offer = here.or_else(|| sold().max_by_key(|offer| offer.hourly_price));
    offer.map_or(priced.hourly_price, |offer| offer.hourly_price)
}

fn outlooks(intent: &Intent, program: &PlacementProgram, counts: &[u32]) -> Vec<PoolForecast> {
    let outlook = |(pool, load): (Pool, Load)| {
        let capacity = program.capacity(counts, &pool, None);
        let left = |dc: &DataCentre| program.capacity(counts, &pool, Some(dc));
        let worst_loss =
            program.data_centres().into_iter().min_by(|a, b| left(a).total_cmp(&left(b)))?;
        let capacity_left = left(&worst_loss);
        Some(PoolForecast {
            need: load.required_capacity(),
            capacity,
            attainment: load.attainment(capacity),
            capacity_left,
            attainment_left: load.attainment(capacity_left),
            worst_loss,
            pool,
        })
    };
    pool_loads(intent).into_iter().filter_map(outlook).collect()
}

fn differences(
    placements: &[PricedPlacement],
    in_force: Option<&ConfirmedPlan>,
) -> Vec<PlacementChange> {
    let blank = |placement: &Placement| Placement { count: 0, ..placement.clone() };
    let mut counts: BTreeMap<Placement, (u32, u32)> = BTreeMap::new();
    for placement in in_force.into_iter().flat_map(|plan| &plan.placements) {
        counts.entry(blank(placement)).or_default().0 += placement.count;
    }
    for priced in placements {
        counts.entry(blank(&priced.placement)).or_default().1 += priced.placement.count;
    }
    let changed = counts.into_iter().filter(|(_, (before, after))| before != after);
    changed
        .map(|(placement, (before, count))| PlacementChange {
            placement: Placement { count, ..placement },
            before,
        })
        .collect()
}

fn is_for(offer: &PricedOffer, placement: &Placement) -> bool {
    offer.data_centre == placement.data_centre
        && offer.class == placement.class
        && offer.market == placement.market
}

#[cfg(test)]
mod tests;
