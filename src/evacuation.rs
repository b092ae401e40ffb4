//! Moves streams away from upstreams that are about to be taken back.
//!
//! A task knows every stream of this daemon and decides for all streams of an upstream together
//! once its notice arrives. Shortly before the notice ends, whatever is left resumes elsewhere.

use crate::context::Context;
use crate::settings::{NoticeAction, SurvivalSettings};
use crate::upstreams::StopWatch;
use slotmap::{SlotMap, new_key_type};
use spindle_policy::evacuation::{LeavingStream, StreamAction, TransferModel, plan_moves};
use spindle_types::{Clock, Instance, MonotonicInstant};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// Messages that may wait for the task.
const MAILBOX: usize = 1_024;

/// Orders that may wait for a stream; there are at most a move and the final resumption.
const ORDERS: usize = 2;

/// How long the task sleeps when nothing is due.
const IDLE: Duration = Duration::from_secs(3_600);

new_key_type! {
    struct StreamKey;
}

/// How far a stream has come, as its driver tells.
#[derive(Debug, Default)]
pub struct StreamProgress {
    produced: AtomicU32,
    first_micros: AtomicU64,
}

impl StreamProgress {
    /// The answer has reached a length, in tokens.
    pub fn reach(&self, now: MonotonicInstant, length: u32) {
        // Only the first token of an attempt sets its time.
        let _ = self.first_micros.compare_exchange(
            0,
            now.micros().max(1),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        self.produced.store(length, Ordering::Relaxed);
    }
}

/// One attempt at an upstream.
#[derive(Clone, Debug)]
pub struct StreamInfo {
    /// The upstream.
    pub instance: Instance,
    /// When the caller expects the answer.
    pub deadline: MonotonicInstant,
    /// The tokens of the prompt.
    pub prompt: u32,
    /// The tokens that the answer had before the attempt.
    pub start: u32,
    /// The most tokens of the answer.
    pub max: u32,
    /// How far it has come.
    pub progress: Arc<StreamProgress>,
}

impl StreamInfo {
    fn leaver(&self, now: MonotonicInstant, key: StreamKey) -> LeavingStream<StreamKey> {
        let produced = self.progress.produced.load(Ordering::Relaxed).max(self.start);
        let first = self.progress.first_micros.load(Ordering::Relaxed);
        let since = now.since(MonotonicInstant::from_micros(first));
        let steps = (produced - self.start).saturating_sub(1);
        LeavingStream {
            key,
            deadline: self.deadline,
            prompt_tokens: self.prompt,
            produced_tokens: produced,
            max_remaining_tokens: self.max.saturating_sub(produced),
            token_interval: (first > 0 && steps > 0).then(|| since / steps),
        }
    }
}

enum Message {
    Register {
        info: StreamInfo,
        orders: mpsc::Sender<StreamAction>,
        key: tokio::sync::oneshot::Sender<StreamKey>,
    },
    Deregister(StreamKey),
}

/// Talks to the task.
#[derive(Clone, Debug)]
pub struct Evacuation {
    mailbox: mpsc::Sender<Message>,
}

/// A stream's place in the task's table; dropping it takes the stream out.
#[derive(Debug)]
pub struct StreamRegistration {
    key: Option<StreamKey>,
    orders: mpsc::Receiver<StreamAction>,
    mailbox: mpsc::Sender<Message>,
}

impl StreamRegistration {
    /// The next order; never comes if the upstream stays.
    pub async fn next_action(&mut self) -> StreamAction {
        match self.orders.recv().await {
            Some(order) => order,
            None => std::future::pending().await,
        }
    }
}

impl Drop for StreamRegistration {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            // If the mailbox is full, the task finds the orders' receiver gone.
            let _ = self.mailbox.try_send(Message::Deregister(key));
        }
    }
}

impl Evacuation {
    /// Enters an attempt into the table.
    pub async fn register(&self, info: StreamInfo) -> StreamRegistration {
        let (orders, receiver) = mpsc::channel(ORDERS);
        let (key, answer) = tokio::sync::oneshot::channel();
        // Without a task no orders come.
        let _ = self.mailbox.send(Message::Register { info, orders, key }).await;
        StreamRegistration {
            key: answer.await.ok(),
            orders: receiver,
            mailbox: self.mailbox.clone(),
        }
    }
}

/// Starts the task; it ends when nobody talks to it any more.
pub fn start<C: Context>(context: C, settings: &SurvivalSettings, stops: StopWatch) -> Evacuation {
    let (mailbox, messages) = mpsc::channel(MAILBOX);
    let (model, notice) = (settings.transfer_model(), settings.notice);
    let task =
        Task { context, model, notice, stops, streams: SlotMap::with_key(), due: HashMap::new() };
    tokio::spawn(task.run(messages));
    Evacuation { mailbox }
}

struct Task<C> {
    context: C,
    model: TransferModel,
    notice: NoticeAction,
    stops: StopWatch,
    streams: SlotMap<StreamKey, (StreamInfo, mpsc::Sender<StreamAction>)>,
    /// When the rest is to leave an instance whose notice is known.
    due: HashMap<Instance, MonotonicInstant>,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        loop {
            let now = self.context.clock().now();
            let pause = self.due.values().min().map_or(IDLE, |due| due.since(now));
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                changed = self.stops.changed() => match changed {
                    Ok(()) => self.on_stops(),
                    Err(_) => return,
                },
                () = tokio::time::sleep(pause) => self.on_due(),
            }
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Register { info, orders, key } => {
                let instance = info.instance.clone();
                let seat = self.streams.insert((info, orders));
                // A driver that has gone takes its orders' receiver with it.
                let _ = key.send(seat);
                if let Some(stop) = self.stops.borrow().get(&instance).copied() {
                    self.evacuate(stop, vec![seat]);
                }
            }
            Message::Deregister(key) => {
                self.streams.remove(key);
            }
        }
    }

    fn on_stops(&mut self) {
        let stops = Arc::clone(&self.stops.borrow_and_update());
        for (instance, stop) in stops.iter() {
            let due = *stop - self.model.margin;
            if self.due.insert(instance.clone(), due).is_none() {
                let seats = self.seats_at(instance);
                log::info!("event=evacuating instance={instance} streams={}", seats.len());
                self.evacuate(*stop, seats);
            }
        }
    }

    fn on_due(&mut self) {
        let now = self.context.clock().now();
        let ended: Vec<_> = self.due.iter().filter(|(_, due)| **due <= now).collect();
        let ended: Vec<Instance> =
            ended.into_iter().map(|(instance, _)| instance.clone()).collect();
        for instance in ended {
            // Kept as known, with no further moment at which something is due.
            self.due.insert(instance.clone(), now + IDLE);
            if self.notice == NoticeAction::Ignore {
                continue;
            }
            for key in self.seats_at(&instance) {
                self.order(key, StreamAction::Resume);
            }
        }
        let stops = self.stops.borrow().clone();
        self.due.retain(|instance, _| stops.contains_key(instance));
    }

    fn seats_at(&self, instance: &Instance) -> Vec<StreamKey> {
        let seats = self.streams.iter().filter(|(_, (info, _))| info.instance == *instance);
        seats.map(|(key, _)| key).collect()
    }

    fn evacuate(&self, stop: MonotonicInstant, seats: Vec<StreamKey>) {
        if self.notice == NoticeAction::Ignore {
            return;
        }
        if self.notice == NoticeAction::Resume {
            seats.into_iter().for_each(|key| self.order(key, StreamAction::Resume));
            return;
        }
        let now = self.context.clock().now();
        let leavers = seats.into_iter().map(|key| self.streams[key].0.leaver(now, key)).collect();
        for (key, order) in plan_moves(now, stop, &self.model, leavers) {
            self.order(key, order);
        }
    }

    fn order(&self, key: StreamKey, order: StreamAction) {
        if let Some((_, orders)) = self.streams.get(key) {
            // A full queue already holds the final order.
            let _ = orders.try_send(order);
        }
    }
}

#[cfg(test)]
mod tests;
