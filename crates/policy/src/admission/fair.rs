//! A weighted fair queue that implements start-time fair queueing over teams.
//!
//! Each item has a virtual start time, at which its service would start if its team received its
//! weighted share. The item with the lowest start time is served first. An idle team gains no
//! credit.

use spindle_types::Team;
use std::collections::{HashMap, VecDeque};

/// A queued item with its virtual start time.
#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: T,
    start: f64,
}

#[derive(Clone, Debug)]
struct TeamQueue<T> {
    items: VecDeque<QueuedItem<T>>,
    /// The virtual time at which the newest item finishes.
    finish: f64,
    weight: f64,
}

/// A queue of items of several teams.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    team_queues: HashMap<Team, TeamQueue<T>>,
    virtual_time: f64,
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { team_queues: HashMap::new(), virtual_time: 0.0, length: 0 }
    }
}

impl<T> FairQueue<T> {
    /// The number of queued items.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether the queue is empty.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The number of queued items of a team.
    pub fn len_of(&self, team: &Team) -> usize {
        self.team_queues.get(team).map_or(0, |team_queue| team_queue.items.len())
    }

    /// The fraction of service that a team receives while the same other teams have queued items.
    pub fn share_of(&self, team: &Team, weight: f64) -> f64 {
        let queued = self
            .team_queues
            .iter()
            .filter(|(name, team_queue)| *name != team && !team_queue.items.is_empty());
        let others: f64 = queued.map(|(_, team_queue)| team_queue.weight).sum();
        weight / (weight + others)
    }

    /// The first queued item of each team.
    pub fn heads(&self) -> impl Iterator<Item = &T> {
        self.team_queues
            .values()
            .filter_map(|team_queue| team_queue.items.front())
            .map(|queued| &queued.item)
    }

    /// Adds an item of a team. `cost` is the amount of service that the item takes, in the unit
    /// shared by all items of the queue.
    pub fn push(&mut self, team: &Team, weight: f64, cost: f64, item: T) {
        let team_queue = self.team_queues.entry(team.clone()).or_insert_with(|| TeamQueue {
            items: VecDeque::new(),
            finish: 0.0,
            weight,
        });
        team_queue.weight = weight;
        let start = team_queue.finish.max(self.virtual_time);
        team_queue.finish = start + cost / weight;
        team_queue.items.push_back(QueuedItem { item, start });
        self.length += 1;
    }

    /// Removes the item to serve next among the teams for which `may_run` returns true.
    pub fn pop(&mut self, may_run: impl Fn(&Team) -> bool) -> Option<T> {
        let heads = self
            .team_queues
            .iter()
            .filter_map(|(team, team_queue)| Some((team, team_queue.items.front()?)));
        let first = heads
            .filter(|(team, _)| may_run(team))
            .min_by(|(a, x), (b, y)| x.start.total_cmp(&y.start).then(a.cmp(b)));
        let team = first?.0.clone();
        let team_queue = self.team_queues.get_mut(&team)?;
        let queued = team_queue.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(queued.start);
        self.length -= 1;
        self.end_busy_period();
        Some(queued.item)
    }

    /// Removes and returns the items for which `keep` returns false. Their service stays charged to
    /// the team.
    pub fn extract(&mut self, mut keep: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for team_queue in self.team_queues.values_mut() {
            let items = std::mem::take(&mut team_queue.items);
            for queued in items {
                if keep(&queued.item) {
                    team_queue.items.push_back(queued);
                } else {
                    removed.push(queued.item);
                }
            }
        }
        self.length -= removed.len();
        self.end_busy_period();
        removed
    }

    /// Forgets all teams when the queue is empty, and advances the virtual time past all service so
    /// far.
    fn end_busy_period(&mut self) {
        if self.length > 0 {
            return;
        }
        let finishes = self.team_queues.values().map(|team_queue| team_queue.finish);
        self.virtual_time = finishes.fold(self.virtual_time, f64::max);
        self.team_queues.clear();
    }
}

#[cfg(test)]
mod tests;
