//! How many instances of a service are wanted in each data centre, of which kind.
//!
//! Load: requests that rise and fall within tens of seconds, while whole data centres lose their
//! reclaimable instances with seconds of notice and new ones are refused everywhere for a while.
//! Reclaimable instances cost about a fifth, so they carry the load and the reserve; the others are
//! kept for the moments without any, in the data centres where they are cheapest.

use spindle_types::{DataCentre, MonotonicInstant};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Requests at an engine up to which its streams keep their pace while prompts are read beside
/// them: their events come every few dozen milliseconds then, far within the users' 400 ms.
const COMFORT: f64 = 14.0;

/// The time for which a peak of the load counts. A wave of the users' load lasts 40 s; going down
/// and up again within one costs more in late answers than it saves.
const PEAK_MEMORY: Duration = Duration::from_secs(12);

/// The part of the engines needed that must not be reclaimable.
const FIXED_SHARE: f64 = 0.4;

/// Reclaimable engines beyond need, as a part of it: what the loss of one of four data centres
/// takes.
const RESERVE: f64 = 0.34;

/// The time after a refusal before instances of a kind are asked for in a data centre again.
const REFUSED_FOR: Duration = Duration::from_secs(3);

/// The time after which an order that did not bring what was asked for is repeated, beyond the
/// start-up time.
const REPEAT_AFTER: Duration = Duration::from_secs(3);

/// What the operators allow and what instances cost.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSpec {
    /// The fewest instances in a data centre, of both kinds together.
    pub min: u32,
    /// The most instances in a data centre, of both kinds together.
    pub max: u32,
    /// The time from an order to the first request served.
    pub boot: Duration,
    /// Whether reclaimable instances are to be had at all.
    pub reclaimable: bool,
    /// The price of an instance in each data centre.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// Instances of a data centre by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stock {
    /// Those that can't be reclaimed.
    pub fixed: u32,
    /// Those that can be.
    pub reclaimable: u32,
}

impl Stock {
    const fn of(&self, reclaimable: bool) -> u32 {
        if reclaimable { self.reclaimable } else { self.fixed }
    }

    const fn total(&self) -> u32 {
        self.fixed + self.reclaimable
    }
}

/// An order for one kind of instance in one data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The kind.
    pub reclaimable: bool,
    /// How many are wanted in all.
    pub count: u32,
}

type Slot = (DataCentre, bool);

/// The instances of one service as the acting daemon manages them.
#[derive(Debug, Default)]
pub struct Fleet {
    peaks: VecDeque<(MonotonicInstant, f64)>,
    ordered: BTreeMap<Slot, (MonotonicInstant, u32)>,
    refused: BTreeMap<Slot, MonotonicInstant>,
}

impl Fleet {
    /// Records how many requests are at the service.
    pub fn on_requests(&mut self, now: MonotonicInstant, requests: f64) {
        while self.peaks.front().is_some_and(|(at, _)| now.since(*at) > PEAK_MEMORY) {
            self.peaks.pop_front();
        }
        while self.peaks.back().is_some_and(|(_, lower)| *lower <= requests) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, requests));
    }

    /// Records that an order has been accepted.
    pub fn on_ordered(&mut self, now: MonotonicInstant, order: &Order) {
        let slot = (order.data_centre.clone(), order.reclaimable);
        self.ordered.insert(slot, (now, order.count));
    }

    /// Records that instances of the kind are not to be had in the data centre.
    pub fn on_refused(&mut self, now: MonotonicInstant, order: &Order) {
        self.refused.insert((order.data_centre.clone(), order.reclaimable), now);
    }

    /// The engines that the load needs.
    pub fn need(&self) -> u32 {
        let peak = self.peaks.front().map_or(0.0, |(_, requests)| *requests);
        (peak / COMFORT).ceil() as u32
    }

    /// The orders to give now.
    pub fn orders(
        &self,
        now: MonotonicInstant,
        spec: &FleetSpec,
        stock: &BTreeMap<DataCentre, Stock>,
    ) -> Vec<Order> {
        let wanted = self.wanted(now, spec, stock);
        let kept = keep_needed(&wanted, stock, self.need());
        let mut orders = Vec::new();
        for (data_centre, wanted) in &kept {
            let present = stock.get(data_centre).copied().unwrap_or_default();
            for reclaimable in [true, false] {
                let (count, found) = (wanted.of(reclaimable), present.of(reclaimable));
                let slot = (data_centre.clone(), reclaimable);
                if self.is_due(now, spec, &slot, count, found) {
                    let data_centre = data_centre.clone();
                    orders.push(Order { data_centre, reclaimable, count });
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
        if count > found && self.is_refused(now, slot) {
            return false;
        }
        match self.ordered.get(slot) {
            Some((at, last)) if *last == count => {
                found != count && now.since(*at) > spec.boot + REPEAT_AFTER
            }
            _ => found != count,
        }
    }

    fn is_refused(&self, now: MonotonicInstant, slot: &Slot) -> bool {
        self.refused.get(slot).is_some_and(|at| now.since(*at) < REFUSED_FOR)
    }

    /// What each data centre should have, whatever is there now.
    fn wanted(
        &self,
        now: MonotonicInstant,
        spec: &FleetSpec,
        stock: &BTreeMap<DataCentre, Stock>,
    ) -> BTreeMap<DataCentre, Stock> {
        let need = self.need().max(1);
        let cheapest = by_price(spec);
        let mut wanted: BTreeMap<DataCentre, Stock> =
            cheapest.iter().map(|centre| (centre.clone(), Stock::default())).collect();
        let fixed = if spec.reclaimable { share_of(need, FIXED_SHARE) } else { need };
        spread(&mut wanted, &cheapest, fixed.max(1), false, spec.max);
        if spec.reclaimable {
            let reserve = share_of(need, RESERVE);
            let count = (need + reserve).saturating_sub(fixed);
            spread_reclaimable(&mut wanted, &cheapest, count, spec);
        }
        for stock in wanted.values_mut().filter(|stock| stock.total() < spec.min) {
            let missing = spec.min - stock.total();
            *(if spec.reclaimable { &mut stock.reclaimable } else { &mut stock.fixed }) += missing;
        }
        self.replace_refused(now, spec, stock, &mut wanted);
        wanted
    }

    /// Asks for instances that can't be reclaimed in place of reclaimable ones that are refused, as
    /// far as the load needs them.
    fn replace_refused(
        &self,
        now: MonotonicInstant,
        spec: &FleetSpec,
        stock: &BTreeMap<DataCentre, Stock>,
        wanted: &mut BTreeMap<DataCentre, Stock>,
    ) {
        let to_be_had = |centre: &DataCentre, wanted: &Stock| {
            let present = stock.get(centre).map_or(0, |stock| stock.reclaimable);
            let refused = self.is_refused(now, &(centre.clone(), true));
            wanted.fixed
                + if refused { present.min(wanted.reclaimable) } else { wanted.reclaimable }
        };
        let sum: u32 = wanted.iter().map(|(centre, wanted)| to_be_had(centre, wanted)).sum();
        let missing = self.need().max(1).saturating_sub(sum);
        spread(wanted, &by_price(spec), missing, false, spec.max);
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

/// Adds instances of a kind, one in each data centre in turn.
fn spread(
    wanted: &mut BTreeMap<DataCentre, Stock>,
    order: &[DataCentre],
    mut count: u32,
    reclaimable: bool,
    max: u32,
) {
    while count > 0 {
        let mut added = false;
        for centre in order {
            let Some(stock) = wanted.get_mut(centre).filter(|stock| stock.total() < max) else {
                continue;
            };
            if count == 0 {
                return;
            }
            *(if reclaimable { &mut stock.reclaimable } else { &mut stock.fixed }) += 1;
            count -= 1;
            added = true;
        }
        if !added {
            return;
        }
    }
}

/// Adds reclaimable instances where fewest of them stand, so that one data centre takes few along.
fn spread_reclaimable(
    wanted: &mut BTreeMap<DataCentre, Stock>,
    order: &[DataCentre],
    count: u32,
    spec: &FleetSpec,
) {
    // Data centres without others come first, in the order of their prices.
    let mut order = order.to_vec();
    order.sort_by_key(|centre| wanted[centre].fixed);
    spread(wanted, &order, count, true, spec.max);
}

/// Keeps instances that the load needs until those that replace them are there.
fn keep_needed(
    wanted: &BTreeMap<DataCentre, Stock>,
    stock: &BTreeMap<DataCentre, Stock>,
    need: u32,
) -> BTreeMap<DataCentre, Stock> {
    let present: u32 = stock.values().map(Stock::total).sum();
    let mut spare = present.saturating_sub(need);
    let mut kept = wanted.clone();
    for (centre, found) in stock {
        let Some(target) = kept.get_mut(centre) else { continue };
        for (found, target) in
            [(found.fixed, &mut target.fixed), (found.reclaimable, &mut target.reclaimable)]
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
