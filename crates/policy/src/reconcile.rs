//! Reconciles running instances with the confirmed plan by starts, drains, stops and engine orders.
//!
//! Client tokens are derived from the plan and the kind of instance, so that a new lease holder
//! repeats the tokens of its predecessor and starts nothing twice. No start takes the hourly spend
//! above the limit of the plan's envelope.

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

/// The backoff after the first refusal of a kind of instance; doubles with each further refusal.
const BACKOFF_INITIAL: Duration = Duration::from_secs(5);

/// The maximum backoff after refusals.
const BACKOFF_MAX: Duration = Duration::from_secs(300);

/// The time after which a start without an answer is repeated with the same token.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The time within which a started instance must appear in the cloud's list; after that it counts
/// as lost.
const LIST_TIMEOUT: Duration = Duration::from_secs(120);

/// The minimum time between drain and stop, so that every daemon learns of the drain.
const DRAIN_MIN: Duration = Duration::from_secs(10);

/// The time after which a draining instance that does not report its load is stopped.
const DRAIN_MAX: Duration = Duration::from_secs(600);

/// The maximum number of starts per tick.
const STARTS_MAX: usize = 64;

/// The capacity deficit that is attributed to rounding, in requests per second.
const TOLERANCE: f64 = 1e-6;

/// A running instance, as listed by the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningInstance {
    /// The identifier of the instance.
    pub instance: Instance,
    /// The client token of the start that created it.
    pub token: ClientToken,
    /// The pool, data centre, machine class and market.
    pub kind: InstanceKind,
    /// Whether the instance is about to stop or has been told to drain.
    pub leaving: bool,
    /// The number of requests in progress, if reported.
    pub busy: Option<u32>,
    /// The state of the engine, if reported.
    pub engine: Option<EngineState>,
}

/// An action for the lease holder to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an instance.
    Start {
        /// The client token; the cloud starts one instance per token.
        token: ClientToken,
        /// The kind of instance to start.
        kind: InstanceKind,
    },
    /// Stop sending new work to an instance.
    Drain {
        /// The identifier of the instance.
        instance: Instance,
    },
    /// Stop an instance that has drained.
    Stop {
        /// The identifier of the instance.
        instance: Instance,
    },
    /// Order an engine to load a state.
    Order(OrderAction),
}

/// Result of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The cloud acknowledged the start.
    Started,
    /// The request was not sent.
    NotSent,
    /// The cloud refused to start an instance.
    Refused,
    /// The answer was lost; the instance may have been started.
    Unknown,
}

/// The backoff of a kind of instance after consecutive refusals.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: MonotonicInstant,
}

/// A start whose instance has not been listed yet.
#[derive(Clone, Debug)]
struct PendingStart {
    kind: InstanceKind,
    sent: MonotonicInstant,
    acknowledged: bool,
}

/// The state of the reconciliation at one lease holder.
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    pending: BTreeMap<ClientToken, PendingStart>,
    backoffs: BTreeMap<InstanceKind, Backoff>,
    /// When each draining instance was first seen or told to drain.
    draining: BTreeMap<Instance, MonotonicInstant>,
    generations: TokenGenerations,
    /// Pools whose missing capacity the envelope does not cover.
    underprovisioned: BTreeSet<Pool>,
}

impl Reconciler {
    /// Decides on the actions to take. `running` must have been listed after the last start outcome
    /// was recorded.
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

    /// Records the outcome of a start.
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
                    (BACKOFF_INITIAL * 2_u32.saturating_pow(failures.min(16))).min(BACKOFF_MAX);
                let backoff = Backoff { failures: failures + 1, until: now + pause };
                self.backoffs.insert(pending.kind, backoff);
            }
        }
    }

    /// Pools that lack capacity because the envelope does not allow to buy it.
    pub const fn underprovisioned_pools(&self) -> &BTreeSet<Pool> {
        &self.underprovisioned
    }

    fn on_list(&mut self, now: MonotonicInstant, running: &[RunningInstance]) {
        for instance in running {
            self.pending.remove(&instance.token);
            if instance.leaving {
                self.draining.entry(instance.instance.clone()).or_insert(now);
            }
        }
        let lost = |pending: &PendingStart| {
            pending.acknowledged && now.since(pending.sent) >= LIST_TIMEOUT
        };
        for (token, _) in self.pending.iter().filter(|(_, pending)| lost(pending)) {
            // The cloud would answer a repeated token with the instance that is gone, so a new
            // token is needed.
            self.generations.advance(token);
        }
        self.pending.retain(|_, pending| !lost(pending));
        self.draining.retain(|id, _| running.iter().any(|instance| instance.instance == *id));
    }

    fn starts(&mut self, tick: &Tick<'_>, running: &[RunningInstance]) -> Vec<Action> {
        let mut spend = SpendTracker::new(&tick.prices, tick.plan.envelope.hourly_spend);
        running.iter().for_each(|instance| spend.add(&instance.kind));
        self.pending.values().for_each(|pending| spend.add(&pending.kind));
        let mut actions = self.repeated_starts(tick.now);
        self.underprovisioned.clear();
        for (kind, wanted) in &tick.wanted {
            let missing = wanted.saturating_sub(self.present(running, kind));
            for _ in 0..missing {
                if actions.len() >= STARTS_MAX || self.is_backed_off(tick.now, kind) {
                    break;
                }
                if !spend.allows(kind) {
                    self.underprovisioned.insert(kind.pool.clone());
                    break;
                }
                spend.add(kind);
                actions.push(self.start(tick, kind, running));
            }
        }
        self.substitutes(tick, running, &mut spend, &mut actions);
        actions
    }

    /// Repeats the starts whose answers are overdue, with the same tokens. Their instances are not
    /// in the cloud's list, which was read before.
    fn repeated_starts(&mut self, now: MonotonicInstant) -> Vec<Action> {
        let overdue = self.pending.iter_mut().filter(|(_, pending)| {
            !pending.acknowledged && now.since(pending.sent) >= ANSWER_TIMEOUT
        });
        let repeat = |(token, pending): (&ClientToken, &mut PendingStart)| {
            pending.sent = now;
            Action::Start { token: token.clone(), kind: pending.kind.clone() }
        };
        overdue.map(repeat).collect()
    }

    /// Starts other kinds of instances in place of those that the cloud refuses to start.
    fn substitutes(
        &mut self,
        tick: &Tick<'_>,
        running: &[RunningInstance],
        spend: &mut SpendTracker<'_>,
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
            let mut deficit = tick.wanted_rate(&pool) - self.expected_rate(tick, running, &pool);
            while deficit > TOLERANCE && actions.len() < STARTS_MAX {
                let Some(kind) = self.cheapest_substitute(tick, spend, running, &pool) else {
                    self.underprovisioned.insert(pool.clone());
                    break;
                };
                spend.add(&kind);
                deficit -= tick.rate(&kind);
                actions.push(self.start(tick, &kind, running));
            }
        }
    }

    fn cheapest_substitute(
        &self,
        tick: &Tick<'_>,
        spend: &SpendTracker<'_>,
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
            // Kinds in the plan are started as planned; only surplus ones can be substitutes.
            let planned = tick.wanted.get(&kind).copied().unwrap_or(0);
            let usable = rate > 0.0
                && left
                && self.present(running, &kind) >= planned
                && !self.is_backed_off(tick.now, &kind)
                && spend.allows(&kind);
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
        let pending = PendingStart { kind: kind.clone(), sent: tick.now, acknowledged: false };
        self.pending.insert(token.clone(), pending);
        Action::Start { token, kind: kind.clone() }
    }

    /// Drains instances that the plan does not contain, and stops drained ones.
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
            let surplus = *count > tick.wanted.get(kind).copied().unwrap_or(0);
            if !surplus || left + TOLERANCE < self.min_rate(tick, &kind.pool) {
                continue;
            }
            (*count, *rate) = (*count - 1, left);
            self.draining.insert(instance.instance.clone(), tick.now);
            actions.push(Action::Drain { instance: instance.instance.clone() });
        }
        actions
    }

    /// The minimum capacity of a pool while instances are replaced, in requests per second. If the
    /// envelope allows no further start, the reserve for the loss of a data centre may be used up,
    /// so that replacing can proceed.
    fn min_rate(&self, tick: &Tick<'_>, pool: &Pool) -> f64 {
        let wanted = tick.wanted_rate(pool);
        match tick.needs.get(pool) {
            Some(need) if self.underprovisioned.contains(pool) => need.min(wanted),
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

    /// The number of instances of a kind that run and are not draining, or are being started.
    fn present(&self, running: &[RunningInstance], kind: &InstanceKind) -> u32 {
        let live = running.iter().filter(|r| r.kind == *kind && self.is_live(r)).count();
        u32::try_from(live).unwrap_or(u32::MAX) + self.pending_of(kind)
    }

    fn pending_of(&self, kind: &InstanceKind) -> u32 {
        let pending = self.pending.values().filter(|pending| pending.kind == *kind).count();
        u32::try_from(pending).unwrap_or(u32::MAX)
    }

    /// The capacity of a pool including pending starts, in requests per second.
    fn expected_rate(&self, tick: &Tick<'_>, running: &[RunningInstance], pool: &Pool) -> f64 {
        let live = running.iter().filter(|r| r.kind.pool == *pool && self.is_live(r));
        let live: f64 = live.map(|instance| tick.rate(&instance.kind)).sum();
        let pending = self.pending.values().filter(|pending| pending.kind.pool == *pool);
        live + pending.map(|pending| tick.rate(&pending.kind)).sum::<f64>()
    }

    fn is_backed_off(&self, now: MonotonicInstant, kind: &InstanceKind) -> bool {
        self.backoffs.get(kind).is_some_and(|backoff| now < backoff.until)
    }
}

/// The input of one tick and the values derived from it.
struct Tick<'a> {
    now: MonotonicInstant,
    plan: &'a ConfirmedPlan,
    config: &'a Configuration,
    offers: &'a [PricedOffer],
    prices: Prices,
    /// The number of instances of each kind in the plan.
    wanted: BTreeMap<InstanceKind, u32>,
    /// Requests per second that an instance of each class serves in a pool.
    rates: BTreeMap<Pool, BTreeMap<MachineClass, f64>>,
    /// Requests per second that each pool must be able to serve.
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

    /// The planned capacity of a pool, in requests per second.
    fn wanted_rate(&self, pool: &Pool) -> f64 {
        let kinds = self.wanted.iter().filter(|(kind, _)| kind.pool == *pool);
        kinds.map(|(kind, count)| self.rate(kind) * f64::from(*count)).sum()
    }
}

/// The total hourly price of instances; `None` if a price is unknown.
pub fn hourly_spend<'a>(
    kinds: impl IntoIterator<Item = &'a InstanceKind>,
    offers: &[PricedOffer],
) -> Option<Money> {
    let prices = Prices::new(offers);
    kinds.into_iter().map(|kind| prices.price(kind)).sum()
}

#[cfg(test)]
mod tests;
