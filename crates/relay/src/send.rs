//! One send of a request to one upstream.

use crate::board::{Ended, Placed};
use crate::connection::SendError;
use crate::dialect::{Dialect, Heading, Onward};
use crate::inbound::Work;
use crate::pool::{Leased, PoolError};
use crate::relay::{Answer, Relay, Sends, TIME_LEFT_MIN, Ticket};
use crate::serving::{Repeat, Route};
use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use spindle_types::Clock;
use std::pin::pin;
use std::sync::atomic::Ordering;
use std::time::Duration;
use strum::IntoStaticStr;

/// How often the target of a safe request passes before it is also sent elsewhere. Its work takes
/// a fifth of the target.
const SAFE_PATIENCE: u32 = 3;

/// How often the target of a stream passes before it is started elsewhere: reading a long prompt
/// once more costs more than an answer that begins late.
const STREAM_PATIENCE: u32 = 2;

/// The shortest time before a request without an answer is sent elsewhere. Twice the time in which
/// a lost packet is sent again.
const PATIENCE_MIN: Duration = Duration::from_millis(400);

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job<'a> {
    pub(crate) ticket: &'a Ticket,
    pub(crate) work: &'a Work,
    /// The event after which a stream goes on.
    pub(crate) after: Option<&'a str>,
}

/// How one send ended.
#[derive(IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Sent {
    /// The head of an answer came.
    Answer(Box<Answer>),
    /// Nothing was sent.
    Unreached,
    /// The upstream turned it down unrun.
    Refused,
    /// Another upstream has the address.
    Elsewhere,
    /// It may have run, and its answer is lost.
    Lost,
    /// It was silent for too long, and a retry has been taken for it.
    Abandoned,
    /// Its time passed.
    TimedOut,
}

/// How an exchange on one connection ended.
enum Exchange {
    Unsent,
    Head(Box<response::Parts>, Incoming, Leased),
    Lost,
    Abandoned,
    TimedOut,
}

impl<D: Dialect, K: Clock> Relay<D, K> {
    /// Sends a request to one upstream.
    pub(crate) async fn send_to(&self, placed: Placed, job: Job<'_>, sends: &mut Sends) -> Sent {
        let ticket = job.ticket;
        for _ in 0..2 {
            let leased = match self.lease(&placed, ticket).await {
                Ok(leased) => leased,
                Err(PoolError::Full) => return Sent::Unreached,
                Err(PoolError::Unreachable) => {
                    placed.on_end(self.0.clock.now(), Ended::Unreachable);
                    return Sent::Unreached;
                }
            };
            // The process may have stood still since the choice.
            let now = self.0.clock.now();
            if !self.0.board.usable(now, placed.key) || ticket.end.since(now) <= TIME_LEFT_MIN {
                return Sent::Unreached;
            }
            match self.exchange(leased, &placed, job, sends).await {
                // A kept connection that its upstream has closed; a new one tells more.
                Exchange::Unsent => {}
                Exchange::Head(head, body, leased) => {
                    return self.read_head(placed, job, sends, (*head, body), leased);
                }
                Exchange::Lost => {
                    placed.on_end(self.0.clock.now(), Ended::Failed);
                    return Sent::Lost;
                }
                Exchange::Abandoned => {
                    placed.on_end(self.0.clock.now(), Ended::Failed);
                    return Sent::Abandoned;
                }
                Exchange::TimedOut => return Sent::TimedOut,
            }
        }
        placed.on_end(self.0.clock.now(), Ended::Unreachable);
        Sent::Unreached
    }

    async fn lease(&self, placed: &Placed, ticket: &Ticket) -> Result<Leased, PoolError> {
        let spec = ticket.serving.services.get(&ticket.service);
        let all = spec.map_or(u32::MAX, |spec| spec.connections);
        let daemons = self.0.daemons.load(Ordering::Relaxed).max(1);
        let share = (all / daemons).max(1);
        let now = self.0.clock.now();
        self.0.board.pool().lease(now, placed.key, placed.address, share).await
    }

    async fn exchange(
        &self,
        mut leased: Leased,
        placed: &Placed,
        job: Job<'_>,
        sends: &mut Sends,
    ) -> Exchange {
        let ticket = job.ticket;
        let now = self.0.clock.now();
        let left = ticket.end.since(now);
        let request = self.onward(placed, job, left);
        let Some(connection) = leased.connection() else {
            return Exchange::Unsent;
        };
        // Counted before the send: dropping this future does not tell how far it went.
        sends.arrived += 1;
        sends.counted += 1;
        let before = sends.may_have_run;
        sends.may_have_run = true;
        let patience = patience(&ticket.route);
        let answer = {
            let mut sending = pin!(connection.send(request));
            match tokio::time::timeout(patience.min(left), &mut sending).await {
                Ok(answer) => answer,
                Err(_) if patience < left && self.may_go_elsewhere(ticket, sends) => {
                    return Exchange::Abandoned;
                }
                Err(_) => {
                    let left = ticket.end.since(self.0.clock.now());
                    match tokio::time::timeout(left, sending).await {
                        Ok(answer) => answer,
                        Err(_) => return Exchange::TimedOut,
                    }
                }
            }
        };
        match answer {
            Ok(response) => {
                let (head, body) = response.into_parts();
                sends.may_have_run = before;
                Exchange::Head(Box::new(head), body, leased)
            }
            Err(SendError::Unsent) => {
                sends.arrived -= 1;
                sends.counted -= 1;
                sends.may_have_run = before;
                Exchange::Unsent
            }
            Err(SendError::Lost(error)) => {
                log::debug!("event=answer_lost id={} error={error:?}", job.work.inbound.id);
                Exchange::Lost
            }
        }
    }

    /// Whether a silent upstream is to be left for another one; takes the retry for it.
    pub(crate) fn may_go_elsewhere(&self, ticket: &Ticket, sends: &Sends) -> bool {
        let now = self.0.clock.now();
        ticket.route.repeat.again()
            && self.0.board.has_other(now, &ticket.service, &sends.tried)
            && self.may_repeat(ticket, sends)
    }

    fn onward(&self, placed: &Placed, job: Job<'_>, left: Duration) -> Request<Full<Bytes>> {
        let Job { ticket, work, after } = job;
        let onward = Onward {
            life: &placed.life,
            team: ticket.team.as_ref(),
            left,
            after: after.or(work.inbound.after.as_deref()),
            rank: ticket.rank,
        };
        let mut request = Request::new(Full::new(work.body.clone()));
        *request.method_mut() = work.inbound.method.clone();
        *request.uri_mut() = work.inbound.target.clone();
        *request.headers_mut() = self.0.dialect.onward(&work.inbound, &onward);
        request
    }

    fn read_head(
        &self,
        placed: Placed,
        job: Job<'_>,
        sends: &mut Sends,
        (head, body): (response::Parts, Incoming),
        leased: Leased,
    ) -> Sent {
        let now = self.0.clock.now();
        match self.0.dialect.heading(&job.work.inbound, &head) {
            Heading::Ran(ran) => {
                placed.on_load(now, ran.load);
                Sent::Answer(Box::new(Answer { head, body, ran, leased, placed }))
            }
            Heading::Refused { load } => {
                placed.on_load(now, load);
                placed.on_end(now, Ended::Refused);
                Sent::Refused
            }
            Heading::Elsewhere => {
                placed.on_elsewhere(now);
                sends.counted -= 1;
                Sent::Elsewhere
            }
            Heading::Foreign => {
                placed.on_end(now, Ended::Failed);
                Sent::Lost
            }
        }
    }
}

/// How long an upstream may be silent before a request that may run again goes elsewhere.
pub(crate) fn patience(route: &Route) -> Duration {
    match route.repeat {
        Repeat::Safe => (route.target * SAFE_PATIENCE).max(PATIENCE_MIN),
        Repeat::Resumable => (route.target * STREAM_PATIENCE).max(PATIENCE_MIN),
        Repeat::Once | Repeat::StreamOnce => Duration::MAX,
    }
}
