//! Claims in the log for calls that must run at most once.
//!
//! One append carries every claim that waits. A claim is answered once every record below its own
//! offset has been read.

use crate::context::Context;
use crate::follower::stream_name;
use serde_json::value::{RawValue, to_raw_value};
use spindle_log::{AppendError, Log, ReadError};
use spindle_policy::claim::{Claim, ClaimTable, Winner};
use spindle_types::{Clock, IdempotencyKey, Incarnation, MonotonicInstant, StreamName, Team};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The stream that holds the claims.
pub const CLAIM_STREAM: &str = "claims";

/// Claims that may wait for the task.
const MAILBOX: usize = 1_024;

/// The most claims that one append carries.
const GROUP_MAX: usize = 256;

/// The time within which a claim must be settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a read waits for the first record.
const READ_WAIT: Duration = Duration::from_millis(200);

/// The pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What became of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claimed {
    /// This request may send the call, now and once.
    Won,
    /// Another request has the right; the call may have run.
    Lost(Winner),
    /// The log could not settle the claim in time; this request must not send the call.
    Unsettled,
}

struct Request {
    claim: Claim,
    reply: oneshot::Sender<Claimed>,
}

/// Talks to the task that owns the claims.
#[derive(Clone, Debug)]
pub struct Claims {
    mailbox: mpsc::Sender<Request>,
    incarnation: Incarnation,
}

impl Claims {
    /// Claims a call; `nonce` must be new for each request.
    pub async fn claim(&self, team: Team, key: IdempotencyKey, nonce: u64) -> Claimed {
        let (reply, answer) = oneshot::channel();
        let claim = Claim { team, key, incarnation: self.incarnation, nonce };
        if self.mailbox.send(Request { claim, reply }).await.is_err() {
            return Claimed::Unsettled;
        }
        answer.await.unwrap_or(Claimed::Unsettled)
    }
}

/// Starts the task; it ends when nobody talks to it any more.
pub fn start<C: Context>(context: C, incarnation: Incarnation) -> Claims {
    let (mailbox, requests) = mpsc::channel(MAILBOX);
    let stream = stream_name(CLAIM_STREAM);
    tokio::spawn(Task { context, stream, table: ClaimTable::new() }.run(requests));
    Claims { mailbox, incarnation }
}

struct Task<C> {
    context: C,
    stream: StreamName,
    table: ClaimTable,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut requests: mpsc::Receiver<Request>) {
        let mut group = Vec::new();
        while requests.recv_many(&mut group, GROUP_MAX).await > 0 {
            self.settle(std::mem::take(&mut group)).await;
        }
    }

    async fn settle(&mut self, group: Vec<Request>) {
        let deadline = self.context.clock().now() + SETTLE_TIMEOUT;
        let records =
            group.iter().filter_map(|request| to_raw_value(&request.claim).ok()).collect();
        if !self.append(records).await {
            for request in group {
                // A requester that has gone needs no answer.
                let _ = request.reply.send(Claimed::Unsettled);
            }
            return;
        }
        self.read_until_settled(&group, deadline).await;
        for Request { claim, reply } in group {
            let _ = reply.send(self.outcome(&claim));
        }
    }

    async fn append(&self, records: Vec<Box<RawValue>>) -> bool {
        match self.context.log().append(&self.stream, records).await {
            Ok(_) => true,
            Err(AppendError::Unknown(text)) => {
                log::warn!("event=claim_append_unknown error={text:?}");
                true
            }
            Err(AppendError::NotAppended(text)) => {
                log::warn!("event=claim_append_failed error={text:?}");
                false
            }
        }
    }

    async fn read_until_settled(&mut self, group: &[Request], deadline: MonotonicInstant) {
        let settled = |table: &ClaimTable| {
            group
                .iter()
                .all(|Request { claim, .. }| table.winner(&claim.team, &claim.key).is_some())
        };
        while !settled(&self.table) && self.context.clock().now() < deadline {
            if let Err(error) = self.read().await {
                log::warn!("event=claim_read_failed error={error:?}");
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }

    async fn read(&mut self) -> Result<(), ReadError> {
        let batch = self.context.log().read(&self.stream, self.table.next(), READ_WAIT).await?;
        for record in batch.records {
            match serde_json::from_str(record.body.get()) {
                Ok(claim) => {
                    self.table.on_claim(record.offset, claim);
                }
                Err(error) => {
                    log::warn!("event=claim_invalid offset={} error={error:?}", record.offset);
                }
            }
        }
        Ok(())
    }

    fn outcome(&self, claim: &Claim) -> Claimed {
        match self.table.winner(&claim.team, &claim.key) {
            None => Claimed::Unsettled,
            Some(winner)
                if winner.incarnation == claim.incarnation && winner.nonce == claim.nonce =>
            {
                Claimed::Won
            }
            Some(winner) => Claimed::Lost(winner),
        }
    }
}
