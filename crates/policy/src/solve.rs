//! Finds the cheapest numbers of instances that serve the load even if any one data centre is lost.
//!
//! The problem is solved as a mixed-integer program. Two baselines serve for comparison.

use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable, WithMipGap,
    constraint, microlp, variable,
};
use spindle_types::config::Market;
use spindle_types::{DataCentre, MachineClass, Money, Pool};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The relative gap to the optimum at which the solver stops.
const MIP_GAP_MAX: f32 = 0.002;

/// The largest number of purchase options for which the integer program is solved exactly. With
/// more, the solution of the linear relaxation is rounded.
const EXACT_OPTIONS_MAX: usize = 64;

/// The largest number of instances of one kind if the cloud states no limit.
const COUNT_MAX: u32 = 10_000;

/// The upper bound of [`PlacementProgram::max_demand_scale`].
const DEMAND_SCALE_MAX: f64 = 100.0;

/// Capacity that is missing by less than this fraction of the need is attributed to rounding.
const TOLERANCE: f64 = 1e-9;

/// A kind of instance that can be bought for a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PurchaseOption {
    /// The pool that the instance would serve.
    pub pool: Pool,
    /// The data centre in which it is offered.
    pub data_centre: DataCentre,
    /// The machine class of the instance.
    pub class: MachineClass,
    /// Whether it is bought on demand or may be reclaimed.
    pub market: Market,
    /// The price of one instance per hour.
    pub price: Money,
    /// The largest number that can be bought for all pools together. `None` without a limit.
    pub limit: Option<u32>,
    /// The requests per second that one instance serves.
    pub rate: f64,
}

/// The optimisation problem.
#[derive(Clone, Debug, Default)]
pub struct PlacementProgram {
    /// The requests per second that each pool must be able to serve even if any one data centre is
    /// lost.
    pub needs: BTreeMap<Pool, f64>,
    /// The instances that can be bought.
    pub options: Vec<PurchaseOption>,
    /// The largest hourly spend. `None` without a limit.
    pub budget: Option<Money>,
    /// The largest fraction of a pool's instances that may be reclaimable, from 0 to 1.
    pub reclaimable_max: f64,
}

/// Why there is no solution.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SolveError {
    /// No numbers of instances meet every constraint.
    #[error("no mix of instances meets every constraint")]
    Infeasible,
    /// The solver failed.
    #[error("solver: {0}")]
    Solver(String),
}

impl From<ResolutionError> for SolveError {
    fn from(error: ResolutionError) -> Self {
        match error {
            ResolutionError::Infeasible => Self::Infeasible,
            other => Self::Solver(other.to_string()),
        }
    }
}

/// Whether the numbers of instances must be integers.
#[derive(Clone, Copy, Debug)]
enum Integrality {
    Integer,
    Continuous,
}

impl PlacementProgram {
    /// The cheapest numbers of instances, one for each purchase option.
    ///
    /// # Errors
    ///
    /// No numbers meet every constraint, or the solver failed.
    pub fn cheapest(&self) -> Result<Vec<u32>, SolveError> {
        if self.options.len() <= EXACT_OPTIONS_MAX {
            let counts = self.solve(Integrality::Integer)?;
            return Ok(counts.into_iter().map(|count| count.round() as u32).collect());
        }
        let relaxed = self.solve(Integrality::Continuous)?;
        let floors = relaxed.iter().map(|count| (count + TOLERANCE).floor() as u32).collect();
        let counts = self
            .fill_deficits(self.remove_excess_reclaimable(floors))
            .ok_or(SolveError::Infeasible)?;
        let counts = self.remove_unneeded(counts);
        let affordable = self.budget.is_none_or(|budget| self.spend(&counts) <= budget);
        if affordable { Ok(counts) } else { Err(SolveError::Infeasible) }
    }

    /// The cost of the linear relaxation, a lower bound of the cost of any solution.
    ///
    /// # Errors
    ///
    /// No numbers meet every constraint, or the solver failed.
    pub fn lower_bound(&self) -> Result<Money, SolveError> {
        let counts = self.solve(Integrality::Continuous)?;
        let costs =
            self.options.iter().zip(counts).map(|(option, count)| option.price.units() * count);
        Ok(Money::from_units(costs.sum()))
    }

    fn solve(&self, integrality: Integrality) -> Result<Vec<f64>, SolveError> {
        let mut vars = ProblemVariables::new();
        let counts = self.count_variables(&mut vars, integrality);
        let mut model = vars.minimise(self.cost_expression(&counts)).using(microlp);
        for (need, capacity) in self.capacity_constraints(&counts) {
            model = model.with(constraint!(capacity >= need));
        }
        let model = self.add_limits(model, &counts);
        let solution = model.with_mip_gap(MIP_GAP_MAX).map_err(solver_error)?.solve()?;
        Ok(counts.iter().map(|count| solution.value(*count)).collect())
    }

    /// The largest multiple of the required capacity that can be provided, in the linear
    /// relaxation.
    ///
    /// # Errors
    ///
    /// The solver failed.
    pub fn max_demand_scale(&self) -> Result<f64, SolveError> {
        let mut vars = ProblemVariables::new();
        let counts = self.count_variables(&mut vars, Integrality::Continuous);
        let scale = vars.add(variable().min(0.0).max(DEMAND_SCALE_MAX));
        let mut model = vars.maximise(scale).using(microlp);
        for (need, capacity) in self.capacity_constraints(&counts) {
            model = model.with(constraint!(capacity >= need * scale));
        }
        let model = self.add_limits(model, &counts);
        let solution = model.with_mip_gap(MIP_GAP_MAX).map_err(solver_error)?.solve()?;
        Ok(solution.value(scale))
    }

    /// Baseline: as [`PlacementProgram::cheapest`], but with on-demand instances only.
    ///
    /// # Errors
    ///
    /// No numbers meet every constraint, or the solver failed.
    pub fn cheapest_on_demand(&self) -> Result<Vec<u32>, SolveError> {
        let only = |option: &PurchaseOption| PurchaseOption {
            limit: if option.market == Market::OnDemand { option.limit } else { Some(0) },
            ..option.clone()
        };
        let options = self.options.iter().map(only).collect();
        Self { options, ..self.clone() }.cheapest()
    }

    /// Baseline: repeatedly adds the instance with the lowest price per unit of capacity that is
    /// still missing. `None` if no instance can be added before all needs are met, or if the result
    /// exceeds the budget.
    pub fn greedy(&self) -> Option<Vec<u32>> {
        let counts = self.fill_deficits(vec![0; self.options.len()])?;
        self.budget.is_none_or(|budget| self.spend(&counts) <= budget).then_some(counts)
    }

    fn fill_deficits(&self, mut counts: Vec<u32>) -> Option<Vec<u32>> {
        loop {
            let deficits = self.deficits(&counts);
            if deficits.is_empty() {
                return Some(counts);
            }
            let open = (0..counts.len()).filter(|index| self.can_add(&counts, *index));
            let capacity_per_cost = |index: usize| {
                let option = &self.options[index];
                let gains = deficits.iter().filter(|(pool, lost, _)| {
                    *pool == option.pool && lost.as_ref() != Some(&option.data_centre)
                });
                let gain: f64 = gains.map(|(_, _, missing)| missing.min(option.rate)).sum();
                gain / option.price.units().max(1e-6)
            };
            let best =
                open.max_by(|a, b| capacity_per_cost(*a).total_cmp(&capacity_per_cost(*b)))?;
            if capacity_per_cost(best) <= 0.0 {
                return None;
            }
            counts[best] += 1;
        }
    }

    /// Removes reclaimable instances, the most expensive first, until no pool exceeds
    /// `reclaimable_max`.
    fn remove_excess_reclaimable(&self, mut counts: Vec<u32>) -> Vec<u32> {
        for pool in self.needs.keys() {
            while let (reclaimable, total) = self.count_reclaimable(&counts, pool)
                && f64::from(reclaimable) > self.reclaimable_max * f64::from(total)
            {
                let taken = (0..counts.len()).filter(|index| {
                    let option = &self.options[*index];
                    counts[*index] > 0
                        && option.pool == *pool
                        && option.market == Market::Reclaimable
                });
                let Some(most_expensive) = taken.max_by_key(|index| self.options[*index].price)
                else {
                    break;
                };
                counts[most_expensive] -= 1;
            }
        }
        counts
    }

    /// Removes instances that are not needed, the most expensive first.
    fn remove_unneeded(&self, mut counts: Vec<u32>) -> Vec<u32> {
        let mut order: Vec<usize> = (0..counts.len()).filter(|index| counts[*index] > 0).collect();
        order.sort_by_key(|index| std::cmp::Reverse(self.options[*index].price));
        for index in order {
            counts[index] -= 1;
            let option = &self.options[index];
            let (reclaimable, total) = self.count_reclaimable(&counts, &option.pool);
            let mixed = f64::from(reclaimable) <= self.reclaimable_max * f64::from(total);
            if !mixed || !self.deficits(&counts).is_empty() {
                counts[index] += 1;
            }
        }
        counts
    }

    /// The numbers of reclaimable instances and of all instances of a pool.
    fn count_reclaimable(&self, counts: &[u32], pool: &Pool) -> (u32, u32) {
        let pairs = self.options.iter().zip(counts).filter(|(option, _)| option.pool == *pool);
        pairs.fold((0, 0), |(reclaimable, total), (option, count)| match option.market {
            Market::Reclaimable => (reclaimable + count, total + count),
            Market::OnDemand => (reclaimable, total + count),
        })
    }

    /// The hourly cost of a solution.
    pub fn spend(&self, counts: &[u32]) -> Money {
        self.options.iter().zip(counts).map(|(option, count)| option.price.times(*count)).sum()
    }

    /// The capacity of a pool in requests per second, without the data centre `lost`.
    pub fn capacity(&self, counts: &[u32], pool: &Pool, lost: Option<&DataCentre>) -> f64 {
        let pairs = self.options.iter().zip(counts);
        let left =
            pairs.filter(|(option, _)| option.pool == *pool && Some(&option.data_centre) != lost);
        left.map(|(option, count)| option.rate * f64::from(*count)).sum()
    }

    /// The data centres in which instances can be bought.
    pub fn data_centres(&self) -> BTreeSet<DataCentre> {
        self.options.iter().map(|option| option.data_centre.clone()).collect()
    }

    /// The pools that lack capacity, each with the lost data centre, or `None` if no data centre is
    /// lost, and the missing requests per second.
    fn deficits(&self, counts: &[u32]) -> Vec<(Pool, Option<DataCentre>, f64)> {
        let mut deficits = Vec::new();
        let centres: Vec<_> = self.data_centres().into_iter().map(Some).chain([None]).collect();
        for (pool, need) in &self.needs {
            for lost in &centres {
                let missing = need - self.capacity(counts, pool, lost.as_ref());
                if missing > need * TOLERANCE {
                    deficits.push((pool.clone(), lost.clone(), missing));
                }
            }
        }
        deficits
    }

    fn can_add(&self, counts: &[u32], index: usize) -> bool {
        let option = &self.options[index];
        let same_offer =
            self.options.iter().zip(counts).filter(|(other, _)| same_offer(other, option));
        let bought: u32 = same_offer.map(|(_, count)| *count).sum();
        if option.limit.is_some_and(|limit| bought >= limit) {
            return false;
        }
        if option.market == Market::OnDemand {
            return true;
        }
        let (reclaimable, total) = self.count_reclaimable(counts, &option.pool);
        f64::from(reclaimable + 1) <= self.reclaimable_max * f64::from(total + 1)
    }

    fn count_variables(
        &self,
        vars: &mut ProblemVariables,
        integrality: Integrality,
    ) -> Vec<Variable> {
        let definitions = self.options.iter().map(|option| {
            let bounded = variable().min(0).max(option.limit.unwrap_or(COUNT_MAX).min(COUNT_MAX));
            match integrality {
                Integrality::Integer => bounded.integer(),
                Integrality::Continuous => bounded,
            }
        });
        definitions.map(|definition| vars.add(definition)).collect()
    }

    fn cost_expression(&self, counts: &[Variable]) -> Expression {
        self.options.iter().zip(counts).map(|(option, count)| option.price.units() * *count).sum()
    }

    /// The required capacity of each pool and its capacity with each data centre lost, and with
    /// none lost.
    fn capacity_constraints(&self, counts: &[Variable]) -> Vec<(f64, Expression)> {
        let centres: Vec<_> = self.data_centres().into_iter().map(Some).chain([None]).collect();
        let mut capacities = Vec::new();
        for (pool, need) in &self.needs {
            for lost in &centres {
                let pairs = self.options.iter().zip(counts);
                let left = pairs.filter(|(option, _)| {
                    option.pool == *pool && Some(&option.data_centre) != lost.as_ref()
                });
                capacities.push((*need, left.map(|(option, count)| option.rate * *count).sum()));
            }
        }
        capacities
    }

    /// Adds the constraints of the offers, the budget and the share of reclaimable instances.
    fn add_limits<M: SolverModel>(&self, mut model: M, counts: &[Variable]) -> M {
        let mut offers: BTreeMap<_, (u32, Expression)> = BTreeMap::new();
        for (option, count) in self.options.iter().zip(counts) {
            let Some(limit) = option.limit else { continue };
            let key = (&option.data_centre, &option.class, option.market);
            offers.entry(key).or_insert((limit, Expression::default())).1 += *count;
        }
        for (limit, bought) in offers.into_values() {
            model = model.with(constraint!(bought <= limit));
        }
        for pool in self.needs.keys() {
            let pairs = self.options.iter().zip(counts).filter(|(option, _)| option.pool == *pool);
            let excess: Expression = pairs
                .map(|(option, count)| match option.market {
                    Market::Reclaimable => (1.0 - self.reclaimable_max) * *count,
                    Market::OnDemand => -self.reclaimable_max * *count,
                })
                .sum();
            model = model.with(constraint!(excess <= 0.0));
        }
        match self.budget {
            Some(budget) => model.with(constraint!(self.cost_expression(counts) <= budget.units())),
            None => model,
        }
    }
}

fn same_offer(a: &PurchaseOption, b: &PurchaseOption) -> bool {
    a.data_centre == b.data_centre && a.class == b.class && a.market == b.market
}

fn solver_error(error: impl std::fmt::Debug) -> SolveError {
    SolveError::Solver(format!("{error:?}"))
}

#[cfg(test)]
mod tests;
