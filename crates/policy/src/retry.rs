//! Retry budgets and backoff.
//!
//! A budget grants retries as a ratio of the successes of the last while, so that retries can't
//! multiply the load on upstreams that fail. Each team and each pool has one, and a retry needs
//! both. The delay before a retry is drawn with full jitter.

use rand::{Rng, RngExt};
use spindle_types::{MonotonicInstant, Pool, Team};
use std::collections::HashMap;
use std::time::Duration;

/// How retries are limited and spaced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryParams {
    /// Retries granted for each success.
    pub ratio: f64,
    /// Retries granted in a window even without a success, so that a daemon with few requests can
    /// go past several upstreams that fail.
    pub floor: f64,
    /// The time in which the weight of a success or a retry fades to 1/e.
    pub window: Duration,
    /// The longest delay before the first retry.
    pub delay_base: Duration,
    /// The longest delay before any retry.
    pub delay_max: Duration,
}

impl Default for RetryParams {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            floor: 10.0,
            window: Duration::from_secs(10),
            delay_base: Duration::from_millis(50),
            delay_max: Duration::from_secs(2),
        }
    }
}

/// Whether a retry may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// It may be made after the delay.
    Granted {
        /// The delay.
        after: Duration,
    },
    /// The budget is used up; asking again makes sense after the delay.
    Exhausted {
        /// The delay.
        ask_again_after: Duration,
    },
}

/// A ratio of recent successes.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    successes: f64,
    retries: f64,
    faded: MonotonicInstant,
}

impl Budget {
    fn fade(&mut self, now: MonotonicInstant, window: Duration) {
        let share = (-now.since(self.faded).as_secs_f64() / window.as_secs_f64()).exp();
        self.successes *= share;
        self.retries *= share;
        self.faded = self.faded.max(now);
    }

    /// The retries that fit into a window.
    fn allowed(&self, params: &RetryParams) -> f64 {
        (params.ratio * self.successes).max(params.floor)
    }

    /// Whether one more retry fits.
    fn fits(&self, params: &RetryParams) -> bool {
        self.retries < self.allowed(params)
    }

    /// The time after which one more retry fits if nothing else happens.
    fn wait(&self, params: &RetryParams) -> Duration {
        let excess = self.retries / self.allowed(params);
        params.window.mul_f64(excess.max(1.0).ln().min(1.0))
    }
}

/// The budgets of all teams and pools at one daemon.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    params: RetryParams,
    teams: HashMap<Team, Budget>,
    pools: HashMap<Pool, Budget>,
}

impl RetryBudgets {
    /// Budgets before any success.
    pub fn new(params: RetryParams) -> Self {
        Self { params, ..Self::default() }
    }

    /// Records a request that succeeded.
    pub fn on_success(&mut self, now: MonotonicInstant, team: &Team, pool: &Pool) {
        let (team, pool) = self.budgets(now, team, pool);
        team.successes += 1.0;
        pool.successes += 1.0;
    }

    /// Asks for a retry; `retries` is how many the request has made.
    pub fn on_retry(
        &mut self,
        now: MonotonicInstant,
        team: &Team,
        pool: &Pool,
        retries: u32,
        generator: &mut impl Rng,
    ) -> RetryDecision {
        let params = self.params;
        let (team, pool) = self.budgets(now, team, pool);
        if team.fits(&params) && pool.fits(&params) {
            team.retries += 1.0;
            pool.retries += 1.0;
            return RetryDecision::Granted { after: full_jitter(&params, retries, generator) };
        }
        let wait = |budget: &Budget| budget.wait(&params);
        let jitter = full_jitter(&params, retries.max(2), generator);
        RetryDecision::Exhausted {
            ask_again_after: wait(team).max(wait(pool)).min(params.delay_max) + jitter,
        }
    }

    /// Forgets teams and pools that the predicate does not keep.
    pub fn retain(&mut self, team: impl Fn(&Team) -> bool, pool: impl Fn(&Pool) -> bool) {
        self.teams.retain(|name, _| team(name));
        self.pools.retain(|name, _| pool(name));
    }

    fn budgets(
        &mut self,
        now: MonotonicInstant,
        team: &Team,
        pool: &Pool,
    ) -> (&mut Budget, &mut Budget) {
        let team = self.teams.entry(team.clone()).or_default();
        let pool = self.pools.entry(pool.clone()).or_default();
        team.fade(now, self.params.window);
        pool.fade(now, self.params.window);
        (team, pool)
    }
}

/// A delay drawn evenly between zero and a bound that doubles with each retry.
pub fn full_jitter(params: &RetryParams, retries: u32, generator: &mut impl Rng) -> Duration {
    let bound = params.delay_base.saturating_mul(1 << retries.min(16)).min(params.delay_max);
    bound.mul_f64(generator.random::<f64>())
}

#[cfg(test)]
mod tests;
