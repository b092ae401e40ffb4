//! Limits that all daemons enforce together: the quota of a team and the retry budget of a service.
//!
//! The case to handle is a team that sends many times its quota through all daemons at once, while
//! other teams stay within theirs. Each daemon charges its own requests immediately and those of
//! its peers when their totals arrive by gossip. The excess admitted is therefore bounded by the
//! propagation delay, and it is paid back afterwards. A daemon that does not hear some of its peers
//! admits only its share of the refill. Requests within the tolerance must be admitted, so the
//! tolerance is used up to a margin.

use serde::{Deserialize, Serialize};
use spindle_types::{Incarnation, MonotonicInstant};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The fraction of a window's allowance kept free for peer usage that has not arrived yet.
const WINDOW_MARGIN: f64 = 0.07;

/// The fraction of the slack that a team may use at once, in addition to its burst.
const SLACK_SHARE: f64 = 0.3;

/// The fraction of a burst available when a daemon starts. All daemons may have restarted together
/// just after the whole burst was spent. With this fraction, six to eight of them have less than
/// half a burst together.
const START_SHARE: f64 = 0.05;

/// How long after its start a daemon may still be without gossip from its peers.
const START_TIME: Duration = Duration::from_millis(600);

/// The largest fraction of the refill that a daemon takes during [`START_TIME`], as several daemons
/// may have started at once.
const START_REFILL: f64 = 0.15;

/// The fraction of a burst that a daemon adds when it first hears a peer that has been running for
/// at least one window, which shows that the daemons did not all start at once.
const JOIN_SHARE: f64 = 0.1;

/// The fraction of the allowed retries that is used. The rest covers updates that are under way.
const RETRY_SHARE: f64 = 0.7;

/// The longest delay that a refused request is told to wait before it is sent again.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// The quota of a team, as a token bucket over all daemons. A unit is a request or a token.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaSpec {
    /// The refill rate in units per second.
    pub rate: f64,
    /// The units that can be used at once after a pause.
    pub burst: f64,
}

/// How far the usage of a team may exceed its quota within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// The permitted excess as a fraction of the quota, 0.1 for 10%.
    pub overage: f64,
    /// The permitted excess in units, in addition to `overage`.
    pub slack: f64,
    /// The length of the window over which the excess is measured.
    pub window: Duration,
}

impl QuotaTolerance {
    /// The largest number of units that a team may use at once.
    fn capacity(&self, spec: &QuotaSpec) -> f64 {
        spec.burst + self.slack * SLACK_SHARE
    }

    /// The refill rate with which a full bucket and its refill just use up a window's allowance,
    /// less [`WINDOW_MARGIN`]. Never below the rate of the quota.
    fn rate(&self, spec: &QuotaSpec) -> f64 {
        let secs = self.window.as_secs_f64();
        let allowance = (spec.rate * secs + spec.burst) * (1.0 + self.overage) + self.slack;
        let steady = (allowance * (1.0 - WINDOW_MARGIN) - self.capacity(spec)) / secs;
        steady.max(spec.rate)
    }
}

/// How many of the running daemons this daemon receives gossip from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonVisibility {
    /// Daemons heard recently, including this one.
    pub visible: u32,
    /// Daemons that may be running, including this one.
    pub known: u32,
}

impl DaemonVisibility {
    /// The fraction of the refill that this daemon may admit.
    fn refill_fraction(self) -> f64 {
        f64::from(self.visible.max(1)) / f64::from(self.known.max(self.visible).max(1))
    }
}

/// Whether a quota admits a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SharedQuotaDecision {
    /// The request is admitted and has been charged.
    Admitted,
    /// The request does not fit now. It may be sent again after the delay.
    RetryAfter(Duration),
}

/// One daemon's view of the quota of one team.
#[derive(Clone, Debug)]
pub struct SharedQuota {
    spec: QuotaSpec,
    tolerance: QuotaTolerance,
    /// Units available. Negative while excess usage is paid back.
    level: f64,
    created: MonotonicInstant,
    /// Whether a peer has been heard that has been running for at least a window.
    heard_long_running_peer: bool,
    last_refill: MonotonicInstant,
    /// All units charged by this daemon since it started.
    own_usage: f64,
    /// All units charged by each peer since that peer started.
    peer_usage: HashMap<Incarnation, f64>,
}

impl SharedQuota {
    /// Creates a quota before any usage is known.
    pub fn new(now: MonotonicInstant, spec: QuotaSpec, tolerance: QuotaTolerance) -> Self {
        let level = spec.burst * START_SHARE;
        let (created, last_refill) = (now, now);
        let (own_usage, peer_usage) = (0.0, HashMap::new());
        Self {
            spec,
            tolerance,
            level,
            created,
            heard_long_running_peer: false,
            last_refill,
            own_usage,
            peer_usage,
        }
    }

    /// Applies a changed specification. Usage so far stays charged.
    pub fn set_spec(&mut self, spec: QuotaSpec) {
        self.spec = spec;
        self.level = self.level.min(self.tolerance.capacity(&spec));
    }

    /// Admits and charges a request of `cost` units if it fits.
    pub fn admit(
        &mut self,
        now: MonotonicInstant,
        cost: f64,
        visibility: DaemonVisibility,
    ) -> SharedQuotaDecision {
        let capacity = self.tolerance.capacity(&self.spec);
        let share = match now.since(self.created) {
            age if age < START_TIME && !self.heard_long_running_peer => {
                visibility.refill_fraction().min(START_REFILL)
            }
            _ => visibility.refill_fraction(),
        };
        let rate = self.tolerance.rate(&self.spec) * share;
        let refill = rate * now.since(self.last_refill).as_secs_f64();
        self.level = (self.level + refill).min(capacity);
        self.last_refill = self.last_refill.max(now);
        // A request larger than the bucket is admitted when the bucket is full. The level then goes
        // below zero and is paid back by later refills.
        let needed = cost.min(capacity);
        if self.level < needed {
            let secs = (needed - self.level) / rate.max(f64::MIN_POSITIVE);
            let wait = Duration::try_from_secs_f64(secs).unwrap_or(RETRY_AFTER_MAX);
            return SharedQuotaDecision::RetryAfter(wait.min(RETRY_AFTER_MAX));
        }
        self.charge(cost);
        SharedQuotaDecision::Admitted
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&mut self, cost: f64) {
        self.charge(-cost);
    }

    /// The units that this daemon has charged since it started, to be sent to its peers.
    pub const fn own_usage(&self) -> f64 {
        self.own_usage
    }

    /// Applies the total that another daemon has charged since it started, `age` ago.
    pub fn on_peer_usage(&mut self, peer: Incarnation, total: f64, age: Duration) {
        // Usage that a long-running peer charged before it was first heard is assumed to have been
        // refilled since. A young peer started together with this daemon, so all its usage counts.
        let young = age < self.tolerance.window;
        if !young && !self.heard_long_running_peer {
            self.heard_long_running_peer = true;
            self.level += self.spec.burst * JOIN_SHARE;
        }
        let initial = if young { 0.0 } else { total };
        let before = self.peer_usage.insert(peer, total).unwrap_or(initial);
        self.level -= total - before;
    }

    /// Forgets the peers for which the predicate returns false.
    pub fn retain(&mut self, keep: impl Fn(Incarnation) -> bool) {
        self.peer_usage.retain(|peer, _| keep(*peer));
    }

    fn charge(&mut self, cost: f64) {
        self.level -= cost;
        self.own_usage += cost;
    }
}

/// The retry budget of a service over all daemons. A retry is any repeated send of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSpec {
    /// Retries permitted for each request.
    pub ratio: f64,
    /// Retries permitted in a window in addition to those.
    pub slack: f64,
    /// The length of the sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// One daemon's share of the retry budget of a service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgetShare {
    requests: VecDeque<MonotonicInstant>,
    retries: VecDeque<MonotonicInstant>,
}

impl RetryBudgetShare {
    /// Records a request for the service.
    pub fn on_request(&mut self, now: MonotonicInstant, limit: &RetryBudgetSpec) {
        expire(&mut self.requests, now, limit.window);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns true if it fits the budget. The slack is divided evenly among
    /// `daemons`.
    pub fn try_take(
        &mut self,
        now: MonotonicInstant,
        limit: &RetryBudgetSpec,
        daemons: u32,
    ) -> bool {
        expire(&mut self.requests, now, limit.window);
        expire(&mut self.retries, now, limit.window);
        let granted = limit.ratio * self.requests.len() as f64;
        let slack = limit.slack / f64::from(daemons.max(1));
        if self.retries.len() as f64 + 1.0 > (granted + slack) * RETRY_SHARE {
            return false;
        }
        self.retries.push_back(now);
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
