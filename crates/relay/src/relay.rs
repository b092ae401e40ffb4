//! One request: checks, the choice of an upstream, the send, and what follows from the answer.

use bytes::Bytes;
use crate::stream;
use crate::accounts::Accounts;
use crate::board::{Board, Ended, Placed};
use crate::dialect::{Dialect, Ran};
use crate::inbound::{Inbound, Refusal, Work};
use crate::measures::MEASURES;
use crate::pool::Leased;
use crate::send::{Job, Sent};
use crate::serving::{Limits, Route, Serving, TeamSpec};
use crate::trail::{Outcome, Trail};
use http::{Response, header, response};
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use rand::RngExt;
use spindle_http::{Body, ReadError, read_body};
use spindle_policy::upstream_registry::UpstreamKey;
use spindle_policy::upstream_selection::Choice;
use spindle_service::headers::remove_hop_by_hop;
use spindle_types::{Clock, MonotonicInstant, Service, Team};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// The largest plain answer, in bytes. The same as the largest body of a request in the users'
/// example configuration.
const ANSWER_MAX_BYTES: usize = 4_194_304;

/// The time without which a request is not sent any more: a round trip between data centres.
pub(crate) const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// How often the target may pass before an answer is expected to begin; later ones are refused, as
/// callers give up after four times the target at the latest.
const LATE_MAX: u32 = 3;

/// Upstreams that could not be connected to before a request is given up.
const UNREACHED_MAX: usize = 4;

/// When a request that found no room is told to come back, at the least. An engine's requests end
/// every few hundred milliseconds.
const RETURN_MIN: Duration = Duration::from_millis(250);

/// How far the returns of refused requests are spread, so that they don't come together.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// The lowest rank of a request at an engine.
const RANK_MAX: u32 = 9;

/// What the relay works with.
#[derive(Debug)]
pub struct RelayParts<D, K> {
    /// The present time.
    pub clock: K,
    /// How upstreams are spoken to.
    pub dialect: D,
    /// The upstreams.
    pub board: Board,
    /// What teams have used.
    pub accounts: Accounts,
    /// The configuration in force.
    pub serving: watch::Receiver<Arc<Serving>>,
    /// Whether the configuration in force can be the newest one.
    pub current: Arc<AtomicBool>,
    /// The daemons that share the upstreams' connections.
    pub daemons: Arc<AtomicU32>,
    /// Whether the daemon is so close to its end that it begins no stream any more.
    pub closed: Arc<AtomicBool>,
}

/// The request path.
#[derive(Debug)]
pub struct Relay<D, K>(pub(crate) Arc<RelayParts<D, K>>);

impl<D, K> Clone for Relay<D, K> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

/// What a request is allowed and promised.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub(crate) serving: Arc<Serving>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Service,
    pub(crate) team: Option<Team>,
    pub(crate) rank: Option<u32>,
    pub(crate) cost: f64,
    pub(crate) end: MonotonicInstant,
}

/// The sends of one request so far.
#[derive(Debug, Default)]
pub(crate) struct Sends {
    pub(crate) tried: Vec<UpstreamKey>,
    unreached: usize,
    /// Sends that reached an upstream.
    pub(crate) arrived: u32,
    /// Sends that count against the route's limit.
    pub(crate) counted: u32,
    /// Whether an upstream may have worked on it.
    pub(crate) may_have_run: bool,
}

/// The head of an answer, and where the rest comes from.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) ran: Ran,
    pub(crate) leased: Leased,
    pub(crate) placed: Placed,
}

impl<D: Dialect, K: Clock> Relay<D, K> {
    /// A relay.
    pub fn new(parts: RelayParts<D, K>) -> Self {
        Self(Arc::new(parts))
    }

    /// Serves a request. Dropping the future cancels whatever an upstream does for it.
    ///
    /// # Errors
    ///
    /// See [`Refusal`].
    pub async fn serve(&self, inbound: Inbound, body: Incoming) -> Result<Response<Body>, Refusal> {
        let mut trail = Trail::new(self.0.clock.clone(), &inbound.id, inbound.began);
        let result = self.serve_noted(inbound, body, &mut trail).await;
        match result {
            Ok(Served::Whole(response)) => {
                trail.outcome = Outcome::Answered;
                Ok(response)
            }
            Ok(Served::Stream(answer, ticket, work, sends)) => {
                Ok(stream::start(self.clone(), trail, *answer, *ticket, *work, *sends))
            }
            Err(refusal) => {
                trail.outcome = Outcome::Refused(refusal);
                Err(refusal)
            }
        }
    }

    async fn serve_noted(
        &self,
        inbound: Inbound,
        body: Incoming,
        trail: &mut Trail<K>,
    ) -> Result<Served, Refusal> {
        let limits = self.0.serving.borrow().limits;
        let body = read_request(&inbound, body, &limits).await?;
        // Taken after the body, which may have come slowly: an older one must not decide any more.
        let serving = self.0.serving.borrow().clone();
        let ticket = self.admit(&inbound, serving, trail)?;
        let work = Work { inbound, body };
        let mut sends = Sends::default();
        let result = self.run(&ticket, &work, &mut sends, trail).await;
        if !sends.may_have_run
            && let (Err(_), Some(team)) = (&result, &ticket.team)
        {
            self.0.accounts.refund(team, ticket.cost);
        }
        match result? {
            Run::Whole(response) => Ok(Served::Whole(response)),
            Run::Stream(answer) => {
                Ok(Served::Stream(answer, Box::new(ticket), Box::new(work), Box::new(sends)))
            }
        }
    }

    /// Checks a request against one configuration and charges its team.
    fn admit(
        &self,
        inbound: &Inbound,
        serving: Arc<Serving>,
        trail: &mut Trail<K>,
    ) -> Result<Ticket, Refusal> {
        trail.config = serving.version;
        if serving.version == 0 {
            return Err(Refusal::NoConfiguration { after: return_after() });
        }
        let path = inbound.target.path();
        let route =
            serving.route(&inbound.host, path).ok_or_else(|| self.deny(Refusal::NoRoute))?;
        let route = Arc::clone(route);
        trail.route.clone_from(&route.name);
        trail.kind = route.repeat.into();
        if route.repeat.streams() && self.0.closed.load(Ordering::Relaxed) {
            return Err(Refusal::Leaving { after: RETURN_MIN });
        }
        let spec = self.team(inbound, &serving, &route)?;
        if let Some(spec) = spec {
            trail.team = spec.team.to_string();
        }
        let service = choose_service(&route);
        trail.service = service.to_string();
        let now = self.0.clock.now();
        let cost = match spec {
            Some(spec) => self.0.accounts.admit(now, spec, inbound.tokens),
            None => Ok(0.0),
        };
        let cost = cost.map_err(|wait| Refusal::OverQuota { after: wait.max(RETURN_MIN) })?;
        let prompt = inbound.tokens.map_or(0, |(prompt, _)| prompt);
        self.0.accounts.on_request(now, &service, prompt);
        let patience = inbound.patience.unwrap_or(route.timeout).min(route.timeout);
        let engine = serving.services.get(&service).is_some_and(|spec| spec.engine.is_some());
        let priority = spec.and_then(|spec| spec.priority).unwrap_or(route.priority);
        Ok(Ticket {
            team: spec.map(|spec| spec.team.clone()),
            rank: engine.then_some(priority.min(RANK_MAX)),
            end: inbound.began + patience,
            serving,
            route,
            service,
            cost,
        })
    }

    fn team<'a>(
        &self,
        inbound: &Inbound,
        serving: &'a Serving,
        route: &Route,
    ) -> Result<Option<&'a TeamSpec>, Refusal> {
        if route.public || serving.teams().is_empty() {
            return Ok(None);
        }
        let spec = inbound.key.as_deref().and_then(|key| serving.team_of(key));
        spec.map(Some).ok_or_else(|| self.deny(Refusal::UnknownKey))
    }

    /// Denies a request for good only if no newer configuration can allow it.
    fn deny(&self, refusal: Refusal) -> Refusal {
        if self.0.current.load(Ordering::Relaxed) {
            return refusal;
        }
        Refusal::NoConfiguration { after: return_after() }
    }

    /// Sends a request until an upstream answers or nothing more may be tried.
    async fn run(
        &self,
        ticket: &Ticket,
        work: &Work,
        sends: &mut Sends,
        trail: &mut Trail<K>,
    ) -> Result<Run, Refusal> {
        loop {
            let answer = self.send(ticket, work, sends, trail, None).await?;
            let now = self.0.clock.now();
            trail.status = answer.head.status.as_u16();
            let failed = answer.head.status.is_server_error();
            if failed && ticket.route.repeat.again() && self.may_repeat(ticket, sends) {
                answer.placed.on_end(now, Ended::Failed);
                self.on_first(ticket, trail);
                trail.cause = format!("status_{}", trail.status);
                continue;
            }
            if ticket.route.repeat.streams() && answer.head.status.is_success() {
                return Ok(Run::Stream(Box::new(answer)));
            }
            match self.read_whole(ticket, answer, trail).await {
                Some(response) => return Ok(Run::Whole(response)),
                None if ticket.route.repeat.again() && self.may_repeat(ticket, sends) => {}
                None => return Err(Refusal::Lost),
            }
        }
    }

    /// Whether the request may go to one more upstream after one that it has reached.
    pub(crate) fn may_repeat(&self, ticket: &Ticket, sends: &Sends) -> bool {
        let now = self.0.clock.now();
        sends.counted < ticket.route.attempts
            && ticket.end.since(now) > TIME_LEFT_MIN
            && self.0.accounts.take_retry(now, &ticket.service)
    }

    /// Sends a request until the head of an answer comes; `after` is the event after which a
    /// stream goes on.
    pub(crate) async fn send(
        &self,
        ticket: &Ticket,
        work: &Work,
        sends: &mut Sends,
        trail: &mut Trail<K>,
        after: Option<&str>,
    ) -> Result<Answer, Refusal> {
        loop {
            let placed = self.place(ticket, work, sends)?;
            sends.tried.push(placed.key);
            trail.upstream = placed.life.instance.to_string();
            let sent = self.send_to(placed, Job { ticket, work, after }, sends).await;
            let ended = KeyValue::new("ended", <&'static str>::from(&sent));
            MEASURES.sends.add(1, &[KeyValue::new("service", trail.service.clone()), ended]);
            match sent {
                Sent::Answer(answer) => {
                    sends.may_have_run = true;
                    trail.sends = sends.arrived;
                    return Ok(*answer);
                }
                Sent::Unreached => {
                    trail.cause = "upstream_unreached".to_owned();
                    sends.unreached += 1;
                }
                Sent::Refused => {
                    trail.cause = "upstream_full".to_owned();
                    if !self.may_repeat(ticket, sends) {
                        return Err(given_up(sends, Refusal::Overloaded { after: return_after() }));
                    }
                }
                Sent::Elsewhere => {
                    trail.cause = "upstream_replaced".to_owned();
                    if !self.may_repeat(ticket, sends) {
                        return Err(given_up(sends, Refusal::NoUpstream { after: return_after() }));
                    }
                }
                Sent::Lost => {
                    sends.may_have_run = true;
                    trail.cause = "answer_lost".to_owned();
                    trail.sends = sends.arrived;
                    if !ticket.route.repeat.again() || !self.may_repeat(ticket, sends) {
                        return Err(Refusal::Lost);
                    }
                }
                Sent::Abandoned => {
                    sends.may_have_run = true;
                    trail.cause = "upstream_silent".to_owned();
                }
                Sent::TimedOut => {
                    sends.may_have_run = true;
                    trail.sends = sends.arrived;
                    return Err(Refusal::TimedOut);
                }
            }
            trail.sends = sends.arrived;
            log::info!(
                "event=sent_again id={} upstream={} cause={} sends={}",
                trail.id,
                trail.upstream,
                trail.cause,
                trail.sends,
            );
        }
    }

    fn place(&self, ticket: &Ticket, work: &Work, sends: &Sends) -> Result<Placed, Refusal> {
        let now = self.0.clock.now();
        if ticket.end.since(now) <= TIME_LEFT_MIN {
            return Err(given_up(sends, Refusal::Expired));
        }
        if sends.unreached >= UNREACHED_MAX {
            return Err(given_up(sends, Refusal::NoUpstream { after: return_after() }));
        }
        let prompt = work.inbound.prompt();
        let patience = (ticket.route.target * LATE_MAX).min(ticket.end.since(now));
        let board = &self.0.board;
        let placed = board.place(now, &ticket.service, prompt.as_ref(), patience, &sends.tried);
        placed.map_err(|choice| {
            let refusal = match choice {
                Choice::Overloaded(after) => Refusal::Overloaded { after: after + return_after() },
                _ => Refusal::NoUpstream { after: return_after() },
            };
            given_up(sends, refusal)
        })
    }

    /// Reads a plain answer to its end; none if it broke off.
    async fn read_whole(
        &self,
        ticket: &Ticket,
        answer: Answer,
        trail: &mut Trail<K>,
    ) -> Option<Response<Body>> {
        let Answer { mut head, body, ran, leased, mut placed } = answer;
        let now = self.0.clock.now();
        placed.on_first(now);
        self.on_first(ticket, trail);
        let left = ticket.end.since(now);
        let read = read_body(body, ANSWER_MAX_BYTES, left).await;
        let now = self.0.clock.now();
        let content = match read {
            Ok(content) => content,
            Err(error) => {
                log::debug!("event=answer_broke_off id={} error={error:?}", trail.id);
                trail.cause = "answer_broke_off".to_owned();
                placed.on_end(now, Ended::Failed);
                return None;
            }
        };
        let failed = head.status.is_server_error();
        placed.on_end(now, if failed { Ended::Failed } else { Ended::Answered });
        if !ran.close {
            leased.keep(now, ran.keep);
        }
        remove_hop_by_hop(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        Some(Response::from_parts(head, Body::Whole(content)))
    }

    /// Counts a request as begun at the first byte of its first answer.
    pub(crate) fn on_first(&self, ticket: &Ticket, trail: &mut Trail<K>) {
        if trail.on_first(self.0.clock.now())
            && let Some(team) = &ticket.team
        {
            self.0.accounts.on_began(self.0.clock.now(), team);
        }
    }
}

/// What came of the sends of a request.
enum Run {
    Whole(Response<Body>),
    Stream(Box<Answer>),
}

/// What the caller gets.
enum Served {
    Whole(Response<Body>),
    Stream(Box<Answer>, Box<Ticket>, Box<Work>, Box<Sends>),
}

/// The refusal to give where a request may have run before.
fn given_up(sends: &Sends, refusal: Refusal) -> Refusal {
    match (sends.may_have_run, refusal) {
        (false, refusal) => refusal,
        (true, Refusal::Expired) => Refusal::TimedOut,
        (true, _) => Refusal::Lost,
    }
}

/// When to come back, spread.
fn return_after() -> Duration {
    RETURN_MIN + RETURN_SPREAD.mul_f64(rand::rng().random::<f64>())
}

fn choose_service(route: &Route) -> Service {
    let all: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut drawn = rand::rng().random_range(0..all.max(1));
    for (service, weight) in &route.services {
        if drawn < *weight {
            return service.clone();
        }
        drawn -= weight;
    }
    // A checked route has at least one service, and the weights add up to what was drawn from.
    route.services[0].0.clone()
}

async fn read_request(
    inbound: &Inbound,
    body: Incoming,
    limits: &Limits,
) -> Result<Bytes, Refusal> {
    let wait = inbound.patience.unwrap_or(limits.idle_time).min(limits.idle_time);
    read_body(body, limits.body, wait).await.map_err(|error| match error {
        ReadError::Size { .. } => Refusal::TooLarge,
        ReadError::Timeout(_) => Refusal::SlowBody,
        _ => Refusal::Invalid,
    })
}
