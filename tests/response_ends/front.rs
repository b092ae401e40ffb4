//! A relay with its server for callers, in the process of the test.

use crate::raw::RawUpstream;
use spindle_http::DrainTrigger;
use spindle_platform::headers::PlatformProtocol;
use spindle_platform::ingress::Ingress;
use spindle_policy::cluster_clock::ClusterClock;
use spindle_policy::shared_limits::{QuotaTolerance, RetryBudgetSpec};
use spindle_policy::upstream_registry::{Registration, UpstreamId};
use spindle_relay::caller_stream::CurrentLimits;
use spindle_relay::crash_keeper::CrashKeeper;
use spindle_relay::helpers::Helpers;
use spindle_relay::pool::ConnectionPool;
use spindle_relay::rank_room::RankRoom;
use spindle_relay::relay::RelayParts;
use spindle_relay::response_body::BodyMemory;
use spindle_relay::stream_keeper::StreamKeeper;
use spindle_relay::usage::UsageRules;
use spindle_relay::{
    ActiveConfig, Balancer, ConfigVersions, Limits, Relay, RepeatPolicy, RolloutWatch, Route,
    ServiceSpec, UsageTracker, caller_server,
};
use spindle_types::{Clock, MonotonicInstant, SystemClock};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The most retries that requests may take from the budget in these tests.
pub(crate) const RETRIES_MAX: f64 = 40.0;

/// The memory that all request bodies may use together in these tests.
pub(crate) const REQUEST_MEMORY_BYTES: usize = 1_000_000;

/// How long the relay decides by its configuration after it has heard of a newer one.
pub(crate) const CONFIG_PATIENCE: Duration = Duration::from_millis(50);

/// A relay before one fake upstream, which is registered under several names.
pub(crate) struct Front {
    pub(crate) caller: SocketAddr,
    pub(crate) pool: ConnectionPool,
    pub(crate) versions: ConfigVersions,
    pub(crate) clock: SystemClock,
    _stop: DrainTrigger,
    _senders: (watch::Sender<Arc<ActiveConfig>>, watch::Sender<Limits>),
    balancer: Balancer,
}

fn route(repeat: RepeatPolicy, attempts_max: u32) -> Route {
    let name = <&'static str>::from(repeat);
    Route {
        name: name.to_owned(),
        host: "h.example".to_owned(),
        prefix: format!("/{name}/"),
        services: vec![("model".try_into().unwrap(), 1)],
        repeat,
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(300),
        target_event_interval: Some(Duration::from_millis(300)),
        attempts_max,
        priority: 0,
        public: true,
    }
}

/// Registers an upstream under several names.
/// A configuration with one route for each kind of request.
fn configuration(attempts_max: u32) -> ActiveConfig {
    let spec = ServiceSpec { connections_max: 1_000, engine_slots: None, scale: None };
    let services = HashMap::from([("model".try_into().unwrap(), spec)]);
    let repeats =
        [RepeatPolicy::Safe, RepeatPolicy::Once, RepeatPolicy::Resumable, RepeatPolicy::StreamOnce];
    let routes = repeats.map(|repeat| route(repeat, attempts_max)).to_vec();
    ActiveConfig::new(1, Limits::default(), services, routes, Vec::new())
}

fn register(balancer: &Balancer, now: MonotonicInstant, address: SocketAddr, names: usize) {
    for name in 0..names {
        let registration = Registration {
            id: UpstreamId {
                instance: format!("i-{name}").as_str().try_into().unwrap(),
                started_at_ms: 1,
            },
            service: "model".try_into().unwrap(),
            address,
            data_centre: "a-1".try_into().unwrap(),
            version: "v1".try_into().ok(),
            slots: 200,
            leaving: false,
            reclaimable: false,
        };
        balancer.on_registration(now, registration, "test");
    }
}

fn usage_rules() -> UsageRules {
    let second = Duration::from_secs(1);
    UsageRules {
        retries: RetryBudgetSpec { ratio: 0.0, slack: RETRIES_MAX, window: 60 * second },
        tolerance: QuotaTolerance { overage: 0.0, slack: 0.0, window: second },
        window: second,
    }
}

impl Front {
    /// Starts a relay whose routes allow two attempts. The upstream is registered under `names` names.
    pub(crate) async fn start(upstream: &RawUpstream, names: usize) -> Self {
        Self::start_with_attempts(upstream, names, 2).await
    }

    /// The same with routes that allow so many attempts.
    pub(crate) async fn start_with_attempts(
        upstream: &RawUpstream,
        names: usize,
        attempts_max: u32,
    ) -> Self {
        let clock = SystemClock::new();
        let pool = ConnectionPool::default();
        let balancer = Balancer::new("a-1".try_into().unwrap(), pool.clone());
        register(&balancer, clock.now(), upstream.address, names);
        let config = configuration(attempts_max);
        let (config_sender, config) = watch::channel(Arc::new(config));
        let (limits_sender, limits) = watch::channel(Limits::default());
        let cluster_clock = ClusterClock::new(clock.now(), clock.utc());
        let calls = tokio::sync::mpsc::channel(1).0;
        let usage = UsageTracker::new(usage_rules(), cluster_clock, calls);
        let versions = ConfigVersions::new(CONFIG_PATIENCE);
        versions.on_in_force(clock.now(), 1, "test");
        let stop = DrainTrigger::new();
        let relay = Relay::new(RelayParts {
            clock,
            protocol: PlatformProtocol,
            balancer: balancer.clone(),
            usage,
            config,
            config_is_current: Arc::new(AtomicBool::new(true)),
            versions: versions.clone(),
            daemon_count: Arc::new(AtomicU32::new(1)),
            refuse_streams: Arc::default(),
            give_up: stop.signal(),
            request_memory: BodyMemory::new(REQUEST_MEMORY_BYTES),
            body_memory: BodyMemory::default(),
            keeper: StreamKeeper::new().0,
            crashes: CrashKeeper::new("d-1".try_into().unwrap()),
            helpers: Helpers::default(),
            rollouts: RolloutWatch::default(),
            instance: "d-1".try_into().unwrap(),
            ranks: RankRoom::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let caller = listener.local_addr().unwrap();
        let ingress = Ingress::new(relay, clock, stop.signal());
        tokio::spawn(caller_server::serve(
            listener,
            ingress,
            CurrentLimits::new(limits),
            1_000,
            stop.signal(),
        ));
        Self {
            caller,
            pool,
            versions,
            clock,
            balancer,
            _stop: stop,
            _senders: (config_sender, limits_sender),
        }
    }

    /// Sends a request and reads what arrives until the connection ends.
    pub(crate) async fn ask(&self, version: &str, repeat: RepeatPolicy, id: &str) -> Received {
        self.ask_at((version, ""), &format!("/{repeat}/x"), id).await
    }

    /// Notes that all upstreams are leaving.
    pub(crate) fn set_leaving(&self) {
        let now = self.clock.now();
        let registered = self.balancer.usable_registrations(now);
        registered.iter().for_each(|one| self.balancer.on_leaving(now, &one.id, "test"));
    }

    /// Sends a request that names the last event that the caller has.
    pub(crate) async fn ask_after(&self, event: u64, repeat: RepeatPolicy, id: &str) -> Received {
        let header = format!("last-event-id: {event}\r\n");
        self.ask_at(("1.1", &header), &format!("/{repeat}/x"), id).await
    }

    /// The status of the response to a request for a path.
    pub(crate) async fn status_of(&self, path: &str) -> u16 {
        self.ask_at(("1.1", ""), path, "status").await.status
    }

    async fn ask_at(&self, (version, header): (&str, &str), path: &str, id: &str) -> Received {
        let mut stream = TcpStream::connect(self.caller).await.unwrap();
        let request = format!(
            "POST {path} HTTP/{version}\r\nhost: h.example\r\nx-request-id: {id}\r\n{header}\
             x-deadline-remaining-ms: 4000\r\nconnection: close\r\ncontent-length: 1\r\n\r\nq"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        let reset = stream.read_to_end(&mut bytes).await.is_err();
        Received::new(&bytes, reset)
    }
}

/// What a caller received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Received {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
    /// Whether it is framed as complete.
    pub(crate) complete: bool,
}

impl Received {
    fn new(bytes: &[u8], reset: bool) -> Self {
        let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
            return Self { status: 0, body: Vec::new(), complete: false };
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let status = head[9..12].parse().unwrap();
        let body = &bytes[end + 4..];
        let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        if let Some(length) = value("content-length: ") {
            let complete = body.len() == length.parse::<usize>().unwrap();
            return Self { status, body: body.to_vec(), complete };
        }
        if value("transfer-encoding: chunked").is_some() {
            let (body, complete) = decode_chunks(body);
            return Self { status, body, complete };
        }
        Self { status, body: body.to_vec(), complete: !reset }
    }
}

/// Returns the content of chunks, and whether the last one arrived.
fn decode_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        let content = &rest[end + 2..];
        if size == 0 {
            return (body, content.starts_with(b"\r\n"));
        }
        let Some(chunk) = content.get(..size) else {
            body.extend_from_slice(content);
            return (body, false);
        };
        body.extend_from_slice(chunk);
        rest = content.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
