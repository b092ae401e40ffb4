//! Owns the router: follows the instance list and reclaim notices, and chooses upstreams.

use crate::context::Context;
use crate::settings::PeerSettings;
use spindle_cloud::Cloud;
use spindle_instances::{Entry, Instances, Kind, State};
use spindle_policy::routing::{AttemptEnd, Route, Router, UpstreamInfo, UpstreamKey};
use spindle_types::{Clock, Instance, Pool};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

/// Messages that may wait for the task.
const MAILBOX: usize = 1_024;

/// A daemon as the instance list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedDaemon {
    /// The list's entry.
    pub entry: Entry,
    /// Where other daemons reach it.
    pub peer: SocketAddr,
}

/// The daemons that the instance list shows.
pub type DaemonWatch = watch::Receiver<Arc<Vec<ListedDaemon>>>;

/// The instances that are marked as leaving.
pub type LeavingWatch = watch::Receiver<Arc<Vec<Instance>>>;

enum Message {
    Choose { pool: Pool, excluded: Vec<Instance>, reply: oneshot::Sender<Option<Route>> },
    End { key: UpstreamKey, end: AttemptEnd },
    Listing(Vec<Entry>),
    Leaving(Vec<Instance>),
}

/// Talks to the task that owns the router.
#[derive(Clone, Debug)]
pub struct Upstreams {
    mailbox: mpsc::Sender<Message>,
    leaving: LeavingWatch,
}

impl Upstreams {
    /// Chooses an upstream of a pool, if one can take work.
    pub async fn choose(&self, pool: &Pool, excluded: &[Instance]) -> Option<Route> {
        let (reply, answer) = oneshot::channel();
        let message = Message::Choose { pool: pool.clone(), excluded: excluded.to_vec(), reply };
        self.mailbox.send(message).await.ok()?;
        answer.await.ok()?
    }

    /// Records the end of an attempt.
    pub async fn end(&self, key: UpstreamKey, end: AttemptEnd) {
        // Without a router there is nothing to record.
        let _ = self.mailbox.send(Message::End { key, end }).await;
    }

    /// Marks an instance as leaving, for good.
    pub async fn mark_leaving(&self, instance: Instance) {
        // Without a router nothing is sent to the instance.
        let _ = self.mailbox.send(Message::Leaving(vec![instance])).await;
    }

    /// The instances that are marked as leaving.
    pub fn leaving(&self) -> LeavingWatch {
        self.leaving.clone()
    }
}

/// Starts the task; it ends when nobody talks to it any more.
pub fn start<C: Context>(context: C, settings: &PeerSettings) -> (Upstreams, DaemonWatch) {
    let (mailbox, messages) = mpsc::channel(MAILBOX);
    let (daemons, daemon_watch) = watch::channel(Arc::default());
    let (leaving, leaving_watch) = watch::channel(Arc::default());
    let (list_interval, notice_interval) = (settings.list_interval, settings.notice_interval);
    tokio::spawn(poll_list(context.clone(), list_interval.get(), mailbox.downgrade()));
    tokio::spawn(poll_notices(context.clone(), notice_interval.get(), mailbox.downgrade()));
    tokio::spawn(Task { context, router: Router::new(), daemons, leaving }.run(messages));
    (Upstreams { mailbox, leaving: leaving_watch }, daemon_watch)
}

async fn poll_list<C: Context>(context: C, every: Duration, mailbox: mpsc::WeakSender<Message>) {
    let mut ticks = tokio::time::interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let message = match context.instances().list().await {
            Ok(listing) => Message::Listing(listing.entries),
            Err(error) => {
                log::warn!("event=list_failed error={error:?}");
                continue;
            }
        };
        if !deliver(&mailbox, message).await {
            return;
        }
    }
}

async fn poll_notices<C: Context>(context: C, every: Duration, mailbox: mpsc::WeakSender<Message>) {
    let mut ticks = tokio::time::interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next = 1;
    loop {
        ticks.tick().await;
        let notices = match context.cloud().notices(next).await {
            Ok(notices) => notices.notices,
            Err(error) => {
                log::warn!("event=notices_failed error={error:?}");
                continue;
            }
        };
        next = notices.iter().map(|notice| notice.number + 1).fold(next, u64::max);
        let leaving = notices.into_iter().map(|notice| notice.instance).collect();
        if !deliver(&mailbox, Message::Leaving(leaving)).await {
            return;
        }
    }
}

/// Delivers a message; false if the task has ended.
async fn deliver(mailbox: &mpsc::WeakSender<Message>, message: Message) -> bool {
    match mailbox.upgrade() {
        Some(mailbox) => mailbox.send(message).await.is_ok(),
        None => false,
    }
}

struct Task<C> {
    context: C,
    router: Router,
    daemons: watch::Sender<Arc<Vec<ListedDaemon>>>,
    leaving: watch::Sender<Arc<Vec<Instance>>>,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        while let Some(message) = messages.recv().await {
            self.on_message(message);
        }
    }

    fn on_message(&mut self, message: Message) {
        let now = self.context.clock().now();
        match message {
            Message::Choose { pool, excluded, reply } => {
                let route = self.router.choose(now, &pool, &excluded);
                // A requester that has gone leaves no attempt behind.
                if let Err(Some(route)) = reply.send(route) {
                    self.router.on_end(now, route.key, AttemptEnd::Completed);
                }
            }
            Message::End { key, end } => self.router.on_end(now, key, end),
            Message::Listing(entries) => self.on_listing(entries),
            Message::Leaving(instances) => {
                instances.iter().for_each(|instance| self.mark_leaving(instance));
            }
        }
    }

    fn on_listing(&mut self, entries: Vec<Entry>) {
        let mut upstreams = Vec::new();
        let mut daemons = Vec::new();
        for entry in entries {
            if entry.state == State::Leaving {
                self.mark_leaving(&entry.instance);
            }
            match entry.kind.clone() {
                Kind::Daemon { peer } => daemons.push(ListedDaemon { entry, peer }),
                Kind::Upstream { pool } => upstreams.push(upstream_info(entry, pool)),
            }
        }
        self.router.on_listing(upstreams);
        self.daemons.send_replace(Arc::new(daemons));
    }

    fn mark_leaving(&mut self, instance: &Instance) {
        self.router.on_leaving(instance);
        if self.leaving.borrow().contains(instance) {
            return;
        }
        log::info!("event=leaving instance={instance}");
        self.leaving.send_modify(|marked| Arc::make_mut(marked).push(instance.clone()));
    }
}

fn upstream_info(entry: Entry, pool: Pool) -> UpstreamInfo {
    UpstreamInfo {
        instance: entry.instance,
        pool,
        data_centre: entry.data_centre,
        address: entry.address,
        leaving: entry.state == State::Leaving,
    }
}
