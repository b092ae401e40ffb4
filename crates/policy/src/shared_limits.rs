//! Limits that all daemons keep together: the quota of a team, and the retries of a service.
//!
//! Load: a team that sends many times its quota through all daemons at once, while others stay
//! within theirs. Each daemon charges its own requests at once and those of the others when it
//! hears of them, so what is let in too much is bounded by how late the news are, and is paid back.
//! A daemon that does not hear some of the others admits only its share of what is refilled. What
//! a team asks within the tolerance is owed to it, so that is used up to a margin.

use serde::{Deserialize, Serialize};
use spindle_types::{Incarnation, MonotonicInstant};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The part of what a window may hold that is kept for news under way.
const WINDOW_MARGIN: f64 = 0.07;

/// The part of the slack that a team may use at once, beyond its burst.
const SLACK_SHARE: f64 = 0.3;

/// The part of a burst that is there when a daemon starts: all may have started at once, right after
/// the whole was spent. Six to eight daemons together have less than half a burst then.
const START_SHARE: f64 = 0.05;

/// The time after its start in which a daemon may not have heard of the others.
const START_TIME: Duration = Duration::from_millis(600);

/// The part of the refill that a daemon takes in that time, as one of several that started at once.
const START_REFILL: f64 = 0.15;

/// The part of a burst that a daemon adds when it hears of one that has been running for long: not
/// all have started at once then.
const JOIN_SHARE: f64 = 0.1;

/// The part of the retries allowed that is used. The rest covers news under way.
const RETRY_SHARE: f64 = 0.7;

/// The longest time after which a refused request is told to come back.
const RETURN_MAX: Duration = Duration::from_secs(2);

/// How much a team may use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaSpec {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// How far the uses of a team may go beyond its quota, in a window of seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// As a share of the quota.
    pub overage: f64,
    /// In units.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

impl QuotaTolerance {
    /// The most that a team may use at once.
    fn capacity(&self, spec: &QuotaSpec) -> f64 {
        spec.burst + self.slack * SLACK_SHARE
    }

    /// The rate that, with the capacity at once, just fills a window.
    fn rate(&self, spec: &QuotaSpec) -> f64 {
        let secs = self.window.as_secs_f64();
        let whole = (spec.rate * secs + spec.burst) * (1.0 + self.overage) + self.slack;
        let steady = (whole * (1.0 - WINDOW_MARGIN) - self.capacity(spec)) / secs;
        steady.max(spec.rate)
    }
}

/// How many of the other daemons are heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonVisibility {
    /// Daemons heard of lately, this one included.
    pub visible: u32,
    /// Daemons that may be running, this one included.
    pub known: u32,
}

impl DaemonVisibility {
    fn share(self) -> f64 {
        f64::from(self.visible.max(1)) / f64::from(self.known.max(self.visible).max(1))
    }
}

/// What a quota says of one more request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SharedQuotaDecision {
    /// It fits and has been charged.
    Admitted,
    /// It does not fit before the delay has passed.
    RetryAfter(Duration),
}

/// The quota of one team, as one daemon sees it.
#[derive(Clone, Debug)]
pub struct SharedQuota {
    spec: QuotaSpec,
    tolerance: QuotaTolerance,
    level: f64,
    born: MonotonicInstant,
    joined: bool,
    filled: MonotonicInstant,
    own: f64,
    others: HashMap<Incarnation, f64>,
}

impl SharedQuota {
    /// A quota of which nothing is known yet.
    pub fn new(now: MonotonicInstant, spec: QuotaSpec, tolerance: QuotaTolerance) -> Self {
        let level = spec.burst * START_SHARE;
        let (born, filled) = (now, now);
        let (own, others) = (0.0, HashMap::new());
        Self { spec, tolerance, level, born, joined: false, filled, own, others }
    }

    /// Takes over a changed specification; what is used stays used.
    pub fn set_spec(&mut self, spec: QuotaSpec) {
        self.spec = spec;
        self.level = self.level.min(self.tolerance.capacity(&spec));
    }

    /// Asks for a request of `cost` units, and charges it if it fits.
    pub fn admit(
        &mut self,
        now: MonotonicInstant,
        cost: f64,
        hearing: DaemonVisibility,
    ) -> SharedQuotaDecision {
        let capacity = self.tolerance.capacity(&self.spec);
        let share = match now.since(self.born) {
            age if age < START_TIME && !self.joined => hearing.share().min(START_REFILL),
            _ => hearing.share(),
        };
        let rate = self.tolerance.rate(&self.spec) * share;
        let refill = rate * now.since(self.filled).as_secs_f64();
        self.level = (self.level + refill).min(capacity);
        self.filled = self.filled.max(now);
        // A request larger than what fits passes when nothing else is in use, and is paid off later.
        let needed = cost.min(capacity);
        if self.level < needed {
            let secs = (needed - self.level) / rate.max(f64::MIN_POSITIVE);
            let wait = Duration::try_from_secs_f64(secs).unwrap_or(RETURN_MAX);
            return SharedQuotaDecision::RetryAfter(wait.min(RETURN_MAX));
        }
        self.charge(cost);
        SharedQuotaDecision::Admitted
    }

    /// Gives back what a request was charged that did not run.
    pub fn refund(&mut self, cost: f64) {
        self.charge(-cost);
    }

    /// All that this daemon has charged, for the others.
    pub const fn own_usage(&self) -> f64 {
        self.own
    }

    /// Takes in all that another daemon has charged in its life, which began `age` ago.
    pub fn on_peer_usage(&mut self, other: Incarnation, total: f64, age: Duration) {
        // What an old one charged before it was heard of first is taken to be refilled; a young one
        // has started together with this one.
        let young = age < self.tolerance.window;
        if !young && !self.joined {
            self.joined = true;
            self.level += self.spec.burst * JOIN_SHARE;
        }
        let unheard = if young { 0.0 } else { total };
        let before = self.others.insert(other, total).unwrap_or(unheard);
        self.level -= total - before;
    }

    /// Forgets daemons that the predicate does not keep.
    pub fn retain(&mut self, keep: impl Fn(Incarnation) -> bool) {
        self.others.retain(|other, _| keep(*other));
    }

    fn charge(&mut self, cost: f64) {
        self.level -= cost;
        self.own += cost;
    }
}

/// How many further sends a service may get, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSpec {
    /// Further sends for each request.
    pub ratio: f64,
    /// Further sends in a window beyond those.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// One daemon's share of the further sends to a service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgetShare {
    requests: VecDeque<MonotonicInstant>,
    further: VecDeque<MonotonicInstant>,
}

impl RetryBudgetShare {
    /// Records a request for the service.
    pub fn on_request(&mut self, now: MonotonicInstant, limit: &RetryBudgetSpec) {
        expire(&mut self.requests, now, limit.window);
        self.requests.push_back(now);
    }

    /// Asks for one more send of a request that was sent before, and counts it if it fits. Of the
    /// slack each of `daemons` has its part.
    pub fn try_take(
        &mut self,
        now: MonotonicInstant,
        limit: &RetryBudgetSpec,
        daemons: u32,
    ) -> bool {
        expire(&mut self.requests, now, limit.window);
        expire(&mut self.further, now, limit.window);
        let granted = limit.ratio * self.requests.len() as f64;
        let slack = limit.slack / f64::from(daemons.max(1));
        if self.further.len() as f64 + 1.0 > (granted + slack) * RETRY_SHARE {
            return false;
        }
        self.further.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<MonotonicInstant>, now: MonotonicInstant, window: Duration) {
    while times.front().is_some_and(|first| now.since(*first) >= window) {
        times.pop_front();
    }
}

#[cfg(test)]
mod tests;
