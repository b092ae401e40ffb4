//! Divides a rate among daemons, none of which sees what the others spend until later.
//!
//! The expected load is an upstream that takes 0.2 to 500 requests per second from 1 to 400 daemons
//! that could send it many times as much. Each daemon spends only a part that is its own, so no
//! news of its peers' spending is needed. Low rates go to a few daemons, chosen by rendezvous
//! hashing of their instances: a part for each of 400 daemons would be a large burst.
//!
//! While the daemons agree on the rate `r` and on each other, they spend at most
//! `1 + r * (1.1 + t)` in any `t` seconds. A daemon that the others don't know yet has no part, and
//! a silent one keeps its part until it must have noticed that it is cut off.

use spindle_types::{Instance, MonotonicInstant};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The time in which a daemon collects what it may spend at once, beyond one unit.
const BURST_TIME: Duration = Duration::from_millis(100);

/// How long a part is valid after it was set. A daemon that was suspended does not spend its part
/// until it has set it again.
const VALID_TIME: Duration = Duration::from_secs(1);

/// The silence after which the others take over a daemon's part.
pub const TAKE_OVER_AFTER: Duration = Duration::from_secs(8);

/// The silence of most daemons after which a daemon gives up its part: the others are about to take
/// it over.
const GIVE_UP_AFTER: Duration = Duration::from_secs(6);

/// The place of a daemon among those that divide a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Number of daemons that come before this one.
    pub rank: u32,
    /// Number of daemons, including this one.
    pub daemons: u32,
}

impl Position {
    /// The place of `own`, given how long each other daemon has been silent. `seed` makes different
    /// rates go to different daemons. A daemon counts as heard up to the silence `heard_within`.
    ///
    /// Returns `None` if most daemons have been silent for so long that they may have divided the
    /// rate without this one.
    pub fn among(
        own: &Instance,
        others: &[(&Instance, Duration)],
        heard_within: Duration,
        seed: u64,
    ) -> Option<Self> {
        let total = others.len() + 1;
        let silent_for = |limit: Duration| others.iter().filter(|(_, s)| *s > limit).count();
        let is_majority = (total - silent_for(heard_within)) * 2 > total;
        if !is_majority && (total - silent_for(GIVE_UP_AFTER)) * 2 < total {
            return None;
        }
        // Without a majority, nobody's part may be taken over: the other side keeps it.
        let members = others.iter().filter(|(_, s)| !is_majority || *s <= TAKE_OVER_AFTER);
        let hash = |instance: &Instance| xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
        let own_hash = hash(own);
        let (mut rank, mut daemons) = (0, 1);
        for (instance, _) in members {
            daemons += 1;
            rank += u32::from(hash(instance) < own_hash);
        }
        Some(Self { rank, daemons })
    }

    /// This daemon's part of so many places. The parts of all daemons add up to them.
    pub const fn places(self, total: u32) -> u32 {
        total / self.daemons + if self.rank < total % self.daemons { 1 } else { 0 }
    }

    /// The part of a rate that this daemon may spend.
    fn part(self, rate: f64) -> f64 {
        let holders = (1.0 + rate).floor().min(f64::from(self.daemons)).max(1.0);
        if f64::from(self.rank) < holders { rate / holders } else { 0.0 }
    }
}

/// What one daemon may spend of a common rate, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct RateShare {
    /// The whole rate, in units per second.
    rate: f64,
    /// The rate at which this daemon may spend, in units per second.
    own_rate: f64,
    /// Units that may be spent now.
    level: f64,
    refilled_at: MonotonicInstant,
    set_at: MonotonicInstant,
}

impl RateShare {
    /// Creates the share of a daemon that has no part yet.
    pub const fn new(now: MonotonicInstant, rate: f64) -> Self {
        Self { rate, own_rate: 0.0, level: 0.0, refilled_at: now, set_at: now }
    }

    /// Sets the whole rate and this daemon's place, which is `None` while it may not spend. To be
    /// called several times a second.
    pub fn set(&mut self, now: MonotonicInstant, rate: f64, position: Option<Position>) {
        self.level = self.level_at(now);
        self.refilled_at = now;
        self.set_at = now;
        self.rate = rate;
        self.own_rate = position.map_or(0.0, |position| position.part(rate));
        self.level = self.level.min(self.capacity());
    }

    /// Lowers the whole rate at once, without a new place.
    pub fn lower(&mut self, now: MonotonicInstant, rate: f64) {
        if rate >= self.rate {
            return;
        }
        let ratio = rate / self.rate;
        self.level = self.level_at(now) * ratio;
        self.refilled_at = now;
        self.own_rate *= ratio;
        self.rate = rate;
    }

    /// Whether a unit may be spent.
    pub fn is_available(&self, now: MonotonicInstant) -> bool {
        now.since(self.set_at) <= VALID_TIME && self.level_at(now) >= 1.0
    }

    /// Spends a unit and returns true if it is available.
    pub fn take(&mut self, now: MonotonicInstant) -> bool {
        if !self.is_available(now) {
            return false;
        }
        self.level = self.level_at(now) - 1.0;
        self.refilled_at = now;
        true
    }

    /// Returns a unit that was taken but not used.
    pub fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(self.capacity());
    }

    /// The time until a unit can be spent: by this daemon, or by another one if it has no part.
    pub fn wait(&self, now: MonotonicInstant) -> Duration {
        let (missing, rate) = if self.own_rate > 0.0 {
            (1.0 - self.level_at(now), self.own_rate)
        } else {
            (1.0, self.rate)
        };
        Duration::try_from_secs_f64(missing / rate).unwrap_or_default()
    }

    /// The rate at which this daemon may spend, in units per second.
    pub const fn own_rate(&self) -> f64 {
        self.own_rate
    }

    /// Units that may be spent at once.
    fn capacity(&self) -> f64 {
        if self.own_rate > 0.0 { 1.0 + self.own_rate * BURST_TIME.as_secs_f64() } else { 0.0 }
    }

    fn level_at(&self, now: MonotonicInstant) -> f64 {
        let refill = self.own_rate * now.since(self.refilled_at).as_secs_f64();
        (self.level + refill).min(self.capacity())
    }
}

#[cfg(test)]
mod tests;
