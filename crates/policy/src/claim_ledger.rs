//! Settles the claims of one daemon on the calls of one claim stream.
//!
//! The ledger decides what to append and what each waiting request may do; it is driven by reads
//! and by the ends of appends. A request that it has given up is never told that it won.

use crate::claim::{
    CallKey, ClaimRecord, ClaimTable, Claimant, Claimed, Continuity, Page, key_time,
};
use spindle_types::{MonotonicInstant, Offset, UtcInstant};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The most records that one append carries.
pub const APPEND_RECORDS_MAX: usize = 256;

/// The most records other than claims that wait to be appended.
const OUTBOX_MAX: usize = 2_048;

/// How long claims are kept and waited for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// How long a claim counts.
    pub claim_lifetime: Duration,
    /// The age at which a claim is written again.
    pub rewrite_age: Duration,
    /// How long a request waits for its claim, or for the answer to another one's claim.
    pub settle_timeout: Duration,
}

/// What a request may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send the call, now and once.
    Won,
    /// Repeat the answer that the record at this offset holds.
    Answered(Offset),
    /// Nothing: another request has the right, and its answer is not known.
    Lost,
    /// Nothing: the key was used for a different request.
    Mismatch,
    /// Nothing: the key is older than the time for which claims are kept.
    Expired,
    /// Nothing: the log did not settle the claim in time.
    Unsettled,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The records stand in the log.
    Appended,
    /// The records do not stand in the log.
    NotAppended,
    /// The records may stand in the log, now or later.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Queued,
    Submitted,
}

#[derive(Clone, Debug)]
struct Pending {
    call: CallKey,
    digest: u64,
    deadline: MonotonicInstant,
    stage: Stage,
    /// Whether its claim has been read.
    read: bool,
}

/// The claims of one daemon on the calls of one claim stream.
#[derive(Debug)]
pub struct ClaimLedger {
    limits: ClaimLimits,
    table: ClaimTable,
    pending: BTreeMap<Claimant, Pending>,
    outbox: VecDeque<ClaimRecord>,
    in_flight: Option<Vec<ClaimRecord>>,
    verdicts: Vec<(Claimant, Verdict)>,
}

impl ClaimLedger {
    /// A ledger that has read nothing.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            table: ClaimTable::new(limits.claim_lifetime),
            pending: BTreeMap::new(),
            outbox: VecDeque::new(),
            in_flight: None,
            verdicts: Vec::new(),
        }
    }

    /// The offset to read next.
    pub const fn next(&self) -> Offset {
        self.table.next()
    }

    /// The claims read so far.
    pub const fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Whether requests wait for what further reads bring.
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The next moment at which a request gives up waiting.
    pub fn deadline(&self) -> Option<MonotonicInstant> {
        self.pending.values().map(|pending| pending.deadline).min()
    }

    /// Takes the verdicts reached since the last time.
    pub fn take_verdicts(&mut self) -> Vec<(Claimant, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// A request asks for the right to send a call.
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
        let pending = Pending { call, digest, deadline, stage: Stage::Queued, read: false };
        self.pending.insert(claimant, pending);
        self.decide();
    }

    /// A request has gone, or did not use its right: it never sends the call.
    pub fn on_release(&mut self, claimant: Claimant, call: CallKey) {
        let known = self.pending.remove(&claimant);
        if known.is_some_and(|pending| pending.stage == Stage::Queued) {
            return;
        }
        self.write(ClaimRecord::Release { call, claimant });
    }

    /// Writes a record other than a claim as soon as the log takes it.
    pub fn write(&mut self, record: ClaimRecord) {
        if self.outbox.len() >= OUTBOX_MAX {
            self.outbox.pop_front();
        }
        self.outbox.push_back(record);
    }

    /// The records to append now; empty while an append is in flight or nothing waits.
    pub fn next_append(&mut self, utc: UtcInstant) -> Vec<ClaimRecord> {
        if self.in_flight.is_some() {
            return Vec::new();
        }
        let mut group = self.claims();
        let room = APPEND_RECORDS_MAX - group.len();
        group.extend(self.outbox.drain(..room.min(self.outbox.len())));
        if self.table.is_current() {
            let room = APPEND_RECORDS_MAX - group.len();
            group.extend(self.table.carry(utc, self.limits.rewrite_age, room));
        }
        if !group.is_empty() {
            self.in_flight = Some(group.clone());
        }
        group
    }

    /// An append ended.
    pub fn on_append(&mut self, end: AppendOutcome) {
        let group = self.in_flight.take().unwrap_or_default();
        if end == AppendOutcome::Appended {
            return;
        }
        for record in group.into_iter().rev() {
            match record {
                ClaimRecord::Claim { claimant, .. } if end == AppendOutcome::NotAppended => {
                    if self.pending.remove(&claimant).is_some() {
                        self.verdicts.push((claimant, Verdict::Unsettled));
                    }
                }
                // A claim is never appended twice, and what is carried is found due again.
                ClaimRecord::Claim { .. } | ClaimRecord::Carry { .. } => {}
                ClaimRecord::Release { .. } | ClaimRecord::Answer { .. } => {
                    if self.outbox.len() < OUTBOX_MAX {
                        self.outbox.push_front(record);
                    }
                }
            }
        }
    }

    /// A read brought a page.
    pub fn on_page(&mut self, page: Page) -> Continuity {
        self.mark_read(&page);
        let continuity = self.table.on_page(page);
        if continuity == Continuity::Gap {
            self.give_up(|pending| pending.stage == Stage::Submitted);
        }
        self.claim_again();
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

    /// Queues anew what lost to a claim that has been released since: its own claim stands before
    /// the release and never wins.
    fn claim_again(&mut self) {
        let table = &self.table;
        for pending in self.pending.values_mut() {
            if pending.read && table.get(&pending.call).is_none() {
                pending.read = false;
                pending.stage = Stage::Queued;
            }
        }
    }

    /// Time has passed.
    pub fn on_time(&mut self, now: MonotonicInstant) {
        self.give_up(|pending| pending.deadline <= now);
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
        let verdict = |claimant: &Claimant, pending: &Pending| {
            verdict(*claimant, pending.digest, table.get(&pending.call)?)
        };
        let decided: Vec<_> = self
            .pending
            .iter()
            .filter_map(|(claimant, pending)| Some((*claimant, verdict(claimant, pending)?)))
            .collect();
        for (claimant, verdict) in decided {
            self.end(claimant, verdict);
        }
    }

    fn give_up(&mut self, due: impl Fn(&Pending) -> bool) {
        let due: Vec<_> = self.pending.iter().filter(|(_, pending)| due(pending)).collect();
        let ended: Vec<_> = due
            .into_iter()
            .map(|(claimant, pending)| match self.table.get(&pending.call) {
                Some(_) => (*claimant, Verdict::Lost),
                None => (*claimant, Verdict::Unsettled),
            })
            .collect();
        for (claimant, verdict) in ended {
            self.end(claimant, verdict);
        }
    }

    fn end(&mut self, claimant: Claimant, verdict: Verdict) {
        let Some(pending) = self.pending.remove(&claimant) else {
            return;
        };
        if verdict != Verdict::Won && pending.stage == Stage::Submitted {
            self.write(ClaimRecord::Release { call: pending.call, claimant });
        }
        self.verdicts.push((claimant, verdict));
    }
}

/// The verdict for a request, given what is known of its call; none while it has to wait.
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
