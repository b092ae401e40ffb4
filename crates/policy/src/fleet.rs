//! How many instances of a service are wanted in each data centre, of which kind.
//!
//! Load: requests that rise and fall within tens of seconds, while whole data centres lose their
//! reclaimable instances with seconds of notice and new ones are refused everywhere for a while.
//! Reclaimable instances cost about a fifth, so they carry the load and the reserve, spread evenly;
//! the others are kept where they are cheapest, and more of them come while the reclaimable ones
//! are refused. The load is what arrives, not what is in flight: that grows by itself when too few
//! engines are there.

use spindle_types::{DataCentre, Incarnation, MonotonicInstant};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Prompt tokens a second that an engine gets. Both sites' engines read 64,200 a second; at two
/// fifths of that, prompts wait little and the streams beside them keep their pace.
const TOKENS_PER_ENGINE: f64 = 26_000.0;

/// The time over which arrivals are averaged: a few dozen requests of very different sizes.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// The time of arrivals without which a rate is not known. As the window: the first seconds are
/// not taken for the whole.
const RATE_WINDOW_MIN: Duration = Duration::from_millis(3_500);

/// The time for which a peak of the load counts. A wave of the users' load lasts 40 s; going down
/// and up again within a part of one costs more in late answers than it saves.
const PEAK_MEMORY: Duration = Duration::from_secs(8);

/// The part of the engines needed that must not be reclaimable.
const ON_DEMAND_SHARE: f64 = 0.25;

/// The part of the engines found that is taken to be needed before the first request tells the
/// load. A new one needs as long to start as the load needs to be known, so too few at the start
/// cost the first ten seconds.
const START_SHARE: f64 = 0.7;

/// The time after a refusal before instances of a kind are asked for in a data centre again.
const REFUSED_FOR: Duration = Duration::from_secs(3);

/// The time after a refusal in which the plan goes on without those instances. Longer than until they
/// are asked for again, so that the plan waits for that answer; an order is answered in some 15 ms.
const MISSING_FOR: Duration = Duration::from_millis(4_500);

/// The time after which an order that did not bring what was asked for is repeated, beyond the
/// start-up time.
const REPEAT_AFTER: Duration = Duration::from_secs(3);

/// The time after a refusal for which further data centres are expected to lose their reclaimable
/// instances. Reclaims come in waves, a few seconds apart.
const WAVE_LENGTH: Duration = Duration::from_secs(8);

/// What the operators allow and what instances cost.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSpec {
    /// The fewest instances in a data centre, of both kinds together.
    pub min: u32,
    /// The most instances in a data centre, of both kinds together.
    pub max: u32,
    /// The time from an order to the first request served.
    pub startup_time: Duration,
    /// Whether reclaimable instances are to be had at all.
    pub reclaimable: bool,
    /// The price of an instance in each data centre.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// Instances of a data centre by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InstanceCounts {
    /// Those that can't be reclaimed.
    pub on_demand: u32,
    /// Those that can be.
    pub reclaimable: u32,
}

impl InstanceCounts {
    const fn of(&self, reclaimable: bool) -> u32 {
        if reclaimable { self.reclaimable } else { self.on_demand }
    }

    const fn total(&self) -> u32 {
        self.on_demand + self.reclaimable
    }
}

/// An order for one kind of instance in one data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The kind.
    pub reclaimable: bool,
    /// How many are wanted in all.
    pub count: u32,
}

type Slot = (DataCentre, bool);

/// The prompt tokens that arrive at a service, over all daemons.
#[derive(Debug, Default)]
pub struct Arrivals {
    seen: BTreeMap<Incarnation, u64>,
    total: u64,
    first: Option<MonotonicInstant>,
    samples: VecDeque<(MonotonicInstant, u64)>,
}

impl Arrivals {
    /// Takes in all that has arrived at each daemon in its life.
    pub fn on_totals(
        &mut self,
        now: MonotonicInstant,
        totals: impl Iterator<Item = (Incarnation, u64)>,
    ) {
        for (daemon, arrived) in totals {
            // What came before a daemon was heard of first has no time.
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

    /// Whether anything has arrived at any daemon that is known.
    pub fn has_arrivals(&self) -> bool {
        self.seen.values().any(|arrived| *arrived > 0)
    }

    /// Tokens a second; none while too little time has been seen since the first one came.
    pub fn rate(&self) -> Option<f64> {
        let ((first, before), (last, total)) = (self.samples.front()?, self.samples.back()?);
        if last.since(self.first?) < RATE_WINDOW_MIN {
            return None;
        }
        let span = last.since(*first);
        Some((total - before) as f64 / span.as_secs_f64())
    }
}

/// The instances of one service as the acting daemon manages them.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    found: u32,
    known: Option<MonotonicInstant>,
    peaks: VecDeque<(MonotonicInstant, f64)>,
    ordered: BTreeMap<Slot, (MonotonicInstant, u32)>,
    refused: BTreeMap<Slot, MonotonicInstant>,
}

impl FleetPlanner {
    /// Records the rate at which prompt tokens arrive.
    pub fn on_rate(&mut self, now: MonotonicInstant, rate: f64) {
        self.known.get_or_insert(now);
        while self.peaks.front().is_some_and(|(at, _)| now.since(*at) > PEAK_MEMORY) {
            self.peaks.pop_front();
        }
        while self.peaks.back().is_some_and(|(_, lower)| *lower <= rate) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, rate));
    }

    /// Records that an order has been accepted.
    pub fn on_ordered(&mut self, now: MonotonicInstant, order: &CapacityOrder) {
        self.refused.remove(&(order.data_centre.clone(), order.reclaimable));
        self.on_unanswered(now, order);
    }

    /// Records that the answer to an order was lost. It may be carried out; it is repeated like one
    /// that brought nothing.
    pub fn on_unanswered(&mut self, now: MonotonicInstant, order: &CapacityOrder) {
        let slot = (order.data_centre.clone(), order.reclaimable);
        self.ordered.insert(slot, (now, order.count));
    }

    /// Records that instances of the kind are not to be had in the data centre.
    pub fn on_refused(&mut self, now: MonotonicInstant, order: &CapacityOrder) {
        self.refused.insert((order.data_centre.clone(), order.reclaimable), now);
    }

    /// The engines that the load needs. A part of the most that were found counts until a peak would
    /// have been seen.
    pub fn engines_needed(&self, now: MonotonicInstant) -> u32 {
        let start = share_of(self.found, START_SHARE);
        let need =
            self.peaks.front().map_or(0, |(_, rate)| (rate / TOKENS_PER_ENGINE).ceil() as u32);
        let early = self.known.is_none_or(|known| now.since(known) < PEAK_MEMORY);
        need.max(if early { start } else { 1 }).max(1)
    }

    /// The orders to give now.
    pub fn orders(
        &mut self,
        now: MonotonicInstant,
        spec: &FleetSpec,
        stock: &BTreeMap<DataCentre, InstanceCounts>,
    ) -> Vec<CapacityOrder> {
        self.found = self.found.max(stock.values().map(InstanceCounts::total).sum());
        let need = self.engines_needed(now);
        let wanted = self.wanted(now, spec, stock, need);
        let kept = keep_needed(&wanted, stock, need);
        let mut orders = Vec::new();
        for (data_centre, wanted) in &kept {
            let present = stock.get(data_centre).copied().unwrap_or_default();
            for reclaimable in [true, false] {
                let (count, found) = (wanted.of(reclaimable), present.of(reclaimable));
                let slot = (data_centre.clone(), reclaimable);
                if self.is_due(now, spec, &slot, count, found) {
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
        slot: &Slot,
        count: u32,
        found: u32,
    ) -> bool {
        if count > found && self.refused_within(now, slot, REFUSED_FOR) {
            return false;
        }
        match self.ordered.get(slot) {
            Some((at, last)) if *last == count => {
                found != count && now.since(*at) > spec.startup_time + REPEAT_AFTER
            }
            _ => found != count,
        }
    }

    fn refused_within(&self, now: MonotonicInstant, slot: &Slot, span: Duration) -> bool {
        self.refused.get(slot).is_some_and(|at| now.since(*at) < span)
    }

    /// What each data centre should have, whatever is there now.
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
        spread(&mut wanted, &cheapest, on_demand, spec.max);
        if spec.reclaimable {
            // The others must suffice when one data centre loses all of its own.
            let others = u32::try_from(cheapest.len().saturating_sub(1)).unwrap_or(u32::MAX);
            let each = need.saturating_sub(on_demand).div_ceil(others.max(1));
            for stock in wanted.values_mut() {
                stock.reclaimable = each.min(spec.max - stock.on_demand);
            }
        }
        for stock in wanted.values_mut().filter(|stock| stock.total() < spec.min) {
            let missing = spec.min - stock.total();
            *(if spec.reclaimable { &mut stock.reclaimable } else { &mut stock.on_demand }) +=
                missing;
        }
        let missing = need.saturating_sub(self.to_be_had(now, stock, &wanted));
        let missing = missing.min(need.saturating_sub(on_demand));
        spread(&mut wanted, &cheapest, missing, spec.max);
        wanted
    }

    /// The wanted instances that are there or may come, without those that may go: reclaimable ones
    /// that are refused won't come, and in a wave another data centre loses its own.
    fn to_be_had(
        &self,
        now: MonotonicInstant,
        stock: &BTreeMap<DataCentre, InstanceCounts>,
        wanted: &BTreeMap<DataCentre, InstanceCounts>,
    ) -> u32 {
        let reclaimable = wanted.iter().map(|(centre, wanted)| {
            let present = stock.get(centre).map_or(0, |stock| stock.reclaimable);
            let refused = self.refused_within(now, &(centre.clone(), true), MISSING_FOR);
            if refused { present.min(wanted.reclaimable) } else { wanted.reclaimable }
        });
        let reclaimable: Vec<u32> = reclaimable.collect();
        let wave = self
            .refused
            .iter()
            .any(|((_, reclaimable), at)| *reclaimable && now.since(*at) < WAVE_LENGTH);
        let largest = reclaimable.iter().max().copied().unwrap_or_default();
        let next = if wave { largest } else { 0 };
        let on_demand: u32 = wanted.values().map(|stock| stock.on_demand).sum();
        on_demand + reclaimable.iter().sum::<u32>() - next
    }
}

fn share_of(count: u32, share: f64) -> u32 {
    (f64::from(count) * share).ceil() as u32
}

/// The data centres, the cheapest first.
fn by_price(spec: &FleetSpec) -> Vec<DataCentre> {
    let mut centres: Vec<_> = spec.prices.iter().collect();
    centres.sort_by(|a, b| a.1.total_cmp(b.1));
    centres.into_iter().map(|(centre, _)| centre.clone()).collect()
}

/// Adds instances that can't be reclaimed, one in each data centre in turn.
fn spread(
    wanted: &mut BTreeMap<DataCentre, InstanceCounts>,
    order: &[DataCentre],
    mut count: u32,
    max: u32,
) {
    while count > 0 {
        let before = count;
        for centre in order {
            let room = wanted.get_mut(centre).filter(|stock| stock.total() < max);
            if let Some(stock) = room.filter(|_| count > 0) {
                stock.on_demand += 1;
                count -= 1;
            }
        }
        if count == before {
            return;
        }
    }
}

/// Keeps instances that the load needs until those that replace them are there.
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
