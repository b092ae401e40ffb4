//! Reads answers from any offset on, from the journal of this daemon or of another one.

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

/// Events that are buffered for a slow caller.
const EVENT_BUFFER: usize = 64;

/// Maximum number of other daemons that are asked for an answer.
const PEERS_MAX: usize = 32;

/// How long a daemon that is read from may wait for new tokens before it replies.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Timeout of a call to another daemon; it includes [`READ_WAIT`].
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause before the daemons are asked again for an answer that none of them held.
const FIND_RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long an answer whose daemon has died is looked for elsewhere, in replica leases.
const FIND_LEASES: u32 = 4;

/// An event of an answer, as a reader sees it.
#[derive(Debug)]
pub enum AnswerEvent {
    /// The next token.
    Text {
        /// Offset of the token in the answer.
        offset: u32,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Finished {
        /// Why the generation ended.
        finish: Finish,
        /// Length of the answer in tokens.
        length: u32,
        /// Number of tokens that resumed attempts computed again.
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

/// Follows one answer. While a reader follows it, its generation continues.
#[derive(Debug)]
pub struct Reader<C> {
    shared: Arc<Shared<C>>,
    id: RequestId,
    team: Team,
    source: Source,
    next: u32,
    tokens: VecDeque<String>,
}

/// Reads in a task of its own until the answer ends or the receiver is dropped.
pub fn channel<C: Context>(mut reader: Reader<C>) -> mpsc::Receiver<AnswerEvent> {
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(async move {
        loop {
            let event = tokio::select! {
                event = reader.next() => event,
                () = sender.closed() => return,
            };
            let last = !matches!(event, AnswerEvent::Text { .. });
            if sender.send(event).await.is_err() || last {
                return;
            }
        }
    });
    receiver
}

/// Finds a request of a team: at this daemon, then at the daemon whose tag the id holds, then at
/// the others.
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

/// The other daemons in the order in which they are asked: the one that accepted the request first,
/// then by their preference as holders of its replica.
fn candidates<C: Context>(shared: &Shared<C>, id: RequestId) -> Vec<std::net::SocketAddr> {
    let owner = owner_tag(id);
    let members = shared.members.borrow();
    let here = &shared.settings.identity.instance;
    let mut others: Vec<_> = members.iter().filter(|member| member.instance != *here).collect();
    others.sort_by_key(|member| {
        let accepted_it = member.incarnation.map(incarnation_tag) == Some(owner);
        (!accepted_it, std::cmp::Reverse(holder_rank(owner, &member.instance)))
    });
    others.into_iter().take(PEERS_MAX).map(|member| member.peer).collect()
}

impl<C: Context> Reader<C> {
    /// Creates a reader of a request that this daemon has just accepted.
    pub const fn for_accepted(
        shared: Arc<Shared<C>>,
        id: RequestId,
        team: Team,
        attached: ReaderGuard,
    ) -> Self {
        let source = Source::Local { _attached: attached };
        Self { shared, id, team, source, next: 0, tokens: VecDeque::new() }
    }

    /// Offset of the next token that the reader returns.
    pub const fn offset(&self) -> u32 {
        self.next
    }

    /// Waits for the next event. `Finished` and `Refused` are final.
    pub async fn next(&mut self) -> AnswerEvent {
        loop {
            if let Some(text) = self.tokens.pop_front() {
                let offset = self.next;
                self.next += 1;
                return AnswerEvent::Text { offset, text };
            }
            match self.read().await {
                Some(ReadResult::Tokens(tokens)) => self.tokens = tokens.into(),
                Some(ReadResult::Ended(end)) => return final_event(end),
                Some(ReadResult::NotFound) | None => {
                    if let Err(refusal) = self.find_again().await {
                        return AnswerEvent::Refused(refusal);
                    }
                }
            }
        }
    }

    /// Reads the tokens that follow; `None` if the other daemon did not answer.
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
            ReadReply::Lost => ReadResult::Ended(AnswerEnd::Unknown(replica_unavailable())),
        })
    }

    /// Looks for the request at all daemons, for as long as a replica may need to take over.
    async fn find_again(&mut self) -> Result<(), Refusal> {
        let span = self.shared.settings.replica.lease.get() * FIND_LEASES;
        let deadline = Instant::now() + span;
        while Instant::now() < deadline {
            if let Ok((_, found)) = find(&self.shared, self.id, &self.team, self.next).await {
                self.source = found.source;
                return Ok(());
            }
            tokio::time::sleep(FIND_RETRY_DELAY).await;
        }
        Err(Refusal::Unknown(replica_unavailable()))
    }
}

fn replica_unavailable() -> spindle_types::Unknown {
    Unsent::new(()).into_unknown(RefusalReason::ReplicaUnavailable, None)
}

fn final_event(end: AnswerEnd) -> AnswerEvent {
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
    // The guard keeps the generation running while another daemon reads.
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
