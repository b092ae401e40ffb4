//! Exchanges statuses with the other daemons, and passes on what follows from them.

use super::boot_clock::BootClock;
use super::configuration::ConfigurationFollower;
use super::registrations::RegistrationFollower;
use jsonrpsee::core::{ClientError, RpcResult, async_trait};
use spindle_daemon::{
    ConfigDocument, Dialer, PeerConnection, StatusExchangeClient, StatusExchangeServer,
};
use spindle_http::Drain;
use spindle_platform::settings::NodeSettings;
use spindle_platform::store::PlatformStore;
use spindle_policy::cluster_clock::clock_origin;
use spindle_policy::presence::{
    DaemonIdentity, LEAVING_MAX, Message, Phase, Presence, ROUND_INTERVAL, Status,
};
use spindle_policy::shared_limits::DaemonVisibility;
use spindle_policy::upstream_registry::Registration;
use spindle_policy::usage_windows::{RequestCounts, sum_counts};
use spindle_relay::backends::Store;
use spindle_relay::{ActiveConfig, Balancer, UsageTracker};
use spindle_types::{
    Clock, Fencing, Incarnation, Instance, MonotonicInstant, Service, Team, UtcInstant,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// The time within which another daemon must answer. Two beats, so that calls don't pile up.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// The age up to which the configuration in force counts as the newest. The users' time for
/// configuration to be in force, and how often a daemon hears from the store.
const CURRENT_MAX_AGE: Duration = Duration::from_millis(2_500);

/// The silence of the store, beyond the time between two reads, after which a daemon asks another
/// one for the upstreams: a slow answer and a failed one.
const STORE_SILENCE: Duration = Duration::from_millis(1_000);

/// The time between two looks for other daemons in the store. Daemons start within 0.3 s of each
/// other, and a new one is to be used soon.
const FIND_INTERVAL: Duration = Duration::from_secs(2);

/// The beats between two such questions.
const ASK_BEATS: u64 = 3;

type Follower = ConfigurationFollower<PlatformStore, BootClock>;

/// What the exchange works with.
#[derive(Debug)]
pub struct Parts {
    /// This life.
    pub incarnation: Incarnation,
    /// The settings.
    pub settings: NodeSettings,
    /// The present time.
    pub clock: BootClock,
    /// The store, in which daemons find each other when the settings name none that answers.
    pub store: PlatformStore,
    /// The upstreams.
    pub board: Balancer,
    /// What teams have used.
    pub accounts: UsageTracker,
    /// The configuration.
    pub follower: Follower,
    /// The registrations.
    pub registrations: RegistrationFollower<PlatformStore, BootClock>,
    /// The configuration in force.
    pub serving: watch::Receiver<Arc<ActiveConfig>>,
    /// Where the number of daemons goes.
    pub daemons: Arc<AtomicU32>,
    /// Where it goes whether the configuration in force can be the newest one.
    pub current: Arc<AtomicBool>,
    /// Whether this daemon stops.
    pub leaving: Drain,
}

#[derive(Debug)]
struct State {
    presence: Presence,
    own: Status,
    acting: Option<Fencing>,
    started: MonotonicInstant,
    told: MonotonicInstant,
    connections: HashMap<SocketAddr, PeerConnection>,
    announced: Vec<SocketAddr>,
    fetching: bool,
}

/// The exchange of statuses.
#[derive(Clone, Debug)]
pub struct Statuses {
    parts: Arc<Parts>,
    state: Arc<Mutex<State>>,
}

impl Statuses {
    /// An exchange that has heard of no other daemon.
    pub fn new(parts: Parts) -> Self {
        let settings = &parts.settings;
        let identity = DaemonIdentity {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            caller: settings.caller_address,
            peer: settings.peer_address,
        };
        let own = Status::new(parts.incarnation, identity, parts.clock.utc());
        let state = State {
            presence: Presence::default(),
            own,
            acting: None,
            started: parts.clock.now(),
            told: MonotonicInstant::default(),
            connections: HashMap::new(),
            announced: Vec::new(),
            fetching: false,
        };
        Self { parts: Arc::new(parts), state: Arc::new(Mutex::new(state)) }
    }

    /// Tells in the store where this daemon answers, and while no other is heard reads where they
    /// do; until the process ends.
    pub async fn find_others(self) {
        let settings = &self.parts.settings;
        let mut told = false;
        loop {
            if !told {
                let result = self
                    .parts
                    .store
                    .publish_peer_address(&settings.instance, settings.peer_address)
                    .await;
                told = result.is_ok();
                log::info!("event=announced peer={} result={result:?}", settings.peer_address);
            }
            let alone = self.state().presence.live(self.parts.clock.now()).next().is_none();
            if alone {
                match self.parts.store.peer_addresses().await {
                    Ok(found) => self.state().announced = found,
                    Err(error) => log::debug!("event=announced_unread error={error:?}"),
                }
            }
            tokio::time::sleep(FIND_INTERVAL).await;
        }
    }

    /// Exchanges until the process ends.
    pub async fn run(self) {
        let mut ticks = tokio::time::interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let targets = self.beat();
            for target in targets {
                tokio::spawn(self.clone().call(target));
            }
        }
    }

    /// Tells the others at once what changed here.
    pub async fn announce(&self) {
        self.beat();
        let peers: Vec<SocketAddr> = {
            let state = self.state();
            state.presence.live(self.parts.clock.now()).map(|heard| heard.identity.peer).collect()
        };
        let calls: Vec<_> =
            peers.into_iter().map(|peer| tokio::spawn(self.clone().call(peer))).collect();
        for call in calls {
            // An error means that the task has panicked, which the runtime logs.
            let _ = call.await;
        }
    }

    /// Whether this daemon takes requests.
    pub fn is_ready(&self) -> bool {
        !self.parts.leaving.started() && self.parts.serving.borrow().version > 0
    }

    /// Where callers may connect.
    pub fn ready(&self, now: MonotonicInstant) -> Vec<SocketAddr> {
        let state = self.state();
        let others = state.presence.live(now).filter(|heard| heard.status.phase == Phase::Ready);
        let mut ready: Vec<SocketAddr> = others.map(|heard| heard.identity.caller).collect();
        if self.is_ready() {
            ready.push(self.parts.settings.caller_address);
        }
        ready.sort();
        ready.dedup();
        ready
    }

    /// Notes whether this daemon acts.
    pub fn set_acting(&self, acting: Option<Fencing>) {
        self.state().acting = acting;
    }

    /// Whether another daemon says that it acts.
    pub fn other_acts(&self, now: MonotonicInstant) -> bool {
        let state = self.state();
        let mut others = state.presence.live(now).map(|heard| &heard.status);
        others.any(|status| status.acting.is_some() && status.phase != Phase::Leaving)
    }

    /// The requests of a window over all daemons.
    pub fn window(&self, window: u64, teams: &[Team]) -> RequestCounts {
        let own = self.parts.accounts.windows();
        let state = self.state();
        let others = state.presence.iter().filter_map(|heard| heard.status.windows.get(&window));
        sum_counts(others.chain(own.get(window)), teams.iter())
    }

    /// The civil time on which most daemons agree.
    pub fn civil(&self, now: MonotonicInstant) -> UtcInstant {
        self.parts.accounts.agreed_utc(now)
    }

    /// The prompt tokens that have arrived for a service at each daemon in its life.
    pub fn arrived(&self, service: &Service) -> Vec<(Incarnation, u64)> {
        let own = self.parts.accounts.prompt_tokens().get(service).copied().unwrap_or_default();
        let state = self.state();
        let others = state.presence.iter().map(|heard| &heard.status);
        let arrived =
            others.filter_map(|status| Some((status.incarnation, *status.arrived.get(service)?)));
        arrived.chain([(self.parts.incarnation, own)]).collect()
    }

    /// Makes the next status, takes in what is known, and gives the daemons to be called.
    fn beat(&self) -> Vec<SocketAddr> {
        let now = self.parts.clock.now();
        let parts = &*self.parts;
        let mut state = self.state();
        self.tell(now, &mut state);
        self.derive(now, &mut state);
        let state = &mut *state;
        state.presence.prune(now);
        let seeds = [parts.settings.seeds.as_slice(), &state.announced].concat();
        state.presence.targets(now, parts.settings.peer_address, &seeds, &mut rand::rng())
    }

    /// Brings the own status up to date when a beat is due, or at once when others must not wait.
    fn tell(&self, now: MonotonicInstant, state: &mut State) {
        let parts = &*self.parts;
        let phase = match (parts.leaving.started(), self.is_ready()) {
            (true, _) => Phase::Leaving,
            (false, true) => Phase::Ready,
            (false, false) => Phase::Starting,
        };
        let config = parts.serving.borrow().version;
        let leaving = parts.board.leaving(now, LEAVING_MAX);
        let own = &mut state.own;
        let news = own.phase != phase
            || own.config != config
            || own.acting != state.acting
            || leaving.iter().any(|life| own.leaving.get(life).is_none());
        // Rounds are not exactly as long as they should be.
        let interval = state.presence.beat_interval().saturating_sub(ROUND_INTERVAL / 2);
        if !news && now.since(state.told) < interval {
            return;
        }
        state.told = now;
        own.beat += 1;
        own.uptime = millis(now.since(state.started));
        own.utc = parts.clock.utc();
        (own.phase, own.acting, own.config) = (phase, state.acting, config);
        let contact = parts.follower.contact().max(parts.registrations.contact());
        own.age = contact.map(|at| millis(now.since(at)));
        (own.running, own.arrived) = (parts.board.own_load(), parts.accounts.prompt_tokens());
        let beat = own.beat;
        own.charged.set(beat, parts.accounts.own_charges());
        let windows = parts.accounts.windows();
        own.windows.set(beat, windows.counts().iter().map(|(key, counts)| (*key, counts.clone())));
        own.leaving.set(beat, leaving.into_iter().map(|life| (life, ())));
    }

    /// Passes on what follows from the statuses.
    fn derive(&self, now: MonotonicInstant, state: &mut State) {
        let parts = &*self.parts;
        let heard = 1 + count(
            state.presence.live(now).filter(|heard| heard.status.phase != Phase::Leaving),
        );
        let known = 1 + count(state.presence.possibly_running(now));
        parts
            .accounts
            .on_daemon_counts(DaemonVisibility { visible: heard, known: known.max(heard) });
        let before = parts.daemons.swap(heard, Ordering::Relaxed);
        if before != heard {
            log::info!("event=daemons_changed heard={heard} before={before} known={known}");
        }
        let clocks = state.presence.live(now).map(|heard| clock_origin(heard.at, heard.status.utc));
        parts.accounts.on_clocks(clocks.chain([clock_origin(now, parts.clock.utc())]).collect());
        let mut elsewhere: BTreeMap<&Instance, (u32, u32)> = BTreeMap::new();
        for heard in state.presence.live(now) {
            for (instance, (requests, queued)) in &heard.status.running {
                let sum = elsewhere.entry(instance).or_default();
                *sum = (sum.0 + requests, sum.1 + queued);
            }
        }
        parts.board.on_peer_load(&elsewhere);
        let age = |told: Option<u64>, since: Duration| {
            told.map(|told| Duration::from_millis(told).saturating_add(since))
        };
        let own = (state.own.config, age(state.own.age, Duration::ZERO));
        let others = state
            .presence
            .live(now)
            .map(|heard| (heard.status.config, age(heard.status.age, now.since(heard.at))));
        let all: Vec<_> = others.chain([own]).collect();
        let newest = all.iter().map(|(config, _)| *config).max().unwrap_or(own.0);
        let fresh = all.into_iter().filter_map(|(_, age)| age).min();
        let current = own.0 == newest && fresh.is_some_and(|age| age <= CURRENT_MAX_AGE);
        if parts.current.swap(current, Ordering::Relaxed) != current {
            log::info!(
                "event=configuration_current current={current} version={} newest={newest} \
                 age_ms={:?}",
                own.0,
                fresh.map(|age| age.as_millis()),
            );
        }
        let lives: Vec<Incarnation> =
            state.presence.iter().map(|heard| heard.status.incarnation).collect();
        parts.accounts.retain_daemons(|other| lives.contains(&other));
    }

    async fn call(self, peer: SocketAddr) {
        let message = {
            let state = self.state();
            state.presence.message_to(self.parts.clock.now(), &state.own, peer)
        };
        match self.exchange(peer, message).await {
            Ok(reply) => {
                let known = reply.known.clone();
                self.take_in(&reply);
                self.state().presence.on_known_beats(peer, known);
                self.help_oneself(peer).await;
            }
            Err(error) => {
                log::debug!("event=status_call_failed peer={peer} error={error:?}");
                let mut state = self.state();
                state.presence.on_missed(peer);
                // A connection that fell silent must not be used again.
                state.connections.remove(&peer);
            }
        }
    }

    async fn exchange(&self, peer: SocketAddr, message: Message) -> Result<Message, ClientError> {
        self.connection(peer)?.exchange(message).await
    }

    fn connection(&self, peer: SocketAddr) -> Result<PeerConnection, ClientError> {
        let mut state = self.state();
        if let Some(connection) = state.connections.get(&peer) {
            return Ok(connection.clone());
        }
        let connection = Dialer::default().connect(peer, CALL_TIMEOUT)?;
        state.connections.insert(peer, connection.clone());
        Ok(connection)
    }

    /// Takes in a message and gives the answer to it.
    fn on_message(&self, message: &Message) -> Message {
        self.take_in(message);
        let state = self.state();
        state.presence.answer(self.parts.clock.now(), &state.own, message)
    }

    fn take_in(&self, message: &Message) {
        let now = self.parts.clock.now();
        let news = self.state().presence.on_message(now, self.parts.incarnation, message);
        let statuses = message.statuses.iter().map(|(_, status)| status);
        for status in statuses.filter(|found| news.contains(&found.incarnation)) {
            for (life, ()) in status.leaving.iter() {
                self.parts.board.on_leaving(now, life, "daemon");
            }
            let age = status.age();
            self.parts.accounts.on_peer_charges(status.incarnation, &status.charged, age);
        }
    }

    /// Asks a daemon for what the store does not tell this one.
    async fn help_oneself(&self, peer: SocketAddr) {
        let now = self.parts.clock.now();
        let (behind, silent) = {
            let mut state = self.state();
            let own = state.own.config;
            let newer = state
                .presence
                .iter()
                .any(|heard| heard.identity.peer == peer && heard.status.config > own);
            let behind = newer && !state.fetching;
            state.fetching |= behind;
            let contact = self.parts.registrations.contact();
            let patience = self.parts.registrations.interval() + STORE_SILENCE;
            let silent = contact.is_none_or(|at| now.since(at) > patience);
            (behind, silent && state.own.beat.is_multiple_of(ASK_BEATS))
        };
        if behind {
            self.fetch_document(peer).await;
            self.state().fetching = false;
        }
        if silent {
            self.fetch_registrations(peer).await;
        }
    }

    async fn fetch_document(&self, peer: SocketAddr) {
        let Ok(connection) = self.connection(peer) else { return };
        match connection.document().await {
            Ok(Some(document)) => self.parts.follower.on_document(&document),
            Ok(None) => {}
            Err(error) => log::debug!("event=document_call_failed peer={peer} error={error:?}"),
        }
    }

    async fn fetch_registrations(&self, peer: SocketAddr) {
        let Ok(connection) = self.connection(peer) else { return };
        match connection.registrations().await {
            Ok(registrations) => {
                let now = self.parts.clock.now();
                for registration in registrations {
                    self.parts.board.on_registration(now, registration, "daemon");
                }
            }
            Err(error) => {
                log::debug!("event=registrations_call_failed peer={peer} error={error:?}");
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No code that holds the lock panics halfway through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}

/// Answers other daemons.
#[derive(Debug)]
pub struct StatusService {
    statuses: Statuses,
    follower: Follower,
    board: Balancer,
}

impl StatusService {
    /// A service over what a daemon knows.
    pub const fn new(statuses: Statuses, follower: Follower, board: Balancer) -> Self {
        Self { statuses, follower, board }
    }
}

#[async_trait]
impl StatusExchangeServer for StatusService {
    async fn exchange(&self, message: Message) -> RpcResult<Message> {
        Ok(self.statuses.on_message(&message))
    }

    async fn document(&self) -> RpcResult<Option<ConfigDocument>> {
        Ok(self.follower.document())
    }

    async fn registrations(&self) -> RpcResult<Vec<Registration>> {
        Ok(self.board.usable_registrations(self.statuses.parts.clock.now()))
    }
}
