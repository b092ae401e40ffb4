//! The choice of an upstream.

use slotmap::{SlotMap, new_key_type};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Pool};
use std::collections::HashMap;
use std::net::SocketAddr;

new_key_type! {
    /// An upstream known to the router.
    pub struct UpstreamKey;
}

/// What the instance list says of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
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
}

#[derive(Debug)]
struct Upstream {
    info: UpstreamInfo,
    running: u32,
    failed_at: Option<MonotonicInstant>,
}

/// The upstream chosen for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The upstream.
    pub key: UpstreamKey,
    /// The instance.
    pub instance: Instance,
    /// Where it answers.
    pub address: SocketAddr,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The upstream answered to the end, or the caller went away.
    Completed,
    /// The upstream refused, broke off or could not be reached.
    Failed,
}

/// Known upstreams and the attempts in flight at each.
#[derive(Debug, Default)]
pub struct Router {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_instance: HashMap<Instance, UpstreamKey>,
}

/// How long an upstream that failed is avoided while others can be chosen.
const FAILURE_PENALTY: std::time::Duration = std::time::Duration::from_secs(2);

impl Router {
    /// A router that knows no upstream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the instance list. A leaving mark is kept even if a stale list lacks it.
    pub fn on_listing(&mut self, listing: Vec<UpstreamInfo>) {
        let listed: Vec<Instance> = listing.iter().map(|info| info.instance.clone()).collect();
        for info in listing {
            self.on_listed(info);
        }
        self.by_instance.retain(|instance, key| {
            let kept = listed.contains(instance);
            if !kept {
                self.upstreams.remove(*key);
            }
            kept
        });
    }

    fn on_listed(&mut self, info: UpstreamInfo) {
        if let Some(key) = self.by_instance.get(&info.instance) {
            let known = &mut self.upstreams[*key].info;
            let leaving = known.leaving || info.leaving;
            *known = UpstreamInfo { leaving, ..info };
            return;
        }
        let instance = info.instance.clone();
        let key = self.upstreams.insert(Upstream { info, running: 0, failed_at: None });
        self.by_instance.insert(instance, key);
    }

    /// Marks an upstream as leaving, for good.
    pub fn on_leaving(&mut self, instance: &Instance) {
        if let Some(key) = self.by_instance.get(instance) {
            self.upstreams[*key].info.leaving = true;
        }
    }

    /// Chooses the upstream of a pool with the fewest attempts in flight.
    pub fn choose(
        &mut self,
        now: MonotonicInstant,
        pool: &Pool,
        excluded: &[Instance],
    ) -> Option<Route> {
        let penalty = |upstream: &Upstream| {
            upstream.failed_at.is_some_and(|at| now.since(at) < FAILURE_PENALTY)
        };
        let usable = self.upstreams.iter_mut().filter(|(_, upstream)| {
            upstream.info.pool == *pool
                && !upstream.info.leaving
                && !excluded.contains(&upstream.info.instance)
        });
        let (key, upstream) = usable.min_by_key(|(_, upstream)| {
            (penalty(upstream), upstream.running, upstream.info.instance.clone())
        })?;
        upstream.running += 1;
        let UpstreamInfo { instance, address, .. } = upstream.info.clone();
        Some(Route { key, instance, address })
    }

    /// Records the end of an attempt.
    pub fn on_end(&mut self, now: MonotonicInstant, key: UpstreamKey, end: AttemptEnd) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        match end {
            AttemptEnd::Completed => upstream.failed_at = None,
            AttemptEnd::Failed => upstream.failed_at = Some(now),
        }
    }
}

#[cfg(test)]
mod tests;
