//! Forwards one call to a plain service.
//!
//! A call that may be repeated is tried at other upstreams until one answers. Any other is sent at
//! most once; with an idempotency key, only after its claim in the log has won.

use crate::admission::Permit;
use crate::claims::Claimed;
use crate::context::Context;
use crate::daemon::Shared;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::BodyExt;
use spindle_caller::{Refusal, Repeatability, problem_response, repeatability};
use spindle_http::{Body, BodySender};
use spindle_policy::retry::Retry;
use spindle_policy::routing::{AttemptEnd, Demand, Route};
use spindle_service::headers::remove_hop_by_hop;
use spindle_service::{CallOutcome, Service};
use spindle_types::config::{Repeat, ServiceSpec};
use spindle_types::{IdempotencyKey, Pool, RefusalReason, Sent, Team, Unsent};
use std::sync::Arc;
use std::time::Duration;

/// Pieces of an answer that a slow caller may lag behind.
const ANSWER_BUFFER: usize = 16;

/// The most upstreams at which a repeatable call is tried.
const ATTEMPTS_MAX: u32 = 4;

/// The delay after which a refused caller may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to forward.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path below the service, with its query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    fn request(&self) -> Result<Request<Body>, http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .body(Body::Whole(self.body.clone()))?;
        *request.headers_mut() = self.headers.clone();
        remove_hop_by_hop(request.headers_mut());
        request.headers_mut().remove(header::AUTHORIZATION);
        request.headers_mut().remove(header::CONTENT_LENGTH);
        Ok(request)
    }
}

/// Forwards a call and returns the caller's response.
pub async fn forward<C: Context>(
    shared: Arc<Shared<C>>,
    permit: Permit,
    team: &Team,
    key: Option<IdempotencyKey>,
    spec: &ServiceSpec,
    call: Call,
) -> Response<Body> {
    let repeat = match repeatability(&call.headers) {
        Repeatability::Never => Repeat::Never,
        Repeatability::Unstated => spec.repeat(call.method.as_str(), &call.path),
    };
    let permit = Arc::new(permit);
    let unsent = Unsent::new(call);
    let result = match repeat {
        Repeat::Allowed => forward_repeatable(&shared, &permit, &spec.pool, unsent).await,
        Repeat::Never => {
            let claim = key.map(|key| (team.clone(), key));
            forward_once(&shared, &permit, claim, &spec.pool, unsent).await
        }
    };
    result.unwrap_or_else(|refusal| problem_response(&refusal))
}

/// Whether a retry was granted after a wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Waited {
    Granted,
    Refused,
}

async fn wait_for_retry(permit: &Permit, retries: u32) -> Waited {
    match permit.retry(retries).await {
        Retry::Granted { after } => {
            tokio::time::sleep(after).await;
            Waited::Granted
        }
        Retry::Exhausted { .. } => Waited::Refused,
    }
}

/// What one attempt led to.
enum Attempt {
    Answered(Response<Body>),
    Refused(Unsent<Call>),
    Lost(Call, Sent),
}

async fn forward_repeatable<C: Context>(
    shared: &Shared<C>,
    permit: &Arc<Permit>,
    pool: &Pool,
    mut unsent: Unsent<Call>,
) -> Result<Response<Body>, Refusal> {
    let demand = Demand::call(pool.clone());
    let mut excluded = Vec::new();
    let mut lost = None;
    let mut reason = RefusalReason::NoUpstream;
    for retries in 0..ATTEMPTS_MAX {
        if retries > 0 && wait_for_retry(permit, retries - 1).await == Waited::Refused {
            reason = RefusalReason::RetryBudget;
            break;
        }
        let Some(route) = shared.upstreams.choose(&demand, &excluded).await else {
            break;
        };
        excluded.push(route.instance.clone());
        unsent = match attempt(shared, permit, &route, unsent).await {
            Attempt::Answered(response) => return Ok(response),
            Attempt::Refused(unsent) => unsent,
            Attempt::Lost(call, sent) => {
                lost = Some(sent);
                Unsent::new(call)
            }
        };
    }
    Err(match lost {
        Some(sent) => Refusal::Unknown(sent.lose()),
        None => Refusal::NotRun(unsent.refuse(reason, Some(RETRY_AFTER))),
    })
}

async fn forward_once<C: Context>(
    shared: &Shared<C>,
    permit: &Arc<Permit>,
    claim: Option<(Team, IdempotencyKey)>,
    pool: &Pool,
    unsent: Unsent<Call>,
) -> Result<Response<Body>, Refusal> {
    if let Some((team, key)) = claim {
        let nonce = u64::try_from(shared.context.random() >> 64).unwrap_or_default();
        match shared.claims.claim(team, key, nonce).await {
            Claimed::Won => {}
            Claimed::Lost(_) => return Err(Refusal::Unknown(unsent.send().1.lose())),
            Claimed::Unsettled => {
                let reason = RefusalReason::ClaimUnavailable;
                return Err(Refusal::NotRun(unsent.refuse(reason, Some(RETRY_AFTER))));
            }
        }
    }
    let Some(route) = shared.upstreams.choose(&Demand::call(pool.clone()), &[]).await else {
        let not_run = unsent.refuse(RefusalReason::NoUpstream, Some(RETRY_AFTER));
        return Err(Refusal::NotRun(not_run));
    };
    match attempt(shared, permit, &route, unsent).await {
        Attempt::Answered(response) => Ok(response),
        Attempt::Refused(unsent) => {
            Err(Refusal::NotRun(unsent.refuse(RefusalReason::NoUpstream, Some(RETRY_AFTER))))
        }
        Attempt::Lost(_, sent) => Err(Refusal::Unknown(sent.lose())),
    }
}

async fn attempt<C: Context>(
    shared: &Shared<C>,
    permit: &Arc<Permit>,
    route: &Route,
    unsent: Unsent<Call>,
) -> Attempt {
    let Ok(request) = unsent.request().request() else {
        return Attempt::Refused(unsent);
    };
    let (call, sent) = unsent.send();
    match shared.context.service().call(route.address, request).await {
        CallOutcome::Answered(response) => {
            let (head, answer) = response.into_parts();
            let (sender, body) = Body::pieces(ANSWER_BUFFER);
            let upstreams = shared.upstreams.clone();
            let (key, permit) = (route.key, Arc::clone(permit));
            tokio::spawn(async move {
                let end = relay(answer, sender).await;
                if end == AttemptEnd::Completed {
                    permit.success();
                }
                upstreams.end(key, end).await;
            });
            Attempt::Answered(Response::from_parts(head, body))
        }
        CallOutcome::NotSent { proof, text } => {
            log::info!("event=call_not_sent instance={} error={text:?}", route.instance);
            shared.upstreams.end(route.key, AttemptEnd::Failed).await;
            Attempt::Refused(sent.restore(proof, call))
        }
        CallOutcome::Lost(text) => {
            log::info!("event=call_lost instance={} error={text:?}", route.instance);
            shared.upstreams.end(route.key, AttemptEnd::Failed).await;
            Attempt::Lost(call, sent)
        }
    }
}

async fn relay<B>(mut answer: B, sender: BodySender) -> AttemptEnd
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    loop {
        let frame = tokio::select! {
            frame = answer.frame() => frame,
            () = sender.closed() => return AttemptEnd::Cancelled,
        };
        match frame {
            None => {
                sender.finish().await;
                return AttemptEnd::Completed;
            }
            Some(Err(_)) => return AttemptEnd::Failed,
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if sender.send(data).await.is_err() {
                    return AttemptEnd::Cancelled;
                }
            }
        }
    }
}
