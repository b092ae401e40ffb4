//! Rollouts, as the holder of the lease runs them: reads the operators' orders, stores each step before
//! any daemon hears of it, and tells the operators how far the rollouts are.
//!
//! It runs as a task of its own beside the [`Leader`](super::leader::Leader), so that a store that
//! doesn't answer delays no renewal of the lease. It acts only while the lease is valid. A step is
//! appended at the offset up to which this daemon has read. A new holder appends the steps in force
//! again under its own fencing token, so that a late append of the previous holder conflicts.

mod states;

use self::states::WrittenStates;
use super::status_exchange::PeerStatuses;
use super::status_exchange::rollouts::LedSteps;
use serde::{Deserialize, Serialize};
use spindle_policy::lease::{Permission, PermissionCheck};
use spindle_policy::rollout::{FleetView, RolloutBounds, RolloutController, RolloutStep};
use spindle_policy::store_era::{EraChange, StoreEra};
use spindle_relay::RolloutWatch;
use spindle_relay::backends::{
    AppendOutcome, Appended, OrderList, Store, StoreError, Topic, TopicRecords,
};
use spindle_types::config::FencingCheck;
use spindle_types::{Clock, Fencing, MonotonicInstant, Service, UtcInstant};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The interval at which the holder looks for due steps.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which the orders are listed.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of an append or a read. Longer than an answer takes when the store is slow, and short
/// enough that another rollout isn't held up for long.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an append or a read is waited for before the next decision, which is then made from newer
/// evidence.
const ANSWER_WAIT: Duration = Duration::from_millis(150);

/// How long a listing is waited for before the next steps. One that takes longer is applied later.
const LIST_WAIT: Duration = Duration::from_millis(100);

/// What the holder knows of the other daemons, and tells them.
pub trait RolloutFleet: Send + Sync + 'static {
    /// The wall-clock time on which most daemons agree.
    fn utc(&self, now: MonotonicInstant) -> UtcInstant;
    /// What all daemons have observed of a service under a step.
    fn view(
        &self,
        now: MonotonicInstant,
        service: &Service,
        step: Option<&RolloutStep>,
    ) -> FleetView;
    /// The newest steps that this daemon has heard of.
    fn known_steps(&self) -> Vec<RolloutStep>;
    /// Tells the other daemons of the steps in force, with the next heartbeats; at once if they are
    /// `news`. None if this daemon doesn't hold the lease.
    fn tell(&self, now: MonotonicInstant, led: Option<LedSteps>, news: bool);
    /// Has all daemons stop sending to the target of the order of first sequence `order`, at once.
    /// Unlike a step, that needs no record: a daemon that stopped reports it to the next holder.
    fn stop(&self, service: &Service, order: u64);
}

impl RolloutFleet for (PeerStatuses, RolloutWatch) {
    fn utc(&self, now: MonotonicInstant) -> UtcInstant {
        self.0.agreed_utc(now)
    }

    fn view(
        &self,
        now: MonotonicInstant,
        service: &Service,
        step: Option<&RolloutStep>,
    ) -> FleetView {
        self.0.fleet_view(now, service, step)
    }

    fn known_steps(&self) -> Vec<RolloutStep> {
        self.1.steps()
    }

    fn tell(&self, now: MonotonicInstant, led: Option<LedSteps>, news: bool) {
        self.0.set_led_steps(now, led);
        if news {
            let statuses = self.0.clone();
            tokio::spawn(async move { statuses.announce_steps().await });
        }
    }

    fn stop(&self, service: &Service, order: u64) {
        let (statuses, service) = (self.0.clone(), service.clone());
        tokio::spawn(async move { statuses.announce_stop(service, order).await });
    }
}

/// A record of the topic: steps that the holder of a lease has stored.
#[derive(Debug, Serialize, Deserialize)]
struct StepRecord {
    /// The fencing token of the lease.
    fencing: Fencing,
    /// The steps, of different services.
    steps: Vec<RolloutStep>,
}

/// The steps as far as they have been read from the store.
#[derive(Debug, Default)]
struct StoredSteps {
    /// The offset at which the next record is read or appended.
    next: u64,
    /// Whether the topic has been read to its end since the last doubt.
    is_read: bool,
    /// Whether the steps in force are to be appended again: the lease was taken, or the store was
    /// restored from a copy that may lack them.
    is_repeat_due: bool,
}

/// What is known under one lease.
#[derive(Debug)]
struct Term {
    fencing: Fencing,
    stored: StoredSteps,
    controllers: BTreeMap<Service, RolloutController>,
    /// When the last listing of the orders began that was applied.
    listed_at: Option<MonotonicInstant>,
    /// When the listing began from which all steps that follow are stored.
    stored_for: Option<MonotonicInstant>,
    /// An append that isn't answered yet.
    appending: Option<Appending>,
    /// A read that isn't answered yet.
    reading: Option<Pending<TopicRecords>>,
}

/// A call to the store that goes on beyond [`ANSWER_WAIT`].
#[derive(Debug)]
struct Pending<T> {
    call: JoinHandle<Result<T, StoreError>>,
    began: MonotonicInstant,
    /// The offset that it appends at or reads from.
    offset: u64,
}

/// An append of steps.
#[derive(Debug)]
struct Appending {
    steps: Vec<RolloutStep>,
    pending: Pending<Appended>,
}

/// Runs the rollouts of all services while this daemon holds the lease.
#[derive(Debug)]
pub struct RolloutLeader<S, F, K> {
    bounds: RolloutBounds,
    store: S,
    fleet: F,
    clock: K,
    permission: watch::Receiver<Option<Permission>>,
    era: StoreEra,
    term: Option<Term>,
    /// A listing of the orders that isn't applied yet.
    listing: Option<JoinHandle<Result<OrderList, StoreError>>>,
    /// When the last listing began.
    list_began: Option<MonotonicInstant>,
    /// Services with an order that can't be decoded, and why.
    unreadable: BTreeMap<String, String>,
    written: WrittenStates,
}

impl<S: Store, F: RolloutFleet, K: Clock> RolloutLeader<S, F, K> {
    /// Creates the task of a daemon that does not hold the lease yet.
    pub fn new(
        bounds: RolloutBounds,
        (store, fleet, clock): (S, F, K),
        permission: watch::Receiver<Option<Permission>>,
    ) -> Self {
        Self {
            bounds,
            store,
            fleet,
            clock,
            permission,
            era: StoreEra::default(),
            term: None,
            listing: None,
            list_began: None,
            unreadable: BTreeMap::new(),
            written: WrittenStates::default(),
        }
    }

    /// Runs until the process exits.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(STEP_INTERVAL).await;
            self.advance().await;
        }
    }

    /// Takes all steps that are due.
    pub async fn advance(&mut self) {
        let Some(permission) = self.valid_permission() else { return self.on_lease_lost() };
        if self.term.as_ref().is_none_or(|term| term.fencing != permission.fencing) {
            self.begin_term(permission.fencing);
        }
        self.stop_bad();
        if !self.read_steps().await {
            return;
        }
        self.repeat_steps().await;
        self.list_orders().await;
        let news = self.take_steps().await;
        self.tell(news);
        self.write_states().await;
    }

    fn valid_permission(&self) -> Option<Permission> {
        let permission = (*self.permission.borrow())?;
        let check = permission.check(self.clock.now(), FencingCheck::Checked, Duration::ZERO);
        matches!(check, PermissionCheck::Granted(_)).then_some(permission)
    }

    fn on_lease_lost(&mut self) {
        if self.term.take().is_some() {
            self.fleet.tell(self.clock.now(), None, false);
            self.written.acknowledged.clear();
        }
    }

    fn begin_term(&mut self, fencing: Fencing) {
        let stored = StoredSteps { is_repeat_due: true, ..StoredSteps::default() };
        let controllers = BTreeMap::new();
        let mut term = Term {
            fencing,
            stored,
            controllers,
            listed_at: None,
            stored_for: None,
            appending: None,
            reading: None,
        };
        // The store may have been restored from a copy that lacks steps which daemons follow.
        let now = self.clock.now();
        for step in self.fleet.known_steps() {
            term.on_stored(now, self.bounds, step);
        }
        self.term = Some(term);
        // A listing that began earlier may lack an order whose steps are already stored.
        (self.listing, self.list_began) = (None, None);
        self.written.acknowledged.clear();
    }

    /// Whether an answer of the store may be used, given its era. After a restore from an older copy,
    /// the steps and the states that the copy may lack are written again.
    fn is_current(&mut self, era: Option<u64>) -> bool {
        match self.era.on_answer(era) {
            EraChange::Unchanged => true,
            EraChange::Outdated => false,
            EraChange::Restored { was } => {
                log::warn!("event=store_restored feed=rollouts era={era:?} was={was}");
                if let Some(term) = &mut self.term {
                    term.stored = StoredSteps { is_repeat_due: true, ..StoredSteps::default() };
                }
                self.written.acknowledged.clear();
                false
            }
        }
    }

    /// Reads the stored steps up to the end of the topic, if that is due. Returns whether all are
    /// known.
    async fn read_steps(&mut self) -> bool {
        loop {
            let Some(term) = &self.term else { return false };
            if term.stored.is_read {
                return true;
            }
            let from = term.stored.next;
            let Some(read) = self.read_from(from).await else { return false };
            let TopicRecords { end, records, era, .. } = match read {
                Ok(found) => found,
                Err(error) => {
                    log::debug!("event=rollout_steps_unread error={error:?}");
                    return false;
                }
            };
            if !self.is_current(era) {
                return false;
            }
            let now = self.clock.now();
            let Some(term) = &mut self.term else { return false };
            let next = records.last().map_or(end, |(offset, _)| offset + 1);
            for (offset, content) in records {
                match serde_json::from_slice::<StepRecord>(&content) {
                    Ok(record) => {
                        let steps = record.steps.into_iter();
                        steps.for_each(|step| term.on_stored(now, self.bounds, step));
                    }
                    Err(error) => {
                        log::warn!(
                            "event=rollout_steps_unreadable offset={offset} error={error:?}"
                        );
                    }
                }
            }
            term.stored.next = next;
            term.stored.is_read = next >= end;
        }
    }

    /// Reads the topic from an offset; none while the store hasn't answered.
    async fn read_from(&mut self, from: u64) -> Option<Result<TopicRecords, StoreError>> {
        let began = self.clock.now();
        let term = self.term.as_mut()?;
        let reading = term.reading.take().filter(|reading| reading.offset == from);
        let mut reading = reading.unwrap_or_else(|| {
            let store = self.store.clone();
            let read = async move { bounded(store.read_topic(Topic::Rollouts, from)).await };
            Pending { call: tokio::spawn(read), began, offset: from }
        });
        let answer = reading.answer().await;
        if answer.is_none() {
            term.reading = Some(reading);
        }
        answer
    }

    /// Appends the steps in force again, if that is due.
    async fn repeat_steps(&mut self) {
        let Some(term) = &self.term else { return };
        if !term.stored.is_repeat_due {
            return;
        }
        let steps = term.steps();
        if (steps.is_empty() || self.append(steps).await.is_some())
            && let Some(term) = &mut self.term
        {
            term.stored.is_repeat_due = false;
        }
    }

    /// Appends steps, and returns those that the store has acknowledged. While it hasn't answered, an
    /// append of the same steps goes on, and other steps take its place at the same offset, so that only
    /// one of them is stored.
    async fn append(&mut self, steps: Vec<RolloutStep>) -> Option<Vec<RolloutStep>> {
        self.valid_permission()?;
        let term = self.term.as_mut()?;
        let next = term.stored.next;
        let is_same = |appending: &Appending| {
            appending.pending.offset == next
                && appending.steps.len() == steps.len()
                && appending.steps.iter().zip(&steps).all(|(old, new)| !new.replaces(old))
        };
        let mut appending = match term.appending.take() {
            Some(appending) if is_same(&appending) => appending,
            _ => {
                let record = StepRecord { fencing: term.fencing, steps };
                let content = match serde_json::to_vec(&record) {
                    Ok(content) => content,
                    Err(error) => {
                        log::error!("event=encode_failed error={error:?}");
                        return None;
                    }
                };
                let store = self.store.clone();
                let append = async move {
                    bounded(store.append(Topic::Rollouts, next, content.into())).await
                };
                let began = self.clock.now();
                let pending = Pending { call: tokio::spawn(append), began, offset: next };
                Appending { steps: record.steps, pending }
            }
        };
        let Some(result) = appending.pending.answer().await else {
            log::info!(
                "event=rollout_append_pending at={next} age_ms={}",
                self.clock.now().since(appending.pending.began).as_millis()
            );
            term.appending = Some(appending);
            return None;
        };
        if let Ok(Appended { era, .. }) = result
            && !self.is_current(era)
        {
            return None;
        }
        let term = self.term.as_mut()?;
        match result.map(|appended| appended.outcome) {
            Ok(AppendOutcome::At(offset)) => {
                term.stored.next = offset + 1;
                return Some(appending.steps);
            }
            // Another daemon has appended: its steps are read before anything else is stored.
            Ok(AppendOutcome::Conflict { end }) => {
                log::info!("event=rollout_conflict at={next} end={end}");
                term.stored.is_repeat_due = true;
            }
            // It may have been appended, which the next read tells.
            Err(error) => log::warn!("event=rollout_append_failed at={next} error={error:?}"),
        }
        term.stored.is_read = false;
        None
    }

    /// Has the daemons stop sending to targets that are found bad, before the store is asked for
    /// anything.
    fn stop_bad(&mut self) {
        let now = self.clock.now();
        let Some(term) = &mut self.term else { return };
        for (service, controller) in &mut term.controllers {
            let view = self.fleet.view(now, service, controller.current());
            if let Some(order) = controller.bad_order(now, &view) {
                self.fleet.stop(service, order);
            }
        }
    }

    /// Begins to list the orders if that is due, and applies those that have been listed.
    async fn list_orders(&mut self) {
        let now = self.clock.now();
        if self.listing.is_none()
            && self.list_began.is_none_or(|began| now.since(began) >= LIST_INTERVAL)
        {
            self.list_began = Some(now);
            let store = self.store.clone();
            self.listing = Some(tokio::spawn(async move { store.rollout_orders().await }));
        }
        let Some(listing) = &mut self.listing else { return };
        let Ok(listed) = tokio::time::timeout(LIST_WAIT, listing).await else { return };
        self.listing = None;
        match listed {
            Ok(Ok(list)) if self.is_current(list.era) => {
                self.on_orders(self.list_began.unwrap_or(now), list);
            }
            Ok(Ok(_)) => {}
            Ok(Err(error)) => log::debug!("event=rollout_orders_unread error={error:?}"),
            Err(error) => log::warn!("event=rollout_orders_unread error={error:?}"),
        }
    }

    /// Applies the orders that a listing which began at `began` has found.
    fn on_orders(&mut self, began: MonotonicInstant, list: OrderList) {
        for (service, cause) in &list.unreadable {
            if self.unreadable.get(service) != Some(cause) {
                log::warn!("event=rollout_order_unreadable service={service} error={cause:?}");
            }
        }
        let Some(term) = &mut self.term else { return };
        let (utc, era) = (self.fleet.utc(began), list.era.unwrap_or_default());
        let listed_at = term.listed_at;
        let mut orders: BTreeMap<Service, _> =
            list.orders.into_iter().map(|order| (order.service.clone(), order)).collect();
        for service in orders.keys() {
            let new = || RolloutController::new(service.clone(), self.bounds, listed_at);
            term.controllers.entry(service.clone()).or_insert_with(new);
        }
        for (service, controller) in &mut term.controllers {
            if !list.unreadable.contains_key(service.as_str()) {
                controller.on_order(began, utc, era, orders.remove(service));
            }
        }
        term.listed_at = Some(began);
        self.unreadable = list.unreadable;
    }

    /// Stores the next step of each service that has one, then tells it. Returns whether steps remain
    /// to be told.
    async fn take_steps(&mut self) -> bool {
        let Some(term) = &self.term else { return false };
        if term.listed_at.is_none() {
            return false;
        }
        // Daemons release versions that were registered before the listing and have no step, so
        // the steps that follow from the first listing are told together.
        let is_first = term.stored_for.is_none();
        let mut untold = false;
        let services: Vec<Service> = term.controllers.keys().cloned().collect();
        for service in services {
            let now = self.clock.now();
            let utc = self.fleet.utc(now);
            let Some(term) = self.term.as_mut().filter(|term| term.stored.is_ready()) else {
                return false;
            };
            let Some(controller) = term.controllers.get_mut(&service) else { continue };
            let view = self.fleet.view(now, &service, controller.current());
            let Some(step) = controller.next_step(now, utc, &view) else { continue };
            let Some(stored) = self.append(vec![step]).await else { return false };
            let now = self.clock.now();
            for step in stored {
                log_step(&step, &view);
                if let Some(term) = &mut self.term {
                    term.on_stored(now, self.bounds, step);
                }
            }
            if is_first {
                untold = true;
            } else {
                self.tell(true);
            }
        }
        if let Some(term) = &mut self.term {
            term.stored_for = term.listed_at;
        }
        untold
    }

    /// Tells the other daemons of the steps in force, once all are stored and the orders known.
    fn tell(&self, news: bool) {
        let Some(term) = &self.term else { return };
        let Some(permission) = self.valid_permission() else { return };
        let Some(listed_at) = term.stored_for else { return };
        if permission.fencing != term.fencing || !term.stored.is_ready() {
            return;
        }
        let led = LedSteps { steps: term.steps(), listed_at, until: permission.until };
        self.fleet.tell(self.clock.now(), Some(led), news);
    }
}

impl<T> Pending<T> {
    /// The answer, if it comes within [`ANSWER_WAIT`].
    async fn answer(&mut self) -> Option<Result<T, StoreError>> {
        let answer = tokio::time::timeout(ANSWER_WAIT, &mut self.call).await.ok()?;
        Some(answer.unwrap_or_else(|error| Err(StoreError::Lost(error.to_string()))))
    }
}

impl<T> Drop for Pending<T> {
    fn drop(&mut self) {
        self.call.abort();
    }
}

impl StoredSteps {
    /// Whether the store holds the steps in force, as far as this daemon knows.
    const fn is_ready(&self) -> bool {
        self.is_read && !self.is_repeat_due
    }
}

impl Term {
    fn on_stored(&mut self, now: MonotonicInstant, bounds: RolloutBounds, step: RolloutStep) {
        let service = step.order.service.clone();
        let new = || RolloutController::new(service.clone(), bounds, None);
        self.controllers.entry(service.clone()).or_insert_with(new).on_stored(now, step);
    }

    /// The steps in force.
    fn steps(&self) -> Vec<RolloutStep> {
        self.controllers.values().filter_map(|controller| controller.current().cloned()).collect()
    }
}

/// A call to the store that ends within [`CALL_TIMEOUT`].
async fn bounded<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    let timed_out = |_| StoreError::Lost("no answer in time".to_owned());
    tokio::time::timeout(CALL_TIMEOUT, call).await.map_err(timed_out)?
}

fn log_step(step: &RolloutStep, view: &FleetView) {
    let (mut answers, mut failed) = ([0, 0], [0, 0]);
    for ((_, upstream), counts) in &view.evidence.0 {
        let side = usize::from(upstream.is_some());
        answers[side] += u64::from(counts.answers);
        failed[side] += u64::from(counts.failed);
    }
    log::info!(
        "event=rollout service={} target={} stage={} sequence={} reason={} answers={} failed={} \
         old_answers={} old_failed={} target_upstreams={} used_upstreams={} share={:.4} \
         per_s={:.1} old_in_flight={} target_in_flight={} news_age_ms={} deadline={}",
        step.order.service,
        step.order.target,
        step.stage,
        step.sequence,
        step.reason,
        answers[1],
        failed[1],
        answers[0],
        failed[0],
        view.versions.upstreams(&step.order.target),
        step.upstreams,
        step.default_share,
        view.route_rates.values().sum::<f64>(),
        view.old_in_flight.values().sum::<u32>(),
        view.target_in_flight,
        view.news_age.as_millis(),
        step.deadline_utc_ms,
    );
}

#[cfg(test)]
mod tests;
