//! A weighted fair queue: start-time fair queueing over teams.
//!
//! Each item carries the virtual time at which its service would start if its team had its weighted
//! share; the item with the lowest one is served first. A team that was idle gains no credit.

use spindle_types::Team;
use std::collections::{HashMap, VecDeque};

/// An item that waits.
#[derive(Clone, Debug)]
struct Waiting<T> {
    item: T,
    start: f64,
}

#[derive(Clone, Debug)]
struct Line<T> {
    items: VecDeque<Waiting<T>>,
    finish: f64,
    weight: f64,
}

/// Items of several teams.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    lines: HashMap<Team, Line<T>>,
    clock: f64,
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { lines: HashMap::new(), clock: 0.0, length: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Items that wait.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether no item waits.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Items of a team that wait.
    pub fn len_of(&self, team: &Team) -> usize {
        self.lines.get(team).map_or(0, |line| line.items.len())
    }

    /// The share of service that a team gets while the teams that wait now go on waiting.
    pub fn share_of(&self, team: &Team, weight: f64) -> f64 {
        let waiting =
            self.lines.iter().filter(|(name, line)| *name != team && !line.items.is_empty());
        let others: f64 = waiting.map(|(_, line)| line.weight).sum();
        weight / (weight + others)
    }

    /// The first item of each team.
    pub fn heads(&self) -> impl Iterator<Item = &T> {
        self.lines.values().filter_map(|line| line.items.front()).map(|waiting| &waiting.item)
    }

    /// Adds an item of a team with a weight; `cost` is the service that it takes.
    pub fn push(&mut self, team: &Team, weight: f64, cost: f64, item: T) {
        let line = self.lines.entry(team.clone()).or_insert_with(|| Line {
            items: VecDeque::new(),
            finish: 0.0,
            weight,
        });
        line.weight = weight;
        let start = line.finish.max(self.clock);
        line.finish = start + cost / weight;
        line.items.push_back(Waiting { item, start });
        self.length += 1;
    }

    /// Takes the item to serve next among the teams that `may` be served.
    pub fn pop(&mut self, may: impl Fn(&Team) -> bool) -> Option<T> {
        let heads = self.lines.iter().filter_map(|(team, line)| Some((team, line.items.front()?)));
        let first = heads
            .filter(|(team, _)| may(team))
            .min_by(|(a, x), (b, y)| x.start.total_cmp(&y.start).then(a.cmp(b)));
        let team = first?.0.clone();
        let line = self.lines.get_mut(&team)?;
        let waiting = line.items.pop_front()?;
        self.clock = self.clock.max(waiting.start);
        self.length -= 1;
        self.end_busy_period();
        Some(waiting.item)
    }

    /// Takes out the items that are not kept. Their share of service is not given back.
    pub fn extract(&mut self, mut kept: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for line in self.lines.values_mut() {
            let items = std::mem::take(&mut line.items);
            for waiting in items {
                if kept(&waiting.item) {
                    line.items.push_back(waiting);
                } else {
                    taken.push(waiting.item);
                }
            }
        }
        self.length -= taken.len();
        self.end_busy_period();
        taken
    }

    /// Forgets all teams once nothing waits: the virtual time passes every service so far.
    fn end_busy_period(&mut self) {
        if self.length > 0 {
            return;
        }
        let finishes = self.lines.values().map(|line| line.finish);
        self.clock = finishes.fold(self.clock, f64::max);
        self.lines.clear();
    }
}

#[cfg(test)]
mod tests;
