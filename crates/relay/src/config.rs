//! The configuration as the request path uses it: immutable, indexed for lookups and only
//! replaced in its entirety.

use spindle_policy::rank_admission::Rank;
use spindle_policy::shared_limits::QuotaSpec;
use spindle_types::{DataCentre, Service, Team};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// API key by which a caller is identified as a member of a team.
pub type ApiKey = String;

/// Whether and how a request may be sent to an upstream more than once.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatPolicy {
    /// Idempotent: it may be executed more than once.
    Safe,
    /// Not idempotent: it is executed at most once.
    Once,
    /// A stream that may be resumed at another upstream after its last complete event.
    Resumable,
    /// A stream that is executed at most once and can't be resumed.
    StreamOnce,
}

impl RepeatPolicy {
    /// Whether a request that may have been executed may be sent again.
    pub const fn allows_retry(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether the response is a stream of server-sent events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::StreamOnce)
    }
}

/// Rules for the requests of one host whose paths begin with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, used in the log.
    pub name: String,
    /// Host name that requests are matched against, without regard to case.
    pub host: String,
    /// Path prefix that requests are matched against; begins and ends with a slash.
    pub prefix: String,
    /// Services that requests are split among, each with its relative weight.
    pub services: Vec<(Service, u32)>,
    /// Whether and how requests may be repeated.
    pub repeat: RepeatPolicy,
    /// Maximum time of a request, from its first byte to the end of the response.
    pub timeout: Duration,
    /// Target latency: time within which a response, or the first event of a stream, should arrive.
    pub target_latency: Duration,
    /// Longest interval between two events of a stream that still counts as on time, if the route
    /// sets one.
    pub target_event_interval: Option<Duration>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts_max: u32,
    /// Priority of requests; 0 is the highest.
    pub priority: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
}

/// Limits of a service and its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Maximum number of connections to one upstream, from all daemons together.
    pub connections_max: u32,
    /// Number of requests that one engine processes concurrently; `None` if the service does not
    /// run on engines.
    pub engine_slots: Option<u32>,
    /// Limits for the automatic ordering of instances; `None` if they are not ordered
    /// automatically.
    pub scale: Option<ScaleSpec>,
}

/// Limits that the operators set on the number of instances of a service, and the figures from
/// which their cost is calculated.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleSpec {
    /// Minimum number of instances in a data centre, reclaimable ones included.
    pub instances_min: u32,
    /// Maximum number of instances in a data centre, reclaimable ones included.
    pub instances_max: u32,
    /// Time from ordering an instance until it serves its first request.
    pub startup_time: Duration,
    /// Price of a reclaimable instance as a fraction of the regular price; `None` if the service
    /// uses no reclaimable instances.
    pub reclaimable_price: Option<f64>,
    /// Relative price of an instance in each data centre that offers instances.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// Priority and quota of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// The team's name.
    pub team: Team,
    /// Priority of the team's requests, which overrides that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Usage quota; `None` means unlimited.
    pub quota: Option<QuotaSpec>,
    /// Whether the quota is counted in tokens; otherwise in requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request that does not state its number of tokens, if the quota is
    /// counted in tokens.
    pub default_tokens: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: usize,
    /// Maximum time from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed; also the maximum time in which a request body
    /// must arrive.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits of the users' example configuration, which apply until the first configuration
    /// has been read.
    fn default() -> Self {
        Self {
            head_bytes_max: 16_384,
            body_bytes_max: 4_194_304,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The priority ranks of a service that has two or more.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRanks {
    /// Shortest target latency of the service's routes.
    pub shortest_target: Duration,
    /// Shortest target latency of the requests that may be of each rank.
    targets: BTreeMap<Rank, Duration>,
}

impl ServiceRanks {
    /// The ranks of the requests of some routes of one service, and of some teams that may use them;
    /// `None` if there are fewer than two.
    fn new(routes: &[&Route], teams: &[TeamSpec]) -> Option<Self> {
        let shortest_target = routes.iter().map(|route| route.target_latency).min()?;
        let mut targets: BTreeMap<Rank, Duration> = BTreeMap::new();
        for route in routes {
            let target = targets.entry(Rank::from(route.priority)).or_insert(route.target_latency);
            *target = route.target_latency.min(*target);
        }
        let is_public = routes.iter().all(|route| route.public);
        for priority in teams.iter().filter_map(|spec| spec.priority).filter(|_| !is_public) {
            targets.insert(Rank::from(priority), shortest_target);
        }
        (targets.len() >= 2).then_some(Self { shortest_target, targets })
    }

    /// The ranks, the most urgent one first.
    pub fn ranks(&self) -> Vec<Rank> {
        self.targets.keys().copied().collect()
    }

    /// The shortest target latency of requests that are at least as urgent as `rank`.
    pub fn target_up_to(&self, rank: Rank) -> Option<Duration> {
        self.targets.range(..=rank).map(|(_, target)| *target).min()
    }
}

/// A configuration with indices for lookups. The default one has version 0, which means that
/// none has been read yet.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Version, which never decreases while a daemon runs; 0 if no configuration has been read.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Services by name.
    pub services: HashMap<Service, ServiceSpec>,
    ranks: HashMap<Service, ServiceRanks>,
    routes: Vec<Arc<Route>>,
    index: HashMap<String, HashMap<String, usize>>,
    teams: Vec<TeamSpec>,
    keys: HashMap<ApiKey, usize>,
}

impl ActiveConfig {
    /// Creates a configuration and builds its indices. Each team comes with its API keys.
    pub fn new(
        version: u64,
        limits: Limits,
        services: HashMap<Service, ServiceSpec>,
        routes: Vec<Route>,
        teams: Vec<(TeamSpec, Vec<ApiKey>)>,
    ) -> Self {
        let mut index: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (position, route) in routes.iter().enumerate() {
            let host = index.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), position);
        }
        let mut keys = HashMap::new();
        let mut specs = Vec::with_capacity(teams.len());
        for (spec, team_keys) in teams {
            keys.extend(team_keys.into_iter().map(|key| (key, specs.len())));
            specs.push(spec);
        }
        let ranks = service_ranks(&routes, &specs);
        let routes = routes.into_iter().map(Arc::new).collect();
        Self { version, limits, services, ranks, routes, index, teams: specs, keys }
    }

    /// Finds the route of a host with the longest matching path prefix. A port in `host` is ignored
    /// if no route names it.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lowercase_host = host.to_ascii_lowercase();
        let prefixes = self.index.get(&lowercase_host).or_else(|| {
            let (name, _port) = lowercase_host.rsplit_once(':')?;
            self.index.get(name)
        })?;
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let position =
            ends.map(|(end, _)| &path[..=end]).find_map(|prefix| prefixes.get(prefix))?;
        self.routes.get(*position)
    }

    /// The priority ranks of a service; `None` if all its requests are equally urgent.
    pub fn ranks(&self, service: &Service) -> Option<&ServiceRanks> {
        self.ranks.get(service)
    }

    /// All routes, in the order of the configuration.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Finds the team that an API key belongs to.
    pub fn team_of(&self, key: &str) -> Option<&TeamSpec> {
        self.teams.get(*self.keys.get(key)?)
    }

    /// All teams. If there are none, no request needs a key.
    pub fn teams(&self) -> &[TeamSpec] {
        &self.teams
    }
}

fn service_ranks(routes: &[Route], teams: &[TeamSpec]) -> HashMap<Service, ServiceRanks> {
    let names: BTreeSet<&Service> =
        routes.iter().flat_map(|route| route.services.iter().map(|(service, _)| service)).collect();
    let ranks = names.into_iter().filter_map(|name| {
        let leads_there = |route: &&Route| route.services.iter().any(|(found, _)| found == name);
        let own: Vec<&Route> = routes.iter().filter(leads_there).collect();
        Some((name.clone(), ServiceRanks::new(&own, teams)?))
    });
    ranks.collect()
}

#[cfg(test)]
mod tests;
