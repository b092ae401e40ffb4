//! What daemons tell each other of rollouts: the leader's steps, and what each daemon has observed.

use super::{PeerStatuses, State, millis};
use jsonrpsee::core::ClientError;
use spindle_daemon::StatusExchangeClient;
use spindle_policy::presence::{DEAD_AFTER, KnownDaemon, Presence};
use spindle_policy::rollout::{ALL_ROUTES, EvidenceMap, FleetView, RolloutStep};
use spindle_policy::rollout_status::{RolloutReport, RolloutStatus, RouteRates, StepNotice};
use spindle_types::{Clock, Incarnation, Instance, MonotonicInstant, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The interval at which a daemon judges what all daemons have observed: some heartbeats in a small
/// deployment. Sums over hundreds of statuses take milliseconds.
const JUDGE_INTERVAL: Duration = Duration::from_millis(400);

/// The steps that this daemon has stored as the holder of the lease, with the orders read.
#[derive(Clone, Debug)]
pub struct LedSteps {
    /// The steps in force.
    pub steps: Vec<RolloutStep>,
    /// When the orders were listed that they follow from.
    pub listed_at: MonotonicInstant,
    /// Until when this daemon holds the lease.
    pub until: MonotonicInstant,
}

/// What [`PeerStatuses`] keeps for rollouts.
#[derive(Debug, Default)]
pub(super) struct RolloutState {
    led: Option<LedSteps>,
    judged_at: MonotonicInstant,
    /// The steps of which the other daemons were told last by a notice.
    noticed: BTreeMap<Service, RolloutStep>,
    /// The orders of which the other daemons were told that they are stopped.
    stopped: BTreeMap<Service, u64>,
    /// Request rates of the services with a rollout, kept while this daemon leads.
    rates: BTreeMap<Service, RouteRates>,
}

impl RolloutState {
    fn led(&self, now: MonotonicInstant) -> Option<&LedSteps> {
        self.led.as_ref().filter(|led| now < led.until)
    }

    /// Whether the own status has to tell of other steps than it does.
    pub(super) fn has_news(&self, now: MonotonicInstant, own: &RolloutStatus) -> bool {
        let led = self.led(now);
        let steps = led.map_or(&[][..], |led| &led.steps);
        let is_told = |step: &RolloutStep| own.steps.get(&step.order.service) == Some(step);
        own.listed.is_some() != led.is_some() || !steps.iter().all(is_told)
    }
}

impl PeerStatuses {
    /// Sets the steps that this daemon has stored while it holds the lease. The others hear of them
    /// with its next heartbeat, which a change causes at once.
    pub(in crate::node) fn set_led_steps(&self, now: MonotonicInstant, led: Option<LedSteps>) {
        let mut state = self.state();
        if led.is_none() {
            state.rollouts.rates.clear();
            state.rollouts.noticed.clear();
            state.rollouts.stopped.clear();
        }
        state.rollouts.led = led;
        if let Some(led) = state.rollouts.led(now) {
            self.parts.rollouts.on_holder(now, (now, led.listed_at), led.steps.iter());
        }
    }

    /// Tells all live daemons at once of the steps that change what they do, in place of a whole status:
    /// the replies to that would carry the statuses of all daemons, once for each of them.
    pub(in crate::node) async fn announce_steps(&self) {
        let Some((notice, peers)) = self.step_notice(Vec::new()) else { return };
        self.send_notice(notice, peers).await;
    }

    /// Stops sending to the target of an order, and tells all live daemons to do the same.
    pub(in crate::node) async fn announce_stop(&self, service: Service, order: u64) {
        if self.state().rollouts.stopped.insert(service.clone(), order) == Some(order) {
            return;
        }
        self.parts.rollouts.on_stop(&service, order);
        let Some((notice, peers)) = self.step_notice(vec![(service, order)]) else { return };
        self.send_notice(notice, peers).await;
    }

    /// A notice of what is new, and the live daemons; none unless this daemon leads and has news.
    fn step_notice(&self, stopped: Vec<(Service, u64)>) -> Option<(StepNotice, Vec<SocketAddr>)> {
        let now = self.parts.clock.now();
        let mut state = self.state();
        let led = state.rollouts.led(now)?.clone();
        let noticed = &state.rollouts.noticed;
        let is_news = |step: &RolloutStep| {
            let before = noticed.get(&step.order.service);
            before.is_none_or(|before| step.changes_routing(before))
        };
        let steps: Vec<_> = led.steps.into_iter().filter(is_news).collect();
        if steps.is_empty() && stopped.is_empty() {
            return None;
        }
        let told = steps.iter().map(|step| (step.order.service.clone(), step.clone()));
        state.rollouts.noticed.extend(told);
        let notice = StepNotice {
            holder: self.parts.incarnation,
            uptime: millis(now.since(state.started_at)),
            listed: millis(now.since(led.listed_at)),
            steps,
            stopped,
        };
        Some((notice, state.presence.live(now).map(|daemon| daemon.identity.peer).collect()))
    }

    async fn send_notice(&self, notice: StepNotice, peers: Vec<SocketAddr>) {
        let calls: Vec<_> = peers
            .into_iter()
            .map(|peer| tokio::spawn(self.clone().send_notice_to(peer, notice.clone())))
            .collect();
        for call in calls {
            // An error means that the task panicked, which the runtime logs.
            let _ = call.await;
        }
    }

    async fn send_notice_to(self, peer: SocketAddr, notice: StepNotice) {
        let told = match self.connection(peer) {
            Ok(connection) => connection.step_notice(notice).await,
            Err(error) => Err(error),
        };
        match told {
            Ok(true) => {}
            // An earlier daemon has no such method, and one that has just started doesn't know this one.
            Ok(false) | Err(ClientError::Call(_)) => self.exchange_with(peer).await,
            Err(error) => log::debug!("event=step_notice_failed peer={peer} error={error:?}"),
        }
    }

    /// Applies a notice of the lease holder. Returns whether that daemon is known.
    pub(in crate::node) fn on_step_notice(&self, notice: &StepNotice) -> bool {
        let now = self.parts.clock.now();
        let made_at = {
            let state = self.state();
            let Some(holder) = state.presence.get(notice.holder) else { return false };
            holder.made_at_uptime(Duration::from_millis(notice.uptime)).min(now)
        };
        let listed_at = made_at - Duration::from_millis(notice.listed);
        self.parts.rollouts.on_holder(now, (made_at, listed_at), notice.steps.iter());
        for (service, order) in &notice.stopped {
            self.parts.rollouts.on_stop(service, *order);
        }
        true
    }

    /// Updates the part of the own status that concerns rollouts, for heartbeat `beat`.
    pub(super) fn update_own_rollouts(
        &self,
        now: MonotonicInstant,
        beat: u64,
        rollouts: &RolloutState,
        own: &mut RolloutStatus,
    ) {
        if !self.parts.rollouts.is_enabled() {
            return;
        }
        let led = rollouts.led(now);
        own.listed = led.map(|led| millis(now.since(led.listed_at)));
        let steps = led.map_or(&[][..], |led| &led.steps);
        own.steps.set(beat, steps.iter().map(|step| (step.order.service.clone(), step.clone())));
        let (reports, evidence) = self.parts.rollouts.reports(now);
        own.reports.set(beat, reports);
        own.evidence.set(beat, evidence);
    }

    /// Applies the steps that the newest status of a daemon confirms, if that one leads.
    pub(super) fn apply_rollouts(&self, now: MonotonicInstant, daemon: Incarnation) {
        if !self.parts.rollouts.is_enabled() {
            return;
        }
        let state = self.state();
        let Some(known) = state.presence.get(daemon) else { return };
        let rollouts = &known.status.rollouts;
        if let Some(listed) = rollouts.listed {
            let made_at = known.made_at();
            let listed_at = made_at - Duration::from_millis(listed);
            let steps = rollouts.steps.iter().map(|(_, step)| step);
            self.parts.rollouts.on_holder(now, (made_at, listed_at), steps);
        }
    }

    /// Keeps the versions of the upstreams up to date, and judges what all daemons have observed of
    /// the services with a rollout.
    pub(super) fn follow_rollouts(&self, now: MonotonicInstant, state: &mut State) {
        if !self.parts.rollouts.is_enabled() {
            return;
        }
        self.parts.balancer.tell_all_versions(now);
        if now.since(state.rollouts.judged_at) < JUDGE_INTERVAL {
            return;
        }
        state.rollouts.judged_at = now;
        for (service, order) in self.parts.rollouts.counted(now) {
            let evidence = self.sum_evidence(state, &service, order);
            self.parts.rollouts.on_evidence(now, &service, &evidence);
        }
    }

    /// What all daemons have observed since the order of first sequence `order`.
    fn sum_evidence(&self, state: &State, service: &Service, order: u64) -> EvidenceMap {
        let mut sum = self.parts.rollouts.evidence(service, order);
        for daemon in state.presence.iter() {
            daemon.status.rollouts.add_evidence(service, order, &mut sum);
        }
        sum
    }

    /// What all daemons tell of a service, for the decision on the step after `step`.
    pub(in crate::node) fn fleet_view(
        &self,
        now: MonotonicInstant,
        service: &Service,
        step: Option<&RolloutStep>,
    ) -> FleetView {
        let versions = self.parts.rollouts.versions(service);
        let Some(step) = step else { return FleetView { versions, ..FleetView::default() } };
        let mut state = self.state();
        let evidence = self.sum_evidence(&state, service, step.first_sequence);
        let (own, _) = self.parts.rollouts.reports(now);
        let own = own.into_iter().find(|(found, _)| found == service).map(|(_, report)| report);
        let State { presence, rollouts, .. } = &mut *state;
        let rates = rollouts.rates.entry(service.clone()).or_default();
        let reports = presence.iter().filter_map(|daemon| {
            Some((daemon.status.incarnation, daemon.status.rollouts.reports.get(service)?))
        });
        let own_sent = own.iter().map(|report| (self.parts.incarnation, report));
        rates.on_sent(now, reports.chain(own_sent).map(|(daemon, report)| (daemon, &report.sent)));
        let mut view =
            FleetView { evidence, route_rates: rates.rates(), versions, ..FleetView::default() };
        add_in_flight(&mut view, step, own.as_ref());
        for daemon in with_requests(now, presence) {
            add_in_flight(&mut view, step, daemon.status.rollouts.reports.get(service));
        }
        let ages = presence.live(now).map(|daemon| now.since(daemon.made_at()));
        view.news_age = ages.max().unwrap_or_default();
        view
    }
}

/// The daemons that may still have requests in flight: those that haven't been silent for long. Of
/// each instance only the newest counts.
fn with_requests(now: MonotonicInstant, presence: &Presence) -> impl Iterator<Item = &KnownDaemon> {
    let mut newest: BTreeMap<&Instance, &KnownDaemon> = BTreeMap::new();
    for daemon in presence.iter().filter(|daemon| now.since(daemon.at) <= DEAD_AFTER) {
        let known = newest.entry(&daemon.identity.instance).or_insert(daemon);
        if daemon.at > known.at {
            *known = daemon;
        }
    }
    newest.into_values()
}

/// Adds the requests in flight of one daemon. One that doesn't follow the stage of the step yet may
/// send further requests to the old version, so it counts as having one there.
fn add_in_flight(view: &mut FleetView, step: &RolloutStep, report: Option<&RolloutReport>) {
    let report = report.filter(|report| report.order == step.first_sequence);
    view.is_convicted |= report.is_some_and(|report| report.is_convicted);
    let Some(report) = report.filter(|report| report.stage >= step.stage) else {
        *view.old_in_flight.entry(ALL_ROUTES.to_owned()).or_default() += 1;
        return;
    };
    for (route, count) in &report.old_in_flight {
        *view.old_in_flight.entry(route.clone()).or_default() += count;
    }
    view.target_in_flight += report.target_in_flight;
}
