//! Updates between readers of the configuration: the changes that the receiver lacks, or the whole
//! state if those are no longer known.

use serde::{Deserialize, Serialize};
use spindle_types::{Change, Configuration, Offset, Revision};
use std::collections::VecDeque;
use std::sync::Arc;

/// The maximum number of changes that are kept for other readers.
const HISTORY_MAX: usize = 128;

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// The revision that it changed.
    pub base: Revision,
    /// The revision that it resulted in.
    pub revision: Revision,
    /// The change.
    pub change: Arc<Change>,
}

/// Brings a reader at an older revision to a newer one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "update", rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The changes that the receiver lacks, in order.
    Changes {
        /// The newest offset whose effect the changes include.
        covers: Offset,
        /// The changes, each based on the one before it.
        changes: Vec<AppliedChange>,
    },
    /// The whole configuration.
    State {
        /// The newest offset whose effect the configuration includes.
        covers: Offset,
        /// The configuration.
        state: Arc<Configuration>,
    },
}

/// The most recent changes, each based on the one before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct History(VecDeque<AppliedChange>);

impl History {
    pub(crate) fn push(&mut self, change: AppliedChange) {
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

    /// The changes from `revision` to the newest one, if all of them are known.
    pub(crate) fn since(&self, revision: Revision, newest: Revision) -> Option<Vec<AppliedChange>> {
        if revision == newest {
            return Some(Vec::new());
        }
        let first = self.0.iter().position(|change| change.base == revision)?;
        Some(self.0.iter().skip(first).cloned().collect())
    }
}
