//! Admission control: decides which requests run, which are queued and which are refused.
//!
//! A request must fit its team's quotas. It then runs if the concurrency limit of its pool permits,
//! or waits in the pool's fair queue, interactive work before batch work. A request that can't
//! start within its maximum wait is refused on arrival, and a queued request is refused when its
//! wait expires, so requests that fail under overload consume no tokens. A fraction of the limit is
//! reserved for teams that run less than their fair share, so that they needn't wait for another
//! team's long generations to end.

pub mod fair;
mod pool_queue;

use crate::limit::ConcurrencyLimit;
use crate::quota::{TeamQuota, TeamQuotaDecision};
use crate::routing::EngineSpeed;
use crate::service_time::{GenerationWork, Measurement, ServiceTime};
use pool_queue::{PoolQueue, QueuedRequest};
use slotmap::{SlotMap, new_key_type};
use spindle_types::config::Priority;
use spindle_types::{MonotonicInstant, Pool, RefusalReason, Team, TeamSpec};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

new_key_type! {
    /// Identifies a request that runs or is queued.
    pub struct TicketKey;
}

/// Bounds of the queues in front of the pools.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionParams {
    /// The longest time that an interactive request may be queued.
    pub interactive_wait: Duration,
    /// The longest time that a batch request may be queued.
    pub batch_wait: Duration,
    /// The most requests that may be queued for a pool.
    pub queue_max: usize,
    /// The most requests of one team that may be queued for a pool.
    pub team_max: usize,
    /// The most bytes of requests that may be queued for a pool.
    pub bytes_max: usize,
    /// The time that an idle engine takes per token. Used for a pool until it has been measured.
    pub token_time: Duration,
    /// The fraction of a pool's limit reserved for teams that run less than their fair share.
    pub reserve: f64,
}

impl Default for AdmissionParams {
    fn default() -> Self {
        Self {
            interactive_wait: Duration::from_secs(1),
            batch_wait: Duration::from_secs(60),
            queue_max: 1_024,
            team_max: 256,
            bytes_max: 32 * 1024 * 1024,
            token_time: EngineSpeed::default().step_base,
            reserve: 0.15,
        }
    }
}

impl AdmissionParams {
    const fn wait(&self, priority: Priority) -> Duration {
        match priority {
            Priority::Interactive => self.interactive_wait,
            Priority::Batch => self.batch_wait,
        }
    }
}

/// A request as seen by admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The team that is charged.
    pub team: Team,
    /// The pool that serves the request.
    pub pool: Pool,
    /// The priority class, which determines the order in the queue and the longest wait.
    pub priority: Priority,
    /// The cost in tokens, used for fair queueing.
    pub cost: f64,
    /// The size of the request in bytes.
    pub bytes: usize,
    /// The work of a generation. `None` for a call to a plain service.
    pub work: Option<GenerationWork>,
    /// How long the caller waits for the whole answer, if it sent a timeout.
    pub caller_timeout: Option<Duration>,
}

/// Why a request is refused and when the caller may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// The reason that is sent to the caller.
    pub reason: RefusalReason,
    /// The delay before a retry. `None` if a retry would not help or no estimate exists.
    pub retry_after: Option<Duration>,
}

/// The decision on a request that has just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Runs(TicketKey),
    /// The request is queued. [`Admission::next`] later returns whether it runs or is refused.
    Waits(TicketKey),
    /// The request is refused.
    Refused(AdmissionRefusal),
}

/// The decision on a request that was queued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request runs now.
    Runs(TicketKey),
    /// The request is refused.
    Refused(TicketKey, AdmissionRefusal),
}

/// A request that runs or is queued.
#[derive(Debug)]
struct Ticket {
    team: Team,
    pool: Pool,
    running: bool,
}

#[derive(Debug)]
struct TeamState {
    weight: f64,
    quota: TeamQuota,
}

/// Admission control of one daemon.
#[derive(Debug)]
pub struct Admission {
    params: AdmissionParams,
    tickets: SlotMap<TicketKey, Ticket>,
    teams: HashMap<Team, TeamState>,
    pool_queues: BTreeMap<Pool, PoolQueue>,
}

impl Admission {
    /// Creates admission control without requests, teams or pools.
    pub fn new(params: AdmissionParams) -> Self {
        Self {
            params,
            tickets: SlotMap::with_key(),
            teams: HashMap::new(),
            pool_queues: BTreeMap::new(),
        }
    }

    /// Applies the configured teams and the number of live daemons.
    pub fn on_teams<'a>(
        &mut self,
        now: MonotonicInstant,
        specs: impl Iterator<Item = (&'a Team, &'a TeamSpec)>,
        daemons: u32,
    ) {
        let mut old = std::mem::take(&mut self.teams);
        for (team, spec) in specs {
            let weight = f64::from(spec.weight.max(1));
            let quota = match old.remove(team) {
                Some(mut state) => {
                    state.quota.set_spec(now, spec, daemons);
                    state.quota
                }
                None => TeamQuota::new(now, spec, daemons),
            };
            self.teams.insert(team.clone(), TeamState { weight, quota });
        }
    }

    /// Applies the largest concurrency of a pool. A new pool starts with the limit `initial`.
    pub fn on_capacity(&mut self, pool: &Pool, initial: u32, max: u32) {
        match self.pool_queues.get_mut(pool) {
            Some(pool_queue) => pool_queue.limit.set_max(max),
            None => {
                let service_time = ServiceTime::new(self.params.token_time);
                self.pool_queues.insert(
                    pool.clone(),
                    PoolQueue::new(ConcurrencyLimit::new(initial, max), service_time),
                );
            }
        }
    }

    /// Decides on a request that has arrived. A pool without a known capacity is not limited.
    pub fn on_request(
        &mut self,
        now: MonotonicInstant,
        request: AdmissionRequest,
    ) -> AdmissionDecision {
        let weight = self.teams.get(&request.team).map_or(1.0, |state| state.weight);
        let pool_queue = self.pool_queues.get(&request.pool);
        if let Some(refused) =
            pool_queue.and_then(|pool_queue| pool_queue.unreachable_deadline(&request))
        {
            return AdmissionDecision::Refused(refused);
        }
        let runs_now = pool_queue
            .is_none_or(|pool_queue| pool_queue.can_start(&request, weight, self.params.reserve));
        if !runs_now && let Err(refused) = self.check_queue(now, &request, weight) {
            return AdmissionDecision::Refused(refused);
        }
        if let Some(state) = self.teams.get_mut(&request.team)
            && let TeamQuotaDecision::RetryAfter(retry_after) = state.quota.on_request(now)
        {
            let retry_after = Some(retry_after.unwrap_or_default().max(RETRY_AFTER_MIN));
            return AdmissionDecision::Refused(AdmissionRefusal {
                reason: RefusalReason::QuotaExceeded,
                retry_after,
            });
        }
        let wait =
            pool_queue.map_or(Duration::MAX, |pool_queue| self.allowed_wait(pool_queue, &request));
        let AdmissionRequest { team, pool, priority, cost, bytes, .. } = request;
        let ticket = Ticket { team: team.clone(), pool: pool.clone(), running: runs_now };
        let key = self.tickets.insert(ticket);
        let Some(pool_queue) = self.pool_queues.get_mut(&pool) else {
            return AdmissionDecision::Runs(key);
        };
        if runs_now {
            pool_queue.start(&team, weight);
            return AdmissionDecision::Runs(key);
        }
        let expires = now + wait;
        pool_queue.push(priority, weight, cost, QueuedRequest { key, team, expires, bytes });
        AdmissionDecision::Waits(key)
    }

    /// How long a request may be queued and still finish before its caller's timeout.
    fn allowed_wait(&self, pool_queue: &PoolQueue, request: &AdmissionRequest) -> Duration {
        let wait = self.params.wait(request.priority);
        let spare = request
            .caller_timeout
            .map(|timeout| timeout.saturating_sub(pool_queue.expected_duration(request)));
        spare.map_or(wait, |spare| spare.min(wait))
    }

    fn check_queue(
        &self,
        now: MonotonicInstant,
        request: &AdmissionRequest,
        weight: f64,
    ) -> Result<(), AdmissionRefusal> {
        let Some(pool_queue) = self.pool_queues.get(&request.pool) else {
            return Ok(());
        };
        let wait = pool_queue.expected_wait(now, request, weight);
        let allowed = self.allowed_wait(pool_queue, request);
        let reason = if pool_queue.is_full(request, &self.params) {
            RefusalReason::QueueFull
        } else if wait.is_some_and(|wait| wait > allowed) {
            RefusalReason::DeadlineUnreachable
        } else {
            return Ok(());
        };
        let excess = wait.map(|wait| wait.saturating_sub(allowed));
        Err(AdmissionRefusal {
            reason,
            retry_after: excess.map(|excess| excess.max(RETRY_AFTER_MIN)),
        })
    }

    /// Starts queued requests that can run now and refuses those whose wait has expired.
    pub fn next(&mut self, now: MonotonicInstant) -> Vec<QueueDecision> {
        let mut decided = Vec::new();
        for pool_queue in self.pool_queues.values_mut() {
            let expired = pool_queue.take_expired(now).into_iter();
            decided.extend(expired.map(|(key, refused)| QueueDecision::Refused(key, refused)));
            while let Some(key) = pool_queue.pop(self.params.reserve) {
                decided.push(QueueDecision::Runs(key));
            }
        }
        for decision in &decided {
            match decision {
                QueueDecision::Runs(key) => self.tickets[*key].running = true,
                QueueDecision::Refused(key, _) => self.forget(*key),
            }
        }
        decided
    }

    /// The earliest time at which [`Self::next`] would refuse a queued request.
    pub fn next_expiry(&self) -> Option<MonotonicInstant> {
        self.pool_queues.values().filter_map(PoolQueue::next_expiry).min()
    }

    /// Records a latency measurement of a request at its upstream.
    pub fn on_measurement(
        &mut self,
        now: MonotonicInstant,
        key: TicketKey,
        measurement: &Measurement,
    ) {
        let Some(ticket) = self.tickets.get(key) else {
            return;
        };
        if let Some(pool_queue) = self.pool_queues.get_mut(&ticket.pool) {
            pool_queue.on_measurement(now, measurement);
        }
    }

    /// Charges tokens that a request has generated.
    pub fn on_tokens(&mut self, now: MonotonicInstant, key: TicketKey, count: u32) {
        if let Some(ticket) = self.tickets.get(key)
            && let Some(state) = self.teams.get_mut(&ticket.team)
        {
            state.quota.on_tokens(now, count);
        }
    }

    /// Records that a request has ended, or that its caller disconnected while it was queued.
    pub fn on_end(&mut self, now: MonotonicInstant, key: TicketKey) {
        let Some(ticket) = self.tickets.get(key) else {
            return;
        };
        if let Some(pool_queue) = self.pool_queues.get_mut(&ticket.pool) {
            if ticket.running {
                pool_queue.end(now, &ticket.team);
            } else {
                pool_queue.remove(key);
            }
        }
        self.forget(key);
    }

    fn forget(&mut self, key: TicketKey) {
        let Some(ticket) = self.tickets.remove(key) else {
            return;
        };
        if let Some(state) = self.teams.get_mut(&ticket.team) {
            state.quota.on_end();
        }
    }

    /// The numbers of running and of queued requests of a pool.
    pub fn counts(&self, pool: &Pool) -> (u32, usize) {
        self.pool_queues
            .get(pool)
            .map_or((0, 0), |pool_queue| (pool_queue.running(), pool_queue.len()))
    }
}

/// The shortest delay that a refused caller is told to wait before a retry.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

#[cfg(test)]
mod tests;
