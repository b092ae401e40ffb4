//! Retry budgets and backoff.
//!
//! A budget grants retries as a fraction of recent successes, so that retries can't multiply the
//! load on failing upstreams. Each team and each pool has a budget, and a retry must fit both. The
//! delay before a retry is random between zero and an exponentially growing bound (full jitter).

use rand::{Rng, RngExt};
use spindle_types::{MonotonicInstant, Pool, Team};
use std::collections::HashMap;
use std::time::Duration;

/// The budget and the backoff of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryParams {
    /// The number of retries granted for each success, usually below 1.
    pub ratio: f64,
    /// Retries granted in a window even without successes, so that a daemon with few requests can
    /// get past several failing upstreams.
    pub floor: f64,
    /// The time in which the weight of a success or a retry decays to 1/e.
    pub window: Duration,
    /// The upper bound of the delay before the first retry. It doubles with each retry.
    pub delay_base: Duration,
    /// The upper bound of the delay before any retry.
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

/// Whether a retry is permitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The retry may be sent after the delay.
    Granted {
        /// The backoff before the retry.
        after: Duration,
    },
    /// The budget is used up. The caller may ask for a retry again after the delay.
    Exhausted {
        /// The time until the budget is expected to permit a retry, with jitter.
        ask_again_after: Duration,
    },
}

/// Exponentially decaying counts of successes and retries.
#[derive(Clone, Copy, Debug, Default)]
struct RetryBudget {
    successes: f64,
    retries: f64,
    decayed_at: MonotonicInstant,
}

impl RetryBudget {
    fn decay(&mut self, now: MonotonicInstant, window: Duration) {
        let factor = (-now.since(self.decayed_at).as_secs_f64() / window.as_secs_f64()).exp();
        self.successes *= factor;
        self.retries *= factor;
        self.decayed_at = self.decayed_at.max(now);
    }

    /// The number of recent retries that the budget permits.
    fn allowed(&self, params: &RetryParams) -> f64 {
        (params.ratio * self.successes).max(params.floor)
    }

    /// Whether one more retry fits.
    fn fits(&self, params: &RetryParams) -> bool {
        self.retries < self.allowed(params)
    }

    /// The time until one more retry fits, if no other success or retry is recorded.
    fn time_until_fit(&self, params: &RetryParams) -> Duration {
        let usage = self.retries / self.allowed(params);
        params.window.mul_f64(usage.max(1.0).ln().min(1.0))
    }
}

/// The retry budgets of all teams and pools at one daemon.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    params: RetryParams,
    teams: HashMap<Team, RetryBudget>,
    pools: HashMap<Pool, RetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets without successes or retries.
    pub fn new(params: RetryParams) -> Self {
        Self { params, ..Self::default() }
    }

    /// Records a request that succeeded.
    pub fn on_success(&mut self, now: MonotonicInstant, team: &Team, pool: &Pool) {
        let (team, pool) = self.budgets(now, team, pool);
        team.successes += 1.0;
        pool.successes += 1.0;
    }

    /// Grants and counts a retry if it fits both budgets. `retries` is the number of retries that
    /// the request has already made.
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
        let wait = |budget: &RetryBudget| budget.time_until_fit(&params);
        let jitter = full_jitter(&params, retries.max(2), generator);
        RetryDecision::Exhausted {
            ask_again_after: wait(team).max(wait(pool)).min(params.delay_max) + jitter,
        }
    }

    /// Forgets the teams and pools for which the predicates return false.
    pub fn retain(&mut self, team: impl Fn(&Team) -> bool, pool: impl Fn(&Pool) -> bool) {
        self.teams.retain(|name, _| team(name));
        self.pools.retain(|name, _| pool(name));
    }

    fn budgets(
        &mut self,
        now: MonotonicInstant,
        team: &Team,
        pool: &Pool,
    ) -> (&mut RetryBudget, &mut RetryBudget) {
        let team = self.teams.entry(team.clone()).or_default();
        let pool = self.pools.entry(pool.clone()).or_default();
        team.decay(now, self.params.window);
        pool.decay(now, self.params.window);
        (team, pool)
    }
}

/// A uniformly distributed delay between zero and a bound that doubles with each retry.
pub fn full_jitter(params: &RetryParams, retries: u32, generator: &mut impl Rng) -> Duration {
    let bound = params.delay_base.saturating_mul(1 << retries.min(16)).min(params.delay_max);
    bound.mul_f64(generator.random::<f64>())
}

#[cfg(test)]
mod tests;
