//! What teams have used, what services may get once more, and what began to run when.

use crate::serving::{Serving, TeamSpec};
use spindle_policy::civil::CivilTime;
use spindle_policy::shared_limits::{
    DaemonVisibility, QuotaTolerance, RetryBudgetShare, RetryBudgetSpec, SharedQuota,
    SharedQuotaDecision,
};
use spindle_policy::told::Told;
use spindle_policy::windows::Windows;
use spindle_types::{Incarnation, MonotonicInstant, Service, Team, UtcInstant};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The bounds that the users set on retries and usage.
#[derive(Clone, Copy, Debug)]
pub struct AccountRules {
    /// How often a service may get requests once more.
    pub retries: RetryBudgetSpec,
    /// How far teams may go beyond their quotas.
    pub tolerance: QuotaTolerance,
    /// The length of a window of usage.
    pub window: Duration,
}

#[derive(Debug)]
struct State {
    hearing: DaemonVisibility,
    quotas: HashMap<Team, SharedQuota>,
    retries: HashMap<Service, RetryBudgetShare>,
    arrived: BTreeMap<Service, u64>,
    windows: Windows,
    civil: CivilTime,
}

/// The accounts of one daemon.
#[derive(Clone, Debug)]
pub struct Accounts {
    rules: AccountRules,
    state: Arc<Mutex<State>>,
}

impl Accounts {
    /// Accounts in which nothing stands, by a clock that is this daemon's own until others are
    /// heard.
    pub fn new(rules: AccountRules, civil: CivilTime) -> Self {
        let state = State {
            hearing: DaemonVisibility { visible: 1, known: 1 },
            quotas: HashMap::new(),
            retries: HashMap::new(),
            arrived: BTreeMap::new(),
            windows: Windows::default(),
            civil,
        };
        Self { rules, state: Arc::new(Mutex::new(state)) }
    }

    /// Takes over a configuration's quotas.
    pub fn on_configuration(&self, now: MonotonicInstant, serving: &Serving) {
        let tolerance = self.rules.tolerance;
        let mut state = self.state();
        let specs = serving.teams();
        state.quotas.retain(|team, _| specs.iter().any(|spec| spec.team == *team));
        for spec in specs {
            match (spec.quota, state.quotas.get_mut(&spec.team)) {
                (Some(quota), Some(known)) => known.set_spec(quota),
                (None, _) => drop(state.quotas.remove(&spec.team)),
                (Some(quota), None) => {
                    let quota = SharedQuota::new(now, quota, tolerance);
                    state.quotas.insert(spec.team.clone(), quota);
                }
            }
        }
    }

    /// Takes in how many daemons are heard and what another one has charged.
    pub fn on_hearing(&self, hearing: DaemonVisibility) {
        self.state().hearing = hearing;
    }

    /// Takes in what another daemon has charged in its life, which began `age` ago.
    pub fn on_charged(&self, other: Incarnation, charged: &Told<Team, f64>, age: Duration) {
        let mut state = self.state();
        for (team, total) in charged.iter() {
            if let Some(quota) = state.quotas.get_mut(team) {
                quota.on_peer_usage(other, *total, age);
            }
        }
    }

    /// Asks whether a team may run a request with a number of tokens, and charges it.
    pub fn admit(
        &self,
        now: MonotonicInstant,
        spec: &TeamSpec,
        tokens: Option<(u32, u32)>,
    ) -> Result<f64, Duration> {
        let Some(quota) = spec.quota else {
            return Ok(0.0);
        };
        let cost = match tokens {
            _ if !spec.tokens => 1.0,
            Some((prompt, answer)) => f64::from(prompt) + f64::from(answer),
            None => spec.plain,
        };
        let mut state = self.state();
        let (hearing, tolerance) = (state.hearing, self.rules.tolerance);
        let known = state.quotas.entry(spec.team.clone());
        match known
            .or_insert_with(|| SharedQuota::new(now, quota, tolerance))
            .admit(now, cost, hearing)
        {
            SharedQuotaDecision::Admitted => Ok(cost),
            SharedQuotaDecision::RetryAfter(after) => Err(after),
        }
    }

    /// Gives back what a request was charged that did not run.
    pub fn refund(&self, team: &Team, cost: f64) {
        if let Some(quota) = self.state().quotas.get_mut(team) {
            quota.refund(cost);
        }
    }

    /// Records a request for a service, with its prompt tokens.
    pub fn on_request(&self, now: MonotonicInstant, service: &Service, prompt: u32) {
        let mut state = self.state();
        let limit = self.rules.retries;
        state.retries.entry(service.clone()).or_default().on_request(now, &limit);
        match state.arrived.get_mut(service) {
            Some(tokens) => *tokens += u64::from(prompt),
            None => drop(state.arrived.insert(service.clone(), u64::from(prompt))),
        }
    }

    /// Asks whether a service may get a request once more, and counts it.
    pub fn take_retry(&self, now: MonotonicInstant, service: &Service) -> bool {
        let mut state = self.state();
        let daemons = state.hearing.known;
        let share = state.retries.entry(service.clone()).or_default();
        share.try_take(now, &self.rules.retries, daemons)
    }

    /// Counts a request that began to run.
    pub fn on_began(&self, now: MonotonicInstant, team: &Team) {
        let mut state = self.state();
        let utc = state.civil.at(now);
        state.windows.on_began(utc, self.rules.window, team);
    }

    /// Takes in the clocks of all daemons that are heard.
    pub fn on_clocks(&self, zeros: Vec<UtcInstant>) {
        let mut state = self.state();
        let before = state.civil;
        if state.civil.on_clocks(zeros) {
            let zero = MonotonicInstant::default();
            log::warn!(
                "event=civil_time_changed before={} after={}",
                before.at(zero),
                state.civil.at(zero)
            );
        }
    }

    /// The civil time on which most daemons agree.
    pub fn civil(&self, now: MonotonicInstant) -> UtcInstant {
        self.state().civil.at(now)
    }

    /// What this daemon saw begin.
    pub fn windows(&self) -> Windows {
        self.state().windows.clone()
    }

    /// What this daemon has charged in its life.
    pub fn charged(&self) -> BTreeMap<Team, f64> {
        let state = self.state();
        state.quotas.iter().map(|(team, quota)| (team.clone(), quota.own_usage())).collect()
    }

    /// The prompt tokens that have arrived for each service since the start.
    pub fn arrived(&self) -> BTreeMap<Service, u64> {
        self.state().arrived.clone()
    }

    /// Forgets daemons that the predicate does not keep.
    pub fn retain(&self, keep: impl Fn(Incarnation) -> bool) {
        self.state().quotas.values_mut().for_each(|quota| quota.retain(&keep));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No code that holds the lock panics halfway through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
