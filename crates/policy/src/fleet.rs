//! Plans how many on-demand and reclaimable instances of a service each data centre should have.
//!
//! The expected load rises and falls within tens of seconds, while whole data centres lose their
//! reclaimable instances at a few seconds' notice and new ones are refused everywhere for a while.
//! Reclaimable instances cost about a fifth of on-demand ones, so they carry the load and the
//! reserve and are spread evenly. On-demand instances are kept where they are cheapest, and more
//! are ordered while reclaimable ones are refused. The load is measured as the rate of arriving
//! tokens, not as the requests in flight, which grow by themselves when there are too few engines.

use crate::engine_capacity::{EngineCapacity, ResponseCounts, TOKENS_PER_ENGINE};
use spindle_types::{DataCentre, Incarnation, MonotonicInstant};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The window over which the arrival rate is averaged. It covers a few dozen requests, whose sizes
/// differ widely.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// The minimum time since the first arrival before a rate is reported. Close to the window, so that
/// the first seconds of load are not extrapolated.
const RATE_WINDOW_MIN: Duration = Duration::from_millis(3_500);

/// How long a peak of the load determines the number of engines. A wave of the users' load lasts
/// 40 s; scaling down and up again within a wave costs more in late answers than it saves.
const PEAK_MEMORY: Duration = Duration::from_secs(8);

/// The fraction of the needed engines that are on-demand instances.
const ON_DEMAND_SHARE: f64 = 0.25;

/// The fraction of the engines found at the start that is kept until the load is known. A new
/// engine takes as long to start as the load takes to be measured, so too few engines at the start
/// would affect the first ten seconds.
const START_SHARE: f64 = 0.7;

/// The fraction of the needed engines that there are at least while reclaimable ones are refused.
/// Engines are then busy with prompts for four fifths of the time instead of two: on-demand
/// instances cost several times as much, and with fewer engines all would be full within seconds.
const REPLACED_SHARE: f64 = 0.5;

/// How long the number of instances found must not have grown before the first order of on-demand
/// instances. An order names the number of all instances of a kind in a data centre, so it stops
/// those that aren't known yet. Engines that start together register within a heartbeat of 1.2 s.
const LIST_SETTLED_AFTER: Duration = Duration::from_millis(1_200);

/// The delay after a refusal before the same kind of instance is ordered in the data centre again.
const REFUSAL_DELAY: Duration = Duration::from_secs(3);

/// How long after a refusal the plan does without those instances. Longer than the delay before the
/// next order, so that the plan waits for its answer, which takes some 15 ms.
const REFUSAL_MEMORY: Duration = Duration::from_millis(4_500);

/// The delay, in addition to the start-up time, after which an order that has not led to the
/// requested number of instances is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(3);

/// How long after a refusal further data centres are expected to lose their reclaimable instances.
/// Reclaims come in waves, a few seconds apart.
const WAVE_LENGTH: Duration = Duration::from_secs(8);

/// Limits set by the operators, and instance prices.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSpec {
    /// The minimum number of instances in a data centre, both kinds together.
    pub min: u32,
    /// The maximum number of instances in a data centre, both kinds together.
    pub max: u32,
    /// The time from an order until the instance serves requests.
    pub startup_time: Duration,
    /// Whether reclaimable instances may be ordered.
    pub reclaimable: bool,
    /// The price of an instance in each data centre. Only the order of the prices matters.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// The number of instances in a data centre by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InstanceCounts {
    /// Instances that the cloud can't reclaim.
    pub on_demand: u32,
    /// Instances that the cloud can reclaim at short notice.
    pub reclaimable: u32,
}

impl InstanceCounts {
    const fn of(&self, reclaimable: bool) -> u32 {
        if reclaimable { self.reclaimable } else { self.on_demand }
    }

    /// The number of instances of both kinds.
    pub const fn total(&self) -> u32 {
        self.on_demand + self.reclaimable
    }
}

/// An order that sets the number of instances of one kind in one data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// The data centre of the instances.
    pub data_centre: DataCentre,
    /// Whether the order is for reclaimable instances.
    pub reclaimable: bool,
    /// The total number of instances wanted, including those that exist.
    pub count: u32,
}

/// A data centre and a kind of instance; `true` stands for reclaimable ones.
type InstanceKey = (DataCentre, bool);

/// Prompt tokens that arrive at a service, summed over all daemons.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Tokens that arrived at each daemon since its start.
    seen: BTreeMap<Incarnation, u64>,
    total: u64,
    /// When the first arrival was recorded.
    first: Option<MonotonicInstant>,
    /// Total at each update within the window.
    samples: VecDeque<(MonotonicInstant, u64)>,
}

impl Arrivals {
    /// Records the total number of tokens that have arrived at each daemon since its start.
    pub fn on_totals(
        &mut self,
        now: MonotonicInstant,
        totals: impl Iterator<Item = (Incarnation, u64)>,
    ) {
        for (daemon, arrived) in totals {
            // Tokens that arrived before a daemon became known can't be assigned to a time.
            let before = self.seen.insert(daemon, arrived).unwrap_or(arrived);
            self.total += arrived.saturating_sub(before);
        }
        if self.first.is_none() && self.has_arrivals() {
            self.first = Some(now);
        }
        self.samples.push_back((now, self.total));
        while self.samples.get(1).is_some_and(|(at, _)| now.since(*at) >= RATE_WINDOW) {
            self.samples.pop_front();
        }
    }

    /// Whether any token has arrived at any known daemon.
    pub fn has_arrivals(&self) -> bool {
        self.seen.values().any(|arrived| *arrived > 0)
    }

    /// The arrival rate in tokens per second; `None` until `RATE_WINDOW_MIN` after the first
    /// arrival.
    pub fn rate(&self) -> Option<f64> {
        let ((first, before), (last, total)) = (self.samples.front()?, self.samples.back()?);
        if last.since(self.first?) < RATE_WINDOW_MIN {
            return None;
        }
        let span = last.since(*first);
        Some((total - before) as f64 / span.as_secs_f64())
    }
}

/// Plans the instances of one service; used by the daemon that holds the lease.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    /// The largest number of instances found until their list settled.
    found: u32,
    /// When that number last rose.
    grown_at: Option<MonotonicInstant>,
    /// When the first rate was recorded.
    rate_known_since: Option<MonotonicInstant>,
    /// Rates that no later rate exceeds, in descending order.
    peaks: VecDeque<(MonotonicInstant, f64)>,
    /// The time and count of the last order.
    ordered: BTreeMap<InstanceKey, (MonotonicInstant, u32)>,
    /// The time of the last refusal.
    refused: BTreeMap<InstanceKey, MonotonicInstant>,
    /// Engines whose capacity is missing because of limits.
    missing: f64,
    /// What one engine serves in time.
    capacity: EngineCapacity,
}

impl FleetPlanner {
    /// Records the arrival rate, in prompt tokens per second.
    pub fn on_rate(&mut self, now: MonotonicInstant, rate: f64) {
        self.rate_known_since.get_or_insert(now);
        while self.peaks.front().is_some_and(|(at, _)| now.since(*at) > PEAK_MEMORY) {
            self.peaks.pop_front();
        }
        while self.peaks.back().is_some_and(|(_, lower)| *lower <= rate) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, rate));
    }

    /// Records the responses of all daemons while `engines` served the arrival rate.
    pub fn on_responses(
        &mut self,
        now: MonotonicInstant,
        rate: f64,
        engines: u32,
        responses: ResponseCounts,
    ) {
        self.capacity.on_load(now, rate, engines, responses);
    }

    /// Prompt tokens per second that one engine serves in time, as far as it is known.
    pub const fn tokens_per_engine(&self) -> f64 {
        self.capacity.tokens_per_s()
    }

    /// Sets the requests per second that the engines with a limit take, and the mean number of prompt
    /// tokens of a request. What they leave unused has to be replaced.
    pub fn on_limits(&mut self, rates: &[f64], prompt_tokens: f64) {
        let capacity = self.tokens_per_engine();
        let unused = |rate: &f64| (1.0 - rate * prompt_tokens / capacity).max(0.0);
        self.missing = rates.iter().map(unused).sum();
    }

    /// Records that the cloud accepted an order.
    pub fn on_ordered(&mut self, now: MonotonicInstant, order: &CapacityOrder) {
        self.refused.remove(&(order.data_centre.clone(), order.reclaimable));
        self.on_unanswered(now, order);
    }

    /// Records that the answer to an order was lost. The order may still be executed; it is
    /// repeated like one without effect.
    pub fn on_unanswered(&mut self, now: MonotonicInstant, order: &CapacityOrder) {
        let key = (order.data_centre.clone(), order.reclaimable);
        self.ordered.insert(key, (now, order.count));
    }

    /// Records that the cloud refused an order because it has no such instances available.
    pub fn on_refused(&mut self, now: MonotonicInstant, order: &CapacityOrder) {
        self.refused.insert((order.data_centre.clone(), order.reclaimable), now);
    }

    /// The number of engines that the load needs, including those that only make up for limits. Until
    /// the rate has been known for `PEAK_MEMORY`, at least `START_SHARE` of the engines found at the
    /// start is needed.
    pub fn engines_needed(&self, now: MonotonicInstant) -> u32 {
        self.engines_for(now, self.tokens_per_engine())
    }

    /// The number of engines that the load needs if each serves `tokens_per_engine`.
    fn engines_for(&self, now: MonotonicInstant, tokens_per_engine: f64) -> u32 {
        let start = share_of(self.found, START_SHARE);
        let need =
            self.peaks.front().map_or(0.0, |(_, rate)| rate / tokens_per_engine) + self.missing;
        let need = need.ceil() as u32;
        let early = self.rate_known_since.is_none_or(|since| now.since(since) < PEAK_MEMORY);
        need.max(if early { start } else { 1 }).max(1)
    }

    /// Whether the list of instances may still be growing because they have just started. Once the
    /// load is known, instances that are missing have to be ordered whatever the list does.
    pub fn awaits_list(&self, now: MonotonicInstant) -> bool {
        self.rate_known_since.is_none() && !self.is_settled(now)
    }

    fn is_settled(&self, now: MonotonicInstant) -> bool {
        self.grown_at.is_some_and(|at| now.since(at) >= LIST_SETTLED_AFTER)
    }

    /// Records the number of instances that exist now. Once the list has settled, those that were
    /// ordered would count in addition to those that they replace.
    fn on_found(&mut self, now: MonotonicInstant, count: u32) {
        if count > self.found && !self.is_settled(now) {
            self.found = count;
            self.grown_at = Some(now);
        }
    }

    /// Orders that are due, given the instances that exist now.
    pub fn orders(
        &mut self,
        now: MonotonicInstant,
        spec: &FleetSpec,
        stock: &BTreeMap<DataCentre, InstanceCounts>,
    ) -> Vec<CapacityOrder> {
        self.on_found(now, stock.values().map(InstanceCounts::total).sum());
        let need = self.engines_needed(now);
        let wanted = self.wanted(now, spec, stock, need);
        let kept = keep_needed(&wanted, stock, need);
        let awaits_list = self.awaits_list(now);
        let mut orders = Vec::new();
        for (data_centre, wanted) in &kept {
            let present = stock.get(data_centre).copied().unwrap_or_default();
            for reclaimable in [true, false] {
                let (count, found) = (wanted.of(reclaimable), present.of(reclaimable));
                let key = (data_centre.clone(), reclaimable);
                // Instances that aren't listed yet were not ordered, so they are on-demand ones.
                if awaits_list && (!reclaimable || count < found) {
                    continue;
                }
                if self.is_due(now, spec, &key, count, found) {
                    let data_centre = data_centre.clone();
                    orders.push(CapacityOrder { data_centre, reclaimable, count });
                }
            }
        }
        orders
    }

    fn is_due(
        &self,
        now: MonotonicInstant,
        spec: &FleetSpec,
        key: &InstanceKey,
        count: u32,
        found: u32,
    ) -> bool {
        if count > found && self.refused_within(now, key, REFUSAL_DELAY) {
            return false;
        }
        match self.ordered.get(key) {
            Some((at, last)) if *last == count => {
                found != count && now.since(*at) > spec.startup_time + REPEAT_AFTER
            }
            _ => found != count,
        }
    }

    fn refused_within(&self, now: MonotonicInstant, key: &InstanceKey, span: Duration) -> bool {
        self.refused.get(key).is_some_and(|at| now.since(*at) < span)
    }

    /// The target number of instances in each data centre. Existing instances matter only where new
    /// ones are refused.
    fn wanted(
        &self,
        now: MonotonicInstant,
        spec: &FleetSpec,
        stock: &BTreeMap<DataCentre, InstanceCounts>,
        need: u32,
    ) -> BTreeMap<DataCentre, InstanceCounts> {
        let cheapest = by_price(spec);
        let mut wanted: BTreeMap<DataCentre, InstanceCounts> =
            cheapest.iter().map(|centre| (centre.clone(), InstanceCounts::default())).collect();
        let on_demand = if spec.reclaimable { share_of(need, ON_DEMAND_SHARE) } else { need };
        add_on_demand(&mut wanted, &cheapest, on_demand, &BTreeMap::new(), spec.max);
        if spec.reclaimable {
            // If one data centre loses all its reclaimable instances, the rest must carry the load.
            let remaining = u32::try_from(cheapest.len().saturating_sub(1)).unwrap_or(u32::MAX);
            // They are cheap enough to be ordered by the prior, whatever has been learnt.
            let reserve = need.max(self.engines_for(now, TOKENS_PER_ENGINE));
            let per_data_centre = reserve.saturating_sub(on_demand).div_ceil(remaining.max(1));
            for counts in wanted.values_mut() {
                counts.reclaimable = per_data_centre.min(spec.max - counts.on_demand);
            }
        }
        for counts in wanted.values_mut().filter(|counts| counts.total() < spec.min) {
            let missing = spec.min - counts.total();
            *(if spec.reclaimable { &mut counts.reclaimable } else { &mut counts.on_demand }) +=
                missing;
        }
        let expected = self.expected_reclaimable(now, stock, &wanted);
        let missing = |wanted: &_, need: u32| {
            need.saturating_sub(self.expected_instances(now, wanted, &expected))
                .min(need.saturating_sub(on_demand))
        };
        let (replaced, all) = (missing(&wanted, need), reclaimable_counts(&wanted));
        add_on_demand(&mut wanted, &cheapest, replaced, &all, spec.max);
        // Refused reclaimable instances leave their room to those without which engines would be full.
        let urgent = missing(&wanted, share_of(need, REPLACED_SHARE));
        add_on_demand(&mut wanted, &cheapest, urgent, &expected, spec.max);
        wanted
    }

    /// The reclaimable instances that will be there in each data centre. Those that are refused will
    /// not start.
    fn expected_reclaimable(
        &self,
        now: MonotonicInstant,
        stock: &BTreeMap<DataCentre, InstanceCounts>,
        wanted: &BTreeMap<DataCentre, InstanceCounts>,
    ) -> BTreeMap<DataCentre, u32> {
        let expected = wanted.iter().map(|(centre, wanted)| {
            let present = stock.get(centre).map_or(0, |stock| stock.reclaimable);
            let refused = self.refused_within(now, &(centre.clone(), true), REFUSAL_MEMORY);
            let count = if refused { present.min(wanted.reclaimable) } else { wanted.reclaimable };
            (centre.clone(), count)
        });
        expected.collect()
    }

    /// The number of wanted instances that can be counted on. During a wave of reclaims one more
    /// data centre is expected to lose its reclaimable ones.
    fn expected_instances(
        &self,
        now: MonotonicInstant,
        wanted: &BTreeMap<DataCentre, InstanceCounts>,
        reclaimable: &BTreeMap<DataCentre, u32>,
    ) -> u32 {
        let wave = self
            .refused
            .iter()
            .any(|((_, reclaimable), at)| *reclaimable && now.since(*at) < WAVE_LENGTH);
        let largest = reclaimable.values().max().copied().unwrap_or_default();
        let next_loss = if wave { largest } else { 0 };
        let on_demand: u32 = wanted.values().map(|counts| counts.on_demand).sum();
        on_demand + reclaimable.values().sum::<u32>() - next_loss
    }
}

fn reclaimable_counts(wanted: &BTreeMap<DataCentre, InstanceCounts>) -> BTreeMap<DataCentre, u32> {
    wanted.iter().map(|(centre, counts)| (centre.clone(), counts.reclaimable)).collect()
}

/// A fraction of a count, rounded up.
fn share_of(count: u32, share: f64) -> u32 {
    (f64::from(count) * share).ceil() as u32
}

/// Data centres by ascending price.
fn by_price(spec: &FleetSpec) -> Vec<DataCentre> {
    let mut centres: Vec<_> = spec.prices.iter().collect();
    centres.sort_by(|a, b| a.1.total_cmp(b.1));
    centres.into_iter().map(|(centre, _)| centre.clone()).collect()
}

/// Adds `count` on-demand instances, one in each data centre in turn, up to `max` in each together
/// with the reclaimable ones given.
fn add_on_demand(
    wanted: &mut BTreeMap<DataCentre, InstanceCounts>,
    order: &[DataCentre],
    mut count: u32,
    reclaimable: &BTreeMap<DataCentre, u32>,
    max: u32,
) {
    while count > 0 {
        let before = count;
        for centre in order {
            let taken = reclaimable.get(centre).copied().unwrap_or_default();
            let room = wanted.get_mut(centre).filter(|counts| counts.on_demand + taken < max);
            if let Some(counts) = room.filter(|_| count > 0) {
                counts.on_demand += 1;
                count -= 1;
            }
        }
        if count == before {
            return;
        }
    }
}

/// Raises the targets so that no instance is removed that the load needs until its replacement
/// exists.
fn keep_needed(
    wanted: &BTreeMap<DataCentre, InstanceCounts>,
    stock: &BTreeMap<DataCentre, InstanceCounts>,
    need: u32,
) -> BTreeMap<DataCentre, InstanceCounts> {
    let present: u32 = stock.values().map(InstanceCounts::total).sum();
    let mut spare = present.saturating_sub(need);
    let mut kept = wanted.clone();
    for (centre, found) in stock {
        let Some(target) = kept.get_mut(centre) else { continue };
        for (found, target) in
            [(found.on_demand, &mut target.on_demand), (found.reclaimable, &mut target.reclaimable)]
        {
            let cut = found.saturating_sub(*target);
            let allowed = cut.min(spare);
            spare -= allowed;
            *target += cut - allowed;
        }
    }
    kept
}

#[cfg(test)]
mod tests;
