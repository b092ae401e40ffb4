//! Claims in the log for calls that must run at most once.
//!
//! One task for each claim stream owns that stream's ledger. It appends the records that the ledger
//! gathers and reads the log while requests wait for a verdict. Otherwise it reads at a long
//! interval, so that no record expires from the log unread.

use crate::context::Context;
use crate::settings::ClaimSettings;
use serde_json::value::{RawValue, to_raw_value};
use spindle_log::{AppendError, Batch, Log, ReadError};
use spindle_policy::claim::{CallKey, ClaimRecord, Claimant, Continuity, Page, RecordedAnswer};
use spindle_policy::claim_ledger::{AppendOutcome, ClaimLedger, ClaimLimits, Verdict};
use spindle_types::{Clock, Incarnation, MonotonicInstant, Offset, StreamName};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

/// Name prefix of the log streams that hold claims; the number of the partition follows.
pub const CLAIM_STREAM: &str = "claims";

/// Capacity of a task's mailbox, in messages.
const MAILBOX: usize = 4_096;

/// How long a read of the log waits for the first record while requests wait for a verdict.
const READ_WAIT: Duration = Duration::from_millis(200);

/// Pause after a failed read or append.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time between two reads while no request waits for a verdict.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);

/// Number of different ages at which daemons write old claims to the log again, so that mostly one
/// daemon does it.
const REWRITE_STEPS: u32 = 64;

/// Result of a claim.
#[derive(Debug)]
pub enum Outcome {
    /// This request may send the call, once.
    Won(SendPermit),
    /// The call has been answered already; this is the recorded answer.
    Answered(RecordedAnswer),
    /// Another request holds the claim, and its answer is not known.
    Lost,
    /// The key was used before for a different request.
    Mismatch,
    /// The key is older than the replay window.
    Expired,
    /// The log could not settle the claim in time; this request must not send the call.
    Unsettled,
}

/// Permission to send a call once. Dropping it unused releases the claim for good.
#[derive(Debug)]
pub struct SendPermit {
    call: Option<CallKey>,
    claimant: Claimant,
    mailbox: mpsc::Sender<Message>,
}

/// A call whose permit has been used, so that it may run at an upstream.
#[derive(Debug)]
pub struct ClaimedCall {
    call: CallKey,
    claimant: Claimant,
    mailbox: mpsc::Sender<Message>,
}

impl SendPermit {
    /// Uses the permit; called just before the first byte of the call is sent.
    pub fn start(mut self) -> Option<ClaimedCall> {
        let call = self.call.take()?;
        Some(ClaimedCall { call, claimant: self.claimant, mailbox: self.mailbox.clone() })
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            // If the mailbox is full, the key stays claimed. That is safe: repeats get `unknown`.
            let _ = self.mailbox.try_send(Message::Release { call, claimant: self.claimant });
        }
    }
}

impl ClaimedCall {
    /// Releases the claim, because the upstream started nothing.
    pub fn release(self) {
        drop(SendPermit { call: Some(self.call), claimant: self.claimant, mailbox: self.mailbox });
    }

    /// Records the answer for repeats of the key.
    pub async fn record(self, answer: RecordedAnswer) {
        let message = Message::Answer { call: self.call, claimant: self.claimant, answer };
        // If the task has ended, repeats of the key get `unknown`.
        let _ = self.mailbox.send(message).await;
    }
}

#[derive(Debug)]
enum Message {
    Call { call: CallKey, claimant: Claimant, digest: u64, reply: oneshot::Sender<Outcome> },
    Release { call: CallKey, claimant: Claimant },
    Answer { call: CallKey, claimant: Claimant, answer: RecordedAnswer },
}

/// Handle to the tasks that own the claims, one for each partition.
#[derive(Clone, Debug)]
pub struct Claims {
    partitions: Arc<[mpsc::Sender<Message>]>,
    incarnation: Incarnation,
}

impl Claims {
    /// Claims a call. `nonce` must be new for each request; `digest` is the hash of the request,
    /// which detects a key reused for another request.
    pub async fn claim(&self, call: CallKey, nonce: u64, digest: u64) -> Outcome {
        let count = u32::try_from(self.partitions.len()).unwrap_or(u32::MAX);
        let index = usize::try_from(call.partition(count)).unwrap_or_default();
        let claimant = Claimant { incarnation: self.incarnation, nonce };
        let (reply, answer) = oneshot::channel();
        let message = Message::Call { call, claimant, digest, reply };
        if self.partitions[index].send(message).await.is_err() {
            return Outcome::Unsettled;
        }
        answer.await.unwrap_or(Outcome::Unsettled)
    }
}

/// Starts the tasks, which end when the last handle is dropped.
pub fn start<C: Context>(
    context: &C,
    incarnation: Incarnation,
    settings: &ClaimSettings,
) -> Claims {
    let limits = limits(incarnation, settings);
    let partitions = (0..settings.partitions.max(1)).map(|index| {
        let (mailbox, messages) = mpsc::channel(MAILBOX);
        let stream = StreamName::try_from(format!("{CLAIM_STREAM}-{index}"))
            .expect("names of claim streams are valid");
        let task = Task {
            context: context.clone(),
            stream,
            ledger: ClaimLedger::new(limits),
            mailbox: mailbox.downgrade(),
            replies: HashMap::new(),
            jobs: JoinSet::new(),
            reading: false,
            read_at: MonotonicInstant::default(),
            append_at: MonotonicInstant::default(),
        };
        tokio::spawn(task.run(messages));
        mailbox
    });
    Claims { partitions: partitions.collect(), incarnation }
}

/// The time limits of the ledger. Claims are written to the log again at an age between half and
/// three quarters of its retention time; the age differs from daemon to daemon.
fn limits(incarnation: Incarnation, settings: &ClaimSettings) -> ClaimLimits {
    let step = u32::try_from(incarnation.0 % u64::from(REWRITE_STEPS)).unwrap_or_default();
    let retention = settings.log_retention.get();
    ClaimLimits {
        claim_lifetime: settings.replay_window.get(),
        rewrite_age: retention / 2 + retention / 4 * step / REWRITE_STEPS,
        settle_timeout: settings.settle_timeout.get(),
    }
}

enum JobResult {
    Appended(AppendOutcome),
    Read(Result<Batch, ReadError>),
    Fetched(oneshot::Sender<Outcome>, Option<RecordedAnswer>),
}

struct Task<C> {
    context: C,
    stream: StreamName,
    ledger: ClaimLedger,
    mailbox: mpsc::WeakSender<Message>,
    replies: HashMap<Claimant, (CallKey, oneshot::Sender<Outcome>)>,
    jobs: JoinSet<JobResult>,
    /// Whether a read is in progress.
    reading: bool,
    /// When the next read is due.
    read_at: MonotonicInstant,
    /// The earliest time of the next append.
    append_at: MonotonicInstant,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        loop {
            self.start_jobs();
            let pause = self.time_until_due();
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                Some(Ok(result)) = self.jobs.join_next() => self.on_job_result(result),
                () = tokio::time::sleep(pause) => {}
            }
            self.ledger.on_time(self.context.clock().now());
            self.send_verdicts();
        }
    }

    /// Time until the next read, append or deadline is due if no message arrives.
    fn time_until_due(&self) -> Duration {
        let now = self.context.clock().now();
        let due_times = [
            self.ledger.deadline(),
            (!self.reading).then_some(self.read_at),
            (self.append_at > now).then_some(self.append_at),
        ];
        let next = due_times.into_iter().flatten().min();
        next.map_or(IDLE_INTERVAL, |next| next.since(now))
    }

    fn start_jobs(&mut self) {
        let now = self.context.clock().now();
        if now >= self.append_at {
            self.start_append();
        }
        let wanted = self.ledger.is_waiting() || !self.ledger.table().is_current();
        let due = now >= self.read_at || (wanted && self.read_at.since(now) > RETRY_DELAY);
        if !self.reading && due {
            self.start_read(wanted);
        }
    }

    fn start_append(&mut self) {
        let group = self.ledger.next_append(self.context.clock().utc());
        if group.is_empty() {
            return;
        }
        let (context, stream) = (self.context.clone(), self.stream.clone());
        self.jobs
            .spawn(async move { JobResult::Appended(append(&context, &stream, &group).await) });
    }

    fn start_read(&mut self, wanted: bool) {
        self.reading = true;
        let (context, stream) = (self.context.clone(), self.stream.clone());
        let next = self.ledger.next();
        let wait = if wanted { READ_WAIT } else { Duration::ZERO };
        self.jobs
            .spawn(async move { JobResult::Read(context.log().read(&stream, next, wait).await) });
    }

    fn on_message(&mut self, message: Message) {
        let clock = self.context.clock();
        let (now, utc) = (clock.now(), clock.utc());
        match message {
            Message::Call { call, claimant, digest, reply } => {
                self.replies.insert(claimant, (call.clone(), reply));
                self.ledger.on_call(now, utc, claimant, call, digest);
            }
            Message::Release { call, claimant } => self.ledger.on_release(claimant, call),
            Message::Answer { call, claimant, answer } => {
                self.ledger.write(ClaimRecord::Answer { call, claimant, answer });
            }
        }
    }

    fn on_job_result(&mut self, result: JobResult) {
        let now = self.context.clock().now();
        match result {
            JobResult::Appended(end) => {
                if end != AppendOutcome::Appended {
                    self.append_at = now + RETRY_DELAY;
                }
                self.ledger.on_append(end);
            }
            JobResult::Read(read) => {
                self.reading = false;
                self.on_read(now, read);
            }
            JobResult::Fetched(reply, answer) => {
                // Sending fails only if the requester is gone.
                let _ = reply.send(answer.map_or(Outcome::Lost, Outcome::Answered));
            }
        }
    }

    fn on_read(&mut self, now: MonotonicInstant, read: Result<Batch, ReadError>) {
        let batch = match read {
            Ok(batch) => batch,
            Err(error) => {
                log::warn!("event=claim_read_failed stream={} error={error:?}", self.stream);
                self.read_at = now + RETRY_DELAY;
                return;
            }
        };
        let end = batch.end;
        if self.ledger.on_page(page(batch)) == Continuity::Gap {
            log::warn!("event=claim_gap stream={} next={}", self.stream, self.ledger.next());
        }
        let behind = self.ledger.next() < end || self.ledger.is_waiting();
        self.read_at = if behind { now } else { now + IDLE_INTERVAL };
    }

    fn send_verdicts(&mut self) {
        for (claimant, verdict) in self.ledger.take_verdicts() {
            let Some((call, reply)) = self.replies.remove(&claimant) else {
                continue;
            };
            let outcome = match verdict {
                Verdict::Won => match self.permit(call, claimant) {
                    Some(permit) => Outcome::Won(permit),
                    None => Outcome::Unsettled,
                },
                Verdict::Answered(offset) => {
                    self.fetch(call, offset, reply);
                    continue;
                }
                Verdict::Lost => Outcome::Lost,
                Verdict::Mismatch => Outcome::Mismatch,
                Verdict::Expired => Outcome::Expired,
                Verdict::Unsettled => Outcome::Unsettled,
            };
            // If the requester is gone, the unsent permit is dropped, which releases the claim.
            let _ = reply.send(outcome);
        }
    }

    fn permit(&self, call: CallKey, claimant: Claimant) -> Option<SendPermit> {
        let mailbox = self.mailbox.upgrade()?;
        Some(SendPermit { call: Some(call), claimant, mailbox })
    }

    /// Reads a recorded answer from the log and sends it to the requester.
    fn fetch(&mut self, call: CallKey, offset: Offset, reply: oneshot::Sender<Outcome>) {
        let (context, stream) = (self.context.clone(), self.stream.clone());
        self.jobs.spawn(async move {
            let batch = context.log().read(&stream, offset, Duration::ZERO).await.ok();
            let answer = batch.and_then(|batch| answer_at(batch, offset, &call));
            JobResult::Fetched(reply, answer)
        });
    }
}

async fn append<C: Context>(
    context: &C,
    stream: &StreamName,
    group: &[ClaimRecord],
) -> AppendOutcome {
    let records: Result<Vec<Box<RawValue>>, _> = group.iter().map(to_raw_value).collect();
    let Ok(records) = records else {
        return AppendOutcome::NotAppended;
    };
    match context.log().append(stream, records).await {
        Ok(_) => AppendOutcome::Appended,
        Err(AppendError::Unknown(text)) => {
            log::warn!("event=claim_append_unknown stream={stream} error={text:?}");
            AppendOutcome::Unknown
        }
        Err(AppendError::NotAppended(text)) => {
            log::warn!("event=claim_append_failed stream={stream} error={text:?}");
            AppendOutcome::NotAppended
        }
    }
}

fn page(batch: Batch) -> Page {
    let records = batch.records.into_iter().map(|record| {
        let parsed = serde_json::from_str(record.body.get());
        if let Err(error) = &parsed {
            log::warn!("event=claim_invalid offset={} error={error:?}", record.offset);
        }
        (record.offset, record.at, parsed.ok())
    });
    Page { oldest: batch.oldest, end: batch.end, records: records.collect() }
}

fn answer_at(batch: Batch, offset: Offset, expected: &CallKey) -> Option<RecordedAnswer> {
    let record = batch.records.into_iter().find(|record| record.offset == offset)?;
    match serde_json::from_str(record.body.get()).ok()? {
        ClaimRecord::Answer { call, answer, .. } if call == *expected => Some(answer),
        _ => None,
    }
}
