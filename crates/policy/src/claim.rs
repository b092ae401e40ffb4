//! Claims on calls with an idempotency key, which must run at most once.
//!
//! A claim is a record of a claim stream. Of the claims on a key that have not been released, the
//! one with the lowest offset wins, whoever wrote it. Only its claimant may send the call.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use spindle_types::{IdempotencyKey, Incarnation, Offset, Team, UtcInstant};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Identifies a logical call: an idempotency key within a team.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CallKey {
    /// The team that made the call.
    pub team: Team,
    /// The idempotency key that the caller chose.
    pub key: IdempotencyKey,
}

impl CallKey {
    /// The partition, from 0 to `count - 1`, whose stream holds the claims on this call.
    pub fn partition(&self, count: u32) -> u32 {
        let team = xxhash_rust::xxh3::xxh3_64(self.team.as_str().as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(self.key.as_str().as_bytes(), team);
        u32::try_from(hash % u64::from(count.max(1))).unwrap_or_default()
    }
}

/// Identifies one request's attempt to claim a call.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Claimant {
    /// The daemon that handles the request.
    pub incarnation: Incarnation,
    /// Distinguishes the claims of one daemon.
    pub nonce: u64,
}

/// The stored answer of a call, returned to repeated requests with the same key.
#[serde_as]
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// The state of a claimed call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claimed {
    /// The claimant that may send the call.
    pub claimant: Claimant,
    /// The digest of the request, to detect a different request with the same key.
    pub digest: u64,
    /// When the log service stored the claim.
    pub at: UtcInstant,
    /// The offset of the record with the answer, once there is one.
    pub answer: Option<Offset>,
}

/// A record of a claim stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum ClaimRecord {
    /// Claims the right to send a call.
    Claim {
        /// The call.
        call: CallKey,
        /// Who claims it.
        claimant: Claimant,
        /// The digest of the request.
        digest: u64,
    },
    /// Gives up a claim for good: the claimant has not sent the call and never will.
    Release {
        /// The call.
        call: CallKey,
        /// Who gives it up.
        claimant: Claimant,
    },
    /// The call ran and was answered.
    Answer {
        /// The call.
        call: CallKey,
        /// Who sent it.
        claimant: Claimant,
        /// The answer.
        answer: RecordedAnswer,
    },
    /// Writes the state of a call again before the records that it results from expire.
    Carry {
        /// The call.
        call: CallKey,
        /// Its state.
        claimed: Claimed,
    },
}

/// The result of one read of a claim stream.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The oldest offset that the stream still keeps.
    pub oldest: Offset,
    /// The offset that the next append will get.
    pub end: Offset,
    /// The records with offset and time of storage; `None` for a record that can't be decoded.
    pub records: Vec<(Offset, UtcInstant, Option<ClaimRecord>)>,
}

/// Whether a page continues where the previous one ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Continuity {
    /// No record is missing in between.
    Whole,
    /// Records expired before they were read; the table starts again from the oldest kept record.
    Gap,
}

#[derive(Clone, Copy, Debug)]
struct Tracked {
    claimed: Claimed,
    /// When the newest record that preserves this state was stored.
    written_at: UtcInstant,
}

/// The claims of one stream.
///
/// A table that starts, or that missed records, is current once it has read everything up to the
/// end that the stream had at that moment. Claims are written again before they expire, so
/// every claim that still counts is found there.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    window: Duration,
    claimed: HashMap<CallKey, Tracked>,
    by_age: BTreeSet<(UtcInstant, CallKey)>,
    by_written_at: BTreeSet<(UtcInstant, CallKey)>,
    released: HashMap<Claimant, UtcInstant>,
    by_release: BTreeSet<(UtcInstant, Claimant)>,
    next: Offset,
    /// The end of the stream when reading started, up to which the table must read to be current.
    target: Option<Offset>,
    /// The time of the newest record.
    now: UtcInstant,
}

impl ClaimTable {
    /// An empty table that forgets claims older than `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            claimed: HashMap::new(),
            by_age: BTreeSet::new(),
            by_written_at: BTreeSet::new(),
            released: HashMap::new(),
            by_release: BTreeSet::new(),
            next: Offset(1),
            target: None,
            now: UtcInstant::default(),
        }
    }

    /// The offset to read next.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Whether every claim that still counts, and was made before reading last started, is known.
    pub fn is_current(&self) -> bool {
        self.target.is_some_and(|target| self.next >= target)
    }

    /// The state of a call, if it is claimed.
    pub fn get(&self, call: &CallKey) -> Option<Claimed> {
        self.claimed.get(call).map(|tracked| tracked.claimed)
    }

    /// The number of claimed calls.
    pub fn len(&self) -> usize {
        self.claimed.len()
    }

    /// Whether no call is claimed.
    pub fn is_empty(&self) -> bool {
        self.claimed.is_empty()
    }

    /// Applies a page of the stream.
    pub fn on_page(&mut self, page: Page) -> Continuity {
        let started = self.target.is_some();
        let mut continuity = Continuity::Whole;
        if page.oldest > self.next {
            *self = Self { next: page.oldest, now: self.now, ..Self::new(self.window) };
            continuity = if started { Continuity::Gap } else { Continuity::Whole };
        }
        let target = *self.target.get_or_insert(page.end);
        debug_assert!(
            target <= page.end.max(target),
            "the target lies beyond the end of the stream"
        );
        for (offset, at, record) in page.records {
            if offset != self.next {
                continue;
            }
            self.next = offset.next();
            self.now = self.now.max(at);
            self.expire();
            if let Some(record) = record {
                self.on_record(offset, at, record);
            }
        }
        continuity
    }

    /// The records that write up to `max` claims again that were last written at least `age` ago.
    /// Records also expire in a stream without new records, so the present time `utc` counts if it
    /// is later than that of the newest record.
    pub fn due_rewrites(&self, utc: UtcInstant, age: Duration, max: usize) -> Vec<ClaimRecord> {
        let now = self.now.max(utc);
        let due = self.by_written_at.iter().take_while(|(at, _)| now.since(*at) >= age);
        due.take(max)
            .filter_map(|(_, call)| {
                Some(ClaimRecord::Carry { call: call.clone(), claimed: self.get(call)? })
            })
            .collect()
    }

    fn on_record(&mut self, offset: Offset, at: UtcInstant, record: ClaimRecord) {
        match record {
            ClaimRecord::Claim { call, claimant, digest } => {
                if self.claimed.contains_key(&call) || self.released.contains_key(&claimant) {
                    return;
                }
                self.insert(call, Claimed { claimant, digest, at, answer: None }, at);
            }
            ClaimRecord::Release { call, claimant } => self.on_release(&call, claimant, at),
            ClaimRecord::Answer { call, claimant, .. } => {
                if let Some(tracked) = self.claimed.get_mut(&call)
                    && tracked.claimed.claimant == claimant
                {
                    tracked.claimed.answer.get_or_insert(offset);
                }
            }
            ClaimRecord::Carry { call, claimed } => self.on_carry(call, claimed, at),
        }
    }

    fn on_release(&mut self, call: &CallKey, claimant: Claimant, at: UtcInstant) {
        if self.released.insert(claimant, at).is_none() {
            self.by_release.insert((at, claimant));
        }
        let open = |claimed: Claimed| claimed.claimant == claimant && claimed.answer.is_none();
        if self.get(call).is_some_and(open) {
            self.remove(call);
        }
    }

    fn on_carry(&mut self, call: CallKey, claimed: Claimed, at: UtcInstant) {
        if self.now.since(claimed.at) > self.window {
            return;
        }
        let Some(known) = self.get(&call) else {
            if !self.released.contains_key(&claimed.claimant) {
                self.insert(call, claimed, at);
            }
            return;
        };
        self.remove(&call);
        self.insert(call, known, at);
    }

    fn insert(&mut self, call: CallKey, claimed: Claimed, written_at: UtcInstant) {
        self.by_age.insert((claimed.at, call.clone()));
        self.by_written_at.insert((written_at, call.clone()));
        self.claimed.insert(call, Tracked { claimed, written_at });
    }

    fn remove(&mut self, call: &CallKey) {
        if let Some(tracked) = self.claimed.remove(call) {
            self.by_age.remove(&(tracked.claimed.at, call.clone()));
            self.by_written_at.remove(&(tracked.written_at, call.clone()));
        }
    }

    fn expire(&mut self) {
        while let Some((at, call)) = self.by_age.first().cloned() {
            if self.now.since(at) <= self.window {
                break;
            }
            self.remove(&call);
        }
        while let Some((at, claimant)) = self.by_release.first().copied() {
            if self.now.since(at) <= self.window {
                break;
            }
            self.by_release.pop_first();
            self.released.remove(&claimant);
        }
    }
}

/// The length of a UUID in text form, in bytes.
const UUID_LENGTH: usize = 36;

/// When a key was generated, if it is a version 7 UUID, which starts with the time in milliseconds.
pub fn key_time(key: &IdempotencyKey) -> Option<UtcInstant> {
    let text = key.as_str();
    if text.len() != UUID_LENGTH || text.as_bytes()[14] != b'7' {
        return None;
    }
    let hyphens = [8, 13, 18, 23];
    let valid = |(index, byte): (usize, u8)| match hyphens.contains(&index) {
        true => byte == b'-',
        false => byte.is_ascii_hexdigit(),
    };
    if !text.bytes().enumerate().all(valid) {
        return None;
    }
    let millis = u64::from_str_radix(&format!("{}{}", &text[..8], &text[9..13]), 16);
    millis.ok().map(UtcInstant)
}

#[cfg(test)]
mod tests;
