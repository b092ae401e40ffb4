//! Tracks the known upstreams and routes each attempt to one of them by a [`Strategy`].

pub mod cache;
pub mod demand;
pub mod estimate;
pub mod strategy;
mod upstream;

pub use cache::CacheChange;
pub use demand::{Demand, LoadedModel};
pub use estimate::{EngineSpeed, Estimate};
pub use strategy::{Headroom, Strategy};

use crate::breaker::{BreakerTransition, FailureKind};
use rand::Rng;
use slotmap::{SlotMap, new_key_type};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Pool, Reachability, Version};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use strategy::Candidate;
use upstream::{Tier, Upstream};

new_key_type! {
    /// The key of an upstream in a [`Router`].
    pub struct UpstreamKey;

    /// The key of an attempt in flight in a [`Router`].
    pub struct AttemptKey;
}

/// Parameters of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterParams {
    /// The data centre of this daemon.
    pub home: DataCentre,
    /// The strategy that selects an upstream.
    pub strategy: Strategy,
    /// The engine speed assumed until attempts have been observed.
    pub speed: EngineSpeed,
    /// The fraction of the latency target that an estimate may use.
    pub headroom: Headroom,
    /// The ramp-up time during which the limit on attempts at a new or recovered upstream rises.
    pub slow_start: Duration,
    /// The network delay added to the expected time to the first token at an upstream in another
    /// data centre.
    pub remote_delay: Duration,
}

impl RouterParams {
    /// Default parameters for a daemon in the data centre `home`.
    pub fn new(home: DataCentre) -> Self {
        Self {
            home,
            strategy: Strategy::default(),
            speed: EngineSpeed::default(),
            headroom: Headroom::default(),
            slow_start: Duration::from_secs(10),
            remote_delay: Duration::from_millis(2),
        }
    }
}

/// An upstream as described by the instance list and the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInfo {
    /// The instance that the upstream runs on.
    pub instance: Instance,
    /// The pool that the instance belongs to.
    pub pool: Pool,
    /// The data centre of the instance.
    pub data_centre: DataCentre,
    /// The address that serves requests.
    pub address: SocketAddr,
    /// Whether the instance is marked as leaving; it gets no new attempts then.
    pub leaving: bool,
    /// The hourly price, in the deployment's currency.
    pub price: f64,
}

/// The load that an upstream reported for a past instant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// When the load was measured, by the monotonic clock of this daemon.
    pub taken: MonotonicInstant,
    /// The number of generations in the running batch.
    pub running: u32,
    /// The number of generations in the queue.
    pub waiting: u32,
    /// Prompt tokens that have not been prefilled yet.
    pub queued_tokens: u64,
    /// Model, adapters and role of the engine; `None` for a plain service.
    pub loaded: Option<LoadedModel>,
}

/// The upstream chosen for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The key to report progress and the end of the attempt with.
    pub key: AttemptKey,
    /// The instance of the chosen upstream.
    pub instance: Instance,
    /// The address that serves requests.
    pub address: SocketAddr,
    /// The version of the model weights loaded there, if reported.
    pub version: Option<Version>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The upstream sent a complete answer.
    Completed,
    /// The attempt was abandoned for a reason unrelated to the upstream.
    Cancelled,
    /// The upstream aborted the answer or returned an error.
    Failed,
    /// The upstream rejected the request before processing it, for example because it is busy.
    Refused,
    /// The connection to the upstream failed.
    Unreachable,
}

impl From<Reachability> for AttemptEnd {
    fn from(reachability: Reachability) -> Self {
        match reachability {
            Reachability::Reached => Self::Refused,
            Reachability::Unreachable => Self::Unreachable,
        }
    }
}

/// Bookkeeping for an attempt in flight.
#[derive(Debug)]
struct InFlightAttempt {
    upstream: UpstreamKey,
    started: MonotonicInstant,
    expected: Estimate,
    /// The time and total token count of the last progress update.
    last_progress: Option<(MonotonicInstant, u32)>,
}

/// Known upstreams and the attempts in flight at each of them.
#[derive(Debug)]
pub struct Router {
    params: RouterParams,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    attempts: SlotMap<AttemptKey, InFlightAttempt>,
    by_instance: HashMap<Instance, UpstreamKey>,
    by_pool: HashMap<Pool, Vec<UpstreamKey>>,
    /// Instances that have ever been marked as leaving.
    leaving_instances: HashSet<Instance>,
    /// The number of upstreams chosen so far; the position of [`Strategy::RoundRobin`].
    round_robin_position: usize,
}

impl Router {
    /// Creates a router without upstreams.
    pub fn new(params: RouterParams) -> Self {
        Self {
            params,
            upstreams: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            by_instance: HashMap::new(),
            by_pool: HashMap::new(),
            leaving_instances: HashSet::new(),
            round_robin_position: 0,
        }
    }

    /// Replaces the known upstreams by the instance list. An instance once marked as leaving stays
    /// so, even if a stale list lacks the mark or lists the instance again after it was gone.
    pub fn on_listing(&mut self, now: MonotonicInstant, listing: Vec<UpstreamInfo>) {
        let listed: HashSet<Instance> = listing.iter().map(|info| info.instance.clone()).collect();
        let first = self.upstreams.is_empty();
        for info in listing {
            self.on_listed((!first).then_some(now), info);
        }
        self.by_instance.retain(|instance, key| {
            let kept = listed.contains(instance);
            if !kept {
                self.upstreams.remove(*key);
            }
            kept
        });
        self.index();
    }

    fn on_listed(&mut self, since: Option<MonotonicInstant>, info: UpstreamInfo) {
        if info.leaving {
            self.leaving_instances.insert(info.instance.clone());
        }
        let leaving = self.leaving_instances.contains(&info.instance);
        let info = UpstreamInfo { leaving, ..info };
        if let Some(key) = self.by_instance.get(&info.instance) {
            self.upstreams[*key].info = info;
            return;
        }
        let instance = info.instance.clone();
        let key = self.upstreams.insert(Upstream::new(info, since));
        self.by_instance.insert(instance, key);
    }

    fn index(&mut self) {
        let mut keys: Vec<_> = self.upstreams.iter().collect();
        keys.sort_by(|(_, a), (_, b)| a.info.instance.cmp(&b.info.instance));
        self.by_pool.clear();
        for (key, upstream) in keys {
            self.by_pool.entry(upstream.info.pool.clone()).or_default().push(key);
        }
    }

    /// Marks an upstream as leaving; the mark is never removed.
    pub fn on_leaving(&mut self, instance: &Instance) {
        self.leaving_instances.insert(instance.clone());
        if let Some(key) = self.by_instance.get(instance) {
            self.upstreams[*key].info.leaving = true;
        }
    }

    /// Records a load report of an upstream.
    pub fn on_report(&mut self, instance: &Instance, report: UpstreamLoad) {
        let Some(key) = self.by_instance.get(instance) else {
            return;
        };
        let taken = report.taken;
        let here =
            |attempt: &&InFlightAttempt| attempt.upstream == *key && attempt.started <= taken;
        let own = self.attempts.values().filter(here).count();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        self.upstreams[*key].on_report(report, own, &self.params.speed);
    }

    /// Records prefix cache events of an upstream; `next` is the sequence number of the event to
    /// request next.
    pub fn on_cache_events(
        &mut self,
        instance: &Instance,
        next: u64,
        events: &[(u64, CacheChange)],
    ) {
        if let Some(key) = self.by_instance.get(instance) {
            self.upstreams[*key].cache.on_events(next, events);
        }
    }

    /// The sequence number of the cache event to request from an upstream next.
    pub fn next_cache_event(&self, instance: &Instance) -> u64 {
        let key = self.by_instance.get(instance);
        key.map_or(0, |key| self.upstreams[*key].cache.next())
    }

    /// The number of upstreams in each pool that are not leaving.
    pub fn counts(&self) -> BTreeMap<Pool, u32> {
        let mut counts = BTreeMap::new();
        for upstream in self.upstreams.values() {
            let count: &mut u32 = counts.entry(upstream.info.pool.clone()).or_default();
            *count += u32::from(!upstream.info.leaving);
        }
        counts
    }

    /// The `count` upstreams with the most attempts in flight, in descending order.
    pub fn busiest(&self, count: usize) -> Vec<(Instance, SocketAddr)> {
        let mut busy: Vec<_> =
            self.upstreams.values().filter(|upstream| !upstream.info.leaving).collect();
        busy.sort_by(|a, b| {
            let running = b.running.cmp(&a.running);
            running.then_with(|| a.info.instance.cmp(&b.info.instance))
        });
        busy.truncate(count);
        busy.into_iter().map(|up| (up.info.instance.clone(), up.info.address)).collect()
    }

    /// Chooses an upstream for a request and starts an attempt there; `None` if no upstream can
    /// serve it. Upstreams with an open circuit breaker are used only if every breaker is open.
    pub fn choose(
        &mut self,
        now: MonotonicInstant,
        demand: &Demand,
        excluded: &[Instance],
        generator: &mut impl Rng,
    ) -> Option<Route> {
        let candidates = self.candidates(now, demand, excluded);
        let RouterParams { strategy, speed, headroom, .. } = &self.params;
        let chosen =
            strategy.choose(&candidates, self.round_robin_position, demand, headroom, generator)?;
        self.round_robin_position = self.round_robin_position.wrapping_add(1);
        let upstream = &mut self.upstreams[chosen.key];
        upstream.on_start(now, demand, speed, chosen.estimate.uncached);
        let key = self.attempts.insert(InFlightAttempt {
            upstream: chosen.key,
            started: now,
            expected: chosen.estimate,
            last_progress: None,
        });
        let UpstreamInfo { instance, address, .. } = upstream.info.clone();
        let version = upstream.loaded.as_ref().and_then(|loaded| loaded.version.clone());
        Some(Route { key, instance, address, version })
    }

    fn candidates(
        &self,
        now: MonotonicInstant,
        demand: &Demand,
        excluded: &[Instance],
    ) -> Vec<Candidate> {
        let keys = demand.pools.iter().filter_map(|pool| self.by_pool.get(pool)).flatten();
        let mut best = Tier::BreakerOpen;
        let mut candidates = Vec::new();
        for key in keys {
            let upstream = &self.upstreams[*key];
            if !upstream.can_serve(demand) || excluded.contains(&upstream.info.instance) {
                continue;
            }
            let tier = upstream.tier(now, &self.params);
            if tier > best {
                continue;
            }
            if tier < best {
                candidates.clear();
                best = tier;
            }
            let estimate = upstream.estimate(now, demand, &self.params);
            candidates.push(Candidate { key: *key, running: upstream.running, estimate });
        }
        candidates
    }

    /// Records that an attempt has produced `tokens` tokens in total.
    pub fn on_progress(&mut self, now: MonotonicInstant, key: AttemptKey, tokens: u32) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let previous = attempt.last_progress.replace((now, tokens));
        let Some(upstream) = self.upstreams.get_mut(attempt.upstream) else {
            return;
        };
        let Some((at, count)) = previous else {
            let observed = now.since(attempt.started).as_secs_f64();
            upstream.prefill_correction.observe(observed, attempt.expected.first_token);
            return;
        };
        let new = tokens.saturating_sub(count);
        if new > 0 {
            let observed = now.since(at).as_secs_f64() / f64::from(new);
            let expected = self.params.speed.step(upstream.batch(now));
            upstream.decode_correction.observe(observed, expected);
        }
    }

    /// Removes a finished attempt and updates the circuit breaker of its upstream.
    pub fn on_end(&mut self, now: MonotonicInstant, key: AttemptKey, end: AttemptEnd) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(attempt.upstream) else {
            return;
        };
        upstream.on_end(now, attempt.started);
        let breaker = &mut upstream.breaker;
        let changed = match end {
            AttemptEnd::Completed => breaker.on_success(),
            AttemptEnd::Cancelled => BreakerTransition::Unchanged,
            AttemptEnd::Refused => {
                upstream.refused_at = Some(now);
                BreakerTransition::Unchanged
            }
            AttemptEnd::Failed => breaker.on_failure(now, attempt.started, FailureKind::Failed),
            AttemptEnd::Unreachable => {
                breaker.on_failure(now, attempt.started, FailureKind::Unreachable)
            }
        };
        if changed == BreakerTransition::Recovered {
            upstream.slow_start_since = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
