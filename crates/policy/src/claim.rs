//! Claims on calls that must run at most once.
//!
//! A claim is a record of the claim stream. The lowest offset for a key wins, whoever wrote it, and
//! only the winner may send the call.

use serde::{Deserialize, Serialize};
use spindle_types::{IdempotencyKey, Incarnation, Offset, Team};
use std::collections::HashMap;
use std::collections::hash_map::Entry;

/// A claim as it stands in the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The team that made the call.
    pub team: Team,
    /// The call's key.
    pub key: IdempotencyKey,
    /// The daemon that claims it.
    pub incarnation: Incarnation,
    /// Tells apart claims of one daemon on one key.
    pub nonce: u64,
}

/// Who may send a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Winner {
    /// The claim's offset.
    pub offset: Offset,
    /// The daemon that claimed it first.
    pub incarnation: Incarnation,
    /// Tells apart claims of one daemon on one key.
    pub nonce: u64,
}

/// The claims read so far.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    winners: HashMap<(Team, IdempotencyKey), Winner>,
    next: Offset,
}

impl ClaimTable {
    /// A table that has read nothing.
    pub fn new() -> Self {
        Self { winners: HashMap::new(), next: Offset(1) }
    }

    /// The offset to read next.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Reads the claim at an offset and returns the winner for its key.
    pub fn on_claim(&mut self, offset: Offset, claim: Claim) -> Winner {
        self.next = self.next.max(offset.next());
        let winner = Winner { offset, incarnation: claim.incarnation, nonce: claim.nonce };
        match self.winners.entry((claim.team, claim.key)) {
            Entry::Occupied(entry) => *entry.get(),
            Entry::Vacant(entry) => *entry.insert(winner),
        }
    }

    /// The winner for a key, if one has been read.
    pub fn winner(&self, team: &Team, key: &IdempotencyKey) -> Option<Winner> {
        self.winners.get(&(team.clone(), key.clone())).copied()
    }
}

#[cfg(test)]
mod tests;
