//! Claims on calls that must run at most once.
//!
//! A claim is a record of a claim stream. Of the claims on a key that have not been released, the
//! one with the lowest offset wins, whoever wrote it, and only its claimant may send the call.

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use spindle_types::{IdempotencyKey, Incarnation, Offset, Team, UtcInstant};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// One logical call: a team's key.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CallKey {
    /// The team that made the call.
    pub team: Team,
    /// The call's key.
    pub key: IdempotencyKey,
}

impl CallKey {
    /// The partition, below `count`, whose stream holds the claims on this call.
    pub fn partition(&self, count: u32) -> u32 {
        let team = xxhash_rust::xxh3::xxh3_64(self.team.as_str().as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(self.key.as_str().as_bytes(), team);
        u32::try_from(hash % u64::from(count.max(1))).unwrap_or_default()
    }
}

/// One request's attempt to obtain the right to send a call.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Claimant {
    /// The daemon that claims.
    pub incarnation: Incarnation,
    /// Tells apart the claims of one daemon.
    pub nonce: u64,
}

/// The answer of a call as it is kept for repeats of its key.
#[serde_as]
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that concern the whole path.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// What is known of a call that has been claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claimed {
    /// Who may send the call.
    pub claimant: Claimant,
    /// The digest of the request, by which another request under the same key is recognised.
    pub digest: u64,
    /// When the log service took the claim.
    pub at: UtcInstant,
    /// The offset of the record that holds the answer, once there is one.
    pub answer: Option<Offset>,
}

/// A record of a claim stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum ClaimRecord {
    /// Asks for the right to send a call.
    Claim {
        /// The call.
        call: CallKey,
        /// Who asks.
        claimant: Claimant,
        /// The digest of the request.
        digest: u64,
    },
    /// Gives the right up for good: the claimant has not sent the call and never will.
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
    /// Repeats what is known of a call before the records that made it expire.
    Carry {
        /// The call.
        call: CallKey,
        /// What is known of it.
        claimed: Claimed,
    },
}

/// A part of a claim stream as it was read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The oldest offset that is still kept.
    pub oldest: Offset,
    /// The offset that the next append will get.
    pub end: Offset,
    /// The records; none stands for one that is not valid.
    pub records: Vec<(Offset, UtcInstant, Option<ClaimRecord>)>,
}

/// Whether a page continued what had been read before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Continuity {
    /// No record was missed.
    Whole,
    /// Records expired before they were read; everything is read anew.
    Gap,
}

#[derive(Clone, Copy, Debug)]
struct Tracked {
    claimed: Claimed,
    kept: UtcInstant,
}

/// The claims of one stream.
///
/// A table that starts, or that missed records, is current only when it has read everything up to
/// the end that it saw then: claims are carried forward, so all that still count are in there.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    window: Duration,
    claimed: HashMap<CallKey, Tracked>,
    by_age: BTreeSet<(UtcInstant, CallKey)>,
    by_kept: BTreeSet<(UtcInstant, CallKey)>,
    released: HashMap<Claimant, UtcInstant>,
    by_release: BTreeSet<(UtcInstant, Claimant)>,
    next: Offset,
    target: Option<Offset>,
    now: UtcInstant,
}

impl ClaimTable {
    /// A table that has read nothing and forgets claims older than `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            claimed: HashMap::new(),
            by_age: BTreeSet::new(),
            by_kept: BTreeSet::new(),
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

    /// Whether every claim that still counts, and was made before the last start, has been read.
    pub fn is_current(&self) -> bool {
        self.target.is_some_and(|target| self.next >= target)
    }

    /// What is known of a call.
    pub fn get(&self, call: &CallKey) -> Option<Claimed> {
        self.claimed.get(call).map(|tracked| tracked.claimed)
    }

    /// The number of calls known.
    pub fn len(&self) -> usize {
        self.claimed.len()
    }

    /// Whether no call is known.
    pub fn is_empty(&self) -> bool {
        self.claimed.is_empty()
    }

    /// Reads a page of the stream.
    pub fn on_page(&mut self, page: Page) -> Continuity {
        let started = self.target.is_some();
        let mut continuity = Continuity::Whole;
        if page.oldest > self.next {
            *self = Self { next: page.oldest, now: self.now, ..Self::new(self.window) };
            continuity = if started { Continuity::Gap } else { Continuity::Whole };
        }
        let target = *self.target.get_or_insert(page.end);
        debug_assert!(target <= page.end.max(target), "targets only move with the stream");
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

    /// Up to `max` calls that were last written more than `age` ago and must be carried forward.
    /// Records expire in a quiet stream too, so the present time counts beside that of the stream.
    pub fn carry(&self, utc: UtcInstant, age: Duration, max: usize) -> Vec<ClaimRecord> {
        let now = self.now.max(utc);
        let due = self.by_kept.iter().take_while(|(kept, _)| now.since(*kept) >= age);
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

    fn insert(&mut self, call: CallKey, claimed: Claimed, kept: UtcInstant) {
        self.by_age.insert((claimed.at, call.clone()));
        self.by_kept.insert((kept, call.clone()));
        self.claimed.insert(call, Tracked { claimed, kept });
    }

    fn remove(&mut self, call: &CallKey) {
        if let Some(tracked) = self.claimed.remove(call) {
            self.by_age.remove(&(tracked.claimed.at, call.clone()));
            self.by_kept.remove(&(tracked.kept, call.clone()));
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

/// When a key was made, if the key itself tells: a UUID of version 7 starts with the time.
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
