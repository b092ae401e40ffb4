use super::*;
use crate::node::config_archive::ConfigArchive;
use crate::node::fake_store::{FakeLink, FakeStore, filled_document};
use rand::RngExt;
use spindle_policy::cluster_clock::ClusterClock;
use spindle_policy::shared_limits::{QuotaTolerance, RetryBudgetSpec};
use spindle_relay::usage::UsageRules;
use spindle_relay::{ActiveConfig, ConfigVersions, Limits, UsageTracker};
use spindle_types::{MonotonicInstant, SystemClock, UtcInstant};
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

/// Timeout of a call between daemons, as in [`crate::node::status_exchange`].
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// The time between two exchanges of statuses by a daemon.
const ROUND: Duration = Duration::from_millis(200);

/// The part of the calls about statuses and of the notices that are lost.
const LOST_CALLS: (u32, u32) = (1, 10);

/// What a message takes beside its content, in bytes.
const ENVELOPE_BYTES: usize = 400;

/// One of the daemons of a simulated deployment.
struct Node {
    archive: ConfigArchive,
    versions: ConfigVersions,
    config: watch::Receiver<Arc<ActiveConfig>>,
    uplink: FakeLink,
    downlink: FakeLink,
    is_dead: AtomicBool,
    /// Versions of all daemons, as this one knows them.
    known: Mutex<Vec<u64>>,
    tasks: Mutex<Vec<AbortHandle>>,
}

/// Daemons in two data centres, with links of 10 Mbit/s, before one store.
struct Deployment {
    store: FakeStore,
    clock: SystemClock,
    nodes: Vec<Node>,
    /// Whether daemons answer only calls of an earlier release.
    is_older: bool,
    /// Number of bytes that daemons have sent each other about configurations.
    sent: AtomicUsize,
    generator: Mutex<ChaCha8Rng>,
}

#[derive(Clone)]
struct Peers {
    deployment: Arc<Deployment>,
    own: usize,
}

fn address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).unwrap();
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + index))
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - 1_000)
}

impl Peers {
    fn node(&self) -> &Node {
        &self.deployment.nodes[self.own]
    }

    /// Sends a message to a daemon and returns its answer of `size` bytes, or fails after the timeout.
    async fn call<T>(
        &self,
        peer: SocketAddr,
        answer: impl FnOnce(&Node) -> T,
        size: impl FnOnce(&T) -> usize,
    ) -> Result<T, ClientError> {
        let deployment = &self.deployment;
        let peer = &deployment.nodes[index(peer)];
        let exchange = async {
            if peer.is_dead.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            self.node().uplink.transfer(ENVELOPE_BYTES).await;
            let answer = answer(peer);
            let bytes = ENVELOPE_BYTES + size(&answer) * 4 / 3;
            deployment.sent.fetch_add(bytes, Ordering::Relaxed);
            peer.uplink.transfer(bytes).await;
            self.node().downlink.transfer(bytes).await;
            answer
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.map_err(|_| ClientError::RequestTimeout)
    }
}

fn is_local(one: usize, other: usize) -> bool {
    one % 2 == other % 2
}

impl ConfigPeers for Peers {
    fn holders(&self, version: u64) -> Vec<Holder<SocketAddr>> {
        let known = lock(&self.node().known).clone();
        let holder = |(other, version): (usize, u64)| Holder {
            address: address(other),
            version,
            is_local: is_local(self.own, other),
        };
        let holders = known.into_iter().enumerate().filter(|(other, _)| *other != self.own);
        holders.map(holder).filter(|holder| holder.version > version).collect()
    }

    fn lacking(&self, version: u64) -> Vec<SocketAddr> {
        let known = lock(&self.node().known).clone();
        let others = known.into_iter().enumerate().filter(|(other, _)| *other != self.own);
        others.filter(|(_, known)| *known < version).map(|(other, _)| address(other)).collect()
    }

    async fn piece(
        &self,
        peer: SocketAddr,
        question: ConfigQuestion,
    ) -> Result<Option<ConfigPiece>, ClientError> {
        if self.deployment.is_older {
            let code = jsonrpsee::types::error::METHOD_NOT_FOUND_CODE;
            let unknown = jsonrpsee::types::ErrorObject::owned(code, "unknown", None::<()>);
            return Err(ClientError::Call(unknown));
        }
        let size = |piece: &Option<ConfigPiece>| piece.as_ref().map_or(0, |one| one.content.len());
        self.call(peer, |node| node.archive.piece(question), size).await
    }

    async fn document(&self, peer: SocketAddr) -> Result<Option<Document>, ClientError> {
        let size =
            |document: &Option<Document>| document.as_ref().map_or(0, |one| one.content.len());
        self.call(peer, |node| node.archive.newest(), size).await
    }

    async fn tell(&self, peer: SocketAddr, version: u64) {
        if self.deployment.is_lost() {
            return;
        }
        let now = self.deployment.clock.now();
        let own = self.own;
        let told = |node: &Node| {
            let known = &mut lock(&node.known)[own];
            *known = version.max(*known);
            node.versions.on_heard(now, version, "notice");
        };
        // An error means that the daemon is dead.
        let _ = self.call(peer, told, |()| 0).await;
    }
}

impl Deployment {
    /// Starts `count` daemons that all have the first version.
    async fn start(count: usize, document_bytes: usize, is_older: bool) -> Arc<Self> {
        let store = FakeStore::with_documents(document_bytes);
        store.set(1);
        let clock = SystemClock::new();
        let daemon_count = Arc::new(AtomicU32::new(u32::try_from(count).unwrap()));
        let (mut nodes, mut followers) = (Vec::new(), Vec::new());
        for index in 0..count {
            let (sender, config) = watch::channel(Arc::new(ActiveConfig::default()));
            let (uplink, downlink) = (FakeLink::default(), FakeLink::default());
            let versions = ConfigVersions::new(Duration::from_secs(1));
            let follower = ConfigurationFollower::new(
                store.behind(downlink.clone()),
                clock,
                (usage(), versions.clone()),
                (sender, watch::Sender::new(Limits::default())),
                watch::Sender::new(0).subscribe(),
                (Arc::clone(&daemon_count), index as u64),
            );
            nodes.push(Node {
                archive: follower.archive().clone(),
                versions,
                config,
                uplink,
                downlink,
                is_dead: AtomicBool::new(false),
                known: Mutex::new(vec![1; count]),
                tasks: Mutex::default(),
            });
            followers.push(follower);
        }
        let generator = Mutex::new(ChaCha8Rng::seed_from_u64(count as u64));
        let sent = AtomicUsize::new(0);
        let deployment = Arc::new(Self { store, clock, nodes, is_older, sent, generator });
        for (own, follower) in followers.into_iter().enumerate() {
            let peers = Peers { deployment: Arc::clone(&deployment), own };
            let exchange = ConfigExchange::new(follower.clone(), clock, peers.clone(), own as u64);
            let tasks = [
                tokio::spawn(follower.run()),
                tokio::spawn(exchange.run()),
                tokio::spawn(gossip(peers)),
            ];
            let handles = tasks.iter().map(tokio::task::JoinHandle::abort_handle);
            lock(&deployment.nodes[own].tasks).extend(handles);
        }
        tokio::time::sleep(Duration::from_secs(8)).await;
        assert_eq!(deployment.behind(1), 0);
        deployment
    }

    fn is_lost(&self) -> bool {
        lock(&self.generator).random_ratio(LOST_CALLS.0, LOST_CALLS.1)
    }

    /// The number of live daemons that lack a version.
    fn behind(&self, version: u64) -> usize {
        let live = self.nodes.iter().filter(|node| !node.is_dead.load(Ordering::Relaxed));
        live.filter(|node| node.config.borrow().version < version).count()
    }

    fn kill(&self, index: usize) {
        let node = &self.nodes[index];
        node.is_dead.store(true, Ordering::Relaxed);
        lock(&node.tasks).iter().for_each(AbortHandle::abort);
    }

    /// Publishes a version and checks that each live daemon has it within `bound`. Returns the time
    /// until the last one had it.
    async fn publish(self: Arc<Self>, version: u64, bound: Duration) -> Duration {
        self.store.set(version);
        let started = self.clock.now();
        while self.behind(version) > 0 {
            let time = self.clock.now().since(started);
            let (behind, count) = (self.behind(version), self.nodes.len());
            assert!(time <= bound, "{behind} of {count} daemons lack {version} after {time:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        self.clock.now().since(started)
    }
}

fn usage() -> UsageTracker {
    let second = Duration::from_secs(1);
    let retries = RetryBudgetSpec { ratio: 0.2, slack: 1.0, window: second };
    let tolerance = QuotaTolerance { overage: 0.0, slack: 0.0, window: second };
    UsageTracker::new(
        UsageRules { retries, tolerance, window: second },
        ClusterClock::new(MonotonicInstant::default(), UtcInstant(0)),
        tokio::sync::mpsc::channel(1).0,
    )
}

/// Exchanges with a random daemon in each round which versions are in force where.
async fn gossip(peers: Peers) {
    let count = peers.deployment.nodes.len();
    loop {
        tokio::time::sleep(ROUND).await;
        let other = lock(&peers.deployment.generator).random_range(0..count);
        let (node, peer) = (peers.node(), &peers.deployment.nodes[other]);
        let is_dead = peer.is_dead.load(Ordering::Relaxed);
        if other == peers.own || is_dead || peers.deployment.is_lost() {
            continue;
        }
        let now = peers.deployment.clock.now();
        lock(&node.known)[peers.own] = node.versions.own();
        lock(&peer.known)[other] = peer.versions.own();
        let (own, theirs) = (lock(&node.known).clone(), lock(&peer.known).clone());
        let merged: Vec<u64> = own.iter().zip(&theirs).map(|(a, b)| *a.max(b)).collect();
        let newest = merged.iter().copied().max().unwrap_or_default();
        for side in [node, peer] {
            lock(&side.known).clone_from(&merged);
            side.versions.on_heard(now, newest, "status");
        }
    }
}

/// Half of the time that the users' documentation allows at deployments of that size.
fn bound(count: usize) -> Duration {
    Duration::from_millis(match count {
        0..=24 => 1_000,
        25..=100 => 1_500,
        _ => 2_000,
    })
}

/// Publishes some versions `gap` apart; a tenth of the daemons dies in between.
async fn check_storm(count: usize, document_bytes: usize, gap: Duration) {
    let deployment = Deployment::start(count, document_bytes, false).await;
    let mut published = JoinSet::new();
    for version in 2..8 {
        published.spawn(Arc::clone(&deployment).publish(version, bound(count)));
        tokio::time::sleep(gap).await;
        if version == 5 {
            (0..count / 10).for_each(|index| deployment.kill(index));
        }
    }
    let slowest = published.join_all().await.into_iter().max();
    let sent = deployment.sent.load(Ordering::Relaxed) / count;
    println!(
        "{count} daemons, {document_bytes} bytes, gap {gap:?}: {slowest:?}, {sent} bytes each"
    );
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_everywhere_within_half_of_the_time_allowed() {
    for count in [1, 2, 8, 25, 58, 195, 400] {
        check_storm(count, 1_000, Duration::from_secs(3)).await;
    }
    for (count, document_bytes) in
        [(8, 1_000_000), (58, 1_000_000), (195, 1_000_000), (400, 300_000)]
    {
        check_storm(count, document_bytes, Duration::from_secs(3)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn changes_in_quick_succession_are_in_force_within_half_of_the_time_allowed() {
    for count in [8, 58, 400] {
        check_storm(count, 280_000, Duration::from_millis(330)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn daemons_of_an_earlier_release_are_asked_for_whole_documents() {
    let deployment = Deployment::start(8, 10_000, true).await;
    deployment.store.unreachable.store(true, Ordering::Relaxed);
    // One daemon has read a version that the others can't read.
    let newer = Document { version: 2, content: filled_document(2, 10_000), mark: None };
    deployment.nodes[0].archive.add(newer);
    for node in &deployment.nodes[1..] {
        lock(&node.known)[0] = 2;
        node.versions.on_heard(deployment.clock.now(), 2, "status");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(deployment.behind(2), 0);
}
