//! The configuration as a deterministic state machine over the operators' stream.
//!
//! A change takes effect if it is based on the newest revision at the moment it is read, and if it
//! is valid. Every reader of the same records therefore reaches the same state. The revision never
//! goes down.
//!
//! Records expire. A reader that misses some can't tell which of the later changes took effect. It
//! keeps its state, buffers the later changes, and catches up from the first state that covers the
//! whole gap: a checkpoint in the stream, or the state of another reader.

use crate::config_update::{AppliedChange, ConfigUpdate, History};
use crate::validation::check_change;
use spindle_types::{Change, ConfigRecord, Configuration, Offset, Problems, Revision};
use std::collections::VecDeque;
use std::sync::Arc;
use strum::{Display, IntoStaticStr};

/// The maximum number of changes that a reader buffers while it waits for a state that covers a
/// gap. Beyond it the oldest are dropped, which widens the gap.
const BUFFERED_CHANGES_MAX: usize = 65_536;

/// The effect of a record or of a received state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The change took effect.
    Applied {
        /// The new revision.
        revision: Revision,
    },
    /// The change was based on another revision and has no effect.
    Conflict {
        /// The revision in force, on which the change should have been based.
        winner: Revision,
    },
    /// The change is not valid and has no effect.
    Rejected {
        /// What is wrong with it.
        problems: Problems,
    },
    /// A checkpoint or the state of another reader brought a higher revision.
    Restored {
        /// The new revision.
        revision: Revision,
    },
    /// Earlier records are missing; the change is buffered until a state that covers them arrives.
    Deferred,
    /// Nothing new: already read, already covered, or unusable here.
    Ignored,
}

/// Whether a reader's state includes the effect of every record up to its position.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum SyncStatus {
    /// The state includes all of them.
    Current,
    /// Records are missing; a newer revision may be in force elsewhere.
    Behind,
}

/// A change that waits for the records before it.
#[derive(Clone, Debug)]
struct BufferedChange {
    offset: Offset,
    base: Revision,
    change: Box<Change>,
}

/// The changes read after a gap. No record is missing from offset `first` on.
#[derive(Clone, Debug)]
struct ChangeBuffer {
    first: Offset,
    changes: VecDeque<BufferedChange>,
}

impl ChangeBuffer {
    fn new(first: Offset) -> Self {
        Self { first, changes: VecDeque::new() }
    }

    fn push(&mut self, change: BufferedChange) {
        self.changes.push_back(change);
        if self.changes.len() > BUFFERED_CHANGES_MAX
            && let Some(dropped) = self.changes.pop_front()
        {
            self.first = dropped.offset.next();
        }
    }
}

/// The configuration as one reader knows it, and the reader's position in the stream.
#[derive(Clone, Debug)]
pub struct ConfigState {
    state: Arc<Configuration>,
    covers: Offset,
    next: Offset,
    /// Set while records are missing.
    buffer: Option<ChangeBuffer>,
    history: History,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigState {
    /// The empty configuration, before the first record.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            covers: Offset(0),
            next: Offset(1),
            buffer: None,
            history: History::default(),
        }
    }

    /// The configuration in force at this reader.
    pub const fn configuration(&self) -> &Arc<Configuration> {
        &self.state
    }

    /// The newest offset whose effect the configuration includes; 0 before the first.
    pub const fn covers(&self) -> Offset {
        self.covers
    }

    /// The offset of the record to read next.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Whether records before the reader's position are missing.
    pub const fn sync_status(&self) -> SyncStatus {
        match self.buffer {
            None => SyncStatus::Current,
            Some(_) => SyncStatus::Behind,
        }
    }

    /// Applies the record at `offset`; one that has been read before has no effect.
    pub fn on_record(&mut self, offset: Offset, record: ConfigRecord) -> ApplyOutcome {
        if offset < self.next {
            return ApplyOutcome::Ignored;
        }
        self.on_oldest(offset);
        self.advance(offset);
        match record {
            ConfigRecord::Change { base, change, .. } => {
                self.on_change(BufferedChange { offset, base, change })
            }
            ConfigRecord::Checkpoint { covers, state } if covers < offset => {
                self.on_state(covers, Arc::new(*state))
            }
            ConfigRecord::Checkpoint { .. } => ApplyOutcome::Ignored,
        }
    }

    /// Skips a record that can't be decoded. Every reader skips it, so all stay consistent.
    pub fn skip(&mut self, offset: Offset) {
        if offset >= self.next {
            self.on_oldest(offset);
            self.advance(offset);
        }
    }

    /// Moves the position forward to the oldest offset that can still be read. Unread records
    /// before it are missing.
    pub fn on_oldest(&mut self, oldest: Offset) {
        if oldest <= self.next {
            return;
        }
        self.next = oldest;
        self.buffer = Some(ChangeBuffer::new(oldest));
    }

    /// Adopts a state that includes the effect of every record up to `covers`, if it is newer than
    /// this reader's and leaves no gap before the buffered changes, which are applied on top of it.
    pub fn on_state(&mut self, covers: Offset, state: Arc<Configuration>) -> ApplyOutcome {
        let reachable = self.buffer.as_ref().is_none_or(|buffer| covers.next() >= buffer.first);
        let consistent = state.revision >= self.state.revision && state.revision.0 <= covers.0;
        if covers <= self.covers || !reachable || !consistent {
            return ApplyOutcome::Ignored;
        }
        let before = self.state.revision;
        if state.revision > before {
            self.history = History::default();
        }
        self.state = state;
        self.covers = covers;
        self.next = self.next.max(covers.next());
        let buffer = self.buffer.take();
        for change in buffer.into_iter().flat_map(|buffer| buffer.changes) {
            if change.offset > covers {
                self.apply(change);
            }
        }
        self.covers = Offset(self.next.0 - 1);
        let revision = self.state.revision;
        if revision > before { ApplyOutcome::Restored { revision } } else { ApplyOutcome::Ignored }
    }

    /// The update that brings a reader at `revision` to the state of this one.
    pub fn update_since(&self, revision: Revision) -> ConfigUpdate {
        match self.history.since(revision, self.state.revision) {
            Some(changes) => ConfigUpdate::Changes { covers: self.covers, changes },
            None => ConfigUpdate::State { covers: self.covers, state: Arc::clone(&self.state) },
        }
    }

    /// Adopts what another reader sent, if it is newer than this reader's state and consistent.
    pub fn on_update(&mut self, update: ConfigUpdate) -> ApplyOutcome {
        let (covers, changes) = match update {
            ConfigUpdate::State { covers, state } => return self.on_state(covers, state),
            ConfigUpdate::Changes { covers, changes } => (covers, changes),
        };
        let mut state = Arc::clone(&self.state);
        for AppliedChange { base, revision, change } in &changes {
            let newer = *revision > state.revision && revision.0 <= covers.0;
            if *base != state.revision || !newer || check_change(&state, change).is_err() {
                return ApplyOutcome::Ignored;
            }
            Arc::make_mut(&mut state).apply(*revision, Change::clone(change));
        }
        let history = self.history.clone();
        let outcome = self.on_state(covers, state);
        if let ApplyOutcome::Restored { .. } = outcome
            && self.history.is_empty()
        {
            self.history = history;
            changes.into_iter().for_each(|change| self.history.push(change));
        }
        outcome
    }

    /// Moves the position behind a record that has been handled.
    fn advance(&mut self, offset: Offset) {
        self.next = offset.next();
        if self.buffer.is_none() {
            self.covers = offset;
        }
    }

    fn on_change(&mut self, change: BufferedChange) -> ApplyOutcome {
        match &mut self.buffer {
            Some(buffer) => {
                buffer.push(change);
                ApplyOutcome::Deferred
            }
            None => self.apply(change),
        }
    }

    fn apply(&mut self, BufferedChange { offset, base, change }: BufferedChange) -> ApplyOutcome {
        if base != self.state.revision {
            return ApplyOutcome::Conflict { winner: self.state.revision };
        }
        if let Err(problems) = check_change(&self.state, &change) {
            return ApplyOutcome::Rejected { problems };
        }
        let revision = Revision(offset.0);
        let change = Arc::new(*change);
        Arc::make_mut(&mut self.state).apply(revision, Change::clone(&change));
        self.history.push(AppliedChange { base, revision, change });
        ApplyOutcome::Applied { revision }
    }
}

#[cfg(test)]
mod tests;
