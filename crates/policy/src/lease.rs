//! The lease of the single actor, kept as records of a stream of the log service.
//!
//! A record names the newest record that its appender had read, and counts only if it stands
//! directly behind that one. So a reader decides about each record by that record alone, whatever
//! has expired before it, and a record that was appended twice counts once. The offset of the
//! record that took the lease is the fencing number; renewals keep it.
//!
//! No clock is compared with another one. A holder may act for the term of its newest record from
//! the instant before it sent it; a candidate takes the lease only after it has known the newest
//! record for that term without seeing another one. What holds, while clocks run at rates within
//! [`CLOCK_DRIFT_PERCENT`] of true time, whatever they show:
//!
//! - No two daemons have a valid [`Permission`] at the same time.
//! - A holder can be paused between its check and the arrival of its order. An upstream that checks
//!   fencing numbers refuses such an order once it has seen a higher number. Towards one that does
//!   not, a new holder waits until the orders of the former one have timed out; an order that
//!   arrives still later is repaired rather than prevented: orders state the desired state, and the
//!   new holder compares the actual state with it again.

use serde::{Deserialize, Serialize};
use spindle_types::config::FencingCheck;
use spindle_types::{Fencing, Incarnation, MonotonicInstant, Offset, Span};
use std::time::Duration;

/// The most by which the rate of a clock may differ from that of true time, in percent.
pub const CLOCK_DRIFT_PERCENT: u32 = 1;

/// The longest term.
pub const TERM_MAX: Duration = Duration::from_secs(60);

/// The number of turns that candidates take.
const TURNS: u64 = 64;

/// A record of the lease's stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The daemon that takes, keeps or gives back the lease.
    pub holder: Incarnation,
    /// The newest record that the appender had read.
    pub after: Offset,
    /// How long the holder may act.
    pub term: Span,
    /// What the record does.
    pub action: LeaseAction,
    /// A number drawn by the appender, by which it recognises its own record.
    pub nonce: u64,
}

/// What a record of the lease's stream does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAction {
    /// Takes the lease; the record's offset becomes the fencing number.
    Take,
    /// Keeps the lease.
    Renew {
        /// The fencing number under which the lease is held.
        fencing: Fencing,
    },
    /// Gives the lease back.
    Release,
}

/// The lease as its readers know it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The daemon that holds it.
    pub holder: Incarnation,
    /// The fencing number.
    pub fencing: Fencing,
    /// The nonce of the newest record that counts.
    pub nonce: u64,
}

/// What a record did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Granted {
    /// The lease has a new holder.
    Taken(Grant),
    /// The holder keeps the lease.
    Renewed(Grant),
    /// The holder gave the lease back.
    Released,
    /// The record does not count, or has been read before.
    Ignored,
}

/// What a daemon does next about the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Appends a record.
    Append {
        /// The newest record read.
        after: Offset,
        /// What the record does.
        action: LeaseAction,
    },
    /// Reads on; nothing is to be done before this instant.
    Wait(MonotonicInstant),
}

/// The fold of the lease's stream at one daemon.
#[derive(Clone, Copy, Debug)]
pub struct LeaseFold {
    newest: Offset,
    grant: Option<Grant>,
    free: MonotonicInstant,
    longest: Duration,
}

impl LeaseFold {
    /// A fold that has read nothing.
    pub fn new(now: MonotonicInstant) -> Self {
        Self::bounded(now, TERM_MAX)
    }

    /// A fold that has read nothing, of a stream in which no term is longer than `longest`.
    pub fn bounded(now: MonotonicInstant, longest: Duration) -> Self {
        Self { newest: Offset(0), grant: None, free: stretched(now, longest), longest }
    }

    /// The offset to read next.
    pub const fn next(&self) -> Offset {
        self.newest.next()
    }

    /// The newest grant, which may have lapsed; none if it is free or not known.
    pub const fn grant(&self) -> Option<Grant> {
        self.grant
    }

    /// Notes the bounds of the stream. In a stream without any record the lease is free; records
    /// that have expired unread may have granted it.
    pub fn on_bounds(&mut self, now: MonotonicInstant, oldest: Offset, end: Offset) {
        if end == Offset(1) && self.newest == Offset(0) {
            self.free = self.free.min(now);
        }
        if oldest > self.next() {
            self.newest = Offset(oldest.0 - 1);
            self.grant = None;
            self.free = stretched(now, self.longest);
        }
    }

    /// Reads the record at an offset.
    pub fn on_record(
        &mut self,
        now: MonotonicInstant,
        offset: Offset,
        record: LeaseRecord,
    ) -> Granted {
        if offset <= self.newest {
            return Granted::Ignored;
        }
        self.newest = offset;
        if record.after.next() != offset {
            return Granted::Ignored;
        }
        self.free = stretched(now, term(record.term));
        let grant = |fencing| Grant { holder: record.holder, fencing, nonce: record.nonce };
        match record.action {
            LeaseAction::Take => {
                let grant = grant(Fencing(offset.0));
                self.grant = Some(grant);
                Granted::Taken(grant)
            }
            LeaseAction::Renew { fencing } => {
                let grant = grant(fencing);
                self.grant = Some(grant);
                Granted::Renewed(grant)
            }
            LeaseAction::Release => {
                self.grant = None;
                self.free = now;
                Granted::Released
            }
        }
    }

    /// Passes over a record that can't be decoded; it counts for nobody.
    pub fn skip(&mut self, offset: Offset) {
        self.newest = self.newest.max(offset);
    }

    /// What a daemon that wants the lease does next. `renewed` is when it began its newest record;
    /// candidates take turns within `spread`, so that not all of them append at once.
    pub fn step(
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
        let turn = self.free + self.turn(own, spread);
        if now < turn {
            return LeaseStep::Wait(turn);
        }
        LeaseStep::Append { after, action: LeaseAction::Take }
    }
}

impl LeaseFold {
    fn turn(&self, own: Incarnation, spread: Duration) -> Duration {
        let seed = self.newest.0 ^ own.0;
        let turn = xxhash_rust::xxh3::xxh3_64(&seed.to_le_bytes()) % TURNS;
        spread * u32::try_from(turn).unwrap_or_default() / u32::try_from(TURNS).unwrap_or(1)
    }
}

fn term(span: Span) -> Duration {
    span.get().min(TERM_MAX)
}

/// The instant by which `span` of true time has passed, by a clock that may run fast.
fn stretched(now: MonotonicInstant, span: Duration) -> MonotonicInstant {
    now + span * (100 + CLOCK_DRIFT_PERCENT) / 100
}

/// A holder's own permission to act, by its own monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permission {
    /// The fencing number to send with every order.
    pub fencing: Fencing,
    /// From when orders may go to upstreams that ignore fencing numbers.
    pub waited: MonotonicInstant,
    /// Until when orders may be started.
    pub until: MonotonicInstant,
}

/// Whether an order may be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permitted {
    /// It may, with this fencing number.
    Now(Fencing),
    /// Orders of a former holder may still be under way.
    From(MonotonicInstant),
    /// The lease may lapse before the order ends.
    Lapsed,
}

impl Permission {
    /// The permission from a record that counts; `sent` is the instant before it was sent.
    pub fn new(
        fencing: Fencing,
        sent: MonotonicInstant,
        term: Duration,
        waited: MonotonicInstant,
    ) -> Self {
        let until = sent + term.min(TERM_MAX) * (100 - CLOCK_DRIFT_PERCENT) / 100;
        Self { fencing, waited, until }
    }

    /// Whether an order that takes at most `longest` may be started at `now`.
    pub fn check(&self, now: MonotonicInstant, kind: FencingCheck, longest: Duration) -> Permitted {
        let ends = match kind {
            FencingCheck::Checked => now,
            FencingCheck::Ignored => now + longest,
        };
        if ends >= self.until {
            return Permitted::Lapsed;
        }
        match kind {
            FencingCheck::Ignored if now < self.waited => Permitted::From(self.waited),
            FencingCheck::Checked | FencingCheck::Ignored => Permitted::Now(self.fencing),
        }
    }
}

#[cfg(test)]
mod tests;
