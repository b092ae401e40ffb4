//! The choice of an upstream.

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
use spindle_types::{Contact, DataCentre, Instance, MonotonicInstant, Pool, Version};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use strategy::Candidate;
use upstream::{Tier, Upstream};

new_key_type! {
    /// An upstream known to the router.
    pub struct UpstreamKey;

    /// An attempt in flight.
    pub struct AttemptKey;
}

/// How the router chooses.
#[derive(Clone, Debug)]
pub struct RouterParams {
    /// The data centre of this daemon.
    pub home: DataCentre,
    /// How an upstream is chosen.
    pub strategy: Strategy,
    /// The speed of engines before any is observed.
    pub speed: EngineSpeed,
    /// The share of the latency target that an estimate may use.
    pub headroom: Headroom,
    /// The time over which a new or returning upstream is given more and more.
    pub slow_start: Duration,
    /// What the way to another data centre adds to the first token.
    pub remote_delay: Duration,
}

impl RouterParams {
    /// The defaults for a daemon of a data centre.
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

/// What the instance list and the cloud say of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInfo {
    /// The instance.
    pub instance: Instance,
    /// Its pool.
    pub pool: Pool,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it is marked as leaving.
    pub leaving: bool,
    /// Its price an hour, in the deployment's currency.
    pub price: f64,
}

/// An upstream's load at a past instant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// When the load was taken, by our clock.
    pub taken: MonotonicInstant,
    /// Generations being computed.
    pub running: u32,
    /// Generations waiting.
    pub waiting: u32,
    /// Prompt tokens waiting to be computed.
    pub queued_tokens: u64,
    /// What the engine has loaded.
    pub loaded: Option<LoadedModel>,
}

/// The upstream chosen for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The attempt.
    pub key: AttemptKey,
    /// The instance.
    pub instance: Instance,
    /// Where it answers.
    pub address: SocketAddr,
    /// The version of the model's weights there, if it has been reported.
    pub version: Option<Version>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The upstream answered to the end.
    Completed,
    /// The attempt was given up before its end, for a reason that lies elsewhere.
    Cancelled,
    /// The upstream broke off or answered with an error.
    Failed,
    /// The upstream refused before starting, as a busy one does.
    Refused,
    /// No connection to the upstream could be made.
    Unreachable,
}

impl From<Contact> for AttemptEnd {
    fn from(contact: Contact) -> Self {
        match contact {
            Contact::Reached => Self::Refused,
            Contact::Unreachable => Self::Unreachable,
        }
    }
}

/// An attempt in flight.
#[derive(Debug)]
struct Flight {
    upstream: UpstreamKey,
    started: MonotonicInstant,
    expected: Estimate,
    seen: Option<(MonotonicInstant, u32)>,
}

/// Known upstreams and the attempts in flight at each.
#[derive(Debug)]
pub struct Router {
    params: RouterParams,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    flights: SlotMap<AttemptKey, Flight>,
    by_instance: HashMap<Instance, UpstreamKey>,
    by_pool: HashMap<Pool, Vec<UpstreamKey>>,
    left: HashSet<Instance>,
    turn: usize,
}

impl Router {
    /// A router that knows no upstream.
    pub fn new(params: RouterParams) -> Self {
        Self {
            params,
            upstreams: SlotMap::with_key(),
            flights: SlotMap::with_key(),
            by_instance: HashMap::new(),
            by_pool: HashMap::new(),
            left: HashSet::new(),
            turn: 0,
        }
    }

    /// Takes over the instance list. A leaving mark is kept even if a stale list lacks it, or lists
    /// the instance again after it was gone.
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
            self.left.insert(info.instance.clone());
        }
        let leaving = self.left.contains(&info.instance);
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

    /// Marks an upstream as leaving, for good.
    pub fn on_leaving(&mut self, instance: &Instance) {
        self.left.insert(instance.clone());
        if let Some(key) = self.by_instance.get(instance) {
            self.upstreams[*key].info.leaving = true;
        }
    }

    /// Takes an upstream's load report.
    pub fn on_report(&mut self, instance: &Instance, report: UpstreamLoad) {
        let Some(key) = self.by_instance.get(instance) else {
            return;
        };
        let taken = report.taken;
        let here = |flight: &&Flight| flight.upstream == *key && flight.started <= taken;
        let own = self.flights.values().filter(here).count();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        self.upstreams[*key].on_report(report, own, &self.params.speed);
    }

    /// Takes an upstream's cache events.
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

    /// The sequence number of the cache event to ask an upstream for next.
    pub fn next_cache_event(&self, instance: &Instance) -> u64 {
        let key = self.by_instance.get(instance);
        key.map_or(0, |key| self.upstreams[*key].cache.next())
    }

    /// The number of upstreams of each pool that take work.
    pub fn counts(&self) -> BTreeMap<Pool, u32> {
        let mut counts = BTreeMap::new();
        for upstream in self.upstreams.values() {
            let count: &mut u32 = counts.entry(upstream.info.pool.clone()).or_default();
            *count += u32::from(!upstream.info.leaving);
        }
        counts
    }

    /// The upstreams with most attempts in flight, that most first, and at most `count` of them.
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

    /// Chooses an upstream for a request, if one can take it. Upstreams whose breaker is open are
    /// chosen only if all are.
    pub fn choose(
        &mut self,
        now: MonotonicInstant,
        demand: &Demand,
        excluded: &[Instance],
        generator: &mut impl Rng,
    ) -> Option<Route> {
        let candidates = self.candidates(now, demand, excluded);
        let RouterParams { strategy, speed, headroom, .. } = &self.params;
        let chosen = strategy.choose(&candidates, self.turn, demand, headroom, generator)?;
        self.turn = self.turn.wrapping_add(1);
        let upstream = &mut self.upstreams[chosen.key];
        upstream.on_start(now, demand, speed, chosen.estimate.uncached);
        let key = self.flights.insert(Flight {
            upstream: chosen.key,
            started: now,
            expected: chosen.estimate,
            seen: None,
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
        let mut best = Tier::Broken;
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

    /// Records that an attempt has brought `tokens` tokens in all.
    pub fn on_progress(&mut self, now: MonotonicInstant, key: AttemptKey, tokens: u32) {
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        let previous = flight.seen.replace((now, tokens));
        let Some(upstream) = self.upstreams.get_mut(flight.upstream) else {
            return;
        };
        let Some((at, count)) = previous else {
            let observed = now.since(flight.started).as_secs_f64();
            upstream.prefill.observe(observed, flight.expected.first_token);
            return;
        };
        let new = tokens.saturating_sub(count);
        if new > 0 {
            let observed = now.since(at).as_secs_f64() / f64::from(new);
            let expected = self.params.speed.step(upstream.batch(now));
            upstream.decode.observe(observed, expected);
        }
    }

    /// Records the end of an attempt.
    pub fn on_end(&mut self, now: MonotonicInstant, key: AttemptKey, end: AttemptEnd) {
        let Some(flight) = self.flights.remove(key) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(flight.upstream) else {
            return;
        };
        upstream.on_end(now, flight.started);
        let breaker = &mut upstream.breaker;
        let changed = match end {
            AttemptEnd::Completed => breaker.on_success(),
            AttemptEnd::Cancelled => BreakerTransition::Unchanged,
            AttemptEnd::Refused => {
                upstream.refused = Some(now);
                BreakerTransition::Unchanged
            }
            AttemptEnd::Failed => breaker.on_failure(now, flight.started, FailureKind::Failed),
            AttemptEnd::Unreachable => {
                breaker.on_failure(now, flight.started, FailureKind::Unreachable)
            }
        };
        if changed == BreakerTransition::Recovered {
            upstream.since = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
