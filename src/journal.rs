//! In-memory journal of the requests that this daemon serves or holds replicas of, with their
//! answers so far.
//!
//! Drivers and other daemons append to an answer; readers follow it from any offset. An answer is
//! kept for a while after its end, so that a caller that reconnects can still read it.

use crate::settings::ReplicaSettings;
use spindle_caller::{Completion, Refusal};
use spindle_daemon::CompletedAnswer;
use spindle_types::{Attempt, Incarnation, NotRun, Pool, RequestId, Team, Unknown};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Capacity of the task's mailbox, in messages.
const MAILBOX: usize = 8_192;

/// Interval of the check for entries that have expired and answers that nobody wants any more.
const TICK: Duration = Duration::from_millis(100);

/// An accepted request; it never changes.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// Team that made the request.
    pub team: Team,
    /// Pool that the request was admitted to.
    pub pool: Pool,
    /// Validated request.
    pub completion: Completion,
}

/// The daemon that drives a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This daemon.
    Local,
    /// Another daemon; the entry here is a replica.
    Remote(Incarnation),
}

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// The answer is complete.
    Complete(CompletedAnswer),
    /// The request was refused before anything ran.
    NotRun(NotRun),
    /// The request was given up, and may have run.
    Unknown(Unknown),
}

impl AnswerEnd {
    /// The end that records a refusal; `None` for a refusal that comes before a request is
    /// accepted.
    pub fn refused(refusal: Refusal) -> Option<Self> {
        match refusal {
            Refusal::NotRun(not_run) => Some(Self::NotRun(not_run)),
            Refusal::Unknown(unknown) => Some(Self::Unknown(unknown)),
            Refusal::Invalid(_) | Refusal::Unauthorized | Refusal::NotFound => None,
        }
    }
}

/// Result of reading an answer from an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// The journal has no such request of that team.
    NotFound,
    /// All tokens known from the offset on.
    Tokens(Vec<String>),
    /// The answer has ended, and no token follows the offset.
    Ended(AnswerEnd),
}

/// A request with its answer so far.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Id of the request.
    pub id: RequestId,
    /// The accepted request.
    pub accepted: Arc<AcceptedRequest>,
    /// Newest attempt known; a resumed generation numbers its attempts from there.
    pub attempt: Attempt,
    /// Tokens of the answer so far.
    pub tokens: Vec<String>,
    /// How the answer ended, if it has.
    pub end: Option<AnswerEnd>,
}

/// Whether tokens could be appended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Appended {
    /// The tokens were appended or known already, or the sender no longer owns the request.
    Applied,
    /// The request is not in the journal, or tokens before these are missing.
    Missing,
}

/// Counts as a reader of an answer: while any guard exists, the answer stays wanted.
#[derive(Clone, Debug)]
pub struct ReaderGuard {
    _count: Arc<()>,
}

/// What a driver gets when it opens a request.
#[derive(Debug)]
pub struct OpenedRequest {
    /// Whether anybody still wants the answer; the driver stops once nobody does.
    pub wanted: watch::Receiver<bool>,
    /// The guard of the first reader.
    pub attached: ReaderGuard,
}

pub(crate) enum Message {
    Open {
        id: RequestId,
        accepted: Arc<AcceptedRequest>,
        owner: Owner,
        reply: oneshot::Sender<OpenedRequest>,
    },
    Append {
        id: RequestId,
        owner: Owner,
        attempt: Attempt,
        offset: u32,
        tokens: Vec<String>,
        reply: Option<oneshot::Sender<Appended>>,
    },
    End {
        id: RequestId,
        owner: Owner,
        end: AnswerEnd,
    },
    Remove {
        id: RequestId,
        owner: Owner,
    },
    Read {
        id: RequestId,
        team: Team,
        from: u32,
        reply: oneshot::Sender<ReadResult>,
    },
    Attach {
        id: RequestId,
        team: Team,
        reply: oneshot::Sender<Option<(Arc<AcceptedRequest>, ReaderGuard)>>,
    },
    Snapshot {
        id: RequestId,
        reply: oneshot::Sender<Option<Snapshot>>,
    },
    OwnedRequests {
        reply: oneshot::Sender<Vec<Snapshot>>,
    },
    Renew(Incarnation),
    LapsedOwners {
        reply: oneshot::Sender<Vec<Incarnation>>,
    },
    DiscardReplicas(Incarnation),
    TakeOver {
        which: TakeOverScope,
        reply: oneshot::Sender<Vec<RequestId>>,
    },
}

/// Which replicas to take over.
#[derive(Debug)]
pub(crate) enum TakeOverScope {
    Ids(Vec<RequestId>),
    Owner(Incarnation),
}

/// Handle to the task that owns the journal.
#[derive(Clone, Debug)]
pub struct Journal {
    mailbox: mpsc::Sender<Message>,
}

impl Journal {
    async fn ask<A>(&self, message: impl FnOnce(oneshot::Sender<A>) -> Message) -> Option<A> {
        let (reply, answer) = oneshot::channel();
        self.mailbox.send(message(reply)).await.ok()?;
        answer.await.ok()
    }

    async fn tell(&self, message: Message) {
        // Sending fails only while the daemon is being dropped.
        let _ = self.mailbox.send(message).await;
    }

    /// Opens a request with an empty answer, or the entry that exists under its id. `None` if the
    /// task has ended.
    pub async fn open(
        &self,
        id: RequestId,
        accepted: Arc<AcceptedRequest>,
        owner: Owner,
    ) -> Option<OpenedRequest> {
        self.ask(|reply| Message::Open { id, accepted, owner, reply }).await
    }

    /// Appends tokens at an offset to an answer that this daemon drives.
    pub async fn append(&self, id: RequestId, attempt: Attempt, offset: u32, tokens: Vec<String>) {
        let owner = Owner::Local;
        self.tell(Message::Append { id, owner, attempt, offset, tokens, reply: None }).await;
    }

    /// Appends tokens to a replica. After a take-over, updates of the former owner are ignored.
    pub async fn append_replica(
        &self,
        id: RequestId,
        owner: Incarnation,
        attempt: Attempt,
        offset: u32,
        tokens: Vec<String>,
    ) -> Appended {
        let owner = Owner::Remote(owner);
        let append =
            |reply| Message::Append { id, owner, attempt, offset, tokens, reply: Some(reply) };
        self.ask(append).await.unwrap_or(Appended::Missing)
    }

    /// Ends an answer that this daemon drives.
    pub async fn end(&self, id: RequestId, end: AnswerEnd) {
        self.tell(Message::End { id, owner: Owner::Local, end }).await;
    }

    /// Ends the answer of a replica.
    pub async fn end_replica(&self, id: RequestId, owner: Incarnation, end: AnswerEnd) {
        self.tell(Message::End { id, owner: Owner::Remote(owner), end }).await;
    }

    /// Removes a request that this daemon drives.
    pub async fn remove(&self, id: RequestId) {
        self.tell(Message::Remove { id, owner: Owner::Local }).await;
    }

    /// Removes a replica.
    pub async fn remove_replica(&self, id: RequestId, owner: Incarnation) {
        self.tell(Message::Remove { id, owner: Owner::Remote(owner) }).await;
    }

    /// Reads an answer from an offset on; waits until tokens follow the offset or the answer ends.
    pub async fn read(&self, id: RequestId, team: Team, from: u32) -> ReadResult {
        let read = |reply| Message::Read { id, team, from, reply };
        self.ask(read).await.unwrap_or(ReadResult::NotFound)
    }

    /// Registers a reader of a request, if it is in the journal and belongs to that team.
    pub async fn attach(
        &self,
        id: RequestId,
        team: Team,
    ) -> Option<(Arc<AcceptedRequest>, ReaderGuard)> {
        self.ask(|reply| Message::Attach { id, team, reply }).await?
    }

    /// A request with its answer so far.
    pub async fn snapshot(&self, id: RequestId) -> Option<Snapshot> {
        self.ask(|reply| Message::Snapshot { id, reply }).await?
    }

    /// The requests that this daemon drives.
    pub async fn owned_requests(&self) -> Vec<Snapshot> {
        self.ask(|reply| Message::OwnedRequests { reply }).await.unwrap_or_default()
    }

    /// Renews the lease of a daemon whose replicas this daemon holds.
    pub async fn renew(&self, owner: Incarnation) {
        self.tell(Message::Renew(owner)).await;
    }

    /// The daemons whose leases have lapsed while an answer of theirs has not ended.
    pub async fn lapsed_owners(&self) -> Vec<Incarnation> {
        self.ask(|reply| Message::LapsedOwners { reply }).await.unwrap_or_default()
    }

    /// Removes the replicas of a daemon, except those whose answers have ended.
    pub async fn discard_replicas(&self, owner: Incarnation) {
        self.tell(Message::DiscardReplicas(owner)).await;
    }

    /// Takes requests over; returns those whose generations have to be continued.
    pub async fn take_over(&self, ids: Vec<RequestId>) -> Vec<RequestId> {
        let which = TakeOverScope::Ids(ids);
        self.ask(|reply| Message::TakeOver { which, reply }).await.unwrap_or_default()
    }

    /// Takes all requests of a daemon over; returns those whose generations have to be continued.
    pub async fn take_over_from(&self, owner: Incarnation) -> Vec<RequestId> {
        let which = TakeOverScope::Owner(owner);
        self.ask(|reply| Message::TakeOver { which, reply }).await.unwrap_or_default()
    }
}

/// Starts the task, which ends when the last handle is dropped.
pub fn start(settings: &ReplicaSettings) -> Journal {
    let (mailbox, messages) = mpsc::channel(MAILBOX);
    let settings = settings.clone();
    let task = Task { settings, entries: HashMap::new(), renewed: HashMap::new(), kept_bytes: 0 };
    tokio::spawn(task.run(messages));
    Journal { mailbox }
}

#[derive(Debug)]
struct Entry {
    accepted: Arc<AcceptedRequest>,
    owner: Owner,
    attempt: Attempt,
    tokens: Vec<String>,
    end: Option<AnswerEnd>,
    /// When the entry was opened or taken over, its answer ended, or it last had a reader.
    since: Instant,
    /// Shared with every [`ReaderGuard`] of the answer, so that its count tells whether it has
    /// readers.
    attached: Arc<()>,
    wanted: watch::Sender<bool>,
    /// Reads that wait for tokens from an offset on.
    readers: Vec<(u32, oneshot::Sender<ReadResult>)>,
}

impl Entry {
    fn read_from(&self, from: u32) -> Option<ReadResult> {
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        match self.tokens.get(from..) {
            Some(tokens) if !tokens.is_empty() => Some(ReadResult::Tokens(tokens.to_vec())),
            _ => self.end.clone().map(ReadResult::Ended),
        }
    }

    fn answer_readers(&mut self) {
        for (from, reply) in std::mem::take(&mut self.readers) {
            match self.read_from(from) {
                // Sending fails only if the reader is gone.
                Some(part) => drop(reply.send(part)),
                None => self.readers.push((from, reply)),
            }
        }
    }

    fn bytes(&self) -> usize {
        let tokens: usize = self.tokens.iter().map(String::len).sum();
        tokens + self.accepted.completion.prompt.len()
    }
}

struct Task {
    settings: ReplicaSettings,
    entries: HashMap<RequestId, Entry>,
    /// When each daemon with replicas here last renewed its lease.
    renewed: HashMap<Incarnation, Instant>,
    /// Bytes of ended answers and of all requests driven here, limited by `keep_max`.
    kept_bytes: usize,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        let mut ticks = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
            }
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Open { id, accepted, owner, reply } => self.open(id, accepted, owner, reply),
            Message::Append { id, owner, attempt, offset, tokens, reply } => {
                let appended = self.append(id, owner, attempt, offset, tokens);
                if let Some(reply) = reply {
                    let _ = reply.send(appended);
                }
            }
            Message::End { id, owner, end } => self.end(id, owner, end),
            Message::Remove { id, owner } => {
                if self.entries.get(&id).is_some_and(|entry| entry.owner == owner) {
                    self.entries.remove(&id);
                }
            }
            Message::Read { id, team, from, reply } => self.read(id, &team, from, reply),
            Message::Attach { id, team, reply } => {
                let entry = self.entries.get_mut(&id).filter(|entry| entry.accepted.team == team);
                let attached = entry.map(|entry| {
                    let attached = ReaderGuard { _count: Arc::clone(&entry.attached) };
                    (Arc::clone(&entry.accepted), attached)
                });
                let _ = reply.send(attached);
            }
            Message::Snapshot { id, reply } => {
                let _ = reply.send(self.entries.get(&id).map(|entry| snapshot(id, entry)));
            }
            Message::OwnedRequests { reply } => {
                let own = self.entries.iter().filter(|(_, entry)| entry.owner == Owner::Local);
                let _ = reply.send(own.map(|(id, entry)| snapshot(*id, entry)).collect());
            }
            Message::Renew(owner) => drop(self.renewed.insert(owner, Instant::now())),
            Message::LapsedOwners { reply } => {
                let _ = reply.send(self.lapsed_owners());
            }
            Message::DiscardReplicas(owner) => {
                let owner = Owner::Remote(owner);
                self.entries.retain(|_, entry| entry.owner != owner || entry.end.is_some());
            }
            Message::TakeOver { which, reply } => {
                let _ = reply.send(self.take_over(&which));
            }
        }
    }

    fn open(
        &mut self,
        id: RequestId,
        accepted: Arc<AcceptedRequest>,
        owner: Owner,
        reply: oneshot::Sender<OpenedRequest>,
    ) {
        let entry = self.entries.entry(id).or_insert_with(|| Entry {
            accepted,
            owner,
            attempt: Attempt(0),
            tokens: Vec::new(),
            end: None,
            since: Instant::now(),
            attached: Arc::default(),
            wanted: watch::Sender::new(true),
            readers: Vec::new(),
        });
        entry.wanted.send_replace(true);
        entry.since = Instant::now();
        let attached = ReaderGuard { _count: Arc::clone(&entry.attached) };
        let _ = reply.send(OpenedRequest { wanted: entry.wanted.subscribe(), attached });
    }

    fn append(
        &mut self,
        id: RequestId,
        owner: Owner,
        attempt: Attempt,
        offset: u32,
        tokens: Vec<String>,
    ) -> Appended {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Appended::Missing;
        };
        if entry.owner != owner {
            return Appended::Applied;
        }
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        if offset > entry.tokens.len() {
            return Appended::Missing;
        }
        entry.attempt = entry.attempt.max(attempt);
        let known = entry.tokens.len() - offset;
        entry.tokens.extend(tokens.into_iter().skip(known));
        entry.answer_readers();
        Appended::Applied
    }

    fn end(&mut self, id: RequestId, owner: Owner, end: AnswerEnd) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.end.is_none() && entry.owner == owner {
            entry.end = Some(end);
            entry.since = Instant::now();
            self.kept_bytes += entry.bytes();
            entry.answer_readers();
        }
    }

    fn read(&mut self, id: RequestId, team: &Team, from: u32, reply: oneshot::Sender<ReadResult>) {
        let entry = self.entries.get_mut(&id).filter(|entry| entry.accepted.team == *team);
        let Some(entry) = entry else {
            let _ = reply.send(ReadResult::NotFound);
            return;
        };
        match entry.read_from(from) {
            Some(part) => drop(reply.send(part)),
            None => entry.readers.push((from, reply)),
        }
    }

    fn lapsed_owners(&self) -> Vec<Incarnation> {
        let now = Instant::now();
        let lease = self.settings.lease.get();
        let mut owners = Vec::new();
        for entry in self.entries.values().filter(|entry| entry.end.is_none()) {
            let Owner::Remote(owner) = entry.owner else {
                continue;
            };
            let last = self.renewed.get(&owner).copied().unwrap_or(entry.since);
            if now.duration_since(last) >= lease && !owners.contains(&owner) {
                owners.push(owner);
            }
        }
        owners
    }

    fn take_over(&mut self, which: &TakeOverScope) -> Vec<RequestId> {
        let mut taken = Vec::new();
        for (id, entry) in &mut self.entries {
            let selected = match which {
                TakeOverScope::Ids(ids) => ids.contains(id) && entry.owner != Owner::Local,
                TakeOverScope::Owner(owner) => entry.owner == Owner::Remote(*owner),
            };
            if !selected || entry.end.is_some() {
                continue;
            }
            entry.owner = Owner::Local;
            entry.since = Instant::now();
            taken.push(*id);
        }
        taken
    }

    fn on_tick(&mut self) {
        let now = Instant::now();
        let (grace, keep) = (self.settings.grace.get(), self.settings.keep.get());
        let mut kept_bytes = 0;
        self.entries.retain(|_, entry| {
            if Arc::strong_count(&entry.attached) > 1 {
                entry.since = now;
            }
            let idle = now.duration_since(entry.since);
            entry.wanted.send_if_modified(|wanted| {
                let previous = std::mem::replace(wanted, idle < grace);
                previous != *wanted
            });
            if entry.end.is_some() || entry.owner == Owner::Local {
                kept_bytes += entry.bytes();
            }
            idle < keep || (entry.end.is_none() && entry.owner != Owner::Local)
        });
        self.kept_bytes = kept_bytes;
        self.evict_ended();
        self.renewed.retain(|_, at| now.duration_since(*at) < keep);
    }

    /// Removes ended answers, the oldest first, while `kept_bytes` exceeds `keep_max`.
    fn evict_ended(&mut self) {
        let max = self.settings.keep_max.bytes();
        while self.kept_bytes > max {
            let ended = self.entries.iter().filter(|(_, entry)| entry.end.is_some());
            let Some((id, _)) = ended.min_by_key(|(_, entry)| entry.since) else {
                return;
            };
            let id = *id;
            let bytes = self.entries.remove(&id).map_or(0, |entry| entry.bytes());
            self.kept_bytes = self.kept_bytes.saturating_sub(bytes);
        }
    }
}

fn snapshot(id: RequestId, entry: &Entry) -> Snapshot {
    Snapshot {
        id,
        accepted: Arc::clone(&entry.accepted),
        attempt: entry.attempt,
        tokens: entry.tokens.clone(),
        end: entry.end.clone(),
    }
}
