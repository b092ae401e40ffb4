//! Whether the store has been restored from an older copy.
//!
//! After a restore, records that were acknowledged may be gone, and their offsets are given out
//! again. A reader that went on from its last offset would take the new records for the
//! continuation of the old ones. The store counts its restores and states the number, the era, in
//! its answers.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// The era that one reader of the store knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEra(Option<u64>);

/// A position in a feed of the store, which other readers may take over in the same era.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FeedMark {
    /// The era in which it was read; none if the store states none.
    pub era: Option<u64>,
    /// The offset from which to read on.
    pub next: u64,
}

/// What the era of an answer means for what was read before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// The answer continues what was read before.
    Unchanged,
    /// The store was restored since. Nothing that was read before tells what it holds now.
    Restored {
        /// The era known before.
        was: u64,
    },
    /// The answer was given before the last restore and arrived late.
    Outdated,
}

impl StoreEra {
    /// Compares the era of an answer with the known one, and keeps the higher of them. An answer
    /// without an era, or the first one with an era, is no restore.
    pub fn on_answer(&mut self, era: Option<u64>) -> EraChange {
        let Some(era) = era else { return EraChange::Unchanged };
        let was = *self.0.get_or_insert(era);
        match era.cmp(&was) {
            Ordering::Less => EraChange::Outdated,
            Ordering::Equal => EraChange::Unchanged,
            Ordering::Greater => {
                self.0 = Some(era);
                EraChange::Restored { was }
            }
        }
    }

    /// The highest era seen; none if the store states none.
    pub const fn known(&self) -> Option<u64> {
        self.0
    }
}

#[cfg(test)]
mod tests;
