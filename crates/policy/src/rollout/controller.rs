//! The lease holder's decisions on one rollout.

use super::share::{Budget, Loaded, PULSE, PULSE_PAUSE, equal_shares, trial_size};
use super::{
    DECISION_LEAD, EvidenceHistory, FleetView, RESTORE_GRACE, RolloutBounds, RolloutOrder,
    RolloutStep, STEP_VALIDITY, Stage, StepReason, TrialPhase, Verdict,
};
use spindle_types::{MonotonicInstant, Service, SoftwareVersion, UtcInstant};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The age that an order is assumed to have if it is in a holder's first listing: the time until
/// another daemon takes over from a holder that died, 3.5 s, and two listings.
const ORDER_AGE_MAX: Duration = Duration::from_millis(4_500);

/// Time between two listings of the orders.
const LISTING_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two changes of the shares, so that steps don't fill the store.
const SHARES_INTERVAL: Duration = Duration::from_secs(1);

/// Relative change of the number of trial requests per second from which the shares are changed.
const SHARES_CHANGE: f64 = 0.25;

/// Part of the age of the statuses by which the trial ends before the switch. A version that turns
/// bad in the rest of this time is seen less well, one that was bad before is seen better.
const TOLD_PART: f64 = 0.5;

/// Time before the last useful evidence at which the pulses begin, in seconds: two pulses, the
/// pause between them, and the time in which steps arrive.
const PULSES_S: f64 = 2.2;

/// Part of the planned requests in flight at loaded upstreams that a trial has to reach. Statuses show
/// them some heartbeats apart, and requests arrive unevenly.
const LOADED_MIN: f64 = 0.6;

/// Part of the trial's requests after which its second half begins.
const SECOND_HALF: f64 = 0.5;

/// Time for a switch to arrive at all daemons, and for their statuses to tell of it, beyond the age
/// of the statuses.
const SWITCH_SPREAD: Duration = Duration::from_millis(300);

/// Half of the time between two calls of `next_step`, in seconds. A switch is made at the call
/// that is nearest to its time.
const HALF_TICK_S: f64 = 0.125;

/// The newest listing of the orders.
#[derive(Clone, Debug)]
struct Listing {
    at: MonotonicInstant,
    era: u64,
    /// When this holder first listed the orders in this era.
    era_since: MonotonicInstant,
    order: Option<RolloutOrder>,
}

/// What the listing says of the order that is carried out.
enum Listed {
    /// Nothing yet, or an outdated record.
    Unknown,
    Same(RolloutOrder),
    Other(RolloutOrder),
    Gone,
}

/// Runs at the lease holder: one for each service with an order or a stored step.
///
/// A step that [`Self::next_step`] proposes is in force only once [`Self::on_stored`] has been
/// called with it, after the store acknowledged it. Until then, each call proposes anew.
#[derive(Debug)]
pub struct RolloutController {
    service: Service,
    bounds: RolloutBounds,
    /// When the orders were last listed without the newest order.
    listed_at: Option<MonotonicInstant>,
    listing: Option<Listing>,
    /// The newest order that was listed, and the deadline that follows from its first listing.
    arrived: Option<(RolloutOrder, UtcInstant)>,
    current: Option<RolloutStep>,
    /// When the step in force was stored, or read.
    stored_at: MonotonicInstant,
    /// The highest sequence of any step that is known.
    sequence: u64,
    history: EvidenceHistory,
    /// The number of trial requests that the steps in force have sent by now.
    planned: Planned,
    /// The largest number of requests in flight that an old upstream had on average.
    per_old: f64,
    /// The largest number of requests in flight at the target while its upstreams were loaded.
    loaded_peak: u32,
}

impl RolloutController {
    /// Creates the controller of a service. `listed_at` is when this holder last listed the orders
    /// without one for this service; none if this is its first listing. The order is assumed to be
    /// as old as that allows.
    pub fn new(
        service: Service,
        bounds: RolloutBounds,
        listed_at: Option<MonotonicInstant>,
    ) -> Self {
        Self {
            service,
            bounds,
            listed_at,
            listing: None,
            arrived: None,
            current: None,
            stored_at: MonotonicInstant::default(),
            sequence: 0,
            history: EvidenceHistory::default(),
            planned: Planned::default(),
            per_old: 0.0,
            loaded_peak: 0,
        }
    }

    /// The service.
    pub const fn service(&self) -> &Service {
        &self.service
    }

    /// The step in force.
    pub const fn current(&self) -> Option<&RolloutStep> {
        self.current.as_ref()
    }

    /// The newest order in a listing that was read in the store's era `era`; none if the key is gone
    /// or has no value, which withdraws the order. To be called for each listing that succeeded.
    pub fn on_order(
        &mut self,
        now: MonotonicInstant,
        utc: UtcInstant,
        era: u64,
        order: Option<RolloutOrder>,
    ) {
        let before = self.listing.as_ref();
        if before.is_some_and(|before| before.era > era) {
            return;
        }
        let era_since = before.filter(|before| before.era == era).map_or(now, |b| b.era_since);
        if let Some(order) = &order {
            self.on_arrival(now, utc, order);
        } else {
            self.listed_at = Some(now);
        }
        self.listing = Some(Listing { at: now, era, era_since, order });
    }

    /// Derives the deadline of an order that wasn't listed before. After a gap in the listings, it
    /// counts from the time at which the order can have been acknowledged at the earliest. Between
    /// two listings in short order it counts from the middle: the error of a quarter of a second is
    /// covered by [`DECISION_LEAD`], and a switch that is early by half a second costs the exposure
    /// a third of what is allowed.
    fn on_arrival(&mut self, now: MonotonicInstant, utc: UtcInstant, order: &RolloutOrder) {
        if let Some((known, _)) = self.arrived.as_mut().filter(|(known, _)| known.is_same(order)) {
            *known = order.clone();
            return;
        }
        let last = self.listing.as_ref().map(|listing| listing.at).max(self.listed_at);
        let age = last.map_or(ORDER_AGE_MAX, |last| now.since(last).min(ORDER_AGE_MAX));
        let age = age.saturating_sub(LISTING_INTERVAL / 2).max(age.min(LISTING_INTERVAL) / 2);
        let deadline = utc.0.saturating_sub(millis(age)).saturating_add(millis(order.duration));
        self.arrived = Some((order.clone(), UtcInstant(deadline)));
    }

    /// A step that was acknowledged by the store, read at take-over, or received from a peer: the
    /// most advanced step wins.
    pub fn on_stored(&mut self, now: MonotonicInstant, step: RolloutStep) {
        self.sequence = self.sequence.max(step.sequence);
        if self.current.as_ref().is_some_and(|current| !step.supersedes(current)) {
            return;
        }
        let first = self.current.as_ref().map(|current| current.first_sequence);
        if first != Some(step.first_sequence) {
            self.history = EvidenceHistory::default();
            self.planned = Planned::default();
            self.per_old = 0.0;
            self.loaded_peak = 0;
        }
        self.current = Some(step);
        self.stored_at = now;
    }

    /// The first sequence of the order in force, if its target is found bad. The target is to get no more
    /// requests then, also while the step that says so can't be stored.
    pub fn bad_order(&mut self, now: MonotonicInstant, view: &FleetView) -> Option<u64> {
        let current = self.current.as_ref().filter(|current| !current.stage.is_final())?;
        let is_bad = view.is_convicted
            || matches!(self.history.judge(now, &view.evidence), Verdict::Bad { .. });
        is_bad.then_some(current.first_sequence)
    }

    /// The next step, to be stored and then sent; none if the step in force remains.
    pub fn next_step(
        &mut self,
        now: MonotonicInstant,
        utc: UtcInstant,
        view: &FleetView,
    ) -> Option<RolloutStep> {
        let listed = self.listed(now);
        let Some(current) = self.current.clone() else {
            return match listed {
                Listed::Other(order) => Some(self.begin(order, view)),
                Listed::Unknown | Listed::Same(_) | Listed::Gone => None,
            };
        };
        let is_running = !current.stage.is_final();
        match listed {
            Listed::Gone if is_running => {
                Some(self.advance(&current, Stage::RolledBack, StepReason::Withdrawn))
            }
            Listed::Other(order) if is_running && order.target == current.order.target => {
                // The same rollout with another duration: what was found so far stays valid.
                Some(self.renew(&current, order))
            }
            Listed::Other(_) if is_running => {
                Some(self.advance(&current, Stage::RolledBack, StepReason::Replaced))
            }
            Listed::Other(order) => Some(self.begin(order, view)),
            Listed::Same(order) if order.revision > current.order.revision => {
                let step = self.advance(&current, current.stage, StepReason::Recorded);
                Some(RolloutStep { order, ..step })
            }
            _ if is_running => self.carry_on(now, utc, &current, view),
            _ => None,
        }
    }

    /// Compares the listing with the order that is carried out. After a restore of the store, an
    /// order can be missing until the operator has written it again.
    fn listed(&self, now: MonotonicInstant) -> Listed {
        let Some(listing) = &self.listing else { return Listed::Unknown };
        let current = self.current.as_ref().map(|current| &current.order);
        let is_restored = current.is_some_and(|current| listing.era > current.revision.era);
        let is_grace = is_restored && now.since(listing.era_since) < RESTORE_GRACE;
        match (&listing.order, current) {
            (Some(order), Some(current)) if order.is_same(current) => Listed::Same(order.clone()),
            (_, Some(_)) if is_grace => Listed::Unknown,
            (Some(order), Some(current)) if order.revision < current.revision => Listed::Unknown,
            (Some(order), _) => Listed::Other(order.clone()),
            (None, _) => Listed::Gone,
        }
    }

    /// The first step of an order.
    fn begin(&self, order: RolloutOrder, view: &FleetView) -> RolloutStep {
        let deadline_utc_ms = self.deadline_utc_ms(&order);
        let base = self.base(&order.target, view);
        // An order back to the version that serves needs no trial.
        let is_alone =
            view.versions.upstreams(&order.target) > 0 && view.versions.others(&order.target) == 0;
        let is_sole = is_alone || base.as_ref() == Some(&order.target);
        RolloutStep {
            order,
            stage: if is_sole { Stage::Completed } else { Stage::Trial },
            sequence: self.sequence + 1,
            first_sequence: self.sequence + 1,
            deadline_utc_ms,
            shares: BTreeMap::new(),
            default_share: 0.0,
            phase: TrialPhase::Spread,
            upstreams: if is_sole { u32::MAX } else { 0 },
            base,
            reason: if is_sole { StepReason::Sole } else { StepReason::Ordered },
        }
    }

    /// The deadline of an order that was listed.
    fn deadline_utc_ms(&self, order: &RolloutOrder) -> u64 {
        let arrived = self.arrived.as_ref().filter(|(known, _)| known.is_same(order));
        arrived.map_or(0, |(_, deadline)| deadline.0)
    }

    /// The order of `current` was issued again.
    fn renew(&self, current: &RolloutStep, order: RolloutOrder) -> RolloutStep {
        let deadline_utc_ms = self.deadline_utc_ms(&order);
        let step = self.advance(current, current.stage, StepReason::Recorded);
        RolloutStep { order, deadline_utc_ms, ..step }
    }

    /// The version that serves: the one that the last rollout ended with, or the version of the
    /// longest-running upstream.
    fn base(&self, target: &SoftwareVersion, view: &FleetView) -> Option<SoftwareVersion> {
        let last = self.current.as_ref();
        let ended_with = last.and_then(|last| match last.stage {
            Stage::Completed => Some(&last.order.target),
            Stage::RolledBack | Stage::Trial | Stage::Switch => last.base.as_ref(),
        });
        if let Some(version) = ended_with.filter(|version| view.versions.upstreams(version) > 0) {
            return Some(version.clone());
        }
        let rejected = last.filter(|last| last.stage == Stage::RolledBack);
        let rejected = rejected.map(|last| &last.order.target);
        let is_usable = |version: Option<&SoftwareVersion>| {
            version != Some(target) && (rejected.is_none() || version != rejected)
        };
        let oldest = view.versions.oldest(|seen| is_usable(seen.version.as_ref()));
        oldest.and_then(|seen| seen.version.clone())
    }

    /// A step that takes the order of `current` to a stage.
    fn advance(&self, current: &RolloutStep, stage: Stage, reason: StepReason) -> RolloutStep {
        let share = match stage {
            Stage::Trial | Stage::Switch => current.default_share,
            Stage::Completed => 1.0,
            Stage::RolledBack => 0.0,
        };
        RolloutStep {
            stage,
            reason,
            sequence: self.sequence + 1,
            default_share: share,
            shares: if stage.is_final() { BTreeMap::new() } else { current.shares.clone() },
            upstreams: if stage == Stage::Trial { current.upstreams } else { u32::MAX },
            ..current.clone()
        }
    }

    fn carry_on(
        &mut self,
        now: MonotonicInstant,
        utc: UtcInstant,
        current: &RolloutStep,
        view: &FleetView,
    ) -> Option<RolloutStep> {
        self.planned.count(now, trial_rate(current, view));
        let verdict = self.history.judge(now, &view.evidence);
        if view.is_convicted || matches!(verdict, Verdict::Bad { .. }) {
            return Some(self.advance(current, Stage::RolledBack, StepReason::Bad));
        }
        let left = UtcInstant(current.deadline_utc_ms).since(utc);
        let target = &current.order.target;
        let is_last = left <= DECISION_LEAD;
        match (view.versions.upstreams(target), view.versions.others(target)) {
            // Without an old upstream, all daemons use the target whatever the stage.
            (1.., 0) => {
                return is_last.then(|| self.advance(current, Stage::Completed, StepReason::Sole));
            }
            (0, _) => {
                let step = || self.advance(current, Stage::RolledBack, StepReason::Missing);
                return is_last.then(step);
            }
            _ => {}
        }
        self.per_old = self.per_old.max(in_flight_per_old(target, view));
        let budget = Budget::new(&self.bounds, &current.order, view, self.per_old);
        if current.phase == TrialPhase::FirstPulse {
            self.loaded_peak = self.loaded_peak.max(view.target_in_flight);
        }
        let verdict = match verdict {
            Verdict::Sound if !self.was_loaded(&budget) => Verdict::Undecided,
            verdict => verdict,
        };
        let left_s = left.as_secs_f64();
        let used = self.used(now, view);
        let leads = budget.leads(used, &view.route_rates);
        let is_due = |route: &String| leads.get(route).is_none_or(|l| *l + HALF_TICK_S >= left_s);
        let due: Vec<&String> = view.route_rates.keys().filter(|route| is_due(route)).collect();
        if current.stage == Stage::Switch {
            let is_drained = self.is_drained(now, current, view);
            if is_last || is_drained {
                let reason = if is_last { StepReason::Deadline } else { StepReason::Drained };
                return Some(self.advance(current, Stage::Completed, reason));
            }
            let is_all = due.len() == view.route_rates.len();
            let is_new = due.iter().any(|route| current.share(route) < 1.0);
            return (is_new || (is_all && current.default_share < 1.0))
                .then(|| self.switch(current, &due, is_all));
        }
        let is_all = due.len() == view.route_rates.len();
        match verdict {
            Verdict::Sound if !due.is_empty() => Some(self.switch(current, &due, is_all)),
            Verdict::Sound | Verdict::Undecided if is_last || (is_all && left_s < 1.0) => {
                Some(self.advance(current, Stage::RolledBack, StepReason::Undecided))
            }
            _ => self.share(now, left_s, current, view, &budget),
        }
    }

    /// Whether the trial has shown the target under the load that is planned for it. A holder that took
    /// over may not have seen it, or has no time for it.
    fn was_loaded(&self, budget: &Budget) -> bool {
        let Some(loaded) = &budget.loaded else { return true };
        self.planned.is_partial() || f64::from(self.loaded_peak) >= loaded.in_flight * LOADED_MIN
    }

    /// The number of requests that the target may have got by now: as planned or as told, and what
    /// the statuses don't tell yet. A daemon whose status is older than a step is valid has stopped
    /// sending.
    fn used(&self, now: MonotonicInstant, view: &FleetView) -> f64 {
        let told = f64::from(view.evidence.target_answers()) + f64::from(view.target_in_flight);
        let untold = self.planned.within(now, view.news_age.min(STEP_VALIDITY));
        self.planned.total().max(told + untold)
    }

    /// Whether the requests that were in flight at the old version have ended, by statuses that
    /// were sent after the switch.
    fn is_drained(&self, now: MonotonicInstant, current: &RolloutStep, view: &FleetView) -> bool {
        let is_switched = view.route_rates.keys().all(|route| current.share(route) >= 1.0);
        let in_flight: u32 = view.old_in_flight.values().sum();
        let is_told = now.since(self.stored_at) >= view.news_age + SWITCH_SPREAD;
        is_switched && current.default_share >= 1.0 && in_flight == 0 && is_told
    }

    /// A switch of the routes `due`, beside those that have switched already.
    fn switch(&self, current: &RolloutStep, due: &[&String], is_all: bool) -> RolloutStep {
        let mut step = self.advance(current, Stage::Switch, StepReason::Sound);
        step.shares.extend(due.iter().map(|route| ((*route).clone(), 1.0)));
        if is_all {
            step.shares.clear();
            step.default_share = 1.0;
        }
        step
    }

    /// The part of the trial that is due, `ahead_s` seconds before the last evidence is sent that
    /// the decision on the switch can use.
    fn phase(
        &self,
        now: MonotonicInstant,
        ahead_s: f64,
        current: &RolloutStep,
        (budget, loaded, used): (&Budget, Option<&Loaded>, f64),
    ) -> TrialPhase {
        let since = now.since(self.stored_at);
        if let Some(loaded) = loaded {
            let is_begun = !current.shares.is_empty();
            return match current.phase {
                TrialPhase::Spread if is_begun && ahead_s <= loaded.ahead_s => {
                    TrialPhase::FirstPulse
                }
                TrialPhase::FirstPulse if used >= budget.trial => TrialPhase::Rest,
                phase => phase,
            };
        }
        match current.phase {
            TrialPhase::Spread
                if budget.pulse_share.is_some()
                    && !current.shares.is_empty()
                    && since >= PULSE_PAUSE
                    && ahead_s <= PULSES_S =>
            {
                TrialPhase::FirstPulse
            }
            TrialPhase::FirstPulse if since >= PULSE => TrialPhase::Pause,
            TrialPhase::Pause if since >= PULSE_PAUSE => TrialPhase::SecondPulse,
            TrialPhase::SecondPulse if since >= PULSE => TrialPhase::Rest,
            phase => phase,
        }
    }

    /// A step that gives one upstream its normal load.
    fn pulse(&self, current: &RolloutStep, phase: TrialPhase, budget: &Budget) -> RolloutStep {
        RolloutStep {
            phase,
            shares: BTreeMap::new(),
            default_share: budget.pulse_share.unwrap_or_default(),
            upstreams: 1,
            ..self.advance(current, Stage::Trial, StepReason::Pulse)
        }
    }

    /// New shares of the trial, if those in force differ much from what is left to spend.
    fn share(
        &self,
        now: MonotonicInstant,
        left_s: f64,
        current: &RolloutStep,
        view: &FleetView,
        budget: &Budget,
    ) -> Option<RolloutStep> {
        let used = self.used(now, view);
        let leads = budget.leads(budget.trial, &view.route_rates);
        let longest = leads.values().copied().fold(DECISION_LEAD.as_secs_f64(), f64::max);
        let news_s = view.news_age.min(STEP_VALIDITY).as_secs_f64();
        let ahead_s = left_s - longest - news_s;
        // A holder that took over late has no time for loaded upstreams.
        let is_possible = |loaded: &&Loaded| {
            current.phase != TrialPhase::Spread
                || !self.planned.is_partial()
                || ahead_s >= loaded.ahead_s
        };
        let loaded = budget.loaded.as_ref().filter(is_possible);
        let phase = self.phase(now, ahead_s, current, (budget, loaded, used));
        let is_loaded = phase == TrialPhase::FirstPulse && loaded.is_some();
        if !is_loaded && matches!(phase, TrialPhase::FirstPulse | TrialPhase::SecondPulse) {
            let step = || self.pulse(current, phase, budget);
            return (phase != current.phase).then(step);
        }
        // The last requests must have been told when the switch is decided.
        let told_s = left_s - longest - news_s * TOLD_PART;
        let wanted = match loaded {
            // A holder that took over has less time, and spreads the rest over more upstreams.
            Some(loaded) if is_loaded => loaded.rate.max((budget.trial - used) / told_s.max(1.0)),
            Some(loaded) if phase == TrialPhase::Spread => {
                (budget.trial - used - loaded.requests) / (told_s - loaded.ahead_s).max(1.0)
            }
            _ => (budget.trial - used - budget.pulses_ahead(phase)) / told_s.max(1.0),
        };
        let wanted = wanted.max(0.0);
        let shares = equal_shares(wanted, &view.route_rates);
        let sum = |shares: &BTreeMap<String, f64>| -> f64 {
            shares.iter().map(|(route, share)| view.route_rates[route] * share).sum()
        };
        let (new, old) = (sum(&shares), trial_rate(current, view));
        let is_first = current.shares.is_empty() && new > 0.0;
        let is_changed = (new - old).abs() > SHARES_CHANGE * old;
        let old_upstreams = view.versions.others(&current.order.target);
        let is_second_half = used >= budget.trial * SECOND_HALF;
        let upstreams = match loaded {
            Some(loaded) if is_loaded => loaded.upstreams(wanted),
            loaded => {
                let is_concentrated = is_second_half && loaded.is_none();
                trial_size(new.max(old), budget.rate, old_upstreams, is_concentrated)
            }
        };
        let is_due = now.since(self.stored_at) >= SHARES_INTERVAL;
        let is_concentrated = is_second_half && upstreams < current.upstreams;
        let is_next = phase != current.phase;
        if !(is_first || is_next || (is_changed || is_concentrated) && is_due) {
            return None;
        }
        let smallest = shares.values().copied().reduce(f64::min).unwrap_or_default();
        let step = self.advance(current, Stage::Trial, StepReason::Shares);
        let base = current.base.clone().or_else(|| self.base(&current.order.target, view));
        Some(RolloutStep { phase, shares, default_share: smallest, upstreams, base, ..step })
    }
}

/// The number of requests that a holder's steps have sent to the target, over time.
#[derive(Debug, Default)]
struct Planned {
    /// The total at each of the last calls.
    totals: VecDeque<(MonotonicInstant, f64)>,
    /// The requests per second at the first call, which stand for the time before it.
    first_rate: f64,
}

impl Planned {
    /// Counts what the step in force has sent since the last call at `rate` requests per second.
    fn count(&mut self, now: MonotonicInstant, rate: f64) {
        let Some((last, total)) = self.totals.back().copied() else {
            self.first_rate = rate;
            self.totals.push_back((now, 0.0));
            return;
        };
        self.totals.push_back((now, total + rate * now.since(last).as_secs_f64()));
        while self.totals.get(1).is_some_and(|(at, _)| now.since(*at) >= STEP_VALIDITY) {
            self.totals.pop_front();
        }
    }

    /// Whether the trial had begun under another holder, whose requests aren't counted.
    fn is_partial(&self) -> bool {
        self.first_rate > 0.0
    }

    fn total(&self) -> f64 {
        self.totals.back().map_or(0.0, |(_, total)| *total)
    }

    /// The number within the last `span`, at most [`STEP_VALIDITY`].
    fn within(&self, now: MonotonicInstant, span: Duration) -> f64 {
        let after = self.totals.iter().find(|(at, _)| now.since(*at) <= span);
        let Some((first, _)) = self.totals.front() else { return 0.0 };
        let unknown = span.saturating_sub(now.since(*first)).as_secs_f64() * self.first_rate;
        unknown + self.total() - after.map_or(self.total(), |(_, total)| *total)
    }
}

/// The number of requests in flight that an upstream of another version than the target has on average.
fn in_flight_per_old(target: &SoftwareVersion, view: &FleetView) -> f64 {
    let routes = view.route_rates.keys();
    let in_flight: u32 = routes.filter_map(|route| view.old_in_flight.get(route)).sum();
    f64::from(in_flight) / f64::from(view.versions.others(target).max(1))
}

/// The number of requests per second that a step sends to the target.
fn trial_rate(step: &RolloutStep, view: &FleetView) -> f64 {
    if view.versions.upstreams(&step.order.target) == 0 {
        return 0.0;
    }
    view.route_rates.iter().map(|(route, rate)| rate * step.share(route)).sum()
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
