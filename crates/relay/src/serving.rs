//! The configuration as the request path uses it: swapped whole, looked up by prepared indices.

use spindle_policy::shared_limits::QuotaSpec;
use spindle_types::{DataCentre, Service, Team};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// A key by which a caller proves its team.
pub type Key = String;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Repeat {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Once,
    /// A stream that may go on at another upstream after its last whole event.
    Resumable,
    /// A stream that runs at most once.
    StreamOnce,
}

impl Repeat {
    /// Whether a request that may have run may be sent again.
    pub const fn again(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub const fn streams(self) -> bool {
        matches!(self, Self::Resumable | Self::StreamOnce)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host whose requests it takes.
    pub host: String,
    /// The prefix of their paths; begins and ends with a slash.
    pub prefix: String,
    /// The services that it sends to, each with its weight.
    pub services: Vec<(Service, u32)>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is on time.
    pub target: Duration,
    /// The longest pause between two events that is on time.
    pub pause: Option<Duration>,
    /// The upstreams to which one request may be sent.
    pub attempts: u32,
    /// Its rank; 0 is served first.
    pub priority: u32,
    /// Whether it asks for no key.
    pub public: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one of its upstreams takes from all daemons together.
    pub connections: u32,
    /// Requests that one of its engines works on at once, if it is a model's.
    pub engine: Option<u32>,
    /// The envelope within which instances are ordered, if they can be.
    pub scale: Option<ScaleSpec>,
}

/// The operators' envelope for the instances of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleSpec {
    /// The fewest instances in a data centre, of both kinds together.
    pub min: u32,
    /// The most instances in a data centre, of both kinds together.
    pub max: u32,
    /// The time from an order to the first request served.
    pub boot: Duration,
    /// The price of a reclaimable instance as a share of that of the others, if there are any.
    pub reclaimable: Option<f64>,
    /// What an instance costs in each data centre that has some, against the others.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// Its name.
    pub team: Team,
    /// Its rank, which goes before that of a route.
    pub priority: Option<u32>,
    /// How much it may use; none means no limit.
    pub quota: Option<QuotaSpec>,
    /// Whether the quota is counted in tokens rather than in requests.
    pub tokens: bool,
    /// The tokens of a request that names none.
    pub plain: f64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The largest head, in bytes.
    pub head: usize,
    /// The largest body, in bytes.
    pub body: usize,
    /// The time within which a head must arrive.
    pub head_time: Duration,
    /// The time after which an unused connection is closed.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// The limits of the users' example configuration; in force until the first one is known.
    fn default() -> Self {
        Self {
            head: 16_384,
            body: 4_194_304,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Serving {
    /// Its version; never goes down in the life of a daemon.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    /// The services.
    pub services: HashMap<Service, ServiceSpec>,
    routes: Vec<Arc<Route>>,
    index: HashMap<String, HashMap<String, usize>>,
    teams: Vec<TeamSpec>,
    keys: HashMap<Key, usize>,
}

impl Serving {
    /// A configuration with prepared indices.
    pub fn new(
        version: u64,
        limits: Limits,
        services: HashMap<Service, ServiceSpec>,
        routes: Vec<Route>,
        teams: Vec<(TeamSpec, Vec<Key>)>,
    ) -> Self {
        let mut index: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (place, route) in routes.iter().enumerate() {
            let host = index.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), place);
        }
        let mut keys = HashMap::new();
        let mut specs = Vec::with_capacity(teams.len());
        for (spec, of_team) in teams {
            keys.extend(of_team.into_iter().map(|key| (key, specs.len())));
            specs.push(spec);
        }
        let routes = routes.into_iter().map(Arc::new).collect();
        Self { version, limits, services, routes, index, teams: specs, keys }
    }

    /// The route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lower = host.to_ascii_lowercase();
        let prefixes = self.index.get(&lower).or_else(|| {
            let (name, _port) = lower.rsplit_once(':')?;
            self.index.get(name)
        })?;
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let place = ends.map(|(end, _)| &path[..=end]).find_map(|prefix| prefixes.get(prefix))?;
        self.routes.get(*place)
    }

    /// All routes.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// The team that holds a key.
    pub fn team_of(&self, key: &str) -> Option<&TeamSpec> {
        self.teams.get(*self.keys.get(key)?)
    }

    /// All teams.
    pub fn teams(&self) -> &[TeamSpec] {
        &self.teams
    }
}

#[cfg(test)]
mod tests;
