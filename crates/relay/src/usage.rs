//! Accounting of one daemon: quotas of teams, retry budgets of services, and the requests counted
//! in each usage window.

use crate::config::{ActiveConfig, TeamSpec};
use spindle_policy::cluster_clock::ClusterClock;
use spindle_policy::engine_capacity::ResponseCounts;
use spindle_policy::shared_limits::{
    DaemonVisibility, KEEPERS, QuotaFleet, QuotaGrant, QuotaKeepers, QuotaQuestion, QuotaSpec,
    QuotaTolerance, RetryBudgetShare, RetryBudgetSpec, SharedQuota, SharedQuotaDecision,
};
use spindle_policy::usage_windows::UsageWindows;
use spindle_types::{Clock, MonotonicInstant, Service, Team, UtcInstant};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Limits on retries and quota overuse, and the length of a usage window. The users set them.
#[derive(Clone, Copy, Debug)]
pub struct UsageRules {
    /// Retry budget of each service, over all daemons.
    pub retries: RetryBudgetSpec,
    /// How far a team may exceed its quota.
    pub tolerance: QuotaTolerance,
    /// Length of a usage window.
    pub window: Duration,
}

/// A question to a daemon that keeps the quota of a team.
#[derive(Debug)]
pub struct QuotaCall {
    /// Address of the daemon.
    pub keeper: SocketAddr,
    /// Team whose quota it keeps.
    pub team: Team,
    /// What it is asked for.
    pub question: QuotaQuestion,
    /// Takes the answer; dropped if there is none.
    pub answer: oneshot::Sender<QuotaGrant>,
}

#[derive(Debug)]
struct State {
    /// Number of daemons from which this one hears, and of those that may be running.
    visibility: DaemonVisibility,
    /// The daemons among which the keepers of quotas are selected.
    fleet: QuotaFleet<SocketAddr>,
    quotas: HashMap<Team, TeamQuota>,
    retries: HashMap<Service, RetryBudgetShare>,
    /// Prompt tokens received since the start.
    prompt_tokens: BTreeMap<Service, u64>,
    /// Requests received since the start.
    requests: BTreeMap<Service, u64>,
    /// Responses since the start.
    first_bytes: BTreeMap<Service, ResponseCounts>,
    /// Requests counted by usage window and team.
    windows: UsageWindows,
    cluster_clock: ClusterClock,
}

/// The quota of a team and the daemons that keep it.
#[derive(Debug)]
struct TeamQuota {
    quota: SharedQuota<SocketAddr>,
    keepers: QuotaKeepers<SocketAddr>,
    /// Since when the configuration has no such quota.
    dropped_at: Option<MonotonicInstant>,
}

/// Quotas, retry budgets and usage counts of one daemon. Clones share all state.
#[derive(Clone, Debug)]
pub struct UsageTracker {
    rules: UsageRules,
    calls: mpsc::Sender<QuotaCall>,
    state: Arc<Mutex<State>>,
}

impl UsageTracker {
    /// Creates a tracker without any usage. `cluster_clock` starts from this daemon's own clock and
    /// is corrected by [`UsageTracker::on_clocks`] once other daemons are heard. `calls` takes the
    /// questions to the daemons that keep quotas.
    pub fn new(
        rules: UsageRules,
        cluster_clock: ClusterClock,
        calls: mpsc::Sender<QuotaCall>,
    ) -> Self {
        let state = State {
            visibility: DaemonVisibility { visible: 1, known: 1 },
            fleet: QuotaFleet::unknown(),
            quotas: HashMap::new(),
            retries: HashMap::new(),
            prompt_tokens: BTreeMap::new(),
            requests: BTreeMap::new(),
            first_bytes: BTreeMap::new(),
            windows: UsageWindows::default(),
            cluster_clock,
        };
        Self { rules, calls, state: Arc::new(Mutex::new(state)) }
    }

    /// Applies the quotas of a configuration. Teams that keep a quota keep what they have used of
    /// it, also if a version between had no such quota.
    pub fn on_configuration(&self, now: MonotonicInstant, config: &ActiveConfig) {
        let tolerance = self.rules.tolerance;
        let mut state = self.state();
        let State { quotas, fleet, .. } = &mut *state;
        let specs = config.teams().iter().filter_map(|spec| Some((&spec.team, spec.quota?)));
        let specs: HashMap<&Team, QuotaSpec> = specs.collect();
        for (team, known) in quotas.iter_mut().filter(|(team, _)| !specs.contains_key(team)) {
            if known.dropped_at.is_none() {
                log::info!("event=quota_dropped team={team} version={}", config.version);
                known.dropped_at = Some(now);
            }
        }
        for (team, spec) in specs {
            let before = quotas.get(team).map(|known| known.quota.spec());
            if before != Some(spec) {
                log::info!(
                    "event=quota_changed team={team} version={} quota={spec:?} before={before:?}",
                    config.version,
                );
            }
            let known = quotas.entry(team.clone()).or_insert_with(|| TeamQuota {
                quota: SharedQuota::new(now, spec, tolerance),
                keepers: fleet.keepers(team),
                dropped_at: None,
            });
            known.quota.set_spec(spec);
            known.dropped_at = None;
        }
    }

    /// Sets how many daemons are heard and how many may be running; retry budgets are shared among
    /// them.
    pub fn on_daemon_counts(&self, visibility: DaemonVisibility) {
        self.state().visibility = visibility;
    }

    /// Sets the daemons among which the keepers of each quota are selected.
    pub fn on_fleet(&self, now: MonotonicInstant, fleet: QuotaFleet<SocketAddr>) {
        let window = self.rules.tolerance.window;
        let mut state = self.state();
        state.quotas.retain(|_, known| known.dropped_at.is_none_or(|at| now.since(at) < window));
        for (team, known) in &mut state.quotas {
            known.keepers = fleet.keepers(team);
            known.quota.set_part(now, known.keepers.part);
        }
        state.fleet = fleet;
    }

    /// Answers another daemon out of the part of a quota that this one keeps.
    pub fn grant(
        &self,
        now: MonotonicInstant,
        team: &Team,
        question: QuotaQuestion,
    ) -> Option<QuotaGrant> {
        let mut state = self.state();
        let TeamQuota { quota, keepers, .. } = state.quotas.get_mut(team)?;
        let grant = quota.grant(now, question, keepers.part);
        if grant.units > 0.0 {
            log_overdraft(team, question.needed, quota);
        }
        Some(grant)
    }

    /// Charges a request to the quota of its team and returns its cost in units of the quota. Asks the
    /// daemons that keep the quota if this one has not been granted enough. `tokens` are the number of
    /// prompt tokens and the maximum number of tokens to generate.
    ///
    /// # Errors
    ///
    /// The time after which the quota may allow the request.
    pub async fn admit(
        &self,
        clock: &impl Clock,
        spec: &TeamSpec,
        tokens: Option<(u32, u32)>,
    ) -> Result<f64, Duration> {
        if spec.quota.is_none() {
            return Ok(0.0);
        }
        let cost = match tokens {
            _ if !spec.counts_tokens => 1.0,
            Some((prompt, generated)) => f64::from(prompt) + f64::from(generated),
            None => spec.default_tokens,
        };
        let mut asked = None;
        for _ in 0..=KEEPERS {
            match self.decide(clock.now(), spec, cost, asked.take()) {
                SharedQuotaDecision::Admitted => return Ok(cost),
                SharedQuotaDecision::RetryAfter(after) => return Err(after),
                SharedQuotaDecision::Ask(keeper, question) => {
                    let grant = self.ask(keeper, &spec.team, question).await;
                    asked = Some((keeper, question, grant));
                }
            }
        }
        match self.decide(clock.now(), spec, cost, asked) {
            SharedQuotaDecision::Admitted => Ok(cost),
            SharedQuotaDecision::RetryAfter(after) => Err(after),
            SharedQuotaDecision::Ask(..) => Err(Duration::ZERO),
        }
    }

    /// Decides on a request, with the answer of the keeper that was asked last.
    fn decide(
        &self,
        now: MonotonicInstant,
        spec: &TeamSpec,
        cost: f64,
        asked: Option<(SocketAddr, QuotaQuestion, Option<QuotaGrant>)>,
    ) -> SharedQuotaDecision<SocketAddr> {
        let mut state = self.state();
        let Some(TeamQuota { quota, keepers, .. }) = state.quotas.get_mut(&spec.team) else {
            // A newer configuration than that of the request has no such team, or no quota for it.
            return SharedQuotaDecision::Admitted;
        };
        let has_grant = asked.is_some();
        let decision = match asked {
            None => quota.admit(now, cost, keepers),
            Some(asked) => quota.on_grant(now, cost, asked, keepers),
        };
        if decision == SharedQuotaDecision::Admitted && !has_grant {
            log_overdraft(&spec.team, cost, quota);
        }
        decision
    }

    async fn ask(
        &self,
        keeper: SocketAddr,
        team: &Team,
        question: QuotaQuestion,
    ) -> Option<QuotaGrant> {
        let (answer, answered) = oneshot::channel();
        let call = QuotaCall { keeper, team: team.clone(), question, answer };
        let grant = match self.calls.send(call).await {
            Ok(()) => answered.await.ok(),
            Err(_) => None,
        };
        if grant.is_none() {
            log::info!("event=quota_keeper_silent team={team} keeper={keeper}");
        }
        grant
    }

    /// Gives back the cost of a request that was charged but not executed.
    pub fn refund(&self, now: MonotonicInstant, team: &Team, cost: f64) {
        if let Some(known) = self.state().quotas.get_mut(team) {
            known.quota.refund(now, cost);
        }
    }

    /// Counts a request for a service towards its retry budget, and its prompt tokens towards the
    /// arrival rate.
    pub fn on_request(&self, now: MonotonicInstant, service: &Service, prompt: u32) {
        let mut state = self.state();
        let budget = self.rules.retries;
        state.retries.entry(service.clone()).or_default().on_request(now, &budget);
        add(&mut state.prompt_tokens, service, u64::from(prompt));
        add(&mut state.requests, service, 1);
    }

    /// Mean number of prompt tokens of this daemon's requests for a service; 0 without any.
    pub fn mean_prompt_tokens(&self, service: &Service) -> f64 {
        let state = self.state();
        let tokens = state.prompt_tokens.get(service).copied().unwrap_or_default();
        let requests = state.requests.get(service).copied().unwrap_or_default();
        tokens as f64 / requests.max(1) as f64
    }

    /// Takes one retry from the budget of a service. Returns `false` if the budget is used up.
    pub fn take_retry(&self, now: MonotonicInstant, service: &Service) -> bool {
        let mut state = self.state();
        let daemons = state.visibility.known;
        let share = state.retries.entry(service.clone()).or_default();
        share.try_take(now, &self.rules.retries, daemons)
    }

    /// Counts a request of a team, whose response has begun, in the current usage window.
    pub fn on_response_start(&self, now: MonotonicInstant, team: &Team) {
        let mut state = self.state();
        let utc = state.cluster_clock.at(now);
        state.windows.on_request_start(utc, self.rules.window, team);
    }

    /// Counts a request with a prompt whose response has begun, or that was refused for lack of
    /// capacity, which counts as late.
    pub fn on_first_byte(&self, service: &Service, is_late: bool) {
        let mut state = self.state();
        let one = ResponseCounts { all: 1, late: u64::from(is_late) };
        let counts = state.first_bytes.entry(service.clone()).or_default();
        *counts = counts.plus(one);
    }

    /// The responses counted by [`UsageTracker::on_first_byte`] since the daemon started.
    pub fn first_bytes(&self) -> BTreeMap<Service, ResponseCounts> {
        self.state().first_bytes.clone()
    }

    /// Corrects the agreed UTC time from the clocks of all live daemons, each given as the UTC time
    /// at which the monotonic clock of this daemon read zero.
    pub fn on_clocks(&self, clock_origins: Vec<UtcInstant>) {
        let mut state = self.state();
        let before = state.cluster_clock;
        if state.cluster_clock.on_clocks(clock_origins) {
            let zero = MonotonicInstant::default();
            log::warn!(
                "event=civil_time_changed before={} after={}",
                before.at(zero),
                state.cluster_clock.at(zero)
            );
        }
    }

    /// UTC time that most daemons agree on.
    pub fn agreed_utc(&self, now: MonotonicInstant) -> UtcInstant {
        self.state().cluster_clock.at(now)
    }

    /// Requests that this daemon has counted, by usage window and team.
    pub fn windows(&self) -> UsageWindows {
        self.state().windows.clone()
    }

    /// Totals that this daemon has charged to each team since it started, in units of the quota.
    pub fn own_charges(&self) -> BTreeMap<Team, f64> {
        let state = self.state();
        state.quotas.iter().map(|(team, known)| (team.clone(), known.quota.own_usage())).collect()
    }

    /// Prompt tokens received for each service since the daemon started.
    pub fn prompt_tokens(&self) -> BTreeMap<Service, u64> {
        self.state().prompt_tokens.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is still consistent: no code that holds it panics in the middle of a
        // change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs that a request has been admitted out of what this daemon keeps of a quota, though it is larger
/// than that may be.
fn log_overdraft(team: &Team, units: f64, quota: &SharedQuota<SocketAddr>) {
    let kept = quota.kept();
    if kept.part > 0.0 && kept.level < 0.0 && units > kept.capacity {
        log::info!("event=quota_overdrawn team={team} units={units:.0} kept={kept:?}");
    }
}

fn add(counts: &mut BTreeMap<Service, u64>, service: &Service, amount: u64) {
    match counts.get_mut(service) {
        Some(count) => *count += amount,
        None => drop(counts.insert(service.clone(), amount)),
    }
}

#[cfg(test)]
mod tests;
