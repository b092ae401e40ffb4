//! State that the router keeps for one upstream.

use super::cache::EstimatedCache;
use super::demand::{Demand, LoadedModel};
use super::estimate::{CorrectionFactor, EngineSpeed, Estimate, ForeignLoad};
use super::{RouterParams, UpstreamInfo, UpstreamLoad};
use crate::breaker::{BreakerState, CircuitBreaker};
use spindle_types::MonotonicInstant;
use std::collections::VecDeque;
use std::time::Duration;

/// The maximum number of ended attempts that are remembered. They tell how many generations of a
/// late load report belong to this daemon.
const RECENT_ATTEMPTS_MAX: usize = 64;

/// How long an upstream that rejected an attempt is avoided while others are available.
const REFUSAL_PENALTY: Duration = Duration::from_millis(250);

/// The preference class of an upstream. Only upstreams in the lowest class present are candidates.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Tier {
    /// The upstream accepts attempts without a limit.
    Ready,
    /// The upstream has reached its slow-start limit or has just rejected an attempt.
    Limited,
    /// The circuit breaker of the upstream is open.
    BreakerOpen,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) info: UpstreamInfo,
    /// Attempts of this daemon in flight.
    pub(super) running: u32,
    /// When the prefill backlog is expected to be finished.
    pub(super) prefill_done_at: MonotonicInstant,
    /// The load of other daemons.
    pub(super) foreign_load: ForeignLoad,
    /// The correction of the prefill time, from observed times to the first token.
    pub(super) prefill_correction: CorrectionFactor,
    /// The correction of the decoding step time, from observed token intervals.
    pub(super) decode_correction: CorrectionFactor,
    pub(super) breaker: CircuitBreaker,
    pub(super) cache: EstimatedCache,
    pub(super) loaded: Option<LoadedModel>,
    /// The start of the slow-start period; `None` if there is none.
    pub(super) slow_start_since: Option<MonotonicInstant>,
    /// When the upstream last rejected an attempt.
    pub(super) refused_at: Option<MonotonicInstant>,
    /// The start and end times of the most recently ended attempts.
    recent_attempts: VecDeque<(MonotonicInstant, MonotonicInstant)>,
}

impl Upstream {
    pub(super) fn new(info: UpstreamInfo, since: Option<MonotonicInstant>) -> Self {
        Self {
            info,
            running: 0,
            prefill_done_at: MonotonicInstant::default(),
            foreign_load: ForeignLoad::default(),
            prefill_correction: CorrectionFactor::default(),
            decode_correction: CorrectionFactor::default(),
            breaker: CircuitBreaker::default(),
            cache: EstimatedCache::default(),
            loaded: None,
            slow_start_since: since,
            refused_at: None,
            recent_attempts: VecDeque::new(),
        }
    }

    pub(super) fn can_serve(&self, demand: &Demand) -> bool {
        !self.info.leaving && self.loaded.as_ref().is_none_or(|loaded| demand.is_met_by(loaded))
    }

    pub(super) fn tier(&self, now: MonotonicInstant, params: &RouterParams) -> Tier {
        if matches!(self.breaker.state_at(now), BreakerState::Open { .. }) {
            return Tier::BreakerOpen;
        }
        if self.refused_at.is_some_and(|at| now.since(at) < REFUSAL_PENALTY) {
            return Tier::Limited;
        }
        match self.slow_start_since {
            Some(since) if self.running >= slow_start_limit(now.since(since), params) => {
                Tier::Limited
            }
            _ => Tier::Ready,
        }
    }

    /// The expected number of generations in the batch at `now`.
    pub(super) fn batch(&self, now: MonotonicInstant) -> f64 {
        f64::from(self.running) + self.foreign_load.expected_count(now)
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
        let prefill = speed.prefill(uncached) * self.prefill_correction.get();
        let step = speed.step(batch) * self.decode_correction.get();
        let mut wait = self.prefill_done_at.since(now).as_secs_f64();
        let excess = batch - f64::from(speed.slots);
        if excess > 0.0 {
            wait += excess * step * f64::from(demand.answer_tokens) / f64::from(speed.slots);
        }
        if self.info.data_centre != params.home {
            wait += params.remote_delay.as_secs_f64();
        }
        let decode = f64::from(demand.answer_tokens)
            * speed.step_slope.as_secs_f64()
            * self.decode_correction.get();
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
        let prefill = speed.prefill(uncached) * self.prefill_correction.get();
        self.prefill_done_at = self.prefill_done_at.max(now) + Duration::from_secs_f64(prefill);
        self.cache.on_prompt(&demand.blocks);
    }

    pub(super) fn on_end(&mut self, now: MonotonicInstant, started: MonotonicInstant) {
        self.running = self.running.saturating_sub(1);
        if self.recent_attempts.len() == RECENT_ATTEMPTS_MAX {
            self.recent_attempts.pop_front();
        }
        self.recent_attempts.push_back((started, now));
    }

    /// Records a load report. `own` is the number of attempts of this daemon that are in flight now
    /// and had started by the time of the report.
    pub(super) fn on_report(&mut self, report: UpstreamLoad, own: u32, speed: &EngineSpeed) {
        let UpstreamLoad { taken, running, waiting, queued_tokens, loaded } = report;
        let stale = self.foreign_load.taken().is_some_and(|newest| newest >= taken);
        if stale {
            return;
        }
        let ended =
            self.recent_attempts.iter().filter(|(start, end)| *start <= taken && taken < *end);
        let own = own + u32::try_from(ended.count()).unwrap_or(u32::MAX);
        self.foreign_load.observe(taken, running.saturating_add(waiting), own);
        let queued = u32::try_from(queued_tokens).unwrap_or(u32::MAX);
        let backlog = speed.prefill(queued) * self.prefill_correction.get();
        self.prefill_done_at = self.prefill_done_at.max(taken + Duration::from_secs_f64(backlog));
        self.loaded = loaded;
    }
}

/// The maximum number of attempts of this daemon in flight at an upstream in its slow-start period.
fn slow_start_limit(age: Duration, params: &RouterParams) -> u32 {
    let window = params.slow_start.as_secs_f64();
    if window <= 0.0 || age >= params.slow_start {
        return u32::MAX;
    }
    let share = age.as_secs_f64() / window;
    1 + (share * f64::from(params.speed.slots)) as u32
}
