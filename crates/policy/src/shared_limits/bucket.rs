//! Token buckets, and sums of what has come in lately.

use super::DEMAND_TIME;
use spindle_types::MonotonicInstant;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Units available. Negative while excess usage is paid back.
    pub(super) level: f64,
    refilled_at: MonotonicInstant,
}

impl Bucket {
    pub(super) const fn new(now: MonotonicInstant, level: f64) -> Self {
        Self { level, refilled_at: now }
    }

    pub(super) fn refill(&mut self, now: MonotonicInstant, rate: f64, capacity: f64) {
        let refill = rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + refill).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes units if so many are left afterwards. A request larger than the bucket is admitted when
    /// the bucket is full. The level then goes below zero and is paid back by later refills. Returns
    /// the missing units on failure.
    pub(super) fn take(&mut self, units: f64, capacity: f64, left: f64) -> Result<(), f64> {
        let needed = (units + left).min(capacity);
        if self.level < needed {
            return Err(needed - self.level);
        }
        self.level -= units;
        Ok(())
    }
}

/// A sum of what has come in lately, which decays within [`DEMAND_TIME`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentSum {
    pub(super) sum: f64,
    at: MonotonicInstant,
}

impl RecentSum {
    pub(super) fn add(&mut self, now: MonotonicInstant, amount: f64) {
        let passed = now.since(self.at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.sum = self.sum * (-passed).exp() + amount;
        self.at = self.at.max(now);
    }
}
