//! The HTTP API for callers: authenticates the team, validates and admits each request, and starts
//! a generation or forwards a call to a service.

use crate::addresses::AddressQuery;
use crate::answer_reader::AnswerEvent;
use crate::context::Context;
use crate::daemon::Shared;
use crate::journal::AcceptedRequest;
use crate::service_call::{Call, forward};
use crate::service_levels::ObservedRequest;
use crate::{addresses, answer_reader, generation, reply, service_levels};
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use spindle_caller::{
    ChatRequest, Completion, CompletionRequest, Refusal, bearer_key, caller_timeout,
    idempotency_key, problem_response,
};
use spindle_http::{Body, Handler, json, read_body};
use spindle_policy::admission::{AdmissionRefusal, AdmissionRequest};
use spindle_policy::freshness::Freshness;
use spindle_policy::replica::{incarnation_tag, request_id};
use spindle_policy::service_time::GenerationWork;
use spindle_types::config::{KeyHash, Priority};
use spindle_types::{
    Clock, MonotonicInstant, Pool, Problems, RefusalReason, RequestId, Service, Team, Unknown,
    Unsent,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Path prefix under which the answer to an accepted request is read; the request id follows.
const REQUEST_PREFIX: &str = "/v1/requests/";

/// Header in which a reconnecting caller names the last server-sent event it received.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Path prefix of calls to plain services; the service name follows.
const SERVICE_PREFIX: &str = "/v1/services/";

/// Retry delay sent with a refusal when no new work is accepted.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Cost that admission charges for a call to a plain service, in seconds of one upstream.
const CALL_COST: f64 = 0.01;

/// Retry delay sent to a team that is over its budget.
const BUDGET_RETRY_AFTER: Duration = Duration::from_secs(300);

/// HTTP handler for the callers of one daemon.
#[derive(Debug)]
pub struct CallerApi<C>(pub Arc<Shared<C>>);

impl<C> Clone for CallerApi<C> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<C: Context> Handler for CallerApi<C> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match self.answer(request).await {
            Ok(response) => response,
            Err(refusal) => problem_response(&refusal),
        }
    }
}

impl<C: Context> CallerApi<C> {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let path = request.uri().path().to_owned();
        if path == "/healthz" {
            return Ok(json(StatusCode::OK, &"ok"));
        }
        let team = self.authenticate(&request)?;
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/addresses") => {
                let query = request.uri().query().unwrap_or_default();
                let address_query = AddressQuery::try_from(query).map_err(Refusal::Invalid)?;
                Ok(json(StatusCode::OK, &addresses::address_reply(&self.0, &address_query)))
            }
            (&Method::POST, "/v1/chat/completions") => {
                self.generate::<ChatRequest>(request, &team).await
            }
            (&Method::POST, "/v1/completions") => {
                self.generate::<CompletionRequest>(request, &team).await
            }
            (&Method::GET, path) if path.starts_with(REQUEST_PREFIX) => {
                self.read_answer(&request, &path[REQUEST_PREFIX.len()..], &team).await
            }
            (_, path) if path.starts_with(SERVICE_PREFIX) => {
                self.forward_call(request, &team).await
            }
            _ => Err(Refusal::NotFound),
        }
    }

    fn authenticate(&self, request: &Request<Incoming>) -> Result<Team, Refusal> {
        let key = bearer_key(request.headers()).ok_or(Refusal::Unauthorized)?;
        let config = self.0.config.borrow();
        let (team, _) = config.team_by_key(&KeyHash::of(key)).ok_or(Refusal::Unauthorized)?;
        Ok(team.clone())
    }

    /// Why this daemon refuses new work; `None` if it accepts it.
    fn refusal_reason(&self) -> Option<RefusalReason> {
        if self.0.drain.started() {
            return Some(RefusalReason::Leaving);
        }
        let cut_off = self.0.freshness() == Freshness::CutOff;
        cut_off.then_some(RefusalReason::Stale)
    }

    async fn receive_body(&self, body: Incoming) -> Result<bytes::Bytes, Refusal> {
        let caller = &self.0.settings.caller;
        let read = read_body(body, caller.body_max.bytes(), caller.body_timeout.get()).await;
        read.map_err(|error| invalid("body", &error, "a whole body within its limits"))
    }

    async fn generate<R>(
        &self,
        request: Request<Incoming>,
        team: &Team,
    ) -> Result<Response<Body>, Refusal>
    where
        R: DeserializeOwned,
        Completion: TryFrom<R, Error = Problems>,
    {
        let (head, body) = request.into_parts();
        let body = self.receive_body(body).await?;
        let raw: R = serde_json::from_slice(&body)
            .map_err(|error| invalid("body", &error, "a JSON request"))?;
        let completion = Completion::try_from(raw).map_err(Refusal::Invalid)?;
        let pool = self.pool_for(&completion)?;
        if let Some(reason) = self.refusal_reason() {
            let not_run = Unsent::new(completion).refuse(reason, Some(RETRY_AFTER));
            return Err(Refusal::NotRun(not_run));
        }
        if self.0.operator_views.over_budget.borrow().contains(team) {
            let reason = RefusalReason::QuotaExceeded;
            let not_run = Unsent::new(completion).refuse(reason, Some(BUDGET_RETRY_AFTER));
            return Err(Refusal::NotRun(not_run));
        }
        let arrived = self.0.context.clock().now();
        let patience = caller_timeout(&head.headers).map_err(Refusal::Invalid)?;
        let admission_request = AdmissionRequest {
            caller_timeout: patience,
            ..self.admission_request(team, &pool, &completion, body.len())
        };
        let permit = match self.0.admission.admit(admission_request).await {
            Ok(permit) => permit,
            Err(refused) => return Err(not_admitted(completion, refused)),
        };
        let id = request_id(incarnation_tag(self.0.incarnation), self.0.context.random());
        let preferred =
            addresses::preferred_daemon(&self.0, completion.model.as_str(), &head.headers);
        let head = reply::ReplyHead::new(id, &completion);
        let stream = completion.stream;
        let observed_request = self.observed_request(arrived, team, &completion, &pool);
        let accepted = AcceptedRequest { team: team.clone(), pool, completion };
        let reader = generation::start(&self.0, id, accepted, permit).await?;
        let events =
            service_levels::observe(&self.0, observed_request, answer_reader::channel(reader));
        let response = Self::respond(head, events, stream).await?;
        Ok(addresses::with_preferred_daemon(response, preferred))
    }

    async fn respond(
        head: reply::ReplyHead,
        mut events: mpsc::Receiver<AnswerEvent>,
        stream: bool,
    ) -> Result<Response<Body>, Refusal> {
        match events.recv().await {
            Some(AnswerEvent::Refused(refusal)) => Err(refusal),
            Some(first) if stream => Ok(reply::streaming_response(head, first, events)),
            Some(first) => reply::complete_response(head, first, events).await,
            None => Err(Refusal::Unknown(Unknown::without_reason())),
        }
    }

    /// Returns the answer to an accepted request: as server-sent events after the one named by
    /// `last-event-id`, or complete in one response.
    async fn read_answer(
        &self,
        request: &Request<Incoming>,
        id: &str,
        team: &Team,
    ) -> Result<Response<Body>, Refusal> {
        let id: RequestId = id.parse().map_err(|_| Refusal::NotFound)?;
        let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
        let stream = header(header::ACCEPT.as_str())
            .is_some_and(|accepted| accepted.contains("text/event-stream"));
        let from = match header(LAST_EVENT_HEADER) {
            Some(last) if stream => {
                let last: u32 = last
                    .parse()
                    .map_err(|error| invalid(LAST_EVENT_HEADER, &error, "the id of an event"))?;
                last.saturating_add(1)
            }
            _ => 0,
        };
        let (accepted, reader) = answer_reader::find(&self.0, id, team, from).await?;
        let head = reply::ReplyHead::new(id, &accepted.completion);
        Self::respond(head, answer_reader::channel(reader), stream).await
    }

    fn admission_request(
        &self,
        team: &Team,
        pool: &Pool,
        completion: &Completion,
        bytes: usize,
    ) -> AdmissionRequest {
        let speed = self.0.settings.routing.initial_engine_speed();
        let tokens = completion.prompt.split_whitespace().count();
        let prefill = speed.prefill(u32::try_from(tokens).unwrap_or(u32::MAX));
        let decode = speed.step_slope.as_secs_f64() * f64::from(completion.max_tokens);
        AdmissionRequest {
            team: team.clone(),
            pool: pool.clone(),
            priority: completion.priority,
            cost: prefill + decode,
            bytes,
            work: Some(GenerationWork {
                prefill: Duration::from_secs_f64(prefill),
                tokens: completion.max_tokens,
            }),
            caller_timeout: None,
        }
    }

    fn observed_request(
        &self,
        arrived: MonotonicInstant,
        team: &Team,
        completion: &Completion,
        pool: &Pool,
    ) -> ObservedRequest {
        let config = self.0.config.borrow();
        let target = config.pools.get(pool).map(|spec| spec.target).unwrap_or_default();
        ObservedRequest { arrived, team: team.clone(), model: completion.model.clone(), target }
    }

    fn pool_for(&self, completion: &Completion) -> Result<Pool, Refusal> {
        let config = self.0.config.borrow();
        let pool = config.pools_serving(&completion.model).next().map(|(pool, _)| pool.clone());
        pool.ok_or_else(|| {
            let known: Vec<_> = config
                .pools
                .values()
                .filter_map(|spec| Some(spec.model.as_ref()?.as_str()))
                .collect();
            invalid("model", &format!("{} is not served", completion.model), &known.join(", "))
        })
    }

    async fn forward_call(
        &self,
        request: Request<Incoming>,
        team: &Team,
    ) -> Result<Response<Body>, Refusal> {
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().map_or("", |path| path.as_str());
        let rest = target.strip_prefix(SERVICE_PREFIX).ok_or(Refusal::NotFound)?;
        let (name, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
        let service = Service::try_from(name).map_err(|_| Refusal::NotFound)?;
        let spec = self.0.config.borrow().services.get(&service).cloned();
        let spec = spec.ok_or(Refusal::NotFound)?;
        let key = idempotency_key(&head.headers).map_err(Refusal::Invalid)?;
        let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
        let body = self.receive_body(body).await?;
        let call = Call { method: head.method, path, headers: head.headers, body };
        // An earlier attempt under the same idempotency key may have run. The claim on the key
        // decides that, even while this daemon refuses new work.
        if key.is_none()
            && let Some(reason) = self.refusal_reason()
        {
            let not_run = Unsent::new(call).refuse(reason, Some(RETRY_AFTER));
            return Err(Refusal::NotRun(not_run));
        }
        let admission_request = AdmissionRequest {
            team: team.clone(),
            pool: spec.pool.clone(),
            priority: Priority::Interactive,
            cost: CALL_COST,
            bytes: call.body.len(),
            work: None,
            caller_timeout: None,
        };
        let preferred = addresses::preferred_daemon(&self.0, service.as_str(), &call.headers);
        let permit = match self.0.admission.admit(admission_request).await {
            Ok(permit) => permit,
            // An earlier attempt under the same idempotency key may have run.
            Err(refused) if key.is_some() => return Err(refused_as_unknown(call, refused)),
            Err(refused) => return Err(not_admitted(call, refused)),
        };
        let response = forward(Arc::clone(&self.0), permit, team, key, &spec, call).await;
        Ok(addresses::with_preferred_daemon(response, preferred))
    }
}

/// Refusal of a request that admission turned away; nothing of it has run.
fn not_admitted<R>(request: R, refused: AdmissionRefusal) -> Refusal {
    Refusal::NotRun(Unsent::new(request).refuse(refused.reason, refused.retry_after))
}

/// Refusal of a request that admission turned away, although an earlier attempt under the same
/// idempotency key may have run.
fn refused_as_unknown<R>(request: R, refused: AdmissionRefusal) -> Refusal {
    Refusal::Unknown(Unsent::new(request).into_unknown(refused.reason, refused.retry_after))
}

fn invalid(path: &str, found: &impl std::fmt::Display, allowed: &str) -> Refusal {
    let mut problems = Problems::new();
    problems.add(path, found, allowed);
    Refusal::Invalid(problems)
}
