//! The task that owns the router. It follows the instance list, reclaim notices, prices, loads and
//! KV cache events, and chooses upstreams for requests.

mod poll;
mod price;

use crate::context::Context;
use crate::settings::Settings;
use price::Prices;
use rand::SeedableRng;
use rand::rngs::StdRng;
use spindle_cloud::wire::{Offer, ReclaimNotice};
use spindle_instances::{InstanceEntry, State, Workload};
use spindle_policy::routing::{
    AttemptEnd, AttemptKey, CacheChange, Demand, Route, Router, UpstreamInfo, UpstreamLoad,
};
use spindle_types::{Clock, Instance, MonotonicInstant, Pool};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Capacity of the task's mailbox, in messages.
const MAILBOX: usize = 1_024;

/// A daemon in the instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedDaemon {
    /// Entry in the instance list.
    pub entry: InstanceEntry,
    /// Address at which other daemons reach it.
    pub peer: SocketAddr,
}

/// Watches the daemons in the instance list.
pub type DaemonWatch = watch::Receiver<Arc<Vec<ListedDaemon>>>;

/// Watches the instances that are marked as leaving, which get no new work.
pub type LeavingWatch = watch::Receiver<Arc<Vec<Instance>>>;

/// Watches when each instance that the cloud is about to reclaim will stop.
pub type StopWatch = watch::Receiver<Arc<HashMap<Instance, MonotonicInstant>>>;

/// Watches the number of upstreams in each pool that accept work.
pub type CapacityWatch = watch::Receiver<Arc<BTreeMap<Pool, u32>>>;

enum Message {
    Choose { demand: Demand, excluded: Vec<Instance>, reply: oneshot::Sender<Option<Route>> },
    Progress { key: AttemptKey, tokens: u32 },
    End { key: AttemptKey, end: AttemptEnd },
    Listing(Vec<InstanceEntry>),
    Leaving(Vec<Instance>),
    Notices(Vec<ReclaimNotice>),
    Offers(Vec<Offer>),
    BusiestUpstreams { count: usize, reply: oneshot::Sender<Vec<PolledUpstream>> },
    Report { instance: Instance, report: UpstreamLoad },
    Cache { instance: Instance, next: u64, events: Vec<(u64, CacheChange)> },
}

/// An upstream whose load and KV cache events are polled.
struct PolledUpstream {
    instance: Instance,
    address: SocketAddr,
    next_event: u64,
}

/// Handle to the task that owns the router.
#[derive(Clone, Debug)]
pub struct Upstreams {
    mailbox: mpsc::Sender<Message>,
    leaving: LeavingWatch,
    stops: StopWatch,
    capacity: CapacityWatch,
}

impl Upstreams {
    /// Chooses an upstream for a request; `None` if no upstream can take it.
    pub async fn choose(&self, demand: &Demand, excluded: &[Instance]) -> Option<Route> {
        let (reply, answer) = oneshot::channel();
        let (demand, excluded) = (demand.clone(), excluded.to_vec());
        let message = Message::Choose { demand, excluded, reply };
        self.mailbox.send(message).await.ok()?;
        answer.await.ok()?
    }

    /// Records the total number of tokens that an attempt has produced. Does nothing while the
    /// task's mailbox is full, because the number only refines estimates.
    pub fn progress(&self, key: AttemptKey, tokens: u32) {
        let _ = self.mailbox.try_send(Message::Progress { key, tokens });
    }

    /// Records the end of an attempt.
    pub async fn end(&self, key: AttemptKey, end: AttemptEnd) {
        // Sending fails only when the task has ended; then there is nothing to record.
        let _ = self.mailbox.send(Message::End { key, end }).await;
    }

    /// Marks an instance as leaving permanently, so that it gets no new work.
    pub async fn mark_leaving(&self, instance: Instance) {
        // Sending fails only when the task has ended; then the instance gets no work either.
        let _ = self.mailbox.send(Message::Leaving(vec![instance])).await;
    }

    /// Watches the number of upstreams in each pool that accept work.
    pub fn capacity(&self) -> CapacityWatch {
        self.capacity.clone()
    }

    /// Watches the instances that are marked as leaving.
    pub fn leaving(&self) -> LeavingWatch {
        self.leaving.clone()
    }

    /// Watches when each instance that the cloud is about to reclaim will stop.
    pub fn stops(&self) -> StopWatch {
        self.stops.clone()
    }
}

/// Starts the task, which ends when the last handle is dropped.
pub fn start<C: Context>(context: C, settings: &Settings) -> (Upstreams, DaemonWatch) {
    let (mailbox, messages) = mpsc::channel(MAILBOX);
    let (daemons, daemon_watch) = watch::channel(Arc::default());
    let (leaving, leaving_watch) = watch::channel(Arc::default());
    let (stops, stop_watch) = watch::channel(Arc::default());
    let (capacity, capacity_watch) = watch::channel(Arc::default());
    poll::start(&context, settings, &mailbox);
    let seed = u64::try_from(context.random() >> 64).unwrap_or_default();
    let params = settings.routing.router_params(settings.identity.data_centre.clone());
    let task = Task {
        context,
        router: Router::new(params),
        generator: StdRng::seed_from_u64(seed),
        prices: Prices::default(),
        daemons,
        leaving,
        stops,
        capacity,
    };
    tokio::spawn(task.run(messages));
    let upstreams =
        Upstreams { mailbox, leaving: leaving_watch, stops: stop_watch, capacity: capacity_watch };
    (upstreams, daemon_watch)
}

struct Task<C> {
    context: C,
    router: Router,
    generator: StdRng,
    prices: Prices,
    daemons: watch::Sender<Arc<Vec<ListedDaemon>>>,
    leaving: watch::Sender<Arc<Vec<Instance>>>,
    stops: watch::Sender<Arc<HashMap<Instance, MonotonicInstant>>>,
    capacity: watch::Sender<Arc<BTreeMap<Pool, u32>>>,
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
            Message::Choose { demand, excluded, reply } => {
                let route = self.router.choose(now, &demand, &excluded, &mut self.generator);
                // If the requester is gone, the attempt is cancelled at once.
                if let Err(Some(route)) = reply.send(route) {
                    self.router.on_end(now, route.key, AttemptEnd::Cancelled);
                }
            }
            Message::Progress { key, tokens } => self.router.on_progress(now, key, tokens),
            Message::End { key, end } => self.router.on_end(now, key, end),
            Message::Listing(entries) => self.on_listing(entries),
            Message::Leaving(instances) => {
                instances.iter().for_each(|instance| self.mark_leaving(instance));
                self.publish_capacity();
            }
            Message::Notices(notices) => self.on_notices(now, &notices),
            Message::Offers(offers) => self.prices.on_offers(offers),
            Message::BusiestUpstreams { count, reply } => {
                // Sending fails only if the polling task has ended.
                let _ = reply.send(self.busiest_upstreams(count));
            }
            Message::Report { instance, report } => self.router.on_report(&instance, report),
            Message::Cache { instance, next, events } => {
                self.router.on_cache_events(&instance, next, &events);
            }
        }
    }

    fn busiest_upstreams(&self, count: usize) -> Vec<PolledUpstream> {
        let busiest = self.router.busiest(count).into_iter();
        let polled = busiest.map(|(instance, address)| {
            let next_event = self.router.next_cache_event(&instance);
            PolledUpstream { instance, address, next_event }
        });
        polled.collect()
    }

    fn on_listing(&mut self, entries: Vec<InstanceEntry>) {
        let mut upstreams = Vec::new();
        let mut daemons = Vec::new();
        for entry in entries {
            if entry.state == State::Leaving {
                self.mark_leaving(&entry.instance);
            }
            match entry.kind.clone() {
                Workload::Daemon { peer } => daemons.push(ListedDaemon { entry, peer }),
                Workload::Upstream { pool } => {
                    upstreams.push(upstream_info(entry, pool, &self.prices));
                }
            }
        }
        let now = self.context.clock().now();
        self.router.on_listing(now, upstreams);
        self.daemons.send_replace(Arc::new(daemons));
        self.publish_capacity();
    }

    fn publish_capacity(&self) {
        let counts = Arc::new(self.router.counts());
        self.capacity.send_if_modified(|known| {
            let changed = **known != *counts;
            *known = counts;
            changed
        });
    }

    fn on_notices(&mut self, now: MonotonicInstant, notices: &[ReclaimNotice]) {
        for notice in notices {
            self.mark_leaving(&notice.instance);
            let stop = now + Duration::from_millis(notice.remaining_ms);
            let insert = |stops: &mut Arc<HashMap<_, _>>| {
                Arc::make_mut(stops).insert(notice.instance.clone(), stop);
            };
            self.stops.send_modify(insert);
        }
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

fn upstream_info(entry: InstanceEntry, pool: Pool, prices: &Prices) -> UpstreamInfo {
    UpstreamInfo {
        price: prices.of(&entry),
        instance: entry.instance,
        pool,
        data_centre: entry.data_centre,
        address: entry.address,
        leaving: entry.state == State::Leaving,
    }
}
