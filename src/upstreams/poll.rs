//! Polls the platform and the watched engines, and sends what it reads to the router's task.

use super::{Message, PolledUpstream};
use crate::context::Context;
use crate::settings::Settings;
use spindle_cloud::Cloud;
use spindle_engine::{CacheEvent, Engine, Load};
use spindle_instances::Instances;
use spindle_policy::routing::{CacheChange, LoadedModel, UpstreamLoad};
use spindle_types::{BlockHash, Clock, MonotonicInstant};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Interval, MissedTickBehavior, interval};

/// Interval at which the cloud's offers are read.
const OFFER_INTERVAL: Duration = Duration::from_secs(30);

/// Number of reads of an engine's load for each read of its KV cache events.
const LOADS_PER_EVENT_READ: u64 = 4;

type Mailbox = mpsc::WeakSender<Message>;

/// Whether the router's task received a message.
enum Delivered {
    Yes,
    TaskEnded,
}

/// Starts the polling tasks, which end when the router's task has ended.
pub(super) fn start<C: Context>(context: &C, settings: &Settings, mailbox: &mpsc::Sender<Message>) {
    let (peer, routing) = (&settings.peer, &settings.routing);
    let weak = || mailbox.downgrade();
    tokio::spawn(poll_list(context.clone(), ticks(peer.list_interval.get()), weak()));
    tokio::spawn(poll_notices(context.clone(), ticks(peer.notice_interval.get()), weak()));
    tokio::spawn(poll_offers(context.clone(), ticks(OFFER_INTERVAL), weak()));
    let watched = usize::try_from(routing.watched).unwrap_or(usize::MAX);
    let loads = ticks(routing.load_interval.get());
    tokio::spawn(poll_engines(context.clone(), loads, watched, weak()));
}

fn ticks(every: Duration) -> Interval {
    let mut ticks = interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn deliver(mailbox: &Mailbox, message: Message) -> Delivered {
    let Some(mailbox) = mailbox.upgrade() else {
        return Delivered::TaskEnded;
    };
    match mailbox.send(message).await {
        Ok(()) => Delivered::Yes,
        Err(_) => Delivered::TaskEnded,
    }
}

async fn poll_list<C: Context>(context: C, mut ticks: Interval, mailbox: Mailbox) {
    loop {
        ticks.tick().await;
        let message = match context.instances().list().await {
            Ok(listing) => Message::Listing(listing.entries),
            Err(error) => {
                log::warn!("event=list_failed error={error:?}");
                continue;
            }
        };
        if matches!(deliver(&mailbox, message).await, Delivered::TaskEnded) {
            return;
        }
    }
}

async fn poll_notices<C: Context>(context: C, mut ticks: Interval, mailbox: Mailbox) {
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
        if notices.is_empty() {
            continue;
        }
        if matches!(deliver(&mailbox, Message::Notices(notices)).await, Delivered::TaskEnded) {
            return;
        }
    }
}

async fn poll_offers<C: Context>(context: C, mut ticks: Interval, mailbox: Mailbox) {
    loop {
        ticks.tick().await;
        let offers = match context.cloud().offers().await {
            Ok(offers) => offers,
            Err(error) => {
                log::warn!("event=offers_failed error={error:?}");
                continue;
            }
        };
        if matches!(deliver(&mailbox, Message::Offers(offers)).await, Delivered::TaskEnded) {
            return;
        }
    }
}

async fn poll_engines<C: Context>(context: C, mut ticks: Interval, count: usize, mailbox: Mailbox) {
    for round in 0_u64.. {
        ticks.tick().await;
        let (reply, answer) = oneshot::channel();
        let asked = deliver(&mailbox, Message::BusiestUpstreams { count, reply }).await;
        let (Delivered::Yes, Ok(watched)) = (asked, answer.await) else {
            return;
        };
        let mut reads = JoinSet::new();
        for engine in watched {
            reads.spawn(read_engine(context.clone(), engine, round, mailbox.clone()));
        }
        reads.join_all().await;
    }
}

async fn read_engine<C: Context>(
    context: C,
    watched: PolledUpstream,
    round: u64,
    mailbox: Mailbox,
) {
    let PolledUpstream { instance, address, next_event } = watched;
    // Without a load report, failed attempts show that the upstream has failed.
    let Ok(load) = context.engine().load(address).await else {
        return;
    };
    let is_engine = load.model.is_some();
    let report = upstream_load(context.clock().now(), load);
    deliver(&mailbox, Message::Report { instance: instance.clone(), report }).await;
    if !is_engine || !round.is_multiple_of(LOADS_PER_EVENT_READ) {
        return;
    }
    if let Ok(events) = context.engine().cache_events(address, next_event).await {
        let changes = events.events.iter().map(|(number, event)| (*number, cache_change(*event)));
        let message = Message::Cache { instance, next: events.next, events: changes.collect() };
        deliver(&mailbox, message).await;
    }
}

fn upstream_load(now: MonotonicInstant, load: Load) -> UpstreamLoad {
    let loaded = LoadedModel {
        model: load.model,
        version: load.version,
        adapters: load.adapters,
        role: load.role,
    };
    UpstreamLoad {
        taken: now - Duration::from_millis(load.age_ms),
        running: load.running,
        waiting: load.waiting,
        queued_tokens: load.queued_tokens,
        loaded: loaded.model.is_some().then_some(loaded),
    }
}

fn cache_change(event: CacheEvent) -> CacheChange {
    match event {
        CacheEvent::Stored { hash } => CacheChange::Stored(BlockHash(hash)),
        CacheEvent::Evicted { hash } => CacheChange::Evicted(BlockHash(hash)),
    }
}
