//! One upstream as the router knows it.

use super::cache::EstimatedCache;
use super::demand::{Demand, LoadedModel};
use super::estimate::{CorrectionFactor, EngineSpeed, Estimate, ForeignLoad};
use super::{RouterParams, UpstreamInfo, UpstreamLoad};
use crate::breaker::{BreakerState, CircuitBreaker};
use spindle_types::MonotonicInstant;
use std::collections::VecDeque;
use std::time::Duration;

/// Ends of attempts that are remembered to tell our own share of a late report.
const ENDS_MAX: usize = 64;

/// How long an upstream that refused an attempt is avoided while others can be chosen.
const REFUSAL_PENALTY: Duration = Duration::from_millis(250);

/// How much an upstream may be preferred; the lowest present is chosen from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Tier {
    /// It takes work.
    Ready,
    /// It has as much as it should have for now: it is new, has come back, or has just refused.
    Warming,
    /// Its breaker is open.
    Broken,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) info: UpstreamInfo,
    /// Attempts in flight.
    pub(super) running: u32,
    /// When its prefill backlog is expected to be done.
    pub(super) free_at: MonotonicInstant,
    pub(super) foreign: ForeignLoad,
    pub(super) prefill: CorrectionFactor,
    pub(super) decode: CorrectionFactor,
    pub(super) breaker: CircuitBreaker,
    pub(super) cache: EstimatedCache,
    pub(super) loaded: Option<LoadedModel>,
    /// Since when it takes work, for slow start; none if it needs none.
    pub(super) since: Option<MonotonicInstant>,
    /// When it last refused an attempt.
    pub(super) refused: Option<MonotonicInstant>,
    /// Starts and ends of attempts that have ended lately.
    ends: VecDeque<(MonotonicInstant, MonotonicInstant)>,
}

impl Upstream {
    pub(super) fn new(info: UpstreamInfo, since: Option<MonotonicInstant>) -> Self {
        Self {
            info,
            running: 0,
            free_at: MonotonicInstant::default(),
            foreign: ForeignLoad::default(),
            prefill: CorrectionFactor::default(),
            decode: CorrectionFactor::default(),
            breaker: CircuitBreaker::default(),
            cache: EstimatedCache::default(),
            loaded: None,
            since,
            refused: None,
            ends: VecDeque::new(),
        }
    }

    pub(super) fn can_serve(&self, demand: &Demand) -> bool {
        !self.info.leaving && self.loaded.as_ref().is_none_or(|loaded| demand.is_met(loaded))
    }

    pub(super) fn tier(&self, now: MonotonicInstant, params: &RouterParams) -> Tier {
        if matches!(self.breaker.state_at(now), BreakerState::Open { .. }) {
            return Tier::Broken;
        }
        if self.refused.is_some_and(|at| now.since(at) < REFUSAL_PENALTY) {
            return Tier::Warming;
        }
        match self.since {
            Some(since) if self.running >= warm_limit(now.since(since), params) => Tier::Warming,
            _ => Tier::Ready,
        }
    }

    /// Generations expected in the batch now.
    pub(super) fn batch(&self, now: MonotonicInstant) -> f64 {
        f64::from(self.running) + self.foreign.count(now)
    }

    pub(super) fn estimate(
        &self,
        now: MonotonicInstant,
        demand: &Demand,
        params: &RouterParams,
    ) -> Estimate {
        let speed = &params.speed;
        let cached = self.cache.cached_tokens(&demand.blocks).min(demand.prefill_tokens);
        let uncached = demand.prefill_tokens - cached;
        let batch = self.batch(now) + 1.0;
        let prefill = speed.prefill(uncached) * self.prefill.get();
        let step = speed.step(batch) * self.decode.get();
        let mut wait = self.free_at.since(now).as_secs_f64();
        let excess = batch - f64::from(speed.slots);
        if excess > 0.0 {
            wait += excess * step * f64::from(demand.answer_tokens) / f64::from(speed.slots);
        }
        if self.info.data_centre != params.home {
            wait += params.remote_delay.as_secs_f64();
        }
        let decode =
            f64::from(demand.answer_tokens) * speed.step_slope.as_secs_f64() * self.decode.get();
        Estimate {
            first_token: wait + prefill + step,
            token_interval: step,
            uncached,
            cost: self.info.price * (prefill + decode),
        }
    }

    pub(super) fn on_start(
        &mut self,
        now: MonotonicInstant,
        demand: &Demand,
        speed: &EngineSpeed,
        uncached: u32,
    ) {
        self.running += 1;
        self.breaker.on_attempt(now);
        let prefill = speed.prefill(uncached) * self.prefill.get();
        self.free_at = self.free_at.max(now) + Duration::from_secs_f64(prefill);
        self.cache.on_prompt(&demand.blocks);
    }

    pub(super) fn on_end(&mut self, now: MonotonicInstant, started: MonotonicInstant) {
        self.running = self.running.saturating_sub(1);
        if self.ends.len() == ENDS_MAX {
            self.ends.pop_front();
        }
        self.ends.push_back((started, now));
    }

    /// Takes a load report; `own` tells how many of our attempts now in flight had started then.
    pub(super) fn on_report(&mut self, report: UpstreamLoad, own: u32, speed: &EngineSpeed) {
        let UpstreamLoad { taken, running, waiting, queued_tokens, loaded } = report;
        let stale = self.foreign.taken().is_some_and(|newest| newest >= taken);
        if stale {
            return;
        }
        let ended = self.ends.iter().filter(|(start, end)| *start <= taken && taken < *end);
        let own = own + u32::try_from(ended.count()).unwrap_or(u32::MAX);
        self.foreign.observe(taken, running.saturating_add(waiting), own);
        let queued = u32::try_from(queued_tokens).unwrap_or(u32::MAX);
        let backlog = speed.prefill(queued) * self.prefill.get();
        self.free_at = self.free_at.max(taken + Duration::from_secs_f64(backlog));
        self.loaded = loaded;
    }
}

/// How many attempts of ours a warming upstream should have.
fn warm_limit(age: Duration, params: &RouterParams) -> u32 {
    let window = params.slow_start.as_secs_f64();
    if window <= 0.0 || age >= params.slow_start {
        return u32::MAX;
    }
    let share = age.as_secs_f64() / window;
    1 + (share * f64::from(params.speed.slots)) as u32
}
