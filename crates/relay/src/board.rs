//! What is known of the upstreams and of the work at them, and the choice among them.

use crate::dialect::Reported;
use crate::pool::Pool;
use slotmap::SecondaryMap;
use spindle_policy::breaker::{BreakerTransition, CircuitBreaker, FailureKind};
use spindle_policy::fleet::Stock;
use spindle_policy::listing::{Change, Life, Listing, Registration, Standing, UpstreamKey};
use spindle_policy::placing::{Candidate, Choice, Prompt, choose};
use spindle_types::{DataCentre, Instance, MonotonicInstant, Service};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The time for which an upstream's own word on its load is used. Requests of the sizes served
/// come and go within a few of these.
const REPORT_MAX_AGE: Duration = Duration::from_millis(250);

/// The time for which an engine is taken to keep a subject that this daemon has sent there: that
/// within which reading it again is paid for.
const SUBJECT_LIFE: Duration = Duration::from_secs(10);

/// The subjects that are remembered of one upstream.
const SUBJECTS_MAX: usize = 256;

/// How much of an upstream's pace each answer decides.
const PACE_WEIGHT: f64 = 0.2;

/// How far the pace of an upstream is taken to differ from what is estimated.
const PACE_MAX: f64 = 8.0;

/// The part of an estimate that is no work of the upstream, in milliseconds.
const PACE_FLOOR_MS: f64 = 30.0;

/// The time in which what is known of a pace fades to 1/e. Slow upstreams are tried again then.
const PACE_LIFE: Duration = Duration::from_secs(4);

/// What a daemon knows of one upstream beside its registration.
#[derive(Debug, Default)]
struct Track {
    identity: u64,
    breaker: CircuitBreaker,
    running: u32,
    queued: f64,
    elsewhere: (u32, u32),
    reported: Option<(MonotonicInstant, u32)>,
    subjects: HashMap<u64, MonotonicInstant>,
    pace: Option<(MonotonicInstant, f64)>,
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
    /// The reading that the request adds to the queue there, until its answer begins.
    queued: f64,
    /// The time until its answer was estimated to begin, in milliseconds.
    expected: f64,
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
    pub fn on_elsewhere(&self, running: &BTreeMap<&Instance, (u32, u32)>) {
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

    /// Chooses an upstream of a service for a request that can wait for `patience`.
    ///
    /// # Errors
    ///
    /// No upstream can take it.
    pub fn place(
        &self,
        now: MonotonicInstant,
        service: &Service,
        prompt: Option<&Prompt>,
        patience: Duration,
        tried: &[UpstreamKey],
    ) -> Result<Placed, Choice> {
        let mut state = self.state();
        let subject = prompt.and_then(|prompt| prompt.subject);
        let candidates = state.candidates(now, service, &self.own, (subject, tried));
        let choice = choose(&candidates, prompt, patience);
        let Choice::Upstream(key, queued) = choice else {
            return Err(choice);
        };
        let Some(listed) = state.listing.get(key) else {
            return Err(Choice::None);
        };
        let (life, address) = (listed.registration.life.clone(), listed.registration.address);
        let chosen = candidates.iter().find(|found| found.key == key);
        let expected = chosen.map_or(0.0, |found| {
            let found = Candidate { pace: 1.0, ..*found };
            found.wait_ms(prompt, found.knows) + PACE_FLOOR_MS
        });
        let track = &mut state.tracks[key];
        track.breaker.on_attempt(now);
        track.running += 1;
        track.queued += queued;
        track.on_subject(now, subject);
        Ok(Placed { board: self.clone(), key, life, address, at: now, queued, expected })
    }

    /// Whether a service has an upstream that may get work and has not been tried.
    pub fn has_other(
        &self,
        now: MonotonicInstant,
        service: &Service,
        tried: &[UpstreamKey],
    ) -> bool {
        let state = self.state();
        state.candidates(now, service, &self.own, (None, tried)).iter().any(|found| !found.tried)
    }

    /// Whether an upstream may still get work; checked again right before a request is sent.
    pub fn usable(&self, now: MonotonicInstant, key: UpstreamKey) -> bool {
        self.state().listing.get(key).is_some_and(|listed| listed.usable(now))
    }

    /// What this daemon has at each instance: requests, and the milliseconds that the prompts which
    /// have not been read take.
    pub fn running(&self) -> BTreeMap<Instance, (u32, u32)> {
        let state = self.state();
        let busy = state.tracks.iter().filter(|(_, track)| track.running > 0);
        let named = busy.filter_map(|(key, track)| {
            let listed = state.listing.get(key)?;
            let work = (track.running, track.queued as u32);
            Some((listed.registration.life.instance.clone(), work))
        });
        named.collect()
    }

    /// The lives that have become known to be leaving or gone lately, at most `most`.
    pub fn leaving(&self, now: MonotonicInstant, most: usize) -> Vec<Life> {
        self.state().listing.leaving(now).take(most).cloned().collect()
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
        (subject, tried): (Option<u64>, &[UpstreamKey]),
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
                queued: track.queued + f64::from(track.elsewhere.1),
                pace: track.pace(now),
                knows: subject.is_some_and(|subject| track.knows(now, subject)),
                slots: listed.registration.slots,
                gate: track.breaker.state_at(now),
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
        let counted = self.running + self.elsewhere.0;
        told.map_or(counted, |(_, requests)| counted.max(requests))
    }

    /// How much slower than estimated its answers have begun lately.
    fn pace(&self, now: MonotonicInstant) -> f64 {
        let Some((at, pace)) = self.pace else { return 1.0 };
        let faded = (-now.since(at).as_secs_f64() / PACE_LIFE.as_secs_f64()).exp();
        1.0 + (pace - 1.0) * faded
    }

    fn knows(&self, now: MonotonicInstant, subject: u64) -> bool {
        self.subjects.get(&subject).is_some_and(|at| now.since(*at) <= SUBJECT_LIFE)
    }

    fn on_subject(&mut self, now: MonotonicInstant, subject: Option<u64>) {
        let Some(subject) = subject else { return };
        if self.subjects.len() >= SUBJECTS_MAX {
            self.subjects.retain(|_, at| now.since(*at) <= SUBJECT_LIFE);
        }
        if self.subjects.len() < SUBJECTS_MAX {
            self.subjects.insert(subject, now);
        }
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

    /// Takes in that the answer has begun.
    pub fn on_first(&mut self, now: MonotonicInstant) {
        let queued = std::mem::take(&mut self.queued);
        let expected = std::mem::take(&mut self.expected);
        let mut state = self.board.state();
        let Some(track) = state.tracks.get_mut(self.key) else { return };
        track.queued = (track.queued - queued).max(0.0);
        if expected > 0.0 {
            let took = now.since(self.at).as_secs_f64() * 1e3 + PACE_FLOOR_MS;
            let ratio = (took / expected).clamp(1.0 / PACE_MAX, PACE_MAX);
            let pace = track.pace(now) * (1.0 - PACE_WEIGHT) + ratio * PACE_WEIGHT;
            track.pace = Some((now, pace));
        }
    }

    /// Takes in how the attempt ended.
    pub fn on_end(&self, now: MonotonicInstant, ended: Ended) {
        let mut state = self.board.state();
        let Some(track) = state.tracks.get_mut(self.key) else { return };
        let changed = match ended {
            Ended::Answered => track.breaker.on_success(),
            Ended::Refused => BreakerTransition::Unchanged,
            Ended::Failed => track.breaker.on_failure(now, self.at, FailureKind::Failed),
            Ended::Unreachable => track.breaker.on_failure(now, self.at, FailureKind::Unreachable),
        };
        match changed {
            BreakerTransition::Unchanged => {}
            BreakerTransition::Opened => {
                log::warn!("event=breaker_opened upstream={}", self.life.instance);
            }
            BreakerTransition::Recovered => {
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
            track.queued = (track.queued - self.queued).max(0.0);
        }
    }
}
