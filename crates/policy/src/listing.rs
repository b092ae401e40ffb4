//! The upstreams of all services, as their registrations and the word of other daemons tell.
//!
//! An upstream is one life of an instance: an instance that starts again is another upstream. That
//! it leaves is never taken back. A registration that lapsed around an outage of the store keeps
//! its upstream in use for a short while, since live upstreams register again.

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Service};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// The time after an outage within which live upstreams have registered again. From the users'
/// pages: about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// The time for which an upstream that has gone is remembered, so that late news of it do not
/// bring it back. Longer than news take to reach every daemon.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// The time for which other daemons are told that an upstream has gone. They hear of it within a
/// few beats, and those that were cut off read it in the store.
const NEWS_LIFE: Duration = Duration::from_secs(6);

new_key_type! {
    /// An upstream of a [`Listing`].
    pub struct UpstreamKey;
}

/// One life of an upstream: its instance, and the civil time of its start in milliseconds.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Life {
    /// The instance.
    pub instance: Instance,
    /// When it started, in milliseconds since 1970; 0 if it does not say.
    pub born: u64,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// Which life of which instance.
    pub life: Life,
    /// The service that it belongs to.
    pub service: Service,
    /// Where it is called.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
}

/// Whether an upstream may get new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It may.
    Active,
    /// Its registration lapsed around an outage; it may until the instant.
    Lapsed {
        /// When it counts as gone.
        until: MonotonicInstant,
    },
    /// It takes no new work and never will again.
    Leaving,
}

/// An upstream of a listing.
#[derive(Clone, Debug)]
pub struct Listed {
    /// What it said last.
    pub registration: Registration,
    /// Whether it may get new work.
    pub standing: Standing,
}

impl Listed {
    /// Whether it may get new work now.
    pub fn usable(&self, now: MonotonicInstant) -> bool {
        match self.standing {
            Standing::Active => true,
            Standing::Lapsed { until } => now < until,
            Standing::Leaving => false,
        }
    }
}

/// What a piece of news changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that matters for choosing upstreams.
    None,
    /// The upstream is new.
    Added(UpstreamKey),
    /// The upstream takes no new work from now on.
    Left(UpstreamKey),
    /// The upstream's registration lapsed, and it stays in use for a while.
    Lapsed(UpstreamKey),
    /// The upstream registered again after a lapse.
    Returned(UpstreamKey),
}

/// All upstreams that are known.
#[derive(Debug, Default)]
pub struct Listing {
    upstreams: SlotMap<UpstreamKey, Listed>,
    lives: HashMap<Instance, UpstreamKey>,
    gone: BTreeMap<Life, MonotonicInstant>,
    outage: Option<MonotonicInstant>,
}

impl Listing {
    /// Records that the store could not be read at an instant, or answered again after that.
    pub fn on_outage(&mut self, now: MonotonicInstant) {
        self.outage = Some(now);
    }

    /// Takes in a registration.
    pub fn on_registration(&mut self, now: MonotonicInstant, registration: Registration) -> Change {
        let instance = registration.life.instance.clone();
        let Some(key) = self.lives.get(&instance).copied() else {
            return self.add(registration);
        };
        let known = &mut self.upstreams[key];
        if registration.life.born < known.registration.life.born {
            return Change::None;
        }
        if registration.life.born > known.registration.life.born {
            self.remove(now, key);
            return self.add(registration);
        }
        let leaving = registration.leaving;
        known.registration = registration;
        match (known.standing, leaving) {
            (Standing::Leaving, _) => Change::None,
            (_, true) => self.leave(now, key),
            (Standing::Lapsed { .. }, false) => {
                known.standing = Standing::Active;
                Change::Returned(key)
            }
            (Standing::Active, false) => Change::None,
        }
    }

    /// Takes in that an instance is registered no more.
    pub fn on_removal(&mut self, now: MonotonicInstant, instance: &Instance) -> Change {
        let Some(key) = self.lives.get(instance).copied() else {
            return Change::None;
        };
        let recent = self.outage.filter(|at| now.since(*at) < LAPSE_GRACE);
        let known = &mut self.upstreams[key];
        match (known.standing, recent) {
            (Standing::Active, Some(at)) => {
                known.standing = Standing::Lapsed { until: at + LAPSE_GRACE };
                Change::Lapsed(key)
            }
            (Standing::Lapsed { until }, _) if now < until => Change::None,
            (Standing::Leaving, _) => Change::None,
            _ => self.leave(now, key),
        }
    }

    /// Takes in a complete list: whatever is missing there is registered no more.
    pub fn on_complete(&mut self, now: MonotonicInstant, present: &[Instance]) -> Vec<Change> {
        let missing: Vec<Instance> =
            self.lives.keys().filter(|known| !present.contains(known)).cloned().collect();
        missing.iter().map(|instance| self.on_removal(now, instance)).collect()
    }

    /// Takes in that a life of an instance is leaving or gone, from whatever source.
    pub fn on_leaving(&mut self, now: MonotonicInstant, life: &Life) -> Change {
        let known = self.lives.get(&life.instance).copied();
        let same = known.filter(|key| self.upstreams[*key].registration.life.born == life.born);
        if let Some(key) = same {
            return self.leave(now, key);
        }
        // When it was first heard of counts, or daemons would tell each other for ever.
        self.gone.entry(life.clone()).or_insert(now);
        Change::None
    }

    /// Lives that have become known to be leaving or gone lately, for other daemons.
    pub fn leaving(&self, now: MonotonicInstant) -> impl Iterator<Item = &Life> {
        self.gone.iter().filter(move |(_, at)| now.since(**at) < NEWS_LIFE).map(|(life, _)| life)
    }

    /// Forgets upstreams that have been gone for long; `busy` says which are still at work.
    pub fn prune(&mut self, now: MonotonicInstant, busy: impl Fn(UpstreamKey) -> bool) {
        let expired: Vec<UpstreamKey> = self
            .upstreams
            .iter()
            .filter(
                |(_, listed)| matches!(listed.standing, Standing::Lapsed { until } if until <= now),
            )
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.leave(now, key);
        }
        self.gone.retain(|_, at| now.since(*at) < GONE_RETENTION);
        let (gone, lives) = (&self.gone, &mut self.lives);
        self.upstreams.retain(|key, listed| {
            let keep = listed.standing != Standing::Leaving
                || gone.contains_key(&listed.registration.life)
                || busy(key);
            if !keep {
                lives.remove(&listed.registration.life.instance);
            }
            keep
        });
    }

    /// An upstream.
    pub fn get(&self, key: UpstreamKey) -> Option<&Listed> {
        self.upstreams.get(key)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Listed)> {
        self.upstreams.iter()
    }

    fn add(&mut self, registration: Registration) -> Change {
        let life = registration.life.clone();
        let known_gone = registration.leaving || self.gone.contains_key(&life);
        let standing = if known_gone { Standing::Leaving } else { Standing::Active };
        let key = self.upstreams.insert(Listed { registration, standing });
        self.lives.insert(life.instance, key);
        if known_gone { Change::None } else { Change::Added(key) }
    }

    fn leave(&mut self, now: MonotonicInstant, key: UpstreamKey) -> Change {
        let listed = &mut self.upstreams[key];
        self.gone.entry(listed.registration.life.clone()).or_insert(now);
        if listed.standing == Standing::Leaving {
            return Change::None;
        }
        listed.standing = Standing::Leaving;
        Change::Left(key)
    }

    fn remove(&mut self, now: MonotonicInstant, key: UpstreamKey) {
        if let Some(listed) = self.upstreams.remove(key) {
            self.lives.remove(&listed.registration.life.instance);
            self.gone.insert(listed.registration.life, now);
        }
    }
}

#[cfg(test)]
mod tests;
