//! What is known of the upstreams and of the work at them, and the choice among them.

use crate::dialect::Reported;
use crate::pool::Pool;
use slotmap::SecondaryMap;
use spindle_policy::breaker::{Breaker, Changed, Severity};
use spindle_policy::fleet::Stock;
use spindle_policy::listing::{Change, Life, Listing, Registration, Standing, UpstreamKey};
use spindle_policy::placing::{Candidate, Choice, choose};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The time for which an upstream's own word on its load is used. Requests of the sizes served
/// come and go within a few of these.
const REPORT_MAX_AGE: Duration = Duration::from_millis(250);

/// What a daemon knows of one upstream beside its registration.
#[derive(Debug, Default)]
struct Track {
    identity: u64,
    breaker: Breaker,
    running: u32,
    elsewhere: u32,
    reported: Option<(MonotonicInstant, u32)>,
}

#[derive(Debug, Default)]
struct State {
    listing: Listing,
    tracks: SecondaryMap<UpstreamKey, Track>,
}

/// The upstreams, shared by all requests.
#[derive(Clone, Debug)]
pub struct Board {
    state: Arc<Mutex<State>>,
    pool: Pool,
    own: DataCentre,
}

/// An upstream that was chosen for a request; counts as work there until it is dropped.
#[derive(Debug)]
pub struct Placed {
    board: Board,
    /// The upstream.
    pub key: UpstreamKey,
    /// Its life.
    pub life: Life,
    /// Where it is called.
    pub address: SocketAddr,
    /// When it was chosen.
    pub at: MonotonicInstant,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// It answered.
    Answered,
    /// It refused the request unrun.
    Refused,
    /// It answered with an error or broke off.
    Failed,
    /// It could not be connected to.
    Unreachable,
}

impl Board {
    /// A board without upstreams, for a daemon of a data centre.
    pub fn new(own: DataCentre, pool: Pool) -> Self {
        Self { state: Arc::default(), pool, own }
    }

    /// The connections to the upstreams.
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Takes in a registration; `source` names where it came from in the log.
    pub fn on_registration(
        &self,
        now: MonotonicInstant,
        registration: Registration,
        source: &'static str,
    ) {
        let change = self.state().listing.on_registration(now, registration);
        self.note(change, source);
    }

    /// Takes in that an instance is registered no more.
    pub fn on_removal(&self, now: MonotonicInstant, instance: &Instance, source: &'static str) {
        let change = self.state().listing.on_removal(now, instance);
        self.note(change, source);
    }

    /// Takes in the instances of a complete list.
    pub fn on_complete(&self, now: MonotonicInstant, present: &[Instance]) {
        let changes = self.state().listing.on_complete(now, present);
        changes.into_iter().for_each(|change| self.note(change, "list"));
    }

    /// Takes in that a life is leaving or gone.
    pub fn on_leaving(&self, now: MonotonicInstant, life: &Life, source: &'static str) {
        let change = self.state().listing.on_leaving(now, life);
        self.note(change, source);
    }

    /// Records that the store could not be read.
    pub fn on_outage(&self, now: MonotonicInstant) {
        self.state().listing.on_outage(now);
    }

    /// Takes in how many requests the other daemons have at each instance.
    pub fn on_elsewhere(&self, running: &BTreeMap<&Instance, u32>) {
        let mut state = self.state();
        let State { listing, tracks } = &mut *state;
        for (key, listed) in listing.iter() {
            if let Some(track) = tracks.get_mut(key) {
                let instance = &listed.registration.life.instance;
                track.elsewhere = running.get(instance).copied().unwrap_or_default();
            }
        }
    }

    /// Forgets what is not needed any more.
    pub fn prune(&self, now: MonotonicInstant) {
        let mut state = self.state();
        let State { listing, tracks } = &mut *state;
        listing.prune(now, |key| tracks.get(key).is_some_and(|track| track.running > 0));
        tracks.retain(|key, _| listing.get(key).is_some());
    }

    /// Chooses an upstream of a service for a request about a subject.
    pub fn place(
        &self,
        now: MonotonicInstant,
        service: &Service,
        subject: Option<u64>,
        tried: &[UpstreamKey],
    ) -> Result<Placed, Choice> {
        let mut state = self.state();
        let candidates = state.candidates(now, service, &self.own, tried);
        let choice = choose(&candidates, subject);
        let Choice::Upstream(key) = choice else {
            return Err(choice);
        };
        let Some(listed) = state.listing.get(key) else {
            return Err(Choice::None);
        };
        let (life, address) = (listed.registration.life.clone(), listed.registration.address);
        let track = &mut state.tracks[key];
        track.breaker.on_start(now);
        track.running += 1;
        Ok(Placed { board: self.clone(), key, life, address, at: now })
    }

    /// Whether a service has an upstream that may get work and has not been tried.
    pub fn has_other(
        &self,
        now: MonotonicInstant,
        service: &Service,
        tried: &[UpstreamKey],
    ) -> bool {
        let state = self.state();
        state.candidates(now, service, &self.own, tried).iter().any(|found| !found.tried)
    }

    /// Whether an upstream may still get work; checked again right before a request is sent.
    pub fn usable(&self, now: MonotonicInstant, key: UpstreamKey) -> bool {
        self.state().listing.get(key).is_some_and(|listed| listed.usable(now))
    }

    /// The requests of this daemon at each instance.
    pub fn running(&self) -> BTreeMap<Instance, u32> {
        let state = self.state();
        let busy = state.tracks.iter().filter(|(_, track)| track.running > 0);
        let named = busy.filter_map(|(key, track)| {
            let listed = state.listing.get(key)?;
            Some((listed.registration.life.instance.clone(), track.running))
        });
        named.collect()
    }

    /// The lives that are known to be leaving or gone, at most `most`.
    pub fn leaving(&self, most: usize) -> Vec<Life> {
        self.state().listing.leaving().take(most).cloned().collect()
    }

    /// The registrations of all upstreams that may get work.
    pub fn active(&self, now: MonotonicInstant) -> Vec<Registration> {
        let state = self.state();
        let usable = state.listing.iter().filter(|(_, listed)| listed.usable(now));
        usable.map(|(_, listed)| listed.registration.clone()).collect()
    }

    /// The upstreams of a service by data centre, those about to go left out.
    pub fn stock(&self, service: &Service) -> BTreeMap<DataCentre, Stock> {
        let state = self.state();
        let mut stock: BTreeMap<DataCentre, Stock> = BTreeMap::new();
        for (_, listed) in state.listing.iter() {
            let registration = &listed.registration;
            if registration.service != *service || listed.standing == Standing::Leaving {
                continue;
            }
            let found = stock.entry(registration.data_centre.clone()).or_default();
            if registration.reclaimable {
                found.reclaimable += 1;
            } else {
                found.fixed += 1;
            }
        }
        stock
    }

    /// The requests believed to be at the upstreams of a service, of all daemons.
    pub fn requests(&self, now: MonotonicInstant, service: &Service) -> u32 {
        let state = self.state();
        let candidates = state.candidates(now, service, &self.own, &[]);
        candidates.iter().map(|found| found.requests).sum()
    }

    fn note(&self, change: Change, source: &'static str) {
        let (key, event) = match change {
            Change::None => return,
            Change::Added(key) => (key, "upstream_added"),
            Change::Left(key) => (key, "upstream_leaving"),
            Change::Lapsed(key) => (key, "upstream_lapsed"),
            Change::Returned(key) => (key, "upstream_returned"),
        };
        let mut state = self.state();
        let State { listing, tracks } = &mut *state;
        let Some(listed) = listing.get(key) else { return };
        let Registration { life, service, address, data_centre, reclaimable, .. } =
            &listed.registration;
        log::info!(
            "event={event} upstream={} born={} service={service} data_centre={data_centre} \
             address={address} reclaimable={reclaimable} source={source}",
            life.instance,
            life.born,
        );
        match change {
            Change::Added(_) => {
                let mut name = life.instance.as_str().as_bytes().to_vec();
                name.extend(life.born.to_le_bytes());
                tracks.insert(key, Track { identity: xxh3_64(&name), ..Track::default() });
            }
            Change::Left(_) => self.pool.close(key),
            _ => {}
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No code that holds the lock panics halfway through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn candidates(
        &self,
        now: MonotonicInstant,
        service: &Service,
        own: &DataCentre,
        tried: &[UpstreamKey],
    ) -> Vec<Candidate> {
        let usable = self
            .listing
            .iter()
            .filter(|(_, listed)| listed.registration.service == *service && listed.usable(now));
        let candidate = usable.filter_map(|(key, listed)| {
            let track = self.tracks.get(key)?;
            Some(Candidate {
                key,
                identity: track.identity,
                requests: track.requests(now),
                slots: listed.registration.slots,
                gate: track.breaker.gate(now),
                near: listed.registration.data_centre == *own,
                tried: tried.contains(&key),
            })
        });
        candidate.collect()
    }
}

impl Track {
    fn requests(&self, now: MonotonicInstant) -> u32 {
        let told = self.reported.filter(|(at, _)| now.since(*at) <= REPORT_MAX_AGE);
        let counted = self.running + self.elsewhere;
        told.map_or(counted, |(_, requests)| counted.max(requests))
    }
}

impl Placed {
    /// Takes in what the upstream told of its load.
    pub fn on_load(&self, now: MonotonicInstant, reported: Option<Reported>) {
        let Some(reported) = reported else { return };
        if let Some(track) = self.board.state().tracks.get_mut(self.key) {
            track.reported = Some((now, reported.requests));
        }
    }

    /// Takes in how the attempt ended.
    pub fn on_end(&self, now: MonotonicInstant, ended: Ended) {
        let mut state = self.board.state();
        let Some(track) = state.tracks.get_mut(self.key) else { return };
        let changed = match ended {
            Ended::Answered => track.breaker.on_success(),
            Ended::Refused => Changed::Unchanged,
            Ended::Failed => track.breaker.on_failure(now, self.at, Severity::Failed),
            Ended::Unreachable => track.breaker.on_failure(now, self.at, Severity::Unreachable),
        };
        match changed {
            Changed::Unchanged => {}
            Changed::Opened => log::warn!("event=breaker_opened upstream={}", self.life.instance),
            Changed::Recovered => {
                log::info!("event=breaker_closed upstream={}", self.life.instance);
            }
        }
    }

    /// Takes in that another upstream has the address.
    pub fn on_elsewhere(&self, now: MonotonicInstant) {
        self.board.on_leaving(now, &self.life, "answer");
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        if let Some(track) = self.board.state().tracks.get_mut(self.key) {
            track.running = track.running.saturating_sub(1);
        }
    }
}
