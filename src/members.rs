//! Keeps this daemon's view of the other daemons by gossip heartbeats over persistent connections.
//!
//! Heartbeats carry leaving marks and show which peer has a newer configuration. An urgent change
//! triggers a round of heartbeats at once. A daemon that is alone only looks for others in the
//! instance list.

mod service;

pub use service::{MembershipMessage, PeerService};

use crate::config_follower::ConfigFollower;
use crate::context::Context;
use crate::upstreams::{DaemonWatch, LeavingWatch, ListedDaemon, Upstreams};
use jsonrpsee::core::ClientError;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use spindle_daemon::{ConfigurationSourceClient, Dialer, GossipClient, PersistentConnection};
use spindle_instances::State;
use spindle_policy::config_state::SyncStatus;
use spindle_policy::config_update::ConfigUpdate;
use spindle_policy::exchange::DeltaPush;
use spindle_policy::freshness::PeerContact;
use spindle_policy::membership::{
    DynamicStateScope, Heartbeat, Member, MemberStatus, Membership, Seed, Target, Urgency,
};
use spindle_policy::roster::DaemonRecord;
use spindle_types::{Clock, Instance, MonotonicInstant, Revision, Span};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// The heartbeat interval grows by the configured interval for every this many daemons.
const MEMBERS_PER_INTERVAL_STEP: usize = 100;

/// The largest number of daemons of which each is told the load and the revision of all others.
/// In larger deployments these are gossiped within a data centre only.
const GLOBAL_SCOPE_MEMBERS_MAX: usize = 34;

/// The delay before an extra round of heartbeats after an urgent change, which bounds the rate
/// of such rounds.
const URGENT_ROUND_DELAY: Duration = Duration::from_millis(20);

/// The daemons as this one sees them, itself included.
pub type MemberWatch = watch::Receiver<Arc<Vec<Member>>>;

/// The smallest revision in force at any live daemon.
pub type InForceWatch = watch::Receiver<Revision>;

/// The inputs and handles that the membership task needs.
#[derive(Debug)]
pub struct Dependencies {
    /// The record of this daemon.
    pub own: DaemonRecord,
    /// The interval between heartbeats in a deployment of fewer than 100 daemons.
    pub heartbeat: Span,
    /// The follower of the configuration, to which updates from peers are forwarded.
    pub follower: ConfigFollower,
    /// The daemons that the instance list shows.
    pub daemons: DaemonWatch,
    /// The router, with which leaving marks are exchanged.
    pub upstreams: Upstreams,
    /// Messages from the peer service.
    pub messages: mpsc::Receiver<MembershipMessage>,
    /// Opens RPC connections to other daemons.
    pub dialer: Dialer,
    /// Publishes the smallest revision in force at any live daemon.
    pub in_force: watch::Sender<Revision>,
    /// The number of requests in flight at this daemon.
    pub in_flight: watch::Receiver<u32>,
}

/// Starts the membership task. It ends when the last receiver of the view is dropped.
pub fn start<C: Context>(context: C, dependencies: Dependencies) -> MemberWatch {
    let (sender, receiver) = watch::channel(Arc::default());
    let seed = u64::try_from(context.random() >> 64).unwrap_or_default();
    let interval = dependencies.heartbeat.get();
    let task = Task {
        membership: Membership::new(
            dependencies.own.clone(),
            interval,
            DynamicStateScope::Everywhere,
        ),
        own: dependencies.own.instance,
        leaving: dependencies.upstreams.leaving(),
        random: ChaCha8Rng::seed_from_u64(seed),
        context,
        follower: dependencies.follower,
        daemons: dependencies.daemons,
        upstreams: dependencies.upstreams,
        sender,
        in_force: dependencies.in_force,
        dialer: dependencies.dialer,
        in_flight: dependencies.in_flight,
        connections: HashMap::new(),
        awaiting_reply: HashSet::new(),
        calls: JoinSet::new(),
        forwarded: BTreeSet::new(),
        urgent: false,
    };
    tokio::spawn(task.run(dependencies.messages, interval));
    receiver
}

/// The reply to a heartbeat and the connection it was received on.
type HeartbeatReply = Result<(Arc<PersistentConnection>, Heartbeat), ClientError>;

/// The result of a call to another daemon. `sent` is the instant before the heartbeat was sent.
enum CallResult {
    Heartbeat { target: Target, sent: MonotonicInstant, reply: HeartbeatReply },
    Update(Result<ConfigUpdate, ClientError>),
}

struct Task<C> {
    context: C,
    own: Instance,
    membership: Membership<DeltaPush>,
    follower: ConfigFollower,
    daemons: DaemonWatch,
    upstreams: Upstreams,
    leaving: LeavingWatch,
    random: ChaCha8Rng,
    sender: watch::Sender<Arc<Vec<Member>>>,
    in_force: watch::Sender<Revision>,
    dialer: Dialer,
    in_flight: watch::Receiver<u32>,
    connections: HashMap<SocketAddr, Arc<PersistentConnection>>,
    /// The peers whose reply to a heartbeat is outstanding.
    awaiting_reply: HashSet<SocketAddr>,
    calls: JoinSet<CallResult>,
    /// The instances whose leaving marks the router and the membership both know.
    forwarded: BTreeSet<Instance>,
    /// Whether the next round of heartbeats is due early.
    urgent: bool,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut messages: mpsc::Receiver<MembershipMessage>, interval: Duration) {
        let mut next = tokio::time::Instant::now();
        let mut config = self.follower.config.clone();
        while !self.sender.is_closed() {
            let due = if self.urgent {
                next.min(tokio::time::Instant::now() + URGENT_ROUND_DELAY)
            } else {
                next
            };
            tokio::select! {
                () = tokio::time::sleep_until(due) => {
                    self.on_tick();
                    next = tokio::time::Instant::now() + self.scaled_interval(interval);
                }
                message = messages.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                Some(result) = self.calls.join_next() => {
                    if let Ok(result) = result {
                        self.on_call_result(result).await;
                    }
                }
                changed = self.daemons.changed() => match changed {
                    Ok(()) => self.on_listing(),
                    Err(_) => return,
                },
                changed = self.leaving.changed() => match changed {
                    Ok(()) => self.on_leaving(),
                    Err(_) => return,
                },
                changed = config.changed() => match changed {
                    Ok(()) => self.on_config(),
                    Err(_) => return,
                },
            }
            self.urgent |= self.membership.take_urgency() == Urgency::Now;
            self.forward_marks().await;
            self.publish();
        }
    }

    /// The heartbeat interval for the current number of daemons.
    fn scaled_interval(&self, interval: Duration) -> Duration {
        let count = self.membership.roster().records().count();
        interval * u32::try_from(1 + count / MEMBERS_PER_INTERVAL_STEP).unwrap_or(1)
    }

    fn on_tick(&mut self) {
        let clock = self.context.clock();
        let revision = self.follower.config.borrow().revision;
        self.membership.set_local_state(revision, *self.in_flight.borrow());
        self.membership.on_tick(clock.now(), clock.utc());
        self.urgent = false;
        self.follower.set_log_access(self.membership.log_access());
        for target in self.membership.targets(&mut self.random) {
            if !self.awaiting_reply.contains(&target.peer) {
                let heartbeat = self.membership.request(self.age(), target);
                self.send_heartbeat(target, heartbeat);
            }
        }
    }

    fn age(&self) -> Option<Duration> {
        self.follower.contacts.age(&self.context)
    }

    fn send_heartbeat(&mut self, target: Target, heartbeat: Heartbeat) {
        self.awaiting_reply.insert(target.peer);
        let kept = self.connections.get(&target.peer).cloned();
        let sent = self.context.clock().now();
        let dialer = self.dialer.clone();
        self.calls.spawn(async move {
            let reply = request_reply(&dialer, kept, target.peer, heartbeat).await;
            CallResult::Heartbeat { target, sent, reply }
        });
    }

    async fn on_call_result(&mut self, result: CallResult) {
        match result {
            CallResult::Heartbeat { target, sent, reply } => self.on_reply(target, sent, reply),
            CallResult::Update(Ok(update)) => self.follower.send_update(update).await,
            CallResult::Update(Err(error)) => log::debug!("event=update_failed error={error:?}"),
        }
    }

    fn on_reply(&mut self, target: Target, sent: MonotonicInstant, reply: HeartbeatReply) {
        self.awaiting_reply.remove(&target.peer);
        let (connection, heartbeat) = match reply {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("event=heartbeat_missed peer={} error={error:?}", target.peer);
                self.connections.remove(&target.peer);
                self.membership.on_missed(target);
                return;
            }
        };
        self.connections.insert(target.peer, Arc::clone(&connection));
        self.on_contact(sent, &heartbeat, &connection);
        let (now, age) = (self.context.clock().now(), self.age());
        if let Some(next) = self.membership.on_reply(now, age, target, heartbeat) {
            self.send_heartbeat(target, next);
        }
    }

    fn on_message(&mut self, message: MembershipMessage) {
        match message {
            MembershipMessage::Heartbeat { heartbeat, reply } => {
                // This is not recorded as contact with the peer: the heartbeat may have been queued
                // while this process was paused, so it doesn't show that the peer is reachable now.
                self.urgent |= heartbeat.revision > self.follower.config.borrow().revision;
                let (now, age) = (self.context.clock().now(), self.age());
                let response = self.membership.on_request(now, age, heartbeat);
                // An error means that the peer has disconnected and needs no reply.
                let _ = reply.send(response);
            }
            MembershipMessage::Leave => {
                self.membership.leave();
            }
        }
    }

    /// Records the peer's contact with the log. Fetches the configuration from the peer if it has a
    /// newer one, or if records are missing here.
    fn on_contact(
        &mut self,
        sent: MonotonicInstant,
        heartbeat: &Heartbeat,
        connection: &Arc<PersistentConnection>,
    ) {
        let own = self.follower.config.borrow().revision;
        let age = heartbeat.age.map(Duration::from_millis);
        let contact = PeerContact { revision: heartbeat.revision, age };
        self.follower.contacts.on_peer(sent, own, contact);
        let behind = self.follower.followed.borrow().state.sync_status() == SyncStatus::Behind;
        if heartbeat.revision > own || behind {
            let connection = Arc::clone(connection);
            self.calls.spawn(async move { CallResult::Update(connection.since(own).await) });
        }
    }

    fn on_listing(&mut self) {
        let daemons = self.daemons.borrow_and_update().clone();
        let others = daemons.iter().filter(|daemon| daemon.entry.instance != self.own);
        let seeds: Vec<_> = others
            .map(|daemon| Seed { instance: daemon.entry.instance.clone(), peer: daemon.peer })
            .collect();
        if seeds.is_empty() {
            self.follower.contacts.on_alone(self.context.clock().now());
        }
        let few = seeds.len() < GLOBAL_SCOPE_MEMBERS_MAX;
        let scope = if few { DynamicStateScope::Everywhere } else { DynamicStateScope::DataCentre };
        self.membership.set_scope(scope);
        self.membership.set_seeds(seeds);
    }

    /// Passes leaving marks from the router to the other daemons.
    fn on_leaving(&mut self) {
        let marked = self.leaving.borrow_and_update().clone();
        let utc = self.context.clock().utc();
        for instance in marked.iter().filter(|instance| !self.forwarded.contains(*instance)) {
            self.membership.mark_leaving(utc, instance);
        }
        self.forwarded.extend(marked.iter().cloned());
    }

    /// Passes leaving marks that came from other daemons to the router.
    async fn forward_marks(&mut self) {
        let marks = self.membership.roster().marks().map(|mark| &mark.instance);
        let new: Vec<_> =
            marks.filter(|instance| !self.forwarded.contains(*instance)).cloned().collect();
        for instance in new {
            self.forwarded.insert(instance.clone());
            self.upstreams.mark_leaving(instance).await;
        }
    }

    fn on_config(&mut self) {
        let revision = self.follower.config.borrow().revision;
        self.membership.set_local_state(revision, *self.in_flight.borrow());
        self.urgent = true;
    }

    fn publish(&self) {
        let mut members = self.membership.members();
        let daemons = self.daemons.borrow();
        for daemon in daemons.iter() {
            if !members.iter().any(|member| member.instance == daemon.entry.instance) {
                members.push(self.listed_member(daemon));
            }
        }
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        self.sender.send_if_modified(|old| {
            let changed = **old != members;
            if changed {
                *old = Arc::new(members);
            }
            changed
        });
        let in_force = self.membership.in_force();
        self.in_force.send_if_modified(|old| std::mem::replace(old, in_force) != in_force);
    }

    /// The member for a daemon that is known from the instance list only.
    fn listed_member(&self, daemon: &ListedDaemon) -> Member {
        let entry = &daemon.entry;
        let marked = self.leaving.borrow().contains(&entry.instance);
        let leaving = marked || entry.state == State::Leaving;
        Member {
            instance: entry.instance.clone(),
            data_centre: entry.data_centre.clone(),
            caller: entry.address,
            peer: daemon.peer,
            incarnation: None,
            revision: Revision(0),
            load: 0,
            status: if leaving { MemberStatus::Leaving } else { MemberStatus::Suspect },
        }
    }
}

async fn request_reply(
    dialer: &Dialer,
    kept: Option<Arc<PersistentConnection>>,
    peer: SocketAddr,
    heartbeat: Heartbeat,
) -> Result<(Arc<PersistentConnection>, Heartbeat), ClientError> {
    let connection = match kept.filter(|connection| connection.is_connected()) {
        Some(connection) => connection,
        None => Arc::new(dialer.open(peer).await?),
    };
    let reply = connection.beat(heartbeat).await?;
    Ok((connection, reply))
}
