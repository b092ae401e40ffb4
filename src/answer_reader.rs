//! Reads answers from the journal of this daemon or of another one, from any offset on.

use crate::context::Context;
use crate::daemon::Shared;
use crate::journal::{AcceptedRequest, AnswerEnd, Journal, ReadResult, ReaderGuard};
use spindle_caller::Refusal;
use spindle_daemon::{CompletedAnswer, PeerConnection, ReadReply, ReadRequest, ReplicaClient};
use spindle_engine::Finish;
use spindle_policy::replica::{holder_rank, incarnation_tag, owner_tag};
use spindle_types::{RefusalReason, RequestId, Team, Unsent};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Tokens that a slow caller may lag behind the reader.
const PROGRESS_BUFFER: usize = 64;

/// The most daemons that are asked for an answer.
const ASKED_MAX: usize = 32;

/// How long another daemon may wait for tokens before it answers.
const READ_WAIT: Duration = Duration::from_millis(500);

/// The time within which another daemon must answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The pause before the daemons are asked again.
const FIND_DELAY: Duration = Duration::from_millis(200);

/// The leases within which an answer whose daemon died must be found elsewhere.
const LEASES_MAX: u32 = 4;

/// What a reader finds.
#[derive(Debug)]
pub enum AnswerEvent {
    /// The next token.
    Text {
        /// Its offset.
        offset: u32,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// Why it ended.
        finish: Finish,
        /// Its length in tokens.
        length: u32,
        /// Tokens computed again by resumed attempts.
        recomputed: u32,
    },
    /// The answer was given up; nothing follows.
    Refused(Refusal),
}

#[derive(Debug)]
enum Source {
    Local { _attached: ReaderGuard },
    Peer(PeerConnection),
}

/// Follows one answer. While a reader follows it, its generation goes on.
#[derive(Debug)]
pub struct Reader<C> {
    shared: Arc<Shared<C>>,
    id: RequestId,
    team: Team,
    source: Source,
    next: u32,
    tokens: VecDeque<String>,
}

/// Reads on in a task of its own until the end, or until the receiver is dropped.
pub fn channel<C: Context>(mut reader: Reader<C>) -> mpsc::Receiver<AnswerEvent> {
    let (sender, receiver) = mpsc::channel(PROGRESS_BUFFER);
    tokio::spawn(async move {
        loop {
            let progress = tokio::select! {
                progress = reader.next() => progress,
                () = sender.closed() => return,
            };
            let last = !matches!(progress, AnswerEvent::Text { .. });
            if sender.send(progress).await.is_err() || last {
                return;
            }
        }
    });
    receiver
}

/// Finds a request of a team, at this daemon first, then where its id points, then elsewhere.
///
/// # Errors
///
/// No daemon that answered holds such a request of that team.
pub async fn find<C: Context>(
    shared: &Arc<Shared<C>>,
    id: RequestId,
    team: &Team,
    from: u32,
) -> Result<(Arc<AcceptedRequest>, Reader<C>), Refusal> {
    let reader = |source| Reader {
        shared: Arc::clone(shared),
        id,
        team: team.clone(),
        source,
        next: from,
        tokens: VecDeque::new(),
    };
    if let Some((accepted, attached)) = shared.journal.attach(id, team.clone()).await {
        return Ok((accepted, reader(Source::Local { _attached: attached })));
    }
    for peer in candidates(shared, id) {
        let Ok(client) = shared.dialer.connect(peer, CALL_TIMEOUT) else {
            continue;
        };
        let Ok(Some(held)) = client.describe(id, team.clone()).await else {
            continue;
        };
        let Ok(completion) = serde_json::from_str(held.request.get()) else {
            continue;
        };
        let accepted = AcceptedRequest { team: held.team, pool: held.pool, completion };
        return Ok((Arc::new(accepted), reader(Source::Peer(client))));
    }
    Err(Refusal::NotFound)
}

/// The other daemons, the one that made the id first, then as they are chosen to hold replicas.
fn candidates<C: Context>(shared: &Shared<C>, id: RequestId) -> Vec<std::net::SocketAddr> {
    let owner = owner_tag(id);
    let members = shared.members.borrow();
    let here = &shared.settings.identity.instance;
    let mut others: Vec<_> = members.iter().filter(|member| member.instance != *here).collect();
    others.sort_by_key(|member| {
        let made = member.incarnation.map(incarnation_tag) == Some(owner);
        (!made, std::cmp::Reverse(holder_rank(owner, &member.instance)))
    });
    others.into_iter().take(ASKED_MAX).map(|member| member.peer).collect()
}

impl<C: Context> Reader<C> {
    /// A reader of a request that this daemon has just accepted.
    pub const fn for_accepted(
        shared: Arc<Shared<C>>,
        id: RequestId,
        team: Team,
        attached: ReaderGuard,
    ) -> Self {
        let source = Source::Local { _attached: attached };
        Self { shared, id, team, source, next: 0, tokens: VecDeque::new() }
    }

    /// The offset of the next token.
    pub const fn offset(&self) -> u32 {
        self.next
    }

    /// The next step; after the end there is none.
    pub async fn next(&mut self) -> AnswerEvent {
        loop {
            if let Some(text) = self.tokens.pop_front() {
                let offset = self.next;
                self.next += 1;
                return AnswerEvent::Text { offset, text };
            }
            match self.read().await {
                Some(ReadResult::Tokens(tokens)) => self.tokens = tokens.into(),
                Some(ReadResult::Ended(end)) => return progress(end),
                Some(ReadResult::NotFound) | None => {
                    if let Err(refusal) = self.find_again().await {
                        return AnswerEvent::Refused(refusal);
                    }
                }
            }
        }
    }

    /// Reads on; none if the other daemon did not answer.
    async fn read(&self) -> Option<ReadResult> {
        let (id, team, from) = (self.id, self.team.clone(), self.next);
        let client = match &self.source {
            Source::Local { .. } => return Some(self.shared.journal.read(id, team, from).await),
            Source::Peer(client) => client,
        };
        let wait_ms = u64::try_from(READ_WAIT.as_millis()).unwrap_or(u64::MAX);
        let reply = client.read(ReadRequest { id, team, from, wait_ms }).await.ok()?;
        Some(match reply {
            ReadReply::NotFound => ReadResult::NotFound,
            ReadReply::Tokens { tokens } => ReadResult::Tokens(tokens),
            ReadReply::Ended { ending } => ReadResult::Ended(AnswerEnd::Complete(ending)),
            ReadReply::Lost => ReadResult::Ended(AnswerEnd::Unknown(unknown())),
        })
    }

    /// Looks for the request elsewhere, for as long as a replica may need to take over.
    async fn find_again(&mut self) -> Result<(), Refusal> {
        let span = self.shared.settings.replica.lease.get() * LEASES_MAX;
        let deadline = Instant::now() + span;
        while Instant::now() < deadline {
            if let Ok((_, found)) = find(&self.shared, self.id, &self.team, self.next).await {
                self.source = found.source;
                return Ok(());
            }
            tokio::time::sleep(FIND_DELAY).await;
        }
        Err(Refusal::Unknown(unknown()))
    }
}

fn unknown() -> spindle_types::Unknown {
    Unsent::new(()).into_unknown(RefusalReason::ReplicaUnavailable, None)
}

fn progress(end: AnswerEnd) -> AnswerEvent {
    match end {
        AnswerEnd::Complete(CompletedAnswer { finish, length, recomputed }) => {
            let finish = finish.parse().unwrap_or(Finish::Stop);
            AnswerEvent::Finished { finish, length, recomputed }
        }
        AnswerEnd::NotRun(not_run) => AnswerEvent::Refused(Refusal::NotRun(not_run)),
        AnswerEnd::Unknown(unknown) => AnswerEvent::Refused(Refusal::Unknown(unknown)),
    }
}

/// Reads a part of an answer for another daemon.
pub async fn read_for_peer(journal: &Journal, request: ReadRequest) -> ReadReply {
    let ReadRequest { id, team, from, wait_ms } = request;
    let wait = Duration::from_millis(wait_ms).min(READ_WAIT);
    // While another daemon reads, the generation goes on.
    let Some((_, _attached)) = journal.attach(id, team.clone()).await else {
        return ReadReply::NotFound;
    };
    match tokio::time::timeout(wait, journal.read(id, team, from)).await {
        Err(_) => ReadReply::Tokens { tokens: Vec::new() },
        Ok(ReadResult::NotFound) => ReadReply::NotFound,
        Ok(ReadResult::Tokens(tokens)) => ReadReply::Tokens { tokens },
        Ok(ReadResult::Ended(AnswerEnd::Complete(ending))) => ReadReply::Ended { ending },
        Ok(ReadResult::Ended(AnswerEnd::NotRun(_) | AnswerEnd::Unknown(_))) => ReadReply::Lost,
    }
}
