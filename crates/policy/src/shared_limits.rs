//! Limits that all daemons enforce together: the quota of a team and the retry budget of a service.
//!
//! The case to handle is a team that sends many times its quota through 1 to 400 daemons at once,
//! while other teams stay within theirs and reach one daemon or all. News between daemons are up to
//! some seconds late, so no daemon decides by what others have used: a few daemons, chosen by hashing,
//! keep the quota of a team, and the others ask them for units with a call of a few milliseconds.

mod daemon_counts;
mod retry_budget;
mod window_sum;

pub use self::daemon_counts::{DaemonCounts, DaemonVisibility, SeedCounts, may_keep_quotas};
use self::daemon_counts::{START_DAEMONS, START_TIME};
pub use self::retry_budget::{RetryBudgetShare, RetryBudgetSpec};
use self::window_sum::WindowSum;
use serde::{Deserialize, Serialize};
use spindle_types::{Instance, MonotonicInstant, Team};
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of daemons that keep the quota of a team.
pub const KEEPERS: usize = 3;

/// The fraction of a window's allowance kept free for the one request at each keeper that may be
/// larger than what the keeper has.
const WINDOW_MARGIN: f64 = 0.07;

/// The fraction of the slack that a team may use at once, in addition to its burst.
const SLACK_SHARE: f64 = 0.3;

/// The fraction of a burst available when a daemon starts. All daemons may have restarted together
/// just after the whole burst was spent.
const START_SHARE: f64 = 0.05;

/// How long a daemon that becomes a keeper leaves the refill to the one before, which may not know of
/// it yet.
const TAKE_OVER_TIME: Duration = Duration::from_secs(2);

/// The fraction of the quota that is divided evenly among all daemons, which spend it without asking
/// a keeper. It serves small requests, and some while no keeper answers.
const LOCAL_SHARE: f64 = 0.1;

/// How long a keeper that did not answer is not asked again. Doubles with each further call that it
/// does not answer.
const AVOID_TIME: Duration = Duration::from_millis(100);

/// The longest time for which such a keeper is not asked.
const AVOID_TIME_MAX: Duration = Duration::from_secs(2);

/// The time for which a daemon leaves a keeper alone that has nothing left, for each question that the
/// keeper has turned down in [`DEMAND_TIME`]. The calls grow with the square root of the daemons.
const CALL_SPACING: Duration = Duration::from_millis(8);

/// How long units that were granted may be used.
const GRANT_TIME: Duration = Duration::from_millis(500);

/// The time over which a daemon measures the demand of a team.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// The fraction of the measured demand that a daemon asks a keeper for in advance.
const EXPECTED_SHARE: f64 = 0.25;

/// The fraction of its capacity that a keeper hands out in advance only if it has more.
const ADVANCE_LEVEL: f64 = 0.5;

/// The fraction of what lies above [`ADVANCE_LEVEL`] that one daemon gets in advance.
const ADVANCE_SHARE: f64 = 0.25;

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

    /// The most units that a team may use in a window.
    fn allowance(&self, spec: &QuotaSpec) -> f64 {
        let secs = self.window.as_secs_f64();
        (spec.rate * secs + spec.burst) * (1.0 + self.overage) + self.slack
    }

    /// The refill rate with which a full bucket and its refill just use up a window's allowance,
    /// less [`WINDOW_MARGIN`]. Never below the rate of the quota.
    fn rate(&self, spec: &QuotaSpec) -> f64 {
        let usable = self.allowance(spec) * (1.0 - WINDOW_MARGIN);
        let steady = (usable - self.capacity(spec)) / self.window.as_secs_f64();
        steady.max(spec.rate)
    }
}

/// The daemons that keep the quota of a team, as one daemon knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaKeepers<A> {
    /// The other daemons that keep the quota.
    pub others: Vec<A>,
    /// The part of the quota that this daemon keeps; 0 if it is no keeper.
    pub part: f64,
    /// The number of daemons that may be running, which divide what is not kept.
    pub daemons: u32,
}

impl<A> QuotaKeepers<A> {
    /// Selects the keepers by rendezvous hashing. `others` are the daemons heard that have been
    /// running for long enough to be known by all; `own` is `None` if this daemon has not.
    pub fn select<'a>(
        team: &Team,
        own: Option<&Instance>,
        others: impl IntoIterator<Item = (&'a Instance, A)>,
        visibility: DaemonVisibility,
    ) -> Self {
        let seed = xxh3_64(team.as_str().as_bytes());
        let hash = |instance: &Instance| xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
        let own = own.map(|own| (hash(own), None));
        let others = others.into_iter().map(|(other, address)| (hash(other), Some(address)));
        let mut ranked: Vec<(u64, Option<A>)> = others.chain(own).collect();
        ranked.sort_unstable_by_key(|(hash, _)| *hash);
        ranked.truncate(KEEPERS);
        let count = ranked.len().max(1) as f64;
        let is_keeper = ranked.iter().any(|(_, address)| address.is_none());
        Self {
            others: ranked.into_iter().filter_map(|(_, address)| address).collect(),
            part: if is_keeper { visibility.fraction() / count } else { 0.0 },
            daemons: visibility.known,
        }
    }

    /// A daemon that hears no other.
    pub fn alone(visibility: DaemonVisibility) -> Self {
        let (part, daemons) = (visibility.fraction(), visibility.known);
        Self { others: Vec::new(), part, daemons }
    }
}

/// The daemons among which one selects the keepers of every quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaFleet<A> {
    /// The daemon that selects; `None` if others may not know it yet.
    pub own: Option<Instance>,
    /// The daemons heard that have been running for long enough to be known by all.
    pub others: Vec<(Instance, A)>,
    /// How many of the daemons are heard.
    pub visibility: DaemonVisibility,
}

impl<A: Copy> QuotaFleet<A> {
    /// What a daemon knows before it has heard anything: it keeps no quota.
    pub const fn unknown() -> Self {
        let visibility = DaemonVisibility { visible: 1, known: START_DAEMONS };
        Self { own: None, others: Vec::new(), visibility }
    }

    /// The keepers of the quota of a team.
    pub fn keepers(&self, team: &Team) -> QuotaKeepers<A> {
        let others = self.others.iter().map(|(instance, address)| (instance, *address));
        QuotaKeepers::select(team, self.own.as_ref(), others, self.visibility)
    }
}

/// What a daemon asks a keeper for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaQuestion {
    /// Units that it needs now.
    pub needed: f64,
    /// Units that it will need soon, besides.
    pub expected: f64,
    /// Units granted before that it returns.
    pub returned: f64,
}

/// A keeper's answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Units granted: none, or at least those needed.
    pub units: f64,
    /// Milliseconds after which the keeper may be asked again, if it has granted none.
    pub wait: u64,
}

/// Whether a quota admits a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SharedQuotaDecision<A> {
    /// The request is admitted and has been charged.
    Admitted,
    /// The daemon at an address may have the units. [`SharedQuota::on_grant`] takes its answer.
    Ask(A, QuotaQuestion),
    /// The request does not fit now. It may be sent again after the delay.
    RetryAfter(Duration),
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Units available. Negative while excess usage is paid back.
    level: f64,
    refilled_at: MonotonicInstant,
}

impl Bucket {
    const fn new(now: MonotonicInstant, level: f64) -> Self {
        Self { level, refilled_at: now }
    }

    fn refill(&mut self, now: MonotonicInstant, rate: f64, capacity: f64) {
        let refill = rate * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + refill).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes units. A request larger than the bucket is admitted when the bucket is full. The level
    /// then goes below zero and is paid back by later refills. Returns the missing units on failure.
    fn take(&mut self, units: f64, capacity: f64) -> Result<(), f64> {
        let needed = units.min(capacity);
        if self.level < needed {
            return Err(needed - self.level);
        }
        self.level -= units;
        Ok(())
    }
}

/// A sum of what has come in lately, which decays within [`DEMAND_TIME`].
#[derive(Clone, Copy, Debug, Default)]
struct RecentSum {
    sum: f64,
    at: MonotonicInstant,
}

impl RecentSum {
    fn add(&mut self, now: MonotonicInstant, amount: f64) {
        let passed = now.since(self.at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.sum = self.sum * (-passed).exp() + amount;
        self.at = self.at.max(now);
    }
}

/// The units that this daemon was granted and has not used.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    units: f64,
    until: MonotonicInstant,
}

/// The part of a quota that a daemon keeps, for the logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KeptPart {
    /// The part of the quota, from 0 to 1.
    pub part: f64,
    /// Units available. Negative while excess usage is paid back.
    pub level: f64,
    /// The most units available at once.
    pub capacity: f64,
}

/// One daemon's view of the quota of one team.
///
/// A few daemons keep the quota, each a part of it as a token bucket. The others ask them for units.
/// A daemon spends only what it keeps itself or has been granted, so that all together spend at most
/// the capacity and the refill. A keeper grants a request that is larger than its capacity when it is
/// full and its part of the window's allowance covers the request too.
#[derive(Clone, Debug)]
pub struct SharedQuota<A> {
    spec: QuotaSpec,
    tolerance: QuotaTolerance,
    created: MonotonicInstant,
    /// What this daemon keeps; `None` if it has never been a keeper.
    kept: Option<Bucket>,
    /// What it spent of that within the last window.
    spent: WindowSum,
    /// The part of the quota that it keeps.
    part: f64,
    /// Its even share of what is not kept.
    local: Bucket,
    held: Held,
    /// Units that it gives back with the next question.
    returned: f64,
    /// The units that the team asks for.
    demand: RecentSum,
    /// The questions of other daemons that were turned down.
    refusals: RecentSum,
    /// Until when keepers are not asked, and how many calls in a row each has not answered.
    resting: HashMap<A, (MonotonicInstant, u32)>,
    /// The number of calls to keepers so far.
    calls: usize,
    /// All units charged by this daemon since it started.
    own_usage: f64,
}

impl<A: Copy + Eq + Hash> SharedQuota<A> {
    /// Creates the quota of a team at a daemon that has just started or learnt of the team.
    pub fn new(now: MonotonicInstant, spec: QuotaSpec, tolerance: QuotaTolerance) -> Self {
        Self {
            spec,
            tolerance,
            created: now,
            kept: None,
            spent: WindowSum::default(),
            part: 0.0,
            local: Bucket::new(now, 0.0),
            held: Held::default(),
            returned: 0.0,
            demand: RecentSum::default(),
            refusals: RecentSum::default(),
            resting: HashMap::new(),
            calls: 0,
            own_usage: 0.0,
        }
    }

    /// The specification that applies.
    pub const fn spec(&self) -> QuotaSpec {
        self.spec
    }

    /// What this daemon keeps.
    pub fn kept(&self) -> KeptPart {
        let level = self.kept.map_or(0.0, |kept| kept.level);
        KeptPart { part: self.part, level, capacity: self.capacity() }
    }

    /// Applies a changed specification. Usage so far stays charged.
    pub fn set_spec(&mut self, spec: QuotaSpec) {
        self.spec = spec;
        let capacity = self.capacity();
        if let Some(kept) = &mut self.kept {
            kept.level = kept.level.min(capacity);
        }
    }

    /// Sets the part that this daemon keeps, when it learns that it has changed and from time to time.
    pub fn set_part(&mut self, now: MonotonicInstant, part: f64) {
        self.refill(now, part);
    }

    /// Admits and charges a request of `cost` units if it fits.
    pub fn admit(
        &mut self,
        now: MonotonicInstant,
        cost: f64,
        keepers: &QuotaKeepers<A>,
    ) -> SharedQuotaDecision<A> {
        self.demand.add(now, cost);
        self.decide(now, cost, keepers)
    }

    /// Applies the answer of a keeper, `None` if there was none, and decides again.
    pub fn on_grant(
        &mut self,
        now: MonotonicInstant,
        cost: f64,
        (keeper, question, grant): (A, QuotaQuestion, Option<QuotaGrant>),
        keepers: &QuotaKeepers<A>,
    ) -> SharedQuotaDecision<A> {
        match grant {
            Some(grant) if grant.units >= question.needed => {
                self.resting.remove(&keeper);
                self.hold(now, grant.units - question.needed);
                self.own_usage += cost;
                return SharedQuotaDecision::Admitted;
            }
            Some(grant) => {
                let wait = Duration::from_millis(grant.wait).min(RETRY_AFTER_MAX);
                self.resting.insert(keeper, (now + wait, 0));
            }
            None => {
                let failures = self.resting.get(&keeper).map_or(0, |(_, failures)| *failures);
                let wait = AVOID_TIME.saturating_mul(2_u32.saturating_pow(failures));
                let until = now + wait.min(AVOID_TIME_MAX);
                self.resting.insert(keeper, (until, failures.saturating_add(1)));
            }
        }
        self.decide(now, cost, keepers)
    }

    /// Answers another daemon out of the part that this one keeps.
    pub fn grant(
        &mut self,
        now: MonotonicInstant,
        question: QuotaQuestion,
        part: f64,
    ) -> QuotaGrant {
        let Some(capacity) = self.refill(now, part) else {
            return QuotaGrant { units: 0.0, wait: wait_millis(AVOID_TIME) };
        };
        let rate = self.rate();
        let Some(kept) = &mut self.kept else {
            return QuotaGrant { units: 0.0, wait: wait_millis(AVOID_TIME) };
        };
        kept.level = (kept.level + question.returned.max(0.0)).min(capacity);
        if let Err(missing) = self.take_kept(now, question.needed, capacity) {
            self.refusals.add(now, 1.0);
            let spacing = CALL_SPACING.mul_f64(self.refusals.sum);
            let wait = refill_time(missing, rate).max(spacing).min(RETRY_AFTER_MAX);
            return QuotaGrant { units: 0.0, wait: wait_millis(wait) };
        }
        let level = self.kept.map_or(0.0, |kept| kept.level);
        let spare = (level - capacity * ADVANCE_LEVEL).max(0.0) * ADVANCE_SHARE;
        let advance = question.expected.clamp(0.0, spare);
        if let Some(kept) = &mut self.kept {
            kept.level -= advance;
        }
        self.spent.add(now, self.tolerance.window, advance);
        QuotaGrant { units: question.needed + advance, wait: 0 }
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&mut self, now: MonotonicInstant, cost: f64) {
        self.own_usage -= cost;
        self.hold(now, cost);
    }

    /// The units that this daemon has charged since it started.
    pub const fn own_usage(&self) -> f64 {
        self.own_usage
    }

    fn decide(
        &mut self,
        now: MonotonicInstant,
        cost: f64,
        keepers: &QuotaKeepers<A>,
    ) -> SharedQuotaDecision<A> {
        self.expire(now);
        if self.held.units >= cost {
            self.held.units -= cost;
            self.own_usage += cost;
            return SharedQuotaDecision::Admitted;
        }
        if self.take_local(now, cost, keepers.daemons) {
            return SharedQuotaDecision::Admitted;
        }
        let mut wait = RETRY_AFTER_MAX;
        if let Some(capacity) = self.refill(now, keepers.part) {
            let rate = self.rate();
            let returned = std::mem::take(&mut self.returned);
            if let Some(kept) = &mut self.kept {
                kept.level = (kept.level + returned).min(capacity);
            }
            match self.take_kept(now, cost, capacity) {
                Ok(()) => {
                    self.own_usage += cost;
                    return SharedQuotaDecision::Admitted;
                }
                Err(missing) => wait = wait.min(refill_time(missing, rate)),
            }
        }
        let count = keepers.others.len();
        for index in 0..count {
            // Begins with another one each time, so that all have about the same left.
            let keeper = &keepers.others[(index + self.calls) % count];
            match self.resting.get(keeper) {
                Some((until, _)) if *until > now => {
                    wait = wait.min(until.since(now));
                }
                _ => {
                    self.calls = self.calls.wrapping_add(1);
                    let expected = self.demand.sum * EXPECTED_SHARE;
                    let returned = std::mem::take(&mut self.returned);
                    let question = QuotaQuestion { needed: cost, expected, returned };
                    return SharedQuotaDecision::Ask(*keeper, question);
                }
            }
        }
        SharedQuotaDecision::RetryAfter(wait)
    }

    /// Takes units of this daemon's even share.
    fn take_local(&mut self, now: MonotonicInstant, cost: f64, daemons: u32) -> bool {
        let share = self.local_share() / f64::from(daemons.max(1));
        let capacity = (self.spec.burst + self.tolerance.slack) * share;
        self.local.refill(now, self.tolerance.rate(&self.spec) * share, capacity);
        if self.local.level < cost {
            return false;
        }
        self.local.level -= cost;
        self.own_usage += cost;
        true
    }

    /// Takes units of what this daemon keeps. Returns the missing units on failure.
    fn take_kept(&mut self, now: MonotonicInstant, units: f64, capacity: f64) -> Result<(), f64> {
        let window = self.tolerance.window;
        if units > capacity {
            let allowance =
                self.tolerance.allowance(&self.spec) * self.part * (1.0 - self.local_share());
            let excess = self.spent.get(now, window) + units - allowance;
            if excess > 0.0 {
                return Err(excess);
            }
        }
        self.kept.as_mut().map_or(Err(units), |kept| kept.take(units, capacity))?;
        self.spent.add(now, window, units);
        Ok(())
    }

    /// Refills what this daemon keeps and returns its capacity; `None` if it keeps nothing.
    fn refill(&mut self, now: MonotonicInstant, part: f64) -> Option<f64> {
        let before = std::mem::replace(&mut self.part, part);
        if part <= 0.0 {
            return None;
        }
        let capacity = self.capacity();
        let rate = self.rate();
        if before <= 0.0 {
            // The level may be negative from an earlier time as a keeper.
            let is_young = now.since(self.created) < START_TIME;
            let start = match self.kept {
                None if is_young => self.spec.burst * START_SHARE * part,
                None => -rate * TAKE_OVER_TIME.as_secs_f64(),
                Some(kept) => kept.level.min(0.0) - rate * TAKE_OVER_TIME.as_secs_f64(),
            };
            self.kept = Some(Bucket::new(now, start));
        }
        if let Some(kept) = &mut self.kept {
            kept.refill(now, rate, capacity);
        }
        Some(capacity)
    }

    /// The fraction of the quota that is not kept: none at a daemon that keeps the whole.
    fn local_share(&self) -> f64 {
        if self.part >= 1.0 { 0.0 } else { LOCAL_SHARE }
    }

    /// The most units that this daemon keeps.
    fn capacity(&self) -> f64 {
        self.tolerance.capacity(&self.spec) * self.part * (1.0 - self.local_share())
    }

    /// The rate at which what this daemon keeps is refilled.
    fn rate(&self) -> f64 {
        self.tolerance.rate(&self.spec) * self.part * (1.0 - self.local_share())
    }

    fn hold(&mut self, now: MonotonicInstant, units: f64) {
        self.expire(now);
        // Units that are held already don't last longer because others come.
        if self.held.units <= 0.0 {
            self.held.until = now + GRANT_TIME;
        }
        self.held.units += units;
    }

    /// Gives back units that were not used in time.
    fn expire(&mut self, now: MonotonicInstant) {
        if now >= self.held.until {
            self.returned += std::mem::take(&mut self.held.units);
        }
    }
}

fn refill_time(units: f64, rate: f64) -> Duration {
    let secs = units / rate.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(secs).unwrap_or(RETRY_AFTER_MAX).min(RETRY_AFTER_MAX)
}

fn wait_millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).saturating_add(1)
}

#[cfg(test)]
mod tests;
