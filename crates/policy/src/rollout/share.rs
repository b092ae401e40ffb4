//! Which requests and which upstreams take part in a trial.

use super::{DECISION_LEAD, FleetView, RolloutBounds, RolloutOrder, RolloutStep, TrialPhase};
use spindle_types::{Instance, RequestId};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The draw of a request in 0..1, which is the same at each daemon and attempt.
pub fn request_draw(id: RequestId) -> f64 {
    // 53 bits are what a double holds exactly.
    (xxh3_64(&id.0.to_le_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
}

/// The preference for a target upstream in a trial (rendezvous hashing); the highest first.
pub fn trial_rank(order: &RolloutOrder, instance: &Instance) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), xxh3_64(order.target.as_str().as_bytes()))
}

/// The target upstreams that may be used under a step, out of all that are registered. Daemons that
/// know the same upstreams choose the same.
pub fn trial_upstreams<'a>(
    step: &RolloutStep,
    instances: impl IntoIterator<Item = &'a Instance>,
) -> Vec<&'a Instance> {
    let mut ranked: Vec<_> = instances.into_iter().collect();
    ranked.sort_by_key(|instance| Reverse((trial_rank(&step.order, instance), *instance)));
    if step.phase == TrialPhase::SecondPulse && ranked.len() > 1 {
        ranked.rotate_left(1);
    }
    ranked.truncate(usize::try_from(step.upstreams).unwrap_or(usize::MAX));
    ranked
}

/// The fraction of the allowed exposure that is used. The rest covers errors of the expected number
/// of requests and a switch that is early by half an interval of `next_step`. With 0.92, 3 of 104
/// plays with a sound version exceeded the exposure before the deadline, by 3% with a dead holder.
const USABLE_SHARE: f64 = 0.88;

/// Largest fraction of the allowed exposure that the trial uses.
const TRIAL_SHARE_MAX: f64 = 0.5;

/// Fraction of the allowed exposure that the trial uses at least, up to [`ROUTE_ANSWERS_AIM`].
const TRIAL_SHARE_MIN: f64 = 0.34;

/// The same for a trial with loaded upstreams. With 0.42, sound versions reached 1.01 to 1.05 of the
/// allowed exposure in the plays.
const LOADED_TRIAL_SHARE_MIN: f64 = 0.4;

/// Number of trial requests of a route beyond which more don't improve the verdict: twice the
/// number for which the error rates are designed.
const ROUTE_ANSWERS_AIM: f64 = 80.0;

/// Largest fraction of a route's requests in a trial. Routes with few requests get no more.
const ROUTE_SHARE_MAX: f64 = 0.5;

/// Smallest number of target upstreams in the first half of a trial, where that many exist: one
/// that fails by itself is told from a bad version.
const TRIAL_UPSTREAMS_MIN: u32 = 4;

/// Part of the trial's requests that is kept for the loaded upstreams.
const LOADED_PART: f64 = 0.5;

/// The same where the loaded upstreams can be brought to as many requests as their slots hold. The rest is
/// enough to find a version that is bad without load.
const FULL_PART_MAX: f64 = 0.9;

/// Number of upstreams whose normal load a trial must reach; otherwise it has pulses.
const PULSE_UPSTREAMS: f64 = 2.0;

/// Length of a pulse. With 250 ms, daemons that learn of it up to 350 ms late never sent at the same
/// time, and 13 of 20 versions that were bad under load passed.
pub(super) const PULSE: Duration = Duration::from_millis(500);

/// Time between two pulses.
pub(super) const PULSE_PAUSE: Duration = Duration::from_millis(500);

/// Time by which daemons stop a pulse late, as budgeted.
const PULSE_OVERRUN: Duration = Duration::from_millis(300);

/// Part of a switch's lead for its propagation to all daemons.
const SPREAD: f64 = 0.3;

/// Multiple of a route's mean duration after which most of its requests have ended.
const DURATION_FACTOR: f64 = 1.5;

/// Longest time for which a route's old requests are waited for, in seconds.
const NEED_MAX_S: f64 = 4.0;

/// Number of upstreams that are loaded at the same time in a trial without pulses. The verdict leaves
/// the worst upstream out, so one is too few.
const LOADED_UPSTREAMS: u32 = 2;

/// Number of standard deviations of the requests in flight (Poisson) by which an old upstream at its
/// busiest exceeds the mean. Three cover all but 1 in 700 moments.
const PEAK_DEVIATIONS: f64 = 3.0;

/// Multiple of the load of an old upstream at its busiest that loaded upstreams are sent. Requests
/// that fail end sooner, so a bad upstream keeps fewer in flight than a sound one.
const LOADED_FACTOR: f64 = 1.5;

/// Time in which steps arrive at all daemons, and in which loaded upstreams show what they do, beyond
/// the duration of a request, in seconds.
const LOADED_MIN_S: f64 = 0.8;

/// The part of a trial in which [`LOADED_UPSTREAMS`] have as many requests in flight as an old upstream
/// has at its busiest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Loaded {
    /// Number of trial requests that are kept for it.
    pub(super) requests: f64,
    /// Trial requests per second.
    pub(super) rate: f64,
    /// How long before the last useful evidence it begins, in seconds.
    pub(super) ahead_s: f64,
    /// Requests in flight at the loaded upstreams that a sound version has to show; 0 if the trial has too
    /// few requests to fill their slots.
    pub(super) in_flight: f64,
}

impl Loaded {
    /// The number of upstreams for `rate` requests per second at the same load.
    pub(super) fn upstreams(&self, rate: f64) -> u32 {
        let size = f64::from(LOADED_UPSTREAMS) * rate / self.rate;
        (size as u32).max(LOADED_UPSTREAMS)
    }

    /// `trial` is the number of trial requests, `per_old` the largest number of requests in flight
    /// that an old upstream had on average. `slots` are those of a target upstream, and `means` the
    /// mean durations of the routes' requests.
    fn new(
        trial: f64,
        (per_old, slots): (f64, u32),
        rates: &BTreeMap<String, f64>,
        means: &BTreeMap<String, f64>,
    ) -> Option<Self> {
        let requests = trial * LOADED_PART;
        let shares = equal_shares(1.0, rates);
        let mean: f64 =
            shares.iter().map(|(route, share)| rates[route] * share * means[route]).sum();
        if !(mean > 0.0 && per_old > 0.0 && requests > 0.0) {
            return None;
        }
        let longest = means.values().copied().fold(0.0, f64::max).min(NEED_MAX_S);
        let peak = per_old + PEAK_DEVIATIONS * per_old.sqrt();
        // Queues beyond those of the old version would make a sound one look slow.
        let full = per_old.max(f64::from(slots));
        let span = longest + LOADED_MIN_S;
        let full_rate = f64::from(LOADED_UPSTREAMS) * full / mean;
        if slots > 0 && full_rate * span <= trial * FULL_PART_MAX {
            let requests = (full_rate * span).max(requests);
            let ahead_s = requests / full_rate + longest / 2.0 + SPREAD;
            return Some(Self { requests, rate: full_rate, ahead_s, in_flight: full_rate * mean });
        }
        let level = (peak * LOADED_FACTOR).min(full);
        let rate = (f64::from(LOADED_UPSTREAMS) * level / mean).min(requests / span);
        let ahead_s = requests / rate + longest / 2.0 + SPREAD;
        Some(Self { requests, rate, ahead_s, in_flight: 0.0 })
    }
}

/// How a rollout spends the exposure that it is allowed. Rates are requests per second, times are
/// seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Budget {
    /// Number of requests that the target may get before the deadline.
    pub(super) usable: f64,
    /// Number of them for the trial.
    pub(super) trial: f64,
    /// Requests per second to all versions.
    pub(super) rate: f64,
    /// The share of a pulse; none if the trial needs no pulses.
    pub(super) pulse_share: Option<f64>,
    /// The part with loaded upstreams; none if the trial has pulses, or nothing is in flight.
    pub(super) loaded: Option<Loaded>,
    /// Time from the completion for which each route's old requests last.
    needs: BTreeMap<String, f64>,
}

impl Budget {
    /// `per_old` is the largest number of requests in flight that an old upstream had on average.
    pub(super) fn new(
        bounds: &RolloutBounds,
        order: &RolloutOrder,
        view: &FleetView,
        per_old: f64,
    ) -> Self {
        let (duration, old) = (order.duration, view.versions.others(&order.target));
        let rate: f64 = view.route_rates.values().sum();
        let allowed = bounds.share * rate * duration.as_secs_f64() + bounds.slack;
        let usable = allowed * USABLE_SHARE;
        let mean = |(route, rate): (&String, &f64)| {
            let in_flight = view.old_in_flight.get(route).copied().map_or(0.0, f64::from);
            // The mean duration follows from Little's law.
            (route.clone(), if *rate > 0.0 { in_flight / rate } else { 0.0 })
        };
        let means: BTreeMap<_, _> = view.route_rates.iter().map(mean).collect();
        let need = |(route, mean): (&String, &f64)| {
            (route.clone(), (mean * DURATION_FACTOR).min(NEED_MAX_S) + SPREAD)
        };
        let needs: BTreeMap<_, _> = means.iter().map(need).collect();
        let lead = DECISION_LEAD.as_secs_f64();
        let cost = |(route, need): (&String, &f64)| view.route_rates[route] * (need + lead);
        let switch: f64 = needs.iter().map(cost).sum();
        let aim = ROUTE_ANSWERS_AIM * needs.len() as f64;
        let pulse_share = pulse_share(aim, rate, duration, old);
        let mut budget = Self { usable, trial: 0.0, rate, needs, pulse_share, loaded: None };
        let is_loaded = budget.pulse_share.is_none();
        let share = if is_loaded { LOADED_TRIAL_SHARE_MIN } else { TRIAL_SHARE_MIN };
        let least = (allowed * share).min(aim + budget.pulses_ahead(TrialPhase::Spread));
        budget.trial = (usable - switch).max(least).min(allowed * TRIAL_SHARE_MAX);
        if budget.pulse_share.is_none() {
            let load = (per_old, view.versions.slots(&order.target));
            budget.loaded = Loaded::new(budget.trial, load, &view.route_rates, &means);
        }
        budget
    }

    /// Number of requests of the pulses that are to come.
    pub(super) fn pulses_ahead(&self, phase: TrialPhase) -> f64 {
        let count = match phase {
            TrialPhase::Spread => 2.0,
            TrialPhase::FirstPulse | TrialPhase::Pause => 1.0,
            TrialPhase::SecondPulse | TrialPhase::Rest => 0.0,
        };
        let each = self.pulse_share.unwrap_or_default() * self.rate;
        count * each * (PULSE + PULSE_OVERRUN).as_secs_f64()
    }

    /// How long before the deadline each route switches, if `used` requests have been sent to the
    /// target by then. All requests from the first switch to the deadline fit into the rest.
    pub(super) fn leads(&self, used: f64, rates: &BTreeMap<String, f64>) -> BTreeMap<String, f64> {
        let base = DECISION_LEAD.as_secs_f64();
        let rest = (self.usable - used).max(0.0);
        let wanted: f64 = self.needs.iter().map(|(route, need)| rates[route] * need).sum();
        let spare = (rest - self.rate * base).max(0.0);
        let part = if wanted > 0.0 { (spare / wanted).min(1.0) } else { 1.0 };
        let lead = |(route, need): (&String, &f64)| (route.clone(), base + need * part);
        self.needs.iter().map(lead).collect()
    }
}

/// The share that brings one upstream to the load of an old one, if the trial's requests, spread
/// over the shortest time that a trial lasts, are too few for that.
fn pulse_share(trial: f64, rate: f64, duration: Duration, old: u32) -> Option<f64> {
    let old = f64::from(old.max(1));
    let is_few = trial / (rate * duration.as_secs_f64() / 2.0) * old < PULSE_UPSTREAMS;
    (rate > 0.0 && is_few).then(|| (1.0 / old).min(ROUTE_SHARE_MAX))
}

/// The shares that send `total` trial requests per second to the target, about equally many from
/// each route.
pub(super) fn equal_shares(total: f64, rates: &BTreeMap<String, f64>) -> BTreeMap<String, f64> {
    let mut routes: Vec<_> = rates.iter().filter(|(_, rate)| **rate > 0.0).collect();
    routes.sort_by(|a, b| a.1.total_cmp(b.1));
    let mut rest = total.max(0.0);
    let mut shares = BTreeMap::new();
    // Routes with few requests come first; what they can't give is taken from the others.
    for (index, (route, rate)) in routes.iter().enumerate() {
        let part = rest / (routes.len() - index) as f64;
        let share = (part / **rate).min(ROUTE_SHARE_MAX);
        rest -= share * **rate;
        shares.insert((*route).clone(), share);
    }
    shares
}

/// The number of target upstreams that `trial` requests per second would need at the load of the
/// old ones, in the first or the second half of a trial.
pub(super) fn trial_size(trial: f64, rate: f64, old: u32, is_second_half: bool) -> u32 {
    let size = if rate > 0.0 { (trial / rate * f64::from(old)).ceil() } else { 0.0 };
    let least = if is_second_half { LOADED_UPSTREAMS } else { TRIAL_UPSTREAMS_MIN };
    (size as u32).max(least)
}
