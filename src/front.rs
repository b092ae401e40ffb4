//! Answers callers: finds the team, checks the request, and hands it to its unit.

use crate::addresses;
use crate::call::{Call, forward};
use crate::context::Context;
use crate::daemon::Shared;
use crate::generation::{self, Progress};
use crate::levels::{self, Subject};
use crate::reply;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use spindle_caller::{
    ChatRequest, Completion, CompletionRequest, Refusal, bearer_key, idempotency_key,
    problem_response,
};
use spindle_http::{Body, Handler, json, read_body};
use spindle_policy::freshness::Freshness;
use spindle_types::config::KeyHash;
use spindle_types::{Pool, Problems, RefusalReason, RequestId, Service, Team, Unsent};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The path prefix of plain services.
const SERVICE_PREFIX: &str = "/v1/services/";

/// The delay after which a refused caller may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers callers of one daemon.
#[derive(Debug)]
pub struct Front<C>(pub Arc<Shared<C>>);

impl<C> Clone for Front<C> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<C: Context> Handler for Front<C> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match self.answer(request).await {
            Ok(response) => response,
            Err(refusal) => problem_response(&refusal),
        }
    }
}

impl<C: Context> Front<C> {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let path = request.uri().path().to_owned();
        if path == "/healthz" {
            return Ok(json(StatusCode::OK, &"ok"));
        }
        let team = self.team(&request)?;
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/addresses") => {
                Ok(json(StatusCode::OK, &addresses::answer(&self.0)))
            }
            (&Method::POST, "/v1/chat/completions") => {
                self.generate::<ChatRequest>(request, team).await
            }
            (&Method::POST, "/v1/completions") => {
                self.generate::<CompletionRequest>(request, team).await
            }
            (_, path) if path.starts_with(SERVICE_PREFIX) => self.call(request, &team).await,
            _ => Err(Refusal::NotFound),
        }
    }

    fn team(&self, request: &Request<Incoming>) -> Result<Team, Refusal> {
        let key = bearer_key(request.headers()).ok_or(Refusal::Unauthorized)?;
        let config = self.0.config.borrow();
        let (team, _) = config.team_by_key(&KeyHash::of(key)).ok_or(Refusal::Unauthorized)?;
        Ok(team.clone())
    }

    /// Why no new work is taken, if that is so.
    fn refusing(&self) -> Option<RefusalReason> {
        if self.0.drain.started() {
            return Some(RefusalReason::Leaving);
        }
        let cut_off = self.0.freshness() == Freshness::CutOff;
        cut_off.then_some(RefusalReason::Stale)
    }

    async fn read(&self, body: Incoming) -> Result<bytes::Bytes, Refusal> {
        let caller = &self.0.settings.caller;
        let read = read_body(body, caller.body_max.bytes(), caller.body_timeout.get()).await;
        read.map_err(|error| invalid("body", &error, "a whole body within its limits"))
    }

    async fn generate<R>(
        &self,
        request: Request<Incoming>,
        team: Team,
    ) -> Result<Response<Body>, Refusal>
    where
        R: DeserializeOwned,
        Completion: TryFrom<R, Error = Problems>,
    {
        let body = self.read(request.into_body()).await?;
        let raw: R = serde_json::from_slice(&body)
            .map_err(|error| invalid("body", &error, "a JSON request"))?;
        let completion = Completion::try_from(raw).map_err(Refusal::Invalid)?;
        let pool = self.pool(&completion)?;
        if let Some(reason) = self.refusing() {
            let not_run = Unsent::new(completion).refuse(reason, Some(RETRY_AFTER));
            return Err(Refusal::NotRun(not_run));
        }
        let id = RequestId(self.0.context.random());
        let head = reply::Head::new(id, &completion);
        let stream = completion.stream;
        let subject = self.subject(team, &completion, &pool);
        let progress = generation::start(Arc::clone(&self.0), id, completion, pool);
        let mut progress = levels::observe(&self.0, subject, progress);
        match progress.recv().await {
            Some(Progress::Refused(refusal)) => Err(refusal),
            Some(first) if stream => Ok(reply::streamed(head, first, progress)),
            Some(first) => reply::whole(head, first, progress).await,
            None => Err(Refusal::NotFound),
        }
    }

    fn subject(&self, team: Team, completion: &Completion, pool: &Pool) -> Subject {
        let config = self.0.config.borrow();
        let target = config.pools.get(pool).map(|spec| spec.target).unwrap_or_default();
        Subject { team, model: completion.model.clone(), target }
    }

    fn pool(&self, completion: &Completion) -> Result<Pool, Refusal> {
        let config = self.0.config.borrow();
        let pool = config.pools_of(&completion.model).next().map(|(pool, _)| pool.clone());
        pool.ok_or_else(|| {
            let known: Vec<_> = config
                .pools
                .values()
                .filter_map(|spec| Some(spec.model.as_ref()?.as_str()))
                .collect();
            invalid("model", &format!("{} is not served", completion.model), &known.join(", "))
        })
    }

    async fn call(
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
        let body = self.read(body).await?;
        let call = Call { method: head.method, path, headers: head.headers, body };
        // Under a key, an earlier attempt may have run: its claim decides, also while leaving.
        if key.is_none()
            && let Some(reason) = self.refusing()
        {
            let not_run = Unsent::new(call).refuse(reason, Some(RETRY_AFTER));
            return Err(Refusal::NotRun(not_run));
        }
        Ok(forward(Arc::clone(&self.0), team, key, &spec, call).await)
    }
}

fn invalid(path: &str, found: &impl std::fmt::Display, allowed: &str) -> Refusal {
    let mut problems = Problems::new();
    problems.add(path, found, allowed);
    Refusal::Invalid(problems)
}
