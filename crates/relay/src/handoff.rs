//! Requests that one daemon hands over to another, because it has no way to the upstreams itself.
//!
//! The daemon that the caller connected to checks the request, charges the quota and counts the
//! arrival. The other one, the helper, chooses the upstreams, takes retries from the budget, counts
//! the start of the response as usage, and records crashes and stream versions. A request is handed
//! over once: a helper that can't serve it refuses it. It goes on to another helper only if nothing
//! of it was sent to an upstream, or if it may be repeated.
//!
//! Requests and responses keep their form, so that streams keep their pace and a connection that
//! closes cancels the work. One header tells the helper what has been decided, and one tells this
//! daemon how it ended.

use crate::admission::AdmittedRequest;
use crate::attempt::{Attempt, silence_limit};
use crate::connection::SendError;
use crate::helpers::HelperUse;
use crate::metrics::METRICS;
use crate::pool::{Endpoint, PooledConnection};
use crate::protocol::UpstreamProtocol;
use crate::relay::{AttemptHistory, Relay, TIME_LEFT_MIN, refuse};
use crate::request::{Inbound, PromptPart, Refusal};
use crate::request_log::RequestLog;
use crate::response_end::Framing;
use crate::upstream_response::{HelperResponse, ResponseSource, UpstreamResponse};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use spindle_policy::stream_versions::PermittedVersions;
use spindle_types::{Clock, Instance, MonotonicInstant, SoftwareVersion};
use std::time::Duration;
use strum::IntoStaticStr;

/// Header that makes a request or a response part of a handoff.
pub const HANDOFF_HEADER: HeaderName = HeaderName::from_static("bronzespindle-handoff");

/// Number of helpers that are asked for one request.
const HELPERS_MAX: usize = 3;

/// Share of the upstreams of a service that are not reached from here, from which on a request that
/// finds the others overloaded goes through a helper.
const UNREACHED_SHARE_MIN: f64 = 0.25;

/// Maximum number of connections to one helper.
const CONNECTIONS_MAX: u32 = 256;

/// What a helper needs to know of a request, beside its method, target, headers and body.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handoff {
    /// Daemon that the caller connected to.
    pub entry: Instance,
    /// The caller's id of the attempt.
    pub id: String,
    /// Host named by the caller.
    pub host: String,
    /// API key of the caller.
    pub key: Option<String>,
    /// Time left until the deadline, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time_left: Duration,
    /// Id of the last event that the caller has received.
    pub last_event_id: Option<String>,
    /// Attempt that brought the first event of the stream that the caller resumes.
    pub resumes: Option<String>,
    /// Number of prompt tokens, and the maximum number of tokens to generate.
    pub tokens: Option<(u32, u32)>,
    /// Parts of the prompt, each with its id and number of tokens.
    pub parts: Vec<(u64, u32)>,
    /// Oldest version of the configuration by which it may be served.
    pub config: u64,
    /// Versions of the upstreams' software that may serve it.
    pub versions: PermittedVersions,
    /// Number of attempts that count against the route's limit.
    pub attempts: u32,
    /// Number of further attempts that are left to the entry, which can't know how many a helper has
    /// made that doesn't answer.
    #[serde(default)]
    pub reserved: u32,
    /// Whether the start of its response has been counted as usage.
    pub is_counted: bool,
    /// Whether it has been sent to the target of a rollout's trial, and goes on at the old version.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub left_trial: bool,
}

/// How a helper ended a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandoffReply {
    /// Why there is no response of an upstream; none if there is one.
    pub refusal: Option<HandoffRefusal>,
    /// Instance of the upstream.
    pub upstream: String,
    /// Version of its software.
    pub version: Option<SoftwareVersion>,
    /// Version of the configuration by which it was served.
    pub config: u64,
    /// Attempts that reached an upstream.
    pub sends: u32,
    /// Attempts that count against the route's limit, with those before the handoff.
    pub attempts: u32,
}

/// Why a helper returns no response of an upstream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoffRefusal {
    /// It has no room for requests of other daemons.
    Busy,
    /// It refuses the request as it would refuse one of its own callers.
    Refused(Refusal),
}

impl HandoffRefusal {
    /// Whether another helper may be able to serve the request.
    const fn concerns_helper(self) -> bool {
        match self {
            Self::Busy => true,
            Self::Refused(refusal) => matches!(
                refusal,
                Refusal::NoUpstream { .. }
                    | Refusal::Leaving { .. }
                    | Refusal::NoConfiguration { .. }
            ),
        }
    }
}

impl Handoff {
    /// The request as its caller sent it. It has arrived at `received_at`.
    pub(crate) fn inbound<B>(self, request: &Request<B>, received_at: MonotonicInstant) -> Inbound {
        let mut headers = request.headers().clone();
        headers.remove(HANDOFF_HEADER);
        headers.remove(http::header::CONTENT_LENGTH);
        let parts = self.parts.into_iter().map(|(id, tokens)| PromptPart { id, tokens });
        Inbound {
            id: self.id,
            method: request.method().clone(),
            host: self.host,
            target: request.uri().clone(),
            headers,
            key: self.key,
            timeout: Some(self.time_left),
            last_event_id: self.last_event_id,
            resumes: self.resumes,
            tokens: self.tokens,
            parts: parts.collect(),
            received_at,
        }
    }
}

/// Decodes the handoff header of a request or response.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(headers: &HeaderMap) -> Option<T> {
    serde_json::from_slice(headers.get(HANDOFF_HEADER)?.as_bytes()).ok()
}

/// Encodes a handoff header. JSON escapes the control characters that a header can't hold.
pub(crate) fn encode<T: Serialize>(value: &T) -> Option<HeaderValue> {
    HeaderValue::from_bytes(&serde_json::to_vec(value).ok()?).ok()
}

/// Why a request has no response through a helper.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HandoffError {
    /// No helper is available, and none has sent it to an upstream.
    Unavailable,
    /// It is refused, or its response is lost.
    Refused(Refusal),
}

/// How an exchange with a helper ended. The names of the variants are values of a metric label.
#[derive(IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum HelperExchange {
    /// The head of a response arrived.
    Head(Box<(Response<Incoming>, PooledConnection)>),
    /// Nothing was sent.
    Unreached,
    /// The request was sent, and the connection lost.
    Lost,
    /// The helper sent nothing for too long.
    Silent,
    /// The deadline passed.
    TimedOut,
}

impl<P: UpstreamProtocol, K: Clock> Relay<P, K> {
    /// Whether a request goes through a helper next.
    pub(crate) fn prefers_helper(&self, admitted: &AdmittedRequest, past: &AttemptHistory) -> bool {
        let is_excluded = admitted.is_handed_over || past.helpers_exhausted;
        !is_excluded
            && (past.prefers_helper
                || self.0.balancer.has_lost(&admitted.service)
                || self.is_outdated(admitted))
    }

    /// Whether a newer configuration than that by which a request was admitted is to be used.
    pub(crate) fn is_outdated(&self, admitted: &AdmittedRequest) -> bool {
        let needed = self.0.versions.needed(self.0.clock.now());
        needed.is_some_and(|needed| needed > admitted.config.version)
    }

    /// Whether a request that was refused here may go through a helper: because some upstreams are
    /// not reached from here, not because they are down or busy for every daemon.
    pub(crate) fn may_hand_over(
        &self,
        admitted: &AdmittedRequest,
        past: &AttemptHistory,
        refusal: Refusal,
    ) -> bool {
        let now = self.0.clock.now();
        let share_min = match refusal {
            Refusal::NoUpstream { .. } | Refusal::Lost => f64::EPSILON,
            Refusal::Overloaded { .. } => UNREACHED_SHARE_MIN,
            _ => return false,
        };
        !admitted.is_handed_over
            && !past.helpers_exhausted
            && (!past.may_have_run || admitted.route.repeat.allows_retry())
            && self.0.balancer.unreached_share(now, &admitted.service) >= share_min
            && self.0.helpers.has_any(now, &admitted.service, &past.helpers)
    }

    /// Sends a request through one helper after another until the head of a response arrives.
    pub(crate) async fn send_through_helper(
        &self,
        attempt: Attempt<'_>,
        past: &mut AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> Result<UpstreamResponse, HandoffError> {
        let admitted = attempt.admitted;
        let needed = self.0.versions.needed(self.0.clock.now()).unwrap_or_default();
        let config = admitted.config.version.max(self.0.versions.own()).max(needed);
        for _ in 0..HELPERS_MAX {
            let now = self.0.clock.now();
            if admitted.deadline.since(now) <= TIME_LEFT_MIN {
                return Err(HandoffError::Refused(refuse(past, Refusal::Expired)));
            }
            self.check_crash_causes(admitted, attempt.buffered, past, request_log)
                .map_err(HandoffError::Refused)?;
            let selected = self.0.helpers.select(now, &admitted.service, config, &past.helpers);
            let Some(helper) = selected else { break };
            past.helpers.push(helper.address);
            request_log.on_handed_over(now, &helper.instance);
            let exchange = self.exchange_with(&helper, attempt, config, past, request_log).await;
            let ended: &'static str = (&exchange).into();
            METRICS.handoffs.add(1, &[KeyValue::new("ended", ended)]);
            if !matches!(exchange, HelperExchange::Head(_)) {
                request_log.on_attempt_failed(self.0.clock.now());
                log::info!(
                    "event=handoff_failed id={} helper={} cause={ended}",
                    attempt.buffered.inbound.id,
                    helper.instance
                );
            }
            match exchange {
                HelperExchange::Head(head) => {
                    match self.read_reply(helper, attempt, past, request_log, *head) {
                        Ok(upstream_response) => return Ok(upstream_response),
                        Err(Some(refusal)) => return Err(HandoffError::Refused(refusal)),
                        Err(None) => {}
                    }
                }
                HelperExchange::Unreached => {
                    self.0.helpers.on_failed(self.0.clock.now(), helper.address);
                }
                HelperExchange::Lost | HelperExchange::Silent => {
                    self.0.helpers.on_failed(self.0.clock.now(), helper.address);
                    past.may_have_run = true;
                    past.on_helper_lost(admitted.route.attempts_max);
                    request_log.cause = format!("handoff_{ended}");
                    if !admitted.route.repeat.allows_retry() || !self.may_retry(admitted, past) {
                        return Err(HandoffError::Refused(Refusal::Lost));
                    }
                }
                HelperExchange::TimedOut => {
                    past.may_have_run = true;
                    return Err(HandoffError::Refused(Refusal::TimedOut));
                }
            }
        }
        Err(HandoffError::Unavailable)
    }

    async fn exchange_with(
        &self,
        helper: &HelperUse,
        attempt: Attempt<'_>,
        config: u64,
        past: &mut AttemptHistory,
        request_log: &RequestLog<K>,
    ) -> HelperExchange {
        let admitted = attempt.admitted;
        let endpoint = Endpoint::Daemon(helper.address);
        // A second connection, in case the first was closed before anything was sent on it.
        for _ in 0..2 {
            let now = self.0.clock.now();
            let pool = self.0.balancer.pool();
            let Ok(mut pooled) = pool.lease(now, endpoint, helper.address, CONNECTIONS_MAX).await
            else {
                return HelperExchange::Unreached;
            };
            let time_left = admitted.deadline.since(self.0.clock.now());
            let is_counted = request_log.has_first_byte();
            let Some(request) = self.handed_request(attempt, past, (config, time_left, is_counted))
            else {
                return HelperExchange::Unreached;
            };
            let Some(connection) = pooled.connection() else { return HelperExchange::Unreached };
            // Recorded before sending: if this future is dropped, it is unknown how much was sent.
            let ran_before = std::mem::replace(&mut past.may_have_run, true);
            let patience = silence_limit(&admitted.route).saturating_mul(2);
            let sending = connection.send(request);
            match tokio::time::timeout(patience.min(time_left), sending).await {
                Ok(Ok(response)) => {
                    past.may_have_run = ran_before;
                    return HelperExchange::Head(Box::new((response, pooled)));
                }
                Ok(Err(SendError::Unsent)) => past.may_have_run = ran_before,
                Ok(Err(SendError::Lost(_))) => return HelperExchange::Lost,
                Err(_) if patience < time_left => return HelperExchange::Silent,
                Err(_) => return HelperExchange::TimedOut,
            }
        }
        HelperExchange::Unreached
    }

    fn handed_request(
        &self,
        attempt: Attempt<'_>,
        past: &AttemptHistory,
        (config, time_left, is_counted): (u64, Duration, bool),
    ) -> Option<Request<Full<Bytes>>> {
        let Attempt { buffered, last_event_id, .. } = attempt;
        let inbound = &buffered.inbound;
        let handoff = Handoff {
            entry: self.0.instance.clone(),
            id: inbound.id.clone(),
            host: inbound.host.clone(),
            key: inbound.key.clone(),
            time_left,
            last_event_id: last_event_id.map(str::to_owned).or(inbound.last_event_id.clone()),
            resumes: inbound.resumes.clone(),
            tokens: inbound.tokens,
            parts: inbound.parts.iter().map(|part| (part.id, part.tokens)).collect(),
            config,
            versions: past.versions.clone(),
            attempts: past.counted,
            reserved: past.reserved_for_entry(attempt.admitted.route.attempts_max),
            is_counted,
            left_trial: past.left_trial,
        };
        let mut request = Request::new(Full::new(buffered.body.clone()));
        *request.method_mut() = inbound.method.clone();
        *request.uri_mut() = inbound.target.clone();
        *request.headers_mut() = inbound.headers.clone();
        request.headers_mut().insert(HANDOFF_HEADER, encode(&handoff)?);
        Some(request)
    }

    /// Reads the head of a helper's response. The error is the refusal of the request, or none if
    /// another helper may serve it.
    fn read_reply(
        &self,
        helper: HelperUse,
        attempt: Attempt<'_>,
        past: &mut AttemptHistory,
        request_log: &mut RequestLog<K>,
        (response, pooled): (Response<Incoming>, PooledConnection),
    ) -> Result<UpstreamResponse, Option<Refusal>> {
        let framing = Framing::of(&response);
        let (mut head, body) = response.into_parts();
        let Some(reply) = decode::<HandoffReply>(&head.headers) else {
            log::warn!(
                "event=handoff_reply_invalid id={} helper={}",
                attempt.buffered.inbound.id,
                helper.instance
            );
            past.may_have_run = true;
            return Err(Some(Refusal::Lost));
        };
        head.headers.remove(HANDOFF_HEADER);
        past.counted = past.counted.max(reply.attempts);
        past.reached += reply.sends;
        request_log.on_handoff_reply(&reply, past.reached);
        self.0.versions.on_heard(self.0.clock.now(), reply.config, "helper");
        let Some(refused) = reply.refusal else {
            self.0.versions.on_served(self.0.clock.now(), reply.config);
            past.may_have_run = true;
            past.recorded_version.clone_from(&reply.version);
            let source = HelperResponse { _in_use: helper, version: reply.version };
            return Ok(UpstreamResponse {
                head,
                framing,
                body,
                keep_alive: None,
                reusable: framing != Framing::Close,
                pooled,
                source: ResponseSource::Helper(source),
            });
        };
        // A refusal has no body.
        pooled.release(self.0.clock.now(), None);
        if let HandoffRefusal::Refused(refusal) = refused
            && !refusal.not_run()
        {
            past.may_have_run = true;
        }
        match refused {
            _ if refused.concerns_helper() => Err(None),
            // The attempt that was reserved here.
            HandoffRefusal::Refused(Refusal::Lost)
                if attempt.admitted.route.repeat.allows_retry()
                    && self.may_retry(attempt.admitted, past) =>
            {
                Err(None)
            }
            HandoffRefusal::Refused(refusal) => Err(Some(refuse(past, refusal))),
            HandoffRefusal::Busy => Err(None),
        }
    }
}
