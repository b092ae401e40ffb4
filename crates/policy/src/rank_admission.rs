//! Admits requests by the priority rank of their teams or routes when more work is offered to a
//! service than its upstreams can do.
//!
//! An engine prefills the prompts that it has accepted side by side, whatever their rank. Once more
//! work arrives than it can do, the most urgent requests are therefore as late as all others, and
//! only requests that are never sent relieve it. Every daemon decides alone and at once, from the
//! load that all daemons report in their statuses, its own arrivals since, and the delays and queues
//! that upstreams' responses show.
//!
//! The capacity of the upstreams is learnt: queueing lowers it to the work that was let in, and it
//! rises while responses are prompt and requests are refused.

mod arrivals;
mod pressure;
mod teams;

use arrivals::{Arrivals, NOW_WINDOW};
use pressure::Pressure;
use serde::{Deserialize, Serialize};
use spindle_types::{MonotonicInstant, Team};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use teams::TeamShares;

/// The fraction of a rank's requests that are admitted however much more urgent work is offered.
pub const RANK_FLOOR: f64 = 0.3;

/// The same for attempts. A refused caller comes back once, so two draws admit [`RANK_FLOOR`].
const ATTEMPT_FLOOR: f64 = 0.163_34;

/// The fraction of the limit that the floors of all ranks may take. Beyond about three times the
/// capacity, the floors together would overload the upstreams.
const FLOORS_SHARE: f64 = 0.95;

/// The lowest rank, which is the lowest priority that an engine takes. Bounds the ranks of a service.
const RANK_MAX: u8 = 9;

/// The fraction of the capacity up to which everything is admitted while no queue shows.
const FREE_LOAD: f64 = 0.85;

/// The work of a plain call, in prompt tokens. Only its ratio to other calls of a service matters.
pub const PLAIN_CALL_WORK: f64 = 1_000.0;

/// The queue pressure that the learnt capacity aims at. A pressure of 1 is a first byte of the most
/// urgent rank at its target; lower ones leave upstreams idle between uneven arrivals.
const PRESSURE_AIM: f64 = 0.5;

/// The queue pressure above which requests wait although the load is within the capacity learnt.
const PRESSURE_HIGH: f64 = 1.0;

/// The first estimate of the capacity is at most this multiple of the work done just before: what a
/// daemon with few requests takes for the load is often too high at the moment when a queue shows.
const FIRST_FACTOR: f64 = 2.0;

/// The fraction of the load from which on the work done is taken into account for that estimate. Less
/// shows that reports are missing.
const FIRST_BEGUN_MIN: f64 = 0.2;

/// How fast the learnt capacity follows the work that busy upstreams do, per second.
const MEASURE_PER_S: f64 = 2.0;

/// How fast the learnt capacity falls at most, per second. Work of which a part is done counts only
/// when its response begins, so less work seems to be done while a queue grows.
const FALL_MAX_PER_S: f64 = 0.3;

/// How fast the learnt capacity rises, per second and unit of pressure below the aim.
const RISE_PER_S: f64 = 1.5;

/// The learnt capacity rises no further than this multiple of the work done. Estimates of the offered
/// work may be too high, but what is done is measured.
const BEGUN_FACTOR_MAX: f64 = 1.15;

/// The time constant with which offered work beyond the capacity is forgotten: most callers that
/// were refused have come back or given up by then.
const EXCESS_MEMORY: Duration = Duration::from_secs(4);

/// The fraction of the capacity that is left unused per unit of pressure above the aim, so that the
/// queue drains.
const DRAIN_SHARE: f64 = 1.2;

/// The largest fraction of the capacity that is left unused.
const DRAIN_SHARE_MAX: f64 = 0.6;

/// The fraction of the capacity that the first rank may use while a queue drains. Its requests are
/// refused for a queue only if refusing those of all other ranks is not enough.
const URGENT_SHARE: f64 = 0.7;

/// The fraction of the capacity that is admitted beyond it while no queue shows at all: the estimates
/// of load and capacity are uncertain, and a queue will show if they are right.
const QUIET_SLACK: f64 = 0.2;

/// The weight of the other daemons' capacity in the learnt one, per second. Without it, daemons that
/// see few responses drift apart.
const PEER_WEIGHT_PER_S: f64 = 0.5;

/// The longest time between two steps of the learnt capacity, so that a pause in the requests does
/// not count as proof of free capacity.
const STEP_MAX: Duration = Duration::from_millis(100);

/// The delay of lower ranks' retries, as a fraction of the time for which the excess lasts, per rank.
const STAGGER_PER_RANK: f64 = 0.25;

/// The longest delay that a refusal names.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// The number of refused requests that are remembered, to recognise a caller's retry.
const REFUSED_MAX: usize = 256;

/// How long a refused request is remembered.
const REFUSED_LIFETIME: Duration = Duration::from_secs(10);

/// The factor of the draw of a retried request: it is admitted about twice as often as a new one.
const RETRY_DRAW: f64 = 0.5;

/// A change of an admitted fraction that is reported.
const REPORTED_CHANGE: f64 = 0.1;

/// The shortest time between two reports of a service.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The urgency of a request; 0 is the most urgent. Larger priorities count as the lowest rank.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(from = "u8", into = "u8")]
pub struct Rank(u8);

impl From<u8> for Rank {
    fn from(priority: u8) -> Self {
        Self(priority.min(RANK_MAX))
    }
}

impl From<u32> for Rank {
    fn from(priority: u32) -> Self {
        Self(u8::try_from(priority).unwrap_or(RANK_MAX).min(RANK_MAX))
    }
}

impl From<Rank> for u8 {
    fn from(rank: Rank) -> Self {
        rank.0
    }
}

impl std::fmt::Display for Rank {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// What one daemon reports of a service with ranks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankLoad {
    /// Work that callers offer to this daemon, in prompt tokens per second.
    pub offered: BTreeMap<Rank, f32>,
    /// Work of this daemon's requests whose responses begin, in prompt tokens per second.
    #[serde(default)]
    pub begun: f32,
    /// Queue pressure at the upstreams; above 1, requests wait longer than is acceptable.
    #[serde(default)]
    pub pressure: f32,
    /// Learnt capacity of one upstream for all daemons, in prompt tokens per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<f32>,
}

/// The inputs of the decision on one request.
#[derive(Clone, Copy, Debug)]
pub struct RankRequest<'a> {
    /// The rank of its team or route.
    pub rank: Rank,
    /// The team that it belongs to.
    pub team: Option<&'a Team>,
    /// What it asks of an upstream, in prompt tokens.
    pub work: f64,
    /// The time left until its deadline.
    pub left: Duration,
    /// A hash of what stays the same when a caller sends the request again.
    pub content: u64,
}

/// The decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RankDecision {
    /// It may be sent to an upstream.
    Admit,
    /// It is refused.
    Refuse {
        /// The time until the excess of its rank has been worked off.
        retry_after: Duration,
    },
}

/// A changed fraction of a rank, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FractionChange {
    /// The rank.
    pub rank: Rank,
    /// The fraction of its requests that is admitted.
    pub fraction: f64,
    /// Work offered to all daemons by all ranks, in prompt tokens per second.
    pub offered: f64,
    /// Learnt capacity of all usable upstreams, in prompt tokens per second; 0 if unknown.
    pub capacity: f64,
    /// Smoothed queue pressure; above 1, requests wait longer than is acceptable.
    pub pressure: f64,
    /// Mean age of the other daemons' reports.
    pub age: Duration,
}

/// What the other daemons report, as of the latest call of [`RankAdmission::on_peers`].
#[derive(Debug, Default)]
struct PeerSums {
    offered: BTreeMap<Rank, f64>,
    begun: f64,
    pressure: f64,
    count: usize,
    /// When the reports were made, on average.
    at: MonotonicInstant,
    /// Median of the peers' learnt capacity of one upstream.
    capacity: Option<f64>,
}

/// Admits requests for one service at one daemon.
#[derive(Debug)]
pub struct RankAdmission {
    /// The shortest target latency among the ranks of the service.
    target: Duration,
    arrivals: BTreeMap<Rank, Arrivals>,
    teams: BTreeMap<Rank, TeamShares>,
    pressure: Pressure,
    peers: PeerSums,
    /// The number of upstreams that may get requests.
    upstreams: f64,
    /// Learnt capacity of one upstream, in prompt tokens per second.
    capacity: Option<f64>,
    /// Work beyond the capacity that has been offered and not yet made up for, in seconds of the
    /// capacity.
    excess_s: f64,
    stepped_at: MonotonicInstant,
    fractions: BTreeMap<Rank, f64>,
    refused: VecDeque<(u64, MonotonicInstant)>,
    reported: BTreeMap<Rank, f64>,
    reported_at: MonotonicInstant,
}

impl RankAdmission {
    /// Creates the admission of a service of which nothing is known. `target` is the shortest target
    /// latency among its ranks.
    pub fn new(now: MonotonicInstant, target: Duration) -> Self {
        Self {
            target,
            arrivals: BTreeMap::new(),
            teams: BTreeMap::new(),
            pressure: Pressure::default(),
            peers: PeerSums::default(),
            upstreams: 1.0,
            capacity: None,
            excess_s: 0.0,
            stepped_at: now,
            fractions: BTreeMap::new(),
            refused: VecDeque::new(),
            reported: BTreeMap::new(),
            reported_at: now,
        }
    }

    /// Sets the shortest target latency among the ranks of the service.
    pub const fn set_target(&mut self, target: Duration) {
        self.target = target;
    }

    /// Takes the reports of the live daemons, each with its age, and the number of upstreams that
    /// may get requests. To be called several times a second.
    pub fn on_peers<'a>(
        &mut self,
        now: MonotonicInstant,
        reports: impl Iterator<Item = (Duration, &'a RankLoad)>,
        upstreams: usize,
    ) {
        let mut sums = PeerSums::default();
        let (mut age, mut capacities) = (Duration::ZERO, Vec::new());
        for (report_age, load) in reports {
            sums.count += 1;
            age += report_age;
            sums.begun += valid(load.begun).unwrap_or_default();
            sums.pressure += valid(load.pressure).unwrap_or_default();
            for (rank, offered) in &load.offered {
                *sums.offered.entry(*rank).or_default() += valid(*offered).unwrap_or_default();
            }
            capacities.extend(load.capacity.and_then(valid));
        }
        let count = u32::try_from(sums.count).unwrap_or(u32::MAX).max(1);
        sums.at = now - age / count;
        sums.pressure /= f64::from(count);
        capacities.sort_by(f64::total_cmp);
        sums.capacity = capacities.get(capacities.len() / 2).copied();
        self.peers = sums;
        self.upstreams = upstreams.max(1) as f64;
        self.capacity = self.capacity.or(self.peers.capacity);
    }

    /// Records the queue that an upstream reports in a response, or that it is full.
    pub fn on_response(&mut self, now: MonotonicInstant, waiting: u32, slots: u32, refused: bool) {
        self.pressure.on_queue(now, waiting, slots, refused);
        self.step(now);
    }

    /// Records that an admitted request waits for its first byte from now on.
    pub fn on_waiting(&mut self, now: MonotonicInstant, rank: Rank) {
        self.pressure.on_waiting(now, rank);
    }

    /// Records that a request that had been waiting since `sent` ended without a first byte.
    pub fn on_abandoned(&mut self, sent: MonotonicInstant, rank: Rank) {
        self.pressure.on_end(sent, rank);
    }

    /// Records the time from sending a request, which was recorded as waiting, to its first byte.
    pub fn on_first_byte(
        &mut self,
        now: MonotonicInstant,
        rank: Rank,
        work: f64,
        latency: Duration,
    ) {
        let is_first = self.arrivals.keys().next().is_none_or(|first| rank <= *first);
        self.pressure.on_first_byte(now, (rank, is_first), (work, latency), self.target);
        self.step(now);
    }

    /// Decides on a new request. `draw` is evenly distributed between 0 and 1 and differs between
    /// the attempts of a caller.
    pub fn decide(
        &mut self,
        now: MonotonicInstant,
        request: &RankRequest<'_>,
        draw: f64,
    ) -> RankDecision {
        self.step(now);
        let fraction = self.fractions.get(&request.rank).copied().unwrap_or(1.0);
        let teams = self.teams.entry(request.rank).or_default();
        let fraction = teams.fraction(now, request.team, fraction);
        teams.on_request(now, request.team, request.work);
        self.arrivals.entry(request.rank).or_default().on_request(now, request.work);
        let in_time = self.pressure.delay(now) <= request.left;
        if in_time && fraction >= 1.0 {
            return RankDecision::Admit;
        }
        let is_retry = self.forget_refused(now, request.content);
        if in_time && draw * if is_retry { RETRY_DRAW } else { 1.0 } < fraction {
            return RankDecision::Admit;
        }
        if self.refused.len() >= REFUSED_MAX {
            self.refused.pop_front();
        }
        self.refused.push_back((request.content, now));
        RankDecision::Refuse { retry_after: self.retry_after(request.rank, draw) }
    }

    /// What this daemon reports to the others; none if it has had no request lately and has learnt
    /// nothing.
    pub fn own_load(&self, now: MonotonicInstant) -> Option<RankLoad> {
        let offered = self
            .arrivals
            .iter()
            .map(|(rank, arrivals)| (*rank, arrivals.work_rate(now, NOW_WINDOW) as f32));
        let offered: BTreeMap<Rank, f32> = offered.filter(|(_, work)| *work > 0.0).collect();
        let capacity = self.capacity.map(|capacity| capacity as f32);
        let pressure = self.pressure.level(now) as f32;
        let begun = self.pressure.begun_rate(now) as f32;
        let load = RankLoad { offered, begun, pressure, capacity };
        let has_work = !load.offered.is_empty() || begun > 0.0;
        (has_work || capacity.is_some()).then_some(load)
    }

    /// The fraction of each rank that is admitted now. Ranks without recent requests are left out.
    pub const fn fractions(&self) -> &BTreeMap<Rank, f64> {
        &self.fractions
    }

    /// The fractions that have changed noticeably since they were last reported here.
    pub fn take_changes(&mut self, now: MonotonicInstant) -> Vec<FractionChange> {
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return Vec::new();
        }
        let (offered, capacity) = (self.offered(now), self.total_capacity().unwrap_or_default());
        let mut changes = Vec::new();
        for (rank, fraction) in &self.fractions {
            let before = self.reported.get(rank).copied().unwrap_or(1.0);
            let is_end = *fraction >= 1.0 && before < 1.0;
            if (fraction - before).abs() <= REPORTED_CHANGE && !is_end {
                continue;
            }
            self.reported.insert(*rank, *fraction);
            self.reported_at = now;
            changes.push(FractionChange {
                rank: *rank,
                fraction: *fraction,
                offered: offered.values().sum(),
                capacity,
                pressure: self.pressure.level(now),
                age: now.since(self.peers.at),
            });
        }
        changes
    }

    /// Updates the learnt capacity and the admitted fractions.
    fn step(&mut self, now: MonotonicInstant) {
        let elapsed_s = now.since(self.stepped_at).min(STEP_MAX).as_secs_f64();
        self.stepped_at = now;
        let offered = self.offered(now);
        let total: f64 = offered.values().sum();
        let admitted: f64 = offered
            .iter()
            .map(|(rank, work)| work * self.fractions.get(rank).copied().unwrap_or(1.0))
            .sum();
        let pressure = self.pressure.level(now);
        self.learn(now, admitted, pressure, elapsed_s);
        let Some(capacity) = self.total_capacity() else {
            self.fractions = offered.keys().map(|rank| (*rank, 1.0)).collect();
            return;
        };
        let is_free = total <= FREE_LOAD * capacity && pressure < PRESSURE_HIGH;
        let drained = ((pressure - PRESSURE_AIM) * DRAIN_SHARE).clamp(0.0, DRAIN_SHARE_MAX);
        let first = offered.values().next().copied().unwrap_or_default();
        let urgent = first + (total - first) * ATTEMPT_FLOOR * (1.0 - drained);
        let is_urgent_met = urgent <= capacity * URGENT_SHARE;
        let drained_limit =
            (capacity * (1.0 - drained)).max(if is_urgent_met { urgent } else { 0.0 });
        let slack = 1.0 + QUIET_SLACK * (1.0 - pressure / PRESSURE_AIM).max(0.0);
        let limit = if is_free { f64::INFINITY } else { drained_limit * slack };
        self.fractions = fractions(&offered, limit, ATTEMPT_FLOOR * (1.0 - drained));
        let kept = (-elapsed_s / EXCESS_MEMORY.as_secs_f64()).exp();
        self.excess_s = (self.excess_s * kept + (total / capacity - 1.0) * elapsed_s).max(0.0);
    }

    /// Adapts the learnt capacity, given the work that all daemons let in and the queue pressure.
    fn learn(&mut self, now: MonotonicInstant, admitted: f64, pressure: f64, elapsed_s: f64) {
        if admitted <= 0.0 {
            return;
        }
        let reached = admitted / self.upstreams;
        let Some(capacity) = self.capacity else {
            let begun = self.begun(now);
            let is_known = begun > reached * FIRST_BEGUN_MIN;
            let first = if is_known { reached.min(begun * FIRST_FACTOR) } else { reached };
            self.capacity = (pressure > PRESSURE_HIGH).then_some(first);
            return;
        };
        let towards = |capacity: f64, goal: f64, per_s: f64| {
            capacity + (goal - capacity) * (per_s * elapsed_s).min(1.0)
        };
        let shared = self.peers.capacity.unwrap_or(capacity);
        let mut capacity = towards(capacity, shared, PEER_WEIGHT_PER_S);
        let begun = self.begun(now);
        if pressure > PRESSURE_HIGH {
            // Reports from before the queue grew show the load of that time and not the capacity.
            if self.peers.count == 0 || self.peers.pressure > PRESSURE_HIGH {
                let lowest = capacity * (-FALL_MAX_PER_S * elapsed_s).exp();
                capacity = towards(capacity, begun.min(capacity), MEASURE_PER_S).max(lowest);
            }
        } else if pressure < PRESSURE_AIM
            && reached > capacity * FREE_LOAD
            && capacity < begun * BEGUN_FACTOR_MAX
        {
            capacity *= (RISE_PER_S * (PRESSURE_AIM - pressure) * elapsed_s).exp();
        }
        self.capacity = Some(capacity);
    }

    /// The work that each upstream does for all daemons, in prompt tokens per second. While requests
    /// queue everywhere, it is the capacity of an upstream.
    fn begun(&self, now: MonotonicInstant) -> f64 {
        (self.peers.begun + self.pressure.begun_rate(now)) / self.upstreams
    }

    /// Learnt capacity of all usable upstreams, in prompt tokens per second.
    fn total_capacity(&self) -> Option<f64> {
        self.capacity.map(|capacity| capacity * self.upstreams)
    }

    /// The work offered to all daemons now, in prompt tokens per second: what the others reported,
    /// corrected by how this daemon's own arrivals have changed since.
    fn offered(&self, now: MonotonicInstant) -> BTreeMap<Rank, f64> {
        let state = (now.since(self.peers.at), self.pressure.level(now));
        let mut offered = BTreeMap::new();
        for (rank, reported) in &self.peers.offered {
            offered.insert(*rank, *reported);
        }
        for (rank, arrivals) in &self.arrivals {
            let reported = offered.get(rank).copied().unwrap_or_default();
            let peers = arrivals.corrected(now, state, reported, self.peers.count);
            offered.insert(*rank, peers + arrivals.work_rate(now, NOW_WINDOW));
        }
        offered.retain(|_, work| *work > 0.0);
        offered
    }

    /// The time until the excess has been worked off, later for lower ranks and with jitter.
    fn retry_after(&self, rank: Rank, draw: f64) -> Duration {
        let ranks_above = self.fractions.range(..rank).count() as f64;
        let stagger = 1.0 + STAGGER_PER_RANK * (ranks_above + draw);
        Duration::from_secs_f64(self.excess_s * stagger).min(RETRY_AFTER_MAX)
    }

    /// Whether a request has been refused here lately. Forgets it if so.
    fn forget_refused(&mut self, now: MonotonicInstant, content: u64) -> bool {
        let is_old = |at: &MonotonicInstant| now.since(*at) > REFUSED_LIFETIME;
        while self.refused.front().is_some_and(|(_, at)| is_old(at)) {
            self.refused.pop_front();
        }
        let found = self.refused.iter().position(|(refused, _)| *refused == content);
        found.and_then(|found| self.refused.remove(found)).is_some()
    }
}

/// The fraction of each rank that is admitted so that the work stays within `limit`: the floor of
/// each rank first, then the rest of each rank in their order.
fn fractions(offered: &BTreeMap<Rank, f64>, limit: f64, floor: f64) -> BTreeMap<Rank, f64> {
    let total: f64 = offered.values().sum();
    let floor = floor.min(limit * FLOORS_SHARE / total);
    let mut free = (limit - total * floor).max(0.0);
    let fraction = |(rank, work): (&Rank, &f64)| {
        let given = (work * (1.0 - floor)).min(free);
        free -= given;
        let fraction = floor + given / work;
        // Rounding must not refuse a rank that fits.
        (*rank, if fraction > 1.0 - 1e-9 { 1.0 } else { fraction })
    };
    offered.iter().map(fraction).collect()
}

/// A figure that another daemon reports, unless no sum can be made of it.
fn valid(figure: f32) -> Option<f64> {
    (figure.is_finite() && figure > 0.0).then_some(f64::from(figure))
}

#[cfg(test)]
mod tests;
