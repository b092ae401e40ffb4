//! Carries out the confirmed plan: looks at what runs, and starts, drains, stops and orders.
//!
//! Does nothing at a daemon that does not hold the lease, and nothing before a plan is confirmed.

mod census;
mod proposer;

use self::census::{Census, take_census};
use crate::budgets;
use crate::context::Context;
use crate::daemon::Shared;
use crate::draining;
use spindle_cloud::{Cloud, StartError, StartRequest};
use spindle_engine::{Engine, Order, OrderReply};
use spindle_policy::lease::PermissionCheck;
use spindle_policy::reconcile::{Action, InstanceKind, OrderAction, Reconciler, StartOutcome};
use spindle_policy::signal::{Observation, SignalDetector};
use spindle_policy::spend::{CostInput, cost_report};
use spindle_types::config::FencingCheck;
use spindle_types::{
    ClientToken, Clock, Configuration, Fencing, Instance, Model, MonotonicInstant, Version,
};
use spindle_weights::{ReadReply, ReadRequest, WeightStore};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// The time over which attainment is judged.
const ATTAINMENT_WINDOW: Duration = Duration::from_secs(1_800);

/// The time over which the spend of teams is counted.
pub(crate) const SPEND_WINDOW: Duration = Duration::from_secs(3_600);

/// Starts to carry out plans while the daemon holds the lease.
pub fn start<C: Context>(shared: Arc<Shared<C>>) -> JoinHandle<()> {
    let task = Task {
        shared,
        reconciler: Reconciler::default(),
        watcher: SignalDetector::default(),
        weights_from: MonotonicInstant::default(),
    };
    tokio::spawn(task.run())
}

/// Whether the rest of a tick's actions may follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Go,
    /// What runs must be listed again first.
    List,
}

struct Task<C> {
    shared: Arc<Shared<C>>,
    reconciler: Reconciler,
    watcher: SignalDetector,
    weights_from: MonotonicInstant,
}

impl<C: Context> Task<C> {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(self.shared.settings.planner.interval.get());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.permission(FencingCheck::Ignored).is_none() {
                self.reconciler = Reconciler::default();
                continue;
            }
            let config = Arc::clone(&self.shared.config.borrow());
            if config.plan.is_none() {
                continue;
            }
            match take_census(&self.shared).await {
                Ok(census) => self.tick(&config, &census).await,
                Err(error) => log::warn!("event=census_failed error={:?}", error.to_string()),
            }
        }
    }

    /// The fencing number, if an order may be sent now to an upstream that checks it or not.
    fn permission(&self, kind: FencingCheck) -> Option<Fencing> {
        let now = self.shared.context.clock().now();
        match self.shared.lease.check(now, kind) {
            PermissionCheck::Granted(fencing) => Some(fencing),
            PermissionCheck::NotBefore(_) | PermissionCheck::Expired => None,
        }
    }

    async fn tick(&mut self, config: &Configuration, census: &Census) {
        let now = self.shared.context.clock().now();
        let actions = self.reconciler.on_tick(now, &census.running, config, &census.offers);
        let mut orders = Vec::new();
        let mut actions = actions.into_iter();
        for action in actions.by_ref() {
            let next = match action {
                Action::Start { token, kind } => self.start(token, kind).await,
                Action::Drain { instance } => self.drain(instance).await,
                Action::Stop { instance } => self.stop(&instance).await,
                Action::Order(order) => {
                    orders.push(order);
                    Next::Go
                }
            };
            if next == Next::List {
                break;
            }
        }
        for action in actions {
            if let Action::Start { token, .. } = action {
                self.reconciler.on_start(now, &token, StartOutcome::NotSent);
            }
        }
        self.order_all(config, census, orders).await;
        self.check_budgets(config, census).await;
        self.look(config, census).await;
    }

    async fn start(&mut self, token: ClientToken, kind: InstanceKind) -> Next {
        if self.permission(FencingCheck::Ignored).is_none() {
            let now = self.shared.context.clock().now();
            self.reconciler.on_start(now, &token, StartOutcome::NotSent);
            return Next::List;
        }
        let InstanceKind { pool, data_centre, class, market } = kind;
        let request = StartRequest { token: token.clone(), data_centre, class, market, pool };
        let (outcome, next) = match self.shared.context.cloud().start(&request).await {
            Ok(reply) => {
                log::info!("event=instance_started instance={} token={token}", reply.instance);
                (StartOutcome::Started, Next::Go)
            }
            Err(StartError::Refused(text)) => {
                log::info!("event=start_refused token={token} error={text:?}");
                (StartOutcome::Refused, Next::Go)
            }
            Err(StartError::Unknown(text)) => {
                log::warn!("event=start_unknown token={token} error={text:?}");
                (StartOutcome::Unknown, Next::List)
            }
        };
        self.reconciler.on_start(self.shared.context.clock().now(), &token, outcome);
        next
    }

    async fn drain(&mut self, instance: Instance) -> Next {
        log::info!("event=instance_drained instance={instance}");
        self.watcher.on_stop(&instance);
        if let Err(error) = draining::announce(&self.shared.context, instance.clone()).await {
            // Until the record is read, only this daemon sends nothing new.
            log::warn!("event=drain_append_failed error={:?}", error.to_string());
        }
        self.shared.upstreams.mark_leaving(instance).await;
        Next::Go
    }

    async fn stop(&mut self, instance: &Instance) -> Next {
        if self.permission(FencingCheck::Ignored).is_none() {
            return Next::List;
        }
        self.watcher.on_stop(instance);
        match self.shared.context.cloud().stop(instance).await {
            Ok(()) => log::info!("event=instance_stopped instance={instance}"),
            Err(error) => {
                log::warn!("event=stop_failed instance={instance} error={:?}", error.to_string());
            }
        }
        Next::Go
    }

    /// Sends orders. Engines of one data centre that lack the same weights share one read.
    async fn order_all(
        &mut self,
        config: &Configuration,
        census: &Census,
        orders: Vec<OrderAction>,
    ) {
        let mut reads: Vec<Vec<OrderAction>> = Vec::new();
        for order in orders {
            let key = |order: &OrderAction| {
                order.weights.clone().zip(census.data_centre(&order.instance).cloned())
            };
            let shared = reads.iter_mut().find(|read| {
                order.weights.is_some()
                    && read.first().is_some_and(|first| key(first) == key(&order))
            });
            match shared {
                Some(read) => read.push(order),
                None => reads.push(vec![order]),
            }
        }
        for read in reads {
            let weights = read.first().and_then(|order| order.weights.clone());
            let instances = read.iter().map(|order| order.instance.clone()).collect();
            if let Some(weights) = weights
                && !self.may_read(instances, weights).await
            {
                continue;
            }
            for order in &read {
                self.send(config, census, order).await;
            }
        }
    }

    /// Whether the weight store grants a read now.
    async fn may_read(
        &mut self,
        instances: Vec<Instance>,
        (model, version): (Model, Version),
    ) -> bool {
        let now = self.shared.context.clock().now();
        if now < self.weights_from {
            return false;
        }
        let request = ReadRequest { model, version, instances };
        match self.shared.context.weights().read(&request).await {
            Ok(ReadReply::Granted) => true,
            Ok(ReadReply::Wait { after_ms }) => {
                self.weights_from = now + Duration::from_millis(after_ms);
                false
            }
            Err(error) => {
                log::warn!("event=weights_failed error={:?}", error.to_string());
                false
            }
        }
    }

    async fn send(&self, config: &Configuration, census: &Census, order: &OrderAction) {
        let instance = &order.instance;
        let (Some(spec), Some(address)) =
            (config.pools.get(&order.pool), census.addresses.get(instance))
        else {
            return;
        };
        let (Some(model), Some(fencing)) = (spec.model.clone(), self.permission(spec.fencing))
        else {
            return;
        };
        let order = Order {
            fencing,
            revision: config.revision,
            model,
            version: spec.version.clone(),
            adapters: spec.adapters.iter().cloned().collect(),
            role: spec.role,
        };
        match self.shared.context.engine().order(*address, &order).await {
            Ok(OrderReply::Accepted) => log::info!("event=engine_ordered instance={instance}"),
            Ok(OrderReply::Fenced) => log::warn!("event=order_fenced instance={instance}"),
            Err(error) => {
                log::warn!("event=order_failed instance={instance} error={:?}", error.to_string());
            }
        }
    }

    /// Compares the teams' spend of the last hour with their budgets.
    async fn check_budgets(&self, config: &Configuration, census: &Census) {
        let reading = &self.shared.reading;
        let now = self.shared.context.clock().utc();
        let cells = reading.levels.error_budgets.borrow().totals(now, SPEND_WINDOW);
        let running: Vec<_> = census.running.iter().map(|r| r.kind.clone()).collect();
        let offers = &census.offers;
        let input = CostInput { config, running: &running, offers, cells: &cells };
        let report = cost_report(now, &input);
        budgets::publish(&self.shared.context, &reading.over_budget, &report).await;
    }

    /// Looks for signals, and proposes a new plan if one is raised.
    async fn look(&mut self, config: &Configuration, census: &Census) {
        let Some(plan) = &config.plan else { return };
        let utc = self.shared.context.clock().utc();
        let cells =
            self.shared.reading.levels.error_budgets.borrow().totals(utc, ATTAINMENT_WINDOW);
        let look = Observation {
            plan,
            running: &census.running,
            offers: &census.offers,
            short_pools: self.reconciler.underprovisioned_pools(),
            cells: &cells,
        };
        let now = self.shared.context.clock().now();
        let signals = self.watcher.on_observation(now, &look);
        if signals.is_empty() {
            return;
        }
        let reclaims = self.watcher.reclaim_rates();
        proposer::propose(&self.shared, config, &look, reclaims, &signals).await;
    }
}

#[cfg(test)]
mod tests;
