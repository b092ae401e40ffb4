//! Forwards calls to plain services, as opposed to generations of a model.
//!
//! If an upstream refuses a call before starting it, another upstream is tried. After a lost
//! answer, only a call that may be repeated is tried again. A call with an idempotency key goes
//! through [`crate::idempotency`].

use crate::admission::Permit;
use crate::context::Context;
use crate::crash_causes::Work;
use crate::daemon::Shared;
use crate::idempotency;
use crate::send_state::SendState;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use http_body_util::BodyExt;
use spindle_caller::{Refusal, Repeatability, problem_response, repeatability};
use spindle_http::{Body, BodySender};
use spindle_policy::claim::CallKey;
use spindle_policy::retry::RetryDecision;
use spindle_policy::routing::{AttemptEnd, Demand, Route};
use spindle_service::headers::remove_hop_by_hop;
use spindle_service::{CallOutcome, Service};
use spindle_types::config::{Repeat, ServiceSpec};
use spindle_types::{IdempotencyKey, Pool, RefusalReason, Team};
use std::sync::Arc;

/// Body chunks that are buffered for a slow caller.
const ANSWER_BUFFER: usize = 16;

/// Maximum number of upstreams at which a call is tried.
const ATTEMPTS_MAX: u32 = 4;

/// A caller's request to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path below the service's prefix, with its query.
    pub path: String,
    /// Headers as received; the hop-by-hop ones and the caller's API key are not forwarded.
    pub headers: HeaderMap,
    /// Complete body, kept so that the call can be repeated.
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

/// Forwards a call and returns the caller's response; a refusal becomes a problem response.
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
    let result = match key {
        Some(key) => {
            let key = CallKey { team: team.clone(), key };
            idempotency::forward(shared, permit, key, spec.pool.clone(), repeat, call).await
        }
        None => {
            let work = Work::call(team, &spec.pool, &call);
            forward_unkeyed(&shared, permit, work, &spec.pool, repeat, call).await
        }
    };
    result.unwrap_or_else(|refusal| problem_response(&refusal))
}

/// Whether the retry budget granted a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RetryGrant {
    Granted,
    Refused,
}

async fn wait_for_retry(permit: &Permit, retries: u32) -> RetryGrant {
    match permit.retry(retries).await {
        RetryDecision::Granted { after } => {
            tokio::time::sleep(after).await;
            RetryGrant::Granted
        }
        RetryDecision::Exhausted { .. } => RetryGrant::Refused,
    }
}

/// Forwards a call without claiming an idempotency key, and relays the answer.
///
/// # Errors
///
/// No upstream answered.
pub async fn forward_unkeyed<C: Context>(
    shared: &Shared<C>,
    permit: Arc<Permit>,
    work: Work,
    pool: &Pool,
    repeat: Repeat,
    call: Call,
) -> Result<Response<Body>, Refusal> {
    let AnsweredCall { response, route } =
        send_until_answered(shared, &permit, &work, pool, repeat, call).await?;
    let (head, answer) = response.into_parts();
    let (sender, body) = Body::channel(ANSWER_BUFFER);
    let (upstreams, crashes) = (shared.upstreams.clone(), shared.crashes.clone());
    tokio::spawn(async move {
        let end = relay(answer, sender).await;
        if end == AttemptEnd::Completed {
            permit.success();
        }
        crashes.on_answer_end(&work, &route, end).await;
        upstreams.end(route.key, end).await;
    });
    Ok(Response::from_parts(head, body))
}

/// An upstream's answer whose body has not been read yet. The attempt counts as in flight until its
/// end is reported to the router.
#[derive(Debug)]
pub struct AnsweredCall<A> {
    /// Status, headers and the body still to be read.
    pub response: Response<A>,
    /// The upstream that answered, with the router's key for the attempt.
    pub route: Route,
}

type ServiceAnswer<C> = <<C as Context>::Service as Service>::Answer;

/// Sends a call to upstreams of a pool until one answers.
///
/// # Errors
///
/// No upstream answered; the refusal tells whether the call may have run.
pub async fn send_until_answered<C: Context>(
    shared: &Shared<C>,
    permit: &Permit,
    work: &Work,
    pool: &Pool,
    repeat: Repeat,
    call: Call,
) -> Result<AnsweredCall<ServiceAnswer<C>>, Refusal> {
    let demand = Demand::call(pool.clone());
    let mut state = SendState::new(call);
    let mut excluded = Vec::new();
    for retries in 0..ATTEMPTS_MAX {
        if retries > 0 && wait_for_retry(permit, retries - 1).await == RetryGrant::Refused {
            return Err(state.give_up(RefusalReason::RetryBudget));
        }
        let Some(route) = shared.upstreams.choose(&demand, &excluded).await else {
            break;
        };
        if let Some(verdict) = shared.crashes.verdict(work) {
            shared.upstreams.end(route.key, AttemptEnd::Cancelled).await;
            return Err(state.give_up_until(RefusalReason::CrashesUpstreams, verdict.probe_in));
        }
        excluded.push(route.instance.clone());
        state = match attempt(shared, work, route, state).await {
            Ok(answered) => return Ok(answered),
            Err(state) => state,
        };
        if repeat == Repeat::Never && matches!(state, SendState::Sent(..)) {
            break;
        }
    }
    Err(state.give_up(RefusalReason::NoUpstream))
}

async fn attempt<C: Context>(
    shared: &Shared<C>,
    work: &Work,
    route: Route,
    state: SendState<Call>,
) -> Result<AnsweredCall<ServiceAnswer<C>>, SendState<Call>> {
    let Ok(request) = state.request().request() else {
        shared.upstreams.end(route.key, AttemptEnd::Cancelled).await;
        return Err(state);
    };
    let (call, flight) = state.send();
    let stall = shared.settings.caller.stall_timeout.get();
    let calling = shared.context.service().call(route.address, request);
    let outcome = tokio::time::timeout(stall, calling).await;
    let (end, state, text) = match outcome {
        Ok(CallOutcome::Answered(response)) => return Ok(AnsweredCall { response, route }),
        Ok(CallOutcome::NotSent { proof, text }) => {
            (proof.reachability().into(), flight.refused(proof, call), text)
        }
        Ok(CallOutcome::Lost(text)) => {
            shared.crashes.on_lost(work, &route).await;
            (AttemptEnd::Failed, flight.lost(call), text)
        }
        Err(_) => {
            let text = "no answer before the stall timeout".to_owned();
            (AttemptEnd::Failed, flight.lost(call), text)
        }
    };
    log::info!("event=call_failed instance={} error={text:?}", route.instance);
    shared.upstreams.end(route.key, end).await;
    Err(state)
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
