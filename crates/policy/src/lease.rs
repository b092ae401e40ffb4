//! The lease that elects a leader: the one daemon that plans and sends orders. It is kept as
//! records of a stream of the log service.
//!
//! A record names the newest record that its appender had read, and is valid only if it directly
//! follows that one. A reader can therefore judge each record on its own, whatever has expired
//! before it, and a record that was appended twice counts once. The offset of the record that took
//! the lease is the fencing token; renewals keep it.
//!
//! Clocks of different daemons are never compared. A holder may act for the term of its newest
//! record, counted from the instant before it sent that record. A candidate takes the lease only
//! after it has known the newest record for the whole term without seeing another one. As long as
//! clocks run at rates within [`CLOCK_DRIFT_PERCENT`] of true time, whatever they show, the
//! following holds:
//!
//! - No two daemons have a valid [`Permission`] at the same time.
//! - A holder can be paused between its check and the arrival of its order. An upstream that checks
//!   fencing tokens refuses such an order once it has seen a higher token. For an upstream that
//!   does not check them, a new holder waits until the orders of the former holder have timed out.
//!   An order that arrives even later is corrected rather than prevented: orders state the desired
//!   state, and the new holder compares the actual state with it again.
//!
//! A log that was restored from an older copy may lack records that granted the lease, and gives
//! their offsets out again. If it states its era, a record is valid only in the era in which its
//! appender had read, and tokens contain the era. A reader that notices a restore starts anew: a
//! holder stops, and a candidate waits the longest term.

use crate::store_era::{EraChange, StoreEra};
use serde::{Deserialize, Serialize};
use spindle_types::config::FencingCheck;
use spindle_types::{Fencing, Incarnation, MonotonicInstant, Offset, Span};
use std::time::Duration;

/// The maximum deviation of a clock's rate from true time, in percent.
pub const CLOCK_DRIFT_PERCENT: u32 = 1;

/// The longest term that a record can grant. Longer ones are cut to it.
pub const TERM_MAX: Duration = Duration::from_secs(60);

/// The number of low bits of a fencing token that hold the offset. The era is above them. Tokens up
/// to era 2^21 are exact as a 64-bit floating-point number.
const OFFSET_BITS: u32 = 32;

/// The number of different start delays over which candidates are spread.
const START_DELAY_STEPS: u64 = 64;

/// A record of the lease stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The daemon that takes, renews or releases the lease.
    pub holder: Incarnation,
    /// The offset of the newest record that the appender had read.
    pub after: Offset,
    /// How long the holder may act after it sent the record.
    pub term: Span,
    /// Whether the record takes, renews or releases the lease.
    pub action: LeaseAction,
    /// A random number by which the appender recognises its own record.
    pub nonce: u64,
    /// The era of the log in which the appender had read; 0 if the log states none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u64,
}

/// The action of a record of the lease stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAction {
    /// Takes the lease; the record's offset becomes the fencing token.
    Take,
    /// Extends the lease.
    Renew {
        /// The fencing token under which the lease is held.
        fencing: Fencing,
    },
    /// Releases the lease before its term ends.
    Release,
}

/// The lease as granted by the newest valid record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The daemon that holds the lease.
    pub holder: Incarnation,
    /// The fencing token.
    pub fencing: Fencing,
    /// The nonce of the newest valid record.
    pub nonce: u64,
}

/// The effect of a record on the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseChange {
    /// A daemon took the lease.
    Taken(Grant),
    /// The holder extended the lease.
    Renewed(Grant),
    /// The holder released the lease.
    Released,
    /// The record is not valid, or has been read before.
    Ignored,
}

/// What a daemon that wants the lease does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Append a record.
    Append {
        /// The offset of the newest record read.
        after: Offset,
        /// The action of the record.
        action: LeaseAction,
    },
    /// Keep reading; there is nothing to append before this instant.
    Wait(MonotonicInstant),
}

/// The lease as one daemon knows it from reading the stream.
#[derive(Clone, Copy, Debug)]
pub struct LeaseState {
    newest: Offset,
    grant: Option<Grant>,
    /// From when the lease may be taken.
    free_from: MonotonicInstant,
    longest_term: Duration,
    era: StoreEra,
}

impl LeaseState {
    /// The state before anything has been read, for terms up to [`TERM_MAX`].
    pub fn new(now: MonotonicInstant) -> Self {
        Self::with_longest_term(now, TERM_MAX)
    }

    /// The state before anything has been read, for a stream with no term longer than
    /// `longest_term`. The lease may be held by a record not yet read, so it is free only after
    /// that time.
    pub fn with_longest_term(now: MonotonicInstant, longest_term: Duration) -> Self {
        Self {
            newest: Offset(0),
            grant: None,
            free_from: after_elapsed(now, longest_term),
            longest_term,
            era: StoreEra::default(),
        }
    }

    /// Applies the era of an answer of the log, before its content. If the log was restored,
    /// nothing that has been read counts any more, and this daemon doesn't hold the lease. The
    /// content of an outdated answer must not be applied.
    pub fn on_answer(&mut self, now: MonotonicInstant, era: Option<u64>) -> EraChange {
        let change = self.era.on_answer(era);
        if matches!(change, EraChange::Restored { .. }) {
            *self = Self { era: self.era, ..Self::with_longest_term(now, self.longest_term) };
        }
        change
    }

    /// The era of the log, for records that are appended; 0 if the log states none.
    pub fn era(&self) -> u64 {
        self.era.known().unwrap_or_default()
    }

    /// The offset to read next.
    pub const fn next(&self) -> Offset {
        self.newest.next()
    }

    /// The newest grant, which may have expired; none if the lease is free or its holder unknown.
    pub const fn grant(&self) -> Option<Grant> {
        self.grant
    }

    /// Applies the bounds of the stream. In a stream that never had a record the lease is free at
    /// once. In an era above 0, a restore may have lost its records. If records have expired
    /// unread, one of them may have granted the lease.
    pub fn on_bounds(&mut self, now: MonotonicInstant, oldest: Offset, end: Offset) {
        if end == Offset(1) && self.newest == Offset(0) && self.era() == 0 {
            self.free_from = self.free_from.min(now);
        }
        if oldest > self.next() {
            self.newest = Offset(oldest.0 - 1);
            self.grant = None;
            self.free_from = after_elapsed(now, self.longest_term);
        }
    }

    /// Applies the record at `offset`.
    pub fn on_record(
        &mut self,
        now: MonotonicInstant,
        offset: Offset,
        record: LeaseRecord,
    ) -> LeaseChange {
        if offset <= self.newest {
            return LeaseChange::Ignored;
        }
        self.newest = offset;
        if record.after.next() != offset || record.era != self.era() {
            return LeaseChange::Ignored;
        }
        self.free_from = after_elapsed(now, capped_term(record.term));
        let grant = |fencing| Grant { holder: record.holder, fencing, nonce: record.nonce };
        match record.action {
            LeaseAction::Take => {
                let grant = grant(fencing_token(record.era, offset));
                self.grant = Some(grant);
                LeaseChange::Taken(grant)
            }
            LeaseAction::Renew { fencing } => {
                let grant = grant(fencing);
                self.grant = Some(grant);
                LeaseChange::Renewed(grant)
            }
            LeaseAction::Release => {
                self.grant = None;
                self.free_from = now;
                LeaseChange::Released
            }
        }
    }

    /// Skips a record that can't be decoded. No reader counts it.
    pub fn skip(&mut self, offset: Offset) {
        self.newest = self.newest.max(offset);
    }

    /// What a daemon that wants the lease does next. `renewed` is the instant before it sent its
    /// newest record. The holder renews after a third of the term. Candidates wait for different
    /// delays of up to `spread`, so that they don't all append at once.
    pub fn next_step(
        &self,
        now: MonotonicInstant,
        own: Incarnation,
        term: Duration,
        renewed: MonotonicInstant,
        spread: Duration,
    ) -> LeaseStep {
        let after = self.newest;
        if let Some(grant) = self.grant.filter(|grant| grant.holder == own) {
            let due = renewed + term / 3;
            let action = LeaseAction::Renew { fencing: grant.fencing };
            return if now < due {
                LeaseStep::Wait(due)
            } else {
                LeaseStep::Append { after, action }
            };
        }
        let start = self.free_from + self.start_delay(own, spread);
        if now < start {
            return LeaseStep::Wait(start);
        }
        LeaseStep::Append { after, action: LeaseAction::Take }
    }
}

impl LeaseState {
    /// This candidate's pseudo-random delay, different for each newest record.
    fn start_delay(&self, own: Incarnation, spread: Duration) -> Duration {
        let seed = self.newest.0 ^ own.0;
        let step = xxhash_rust::xxh3::xxh3_64(&seed.to_le_bytes()) % START_DELAY_STEPS;
        spread * u32::try_from(step).unwrap_or_default()
            / u32::try_from(START_DELAY_STEPS).unwrap_or(1)
    }
}

/// A token that no record of another era or at another offset gets, higher than those of earlier
/// ones.
const fn fencing_token(era: u64, offset: Offset) -> Fencing {
    Fencing(era.saturating_mul(1 << OFFSET_BITS).saturating_add(offset.0))
}

// Serde calls it with a reference.
#[expect(clippy::trivially_copy_pass_by_ref)]
const fn is_zero(era: &u64) -> bool {
    *era == 0
}

fn capped_term(span: Span) -> Duration {
    span.get().min(TERM_MAX)
}

/// The instant by which at least `span` of true time has passed, on a clock that may run fast.
fn after_elapsed(now: MonotonicInstant, span: Duration) -> MonotonicInstant {
    now + span * (100 + CLOCK_DRIFT_PERCENT) / 100
}

/// A holder's permission to act, by its own monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permission {
    /// The fencing token to send with every order.
    pub fencing: Fencing,
    /// From when orders may go to upstreams that ignore fencing tokens.
    pub unfenced_from: MonotonicInstant,
    /// Until when orders may be sent.
    pub until: MonotonicInstant,
}

/// Whether an order may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermissionCheck {
    /// It may be sent, with this fencing token.
    Granted(Fencing),
    /// Not before this instant: orders of a former holder may still be in flight.
    NotBefore(MonotonicInstant),
    /// No: the lease has expired, or may expire before the order ends.
    Expired,
}

impl Permission {
    /// The permission that a valid record grants; `sent` is the instant before the record was sent.
    pub fn new(
        fencing: Fencing,
        sent: MonotonicInstant,
        term: Duration,
        unfenced_from: MonotonicInstant,
    ) -> Self {
        let until = sent + term.min(TERM_MAX) * (100 - CLOCK_DRIFT_PERCENT) / 100;
        Self { fencing, unfenced_from, until }
    }

    /// Whether an order that takes at most `longest` may be sent at `now`.
    pub fn check(
        &self,
        now: MonotonicInstant,
        fencing_check: FencingCheck,
        longest: Duration,
    ) -> PermissionCheck {
        let ends = match fencing_check {
            FencingCheck::Checked => now,
            FencingCheck::Ignored => now + longest,
        };
        if ends >= self.until {
            return PermissionCheck::Expired;
        }
        match fencing_check {
            FencingCheck::Ignored if now < self.unfenced_from => {
                PermissionCheck::NotBefore(self.unfenced_from)
            }
            FencingCheck::Checked | FencingCheck::Ignored => PermissionCheck::Granted(self.fencing),
        }
    }
}

#[cfg(test)]
mod tests;
