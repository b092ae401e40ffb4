//! The requests that this daemon serves or holds replicas of, with their answers so far.
//!
//! Drivers and other daemons append to an answer; readers follow it from any offset. An answer is
//! kept for a while after its end, so that it can be picked up.

use crate::settings::ReplicaSettings;
use spindle_caller::{Completion, Refusal};
use spindle_daemon::CompletedAnswer;
use spindle_types::{Attempt, Incarnation, NotRun, Pool, RequestId, Team, Unknown};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Messages that may wait for the task.
const MAILBOX: usize = 8_192;

/// The time between two looks at what has expired or is wanted no more.
const TICK: Duration = Duration::from_millis(100);

/// A request and what does not change of it.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The team that made it.
    pub team: Team,
    /// The pool that serves it.
    pub pool: Pool,
    /// The checked request.
    pub completion: Completion,
}

/// Who drives a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner {
    /// This daemon.
    Local,
    /// Another daemon, whose replica this is.
    Remote(Incarnation),
}

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// It is whole.
    Complete(CompletedAnswer),
    /// The request was refused before anything ran.
    NotRun(NotRun),
    /// The request was given up.
    Unknown(Unknown),
}

impl AnswerEnd {
    /// The end for a refusal.
    pub fn refused(refusal: Refusal) -> Option<Self> {
        match refusal {
            Refusal::NotRun(not_run) => Some(Self::NotRun(not_run)),
            Refusal::Unknown(unknown) => Some(Self::Unknown(unknown)),
            Refusal::Invalid(_) | Refusal::Unauthorized | Refusal::NotFound => None,
        }
    }
}

/// A part of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// There is no such request of that team here.
    NotFound,
    /// Tokens from the offset on.
    Tokens(Vec<String>),
    /// Nothing follows the offset.
    Ended(AnswerEnd),
}

/// A request with its answer so far.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The request.
    pub id: RequestId,
    /// What does not change of it.
    pub accepted: Arc<AcceptedRequest>,
    /// The newest attempt known.
    pub attempt: Attempt,
    /// The answer so far.
    pub tokens: Vec<String>,
    /// Its end, if it has ended.
    pub end: Option<AnswerEnd>,
}

/// Whether an append could be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Appended {
    /// It was taken, or was known.
    Applied,
    /// The request is not held, or tokens before these are missing.
    Missing,
}

/// Keeps a generation wanted while a reader has it.
#[derive(Clone, Debug)]
pub struct ReaderGuard {
    _count: Arc<()>,
}

/// What a driver gets when it opens a request.
#[derive(Debug)]
pub struct OpenedRequest {
    /// Whether anybody still wants the answer.
    pub wanted: watch::Receiver<bool>,
    /// The first reader's hold on it.
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

/// The replicas to take over.
#[derive(Debug)]
pub(crate) enum TakeOverScope {
    Ids(Vec<RequestId>),
    Owner(Incarnation),
}

/// Talks to the task that owns the journal.
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
        // Without a task the daemon is being dropped.
        let _ = self.mailbox.send(message).await;
    }

    /// Opens a request whose answer is empty so far.
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

    /// Appends tokens to a replica. Once it has been taken over, its former owner changes nothing.
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

    /// Forgets a request that this daemon drives.
    pub async fn remove(&self, id: RequestId) {
        self.tell(Message::Remove { id, owner: Owner::Local }).await;
    }

    /// Forgets a replica.
    pub async fn remove_replica(&self, id: RequestId, owner: Incarnation) {
        self.tell(Message::Remove { id, owner: Owner::Remote(owner) }).await;
    }

    /// Reads an answer from an offset on, waiting until there is something.
    pub async fn read(&self, id: RequestId, team: Team, from: u32) -> ReadResult {
        let read = |reply| Message::Read { id, team, from, reply };
        self.ask(read).await.unwrap_or(ReadResult::NotFound)
    }

    /// Becomes a reader of a request, if it is here and of that team.
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

    /// Renews the lease of a daemon whose replicas are here.
    pub async fn renew(&self, owner: Incarnation) {
        self.tell(Message::Renew(owner)).await;
    }

    /// The daemons whose leases have lapsed.
    pub async fn lapsed_owners(&self) -> Vec<Incarnation> {
        self.ask(|reply| Message::LapsedOwners { reply }).await.unwrap_or_default()
    }

    /// Forgets the replicas of a daemon.
    pub async fn discard_replicas(&self, owner: Incarnation) {
        self.tell(Message::DiscardReplicas(owner)).await;
    }

    /// Takes requests over; returns those that have to be driven on.
    pub async fn take_over(&self, ids: Vec<RequestId>) -> Vec<RequestId> {
        let which = TakeOverScope::Ids(ids);
        self.ask(|reply| Message::TakeOver { which, reply }).await.unwrap_or_default()
    }

    /// Takes all requests of a daemon over; returns those that have to be driven on.
    pub async fn take_over_from(&self, owner: Incarnation) -> Vec<RequestId> {
        let which = TakeOverScope::Owner(owner);
        self.ask(|reply| Message::TakeOver { which, reply }).await.unwrap_or_default()
    }
}

/// Starts the task; it ends when nobody talks to it any more.
pub fn start(settings: &ReplicaSettings) -> Journal {
    let (mailbox, messages) = mpsc::channel(MAILBOX);
    let settings = settings.clone();
    let task = Task { settings, entries: HashMap::new(), renewed: HashMap::new(), kept: 0 };
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
    /// When it ended, or was last attached.
    since: Instant,
    attached: Arc<()>,
    wanted: watch::Sender<bool>,
    readers: Vec<(u32, oneshot::Sender<ReadResult>)>,
}

impl Entry {
    fn part(&self, from: u32) -> Option<ReadResult> {
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        match self.tokens.get(from..) {
            Some(tokens) if !tokens.is_empty() => Some(ReadResult::Tokens(tokens.to_vec())),
            _ => self.end.clone().map(ReadResult::Ended),
        }
    }

    fn answer_readers(&mut self) {
        for (from, reply) in std::mem::take(&mut self.readers) {
            match self.part(from) {
                // A reader that has gone needs no answer.
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
    renewed: HashMap<Incarnation, Instant>,
    /// The bytes of ended answers.
    kept: usize,
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
            self.kept += entry.bytes();
            entry.answer_readers();
        }
    }

    fn read(&mut self, id: RequestId, team: &Team, from: u32, reply: oneshot::Sender<ReadResult>) {
        let entry = self.entries.get_mut(&id).filter(|entry| entry.accepted.team == *team);
        let Some(entry) = entry else {
            let _ = reply.send(ReadResult::NotFound);
            return;
        };
        match entry.part(from) {
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
            let due = match which {
                TakeOverScope::Ids(ids) => ids.contains(id) && entry.owner != Owner::Local,
                TakeOverScope::Owner(owner) => entry.owner == Owner::Remote(*owner),
            };
            if !due || entry.end.is_some() {
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
        let mut kept = 0;
        self.entries.retain(|_, entry| {
            if Arc::strong_count(&entry.attached) > 1 {
                entry.since = now;
            }
            let idle = now.duration_since(entry.since);
            entry.wanted.send_if_modified(|wanted| {
                let before = std::mem::replace(wanted, idle < grace);
                before != *wanted
            });
            if entry.end.is_some() || entry.owner == Owner::Local {
                kept += entry.bytes();
            }
            idle < keep || (entry.end.is_none() && entry.owner != Owner::Local)
        });
        self.kept = kept;
        self.shed();
        self.renewed.retain(|_, at| now.duration_since(*at) < keep);
    }

    /// Forgets ended answers, the oldest first, while they take too much.
    fn shed(&mut self) {
        let max = self.settings.keep_max.bytes();
        while self.kept > max {
            let ended = self.entries.iter().filter(|(_, entry)| entry.end.is_some());
            let Some((id, _)) = ended.min_by_key(|(_, entry)| entry.since) else {
                return;
            };
            let id = *id;
            let bytes = self.entries.remove(&id).map_or(0, |entry| entry.bytes());
            self.kept = self.kept.saturating_sub(bytes);
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
