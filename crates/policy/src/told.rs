//! Facts that one daemon tells all others again and again, of which each hears only the changes.
//!
//! Load: hundreds of daemons that pass on what they hear several times a second. A fact travels to
//! each of them once for each change, not with every beat.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::BTreeMap;

/// Facts by key, each with the beat of its owner at which it changed last.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "K: Serialize, V: Serialize",
    deserialize = "K: Ord + Deserialize<'de>, V: Deserialize<'de>"
))]
pub struct Told<K, V>(#[serde_as(as = "Vec<(_, _)>")] BTreeMap<K, (u64, V)>);

impl<K, V> Default for Told<K, V> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K, V> Told<K, V> {
    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<K: Clone + Ord, V: Clone + PartialEq> Told<K, V> {
    /// Takes over the owner's facts at a beat; those that it holds no more are forgotten.
    pub fn set(&mut self, beat: u64, facts: impl IntoIterator<Item = (K, V)>) {
        let mut old = std::mem::take(&mut self.0);
        self.0 = facts
            .into_iter()
            .map(|(key, value)| match old.remove(&key) {
                Some((at, before)) if before == value => (key, (at, value)),
                _ => (key, (beat, value)),
            })
            .collect();
    }

    /// Those that have changed after a beat.
    pub fn since(&self, beat: u64) -> Self {
        let newer = self.0.iter().filter(|(_, (at, _))| *at > beat);
        Self(newer.map(|(key, fact)| (key.clone(), fact.clone())).collect())
    }

    /// Takes in changes that were heard, and keeps the `most` that changed last.
    pub fn merge(&mut self, changes: &Self, most: usize) {
        for (key, (at, value)) in &changes.0 {
            if self.0.get(key).is_none_or(|(known, _)| known < at) {
                self.0.insert(key.clone(), (*at, value.clone()));
            }
        }
        if self.0.len() > most {
            let mut beats: Vec<u64> = self.0.values().map(|(at, _)| *at).collect();
            beats.sort_unstable_by(|a, b| b.cmp(a));
            let oldest = beats[most.saturating_sub(1)];
            self.0.retain(|_, (at, _)| *at >= oldest);
        }
    }

    /// The facts.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.0.iter().map(|(key, (_, value))| (key, value))
    }

    /// One fact.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.0.get(key).map(|(_, value)| value)
    }
}

#[cfg(test)]
mod tests;
