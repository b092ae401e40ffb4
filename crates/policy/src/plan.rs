//! Computes plans: the placements that meet an intent, their cost, the attainment of the latency
//! targets, and the effect of the loss of one data centre.

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

/// How long an on-demand instance replaces a reclaimed one, in hours.
const REPLACEMENT_HOURS: f64 = 0.5;

/// Reclaims per instance hour, assumed for a data centre without observations.
const DEFAULT_RECLAIM_RATE: f64 = 0.05;

/// The 95% quantile of the standard normal distribution.
const QUANTILE_95: f64 = 1.645;

/// A multiple of the demand below this counts as none of the demand.
const DEMAND_SCALE_MIN: f64 = 0.01;

/// Observed reclaims per instance hour by data centre.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReclaimRates(pub BTreeMap<DataCentre, f64>);

impl ReclaimRates {
    /// The reclaims per instance hour in a data centre, or a default without observations.
    pub fn rate(&self, data_centre: &DataCentre) -> f64 {
        self.0.get(data_centre).copied().unwrap_or(DEFAULT_RECLAIM_RATE)
    }
}

/// The input of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The operator's intent.
    pub intent: &'a Intent,
    /// The instances that can be bought, with their prices.
    pub offers: &'a [PricedOffer],
    /// The observed reclaim rates.
    pub reclaims: &'a ReclaimRates,
    /// The revision of the configuration in force.
    pub base: Revision,
    /// The plan in force, if any.
    pub in_force: Option<&'a ConfirmedPlan>,
}

/// The hourly cost of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HourlyCost {
    /// The cost without reclaims.
    pub quiet: Money,
    /// The mean cost at the observed reclaim rates. On-demand instances temporarily replace the
    /// reclaimed ones.
    pub expected: Money,
    /// The 95th percentile of the cost, or the cost if all reclaimable instances of the most
    /// expensive data centre are reclaimed, whichever is higher.
    pub high: Money,
}

/// A placement with the price used in the plan.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PricedPlacement {
    /// The instances to run.
    #[serde(flatten)]
    pub placement: Placement,
    /// The hourly price of one instance.
    pub hourly_price: Money,
}

/// The expected capacity and attainment of one pool under a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolForecast {
    /// The pool that this forecast is for.
    pub pool: Pool,
    /// The required capacity in requests per second.
    pub need: f64,
    /// The planned capacity in requests per second.
    pub capacity: f64,
    /// The fraction of time at the peak for which the latency target is met.
    pub attainment: Share,
    /// The data centre whose loss leaves the least capacity.
    pub worst_loss: DataCentre,
    /// The capacity after that loss in requests per second.
    pub capacity_left: f64,
    /// The fraction of time at the peak for which the latency target is met after that loss.
    pub attainment_left: Share,
}

/// A placement whose number of instances changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlacementChange {
    /// The instances to run under the new plan.
    #[serde(flatten)]
    pub placement: Placement,
    /// The number of instances in the plan in force.
    pub before: u32,
}

/// A plan as it is shown to an operator for confirmation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// When the plan was made.
    pub made_at: UtcInstant,
    /// The revision of the configuration from which it was made.
    pub base: Revision,
    /// The digest of the plan that was in force, if any.
    pub replaces: Option<String>,
    /// The intent that the plan meets.
    pub intent: Intent,
    /// The instances to run.
    pub placements: Vec<PricedPlacement>,
    /// The expected cost.
    pub cost: HourlyCost,
    /// The expected capacity and attainment of each pool.
    pub pools: Vec<PoolForecast>,
    /// The limits within which the system may act without another confirmation.
    pub envelope: Envelope,
    /// The differences from the plan in force.
    pub differences: Vec<PlacementChange>,
}

impl Plan {
    /// The SHA-256 digest of the plan's JSON encoding, in hexadecimal.
    pub fn digest(&self) -> String {
        // All maps in a plan have string keys, so encoding it as JSON can't fail.
        let content = serde_json::to_vec(self).unwrap_or_default();
        Sha256::digest(content).iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// The plan as confirmed by an operator.
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

    /// The placements whose current price differs from the price in the plan.
    pub fn price_changes(&self, offers: &[PricedOffer]) -> Vec<PriceChange> {
        let current_price = |placement: &Placement| {
            let offer = offers.iter().find(|offer| matches_offer(offer, placement));
            offer.map(|offer| offer.hourly_price)
        };
        let changed = self.placements.iter().filter_map(|priced| {
            let price = current_price(&priced.placement);
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
    /// The instances to run.
    pub placement: Placement,
    /// The hourly price of one instance in the plan.
    pub shown: Money,
    /// The current hourly price of one instance. `None` if it is no longer offered.
    pub now: Option<Money>,
}

/// The constraint that makes an intent infeasible, with the nearest value that is feasible.
#[derive(Clone, Debug, Error, PartialEq, Serialize, Deserialize)]
#[serde(tag = "binding", rename_all = "snake_case")]
pub enum BindingConstraint {
    /// No machine class meets the latency target, even for a single request.
    #[error(
        "latency target of {pool}: no machine class meets it; nearest is first_token {}, \
         token_interval {} on {class}", nearest.first_token, nearest.token_interval
    )]
    LatencyTarget {
        /// The pool whose target can't be met.
        pool: Pool,
        /// The machine class that comes closest to the target.
        class: MachineClass,
        /// The closest target that this class meets.
        nearest: LatencyTarget,
    },
    /// The budget is too small.
    #[error("hourly_budget: {budget} is too little; the least that meets the targets is {least}")]
    Budget {
        /// The hourly budget of the intent.
        budget: Money,
        /// The smallest hourly budget with which the targets can be met.
        least: Money,
    },
    /// Too few on-demand instances are offered to keep the share of reclaimable ones within its
    /// limit.
    #[error("reclaimable_max: too few on-demand instances are offered; without it, it can be met")]
    ReclaimableShare,
    /// Instances are offered in too few data centres to survive the loss of one.
    #[error("data_centres: instances are offered in {offered} of them, and one may be lost")]
    DataCentres {
        /// The number of data centres with an offer.
        offered: usize,
    },
    /// Too few instances are offered.
    #[error("offers: too few instances; {} of the demand can be carried", percent(scale))]
    Offers {
        /// The largest multiple of the demand that can be served.
        scale: f64,
    },
}

fn percent(share: &f64) -> String {
    format!("{:.1}%", share * 100.0)
}

/// Why no plan could be made.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PlanError {
    /// No placements meet the intent.
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
/// The intent can't be met, or the solver failed.
pub fn cheapest_plan(now: UtcInstant, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
    let program = placement_program(input.intent, input.offers).map_err(PlanError::Infeasible)?;
    match program.cheapest() {
        Ok(counts) => Ok(assemble_plan(now, input, &program, &counts)),
        Err(SolveError::Infeasible) => Err(PlanError::Infeasible(diagnose(&program)?)),
        Err(error) => Err(error.into()),
    }
}

/// Translates an intent into an integer program.
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
        let options = sold.filter_map(|offer| {
            let rate = rates.get(&offer.class)?;
            Some(purchase_option(&pool, offer, *rate))
        });
        program.options.extend(options);
    }
    Ok(program)
}

fn purchase_option(pool: &Pool, offer: &PricedOffer, rate: f64) -> PurchaseOption {
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

/// The load of each pool of an intent.
pub fn pool_loads(intent: &Intent) -> BTreeMap<Pool, Load> {
    let models = intent.models.iter().map(|(pool, model)| (pool.clone(), Load::of_model(model)));
    let services =
        intent.services.iter().map(|(pool, service)| (pool.clone(), Load::of_service(service)));
    models.chain(services).collect()
}

/// The requests per second that one instance serves in a pool within its latency target, for each
/// machine class that can meet the target.
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

/// Finds the constraint that makes a program infeasible by relaxing one constraint after another.
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
    if scale < DEMAND_SCALE_MIN && offered < 2 {
        return Ok(BindingConstraint::DataCentres { offered });
    }
    Ok(BindingConstraint::Offers { scale })
}

fn assemble_plan(
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
        pools: pool_forecasts(intent, program, counts),
        envelope,
        differences: differences(&placements, input.in_force),
        placements,
    }
}

fn placements(program: &PlacementProgram, counts: &[u32]) -> Vec<PricedPlacement> {
    let bought = program.options.iter().zip(counts).filter(|(_, count)| **count > 0);
    let priced = bought.map(|(option, count)| PricedPlacement {
        placement: Placement {
            pool: option.pool.clone(),
            data_centre: option.data_centre.clone(),
            class: option.class.clone(),
            market: option.market,
            count: *count,
        },
        hourly_price: option.price,
    });
    let mut placements: Vec<_> = priced.collect();
    placements.sort_by(|a, b| a.placement.cmp(&b.placement));
    placements
}

/// The hourly cost including reclaims. An on-demand instance replaces each reclaimed instance for
/// [`REPLACEMENT_HOURS`]. The number of reclaims is assumed to follow a Poisson distribution.
fn hourly_cost(placements: &[PricedPlacement], input: &PlanInput<'_>) -> HourlyCost {
    let quiet: Money = placements.iter().map(|p| p.hourly_price.times(p.placement.count)).sum();
    let (mut mean, mut variance) = (0.0, 0.0);
    let mut wave_costs: BTreeMap<&DataCentre, f64> = BTreeMap::new();
    for priced in placements.iter().filter(|p| p.placement.market == Market::Reclaimable) {
        let Placement { data_centre, count, .. } = &priced.placement;
        let extra = on_demand_price(priced, input.offers) - priced.hourly_price;
        let extra = extra.units().max(0.0) * REPLACEMENT_HOURS;
        let reclaims = input.reclaims.rate(data_centre) * f64::from(*count);
        mean += reclaims * extra;
        variance += reclaims * extra * extra;
        *wave_costs.entry(data_centre).or_default() += extra * f64::from(*count);
    }
    let high_quantile = mean + QUANTILE_95 * f64::sqrt(variance);
    let wave_cost = wave_costs.into_values().fold(0.0, f64::max);
    HourlyCost {
        quiet,
        expected: quiet + Money::from_units(mean),
        high: quiet + Money::from_units(high_quantile.max(wave_cost)),
    }
}

/// The on-demand price of the same machine class in the same data centre. If it is not offered
/// there, the highest price in any data centre.
fn on_demand_price(priced: &PricedPlacement, offers: &[PricedOffer]) -> Money {
    let Placement { data_centre, class, .. } = &priced.placement;
    let sold = || offers.iter().filter(|o| o.market == Market::OnDemand && o.class == *class);
    let here = sold().find(|offer| offer.data_centre == *data_centre);
    let offer = here.or_else(|| sold().max_by_key(|offer| offer.hourly_price));
    offer.map_or(priced.hourly_price, |offer| offer.hourly_price)
}

fn pool_forecasts(
    intent: &Intent,
    program: &PlacementProgram,
    counts: &[u32],
) -> Vec<PoolForecast> {
    let forecast = |(pool, load): (Pool, Load)| {
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
    pool_loads(intent).into_iter().filter_map(forecast).collect()
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

fn matches_offer(offer: &PricedOffer, placement: &Placement) -> bool {
    offer.data_centre == placement.data_centre
        && offer.class == placement.class
        && offer.market == placement.market
}

#[cfg(test)]
mod tests;
