//! Carries out the confirmed plan: lists the running instances, starts, drains and stops instances,
//! and sends orders to engines.
//!
//! Only the lease holder acts, and only once a plan has been confirmed.

mod inventory;
mod proposer;

use self::inventory::{Inventory, take_inventory};
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

/// The time window over which the attainment of latency targets is measured.
const ATTAINMENT_WINDOW: Duration = Duration::from_secs(1_800);

/// The time window over which the spend of teams is summed.
pub(crate) const SPEND_WINDOW: Duration = Duration::from_secs(3_600);

/// Starts the task that carries out plans while the daemon holds the lease.
pub fn start<C: Context>(shared: Arc<Shared<C>>) -> JoinHandle<()> {
    let task = Task {
        shared,
        reconciler: Reconciler::default(),
        signal_detector: SignalDetector::default(),
        weight_reads_from: MonotonicInstant::default(),
    };
    tokio::spawn(task.run())
}

/// Whether the remaining actions of a tick may be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Continue,
    /// The remaining actions are dropped: the running instances must be listed again first.
    ListAgain,
}

struct Task<C> {
    shared: Arc<Shared<C>>,
    reconciler: Reconciler,
    signal_detector: SignalDetector,
    /// Until this instant the weight store has asked not to be read.
    weight_reads_from: MonotonicInstant,
}

impl<C: Context> Task<C> {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(self.shared.settings.planner.interval.get());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            // The cloud doesn't check fencing tokens.
            if self.permission(FencingCheck::Ignored).is_none() {
                self.reconciler = Reconciler::default();
                continue;
            }
            let config = Arc::clone(&self.shared.config.borrow());
            if config.plan.is_none() {
                continue;
            }
            match take_inventory(&self.shared).await {
                Ok(inventory) => self.tick(&config, &inventory).await,
                Err(error) => log::warn!("event=census_failed error={:?}", error.to_string()),
            }
        }
    }

    /// The fencing token, if an order may be sent now to an upstream that handles tokens as `kind`
    /// says.
    fn permission(&self, kind: FencingCheck) -> Option<Fencing> {
        let now = self.shared.context.clock().now();
        match self.shared.lease.check(now, kind) {
            PermissionCheck::Granted(fencing) => Some(fencing),
            PermissionCheck::NotBefore(_) | PermissionCheck::Expired => None,
        }
    }

    async fn tick(&mut self, config: &Configuration, inventory: &Inventory) {
        let now = self.shared.context.clock().now();
        let actions = self.reconciler.on_tick(now, &inventory.running, config, &inventory.offers);
        let mut orders = Vec::new();
        let mut actions = actions.into_iter();
        for action in actions.by_ref() {
            let next = match action {
                Action::Start { token, kind } => self.start(token, kind).await,
                Action::Drain { instance } => self.drain(instance).await,
                Action::Stop { instance } => self.stop(&instance).await,
                Action::Order(order) => {
                    orders.push(order);
                    Next::Continue
                }
            };
            if next == Next::ListAgain {
                break;
            }
        }
        for action in actions {
            if let Action::Start { token, .. } = action {
                self.reconciler.on_start(now, &token, StartOutcome::NotSent);
            }
        }
        self.send_orders(config, inventory, orders).await;
        self.check_budgets(config, inventory).await;
        self.propose_if_signalled(config, inventory).await;
    }

    async fn start(&mut self, token: ClientToken, kind: InstanceKind) -> Next {
        if self.permission(FencingCheck::Ignored).is_none() {
            let now = self.shared.context.clock().now();
            self.reconciler.on_start(now, &token, StartOutcome::NotSent);
            return Next::ListAgain;
        }
        let InstanceKind { pool, data_centre, class, market } = kind;
        let request = StartRequest { token: token.clone(), data_centre, class, market, pool };
        let (outcome, next) = match self.shared.context.cloud().start(&request).await {
            Ok(reply) => {
                log::info!("event=instance_started instance={} token={token}", reply.instance);
                (StartOutcome::Started, Next::Continue)
            }
            Err(StartError::Refused(text)) => {
                log::info!("event=start_refused token={token} error={text:?}");
                (StartOutcome::Refused, Next::Continue)
            }
            Err(StartError::Unknown(text)) => {
                log::warn!("event=start_unknown token={token} error={text:?}");
                (StartOutcome::Unknown, Next::ListAgain)
            }
        };
        self.reconciler.on_start(self.shared.context.clock().now(), &token, outcome);
        next
    }

    async fn drain(&mut self, instance: Instance) -> Next {
        log::info!("event=instance_drained instance={instance}");
        self.signal_detector.on_stop(&instance);
        if let Err(error) = draining::announce(&self.shared.context, instance.clone()).await {
            // Without the record, only this daemon stops sending new requests to the instance.
            log::warn!("event=drain_append_failed error={:?}", error.to_string());
        }
        self.shared.upstreams.mark_leaving(instance).await;
        Next::Continue
    }

    async fn stop(&mut self, instance: &Instance) -> Next {
        if self.permission(FencingCheck::Ignored).is_none() {
            return Next::ListAgain;
        }
        self.signal_detector.on_stop(instance);
        match self.shared.context.cloud().stop(instance).await {
            Ok(()) => log::info!("event=instance_stopped instance={instance}"),
            Err(error) => {
                log::warn!("event=stop_failed instance={instance} error={:?}", error.to_string());
            }
        }
        Next::Continue
    }

    /// Sends orders. Engines of one data centre that lack the same weights share one read of the
    /// weight store.
    async fn send_orders(
        &mut self,
        config: &Configuration,
        inventory: &Inventory,
        orders: Vec<OrderAction>,
    ) {
        let mut groups: Vec<Vec<OrderAction>> = Vec::new();
        for order in orders {
            let key = |order: &OrderAction| {
                order.weights.clone().zip(inventory.data_centre(&order.instance).cloned())
            };
            let same_read = groups.iter_mut().find(|group| {
                order.weights.is_some()
                    && group.first().is_some_and(|first| key(first) == key(&order))
            });
            match same_read {
                Some(group) => group.push(order),
                None => groups.push(vec![order]),
            }
        }
        for group in groups {
            let weights = group.first().and_then(|order| order.weights.clone());
            let instances = group.iter().map(|order| order.instance.clone()).collect();
            if let Some(weights) = weights
                && !self.is_read_granted(instances, weights).await
            {
                continue;
            }
            for order in &group {
                self.send_order(config, inventory, order).await;
            }
        }
    }

    /// Whether the weight store grants a read of a model's weights now.
    async fn is_read_granted(
        &mut self,
        instances: Vec<Instance>,
        (model, version): (Model, Version),
    ) -> bool {
        let now = self.shared.context.clock().now();
        if now < self.weight_reads_from {
            return false;
        }
        let request = ReadRequest { model, version, instances };
        match self.shared.context.weights().read(&request).await {
            Ok(ReadReply::Granted) => true,
            Ok(ReadReply::Wait { after_ms }) => {
                self.weight_reads_from = now + Duration::from_millis(after_ms);
                false
            }
            Err(error) => {
                log::warn!("event=weights_failed error={:?}", error.to_string());
                false
            }
        }
    }

    async fn send_order(&self, config: &Configuration, inventory: &Inventory, order: &OrderAction) {
        let instance = &order.instance;
        let (Some(spec), Some(address)) =
            (config.pools.get(&order.pool), inventory.addresses.get(instance))
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

    /// Compares the spend of teams in the last hour with their budgets and publishes who is over.
    async fn check_budgets(&self, config: &Configuration, inventory: &Inventory) {
        let views = &self.shared.operator_views;
        let now = self.shared.context.clock().utc();
        let cells = views.levels.error_budgets.borrow().totals(now, SPEND_WINDOW);
        let running: Vec<_> = inventory.running.iter().map(|r| r.kind.clone()).collect();
        let offers = &inventory.offers;
        let input = CostInput { config, running: &running, offers, cells: &cells };
        let report = cost_report(now, &input);
        budgets::publish(&self.shared.context, &views.over_budget, &report).await;
    }

    /// Detects whether the plan still fits the deployment, and proposes a new one if a signal is
    /// raised.
    async fn propose_if_signalled(&mut self, config: &Configuration, inventory: &Inventory) {
        let Some(plan) = &config.plan else { return };
        let utc = self.shared.context.clock().utc();
        let cells =
            self.shared.operator_views.levels.error_budgets.borrow().totals(utc, ATTAINMENT_WINDOW);
        let observation = Observation {
            plan,
            running: &inventory.running,
            offers: &inventory.offers,
            short_pools: self.reconciler.underprovisioned_pools(),
            cells: &cells,
        };
        let now = self.shared.context.clock().now();
        let signals = self.signal_detector.on_observation(now, &observation);
        if signals.is_empty() {
            return;
        }
        let reclaims = self.signal_detector.reclaim_rates();
        proposer::propose(&self.shared, config, &observation, reclaims, &signals).await;
    }
}

#[cfg(test)]
mod tests;
