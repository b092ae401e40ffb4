//! What an instance can carry within a latency target, and what a pool needs.

use spindle_types::config::LatencyTarget;
use spindle_types::intent::{EngineProfile, ModelDemand, ModelIntent, ServiceIntent};
use spindle_types::{MachineClass, Share, Span};
use std::time::Duration;

/// The standard normal quantile of 95 in 100.
const QUANTILE_95: f64 = 1.645;

/// The load of a pool, in requests a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The mean at the peak.
    pub rate: f64,
    /// The mean number of requests in progress at that rate.
    pub concurrency: f64,
}

impl Load {
    /// The load of a model.
    pub fn of_model(model: &ModelIntent) -> Self {
        let demand = model.demand;
        let interval = model.spec.target.token_interval.get().as_secs_f64();
        let rate = demand.requests;
        Self { rate, concurrency: rate * f64::from(demand.answer_tokens) * interval }
    }

    /// The load of a plain service, whose calls are counted by the second.
    pub const fn of_service(service: &ServiceIntent) -> Self {
        Self { rate: service.calls, concurrency: service.calls }
    }

    /// The capacity that 95 of 100 moments of the peak stay within. Requests in progress are
    /// Poisson distributed, whatever their lengths (M/G/∞).
    pub fn required_capacity(&self) -> f64 {
        self.rate * (1.0 + QUANTILE_95 / self.concurrency.max(1.0).sqrt())
    }

    /// The share of moments of the peak that stay within a capacity.
    pub fn attainment(&self, capacity: f64) -> Share {
        let spare = capacity / self.rate - 1.0;
        let share = normal(spare * self.concurrency.max(1.0).sqrt());
        // Four digits are all that is shown.
        let rounded = (share.clamp(0.0, 1.0) * 10_000.0).round() / 10_000.0;
        Share::try_from(rounded).unwrap_or_default()
    }
}

/// The distribution function of the standard normal distribution (Abramowitz and Stegun 26.2.17,
/// absolute error below 1e-7).
fn normal(x: f64) -> f64 {
    const COEFFICIENTS: [f64; 5] =
        [0.319_381_530, -0.356_563_782, 1.781_477_937, -1.821_255_978, 1.330_274_429];
    let t = 1.0 / (1.0 + 0.231_641_9 * x.abs());
    let sum = COEFFICIENTS.iter().rev().fold(0.0, |sum, c| (sum + c) * t);
    let density = (-x * x / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt();
    let tail = density * sum;
    if x >= 0.0 { 1.0 - tail } else { tail }
}

/// The requests a second that an engine carries within a latency target; none if it can't meet the
/// target even alone.
pub fn engine_rate(
    profile: &EngineProfile,
    target: &LatencyTarget,
    demand: &ModelDemand,
) -> Option<f64> {
    let best = best_latency(profile, demand);
    if best.first_token > target.first_token || best.token_interval > target.token_interval {
        return None;
    }
    let batch = (1..=profile.slots).rev().find(|batch| {
        let prefill = prefill_time(profile, demand);
        let step = step(profile, *batch);
        step <= target.token_interval.get() && prefill + step <= target.first_token.get()
    })?;
    let decode = step(profile, batch).as_secs_f64() * f64::from(demand.answer_tokens);
    Some(f64::from(batch) / (prefill_time(profile, demand).as_secs_f64() + decode))
}

/// The latency of an engine that runs a single generation.
pub fn best_latency(profile: &EngineProfile, demand: &ModelDemand) -> LatencyTarget {
    let step = step(profile, 1);
    let first_token = prefill_time(profile, demand) + step;
    LatencyTarget { first_token: whole_millis(first_token), token_interval: whole_millis(step) }
}

/// The nearest latency that some machine class meets.
pub fn nearest_target(model: &ModelIntent) -> Option<(MachineClass, LatencyTarget)> {
    let latencies =
        model.engines.iter().map(|(class, p)| (class.clone(), best_latency(p, &model.demand)));
    let target = model.spec.target;
    let nearest = latencies.min_by_key(|(_, best)| {
        let over = |best: Span, wanted: Span| best.get().saturating_sub(wanted.get());
        over(best.first_token, target.first_token)
            + over(best.token_interval, target.token_interval)
    });
    nearest.map(|(class, best)| {
        let first_token = best.first_token.max(target.first_token);
        let token_interval = best.token_interval.max(target.token_interval);
        (class, LatencyTarget { first_token, token_interval })
    })
}

fn step(profile: &EngineProfile, batch: u32) -> Duration {
    profile.step_base.get() + profile.step_slope.get() * batch
}

fn prefill_time(profile: &EngineProfile, demand: &ModelDemand) -> Duration {
    Duration::from_secs_f64(f64::from(demand.prompt_tokens) / profile.prefill_rate)
}

fn whole_millis(span: Duration) -> Span {
    Span::from_millis(u64::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX))
}
