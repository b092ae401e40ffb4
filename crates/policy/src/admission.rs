//! Which requests are let in, which wait, and which are refused at once.
//!
//! A team's quotas come first. Then a request runs if its pool's limit leaves room, or waits in the
//! pool's fair queue, interactive work before batch work. A request that can't start before its
//! wait is over is refused when it comes, and one whose wait ends is refused then, so overload
//! costs no tokens. A part of the limit is kept for teams that have less than their share running,
//! so that a flood of long answers does not make other teams wait for one of them to end.

pub mod fair;
mod line;

use crate::limit::ConcurrencyLimit;
use crate::quota::{Allowed, Quota};
use crate::routing::EngineSpeed;
use crate::service_time::{GenerationWork, Measurement, ServiceTime};
use line::{Line, Waiting};
use slotmap::{SlotMap, new_key_type};
use spindle_types::config::Priority;
use spindle_types::{MonotonicInstant, Pool, RefusalReason, Team, TeamSpec};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

new_key_type! {
    /// A request that runs or waits.
    pub struct TicketKey;
}

/// The bounds of the queues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionParams {
    /// How long interactive work may wait.
    pub interactive_wait: Duration,
    /// How long batch work may wait.
    pub batch_wait: Duration,
    /// Requests that may wait for a pool.
    pub queue_max: usize,
    /// Requests of one team that may wait for a pool.
    pub team_max: usize,
    /// Bytes of requests that may wait for a pool.
    pub bytes_max: usize,
    /// The time of a token at an idle engine, for pools that were not measured yet.
    pub token_time: Duration,
    /// The share of a pool's limit that is kept for teams with less than their share running.
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

/// A request that asks to be let in.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The team.
    pub team: Team,
    /// The pool.
    pub pool: Pool,
    /// The order in which queued work is served.
    pub priority: Priority,
    /// The service that it takes, in tokens.
    pub cost: f64,
    /// Its size in bytes.
    pub bytes: usize,
    /// What a generation needs at an engine; none for a call.
    pub work: Option<GenerationWork>,
    /// How long its caller waits for the whole answer, if it said so.
    pub caller_timeout: Option<Duration>,
}

/// Why a request is refused, and when the caller may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

/// What becomes of a request that asks to be let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It runs now.
    Runs(TicketKey),
    /// It waits; [`Admission::next`] tells when it runs or is refused.
    Waits(TicketKey),
    /// It is refused.
    Refused(AdmissionRefusal),
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// It runs now.
    Runs(TicketKey),
    /// It is refused.
    Refused(TicketKey, AdmissionRefusal),
}

/// A request that runs or waits.
#[derive(Debug)]
struct Ticket {
    team: Team,
    pool: Pool,
    running: bool,
}

#[derive(Debug)]
struct TeamState {
    weight: f64,
    quota: Quota,
}

/// The requests at one daemon.
#[derive(Debug)]
pub struct Admission {
    params: AdmissionParams,
    tickets: SlotMap<TicketKey, Ticket>,
    teams: HashMap<Team, TeamState>,
    lines: BTreeMap<Pool, Line>,
}

impl Admission {
    /// No request runs or waits; no team is known.
    pub fn new(params: AdmissionParams) -> Self {
        Self { params, tickets: SlotMap::with_key(), teams: HashMap::new(), lines: BTreeMap::new() }
    }

    /// Takes over the configured teams and the number of live daemons.
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
                    state.quota.set(now, spec, daemons);
                    state.quota
                }
                None => Quota::new(now, spec, daemons),
            };
            self.teams.insert(team.clone(), TeamState { weight, quota });
        }
    }

    /// Takes over the most requests that a pool can run at once, and where its limit starts.
    pub fn on_capacity(&mut self, pool: &Pool, initial: u32, max: u32) {
        match self.lines.get_mut(pool) {
            Some(line) => line.limit.set_max(max),
            None => {
                let pace = ServiceTime::new(self.params.token_time);
                self.lines
                    .insert(pool.clone(), Line::new(ConcurrencyLimit::new(initial, max), pace));
            }
        }
    }

    /// Decides on a request that asks to be let in. A pool without a known capacity limits nothing.
    pub fn on_request(
        &mut self,
        now: MonotonicInstant,
        asked: AdmissionRequest,
    ) -> AdmissionDecision {
        let weight = self.teams.get(&asked.team).map_or(1.0, |state| state.weight);
        let line = self.lines.get(&asked.pool);
        if let Some(refused) = line.and_then(|line| line.out_of_reach(&asked)) {
            return AdmissionDecision::Refused(refused);
        }
        let running = line.is_none_or(|line| line.can_start(&asked, weight, self.params.reserve));
        if !running && let Err(refused) = self.check_queue(now, &asked, weight) {
            return AdmissionDecision::Refused(refused);
        }
        if let Some(state) = self.teams.get_mut(&asked.team)
            && let Allowed::After(retry_after) = state.quota.on_request(now)
        {
            let retry_after = Some(retry_after.unwrap_or_default().max(RETRY_AFTER_MIN));
            return AdmissionDecision::Refused(AdmissionRefusal {
                reason: RefusalReason::QuotaExceeded,
                retry_after,
            });
        }
        let wait = line.map_or(Duration::MAX, |line| self.allowed_wait(line, &asked));
        let AdmissionRequest { team, pool, priority, cost, bytes, .. } = asked;
        let ticket = Ticket { team: team.clone(), pool: pool.clone(), running };
        let key = self.tickets.insert(ticket);
        let Some(line) = self.lines.get_mut(&pool) else {
            return AdmissionDecision::Runs(key);
        };
        if running {
            line.start(&team, weight);
            return AdmissionDecision::Runs(key);
        }
        let until = now + wait;
        line.push(priority, weight, cost, Waiting { key, team, until, bytes });
        AdmissionDecision::Waits(key)
    }

    /// How long a request may wait in the queue and still be whole while its caller waits.
    fn allowed_wait(&self, line: &Line, asked: &AdmissionRequest) -> Duration {
        let wait = self.params.wait(asked.priority);
        let spare =
            asked.caller_timeout.map(|patience| patience.saturating_sub(line.expected(asked)));
        spare.map_or(wait, |spare| spare.min(wait))
    }

    fn check_queue(
        &self,
        now: MonotonicInstant,
        asked: &AdmissionRequest,
        weight: f64,
    ) -> Result<(), AdmissionRefusal> {
        let Some(line) = self.lines.get(&asked.pool) else {
            return Ok(());
        };
        let wait = line.expected_wait(now, asked, weight);
        let allowed = self.allowed_wait(line, asked);
        let reason = if line.is_full(asked, &self.params) {
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

    /// Lets in what can run now and refuses what has waited too long.
    pub fn next(&mut self, now: MonotonicInstant) -> Vec<QueueDecision> {
        let mut decided = Vec::new();
        for line in self.lines.values_mut() {
            let expired = line.expired(now).into_iter();
            decided.extend(expired.map(|(key, refused)| QueueDecision::Refused(key, refused)));
            while let Some(key) = line.pop(self.params.reserve) {
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

    /// When [`Self::next`] has something to refuse, if nothing else happens.
    pub fn next_expiry(&self) -> Option<MonotonicInstant> {
        self.lines.values().filter_map(Line::next_expiry).min()
    }

    /// Records what was measured of a request at its upstream.
    pub fn on_measurement(
        &mut self,
        now: MonotonicInstant,
        key: TicketKey,
        measured: &Measurement,
    ) {
        let Some(ticket) = self.tickets.get(key) else {
            return;
        };
        if let Some(line) = self.lines.get_mut(&ticket.pool) {
            line.on_measurement(now, measured);
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

    /// Records that a request has ended, or that its caller has gone while it waited.
    pub fn on_end(&mut self, now: MonotonicInstant, key: TicketKey) {
        let Some(ticket) = self.tickets.get(key) else {
            return;
        };
        if let Some(line) = self.lines.get_mut(&ticket.pool) {
            if ticket.running {
                line.end(now, &ticket.team);
            } else {
                line.remove(key);
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

    /// Requests that run and requests that wait for a pool.
    pub fn counts(&self, pool: &Pool) -> (u32, usize) {
        self.lines.get(pool).map_or((0, 0), |line| (line.running(), line.len()))
    }
}

/// The shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

#[cfg(test)]
mod tests;
