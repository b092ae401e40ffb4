//! Forwards calls that carry an idempotency key.
//!
//! A call is sent only after its claim in the log has won. It then runs to completion even if the
//! caller disconnects, and its answer is recorded for repeats of the key. While the claim can't be
//! settled, the caller gets `unknown` rather than `not_run`, because an earlier attempt under the
//! same key may have run elsewhere. A repeatable call is forwarded even without a won claim.

use crate::admission;
use crate::claims::{self, ClaimedCall, Outcome};
use crate::context::Context;
use crate::crash_causes::Work;
use crate::daemon::Shared;
use crate::send_state::SendState;
use crate::service_call::{AnsweredCall, Call, forward_unkeyed, send_until_answered};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, response};
use http_body_util::BodyExt;
use spindle_caller::Refusal;
use spindle_caller::request::KEY_HEADER;
use spindle_http::{Body, BodySender};
use spindle_policy::claim::{CallKey, RecordedAnswer};
use spindle_policy::routing::AttemptEnd;
use spindle_types::config::Repeat;
use spindle_types::{Pool, Problems, RefusalReason, Unknown};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

/// Body chunks that are buffered for a slow caller.
const ANSWER_BUFFER: usize = 16;

/// Maximum size of the headers recorded with an answer, in bytes; headers beyond it are left out.
const HEADERS_MAX_BYTES: usize = 8 * 1024;

/// Forwards a call under its idempotency key, or replays the answer recorded under it.
///
/// # Errors
///
/// The call was refused, or its outcome is not known.
pub async fn forward<C: Context>(
    shared: Arc<Shared<C>>,
    admitted: Arc<admission::Permit>,
    key: CallKey,
    pool: Pool,
    repeat: Repeat,
    call: Call,
) -> Result<Response<Body>, Refusal> {
    let nonce = u64::try_from(shared.context.random() >> 64).unwrap_or_default();
    let work = Work::call(&key.team, &pool, &call);
    let reason = match shared.claims.claim(key, nonce, digest(&call)).await {
        Outcome::Won(permit) => {
            return run(shared, permit, AdmittedCall { admitted, work, pool, repeat, call }).await;
        }
        Outcome::Answered(answer) => return replay(answer),
        Outcome::Mismatch => return Err(mismatch()),
        Outcome::Lost => RefusalReason::KeyClaimed,
        Outcome::Expired => RefusalReason::KeyExpired,
        Outcome::Unsettled => RefusalReason::ClaimUnavailable,
    };
    match repeat {
        Repeat::Allowed => forward_unkeyed(&shared, admitted, work, &pool, repeat, call).await,
        Repeat::Never => Err(SendState::new(call).give_up_as_unknown(reason)),
    }
}

/// Hash of a request's method, path and body, which detects a key reused for another request.
fn digest(call: &Call) -> u64 {
    let mut hash = Xxh3::new();
    for part in [call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

fn mismatch() -> Refusal {
    let mut problems = Problems::new();
    problems.add(KEY_HEADER, "used for a different request", "a new key for each request");
    Refusal::Invalid(problems)
}

fn replay(answer: RecordedAnswer) -> Result<Response<Body>, Refusal> {
    let mut response = Response::new(Body::Whole(answer.body.into()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in answer.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    Ok(response)
}

/// An admitted call with what is needed to send it.
struct AdmittedCall {
    admitted: Arc<admission::Permit>,
    work: Work,
    pool: Pool,
    repeat: Repeat,
    call: Call,
}

/// Runs a claimed call in a task of its own, so that it continues if the caller disconnects.
async fn run<C: Context>(
    shared: Arc<Shared<C>>,
    permit: claims::SendPermit,
    admitted_call: AdmittedCall,
) -> Result<Response<Body>, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let running = run_to_end(Arc::clone(&shared), permit, admitted_call, sender);
    shared.spawn(running);
    receiver.await.unwrap_or(Err(Refusal::Unknown(Unknown::without_reason())))
}

async fn run_to_end<C: Context>(
    shared: Arc<Shared<C>>,
    permit: claims::SendPermit,
    admitted_call: AdmittedCall,
    sender: oneshot::Sender<Result<Response<Body>, Refusal>>,
) {
    let Some(run) = permit.start() else {
        return;
    };
    let AdmittedCall { admitted, work, pool, repeat, call } = admitted_call;
    let AnsweredCall { response, route } =
        match send_until_answered(&shared, &admitted, &work, &pool, repeat, call).await {
            Ok(answered) => answered,
            Err(refusal) => {
                if matches!(refusal, Refusal::NotRun(_)) {
                    run.release();
                }
                // Sending fails only if the caller has disconnected.
                let _ = sender.send(Err(refusal));
                return;
            }
        };
    let (head, answer) = response.into_parts();
    let recorder = AnswerRecorder::new(&head, shared.settings.claim.answer_max.bytes());
    let (pieces, body) = Body::channel(ANSWER_BUFFER);
    let _ = sender.send(Ok(Response::from_parts(head, body)));
    let stall = shared.settings.caller.stall_timeout.get();
    let end = relay_recorded(answer, pieces, recorder, run, stall).await;
    if end == AttemptEnd::Completed {
        admitted.success();
    }
    shared.crashes.on_answer_end(&work, &route, end).await;
    shared.upstreams.end(route.key, end).await;
}

/// Copy of the answer as far as it has been relayed. `answer` is `None` once the body exceeds `max`
/// bytes.
struct AnswerRecorder {
    answer: Option<RecordedAnswer>,
    max: usize,
}

impl AnswerRecorder {
    fn new(head: &response::Parts, max: usize) -> Self {
        let mut bytes = 0;
        let headers = head.headers.iter().filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            bytes += name.as_str().len() + value.len();
            (bytes <= HEADERS_MAX_BYTES).then(|| (name.to_string(), value.to_owned()))
        });
        let headers = headers.collect();
        let answer = RecordedAnswer { status: head.status.as_u16(), headers, body: Vec::new() };
        Self { answer: Some(answer), max }
    }

    fn push(&mut self, data: &Bytes) {
        let Some(answer) = &mut self.answer else {
            return;
        };
        if answer.body.len() + data.len() > self.max {
            self.answer = None;
            return;
        }
        answer.body.extend_from_slice(data);
    }
}

/// Relays an answer and records it once it is complete. If the caller disconnects, relaying stops
/// but recording continues.
async fn relay_recorded<B>(
    mut answer: B,
    sender: BodySender,
    mut recorder: AnswerRecorder,
    run: ClaimedCall,
    stall: Duration,
) -> AttemptEnd
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let mut sender = Some(sender);
    loop {
        match tokio::time::timeout(stall, answer.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                recorder.push(&data);
                if let Some(relay) = &sender
                    && !matches!(tokio::time::timeout(stall, relay.send(data)).await, Ok(Ok(())))
                {
                    sender = None;
                }
            }
            Err(_) | Ok(Some(Err(_))) => return AttemptEnd::Failed,
        }
    }
    if let Some(answer) = recorder.answer {
        run.record(answer).await;
    }
    if let Some(sender) = sender {
        sender.finish().await;
    }
    AttemptEnd::Completed
}
