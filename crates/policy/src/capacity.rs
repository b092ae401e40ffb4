//! The capacity of an instance within a latency target, and the capacity that a pool requires.

use spindle_types::config::LatencyTarget;
use spindle_types::intent::{EngineProfile, ModelDemand, ModelIntent, ServiceIntent};
use spindle_types::{MachineClass, Share, Span};
use std::time::Duration;

/// The 95% quantile of the standard normal distribution.
const QUANTILE_95: f64 = 1.645;

/// The load of a pool at its peak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The mean rate in requests per second.
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

    /// The load of a plain service. Its mean concurrency is taken to equal its calls per second.
    pub const fn of_service(service: &ServiceIntent) -> Self {
        Self { rate: service.calls, concurrency: service.calls }
    }

    /// The capacity, in requests per second, that is sufficient 95% of the time at the peak. The
    /// number of requests in progress follows a Poisson distribution whatever their lengths
    /// (M/G/∞), which is approximated by a normal distribution.
    pub fn required_capacity(&self) -> f64 {
        self.rate * (1.0 + QUANTILE_95 / self.concurrency.max(1.0).sqrt())
    }

    /// The fraction of time at the peak for which a capacity in requests per second is sufficient.
    pub fn attainment(&self, capacity: f64) -> Share {
        let spare = capacity / self.rate - 1.0;
        let share = normal_cdf(spare * self.concurrency.max(1.0).sqrt());
        // Only four decimal places are displayed.
        let rounded = (share.clamp(0.0, 1.0) * 10_000.0).round() / 10_000.0;
        Share::try_from(rounded).unwrap_or_default()
    }
}

/// The cumulative distribution function of the standard normal distribution (Abramowitz and Stegun
/// 26.2.17, absolute error below 1e-7).
fn normal_cdf(x: f64) -> f64 {
    const COEFFICIENTS: [f64; 5] =
        [0.319_381_530, -0.356_563_782, 1.781_477_937, -1.821_255_978, 1.330_274_429];
    let t = 1.0 / (1.0 + 0.231_641_9 * x.abs());
    let sum = COEFFICIENTS.iter().rev().fold(0.0, |sum, c| (sum + c) * t);
    let density = (-x * x / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt();
    let tail = density * sum;
    if x >= 0.0 { 1.0 - tail } else { tail }
}

/// The requests per second that an engine serves within a latency target. `None` if the engine
/// can't meet the target even for a single request.
pub fn engine_rate(
    profile: &EngineProfile,
    target: &LatencyTarget,
    demand: &ModelDemand,
) -> Option<f64> {
    let min = min_latency(profile, demand);
    if min.first_token > target.first_token || min.token_interval > target.token_interval {
        return None;
    }
    let batch = (1..=profile.slots).rev().find(|batch| {
        let prefill = prefill_time(profile, demand);
        let step = step_time(profile, *batch);
        step <= target.token_interval.get() && prefill + step <= target.first_token.get()
    })?;
    let decode = step_time(profile, batch).as_secs_f64() * f64::from(demand.answer_tokens);
    Some(f64::from(batch) / (prefill_time(profile, demand).as_secs_f64() + decode))
}

/// The latency of an engine that runs a single generation, rounded up to whole milliseconds.
pub fn min_latency(profile: &EngineProfile, demand: &ModelDemand) -> LatencyTarget {
    let step = step_time(profile, 1);
    let first_token = prefill_time(profile, demand) + step;
    LatencyTarget {
        first_token: round_up_to_millis(first_token),
        token_interval: round_up_to_millis(step),
    }
}

/// The machine class that comes closest to a model's latency target, and the closest target that
/// the class meets. Closest means the smallest sum of the excess over both parts of the target.
pub fn nearest_target(model: &ModelIntent) -> Option<(MachineClass, LatencyTarget)> {
    let latencies =
        model.engines.iter().map(|(class, p)| (class.clone(), min_latency(p, &model.demand)));
    let target = model.spec.target;
    let nearest = latencies.min_by_key(|(_, best)| {
        let excess = |best: Span, wanted: Span| best.get().saturating_sub(wanted.get());
        excess(best.first_token, target.first_token)
            + excess(best.token_interval, target.token_interval)
    });
    nearest.map(|(class, best)| {
        let first_token = best.first_token.max(target.first_token);
        let token_interval = best.token_interval.max(target.token_interval);
        (class, LatencyTarget { first_token, token_interval })
    })
}

/// The time of one decoding step with a number of generations in the batch.
fn step_time(profile: &EngineProfile, batch: u32) -> Duration {
    profile.step_base.get() + profile.step_slope.get() * batch
}

fn prefill_time(profile: &EngineProfile, demand: &ModelDemand) -> Duration {
    Duration::from_secs_f64(f64::from(demand.prompt_tokens) / profile.prefill_rate)
}

fn round_up_to_millis(span: Duration) -> Span {
    Span::from_millis(u64::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX))
}
