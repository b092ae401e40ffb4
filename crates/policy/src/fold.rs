//! The fold of the operators' stream into the configuration.
//!
//! A change takes effect if its base is the newest revision when it is read; so every reader of
//! the same records reaches the same state. The revision never goes down.

use spindle_types::{ConfigRecord, Configuration, Offset, Revision};
use std::sync::Arc;

/// What a record did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Folded {
    /// The change took effect.
    Applied {
        /// The new revision.
        revision: Revision,
    },
    /// The change was based on an older revision and has no effect.
    Conflict {
        /// The revision that won.
        winner: Revision,
    },
    /// A checkpoint brought a newer state.
    Restored {
        /// The new revision.
        revision: Revision,
    },
    /// The record brings nothing new.
    Ignored,
}

/// The fold's state.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    state: Arc<Configuration>,
    next: Offset,
}

impl Fold {
    /// A fold that has read nothing.
    pub fn new() -> Self {
        Self { state: Arc::default(), next: Offset(1) }
    }

    /// The configuration.
    pub const fn state(&self) -> &Arc<Configuration> {
        &self.state
    }

    /// The offset to read next.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Reads the record at an offset; one that has been read before has no effect.
    pub fn on_record(&mut self, offset: Offset, record: ConfigRecord) -> Folded {
        if offset < self.next {
            return Folded::Ignored;
        }
        self.next = offset.next();
        match record {
            ConfigRecord::Change { base, .. } if base != self.state.revision => {
                Folded::Conflict { winner: self.state.revision }
            }
            ConfigRecord::Change { change, .. } => {
                let revision = Revision(offset.0);
                Arc::make_mut(&mut self.state).apply(revision, *change);
                Folded::Applied { revision }
            }
            ConfigRecord::Checkpoint { state } => self.on_state(Arc::new(*state)),
        }
    }

    /// Passes over a record that can't be decoded; every reader passes over it alike.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset.next());
    }

    /// Takes over a state that another reader has folded, if it is newer.
    pub fn on_state(&mut self, state: Arc<Configuration>) -> Folded {
        if state.revision <= self.state.revision {
            return Folded::Ignored;
        }
        let revision = state.revision;
        self.next = self.next.max(Offset(revision.0).next());
        self.state = state;
        Folded::Restored { revision }
    }
}

#[cfg(test)]
mod tests;
