use super::*;
use crate::node::fake_store::FakeStore;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spindle_policy::presence::{
    LARGE_MIN, LEAVING_MAX, REMOTE_CALL_INTERVAL, ROUND_INTERVAL, calls_per_round,
};
use spindle_policy::upstream_registry::{Registration, UpstreamId};
use spindle_relay::pool::ConnectionPool;
use spindle_types::SystemClock;
use std::net::SocketAddr;
use tokio::task::JoinHandle;

/// The time allowed for acting on a leaving upstream in deployments of up to `daemon_count`
/// daemons.
fn drain_of(daemon_count: u32) -> Duration {
    match daemon_count {
        0..=16 => Duration::from_secs(2),
        17..=100 => Duration::from_secs(3),
        _ => Duration::from_secs(4),
    }
}

struct TestFollower {
    follower: RegistrationFollower<FakeStore, SystemClock>,
    clock: SystemClock,
    store: FakeStore,
    daemon_count: Arc<AtomicU32>,
}

/// Starts a follower that is one of `daemon_count` daemons, the others of which have just read the
/// store whenever they answer.
fn follow(daemon_count: u32) -> TestFollower {
    let (store, clock) = (FakeStore::default(), SystemClock::new());
    let balancer = Balancer::new("a".try_into().unwrap(), ConnectionPool::default());
    let drain = drain_of(daemon_count);
    let daemon_count = Arc::new(AtomicU32::new(daemon_count));
    let count = Arc::clone(&daemon_count);
    let follower = RegistrationFollower::new(store.clone(), clock, balancer, count, drain, 7);
    tokio::spawn(follower.clone().run());
    let (count, informed) = (Arc::clone(&daemon_count), follower.clone());
    tokio::spawn(async move {
        while count.load(Ordering::Relaxed) > 1 {
            tokio::time::sleep(ROUND_INTERVAL).await;
            informed.on_peer(clock.now(), Duration::ZERO);
        }
    });
    TestFollower { follower, clock, store, daemon_count }
}

/// The mean number of store calls of one daemon in 60 s, over a hundred minutes.
async fn calls_per_minute(daemon_count: u32) -> f64 {
    let test = follow(daemon_count);
    tokio::time::sleep(Duration::from_secs(6_000)).await;
    test.store.calls.load(Ordering::Relaxed) as f64 / 100.0
}

#[tokio::test(start_paused = true)]
async fn up_to_sixteen_informed_daemons_together_read_four_times_a_second() {
    let mut total_reads_per_second = Vec::new();
    for daemon_count in [1, 6, 8, 16] {
        total_reads_per_second
            .push(f64::from(daemon_count) * calls_per_minute(daemon_count).await / 60.0);
    }
    let is_four = |reads: &f64| (reads - 4.0).abs() < 0.1;
    assert!(total_reads_per_second.iter().all(is_four), "{total_reads_per_second:?}");
    let calls = calls_per_minute(58).await;
    assert!((calls - 15.0).abs() < 0.4, "{calls}");
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_loses_contact_with_the_others_soon_reads_for_itself() {
    let test = follow(58);
    tokio::time::sleep(Duration::from_millis(100)).await;
    test.daemon_count.store(1, Ordering::Relaxed);
    let before = test.store.calls.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(test.store.calls.load(Ordering::Relaxed) > before);
}

#[tokio::test(start_paused = true)]
async fn many_questions_wait_for_one_read_that_was_sent_after_them() {
    let TestFollower { follower, clock, store, .. } = follow(58);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (asked, before) = (clock.now(), store.calls.load(Ordering::Relaxed));
    let timeout = Duration::from_millis(300);
    let questions = (0..100).map(|_| {
        let follower = follower.clone();
        tokio::spawn(async move { follower.read_after(asked, timeout).await })
    });
    for question in questions.collect::<Vec<_>>() {
        assert!(question.await.unwrap());
    }
    assert!(follower.last_success() >= Some(asked));
    assert!(store.calls.load(Ordering::Relaxed) - before <= 2);
    store.unreachable.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert!(!follower.read_after(clock.now(), timeout).await);
}

fn registration(index: u64, leaving: bool) -> Registration {
    Registration {
        id: UpstreamId {
            instance: format!("i-{index}").as_str().try_into().unwrap(),
            started_at_ms: 1,
        },
        service: "model".try_into().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        data_centre: "a".try_into().unwrap(),
        version: "v1".try_into().ok(),
        slots: 16,
        leaving,
        reclaimable: false,
    }
}

/// The longest time after which daemons notice that another one is dead, with the longest heartbeat
/// interval.
const DEATH_DETECTION: Duration = Duration::from_millis(2_400);

struct ClusterDaemon {
    follower: RegistrationFollower<FakeStore, SystemClock>,
    daemon_count: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

/// Daemons that read one store and tell each other about leaving upstreams, each with a random peer
/// per round. A call between them is lost with the probability `loss`.
struct Cluster {
    store: FakeStore,
    clock: SystemClock,
    daemons: Vec<ClusterDaemon>,
    random: ChaCha8Rng,
    loss: f64,
}

impl Cluster {
    /// Starts daemons within 0.3 s of each other, as the users' platform does.
    async fn start(count: u32, loss: f64) -> Self {
        let (store, clock) = (FakeStore::default(), SystemClock::new());
        let random = ChaCha8Rng::seed_from_u64(3);
        let mut cluster = Self { store, clock, daemons: Vec::new(), random, loss };
        let step = Duration::from_millis(300) / count;
        for _ in 0..count {
            cluster.add_daemon(count);
            tokio::time::sleep(step).await;
        }
        cluster
    }

    fn add_daemon(&mut self, count: u32) {
        let balancer = Balancer::new("a".try_into().unwrap(), ConnectionPool::default());
        let daemon_count = Arc::new(AtomicU32::new(count));
        let follower = RegistrationFollower::new(
            self.store.clone(),
            self.clock,
            balancer,
            Arc::clone(&daemon_count),
            drain_of(count),
            self.daemons.len() as u64,
        );
        let task = tokio::spawn(follower.clone().run());
        self.daemons.push(ClusterDaemon { follower, daemon_count, task });
    }

    /// Each daemon calls random ones, which may be dead, and both sides learn what the other knows.
    fn exchange_round(&mut self) {
        let now = self.clock.now();
        let count = self.daemons.len();
        let calls = calls_per_round(count - 1);
        for caller in (0..count).flat_map(|caller| std::iter::repeat_n(caller, calls)) {
            let callee = self.random.random_range(0..count);
            // In a large deployment most calls stay in one of six data centres.
            let is_large = count > LARGE_MIN;
            let stays = is_large && !self.random.random_ratio(1, REMOTE_CALL_INTERVAL);
            let callee = if stays { callee - callee % 6 + caller % 6 } else { callee };
            let callee = callee.min(count - 1);
            let is_lost = self.random.random_bool(self.loss);
            let is_dead = |index: usize| self.daemons[index].task.is_finished();
            if caller == callee || is_lost || is_dead(caller) || is_dead(callee) {
                continue;
            }
            let (caller, callee) = (&self.daemons[caller].follower, &self.daemons[callee].follower);
            for (from, to) in [(caller, callee), (callee, caller)] {
                for upstream in from.balancer.leaving(now, LEAVING_MAX).ids {
                    to.balancer.on_leaving(now, &upstream, "daemon");
                }
            }
            let age =
                callee.age(now).filter(|_| callee.balancer.leaving(now, LEAVING_MAX).complete);
            if let Some(age) = age {
                caller.on_peer(now, age);
            }
        }
    }

    /// Appends the leaving of an upstream to the store and returns the time until all live daemons
    /// have stopped using it.
    async fn time_until_all_know(&mut self, index: u64) -> Duration {
        let step = Duration::from_millis(20);
        let acknowledged = self.clock.now();
        self.store.push_upstream(FeedRecord::Registered(registration(index, true)));
        let mut next_round = acknowledged;
        loop {
            let now = self.clock.now();
            if now >= next_round {
                self.exchange_round();
                next_round = now + ROUND_INTERVAL;
            }
            let uses = |daemon: &ClusterDaemon| {
                !daemon.task.is_finished()
                    && daemon
                        .follower
                        .balancer
                        .usable_registrations(now)
                        .iter()
                        .any(|found| found.id == registration(index, true).id)
            };
            if !self.daemons.iter().any(uses) {
                return now.since(acknowledged);
            }
            tokio::time::sleep(step).await;
        }
    }

    /// The longest of several such times, at random moments.
    async fn longest_time(&mut self) -> Duration {
        let mut longest = Duration::ZERO;
        for index in 0..12 {
            self.store.push_upstream(FeedRecord::Registered(registration(index, false)));
            let pause = Duration::from_millis(self.random.random_range(5_000..9_000));
            self.rounds_for(pause).await;
            longest = longest.max(self.time_until_all_know(index).await);
        }
        longest
    }

    /// Stops a fraction of the daemons. The others count on them until the heartbeats are overdue.
    fn stop_daemons(&mut self, fraction: f64) {
        let stopped = (self.daemons.len() as f64 * fraction) as usize;
        for daemon in &self.daemons[..stopped] {
            daemon.task.abort();
        }
        let live = u32::try_from(self.daemons.len() - stopped).unwrap();
        let counts: Vec<_> =
            self.daemons.iter().map(|daemon| Arc::clone(&daemon.daemon_count)).collect();
        tokio::spawn(async move {
            tokio::time::sleep(DEATH_DETECTION).await;
            counts.iter().for_each(|count| count.store(live, Ordering::Relaxed));
        });
    }

    async fn rounds_for(&mut self, span: Duration) {
        let until = self.clock.now() + span;
        while self.clock.now() < until {
            self.exchange_round();
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }
}

/// The time within which all daemons must have acted: what is allowed, less a margin of a quarter.
fn reaction_limit(daemon_count: u32) -> Duration {
    drain_of(daemon_count) * 3 / 4
}

/// Guards against requests to a leaving upstream for seconds after its announcement, because all
/// daemons read the store at the same moment and no daemon read it in between.
#[tokio::test(start_paused = true)]
async fn daemons_started_together_stop_using_a_leaving_upstream_in_time() {
    let mut failures = Vec::new();
    for daemon_count in [1, 6, 10, 16, 58, 77, 400] {
        for loss in [0.0, 0.3] {
            let mut cluster = Cluster::start(daemon_count, loss).await;
            let (limit, longest) = (reaction_limit(daemon_count), cluster.longest_time().await);
            println!("{daemon_count} daemons, loss {loss}: {longest:?} of {limit:?}");
            if longest > limit {
                failures.push((daemon_count, loss, longest));
            }
        }
    }
    assert_eq!(failures, []);
}

/// The reads that are forced by age come on top of the planned ones where few daemons read.
#[tokio::test(start_paused = true)]
async fn reads_of_all_daemons_together_stay_bounded() {
    for (daemon_count, limit) in [(1, 4.2), (6, 6.0), (16, 12.0), (58, 16.0), (77, 20.5)] {
        let mut cluster = Cluster::start(daemon_count, 0.0).await;
        let (before, span) = (cluster.store.calls.load(Ordering::Relaxed), 60);
        cluster.rounds_for(Duration::from_secs(span)).await;
        let calls = cluster.store.calls.load(Ordering::Relaxed) - before;
        let rate = calls as f64 / span as f64;
        println!("{daemon_count} daemons: {rate} reads a second of {limit}");
        assert!(rate <= limit, "{daemon_count} daemons: {rate} reads a second");
    }
}

/// Guards against late news when the daemons whose reads the others rely on have just died.
#[tokio::test(start_paused = true)]
async fn daemons_whose_peers_died_stop_using_a_leaving_upstream_in_time() {
    let mut failures = Vec::new();
    for daemon_count in [6, 10, 16, 58, 77, 400] {
        for fraction in [0.25, 0.5, 0.95] {
            let mut longest = Duration::ZERO;
            for index in 0..4 {
                let mut cluster = Cluster::start(daemon_count, 0.0).await;
                cluster.store.push_upstream(FeedRecord::Registered(registration(index, false)));
                cluster.rounds_for(Duration::from_millis(8_000 + 900 * index)).await;
                cluster.stop_daemons(fraction);
                longest = longest.max(cluster.time_until_all_know(index).await);
                cluster.stop_daemons(1.0);
            }
            let limit = reaction_limit(daemon_count);
            println!("{daemon_count} daemons, {fraction} stopped: {longest:?} of {limit:?}");
            if longest > limit {
                failures.push((daemon_count, fraction, longest));
            }
        }
    }
    assert_eq!(failures, []);
}
