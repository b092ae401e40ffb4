//! When a daemon reads the registrations of the upstreams, so that it acts on every leaving
//! upstream within a given time after the store has acknowledged it.
//!
//! A daemon learns of most leaving upstreams from the others. It does not rely on when they read
//! the store: it tracks up to which moment its own knowledge is complete, from its own reads and
//! from what its peers say of theirs, and reads the store itself before that moment is too long
//! ago. The bound therefore holds at any number of daemons, and whatever happens to the others.

use crate::upstream_registry::LEAVING_GOSSIP_PERIOD;
use rand::{Rng, RngExt};
use spindle_types::MonotonicInstant;
use std::ops::RangeInclusive;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Interval between two reads across all daemons, which tell each other about leaving upstreams.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum mean interval between two reads by one daemon, so that it soon uses new upstreams.
const READ_INTERVAL_MAX: Duration = Duration::from_secs(4);

/// Mean number of daemons that wait for a configuration change at the store at the same time. The
/// others hear of it from them.
const CONFIG_READERS: u32 = 24;

/// Minimum time for which a daemon leaves it to the others to bring a configuration that it knows of.
/// It may wait for up to twice as long.
const PEERS_PATIENCE: Duration = Duration::from_millis(200);

/// Range of the factor by which an interval is varied at random, so that the reads of different
/// daemons drift apart.
const INTERVAL_FACTOR: RangeInclusive<f64> = 0.75..=1.25;

/// Range of the factor by which the maximum age is varied at random. The daemons whose knowledge is
/// equally old don't all read: the first ones inform the others.
const AGE_FACTOR: RangeInclusive<f64> = 0.8..=1.0;

/// Why a read is due.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ReadReason {
    /// This daemon's share of the reads that look for new upstreams.
    Interval,
    /// Neither this daemon nor a peer that it heard of has read the store recently enough.
    Age,
    /// A decision needs registrations that are newer than those known.
    Question,
}

/// The reads of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    max_age: Duration,
    /// When the last successful read was sent.
    last_read: Option<MonotonicInstant>,
    /// This daemon knows every upstream whose leaving was acknowledged before this moment.
    complete_until: Option<MonotonicInstant>,
    interval_factor: f64,
    age_factor: f64,
    /// Whether all daemons may read at the same moment as this one, when they started or when the
    /// store came back.
    in_step: bool,
}

impl ReadSchedule {
    /// Creates the schedule of a daemon that has not read yet. `max_age` is the longest time for
    /// which it may miss the leaving of an upstream while the store answers.
    pub const fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            last_read: None,
            complete_until: None,
            interval_factor: 1.0,
            age_factor: 1.0,
            in_step: true,
        }
    }

    /// Records that all registrations up to the end of the feed have been read by a call sent at
    /// `sent`.
    pub fn on_read(&mut self, sent: MonotonicInstant, generator: &mut impl Rng) {
        self.last_read = Some(sent);
        self.complete_until = self.complete_until.max(Some(sent));
        let interval_factor = if self.in_step { 0.0..=1.0 } else { INTERVAL_FACTOR };
        self.interval_factor = generator.random_range(interval_factor);
        self.age_factor = generator.random_range(AGE_FACTOR);
        self.in_step = false;
    }

    /// Records a disturbance of the store, after which all daemons may read at the same moment.
    pub const fn on_disturbance(&mut self) {
        self.in_step = true;
    }

    /// Records the answer of a peer to a call sent at `sent`: all leaving upstreams that the peer
    /// reports are known here, and it reports those acknowledged up to `age` before its answer.
    ///
    /// A peer reports them only for [`LEAVING_GOSSIP_PERIOD`]. If this daemon's knowledge is older
    /// than that, the answer doesn't complete it.
    pub fn on_peer(&mut self, now: MonotonicInstant, sent: MonotonicInstant, age: Duration) {
        if self.age(now).is_some_and(|own| own < LEAVING_GOSSIP_PERIOD) {
            self.complete_until = self.complete_until.max(Some(sent - age));
        }
    }

    /// When the last successful read was sent.
    pub const fn last_read(&self) -> Option<MonotonicInstant> {
        self.last_read
    }

    /// The time for which this daemon may have missed the leaving of an upstream; none before its
    /// first read.
    pub fn age(&self, now: MonotonicInstant) -> Option<Duration> {
        self.complete_until.map(|until| now.since(until))
    }

    /// When the next read is due among `daemon_count` live daemons, and why. Peers that answer
    /// meanwhile postpone it.
    pub fn next_read(&self, daemon_count: u32) -> (MonotonicInstant, ReadReason) {
        let (Some(last_read), Some(complete_until)) = (self.last_read, self.complete_until) else {
            return (MonotonicInstant::default(), ReadReason::Interval);
        };
        let interval = read_interval(daemon_count).mul_f64(self.interval_factor);
        let by_interval = (last_read + interval, ReadReason::Interval);
        let by_age = (complete_until + self.max_age.mul_f64(self.age_factor), ReadReason::Age);
        if by_age.0 < by_interval.0 { by_age } else { by_interval }
    }

    /// The longest interval between two reads by one of `daemon_count` live daemons.
    pub fn interval_max(daemon_count: u32) -> Duration {
        read_interval(daemon_count).mul_f64(*INTERVAL_FACTOR.end())
    }
}

/// How long one of `daemon_count` live daemons rests between two reads of the configuration, each of
/// which waits for a change for up to `wait`. `draw` is a random number from 0 to 1: a daemon rests
/// for as long as a read takes, or not at all, so that the same share of the daemons waits at the
/// store even if all started together. With few daemons each one always does.
pub fn config_rest(daemon_count: u32, wait: Duration, draw: f64) -> Duration {
    let reads = draw * f64::from(daemon_count) < f64::from(CONFIG_READERS);
    if reads { Duration::ZERO } else { wait }
}

/// How long a daemon that knows since `behind_since` of a newer configuration still leaves it to the
/// others to bring it, before it reads the store itself. `draw` is a random number from 0 to 1, so that
/// the daemons that a change has not reached don't all read at the same moment.
pub fn time_until_read(
    now: MonotonicInstant,
    behind_since: MonotonicInstant,
    draw: f64,
) -> Duration {
    let patience = PEERS_PATIENCE.mul_f64(1.0 + draw);
    patience.saturating_sub(now.since(behind_since))
}

/// The mean interval between two reads by one of `daemon_count` live daemons.
fn read_interval(daemon_count: u32) -> Duration {
    (READ_INTERVAL * daemon_count.max(1)).min(READ_INTERVAL_MAX)
}

#[cfg(test)]
mod tests;
