//! A map that remembers at which heartbeat each entry last changed, so that a daemon sends its
//! peers only the entries that they lack.
//!
//! Hundreds of daemons forward what they hear several times a second. With this map an entry
//! reaches each of them once per change instead of with every heartbeat.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::collections::BTreeMap;

/// Values by key, each with the owner's heartbeat number at which the value last changed.
///
/// Serialized as a list of `[key, [heartbeat, value]]` pairs.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "K: Serialize, V: Serialize",
    deserialize = "K: Ord + Deserialize<'de>, V: Deserialize<'de>"
))]
pub struct VersionedMap<K, V>(#[serde_as(as = "Vec<(_, _)>")] BTreeMap<K, (u64, V)>);

impl<K, V> Default for VersionedMap<K, V> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K, V> VersionedMap<K, V> {
    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

impl<K: Clone + Ord, V: Clone + PartialEq> VersionedMap<K, V> {
    /// Replaces the content with the owner's entries at heartbeat `heartbeat`. Unchanged values
    /// keep the heartbeat of their last change; keys missing from `entries` are removed.
    pub fn set(&mut self, heartbeat: u64, entries: impl IntoIterator<Item = (K, V)>) {
        let mut old = std::mem::take(&mut self.0);
        self.0 = entries
            .into_iter()
            .map(|(key, value)| match old.remove(&key) {
                Some((at, before)) if before == value => (key, (at, value)),
                _ => (key, (heartbeat, value)),
            })
            .collect();
    }

    /// The entries that changed after heartbeat `heartbeat`.
    pub fn changed_since(&self, heartbeat: u64) -> Self {
        let newer = self.0.iter().filter(|(_, (at, _))| *at > heartbeat);
        Self(newer.map(|(key, entry)| (key.clone(), entry.clone())).collect())
    }

    /// Merges received changes and drops the least recently changed entries beyond about `max_len`;
    /// all entries of the oldest heartbeat kept stay.
    pub fn merge(&mut self, changes: &Self, max_len: usize) {
        for (key, (at, value)) in &changes.0 {
            if self.0.get(key).is_none_or(|(known, _)| known < at) {
                self.0.insert(key.clone(), (*at, value.clone()));
            }
        }
        if self.0.len() > max_len {
            let mut heartbeats: Vec<u64> = self.0.values().map(|(at, _)| *at).collect();
            heartbeats.sort_unstable_by(|a, b| b.cmp(a));
            let oldest = heartbeats[max_len.saturating_sub(1)];
            self.0.retain(|_, (at, _)| *at >= oldest);
        }
    }

    /// Removes the entries whose keys `keeps` rejects.
    pub fn retain(&mut self, keeps: impl Fn(&K) -> bool) {
        self.0.retain(|key, _| keeps(key));
    }

    /// Iterates over keys and values, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.0.iter().map(|(key, (_, value))| (key, value))
    }

    /// The value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.0.get(key).map(|(_, value)| value)
    }
}

#[cfg(test)]
mod tests;
