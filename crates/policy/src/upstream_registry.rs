//! The upstreams of all services, learnt from their registrations and from other daemons.
//!
//! An upstream is one start of an instance: after a restart the instance is a different upstream.
//! Leaving is final. A registration that lapses around an outage of the store keeps its upstream in
//! use for a short grace period, because upstreams that are still running register again.

use crate::stream_versions::{KnownVersions, STREAM_LIFETIME_MAX, VersionHistory};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Service, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// The time after an outage of the store within which running upstreams have registered again. The
/// users' documentation says about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// How long an upstream is remembered after it has left, so that delayed registrations and updates
/// do not bring it back. Longer than the propagation delay to every daemon.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// How long other daemons are told that an upstream has left. They hear it within a few heartbeats;
/// daemons that were cut off meanwhile read it from the store.
pub const LEAVING_GOSSIP_PERIOD: Duration = Duration::from_secs(6);

new_key_type! {
    /// The key of an upstream in an [`UpstreamRegistry`].
    pub struct UpstreamKey;
}

/// Identifies an upstream: the instance and the wall-clock time of this start, which tells apart
/// successive starts under the same instance name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct UpstreamId {
    /// The instance name.
    pub instance: Instance,
    /// When it started, in milliseconds since the Unix epoch (1970); 0 if the upstream does not
    /// say.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

/// What an upstream publishes about itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// Which start of which instance this is.
    #[serde(rename = "life")]
    pub id: UpstreamId,
    /// The service that it runs.
    pub service: Service,
    /// The address for requests.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The version of its software; none if it states no valid one.
    #[serde(default)]
    pub version: Option<SoftwareVersion>,
    /// How many requests it processes concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Whether it runs on capacity that the cloud may reclaim at short notice.
    pub reclaimable: bool,
}

/// Whether an upstream may receive new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// Registered; receives new requests.
    Active,
    /// Its registration lapsed around an outage of the store; receives new requests until `until`.
    Lapsed {
        /// When it counts as left unless it has registered again.
        until: MonotonicInstant,
    },
    /// Receives no new requests, ever again.
    Leaving,
}

/// An upstream in the registry.
#[derive(Clone, Debug)]
pub struct RegisteredUpstream {
    /// Its latest registration.
    pub registration: Registration,
    /// Whether it may receive new requests.
    pub state: UpstreamState,
}

impl RegisteredUpstream {
    /// Whether it may receive new requests at `now`.
    pub fn usable(&self, now: MonotonicInstant) -> bool {
        match self.state {
            UpstreamState::Active => true,
            UpstreamState::Lapsed { until } => now < until,
            UpstreamState::Leaving => false,
        }
    }
}

/// The effect of an event on the set of usable upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamChange {
    /// The set of usable upstreams is unchanged.
    None,
    /// The upstream is new.
    Added(UpstreamKey),
    /// The upstream receives no new requests from now on.
    Left(UpstreamKey),
    /// The upstream's registration lapsed; it stays in use for the grace period.
    Lapsed(UpstreamKey),
    /// The upstream registered again after a lapse.
    Returned(UpstreamKey),
}

/// All known upstreams, including recently departed ones.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: SlotMap<UpstreamKey, RegisteredUpstream>,
    by_instance: HashMap<Instance, UpstreamKey>,
    /// Upstreams that are leaving or have left, and when this daemon first learnt of it.
    departed: BTreeMap<UpstreamId, MonotonicInstant>,
    last_outage: Option<MonotonicInstant>,
    /// Versions of upstreams whose entries were replaced, and when.
    replaced: Vec<(Service, Option<SoftwareVersion>, MonotonicInstant)>,
    /// Whether no upstream can have served before this daemon started.
    first_start: bool,
    /// Since when no registration can have been missed; none before the first complete list.
    complete_since: Option<CompleteSince>,
}

/// Since when all registrations are known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CompleteSince {
    /// Since the first start of the whole system.
    Always,
    /// Since a complete list was read.
    List(MonotonicInstant),
    /// Since a time before that at which another daemon was asked, which knew them.
    Adopted {
        /// When it was asked.
        at: MonotonicInstant,
        /// For how long before it had known them.
        before: Duration,
    },
}

impl UpstreamRegistry {
    /// Records an outage of the store: a read failed, or the first one after it succeeded.
    pub fn on_outage(&mut self, now: MonotonicInstant) {
        self.last_outage = Some(now);
    }

    /// Records that the whole system starts for the first time.
    pub const fn set_first_start(&mut self) {
        self.first_start = true;
    }

    /// For how long all registrations have been known, at most [`STREAM_LIFETIME_MAX`].
    pub fn complete_for(&self, now: MonotonicInstant) -> Duration {
        match self.complete_since {
            None => Duration::ZERO,
            Some(CompleteSince::Always) => STREAM_LIFETIME_MAX,
            Some(CompleteSince::List(at)) => now.since(at).min(STREAM_LIFETIME_MAX),
            Some(CompleteSince::Adopted { at, before }) => {
                before.saturating_add(now.since(at)).min(STREAM_LIFETIME_MAX)
            }
        }
    }

    /// The versions of all upstreams, those that left lately included.
    pub fn all_versions(&self) -> BTreeSet<(Service, Option<SoftwareVersion>)> {
        let listed = self.upstreams.values().map(|known| &known.registration);
        let listed = listed.map(|found| (found.service.clone(), found.version.clone()));
        let replaced = self.replaced.iter();
        let replaced = replaced.map(|(service, version, _)| (service.clone(), version.clone()));
        listed.chain(replaced).collect()
    }

    /// Adopts what another daemon knew when it answered a call that was sent at `sent`. Without
    /// effect unless it had read the store after this daemon's complete list, so that no
    /// registration can be missing between both.
    pub fn adopt_history(
        &mut self,
        now: MonotonicInstant,
        sent: MonotonicInstant,
        history: &VersionHistory,
    ) -> bool {
        let Some(CompleteSince::List(listed)) = self.complete_since else { return false };
        let age = Duration::from_millis(history.age_ms);
        let complete = Duration::from_millis(history.complete_ms);
        if sent.since(listed) <= age || complete <= now.since(listed) {
            return false;
        }
        // Counted from the sending on, so that it is never more than the other daemon's.
        self.complete_since = Some(CompleteSince::Adopted { at: sent, before: complete });
        let seen = history.seen.iter().cloned();
        self.replaced.extend(seen.map(|(service, version)| (service, version, now)));
        true
    }

    /// Adopts the versions that the daemons had stored when all of them had stopped, so that no stream
    /// began in between. Without effect before this daemon's complete list, and if it knows them.
    pub fn adopt_stored(
        &mut self,
        now: MonotonicInstant,
        seen: &[(Service, Option<SoftwareVersion>)],
    ) -> bool {
        if !matches!(self.complete_since, Some(CompleteSince::List(_))) {
            return false;
        }
        self.complete_since = Some(CompleteSince::Adopted { at: now, before: STREAM_LIFETIME_MAX });
        let seen = seen.iter().cloned();
        self.replaced.extend(seen.map(|(service, version)| (service, version, now)));
        true
    }

    /// What is known of the versions of a service.
    pub fn versions(&self, now: MonotonicInstant, service: &Service) -> KnownVersions {
        let of_service = self.upstreams.values().map(|known| &known.registration);
        let of_service = of_service.filter(|registration| registration.service == *service);
        let listed = of_service.map(|registration| registration.version.clone());
        let replaced = self.replaced.iter().filter(|(replaced, ..)| replaced == service);
        let seen: BTreeSet<_> =
            listed.chain(replaced.map(|(_, version, _)| version.clone())).collect();
        let complete = self.complete_for(now) == STREAM_LIFETIME_MAX;
        let sole = seen.first().filter(|_| complete && seen.len() == 1).cloned().flatten();
        KnownVersions { sole, seen }
    }

    /// Applies a registration. One of an earlier start of the instance is ignored.
    pub fn on_registration(
        &mut self,
        now: MonotonicInstant,
        registration: Registration,
    ) -> UpstreamChange {
        let instance = registration.id.instance.clone();
        let Some(key) = self.by_instance.get(&instance).copied() else {
            if registration.leaving {
                // Forgotten at once as an upstream, but it may have served until now.
                let (service, version) = (&registration.service, &registration.version);
                self.replaced.push((service.clone(), version.clone(), now));
            }
            return self.add(registration);
        };
        let known = &mut self.upstreams[key];
        if registration.id.started_at_ms < known.registration.id.started_at_ms {
            return UpstreamChange::None;
        }
        if registration.id.started_at_ms > known.registration.id.started_at_ms {
            self.remove(now, key);
            return self.add(registration);
        }
        let leaving = registration.leaving;
        if registration.version != known.registration.version {
            let before = &known.registration;
            self.replaced.push((before.service.clone(), before.version.clone(), now));
        }
        known.registration = registration;
        match (known.state, leaving) {
            (UpstreamState::Leaving, _) => UpstreamChange::None,
            (_, true) => self.leave(now, key),
            (UpstreamState::Lapsed { .. }, false) => {
                known.state = UpstreamState::Active;
                UpstreamChange::Returned(key)
            }
            (UpstreamState::Active, false) => UpstreamChange::None,
        }
    }

    /// Applies the removal of an instance's registration. Shortly after an outage of the store it
    /// only starts the grace period.
    pub fn on_removal(&mut self, now: MonotonicInstant, instance: &Instance) -> UpstreamChange {
        let Some(key) = self.by_instance.get(instance).copied() else {
            return UpstreamChange::None;
        };
        let recent_outage = self.last_outage.filter(|at| now.since(*at) < LAPSE_GRACE);
        let known = &mut self.upstreams[key];
        match (known.state, recent_outage) {
            (UpstreamState::Active, Some(at)) => {
                known.state = UpstreamState::Lapsed { until: at + LAPSE_GRACE };
                UpstreamChange::Lapsed(key)
            }
            (UpstreamState::Lapsed { until }, _) if now < until => UpstreamChange::None,
            (UpstreamState::Leaving, _) => UpstreamChange::None,
            _ => self.leave(now, key),
        }
    }

    /// Applies a complete list of the registered instances: the registrations of all others are
    /// gone.
    pub fn on_complete_list(
        &mut self,
        now: MonotonicInstant,
        present: &[Instance],
    ) -> Vec<UpstreamChange> {
        // Registrations that came and went between the lists before this one and it are unknown.
        self.complete_since = match self.complete_since {
            None if self.first_start => Some(CompleteSince::Always),
            _ => Some(CompleteSince::List(now)),
        };
        let missing: Vec<Instance> =
            self.by_instance.keys().filter(|known| !present.contains(known)).cloned().collect();
        missing.iter().map(|instance| self.on_removal(now, instance)).collect()
    }

    /// Records that an upstream is leaving or has left, whatever the source.
    pub fn on_leaving(&mut self, now: MonotonicInstant, id: &UpstreamId) -> UpstreamChange {
        if let Some(key) = self.key_of(id) {
            return self.leave(now, key);
        }
        // Keeps the first instant: refreshing it would make daemons repeat the update to each other
        // for ever.
        self.departed.entry(id.clone()).or_insert(now);
        UpstreamChange::None
    }

    /// Upstreams that recently became known to be leaving or to have left, for gossip to other
    /// daemons.
    pub fn leaving(&self, now: MonotonicInstant) -> impl Iterator<Item = &UpstreamId> {
        self.departed
            .iter()
            .filter(move |(_, at)| now.since(**at) < LEAVING_GOSSIP_PERIOD)
            .map(|(id, _)| id)
    }

    /// Whether a registration has lapsed that may turn out to be gone.
    pub fn has_lapsed(&self) -> bool {
        self.upstreams.values().any(|known| matches!(known.state, UpstreamState::Lapsed { .. }))
    }

    /// Ends expired grace periods, and forgets upstreams that left long ago and have no requests in
    /// flight according to `busy`.
    pub fn prune(&mut self, now: MonotonicInstant, busy: impl Fn(UpstreamKey) -> bool) {
        let expired: Vec<UpstreamKey> = self
            .upstreams
            .iter()
            .filter(
                |(_, known)| matches!(known.state, UpstreamState::Lapsed { until } if until <= now),
            )
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.leave(now, key);
        }
        self.departed.retain(|_, at| now.since(*at) < DEPARTED_RETENTION);
        self.replaced.retain(|(.., at)| now.since(*at) < DEPARTED_RETENTION);
        let (departed, by_instance) = (&self.departed, &mut self.by_instance);
        self.upstreams.retain(|key, upstream| {
            let keep = upstream.state != UpstreamState::Leaving
                || departed.contains_key(&upstream.registration.id)
                || busy(key);
            if !keep {
                by_instance.remove(&upstream.registration.id.instance);
            }
            keep
        });
    }

    /// The key of an upstream; `None` if its instance is unknown or has started again.
    pub fn key_of(&self, id: &UpstreamId) -> Option<UpstreamKey> {
        let key = self.by_instance.get(&id.instance).copied()?;
        (self.upstreams[key].registration.id.started_at_ms == id.started_at_ms).then_some(key)
    }

    /// The upstream with a key.
    pub fn get(&self, key: UpstreamKey) -> Option<&RegisteredUpstream> {
        self.upstreams.get(key)
    }

    /// Iterates over all upstreams, whatever their state.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &RegisteredUpstream)> {
        self.upstreams.iter()
    }

    fn add(&mut self, registration: Registration) -> UpstreamChange {
        let id = registration.id.clone();
        let departed = registration.leaving || self.departed.contains_key(&id);
        let state = if departed { UpstreamState::Leaving } else { UpstreamState::Active };
        let key = self.upstreams.insert(RegisteredUpstream { registration, state });
        self.by_instance.insert(id.instance, key);
        if departed { UpstreamChange::None } else { UpstreamChange::Added(key) }
    }

    fn leave(&mut self, now: MonotonicInstant, key: UpstreamKey) -> UpstreamChange {
        let upstream = &mut self.upstreams[key];
        self.departed.entry(upstream.registration.id.clone()).or_insert(now);
        if upstream.state == UpstreamState::Leaving {
            return UpstreamChange::None;
        }
        upstream.state = UpstreamState::Leaving;
        UpstreamChange::Left(key)
    }

    fn remove(&mut self, now: MonotonicInstant, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.remove(key) {
            let Registration { id, service, version, .. } = upstream.registration;
            self.by_instance.remove(&id.instance);
            self.departed.insert(id, now);
            self.replaced.push((service, version, now));
        }
    }
}

#[cfg(test)]
mod tests;
