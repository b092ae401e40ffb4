//! The cheapest numbers of instances that carry the load with any one data centre lost.
//!
//! A mixed-integer program, and two baselines to measure it against.

use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable, WithMipGap,
    constraint, microlp, variable,
};
use spindle_types::config::Market;
use spindle_types::{DataCentre, MachineClass, Money, Pool};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The relative distance from the optimum at which the search ends.
const GAP_MAX: f32 = 0.002;

/// The most choices for which the integer program is solved; with more, its relaxation is rounded.
const EXACT_CHOICES_MAX: usize = 64;

/// The most instances of one kind where the cloud names no limit.
const COUNT_MAX: u32 = 10_000;

/// The largest multiple of the demand that is looked for.
const SCALE_MAX: f64 = 100.0;

/// Capacity below the need by less than this share is rounding.
const TOLERANCE: f64 = 1e-9;

/// One kind of instance that can be bought for one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PurchaseOption {
    /// The pool.
    pub pool: Pool,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The machine class.
    pub class: MachineClass,
    /// How it is bought.
    pub market: Market,
    /// The price an hour.
    pub price: Money,
    /// The most that can be bought, over all pools.
    pub limit: Option<u32>,
    /// Requests a second that one instance carries.
    pub rate: f64,
}

/// What is to be solved.
#[derive(Clone, Debug, Default)]
pub struct PlacementProgram {
    /// Requests a second that each pool must carry, with any one data centre lost.
    pub needs: BTreeMap<Pool, f64>,
    /// What can be bought.
    pub choices: Vec<PurchaseOption>,
    /// The most that may be spent an hour.
    pub budget: Option<Money>,
    /// The largest share of a pool's instances that may be reclaimable.
    pub reclaimable_max: f64,
}

/// Why there is no solution.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SolveError {
    /// No numbers meet every constraint.
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

/// Whether instances are divisible in a program.
#[derive(Clone, Copy, Debug)]
enum Numbers {
    Whole,
    Real,
}

impl PlacementProgram {
    /// The cheapest numbers, one for each choice.
    ///
    /// # Errors
    ///
    /// There are none.
    pub fn cheapest(&self) -> Result<Vec<u32>, SolveError> {
        if self.choices.len() <= EXACT_CHOICES_MAX {
            let counts = self.solve(Numbers::Whole)?;
            return Ok(counts.into_iter().map(|count| count.round() as u32).collect());
        }
        let relaxed = self.solve(Numbers::Real)?;
        let floors = relaxed.iter().map(|count| (count + TOLERANCE).floor() as u32).collect();
        let counts = self.fill(self.without_excess(floors)).ok_or(SolveError::Infeasible)?;
        let counts = self.without_spare(counts);
        let affordable = self.budget.is_none_or(|budget| self.spend(&counts) <= budget);
        if affordable { Ok(counts) } else { Err(SolveError::Infeasible) }
    }

    /// The cost of the relaxation, which no numbers can undercut.
    ///
    /// # Errors
    ///
    /// There are no numbers.
    pub fn lower_bound(&self) -> Result<Money, SolveError> {
        let counts = self.solve(Numbers::Real)?;
        let costs = self.choices.iter().zip(counts).map(|(c, count)| c.price.units() * count);
        Ok(Money::from_units(costs.sum()))
    }

    fn solve(&self, numbers: Numbers) -> Result<Vec<f64>, SolveError> {
        let mut vars = ProblemVariables::new();
        let counts = self.counts(&mut vars, numbers);
        let mut model = vars.minimise(self.cost(&counts)).using(microlp);
        for (need, capacity) in self.capacities(&counts) {
            model = model.with(constraint!(capacity >= need));
        }
        let model = self.limit(model, &counts);
        let solution = model.with_mip_gap(GAP_MAX).map_err(solver_error)?.solve()?;
        Ok(counts.iter().map(|count| solution.value(*count)).collect())
    }

    /// The largest multiple of the need that can be carried, were instances divisible.
    ///
    /// # Errors
    ///
    /// The solver failed.
    pub fn max_demand_scale(&self) -> Result<f64, SolveError> {
        let mut vars = ProblemVariables::new();
        let counts = self.counts(&mut vars, Numbers::Real);
        let scale = vars.add(variable().min(0.0).max(SCALE_MAX));
        let mut model = vars.maximise(scale).using(microlp);
        for (need, capacity) in self.capacities(&counts) {
            model = model.with(constraint!(capacity >= need * scale));
        }
        let model = self.limit(model, &counts);
        let solution = model.with_mip_gap(GAP_MAX).map_err(solver_error)?.solve()?;
        Ok(solution.value(scale))
    }

    /// Baseline: as [`Program::cheapest`], with on-demand instances alone.
    ///
    /// # Errors
    ///
    /// There are none.
    pub fn cheapest_on_demand(&self) -> Result<Vec<u32>, SolveError> {
        let only = |choice: &PurchaseOption| PurchaseOption {
            limit: if choice.market == Market::OnDemand { choice.limit } else { Some(0) },
            ..choice.clone()
        };
        let choices = self.choices.iter().map(only).collect();
        Self { choices, ..self.clone() }.cheapest()
    }

    /// Baseline: adds the instance that is cheapest for the capacity that is still missing, one by
    /// one; none if it gets stuck.
    pub fn greedy(&self) -> Option<Vec<u32>> {
        let counts = self.fill(vec![0; self.choices.len()])?;
        self.budget.is_none_or(|budget| self.spend(&counts) <= budget).then_some(counts)
    }

    fn fill(&self, mut counts: Vec<u32>) -> Option<Vec<u32>> {
        loop {
            let deficits = self.deficits(&counts);
            if deficits.is_empty() {
                return Some(counts);
            }
            let open = (0..counts.len()).filter(|index| self.can_add(&counts, *index));
            let worth = |index: usize| {
                let choice = &self.choices[index];
                let gains = deficits.iter().filter(|(pool, lost, _)| {
                    *pool == choice.pool && lost.as_ref() != Some(&choice.data_centre)
                });
                let gain: f64 = gains.map(|(_, _, missing)| missing.min(choice.rate)).sum();
                gain / choice.price.units().max(1e-6)
            };
            let best = open.max_by(|a, b| worth(*a).total_cmp(&worth(*b)))?;
            if worth(best) <= 0.0 {
                return None;
            }
            counts[best] += 1;
        }
    }

    /// Takes reclaimable instances away, the dearest first, until no pool has too many.
    fn without_excess(&self, mut counts: Vec<u32>) -> Vec<u32> {
        for pool in self.needs.keys() {
            while let (reclaimable, total) = self.reclaimable(&counts, pool)
                && f64::from(reclaimable) > self.reclaimable_max * f64::from(total)
            {
                let taken = (0..counts.len()).filter(|index| {
                    let choice = &self.choices[*index];
                    counts[*index] > 0
                        && choice.pool == *pool
                        && choice.market == Market::Reclaimable
                });
                let Some(dearest) = taken.max_by_key(|index| self.choices[*index].price) else {
                    break;
                };
                counts[dearest] -= 1;
            }
        }
        counts
    }

    /// Takes instances away that are not needed, the dearest first.
    fn without_spare(&self, mut counts: Vec<u32>) -> Vec<u32> {
        let mut order: Vec<usize> = (0..counts.len()).filter(|index| counts[*index] > 0).collect();
        order.sort_by_key(|index| std::cmp::Reverse(self.choices[*index].price));
        for index in order {
            counts[index] -= 1;
            let choice = &self.choices[index];
            let (reclaimable, total) = self.reclaimable(&counts, &choice.pool);
            let mixed = f64::from(reclaimable) <= self.reclaimable_max * f64::from(total);
            if !mixed || !self.deficits(&counts).is_empty() {
                counts[index] += 1;
            }
        }
        counts
    }

    /// The reclaimable instances of a pool, and all of them.
    fn reclaimable(&self, counts: &[u32], pool: &Pool) -> (u32, u32) {
        let pairs = self.choices.iter().zip(counts).filter(|(choice, _)| choice.pool == *pool);
        pairs.fold((0, 0), |(reclaimable, total), (choice, count)| match choice.market {
            Market::Reclaimable => (reclaimable + count, total + count),
            Market::OnDemand => (reclaimable, total + count),
        })
    }

    /// What numbers cost an hour.
    pub fn spend(&self, counts: &[u32]) -> Money {
        self.choices.iter().zip(counts).map(|(choice, count)| choice.price.times(*count)).sum()
    }

    /// The capacity of a pool, with a data centre lost if one is named.
    pub fn capacity(&self, counts: &[u32], pool: &Pool, lost: Option<&DataCentre>) -> f64 {
        let pairs = self.choices.iter().zip(counts);
        let left = pairs.filter(|(c, _)| c.pool == *pool && Some(&c.data_centre) != lost);
        left.map(|(choice, count)| choice.rate * f64::from(*count)).sum()
    }

    /// The data centres in which anything can be bought.
    pub fn data_centres(&self) -> BTreeSet<DataCentre> {
        self.choices.iter().map(|choice| choice.data_centre.clone()).collect()
    }

    /// The pools that lack capacity, with the data centre whose loss makes them lack it.
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
        let choice = &self.choices[index];
        let same_offer = self.choices.iter().zip(counts).filter(|(c, _)| same_offer(c, choice));
        let bought: u32 = same_offer.map(|(_, count)| *count).sum();
        if choice.limit.is_some_and(|limit| bought >= limit) {
            return false;
        }
        if choice.market == Market::OnDemand {
            return true;
        }
        let (reclaimable, total) = self.reclaimable(counts, &choice.pool);
        f64::from(reclaimable + 1) <= self.reclaimable_max * f64::from(total + 1)
    }

    fn counts(&self, vars: &mut ProblemVariables, numbers: Numbers) -> Vec<Variable> {
        let definitions = self.choices.iter().map(|choice| {
            let bounded = variable().min(0).max(choice.limit.unwrap_or(COUNT_MAX).min(COUNT_MAX));
            match numbers {
                Numbers::Whole => bounded.integer(),
                Numbers::Real => bounded,
            }
        });
        definitions.map(|definition| vars.add(definition)).collect()
    }

    fn cost(&self, counts: &[Variable]) -> Expression {
        self.choices.iter().zip(counts).map(|(choice, count)| choice.price.units() * *count).sum()
    }

    /// The need of each pool and its capacity with each data centre lost.
    fn capacities(&self, counts: &[Variable]) -> Vec<(f64, Expression)> {
        let centres: Vec<_> = self.data_centres().into_iter().map(Some).chain([None]).collect();
        let mut capacities = Vec::new();
        for (pool, need) in &self.needs {
            for lost in &centres {
                let pairs = self.choices.iter().zip(counts);
                let left =
                    pairs.filter(|(c, _)| c.pool == *pool && Some(&c.data_centre) != lost.as_ref());
                capacities.push((*need, left.map(|(c, count)| c.rate * *count).sum()));
            }
        }
        capacities
    }

    /// Adds the limits of the offers, the budget and the share of reclaimable instances.
    fn limit<M: SolverModel>(&self, mut model: M, counts: &[Variable]) -> M {
        let mut offers: BTreeMap<_, (u32, Expression)> = BTreeMap::new();
        for (choice, count) in self.choices.iter().zip(counts) {
            let Some(limit) = choice.limit else { continue };
            let key = (&choice.data_centre, &choice.class, choice.market);
            offers.entry(key).or_insert((limit, Expression::default())).1 += *count;
        }
        for (limit, bought) in offers.into_values() {
            model = model.with(constraint!(bought <= limit));
        }
        for pool in self.needs.keys() {
            let pairs = self.choices.iter().zip(counts).filter(|(c, _)| c.pool == *pool);
            let excess: Expression = pairs
                .map(|(choice, count)| match choice.market {
                    Market::Reclaimable => (1.0 - self.reclaimable_max) * *count,
                    Market::OnDemand => -self.reclaimable_max * *count,
                })
                .sum();
            model = model.with(constraint!(excess <= 0.0));
        }
        match self.budget {
            Some(budget) => model.with(constraint!(self.cost(counts) <= budget.units())),
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
