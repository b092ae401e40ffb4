//! The running and queued requests of one pool.

use super::fair::FairQueue;
use super::{AdmissionParams, AdmissionRefusal, AdmissionRequest, RETRY_AFTER_MIN, TicketKey};
use crate::limit::ConcurrencyLimit;
use crate::service_time::{Measurement, ServiceTime};
use spindle_types::config::Priority;
use spindle_types::{MonotonicInstant, RefusalReason, Team};
use std::collections::HashMap;
use std::time::Duration;

/// After this many interactive requests a queued batch request starts, so that batch work is never
/// starved.
const BATCH_INTERVAL: u32 = 8;

/// The time constant of the exponentially weighted completion rate: the weight of a completed
/// request decays to 1/e in this time.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// The shortest observation after which the completion rate is used.
const RATE_OBSERVATION_MIN: Duration = Duration::from_secs(1);

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) key: TicketKey,
    pub(super) team: Team,
    pub(super) expires: MonotonicInstant,
    pub(super) bytes: usize,
}

/// A team with running or queued requests.
#[derive(Clone, Copy, Debug)]
struct ActiveTeam {
    weight: f64,
    running: u32,
    waiting: u32,
}

/// The exponentially weighted rate at which requests complete.
#[derive(Clone, Copy, Debug, Default)]
struct CompletionRate {
    since: Option<MonotonicInstant>,
    completions: f64,
    decayed_at: MonotonicInstant,
}

impl CompletionRate {
    fn on_end(&mut self, now: MonotonicInstant) {
        self.since.get_or_insert(now);
        self.completions = self.completions * self.decay(now) + 1.0;
        self.decayed_at = now;
    }

    fn decay(&self, now: MonotonicInstant) -> f64 {
        (-now.since(self.decayed_at).as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }

    /// Completions per second. `None` until they have been observed for
    /// [`RATE_OBSERVATION_MIN`].
    fn rate(&self, now: MonotonicInstant) -> Option<f64> {
        let observed = now.since(self.since?);
        if observed < RATE_OBSERVATION_MIN {
            return None;
        }
        let window = RATE_WINDOW.as_secs_f64();
        let weighted_window = window * (1.0 - (-observed.as_secs_f64() / window).exp());
        Some(self.completions * self.decay(now) / weighted_window)
    }
}

#[derive(Debug)]
pub(super) struct PoolQueue {
    pub(super) limit: ConcurrencyLimit,
    service_time: ServiceTime,
    running: u32,
    active: HashMap<Team, ActiveTeam>,
    interactive: FairQueue<QueuedRequest>,
    batch: FairQueue<QueuedRequest>,
    bytes: usize,
    since_batch: u32,
    completion_rate: CompletionRate,
}

impl PoolQueue {
    pub(super) fn new(limit: ConcurrencyLimit, service_time: ServiceTime) -> Self {
        Self {
            limit,
            service_time,
            running: 0,
            active: HashMap::new(),
            interactive: FairQueue::default(),
            batch: FairQueue::default(),
            bytes: 0,
            since_batch: 0,
            completion_rate: CompletionRate::default(),
        }
    }

    pub(super) const fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Whether a request can run immediately: the limit permits it, and no queued request must run
    /// first. An interactive request waits only for interactive requests of its own team, a batch
    /// request for all queued requests.
    pub(super) fn can_start(&self, request: &AdmissionRequest, weight: f64, reserve: f64) -> bool {
        let is_next = match request.priority {
            Priority::Interactive => self.interactive.len_of(&request.team) == 0,
            Priority::Batch => self.len() == 0,
        };
        is_next && self.has_room(&request.team, weight, request.priority, reserve)
    }

    /// Whether the limit permits one more request of a team. Only interactive requests of teams
    /// that run less than their fair share of the limit may use the reserve.
    fn has_room(&self, team: &Team, weight: f64, priority: Priority, reserve: f64) -> bool {
        let limit = f64::from(self.limit.get());
        let running = f64::from(self.running);
        if running + 1.0 <= (limit * (1.0 - reserve)).max(1.0) {
            return true;
        }
        if running + 1.0 > limit || priority == Priority::Batch {
            return false;
        }
        let own = self.active.get(team).map_or(0, |active| active.running);
        let others = self.active.iter().filter(|(name, _)| *name != team);
        let total: f64 = weight + others.map(|(_, active)| active.weight).sum::<f64>();
        f64::from(own) < limit * weight / total
    }

    pub(super) fn is_full(&self, request: &AdmissionRequest, params: &AdmissionParams) -> bool {
        let own = self.active.get(&request.team).map_or(0, |active| active.waiting);
        self.len() >= params.queue_max
            || own as usize >= params.team_max
            || self.bytes + request.bytes > params.bytes_max
    }

    /// The expected time in the queue of a new request, if the completion rate is known.
    pub(super) fn expected_wait(
        &self,
        now: MonotonicInstant,
        request: &AdmissionRequest,
        weight: f64,
    ) -> Option<Duration> {
        let rate = self.completion_rate.rate(now)?;
        let (queue, served_first) = match request.priority {
            Priority::Interactive => (&self.interactive, 0),
            Priority::Batch => (&self.batch, self.interactive.len()),
        };
        let own = (queue.len_of(&request.team) + 1) as f64;
        let ahead = served_first as f64 + own / queue.share_of(&request.team, weight);
        Duration::try_from_secs_f64(ahead / rate).ok()
    }

    pub(super) fn start(&mut self, team: &Team, weight: f64) {
        self.running += 1;
        self.active_team_mut(team, weight).running += 1;
    }

    fn active_team_mut(&mut self, team: &Team, weight: f64) -> &mut ActiveTeam {
        let blank = ActiveTeam { weight, running: 0, waiting: 0 };
        let active = self.active.entry(team.clone()).or_insert(blank);
        active.weight = weight;
        active
    }

    pub(super) fn push(
        &mut self,
        priority: Priority,
        weight: f64,
        cost: f64,
        waiting: QueuedRequest,
    ) {
        let team = waiting.team.clone();
        self.active_team_mut(&team, weight).waiting += 1;
        self.bytes += waiting.bytes;
        let queue = match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        };
        queue.push(&team, weight, cost, waiting);
    }

    /// Dequeues the next request that can run and counts it as running.
    pub(super) fn pop(&mut self, reserve: f64) -> Option<TicketKey> {
        let batch_due = self.since_batch >= BATCH_INTERVAL && !self.batch.is_empty();
        let order = match batch_due {
            true => [Priority::Batch, Priority::Interactive],
            false => [Priority::Interactive, Priority::Batch],
        };
        let (priority, waiting) = order
            .into_iter()
            .find_map(|priority| Some((priority, self.pop_from(priority, reserve)?)))?;
        self.since_batch = if priority == Priority::Batch { 0 } else { self.since_batch + 1 };
        self.bytes -= waiting.bytes;
        let weight = self.active.get(&waiting.team).map_or(1.0, |active| active.weight);
        self.start(&waiting.team, weight);
        self.on_dequeue(&waiting.team);
        Some(waiting.key)
    }

    fn pop_from(&mut self, priority: Priority, reserve: f64) -> Option<QueuedRequest> {
        let mut queue = std::mem::take(match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        });
        let popped = queue.pop(|team| {
            let weight = self.active.get(team).map_or(1.0, |active| active.weight);
            self.has_room(team, weight, priority, reserve)
        });
        match priority {
            Priority::Interactive => self.interactive = queue,
            Priority::Batch => self.batch = queue,
        }
        popped
    }

    fn on_dequeue(&mut self, team: &Team) {
        if let Some(active) = self.active.get_mut(team) {
            active.waiting = active.waiting.saturating_sub(1);
        }
        self.remove_idle(team);
    }

    fn remove_idle(&mut self, team: &Team) {
        if self.active.get(team).is_some_and(|active| active.running + active.waiting == 0) {
            self.active.remove(team);
        }
    }

    /// Records that a running request has ended.
    pub(super) fn end(&mut self, now: MonotonicInstant, team: &Team) {
        self.running = self.running.saturating_sub(1);
        if let Some(active) = self.active.get_mut(team) {
            active.running = active.running.saturating_sub(1);
        }
        self.remove_idle(team);
        self.completion_rate.on_end(now);
    }

    /// Removes a queued request whose caller has disconnected.
    pub(super) fn remove(&mut self, key: TicketKey) {
        self.extract(|waiting| waiting.key != key);
    }

    /// Removes the queued requests whose wait has expired.
    pub(super) fn take_expired(
        &mut self,
        now: MonotonicInstant,
    ) -> Vec<(TicketKey, AdmissionRefusal)> {
        if self.next_expiry().is_none_or(|expires| expires > now) {
            return Vec::new();
        }
        let backlog = self.len() as f64;
        let rate = self.completion_rate.rate(now);
        let drain_time = rate.and_then(|rate| Duration::try_from_secs_f64(backlog / rate).ok());
        let retry_after = Some(drain_time.unwrap_or(RETRY_AFTER_MIN).max(RETRY_AFTER_MIN));
        let refused = AdmissionRefusal { reason: RefusalReason::DeadlineUnreachable, retry_after };
        let expired = self.extract(|waiting| waiting.expires > now);
        expired.into_iter().map(|waiting| (waiting.key, refused)).collect()
    }

    fn extract(&mut self, keep: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut taken = self.interactive.extract(&keep);
        taken.extend(self.batch.extract(&keep));
        for waiting in &taken {
            self.bytes -= waiting.bytes;
            self.on_dequeue(&waiting.team);
        }
        taken
    }

    /// The earliest expiry of a queued request. Only the first request of each team and priority is
    /// examined, as later ones expire later.
    pub(super) fn next_expiry(&self) -> Option<MonotonicInstant> {
        let heads = self.interactive.heads().chain(self.batch.heads());
        heads.map(|waiting| waiting.expires).min()
    }

    pub(super) fn on_measurement(&mut self, now: MonotonicInstant, measurement: &Measurement) {
        self.limit.on_latency(now, measurement.latency, self.running);
        self.service_time.on_measurement(measurement);
    }

    /// The expected time from the dispatch of a request to the end of its answer.
    pub(super) fn expected_duration(&self, request: &AdmissionRequest) -> Duration {
        request.work.map_or(Duration::ZERO, |work| self.service_time.expected(work))
    }

    /// Refuses a request that would exceed its caller's timeout even if it ran now. The refusal has
    /// a retry delay only if an idle engine would be fast enough.
    pub(super) fn unreachable_deadline(
        &self,
        request: &AdmissionRequest,
    ) -> Option<AdmissionRefusal> {
        let (work, timeout) = (request.work?, request.caller_timeout?);
        let excess = self.service_time.expected(work).checked_sub(timeout)?;
        let reachable = self.service_time.fastest(work) <= timeout;
        let retry_after = reachable.then(|| excess.max(RETRY_AFTER_MIN));
        Some(AdmissionRefusal { reason: RefusalReason::DeadlineUnreachable, retry_after })
    }
}
