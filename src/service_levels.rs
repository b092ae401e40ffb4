//! Measures the service levels of answers on their way to the caller, and shares the counts with
//! all daemons through the log.

use crate::answer_reader::AnswerEvent;
use crate::config_follower::stream_name;
use crate::context::Context;
use crate::daemon::Shared;
use crate::metrics::INSTRUMENTS;
use opentelemetry::KeyValue;
use spindle_log::{Log, ReadError};
use spindle_policy::burn::{Counts, ErrorBudgets, ServiceLevelRecord, TeamModelCounts};
use spindle_types::config::LatencyTarget;
use spindle_types::{Clock, Incarnation, Model, MonotonicInstant, Team, Tokens};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Name of the log stream that holds the counts.
pub const SERVICE_LEVEL_STREAM: &str = "levels";

/// Capacity of the counting task's mailbox; counts beyond it are dropped.
const MAILBOX: usize = 4_096;

/// Events that are buffered for a slow caller.
const EVENT_BUFFER: usize = 64;

/// How long a read of the log waits for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Handle to the counting task, with the counts of all daemons.
#[derive(Clone, Debug)]
pub struct ServiceLevels {
    mailbox: mpsc::Sender<TeamModelCounts>,
    /// Watches the error budgets, which hold the counts of all daemons.
    pub error_budgets: watch::Receiver<Arc<ErrorBudgets>>,
}

/// Starts the task that appends this daemon's counts to the log every `interval`, and the task that
/// follows the counts of all daemons.
pub fn start<C: Context>(
    context: C,
    own: Incarnation,
    interval: Duration,
) -> (ServiceLevels, [JoinHandle<()>; 2]) {
    let (mailbox, cells) = mpsc::channel(MAILBOX);
    let (sender, error_budgets) = watch::channel(Arc::default());
    let counter = Counter { context: context.clone(), own, sequence: 0, counts: BTreeMap::new() };
    let counting = tokio::spawn(counter.run(cells, interval));
    let following = tokio::spawn(follow(context, sender));
    (ServiceLevels { mailbox, error_budgets }, [counting, following])
}

/// A request whose service level is measured, and the latency target that it is measured against.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    /// When the request arrived, before it was queued.
    pub arrived: MonotonicInstant,
    /// Team that made the request.
    pub team: Team,
    /// Model that answers it.
    pub model: Model,
    /// Latency target of the pool.
    pub target: LatencyTarget,
}

/// Forwards the events of a generation and counts whether they meet the latency target. Dropping
/// the receiver cancels the generation.
pub fn observe<C: Context>(
    shared: &Arc<Shared<C>>,
    request: ObservedRequest,
    progress: mpsc::Receiver<AnswerEvent>,
) -> mpsc::Receiver<AnswerEvent> {
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    let observer = Observer {
        shared: Arc::clone(shared),
        attributes: [KeyValue::new("team", request.team.to_string())],
        counts: Counts { requests: 1, ..Counts::default() },
        last_event_at: request.arrived,
        has_first_token: false,
        request,
    };
    tokio::spawn(observer.run(progress, sender));
    receiver
}

struct Observer<C> {
    shared: Arc<Shared<C>>,
    request: ObservedRequest,
    attributes: [KeyValue; 1],
    counts: Counts,
    last_event_at: MonotonicInstant,
    has_first_token: bool,
}

impl<C: Context> Observer<C> {
    async fn run(mut self, mut from: mpsc::Receiver<AnswerEvent>, to: mpsc::Sender<AnswerEvent>) {
        loop {
            let event = tokio::select! {
                event = from.recv() => event,
                () = to.closed() => None,
            };
            let Some(event) = event else { break };
            let outcome = self.on_event(&event);
            if to.send(event).await.is_err() {
                break;
            }
            if let Some(outcome) = outcome {
                return self.finish(outcome);
            }
        }
        self.finish("cancelled");
    }

    /// Counts an event; returns the outcome if the event is the last one.
    fn on_event(&mut self, event: &AnswerEvent) -> Option<&'static str> {
        match event {
            AnswerEvent::Text { .. } => {
                self.on_text();
                None
            }
            AnswerEvent::Finished { length, recomputed, .. } => {
                self.counts.tokens = Tokens(u64::from(*length));
                self.counts.recomputed = Tokens(u64::from(*recomputed));
                Some("finished")
            }
            AnswerEvent::Refused(_) => {
                if !self.has_first_token {
                    self.counts.first_token.count(false);
                }
                Some("refused")
            }
        }
    }

    fn on_text(&mut self) {
        let now = self.shared.context.clock().now();
        let elapsed = now.since(self.last_event_at);
        self.last_event_at = now;
        let target = self.request.target;
        if self.has_first_token {
            INSTRUMENTS.token_interval.record(elapsed.as_secs_f64(), &self.attributes);
            self.counts.token_interval.count(elapsed <= target.token_interval.get());
        } else {
            INSTRUMENTS.first_token.record(elapsed.as_secs_f64(), &self.attributes);
            self.counts.first_token.count(elapsed <= target.first_token.get());
            self.has_first_token = true;
        }
    }

    fn finish(self, outcome: &'static str) {
        let [team] = self.attributes.clone();
        INSTRUMENTS.requests.add(1, &[team, KeyValue::new("outcome", outcome)]);
        INSTRUMENTS.tokens.add(self.counts.tokens.0, &self.attributes);
        INSTRUMENTS.recomputed.add(self.counts.recomputed.0, &self.attributes);
        let ObservedRequest { team, model, .. } = self.request;
        let team_counts = TeamModelCounts { team, model, counts: self.counts };
        if self.shared.operator_views.levels.mailbox.try_send(team_counts).is_err() {
            log::warn!("event=level_dropped");
        }
    }
}

struct Counter<C> {
    context: C,
    own: Incarnation,
    sequence: u64,
    counts: BTreeMap<(Team, Model), Counts>,
}

impl<C: Context> Counter<C> {
    async fn run(mut self, mut cells: mpsc::Receiver<TeamModelCounts>, interval: Duration) {
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut unsent: Option<ServiceLevelRecord> = None;
        loop {
            tokio::select! {
                team_counts = cells.recv() => match team_counts {
                    Some(team_counts) => self.count(team_counts),
                    None => return,
                },
                _ = ticks.tick() => {
                    let record = unsent.take().or_else(|| self.take_record());
                    unsent = self.append(record).await;
                }
            }
        }
    }

    fn count(&mut self, team_counts: TeamModelCounts) {
        *self.counts.entry((team_counts.team, team_counts.model)).or_default() +=
            team_counts.counts;
    }

    fn take_record(&mut self) -> Option<ServiceLevelRecord> {
        if self.counts.is_empty() {
            return None;
        }
        self.sequence += 1;
        let counts = std::mem::take(&mut self.counts).into_iter();
        let cells =
            counts.map(|((team, model), counts)| TeamModelCounts { team, model, counts }).collect();
        let at = self.context.clock().utc();
        Some(ServiceLevelRecord { incarnation: self.own, sequence: self.sequence, at, cells })
    }

    /// Appends a record; returns it if the append has to be repeated.
    async fn append(&self, record: Option<ServiceLevelRecord>) -> Option<ServiceLevelRecord> {
        let record = record?;
        match self.context.log().append_value(&stream_name(SERVICE_LEVEL_STREAM), &record).await {
            Ok(_) => None,
            Err(error) => {
                log::warn!("event=levels_append_failed error={:?}", error.to_string());
                Some(record)
            }
        }
    }
}

async fn follow<C: Context>(context: C, sender: watch::Sender<Arc<ErrorBudgets>>) {
    while !sender.is_closed() {
        if let Err(error) = read(&context, &sender).await {
            log::warn!("event=levels_read_failed error={:?}", error.to_string());
            tokio::time::sleep(READ_RETRY_DELAY).await;
        }
    }
}

async fn read<C: Context>(
    context: &C,
    sender: &watch::Sender<Arc<ErrorBudgets>>,
) -> Result<(), ReadError> {
    let next = sender.borrow().next();
    let batch = context.log().read(&stream_name(SERVICE_LEVEL_STREAM), next, READ_WAIT).await?;
    if batch.records.is_empty() {
        return Ok(());
    }
    let now = context.clock().utc();
    sender.send_modify(|error_budgets| {
        let error_budgets = Arc::make_mut(error_budgets);
        for record in batch.records {
            match serde_json::from_str(record.body.get()) {
                Ok(body) => error_budgets.on_record(now, record.offset, body),
                Err(error) => {
                    log::warn!("event=level_invalid offset={} error={error:?}", record.offset);
                    error_budgets.skip(record.offset);
                }
            }
        }
    });
    Ok(())
}

#[cfg(test)]
mod tests;
