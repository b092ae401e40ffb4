//! Keeps the view of the other daemons by heartbeats over connections that stay open.
//!
//! Leaving marks and newer configuration travel with the heartbeats; what is urgent is sent at
//! once. Does nothing for a daemon that is alone but to look for others in the instance list.

mod service;

pub use service::{Inbound, PeerService};

use crate::context::Context;
use crate::follower::Follower;
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

/// The daemons for each of which the heartbeat interval grows by the interval set.
const MEMBERS_PER_INTERVAL: usize = 100;

/// The most daemons among which each hears of the load and the revision of every other one.
const NEAR_MEMBERS_MAX: usize = 34;

/// The least time between two rounds of heartbeats for urgent news.
const URGENT_DELAY: Duration = Duration::from_millis(20);

/// The daemons as this one sees them, itself included.
pub type MemberWatch = watch::Receiver<Arc<Vec<Member>>>;

/// The least revision in force at every live daemon.
pub type InForceWatch = watch::Receiver<Revision>;

/// What the task needs.
#[derive(Debug)]
pub struct Parts {
    /// This daemon.
    pub own: DaemonRecord,
    /// The time between two heartbeats of a small deployment.
    pub heartbeat: Span,
    /// What is read of the configuration.
    pub follower: Follower,
    /// What the instance list shows.
    pub daemons: DaemonWatch,
    /// Where leaving marks go and come from.
    pub upstreams: Upstreams,
    /// What other daemons send.
    pub inbound: mpsc::Receiver<Inbound>,
    /// Opens the connections.
    pub dialer: Dialer,
    /// Where the least revision in force goes.
    pub in_force: watch::Sender<Revision>,
    /// Requests in flight at this daemon.
    pub load: watch::Receiver<u32>,
}

/// Starts to keep the view; the task ends when nobody watches it any more.
pub fn start<C: Context>(context: C, parts: Parts) -> MemberWatch {
    let (sender, receiver) = watch::channel(Arc::default());
    let seed = u64::try_from(context.random() >> 64).unwrap_or_default();
    let interval = parts.heartbeat.get();
    let task = Task {
        membership: Membership::new(parts.own.clone(), interval, DynamicStateScope::Everywhere),
        own: parts.own.instance,
        leaving: parts.upstreams.leaving(),
        random: ChaCha8Rng::seed_from_u64(seed),
        context,
        follower: parts.follower,
        daemons: parts.daemons,
        upstreams: parts.upstreams,
        sender,
        in_force: parts.in_force,
        dialer: parts.dialer,
        load: parts.load,
        connections: HashMap::new(),
        busy: HashSet::new(),
        calls: JoinSet::new(),
        passed: BTreeSet::new(),
        urgent: false,
    };
    tokio::spawn(task.run(parts.inbound, interval));
    receiver
}

/// The answer to a heartbeat, and the connection on which it came.
type Answer = Result<(Arc<PersistentConnection>, Heartbeat), ClientError>;

/// What a call to another daemon brought; `sent` is the instant before a heartbeat was sent.
enum Called {
    Beat { target: Target, sent: MonotonicInstant, answer: Answer },
    Update(Result<ConfigUpdate, ClientError>),
}

struct Task<C> {
    context: C,
    own: Instance,
    membership: Membership<DeltaPush>,
    follower: Follower,
    daemons: DaemonWatch,
    upstreams: Upstreams,
    leaving: LeavingWatch,
    random: ChaCha8Rng,
    sender: watch::Sender<Arc<Vec<Member>>>,
    in_force: watch::Sender<Revision>,
    dialer: Dialer,
    load: watch::Receiver<u32>,
    connections: HashMap<SocketAddr, Arc<PersistentConnection>>,
    busy: HashSet<SocketAddr>,
    calls: JoinSet<Called>,
    passed: BTreeSet<Instance>,
    urgent: bool,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut inbound: mpsc::Receiver<Inbound>, interval: Duration) {
        let mut next = tokio::time::Instant::now();
        let mut config = self.follower.config.clone();
        while !self.sender.is_closed() {
            let due = if self.urgent {
                next.min(tokio::time::Instant::now() + URGENT_DELAY)
            } else {
                next
            };
            tokio::select! {
                () = tokio::time::sleep_until(due) => {
                    self.on_tick();
                    next = tokio::time::Instant::now() + self.grown(interval);
                }
                message = inbound.recv() => match message {
                    Some(message) => self.on_inbound(message),
                    None => return,
                },
                Some(called) = self.calls.join_next() => {
                    if let Ok(called) = called {
                        self.on_called(called).await;
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
            self.pass_marks().await;
            self.publish();
        }
    }

    fn grown(&self, interval: Duration) -> Duration {
        let count = self.membership.roster().records().count();
        interval * u32::try_from(1 + count / MEMBERS_PER_INTERVAL).unwrap_or(1)
    }

    fn on_tick(&mut self) {
        let clock = self.context.clock();
        let revision = self.follower.config.borrow().revision;
        self.membership.set_local_state(revision, *self.load.borrow());
        self.membership.on_tick(clock.now(), clock.utc());
        self.urgent = false;
        self.follower.set_duty(self.membership.log_access());
        for target in self.membership.targets(&mut self.random) {
            if !self.busy.contains(&target.peer) {
                let beat = self.membership.request(self.age(), target);
                self.call(target, beat);
            }
        }
    }

    fn age(&self) -> Option<Duration> {
        self.follower.contacts.age(&self.context)
    }

    fn call(&mut self, target: Target, beat: Heartbeat) {
        self.busy.insert(target.peer);
        let kept = self.connections.get(&target.peer).cloned();
        let sent = self.context.clock().now();
        let dialer = self.dialer.clone();
        self.calls.spawn(async move {
            let answer = send(&dialer, kept, target.peer, beat).await;
            Called::Beat { target, sent, answer }
        });
    }

    async fn on_called(&mut self, called: Called) {
        match called {
            Called::Beat { target, sent, answer } => self.on_answer(target, sent, answer),
            Called::Update(Ok(update)) => self.follower.update(update).await,
            Called::Update(Err(error)) => log::debug!("event=update_failed error={error:?}"),
        }
    }

    fn on_answer(&mut self, target: Target, sent: MonotonicInstant, answer: Answer) {
        self.busy.remove(&target.peer);
        let (connection, beat) = match answer {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!("event=heartbeat_missed peer={} error={error:?}", target.peer);
                self.connections.remove(&target.peer);
                self.membership.on_missed(target);
                return;
            }
        };
        self.connections.insert(target.peer, Arc::clone(&connection));
        self.on_contact(sent, &beat, &connection);
        let (now, age) = (self.context.clock().now(), self.age());
        if let Some(next) = self.membership.on_reply(now, age, target, beat) {
            self.call(target, next);
        }
    }

    fn on_inbound(&mut self, message: Inbound) {
        match message {
            Inbound::Beat { beat, reply } => {
                // A heartbeat that waited while this process was paused says nothing of the present.
                self.urgent |= beat.revision > self.follower.config.borrow().revision;
                let (now, age) = (self.context.clock().now(), self.age());
                let answer = self.membership.on_request(now, age, beat);
                // A caller that has gone needs no answer.
                let _ = reply.send(answer);
            }
            Inbound::Leave => {
                self.membership.leave();
            }
        }
    }

    /// Notes a peer's contact with the log, and fetches configuration that is newer there.
    fn on_contact(
        &mut self,
        sent: MonotonicInstant,
        beat: &Heartbeat,
        connection: &Arc<PersistentConnection>,
    ) {
        let own = self.follower.config.borrow().revision;
        let age = beat.age.map(Duration::from_millis);
        let contact = PeerContact { revision: beat.revision, age };
        self.follower.contacts.on_peer(sent, own, contact);
        let behind = self.follower.followed.borrow().fold.sync_status() == SyncStatus::Behind;
        if beat.revision > own || behind {
            let connection = Arc::clone(connection);
            self.calls.spawn(async move { Called::Update(connection.since(own).await) });
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
        let few = seeds.len() < NEAR_MEMBERS_MAX;
        let reach = if few { DynamicStateScope::Everywhere } else { DynamicStateScope::DataCentre };
        self.membership.set_scope(reach);
        self.membership.set_seeds(seeds);
    }

    fn on_leaving(&mut self) {
        let marked = self.leaving.borrow_and_update().clone();
        let utc = self.context.clock().utc();
        for instance in marked.iter().filter(|instance| !self.passed.contains(*instance)) {
            self.membership.mark_leaving(utc, instance);
        }
        self.passed.extend(marked.iter().cloned());
    }

    /// Hands marks of other daemons to the router.
    async fn pass_marks(&mut self) {
        let marks = self.membership.roster().marks().map(|mark| &mark.instance);
        let new: Vec<_> =
            marks.filter(|instance| !self.passed.contains(*instance)).cloned().collect();
        for instance in new {
            self.passed.insert(instance.clone());
            self.upstreams.mark_leaving(instance).await;
        }
    }

    fn on_config(&mut self) {
        let revision = self.follower.config.borrow().revision;
        self.membership.set_local_state(revision, *self.load.borrow());
        self.urgent = true;
    }

    fn publish(&self) {
        let mut members = self.membership.members();
        let daemons = self.daemons.borrow();
        for daemon in daemons.iter() {
            if !members.iter().any(|member| member.instance == daemon.entry.instance) {
                members.push(self.listed(daemon));
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

    /// A daemon of which only the list is known.
    fn listed(&self, daemon: &ListedDaemon) -> Member {
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

async fn send(
    dialer: &Dialer,
    kept: Option<Arc<PersistentConnection>>,
    peer: SocketAddr,
    beat: Heartbeat,
) -> Result<(Arc<PersistentConnection>, Heartbeat), ClientError> {
    let connection = match kept.filter(|connection| connection.is_connected()) {
        Some(connection) => connection,
        None => Arc::new(dialer.open(peer).await?),
    };
    let answer = connection.beat(beat).await?;
    Ok((connection, answer))
}
