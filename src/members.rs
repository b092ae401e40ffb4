//! Keeps the view of the other daemons: seeded by the instance list, kept fresh by greetings.

use crate::context::Context;
use crate::follower::ConfigWatch;
use crate::upstreams::{DaemonWatch, ListedDaemon, Upstreams};
use jsonrpsee::core::{RpcResult, async_trait};
use spindle_daemon::{GossipClient, GossipServer, Greeting, connect};
use spindle_instances::State;
use spindle_policy::membership::{Member, MemberStatus};
use spindle_types::{Incarnation, Instance, Revision, Span};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Heartbeats that a daemon may miss before it is suspected.
const MISSED_MAX: u32 = 3;

/// The daemons as this one sees them, itself included.
pub type MemberWatch = watch::Receiver<Arc<Vec<Member>>>;

/// Answers greetings.
#[derive(Clone, Debug)]
pub struct GossipService {
    instance: Instance,
    incarnation: Incarnation,
    config: ConfigWatch,
}

impl GossipService {
    /// The service of one daemon.
    pub fn new(instance: Instance, incarnation: Incarnation, config: ConfigWatch) -> Self {
        Self { instance, incarnation, config }
    }

    fn greeting(&self) -> Greeting {
        Greeting {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            revision: self.config.borrow().revision,
            load: 0,
        }
    }
}

#[async_trait]
impl GossipServer for GossipService {
    async fn greet(&self, _greeting: Greeting) -> RpcResult<Greeting> {
        Ok(self.greeting())
    }
}

/// Starts to keep the view; the task ends when nobody watches it any more.
pub fn start<C: Context>(
    _context: C,
    heartbeat: Span,
    service: GossipService,
    daemons: DaemonWatch,
    upstreams: &Upstreams,
) -> MemberWatch {
    let (sender, receiver) = watch::channel(Arc::default());
    let leaving = upstreams.leaving();
    let task = Task { service, daemons, leaving, sender, heard: HashMap::new() };
    tokio::spawn(task.run(heartbeat.get()));
    receiver
}

#[derive(Clone, Debug, Default)]
struct Heard {
    greeting: Option<Greeting>,
    missed: u32,
}

struct Task {
    service: GossipService,
    daemons: DaemonWatch,
    leaving: watch::Receiver<Arc<Vec<Instance>>>,
    sender: watch::Sender<Arc<Vec<Member>>>,
    heard: HashMap<Instance, Heard>,
}

impl Task {
    async fn run(mut self, heartbeat: Duration) {
        let mut ticks = tokio::time::interval(heartbeat);
        while !self.sender.is_closed() {
            tokio::select! {
                _ = ticks.tick() => self.greet_all().await,
                changed = self.daemons.changed() => if changed.is_err() { return },
                changed = self.leaving.changed() => if changed.is_err() { return },
            }
            self.publish();
        }
    }

    async fn greet_all(&mut self) {
        let mut calls = JoinSet::new();
        for daemon in self.daemons.borrow().iter() {
            let (instance, peer) = (daemon.entry.instance.clone(), daemon.peer);
            let greeting = self.service.greeting();
            calls.spawn(async move {
                let Ok(client) = connect(peer) else {
                    return (instance, None);
                };
                (instance, client.greet(greeting).await.ok())
            });
        }
        while let Some(Ok((instance, greeting))) = calls.join_next().await {
            let heard = self.heard.entry(instance).or_default();
            heard.missed = if greeting.is_some() { 0 } else { heard.missed + 1 };
            heard.greeting = greeting.or(heard.greeting.take());
        }
    }

    fn publish(&self) {
        let daemons = self.daemons.borrow();
        let members = daemons.iter().map(|daemon| self.member(daemon)).collect();
        self.sender.send_replace(Arc::new(members));
    }

    fn member(&self, daemon: &ListedDaemon) -> Member {
        let entry = &daemon.entry;
        let heard = self.heard.get(&entry.instance).cloned().unwrap_or_default();
        let marked = self.leaving.borrow().contains(&entry.instance);
        let status = match entry.state {
            _ if marked => MemberStatus::Leaving,
            State::Leaving => MemberStatus::Leaving,
            State::Live if heard.missed >= MISSED_MAX => MemberStatus::Suspect,
            State::Live => MemberStatus::Live,
        };
        let greeting = heard.greeting.as_ref();
        Member {
            instance: entry.instance.clone(),
            data_centre: entry.data_centre.clone(),
            caller: entry.address,
            peer: daemon.peer,
            incarnation: greeting.map(|greeting| greeting.incarnation),
            revision: greeting.map_or(Revision(0), |greeting| greeting.revision),
            load: greeting.map_or(0, |greeting| greeting.load),
            status,
        }
    }
}
