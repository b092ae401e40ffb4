//! The fold of the operators' stream into the configuration.
//!
//! A change takes effect if its base is the newest revision when it is read and it is valid; so
//! every reader of the same records reaches the same state. The revision never goes down.
//!
//! Records expire. A reader that finds some missing can't tell which of the later changes took
//! effect; it keeps its state, collects the later changes, and catches up from the first state
//! that covers everything missing: a checkpoint of the stream, or the state of another reader.

use crate::update::{Effective, History, Update};
use crate::validation::check_change;
use spindle_types::{Change, ConfigRecord, Configuration, Offset, Problems, Revision};
use std::collections::VecDeque;
use std::sync::Arc;
use strum::{Display, IntoStaticStr};

/// The most changes that a reader collects while it waits for a state that covers a gap.
const COLLECTED_MAX: usize = 65_536;

/// What a record did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Folded {
    /// The change took effect.
    Applied {
        /// The new revision.
        revision: Revision,
    },
    /// The change was based on another revision and has no effect.
    Conflict {
        /// The revision that won.
        winner: Revision,
    },
    /// The change is not valid and has no effect.
    Rejected {
        /// What is wrong with it.
        problems: Problems,
    },
    /// A state from elsewhere brought a higher revision.
    Restored {
        /// The new revision.
        revision: Revision,
    },
    /// Earlier records are missing; the change waits until a state that covers them is known.
    Collected,
    /// The record brings nothing new.
    Ignored,
}

/// Whether a reader has the effect of every record that it has passed.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// It has.
    Current,
    /// Records are missing; a newer state may exist.
    Behind,
}

#[derive(Clone, Debug)]
struct Collected {
    offset: Offset,
    base: Revision,
    change: Box<Change>,
}

/// Changes read beyond a gap, without one missing from `first` on.
#[derive(Clone, Debug)]
struct Tail {
    first: Offset,
    changes: VecDeque<Collected>,
}

impl Tail {
    fn new(first: Offset) -> Self {
        Self { first, changes: VecDeque::new() }
    }

    fn push(&mut self, collected: Collected) {
        self.changes.push_back(collected);
        if self.changes.len() > COLLECTED_MAX
            && let Some(dropped) = self.changes.pop_front()
        {
            self.first = dropped.offset.next();
        }
    }
}

/// The fold's state.
#[derive(Clone, Debug)]
pub struct Fold {
    state: Arc<Configuration>,
    covers: Offset,
    next: Offset,
    tail: Option<Tail>,
    history: History,
}

impl Default for Fold {
    fn default() -> Self {
        Self::new()
    }
}

impl Fold {
    /// A fold that has read nothing.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            covers: Offset(0),
            next: Offset(1),
            tail: None,
            history: History::default(),
        }
    }

    /// The configuration.
    pub const fn state(&self) -> &Arc<Configuration> {
        &self.state
    }

    /// The newest offset whose effect the configuration includes.
    pub const fn covers(&self) -> Offset {
        self.covers
    }

    /// The offset to read next.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Whether records are missing.
    pub const fn standing(&self) -> Standing {
        match self.tail {
            None => Standing::Current,
            Some(_) => Standing::Behind,
        }
    }

    /// Reads the record at an offset; one that has been read before has no effect.
    pub fn on_record(&mut self, offset: Offset, record: ConfigRecord) -> Folded {
        if offset < self.next {
            return Folded::Ignored;
        }
        self.on_oldest(offset);
        self.pass(offset);
        match record {
            ConfigRecord::Change { base, change, .. } => {
                self.on_change(Collected { offset, base, change })
            }
            ConfigRecord::Checkpoint { covers, state } if covers < offset => {
                self.on_state(covers, Arc::new(*state))
            }
            ConfigRecord::Checkpoint { .. } => Folded::Ignored,
        }
    }

    /// Passes over a record that can't be decoded; every reader passes over it alike.
    pub fn skip(&mut self, offset: Offset) {
        if offset >= self.next {
            self.on_oldest(offset);
            self.pass(offset);
        }
    }

    /// Notes the oldest offset that can still be read; records before it that have not been read
    /// are missing.
    pub fn on_oldest(&mut self, oldest: Offset) {
        if oldest <= self.next {
            return;
        }
        self.next = oldest;
        self.tail = Some(Tail::new(oldest));
    }

    /// Takes over a state that includes the effect of every record up to `covers`, if that brings
    /// this reader forward.
    pub fn on_state(&mut self, covers: Offset, state: Arc<Configuration>) -> Folded {
        let reachable = self.tail.as_ref().is_none_or(|tail| covers.next() >= tail.first);
        let consistent = state.revision >= self.state.revision && state.revision.0 <= covers.0;
        if covers <= self.covers || !reachable || !consistent {
            return Folded::Ignored;
        }
        let before = self.state.revision;
        if state.revision > before {
            self.history = History::default();
        }
        self.state = state;
        self.covers = covers;
        self.next = self.next.max(covers.next());
        let tail = self.tail.take();
        for collected in tail.into_iter().flat_map(|tail| tail.changes) {
            if collected.offset > covers {
                self.apply(collected);
            }
        }
        self.covers = Offset(self.next.0 - 1);
        let revision = self.state.revision;
        if revision > before { Folded::Restored { revision } } else { Folded::Ignored }
    }

    /// What brings a reader at a revision to the state of this one.
    pub fn update_since(&self, revision: Revision) -> Update {
        match self.history.since(revision, self.state.revision) {
            Some(changes) => Update::Changes { covers: self.covers, changes },
            None => Update::State { covers: self.covers, state: Arc::clone(&self.state) },
        }
    }

    /// Takes over what another reader sent, if that brings this one forward.
    pub fn on_update(&mut self, update: Update) -> Folded {
        let (covers, changes) = match update {
            Update::State { covers, state } => return self.on_state(covers, state),
            Update::Changes { covers, changes } => (covers, changes),
        };
        let mut state = Arc::clone(&self.state);
        for Effective { base, revision, change } in &changes {
            let newer = *revision > state.revision && revision.0 <= covers.0;
            if *base != state.revision || !newer || check_change(&state, change).is_err() {
                return Folded::Ignored;
            }
            Arc::make_mut(&mut state).apply(*revision, Change::clone(change));
        }
        let history = self.history.clone();
        let folded = self.on_state(covers, state);
        if let Folded::Restored { .. } = folded
            && self.history.is_empty()
        {
            self.history = history;
            changes.into_iter().for_each(|change| self.history.push(change));
        }
        folded
    }

    fn pass(&mut self, offset: Offset) {
        self.next = offset.next();
        if self.tail.is_none() {
            self.covers = offset;
        }
    }

    fn on_change(&mut self, collected: Collected) -> Folded {
        match &mut self.tail {
            Some(tail) => {
                tail.push(collected);
                Folded::Collected
            }
            None => self.apply(collected),
        }
    }

    fn apply(&mut self, Collected { offset, base, change }: Collected) -> Folded {
        if base != self.state.revision {
            return Folded::Conflict { winner: self.state.revision };
        }
        if let Err(problems) = check_change(&self.state, &change) {
            return Folded::Rejected { problems };
        }
        let revision = Revision(offset.0);
        let change = Arc::new(*change);
        Arc::make_mut(&mut self.state).apply(revision, Change::clone(&change));
        self.history.push(Effective { base, revision, change });
        Folded::Applied { revision }
    }
}

#[cfg(test)]
mod tests;
