//! The requests that run at one pool or wait for it.

use super::fair::FairQueue;
use super::{AdmissionParams, AdmissionRefusal, AdmissionRequest, RETRY_AFTER_MIN, TicketKey};
use crate::limit::ConcurrencyLimit;
use crate::service_time::{Measurement, ServiceTime};
use spindle_types::config::Priority;
use spindle_types::{MonotonicInstant, RefusalReason, Team};
use std::collections::HashMap;
use std::time::Duration;

/// One in so many requests that are let in is batch work, if any waits.
const BATCH_TURN: u32 = 8;

/// The time in which the weight of an ended request in the drain rate fades to 1/e.
const DRAIN_WINDOW: Duration = Duration::from_secs(5);

/// The time that the drain rate must have been observed to count.
const DRAIN_MIN: Duration = Duration::from_secs(1);

/// A request that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) key: TicketKey,
    pub(super) team: Team,
    pub(super) until: MonotonicInstant,
    pub(super) bytes: usize,
}

/// A team with requests that run or wait.
#[derive(Clone, Copy, Debug)]
struct Active {
    weight: f64,
    running: u32,
    waiting: u32,
}

/// The rate at which requests end.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    since: Option<MonotonicInstant>,
    ends: f64,
    faded: MonotonicInstant,
}

impl Drain {
    fn on_end(&mut self, now: MonotonicInstant) {
        self.since.get_or_insert(now);
        self.ends = self.ends * self.fading(now) + 1.0;
        self.faded = now;
    }

    fn fading(&self, now: MonotonicInstant) -> f64 {
        (-now.since(self.faded).as_secs_f64() / DRAIN_WINDOW.as_secs_f64()).exp()
    }

    /// Ends a second, once they have been observed for long enough.
    fn rate(&self, now: MonotonicInstant) -> Option<f64> {
        let observed = now.since(self.since?);
        if observed < DRAIN_MIN {
            return None;
        }
        let window = DRAIN_WINDOW.as_secs_f64();
        let seen = window * (1.0 - (-observed.as_secs_f64() / window).exp());
        Some(self.ends * self.fading(now) / seen)
    }
}

#[derive(Debug)]
pub(super) struct Line {
    pub(super) limit: ConcurrencyLimit,
    pace: ServiceTime,
    running: u32,
    active: HashMap<Team, Active>,
    interactive: FairQueue<Waiting>,
    batch: FairQueue<Waiting>,
    bytes: usize,
    turn: u32,
    drain: Drain,
}

impl Line {
    pub(super) fn new(limit: ConcurrencyLimit, pace: ServiceTime) -> Self {
        Self {
            limit,
            pace,
            running: 0,
            active: HashMap::new(),
            interactive: FairQueue::default(),
            batch: FairQueue::default(),
            bytes: 0,
            turn: 0,
            drain: Drain::default(),
        }
    }

    pub(super) const fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Whether a request can run at once: there is room for its team, and it overtakes nobody.
    pub(super) fn can_start(&self, asked: &AdmissionRequest, weight: f64, reserve: f64) -> bool {
        let first = match asked.priority {
            Priority::Interactive => self.interactive.len_of(&asked.team) == 0,
            Priority::Batch => self.len() == 0,
        };
        first && self.has_room(&asked.team, weight, asked.priority, reserve)
    }

    /// Whether there is room for a team. The reserve is for interactive work of teams that have
    /// less than their share of the limit running.
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

    pub(super) fn is_full(&self, asked: &AdmissionRequest, params: &AdmissionParams) -> bool {
        let own = self.active.get(&asked.team).map_or(0, |active| active.waiting);
        self.len() >= params.queue_max
            || own as usize >= params.team_max
            || self.bytes + asked.bytes > params.bytes_max
    }

    /// How long a request would wait, if the drain rate is known.
    pub(super) fn expected_wait(
        &self,
        now: MonotonicInstant,
        asked: &AdmissionRequest,
        weight: f64,
    ) -> Option<Duration> {
        let rate = self.drain.rate(now)?;
        let (queue, before) = match asked.priority {
            Priority::Interactive => (&self.interactive, 0),
            Priority::Batch => (&self.batch, self.interactive.len()),
        };
        let own = (queue.len_of(&asked.team) + 1) as f64;
        let ahead = before as f64 + own / queue.share_of(&asked.team, weight);
        Duration::try_from_secs_f64(ahead / rate).ok()
    }

    pub(super) fn start(&mut self, team: &Team, weight: f64) {
        self.running += 1;
        self.active_mut(team, weight).running += 1;
    }

    fn active_mut(&mut self, team: &Team, weight: f64) -> &mut Active {
        let blank = Active { weight, running: 0, waiting: 0 };
        let active = self.active.entry(team.clone()).or_insert(blank);
        active.weight = weight;
        active
    }

    pub(super) fn push(&mut self, priority: Priority, weight: f64, cost: f64, waiting: Waiting) {
        let team = waiting.team.clone();
        self.active_mut(&team, weight).waiting += 1;
        self.bytes += waiting.bytes;
        let queue = match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        };
        queue.push(&team, weight, cost, waiting);
    }

    /// Takes the next request that can run, and counts it as running.
    pub(super) fn pop(&mut self, reserve: f64) -> Option<TicketKey> {
        let batch_turn = self.turn >= BATCH_TURN && !self.batch.is_empty();
        let order = match batch_turn {
            true => [Priority::Batch, Priority::Interactive],
            false => [Priority::Interactive, Priority::Batch],
        };
        let (priority, waiting) = order
            .into_iter()
            .find_map(|priority| Some((priority, self.pop_from(priority, reserve)?)))?;
        self.turn = if priority == Priority::Batch { 0 } else { self.turn + 1 };
        self.bytes -= waiting.bytes;
        let weight = self.active.get(&waiting.team).map_or(1.0, |active| active.weight);
        self.start(&waiting.team, weight);
        self.unwait(&waiting.team);
        Some(waiting.key)
    }

    fn pop_from(&mut self, priority: Priority, reserve: f64) -> Option<Waiting> {
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

    fn unwait(&mut self, team: &Team) {
        if let Some(active) = self.active.get_mut(team) {
            active.waiting = active.waiting.saturating_sub(1);
        }
        self.drop_idle(team);
    }

    fn drop_idle(&mut self, team: &Team) {
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
        self.drop_idle(team);
        self.drain.on_end(now);
    }

    /// Takes out a request whose caller has gone.
    pub(super) fn remove(&mut self, key: TicketKey) {
        self.extract(|waiting| waiting.key != key);
    }

    /// Takes out the requests whose wait is over.
    pub(super) fn expired(&mut self, now: MonotonicInstant) -> Vec<(TicketKey, AdmissionRefusal)> {
        if self.next_expiry().is_none_or(|until| until > now) {
            return Vec::new();
        }
        let backlog = self.len() as f64;
        let rate = self.drain.rate(now);
        let drained = rate.and_then(|rate| Duration::try_from_secs_f64(backlog / rate).ok());
        let retry_after = Some(drained.unwrap_or(RETRY_AFTER_MIN).max(RETRY_AFTER_MIN));
        let refused = AdmissionRefusal { reason: RefusalReason::DeadlineUnreachable, retry_after };
        let expired = self.extract(|waiting| waiting.until > now);
        expired.into_iter().map(|waiting| (waiting.key, refused)).collect()
    }

    fn extract(&mut self, kept: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = self.interactive.extract(&kept);
        taken.extend(self.batch.extract(&kept));
        for waiting in &taken {
            self.bytes -= waiting.bytes;
            self.unwait(&waiting.team);
        }
        taken
    }

    /// When the wait of the next request is over. Requests of one team and priority are in order.
    pub(super) fn next_expiry(&self) -> Option<MonotonicInstant> {
        let heads = self.interactive.heads().chain(self.batch.heads());
        heads.map(|waiting| waiting.until).min()
    }

    pub(super) fn on_measurement(&mut self, now: MonotonicInstant, measured: &Measurement) {
        self.limit.on_latency(now, measured.latency, self.running);
        self.pace.on_measurement(measured);
    }

    /// The time from its dispatch after which a request is expected to be whole.
    pub(super) fn expected(&self, asked: &AdmissionRequest) -> Duration {
        asked.work.map_or(Duration::ZERO, |work| self.pace.expected(work))
    }

    /// The refusal of a request that could not be whole in time even if it ran now. It names a time
    /// to come back only if an idle engine would be fast enough.
    pub(super) fn out_of_reach(&self, asked: &AdmissionRequest) -> Option<AdmissionRefusal> {
        let (work, patience) = (asked.work?, asked.caller_timeout?);
        let excess = self.pace.expected(work).checked_sub(patience)?;
        let reachable = self.pace.fastest(work) <= patience;
        let retry_after = reachable.then(|| excess.max(RETRY_AFTER_MIN));
        Some(AdmissionRefusal { reason: RefusalReason::DeadlineUnreachable, retry_after })
    }
}
