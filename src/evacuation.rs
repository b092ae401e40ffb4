//! Moves streams away from upstreams that the cloud is about to reclaim.
//!
//! One task knows every stream of this daemon. When the reclaim notice of an upstream arrives, the
//! task decides for all streams at that upstream together. Shortly before the notice ends, the
//! streams that are left are told to resume elsewhere.

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

/// Capacity of the task's mailbox, in messages.
const MAILBOX: usize = 1_024;

/// Capacity of a stream's queue of actions, which gets at most the planned one and the final
/// resumption.
const ACTIONS_BUFFER: usize = 2;

/// Longest sleep of the task while nothing is due.
const IDLE: Duration = Duration::from_secs(3_600);

new_key_type! {
    struct StreamKey;
}

/// Progress of a stream, as reported by its driver.
#[derive(Debug, Default)]
pub struct StreamProgress {
    produced: AtomicU32,
    first_micros: AtomicU64,
}

impl StreamProgress {
    /// Records that the answer has reached a length, in tokens.
    pub fn record_length(&self, now: MonotonicInstant, length: u32) {
        // Only the first token of an attempt sets the time from which the token interval is
        // measured.
        let _ = self.first_micros.compare_exchange(
            0,
            now.micros().max(1),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        self.produced.store(length, Ordering::Relaxed);
    }
}

/// An attempt at an upstream, as moves are planned for it.
#[derive(Clone, Debug)]
pub struct StreamInfo {
    /// Instance of the upstream.
    pub instance: Instance,
    /// When the caller expects the answer; streams with earlier deadlines are planned first.
    pub deadline: MonotonicInstant,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Length of the answer before the attempt, in tokens.
    pub start_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub max_tokens: u32,
    /// Progress, shared with the driver.
    pub progress: Arc<StreamProgress>,
}

impl StreamInfo {
    fn leaving_stream(&self, now: MonotonicInstant, key: StreamKey) -> LeavingStream<StreamKey> {
        let produced = self.progress.produced.load(Ordering::Relaxed).max(self.start_tokens);
        let first = self.progress.first_micros.load(Ordering::Relaxed);
        let since = now.since(MonotonicInstant::from_micros(first));
        let steps = (produced - self.start_tokens).saturating_sub(1);
        LeavingStream {
            key,
            deadline: self.deadline,
            prompt_tokens: self.prompt_tokens,
            produced_tokens: produced,
            max_remaining_tokens: self.max_tokens.saturating_sub(produced),
            token_interval: (first > 0 && steps > 0).then(|| since / steps),
        }
    }
}

enum Message {
    Register {
        info: StreamInfo,
        actions: mpsc::Sender<StreamAction>,
        key: tokio::sync::oneshot::Sender<StreamKey>,
    },
    Deregister(StreamKey),
}

/// Handle to the evacuation task.
#[derive(Clone, Debug)]
pub struct Evacuation {
    mailbox: mpsc::Sender<Message>,
}

/// Registration of a stream with the task; dropping it removes the stream.
#[derive(Debug)]
pub struct StreamRegistration {
    key: Option<StreamKey>,
    actions: mpsc::Receiver<StreamAction>,
    mailbox: mpsc::Sender<Message>,
}

impl StreamRegistration {
    /// Waits for the next action; never returns if the upstream stays.
    pub async fn next_action(&mut self) -> StreamAction {
        match self.actions.recv().await {
            Some(action) => action,
            None => std::future::pending().await,
        }
    }
}

impl Drop for StreamRegistration {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            // If the mailbox is full, the stream stays registered, but its actions have no
            // receiver.
            let _ = self.mailbox.try_send(Message::Deregister(key));
        }
    }
}

impl Evacuation {
    /// Registers an attempt with the task.
    pub async fn register(&self, info: StreamInfo) -> StreamRegistration {
        let (actions, receiver) = mpsc::channel(ACTIONS_BUFFER);
        let (key, answer) = tokio::sync::oneshot::channel();
        // If the task has ended, the stream gets no actions.
        let _ = self.mailbox.send(Message::Register { info, actions, key }).await;
        StreamRegistration {
            key: answer.await.ok(),
            actions: receiver,
            mailbox: self.mailbox.clone(),
        }
    }
}

/// Starts the task, which ends when the last handle and registration are dropped, or with the
/// router.
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
    /// When the streams that are left must leave, for each instance whose notice is known.
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
            Message::Register { info, actions, key } => {
                let instance = info.instance.clone();
                let stream_key = self.streams.insert((info, actions));
                // Sending fails only if the driver is gone, and its action receiver with it.
                let _ = key.send(stream_key);
                if let Some(stop) = self.stops.borrow().get(&instance).copied() {
                    self.evacuate(stop, vec![stream_key]);
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
                let keys = self.streams_at(instance);
                log::info!("event=evacuating instance={instance} streams={}", keys.len());
                self.evacuate(*stop, keys);
            }
        }
    }

    fn on_due(&mut self) {
        let now = self.context.clock().now();
        let ended: Vec<_> = self.due.iter().filter(|(_, due)| **due <= now).collect();
        let ended: Vec<Instance> =
            ended.into_iter().map(|(instance, _)| instance.clone()).collect();
        for instance in ended {
            // The entry stays, so that the notice is not taken for a new one, but is due much
            // later.
            self.due.insert(instance.clone(), now + IDLE);
            if self.notice == NoticeAction::Ignore {
                continue;
            }
            for key in self.streams_at(&instance) {
                self.send_action(key, StreamAction::Resume);
            }
        }
        let stops = self.stops.borrow().clone();
        self.due.retain(|instance, _| stops.contains_key(instance));
    }

    fn streams_at(&self, instance: &Instance) -> Vec<StreamKey> {
        let keys = self.streams.iter().filter(|(_, (info, _))| info.instance == *instance);
        keys.map(|(key, _)| key).collect()
    }

    fn evacuate(&self, stop: MonotonicInstant, keys: Vec<StreamKey>) {
        if self.notice == NoticeAction::Ignore {
            return;
        }
        if self.notice == NoticeAction::Resume {
            keys.into_iter().for_each(|key| self.send_action(key, StreamAction::Resume));
            return;
        }
        let now = self.context.clock().now();
        let leaving_streams =
            keys.into_iter().map(|key| self.streams[key].0.leaving_stream(now, key)).collect();
        for (key, action) in plan_moves(now, stop, &self.model, leaving_streams) {
            self.send_action(key, action);
        }
    }

    fn send_action(&self, key: StreamKey, action: StreamAction) {
        if let Some((_, actions)) = self.streams.get(key) {
            // A full queue already holds the final resumption.
            let _ = actions.try_send(action);
        }
    }
}

#[cfg(test)]
mod tests;
