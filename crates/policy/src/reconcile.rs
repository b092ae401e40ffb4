//! Brings what runs to what was confirmed: starts, drains, stops and orders to engines.
//!
//! Client tokens follow from the plan and the kind of instance, so a new holder of the lease
//! repeats the tokens of the one before. No start takes the spend above the plan's envelope.

mod kinds;
mod orders;

pub use self::kinds::{InstanceKind, TokenGenerations};
pub use self::orders::{EngineState, OrderAction};

use self::kinds::{Prices, SpendTracker};
use crate::plan::instance_rates;
use spindle_types::config::{ConfirmedPlan, Market};
use spindle_types::{
    ClientToken, Configuration, Instance, MachineClass, Money, MonotonicInstant, Pool, PricedOffer,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The pause after the first refusal of a kind; it doubles with each further one.
const BACKOFF_FIRST: Duration = Duration::from_secs(5);

/// The longest pause after refusals.
const BACKOFF_MAX: Duration = Duration::from_secs(300);

/// The time after which a start without an answer is repeated with its token.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The time within which a started instance must be listed.
const LIST_TIMEOUT: Duration = Duration::from_secs(120);

/// The shortest time between drain and stop, in which every daemon learns of the drain.
const DRAIN_MIN: Duration = Duration::from_secs(10);

/// The time after which an instance that does not tell its load is stopped.
const DRAIN_MAX: Duration = Duration::from_secs(600);

/// The most starts of one tick.
const STARTS_MAX: usize = 64;

/// Capacity below the need by less than this is rounding, in requests a second.
const TOLERANCE: f64 = 1e-6;

/// One instance that runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningInstance {
    /// The instance.
    pub instance: Instance,
    /// The token of the start that made it.
    pub token: ClientToken,
    /// What it is.
    pub kind: InstanceKind,
    /// Whether it will stop, or was told to drain.
    pub leaving: bool,
    /// Requests in progress, if it tells.
    pub busy: Option<u32>,
    /// What an engine has loaded, if it tells.
    pub engine: Option<EngineState>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an instance.
    Start {
        /// Names the start.
        token: ClientToken,
        /// What to start.
        kind: InstanceKind,
    },
    /// Let an instance take no new work.
    Drain {
        /// The instance.
        instance: Instance,
    },
    /// Stop an instance that has drained.
    Stop {
        /// The instance.
        instance: Instance,
    },
    /// Order an engine into a state.
    Order(OrderAction),
}

/// What became of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// It was acknowledged.
    Started,
    /// It was not sent.
    NotSent,
    /// Nothing was started.
    Refused,
    /// The answer was lost.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: MonotonicInstant,
}

#[derive(Clone, Debug)]
struct Pending {
    kind: InstanceKind,
    sent: MonotonicInstant,
    acknowledged: bool,
}

/// The state of one holder of the lease.
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    pending: BTreeMap<ClientToken, Pending>,
    backoffs: BTreeMap<InstanceKind, Backoff>,
    draining: BTreeMap<Instance, MonotonicInstant>,
    generations: TokenGenerations,
    short: BTreeSet<Pool>,
}

impl Reconciler {
    /// Decides what to do, given a list of what runs that was read after the last outcome.
    pub fn on_tick(
        &mut self,
        now: MonotonicInstant,
        running: &[RunningInstance],
        config: &Configuration,
        offers: &[PricedOffer],
    ) -> Vec<Action> {
        let Some(plan) = &config.plan else {
            return Vec::new();
        };
        self.on_list(now, running);
        let tick = Tick::new(now, plan, config, offers);
        let mut actions = self.starts(&tick, running);
        actions.extend(self.retirements(&tick, running));
        actions.extend(orders::orders(config, &tick.needs, &tick.rates, running));
        actions
    }

    /// Records what became of a start.
    pub fn on_start(&mut self, now: MonotonicInstant, token: &ClientToken, outcome: StartOutcome) {
        match outcome {
            StartOutcome::Started => {
                if let Some(pending) = self.pending.get_mut(token) {
                    pending.acknowledged = true;
                    self.backoffs.remove(&pending.kind);
                }
            }
            StartOutcome::NotSent => {
                self.pending.remove(token);
            }
            StartOutcome::Unknown => {}
            StartOutcome::Refused => {
                let Some(pending) = self.pending.remove(token) else { return };
                let failures = self.backoffs.get(&pending.kind).map_or(0, |b| b.failures);
                let pause =
                    (BACKOFF_FIRST * 2_u32.saturating_pow(failures.min(16))).min(BACKOFF_MAX);
                let backoff = Backoff { failures: failures + 1, until: now + pause };
                self.backoffs.insert(pending.kind, backoff);
            }
        }
    }

    /// The pools that lack capacity which the envelope does not allow to be bought.
    pub const fn underprovisioned_pools(&self) -> &BTreeSet<Pool> {
        &self.short
    }

    fn on_list(&mut self, now: MonotonicInstant, running: &[RunningInstance]) {
        for instance in running {
            self.pending.remove(&instance.token);
            if instance.leaving {
                self.draining.entry(instance.instance.clone()).or_insert(now);
            }
        }
        let lost =
            |pending: &Pending| pending.acknowledged && now.since(pending.sent) >= LIST_TIMEOUT;
        for (token, _) in self.pending.iter().filter(|(_, pending)| lost(pending)) {
            // The cloud remembers the token of an instance that is gone.
            self.generations.advance(token);
        }
        self.pending.retain(|_, pending| !lost(pending));
        self.draining.retain(|id, _| running.iter().any(|instance| instance.instance == *id));
    }

    fn starts(&mut self, tick: &Tick<'_>, running: &[RunningInstance]) -> Vec<Action> {
        let mut ledger = SpendTracker::new(&tick.prices, tick.plan.envelope.hourly_spend);
        running.iter().for_each(|instance| ledger.add(&instance.kind));
        self.pending.values().for_each(|pending| ledger.add(&pending.kind));
        let mut actions = self.repeats(tick.now);
        self.short.clear();
        for (kind, wanted) in &tick.wanted {
            let missing = wanted.saturating_sub(self.present(running, kind));
            for _ in 0..missing {
                if actions.len() >= STARTS_MAX || self.is_backed_off(tick.now, kind) {
                    break;
                }
                if !ledger.allows(kind) {
                    self.short.insert(kind.pool.clone());
                    break;
                }
                ledger.add(kind);
                actions.push(self.start(tick, kind, running));
            }
        }
        self.substitutes(tick, running, &mut ledger, &mut actions);
        actions
    }

    /// The starts whose answers are overdue, repeated with their tokens. The cloud's list, which
    /// was read before, does not show them.
    fn repeats(&mut self, now: MonotonicInstant) -> Vec<Action> {
        let overdue = self.pending.iter_mut().filter(|(_, pending)| {
            !pending.acknowledged && now.since(pending.sent) >= ANSWER_TIMEOUT
        });
        let repeat = |(token, pending): (&ClientToken, &mut Pending)| {
            pending.sent = now;
            Action::Start { token: token.clone(), kind: pending.kind.clone() }
        };
        overdue.map(repeat).collect()
    }

    /// Starts other kinds in place of those that the cloud refuses to start.
    fn substitutes(
        &mut self,
        tick: &Tick<'_>,
        running: &[RunningInstance],
        ledger: &mut SpendTracker<'_>,
        actions: &mut Vec<Action>,
    ) {
        let refused: BTreeSet<Pool> = tick
            .wanted
            .iter()
            .filter(|(kind, wanted)| {
                self.is_backed_off(tick.now, kind) && self.present(running, kind) < **wanted
            })
            .map(|(kind, _)| kind.pool.clone())
            .collect();
        for pool in refused {
            let mut deficit = tick.wanted_rate(&pool) - self.coming_rate(tick, running, &pool);
            while deficit > TOLERANCE && actions.len() < STARTS_MAX {
                let Some(kind) = self.cheapest_substitute(tick, ledger, running, &pool) else {
                    self.short.insert(pool.clone());
                    break;
                };
                ledger.add(&kind);
                deficit -= tick.rate(&kind);
                actions.push(self.start(tick, &kind, running));
            }
        }
    }

    fn cheapest_substitute(
        &self,
        tick: &Tick<'_>,
        ledger: &SpendTracker<'_>,
        running: &[RunningInstance],
        pool: &Pool,
    ) -> Option<InstanceKind> {
        let envelope = &tick.plan.envelope;
        let allowed = tick.offers.iter().filter(|offer| {
            envelope.data_centres.contains(&offer.data_centre)
                && envelope.classes.contains(&offer.class)
                && (envelope.on_demand || offer.market == Market::Reclaimable)
        });
        let kinds = allowed.filter_map(|offer| {
            let kind = InstanceKind::of(pool, offer);
            let rate = tick.rate(&kind);
            let left = offer.available.is_none_or(|left| self.pending_of(&kind) < left);
            // A kind that the plan names has its own starts.
            let planned = tick.wanted.get(&kind).copied().unwrap_or(0);
            let usable = rate > 0.0
                && left
                && self.present(running, &kind) >= planned
                && !self.is_backed_off(tick.now, &kind)
                && ledger.allows(&kind);
            usable.then(|| (kind, offer.hourly_price.units() / rate))
        });
        kinds.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(kind, _)| kind)
    }

    fn start(
        &mut self,
        tick: &Tick<'_>,
        kind: &InstanceKind,
        running: &[RunningInstance],
    ) -> Action {
        let used = |token: &ClientToken| {
            self.pending.contains_key(token) || running.iter().any(|r| r.token == *token)
        };
        let token = self.generations.free_token(&tick.plan.digest, kind, used);
        let pending = Pending { kind: kind.clone(), sent: tick.now, acknowledged: false };
        self.pending.insert(token.clone(), pending);
        Action::Start { token, kind: kind.clone() }
    }

    /// Drains what the plan does not want, and stops what has drained.
    fn retirements(&mut self, tick: &Tick<'_>, running: &[RunningInstance]) -> Vec<Action> {
        let mut actions = Vec::new();
        for instance in running {
            if self.is_drained(tick.now, instance) {
                actions.push(Action::Stop { instance: instance.instance.clone() });
            }
        }
        let mut counts: BTreeMap<&InstanceKind, u32> = BTreeMap::new();
        let mut rates: BTreeMap<&Pool, f64> = BTreeMap::new();
        for instance in running.iter().filter(|instance| self.is_live(instance)) {
            *counts.entry(&instance.kind).or_default() += 1;
            *rates.entry(&instance.kind.pool).or_default() += tick.rate(&instance.kind);
        }
        let mut live: Vec<_> = running.iter().filter(|instance| self.is_live(instance)).collect();
        live.sort_by_key(|instance| std::cmp::Reverse(tick.prices.price(&instance.kind)));
        for instance in live.into_iter().filter(|i| tick.config.pools.contains_key(&i.kind.pool)) {
            let kind = &instance.kind;
            let count = counts.entry(kind).or_default();
            let rate = rates.entry(&kind.pool).or_default();
            let left = *rate - tick.rate(kind);
            let spare = *count > tick.wanted.get(kind).copied().unwrap_or(0);
            if !spare || left + TOLERANCE < self.least_rate(tick, &kind.pool) {
                continue;
            }
            (*count, *rate) = (*count - 1, left);
            self.draining.insert(instance.instance.clone(), tick.now);
            actions.push(Action::Drain { instance: instance.instance.clone() });
        }
        actions
    }

    /// Requests a second that must stay while instances are replaced. Where the envelope leaves no
    /// room for a start, the reserve for a lost data centre makes way.
    fn least_rate(&self, tick: &Tick<'_>, pool: &Pool) -> f64 {
        let wanted = tick.wanted_rate(pool);
        match tick.needs.get(pool) {
            Some(need) if self.short.contains(pool) => need.min(wanted),
            _ => wanted,
        }
    }

    fn is_drained(&self, now: MonotonicInstant, instance: &RunningInstance) -> bool {
        let Some(since) = self.draining.get(&instance.instance) else {
            return false;
        };
        match instance.busy {
            Some(busy) => busy == 0 && now.since(*since) >= DRAIN_MIN,
            None => now.since(*since) >= DRAIN_MAX,
        }
    }

    fn is_live(&self, instance: &RunningInstance) -> bool {
        !instance.leaving && !self.draining.contains_key(&instance.instance)
    }

    /// Instances of a kind that run and stay, or are about to run.
    fn present(&self, running: &[RunningInstance], kind: &InstanceKind) -> u32 {
        let live = running.iter().filter(|r| r.kind == *kind && self.is_live(r)).count();
        u32::try_from(live).unwrap_or(u32::MAX) + self.pending_of(kind)
    }

    fn pending_of(&self, kind: &InstanceKind) -> u32 {
        let pending = self.pending.values().filter(|pending| pending.kind == *kind).count();
        u32::try_from(pending).unwrap_or(u32::MAX)
    }

    fn coming_rate(&self, tick: &Tick<'_>, running: &[RunningInstance], pool: &Pool) -> f64 {
        let live = running.iter().filter(|r| r.kind.pool == *pool && self.is_live(r));
        let live: f64 = live.map(|instance| tick.rate(&instance.kind)).sum();
        let pending = self.pending.values().filter(|pending| pending.kind.pool == *pool);
        live + pending.map(|pending| tick.rate(&pending.kind)).sum::<f64>()
    }

    fn is_backed_off(&self, now: MonotonicInstant, kind: &InstanceKind) -> bool {
        self.backoffs.get(kind).is_some_and(|backoff| now < backoff.until)
    }
}

/// What one tick works with.
struct Tick<'a> {
    now: MonotonicInstant,
    plan: &'a ConfirmedPlan,
    config: &'a Configuration,
    offers: &'a [PricedOffer],
    prices: Prices,
    wanted: BTreeMap<InstanceKind, u32>,
    rates: BTreeMap<Pool, BTreeMap<MachineClass, f64>>,
    needs: BTreeMap<Pool, f64>,
}

impl<'a> Tick<'a> {
    fn new(
        now: MonotonicInstant,
        plan: &'a ConfirmedPlan,
        config: &'a Configuration,
        offers: &'a [PricedOffer],
    ) -> Self {
        let mut wanted: BTreeMap<InstanceKind, u32> = BTreeMap::new();
        for placement in &plan.placements {
            *wanted.entry(InstanceKind::from(placement)).or_default() += placement.count;
        }
        let intent = plan.intent.as_ref();
        let pools = wanted.keys().map(|kind| kind.pool.clone()).collect::<BTreeSet<_>>();
        let rates = pools.into_iter().map(|pool| {
            let rates = intent.map(|intent| instance_rates(intent, &pool)).unwrap_or_default();
            (pool, rates)
        });
        let rates = rates.collect();
        let loads = intent.map(crate::plan::pool_loads).unwrap_or_default();
        let needs =
            loads.into_iter().map(|(pool, load)| (pool, load.required_capacity())).collect();
        Self { now, plan, config, offers, prices: Prices::new(offers), wanted, rates, needs }
    }

    fn rate(&self, kind: &InstanceKind) -> f64 {
        self.rates.get(&kind.pool).and_then(|rates| rates.get(&kind.class)).copied().unwrap_or(0.0)
    }

    /// Requests a second that the plan's instances of a pool carry.
    fn wanted_rate(&self, pool: &Pool) -> f64 {
        let kinds = self.wanted.iter().filter(|(kind, _)| kind.pool == *pool);
        kinds.map(|(kind, count)| self.rate(kind) * f64::from(*count)).sum()
    }
}

/// What instances cost an hour together; none if the price of one is not known.
pub fn hourly_spend<'a>(
    kinds: impl IntoIterator<Item = &'a InstanceKind>,
    offers: &[PricedOffer],
) -> Option<Money> {
    let prices = Prices::new(offers);
    kinds.into_iter().map(|kind| prices.price(kind)).sum()
}

#[cfg(test)]
mod tests;
