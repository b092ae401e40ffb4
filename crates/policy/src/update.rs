//! What one reader of the configuration sends to another one: the changes that the other one
//! lacks, or the whole state where these are no longer known.

use serde::{Deserialize, Serialize};
use spindle_types::{Change, Configuration, Offset, Revision};
use std::collections::VecDeque;
use std::sync::Arc;

/// The most changes that are kept for others.
const HISTORY_MAX: usize = 128;

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Effective {
    /// The revision on which it was based.
    pub base: Revision,
    /// The revision that it made.
    pub revision: Revision,
    /// The change.
    pub change: Arc<Change>,
}

/// What brings a reader forward.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "update", rename_all = "snake_case")]
pub enum Update {
    /// The changes that it lacks, in order.
    Changes {
        /// The newest offset whose effect the changes include.
        covers: Offset,
        /// The changes.
        changes: Vec<Effective>,
    },
    /// The whole state.
    State {
        /// The newest offset whose effect the state includes.
        covers: Offset,
        /// The state.
        state: Arc<Configuration>,
    },
}

/// The newest changes, each based on the one before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct History(VecDeque<Effective>);

impl History {
    pub(crate) fn push(&mut self, change: Effective) {
        if self.0.back().is_some_and(|last| last.revision != change.base) {
            self.0.clear();
        }
        self.0.push_back(change);
        if self.0.len() > HISTORY_MAX {
            self.0.pop_front();
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The changes from one revision to the newest one, if all of them are known.
    pub(crate) fn since(&self, revision: Revision, newest: Revision) -> Option<Vec<Effective>> {
        if revision == newest {
            return Some(Vec::new());
        }
        let first = self.0.iter().position(|change| change.base == revision)?;
        Some(self.0.iter().skip(first).cloned().collect())
    }
}
