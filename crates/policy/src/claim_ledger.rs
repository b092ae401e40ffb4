//! Decides on the claims of one daemon on the calls of one claim stream.
//!
//! A request claims its call by a record in a shared log, so that the call is sent at most
//! once. The ledger decides which records to append and which requests may proceed. It is driven by
//! the pages read from the log and by the outcomes of appends. A request whose wait has timed out
//! never wins afterwards.

use crate::claim::{
    CallKey, ClaimRecord, ClaimTable, Claimant, Claimed, Continuity, Page, key_time,
};
use spindle_types::{MonotonicInstant, Offset, UtcInstant};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The maximum number of records in one append.
pub const APPEND_RECORDS_MAX: usize = 256;

/// The maximum number of queued records other than claims.
const QUEUED_RECORDS_MAX: usize = 2_048;

/// Time limits for claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// How long a claim is valid.
    pub claim_lifetime: Duration,
    /// The age at which a claim is written to the log again, before the log drops its record.
    pub rewrite_age: Duration,
    /// How long a request waits for its own claim to be read from the log, or for the answer to
    /// the call that another request claimed.
    pub settle_timeout: Duration,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may send the call, immediately and once.
    Won,
    /// The call has been answered; the record at this offset holds the answer to repeat.
    Answered(Offset),
    /// Rejected: another request holds the claim, and its answer is unknown.
    Lost,
    /// Rejected: the idempotency key was used for a different request.
    Mismatch,
    /// Rejected: the idempotency key is older than the lifetime of claims.
    Expired,
    /// Rejected: the log did not settle the claim in time.
    Unsettled,
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The records are in the log.
    Appended,
    /// The records are not in the log.
    NotAppended,
    /// The records may be in the log, or may still appear there later.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The claim waits to be appended.
    Queued,
    /// The claim has been passed to an append.
    Submitted,
}

/// A request that waits for its verdict.
#[derive(Clone, Debug)]
struct PendingRequest {
    call: CallKey,
    digest: u64,
    deadline: MonotonicInstant,
    stage: Stage,
    /// Whether the claim of the request has been read from the log.
    read: bool,
}

/// The claims of one daemon on the calls of one claim stream.
#[derive(Debug)]
pub struct ClaimLedger {
    limits: ClaimLimits,
    table: ClaimTable,
    pending: BTreeMap<Claimant, PendingRequest>,
    /// Records other than claims that wait to be appended.
    queued_records: VecDeque<ClaimRecord>,
    /// Records of the append in flight.
    in_flight: Option<Vec<ClaimRecord>>,
    verdicts: Vec<(Claimant, Verdict)>,
}

impl ClaimLedger {
    /// Creates a ledger that has not read any record.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            table: ClaimTable::new(limits.claim_lifetime),
            pending: BTreeMap::new(),
            queued_records: VecDeque::new(),
            in_flight: None,
            verdicts: Vec::new(),
        }
    }

    /// The offset of the record to read next.
    pub const fn next(&self) -> Offset {
        self.table.next()
    }

    /// The table of the claims read so far.
    pub const fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Whether requests wait for further records.
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The earliest deadline of the waiting requests.
    pub fn deadline(&self) -> Option<MonotonicInstant> {
        self.pending.values().map(|pending| pending.deadline).min()
    }

    /// Takes the verdicts reached since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(Claimant, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Registers a request that wants to send a call; `digest` identifies the content of the
    /// request.
    pub fn on_call(
        &mut self,
        now: MonotonicInstant,
        utc: UtcInstant,
        claimant: Claimant,
        call: CallKey,
        digest: u64,
    ) {
        let expired = |made: UtcInstant| utc.since(made) > self.limits.claim_lifetime;
        if key_time(&call.key).is_some_and(expired) {
            self.verdicts.push((claimant, Verdict::Expired));
            return;
        }
        let deadline = now + self.limits.settle_timeout;
        let pending = PendingRequest { call, digest, deadline, stage: Stage::Queued, read: false };
        self.pending.insert(claimant, pending);
        self.decide();
    }

    /// Releases the claim of a request that has gone or has not sent the call, and never will.
    pub fn on_release(&mut self, claimant: Claimant, call: CallKey) {
        let known = self.pending.remove(&claimant);
        if known.is_some_and(|pending| pending.stage == Stage::Queued) {
            return;
        }
        self.write(ClaimRecord::Release { call, claimant });
    }

    /// Queues a record other than a claim for the next append. If the queue is full, the oldest
    /// record is dropped.
    pub fn write(&mut self, record: ClaimRecord) {
        if self.queued_records.len() >= QUEUED_RECORDS_MAX {
            self.queued_records.pop_front();
        }
        self.queued_records.push_back(record);
    }

    /// Records to append now; empty while an append is in flight or if nothing is queued.
    pub fn next_append(&mut self, utc: UtcInstant) -> Vec<ClaimRecord> {
        if self.in_flight.is_some() {
            return Vec::new();
        }
        let mut group = self.claims();
        let room = APPEND_RECORDS_MAX - group.len();
        group.extend(self.queued_records.drain(..room.min(self.queued_records.len())));
        if self.table.is_current() {
            let room = APPEND_RECORDS_MAX - group.len();
            group.extend(self.table.due_rewrites(utc, self.limits.rewrite_age, room));
        }
        if !group.is_empty() {
            self.in_flight = Some(group.clone());
        }
        group
    }

    /// Records the outcome of the append in flight.
    pub fn on_append(&mut self, outcome: AppendOutcome) {
        let group = self.in_flight.take().unwrap_or_default();
        if outcome == AppendOutcome::Appended {
            return;
        }
        for record in group.into_iter().rev() {
            match record {
                ClaimRecord::Claim { claimant, .. } if outcome == AppendOutcome::NotAppended => {
                    if self.pending.remove(&claimant).is_some() {
                        self.verdicts.push((claimant, Verdict::Unsettled));
                    }
                }
                // Claims are never appended twice. Rewrites are found due again by the table.
                ClaimRecord::Claim { .. } | ClaimRecord::Carry { .. } => {}
                ClaimRecord::Release { .. } | ClaimRecord::Answer { .. } => {
                    if self.queued_records.len() < QUEUED_RECORDS_MAX {
                        self.queued_records.push_front(record);
                    }
                }
            }
        }
    }

    /// Processes a page read from the log.
    pub fn on_page(&mut self, page: Page) -> Continuity {
        self.mark_read(&page);
        let continuity = self.table.on_page(page);
        if continuity == Continuity::Gap {
            self.reject_waiting(|pending| pending.stage == Stage::Submitted);
        }
        self.requeue_released();
        self.decide();
        continuity
    }

    fn mark_read(&mut self, page: &Page) {
        for (_, _, record) in &page.records {
            if let Some(ClaimRecord::Claim { claimant, .. }) = record
                && let Some(pending) = self.pending.get_mut(claimant)
            {
                pending.read = true;
            }
        }
    }

    /// Queues requests again whose claim lost to one that has since been released. Their own claims
    /// precede the release in the log and can't win.
    fn requeue_released(&mut self) {
        let table = &self.table;
        for pending in self.pending.values_mut() {
            if pending.read && table.get(&pending.call).is_none() {
                pending.read = false;
                pending.stage = Stage::Queued;
            }
        }
    }

    /// Gives up the requests whose deadline has passed.
    pub fn on_time(&mut self, now: MonotonicInstant) {
        self.reject_waiting(|pending| pending.deadline <= now);
    }

    fn claims(&mut self) -> Vec<ClaimRecord> {
        if !self.table.is_current() {
            return Vec::new();
        }
        let table = &self.table;
        let queued = self.pending.iter_mut().filter(|(_, pending)| {
            pending.stage == Stage::Queued && table.get(&pending.call).is_none()
        });
        queued
            .take(APPEND_RECORDS_MAX)
            .map(|(claimant, pending)| {
                pending.stage = Stage::Submitted;
                let (call, digest) = (pending.call.clone(), pending.digest);
                ClaimRecord::Claim { call, claimant: *claimant, digest }
            })
            .collect()
    }

    fn decide(&mut self) {
        if !self.table.is_current() {
            return;
        }
        let table = &self.table;
        let verdict = |claimant: &Claimant, pending: &PendingRequest| {
            verdict(*claimant, pending.digest, table.get(&pending.call)?)
        };
        let decided: Vec<_> = self
            .pending
            .iter()
            .filter_map(|(claimant, pending)| Some((*claimant, verdict(claimant, pending)?)))
            .collect();
        for (claimant, verdict) in decided {
            self.settle(claimant, verdict);
        }
    }

    /// Rejects the waiting requests for which `due` holds.
    fn reject_waiting(&mut self, due: impl Fn(&PendingRequest) -> bool) {
        let due: Vec<_> = self.pending.iter().filter(|(_, pending)| due(pending)).collect();
        let ended: Vec<_> = due
            .into_iter()
            .map(|(claimant, pending)| match self.table.get(&pending.call) {
                Some(_) => (*claimant, Verdict::Lost),
                None => (*claimant, Verdict::Unsettled),
            })
            .collect();
        for (claimant, verdict) in ended {
            self.settle(claimant, verdict);
        }
    }

    /// Ends the wait of a request with a verdict, and releases its claim unless it won.
    fn settle(&mut self, claimant: Claimant, verdict: Verdict) {
        let Some(pending) = self.pending.remove(&claimant) else {
            return;
        };
        if verdict != Verdict::Won && pending.stage == Stage::Submitted {
            self.write(ClaimRecord::Release { call: pending.call, claimant });
        }
        self.verdicts.push((claimant, verdict));
    }
}

/// The verdict on a request, given the claim on its call; `None` while the request has to wait.
fn verdict(claimant: Claimant, digest: u64, claimed: Claimed) -> Option<Verdict> {
    if claimed.claimant == claimant {
        return Some(Verdict::Won);
    }
    if claimed.digest != digest {
        return Some(Verdict::Mismatch);
    }
    claimed.answer.map(Verdict::Answered)
}

#[cfg(test)]
mod tests;
