//! Exchanges statuses with the other daemons, and updates the components that depend on them.

mod config_peers;
mod paces;
mod quota_keepers;
mod ranks;
pub mod rollouts;
mod suitable;
mod versions;

use self::rollouts::RolloutState;
use super::boot_clock::BootClock;
use super::configuration::ConfigurationFollower;
use super::registrations::RegistrationFollower;
use jsonrpsee::core::ClientError;
use spindle_daemon::{ConfigNotice, Dialer, PeerConnection, StatusExchangeClient};
use spindle_http::Drain;
use spindle_platform::settings::NodeSettings;
use spindle_platform::store::PlatformStore;
use spindle_policy::cluster_clock::clock_origin;
use spindle_policy::engine_capacity::ResponseCounts;
use spindle_policy::presence::{
    Coverage, DaemonIdentity, LEAVING_MAX, LIMITS_MAX, Message, Phase, Presence, PublishedLimit,
    ROUND_INTERVAL, Status,
};
use spindle_policy::shared_limits::DaemonVisibility;
use spindle_policy::upstream_limit::LimitReport;
use spindle_policy::upstream_registry::UpstreamId;
use spindle_policy::usage_windows::{RequestCounts, sum_counts};
use spindle_relay::backends::Store;
use spindle_relay::balancer::LeavingUpstreams;
use spindle_relay::helpers::Helpers;
use spindle_relay::rank_room::RankRoom;
use spindle_relay::{ActiveConfig, Balancer, RolloutWatch, UsageTracker};
use spindle_types::{
    Clock, Fencing, Incarnation, Instance, MonotonicInstant, Service, Team, UtcInstant,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Timeout of an exchange with another daemon. Equals two rounds, so that calls to a daemon that
/// does not answer don't accumulate.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time since any daemon last read the store successfully at which the newest configuration
/// known to the daemons counts as current. Derived from the time within which users expect a
/// configuration to take effect, and from the interval at which a daemon hears from the store.
const CONFIG_MAX_AGE: Duration = Duration::from_millis(2_500);

/// Time without an answer from the store, in addition to the read interval, after which a daemon
/// fetches the upstreams from another daemon. Allows for one slow and one failed answer.
const STORE_GRACE: Duration = Duration::from_millis(1_000);

/// Interval between two lookups of other daemons in the store. Daemons start within 0.3 s of each
/// other, and a new one should soon be used.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(2);

/// Number of own heartbeats between two fetches of the upstreams from other daemons.
const FETCH_INTERVAL_BEATS: u64 = 3;

/// How long a daemon has published that it gets requests for a service, before it sends any to the
/// limited upstreams of that service: by then the other daemons have heard of it. Ten rounds and
/// the longest heartbeat interval.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time between two rounds after which the daemon may have been suspended, so that the others may
/// have gone on without it.
const SUSPENDED_AFTER: Duration = Duration::from_secs(1);

pub(super) type Follower = ConfigurationFollower<PlatformStore, BootClock>;

/// The dependencies of [`PeerStatuses`].
#[derive(Debug)]
pub struct Parts {
    /// Identifier of this run of the daemon.
    pub incarnation: Incarnation,
    /// Addresses, data centre and seed peers of this daemon.
    pub settings: NodeSettings,
    /// Source of monotonic and wall-clock time.
    pub clock: BootClock,
    /// The store, through which daemons find each other if no seed peer in the settings answers.
    pub store: PlatformStore,
    /// Known upstreams; receives the load and the leaving upstreams that peers report.
    pub balancer: Balancer,
    /// Usage of the teams; receives the charges and clocks that peers report.
    pub usage: UsageTracker,
    /// The configuration, and the versions of it that are known to exist.
    pub follower: Follower,
    /// Tells when the store last answered with registrations.
    pub registrations: RegistrationFollower<PlatformStore, BootClock>,
    /// Configuration in force.
    pub config: watch::Receiver<Arc<ActiveConfig>>,
    /// Set to the number of live daemons, including this one.
    pub daemon_count: Arc<AtomicU32>,
    /// Set to whether the configuration in force can be the newest one.
    pub config_is_current: Arc<AtomicBool>,
    /// Started when this daemon shuts down.
    pub draining: Drain,
    /// Receives the daemons through which requests can be sent.
    pub helpers: Helpers,
    /// Rollouts as this daemon follows them.
    pub rollouts: RolloutWatch,
    /// Admission by rank; receives the load that peers report.
    pub ranks: RankRoom,
}

#[derive(Debug)]
struct State {
    /// Statuses of the other daemons.
    presence: Presence,
    /// The status of this daemon, as of its newest heartbeat.
    own: Status,
    /// Fencing token of the leader lease, while this daemon holds it.
    fencing: Option<Fencing>,
    started_at: MonotonicInstant,
    /// When `own` was last updated.
    updated_at: MonotonicInstant,
    /// When the latest round began.
    round_at: MonotonicInstant,
    /// Since when the own status has told that this daemon gets requests for each service.
    published_since: BTreeMap<Service, MonotonicInstant>,
    connections: HashMap<SocketAddr, PeerConnection>,
    /// Peer addresses that were read from the store; none before the first read.
    stored_peers: Option<Vec<SocketAddr>>,
    /// Versions that peers have told to have, before their statuses say so.
    notices: Vec<ConfigNotice>,
    rollouts: RolloutState,
}

/// The statuses of all daemons, kept up to date by exchanging them with peers.
#[derive(Clone, Debug)]
pub struct PeerStatuses {
    parts: Arc<Parts>,
    state: Arc<Mutex<State>>,
}

impl PeerStatuses {
    /// Creates the statuses of a daemon that knows no other daemon yet.
    pub fn new(parts: Parts) -> Self {
        let settings = &parts.settings;
        let identity = DaemonIdentity {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            caller: settings.caller_address,
            peer: settings.peer_address,
            handoff: settings.handoff_address,
        };
        let own = Status::new(parts.incarnation, identity, parts.clock.utc());
        let state = State {
            presence: Presence::in_data_centre(settings.data_centre.clone()),
            own,
            fencing: None,
            started_at: parts.clock.now(),
            updated_at: MonotonicInstant::default(),
            round_at: parts.clock.now(),
            published_since: BTreeMap::new(),
            connections: HashMap::new(),
            stored_peers: None,
            notices: Vec::new(),
            rollouts: RolloutState::default(),
        };
        Self { parts: Arc::new(parts), state: Arc::new(Mutex::new(state)) }
    }

    /// Publishes the peer address of this daemon in the store, again after each restore of the
    /// store from an older copy, which may lack it. Reads the addresses of the others from it, once
    /// and while no other daemon is live. Runs until the process exits.
    pub async fn discover_peers(self) {
        let settings = &self.parts.settings;
        let mut published = false;
        let mut restores = self.parts.registrations.restores();
        loop {
            if restores.has_changed().unwrap_or_default() {
                restores.mark_unchanged();
                published = false;
            }
            if !published {
                let result = self
                    .parts
                    .store
                    .publish_peer_address(&settings.instance, settings.peer_address)
                    .await;
                published = result.is_ok();
                log::info!("event=announced peer={} result={result:?}", settings.peer_address);
            }
            let needs_peers = {
                let state = self.state();
                state.stored_peers.is_none()
                    || state.presence.live(self.parts.clock.now()).next().is_none()
            };
            if needs_peers {
                match self.parts.store.peer_addresses().await {
                    Ok(found) => self.state().stored_peers = Some(found),
                    Err(error) => log::debug!("event=announced_unread error={error:?}"),
                }
            }
            tokio::time::sleep(DISCOVERY_INTERVAL).await;
        }
    }

    /// Exchanges statuses with some peers in every round, until the process exits.
    pub async fn run(self) {
        let mut ticks = tokio::time::interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let targets = self.start_round();
            tokio::spawn(self.clone().exchange_with_all(targets));
        }
    }

    /// Sends the current status to all live daemons at once, and waits for their answers.
    pub async fn announce(&self) {
        self.start_round();
        let peers: Vec<SocketAddr> = {
            let state = self.state();
            state.presence.live(self.parts.clock.now()).map(|daemon| daemon.identity.peer).collect()
        };
        let calls: Vec<_> =
            peers.into_iter().map(|peer| tokio::spawn(self.clone().exchange_with(peer))).collect();
        for call in calls {
            // An error means that the task panicked, which the runtime logs.
            let _ = call.await;
        }
    }

    /// Sets the fencing token of the leader lease, or none if this daemon does not hold it.
    pub fn set_fencing(&self, fencing: Option<Fencing>) {
        self.state().fencing = fencing;
    }

    /// Whether another live daemon reports that it holds the leader lease and is not shutting down.
    pub fn another_leads(&self, now: MonotonicInstant) -> bool {
        let state = self.state();
        let mut others = state.presence.live(now).map(|daemon| &daemon.status);
        others.any(|status| status.acting.is_some() && status.phase != Phase::Leaving)
    }

    /// The request counts of a usage window by team, summed over all daemons.
    pub fn window_counts(&self, window: u64, teams: &[Team]) -> RequestCounts {
        let own = self.parts.usage.windows();
        let state = self.state();
        let others = state.presence.iter().filter_map(|daemon| daemon.status.windows.get(&window));
        sum_counts(others.chain(own.get(window)), teams.iter())
    }

    /// The wall-clock time on which most daemons agree.
    pub fn agreed_utc(&self, now: MonotonicInstant) -> UtcInstant {
        self.parts.usage.agreed_utc(now)
    }

    /// The prompt tokens that each daemon has received for a service since its start.
    pub fn prompt_tokens(&self, service: &Service) -> Vec<(Incarnation, u64)> {
        let own = self.parts.usage.prompt_tokens().get(service).copied().unwrap_or_default();
        let state = self.state();
        let others = state.presence.iter().map(|daemon| &daemon.status);
        let reported =
            others.filter_map(|status| Some((status.incarnation, *status.arrived.get(service)?)));
        reported.chain([(self.parts.incarnation, own)]).collect()
    }

    /// The responses for a service that each daemon has counted since its start.
    pub fn first_bytes(&self, service: &Service) -> Vec<(Incarnation, ResponseCounts)> {
        let own = self.parts.usage.first_bytes().get(service).copied().unwrap_or_default();
        let state = self.state();
        let others = state.presence.iter().map(|daemon| &daemon.status);
        let reported = others
            .filter_map(|status| Some((status.incarnation, *status.first_bytes.get(service)?)));
        reported.chain([(self.parts.incarnation, own)]).collect()
    }

    /// The mean number of prompt tokens of this daemon's requests for a service.
    pub fn mean_prompt_tokens(&self, service: &Service) -> f64 {
        self.parts.usage.mean_prompt_tokens(service)
    }

    /// Starts a round: updates the own status, applies the statuses of the peers, and returns the
    /// addresses of the daemons to exchange statuses with.
    fn start_round(&self) -> Vec<SocketAddr> {
        let now = self.parts.clock.now();
        let parts = &*self.parts;
        let mut state = self.state();
        if now.since(state.round_at) > SUSPENDED_AFTER {
            state.published_since.clear();
        }
        state.round_at = now;
        self.update_own_status(now, &mut state);
        self.apply_statuses(now, &mut state);
        self.follow_rollouts(now, &mut state);
        let state = &mut *state;
        self.set_limit_positions(now, state);
        state.presence.prune(now);
        let stored = state.stored_peers.as_deref().unwrap_or_default();
        let seeds = [parts.settings.seeds.as_slice(), stored].concat();
        state.presence.targets(now, parts.settings.peer_address, &seeds, &mut rand::rng())
    }

    /// Updates the own status if a heartbeat is due, or immediately if it contains a change that the
    /// other daemons must learn soon.
    fn update_own_status(&self, now: MonotonicInstant, state: &mut State) {
        let parts = &*self.parts;
        let phase = match (parts.draining.started(), self.is_ready()) {
            (true, _) => Phase::Leaving,
            (false, true) => Phase::Ready,
            (false, false) => Phase::Starting,
        };
        let config_version = parts.config.borrow().version;
        let leaving = parts.balancer.leaving(now, LEAVING_MAX);
        let limits =
            published_limits(state.started_at, parts.balancer.limit_reports(now, LIMITS_MAX));
        for service in state.own.arrived.keys() {
            if !state.published_since.contains_key(service) {
                state.published_since.insert(service.clone(), now);
            }
        }
        let own = &mut state.own;
        let lost = parts.balancer.lost_services(now);
        let has_news = own.phase != phase
            || own.lost != lost
            || own.config != config_version
            || own.acting != state.fencing
            || state.rollouts.has_news(now, &own.rollouts)
            || has_unlisted(own, &leaving)
            || limits.iter().any(|(upstream, limit)| {
                own.limits.get(upstream).is_none_or(|known| known.rate != limit.rate)
            });
        // Half a round of tolerance, because rounds vary in length.
        let interval = state.presence.heartbeat_interval().saturating_sub(ROUND_INTERVAL / 2);
        if !has_news && now.since(state.updated_at) < interval {
            return;
        }
        state.updated_at = now;
        own.beat += 1;
        own.uptime = millis(now.since(state.started_at));
        own.lost = lost;
        own.utc = parts.clock.utc();
        (own.phase, own.acting, own.config) = (phase, state.fencing, config_version);
        let last_success = parts.follower.last_success().max(parts.registrations.last_success());
        own.age = last_success.map(|at| millis(now.since(at)));
        (own.running, own.arrived) = (parts.balancer.own_load(), parts.usage.prompt_tokens());
        own.ranks = parts.ranks.own_loads(now);
        own.first_bytes = parts.usage.first_bytes();
        own.paces = parts.balancer.own_paces(now);
        let beat = own.beat;
        own.charged.set(beat, parts.usage.own_charges());
        let windows = parts.usage.windows();
        own.windows.set(beat, windows.counts().iter().map(|(key, counts)| (*key, counts.clone())));
        own.leaving.set(beat, leaving.ids.into_iter().map(|upstream| (upstream, ())));
        own.limits.set(beat, limits);
        self.update_own_rollouts(now, beat, &state.rollouts, &mut own.rollouts);
    }

    /// Sets this daemon's place among the senders to each limited upstream. While the others may
    /// not know that it sends requests, it has none.
    fn set_limit_positions(&self, now: MonotonicInstant, state: &State) {
        let own = &self.parts.settings.instance;
        let leaving = self.parts.draining.started();
        let senders: RefCell<BTreeMap<Service, Vec<(&Instance, Duration)>>> = RefCell::default();
        self.parts.balancer.set_limit_positions(now, |service, upstream| {
            let since = state.published_since.get(service)?;
            if leaving || now.since(*since) < SETTLE_TIME {
                return None;
            }
            let mut senders = senders.borrow_mut();
            let senders = senders
                .entry(service.clone())
                .or_insert_with(|| state.presence.senders(now, own, service));
            state.presence.position(own, senders, upstream)
        });
    }

    /// Passes what follows from the statuses to the balancer, the usage tracker and the relay.
    fn apply_statuses(&self, now: MonotonicInstant, state: &mut State) {
        let parts = &*self.parts;
        let visible = 1 + count(
            state.presence.live(now).filter(|daemon| daemon.status.phase != Phase::Leaving),
        );
        let known = 1 + count(state.presence.possibly_running(now));
        self.update_quota_keepers(now, state);
        parts.usage.on_daemon_counts(DaemonVisibility { visible, known: known.max(visible) });
        let before = parts.daemon_count.swap(visible, Ordering::Relaxed);
        if before != visible {
            log::info!("event=daemons_changed heard={visible} before={before} known={known}");
        }
        let clock_origins =
            state.presence.live(now).map(|daemon| clock_origin(daemon.at, daemon.status.utc));
        parts
            .usage
            .on_clocks(clock_origins.chain([clock_origin(now, parts.clock.utc())]).collect());
        let mut peer_load: BTreeMap<&Instance, (u32, u32)> = BTreeMap::new();
        for daemon in state.presence.live(now) {
            for (instance, (requests, queued)) in &daemon.status.running {
                let sum = peer_load.entry(instance).or_default();
                *sum = (sum.0 + requests, sum.1 + queued);
            }
        }
        parts.balancer.on_peer_load(&peer_load);
        self.update_ranks(now, state);
        self.update_paces(now, state);
        parts.helpers.set(suitable::helpers(now, &parts.settings.data_centre, &state.presence));
        let age = |reported: Option<u64>, since: Duration| {
            reported.map(|reported| Duration::from_millis(reported).saturating_add(since))
        };
        let own = (state.own.config, age(state.own.age, Duration::ZERO));
        let others = state
            .presence
            .live(now)
            .map(|daemon| (daemon.status.config, age(daemon.status.age, now.since(daemon.at))));
        let all: Vec<_> = others.chain([own]).collect();
        let newest = all.iter().map(|(config, _)| *config).max().unwrap_or(own.0);
        parts.follower.versions().set_held(newest);
        let min_age = all.into_iter().filter_map(|(_, age)| age).min();
        let current = own.0 == newest && min_age.is_some_and(|age| age <= CONFIG_MAX_AGE);
        if parts.config_is_current.swap(current, Ordering::Relaxed) != current {
            log::info!(
                "event=configuration_current current={current} version={} newest={newest} \
                 age_ms={:?}",
                own.0,
                min_age.map(|age| age.as_millis()),
            );
        }
    }

    /// Starts the exchanges of a round, spread over it: what one peer has answered needn't be
    /// fetched from the next one.
    async fn exchange_with_all(self, peers: Vec<SocketAddr>) {
        let gap = ROUND_INTERVAL / u32::try_from(peers.len().max(1)).unwrap_or(1);
        for (index, peer) in peers.into_iter().enumerate() {
            if index > 0 {
                tokio::time::sleep(gap).await;
            }
            tokio::spawn(self.clone().exchange_with(peer));
        }
    }

    async fn exchange_with(self, peer: SocketAddr) {
        let sent = self.parts.clock.now();
        let message = {
            let mut state = self.state();
            self.list_leaving(sent, &mut state);
            state.presence.message_to(sent, &state.own, peer)
        };
        match self.exchange(peer, message).await {
            Ok(reply) => {
                let known = reply.known.clone();
                self.apply_message(&reply);
                self.apply_coverage(sent, reply.coverage);
                self.state().presence.on_known_heartbeats(peer, known);
                self.fetch_missing(peer).await;
            }
            Err(error) => {
                log::debug!("event=status_call_failed peer={peer} error={error:?}");
                let mut state = self.state();
                state.presence.on_missed(peer);
                // A connection that did not answer must not be reused.
                state.connections.remove(&peer);
            }
        }
    }

    async fn exchange(&self, peer: SocketAddr, message: Message) -> Result<Message, ClientError> {
        self.connection(peer)?.exchange(message).await
    }

    /// A connection to another daemon, which is kept for further calls.
    pub(super) fn connection(&self, peer: SocketAddr) -> Result<PeerConnection, ClientError> {
        let mut state = self.state();
        if let Some(connection) = state.connections.get(&peer) {
            return Ok(connection.clone());
        }
        let connection = Dialer::default().connect(peer, EXCHANGE_TIMEOUT)?;
        state.connections.insert(peer, connection.clone());
        Ok(connection)
    }

    /// Applies a message from a peer and returns the reply.
    pub(super) fn on_message(&self, message: &Message) -> Message {
        self.apply_message(message);
        let now = self.parts.clock.now();
        let mut state = self.state();
        let leaving = self.list_leaving(now, &mut state);
        let mut reply = state.presence.reply(now, &state.own, message);
        let age = self.parts.registrations.age(now).filter(|_| leaving.complete);
        reply.coverage = age.map(|age| Coverage {
            sender: state.own.incarnation,
            beat: state.own.beat,
            // Rounded up, so that it is never less than the age.
            age: millis(age) + 1,
        });
        reply
    }

    /// Lists in the own status all leaving upstreams that this daemon knows, and returns them. Replies
    /// state how recent that list is, and forwarded statuses don't repeat it, so it has to be complete
    /// before each message.
    fn list_leaving(&self, now: MonotonicInstant, state: &mut State) -> LeavingUpstreams {
        let leaving = self.parts.balancer.leaving(now, LEAVING_MAX);
        if has_unlisted(&state.own, &leaving) {
            self.update_own_status(now, state);
        }
        leaving
    }

    /// Applies what the reply to a call sent at `sent` states about leaving upstreams, after its
    /// statuses have been applied.
    fn apply_coverage(&self, sent: MonotonicInstant, coverage: Option<Coverage>) {
        let Some(coverage) = coverage else { return };
        if self.state().presence.includes(&coverage) {
            self.parts.registrations.on_peer(sent, Duration::from_millis(coverage.age));
        }
    }

    fn apply_message(&self, message: &Message) {
        let now = self.parts.clock.now();
        let updated = self.state().presence.on_message(now, self.parts.incarnation, message);
        let statuses = message.statuses.iter().map(|(_, status)| status);
        for status in statuses.filter(|found| updated.contains(&found.incarnation)) {
            self.parts.follower.versions().on_heard(now, status.config, "status");
            for (upstream, ()) in status.leaving.iter() {
                self.parts.balancer.on_leaving(now, upstream, "daemon");
            }
            let limit_reports = self.state().presence.limit_reports(status.incarnation);
            for (upstream, report) in limit_reports {
                self.parts.balancer.on_limit_report(now, &upstream, report);
            }
            self.apply_rollouts(now, status.incarnation);
        }
    }

    /// Fetches the upstreams from a peer, from time to time while the store does not answer.
    async fn fetch_missing(&self, peer: SocketAddr) {
        let now = self.parts.clock.now();
        let last_success = self.parts.registrations.last_success();
        let max_silence = self.parts.registrations.read_interval_max() + STORE_GRACE;
        let store_silent = last_success.is_none_or(|at| now.since(at) > max_silence);
        if store_silent && self.state().own.beat.is_multiple_of(FETCH_INTERVAL_BEATS) {
            self.fetch_registrations(peer).await;
        }
    }

    async fn fetch_registrations(&self, peer: SocketAddr) {
        let Ok(connection) = self.connection(peer) else { return };
        match connection.registrations().await {
            Ok(registrations) => {
                let now = self.parts.clock.now();
                for registration in registrations {
                    self.parts.balancer.on_registration(now, registration, "daemon");
                }
            }
            Err(error) => {
                log::debug!("event=registrations_call_failed peer={peer} error={error:?}");
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is safe to use: no holder panics halfway through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether some leaving upstreams are not listed in a status yet.
fn has_unlisted(status: &Status, leaving: &LeavingUpstreams) -> bool {
    leaving.ids.iter().any(|upstream| status.leaving.get(upstream).is_none())
}

/// Limits as a daemon that started at `started_at` publishes them.
fn published_limits(
    started_at: MonotonicInstant,
    reports: Vec<(UpstreamId, LimitReport)>,
) -> Vec<(UpstreamId, PublishedLimit)> {
    let published = |report: LimitReport| PublishedLimit {
        rate: report.rate,
        uptime: millis(report.at.since(started_at)),
    };
    reports.into_iter().map(|(upstream, report)| (upstream, published(report))).collect()
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}
