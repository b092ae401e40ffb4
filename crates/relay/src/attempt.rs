//! One attempt: sending a request to one upstream and reading the head of its response.

use crate::admission::AdmittedRequest;
use crate::assignment::{Assignment, UpstreamResult};
use crate::config::{RepeatPolicy, Route};
use crate::connection::SendError;
use crate::contact_test;
use crate::notices;
use crate::pool::{Endpoint, PoolError, PooledConnection};
use crate::protocol::{ForwardContext, ResponseClass, UpstreamProtocol};
use crate::relay::{AttemptHistory, Relay, TIME_LEFT_MIN};
use crate::request::{BufferedRequest, Refusal};
use crate::request_log::RequestLog;
use crate::response_end::Framing;
use crate::tracked_upstream::SendPermission;
use crate::upstream_response::{ResponseSource, UpstreamResponse};
use bytes::Bytes;
use http::{Request, Version, response};
use http_body_util::Full;
use hyper::body::Incoming;
use spindle_types::{Clock, MonotonicInstant};
use std::pin::{Pin, pin};
use std::sync::atomic::Ordering;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Multiple of the target latency after which an idempotent request without a response is sent to
/// another upstream. Executing the request takes a fifth of the target.
const SAFE_SILENCE_FACTOR: u32 = 3;

/// Multiple of the target latency after which a stream without a response is started at another
/// upstream. Processing a long prompt again costs more than a response that begins late.
const STREAM_SILENCE_FACTOR: u32 = 2;

/// Minimum time without a response before a request is sent to another upstream. Twice the time in
/// which TCP retransmits a lost packet.
const SILENCE_LIMIT_MIN: Duration = Duration::from_millis(400);

/// Minimum silence of an upstream after which a test connection tells whether it is reached. A
/// retransmission of TCP takes 200 ms.
const TEST_AFTER_MIN: Duration = Duration::from_millis(300);

/// Interval at which a request without a response looks whether its service is still reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What one attempt sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) admitted: &'a AdmittedRequest,
    pub(crate) buffered: &'a BufferedRequest,
    /// Id of the last event received, after which a stream is resumed.
    pub(crate) last_event_id: Option<&'a str>,
}

/// How one attempt ended. The names of the variants are values of a metric label.
#[derive(IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum AttemptOutcome {
    /// The head of a response arrived.
    Answer(Box<UpstreamResponse>),
    /// Nothing was sent: no connection, or the upstream or the deadline no longer allowed it.
    Unreached(UnreachedCause),
    /// Nothing was sent, as the limit that the upstream has named permits no request now.
    Limited,
    /// The upstream refused the request without executing it.
    Refused,
    /// The address now belongs to another upstream, which has not executed the request.
    #[strum(serialize = "elsewhere")]
    WrongUpstream,
    /// The request may have been executed, and its response is lost.
    Lost,
    /// The upstream sent nothing for too long, and a retry has been taken from the budget.
    Abandoned,
    /// The deadline passed after the request was sent.
    TimedOut,
}

/// Why a request could not be sent. The names of the variants are written to logs.
#[derive(Clone, Copy, Debug, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum UnreachedCause {
    /// The pool had no connection.
    #[strum(to_string = "{0}")]
    NoConnection(PoolError),
    /// The upstream had left, or too little time was left.
    NotPermitted,
    /// Both connections were closed before anything was sent.
    ConnectionsClosed,
}

/// How an exchange on one connection ended. Variants that [`AttemptOutcome`] has too mean the same
/// there.
enum ExchangeOutcome {
    /// No byte of the request was written.
    Unsent,
    /// The head of a response arrived.
    Head(Box<(response::Parts, Framing)>, Incoming, PooledConnection),
    Lost,
    Abandoned,
    TimedOut {
        /// Number of bytes that had arrived of the head of a response.
        head_bytes: usize,
    },
}

/// How the wait for the head of a response ended.
enum HeadWait<T> {
    /// The exchange ended.
    Ended(T),
    /// The upstream is given up, and a retry has been taken from the budget.
    Abandoned,
    /// The deadline passed.
    TimedOut,
}

impl<P: UpstreamProtocol, K: Clock> Relay<P, K> {
    /// Sends a request to one upstream. Tries a second connection if the first was closed before
    /// anything was sent on it.
    pub(crate) async fn send_to(
        &self,
        mut assignment: Assignment,
        attempt: Attempt<'_>,
        past: &mut AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> AttemptOutcome {
        let admitted = attempt.admitted;
        for _ in 0..2 {
            let pooled = match self.lease(&assignment, admitted).await {
                Ok(pooled) => pooled,
                Err(error) => {
                    if error != PoolError::ConnectionsFull {
                        assignment.on_result(self.0.clock.now(), UpstreamResult::Unreachable);
                    }
                    return AttemptOutcome::Unreached(UnreachedCause::NoConnection(error));
                }
            };
            // Checked again, as the process may have been suspended since the upstream was chosen.
            let now = self.0.clock.now();
            request_log.on_connected(now);
            match assignment.may_send(now) {
                SendPermission::Granted if admitted.deadline.since(now) > TIME_LEFT_MIN => {}
                SendPermission::Limited => {
                    pooled.release(now, None);
                    return AttemptOutcome::Limited;
                }
                SendPermission::Granted | SendPermission::Left => {
                    return AttemptOutcome::Unreached(UnreachedCause::NotPermitted);
                }
            }
            match self.exchange(pooled, &mut assignment, attempt, past).await {
                // The upstream had closed an idle connection, which says nothing about its health:
                // a new connection does.
                ExchangeOutcome::Unsent => {}
                ExchangeOutcome::Head(head, body, pooled) => {
                    return self.read_head(assignment, attempt, past, (*head, body), pooled);
                }
                ExchangeOutcome::Lost => {
                    assignment.on_result(self.0.clock.now(), UpstreamResult::Failed);
                    self.on_lost_beginning(&assignment, attempt.admitted, attempt.buffered).await;
                    return AttemptOutcome::Lost;
                }
                ExchangeOutcome::Abandoned => {
                    assignment.on_result(self.0.clock.now(), UpstreamResult::Failed);
                    return AttemptOutcome::Abandoned;
                }
                ExchangeOutcome::TimedOut { head_bytes } => {
                    // Silence may be a long queue. A head that doesn't end is a fault.
                    if head_bytes > 0 {
                        log::info!(
                            "event=head_incomplete id={} upstream={} bytes={head_bytes}",
                            attempt.buffered.inbound.id,
                            assignment.upstream_id.instance,
                        );
                        assignment.on_result(self.0.clock.now(), UpstreamResult::Failed);
                    }
                    assignment.on_overdue(self.0.clock.now());
                    return AttemptOutcome::TimedOut;
                }
            }
        }
        assignment.on_result(self.0.clock.now(), UpstreamResult::Unreachable);
        AttemptOutcome::Unreached(UnreachedCause::ConnectionsClosed)
    }

    async fn lease(
        &self,
        assignment: &Assignment,
        admitted: &AdmittedRequest,
    ) -> Result<PooledConnection, PoolError> {
        let spec = admitted.config.services.get(&admitted.service);
        let connections_max = spec.map_or(u32::MAX, |spec| spec.connections_max);
        let daemons = self.0.daemon_count.load(Ordering::Relaxed).max(1);
        let share = (connections_max / daemons).max(1);
        let now = self.0.clock.now();
        let endpoint = Endpoint::Upstream(assignment.key);
        self.0.balancer.pool().lease(now, endpoint, assignment.address, share).await
    }

    async fn exchange(
        &self,
        mut pooled: PooledConnection,
        assignment: &mut Assignment,
        attempt: Attempt<'_>,
        past: &mut AttemptHistory,
    ) -> ExchangeOutcome {
        let admitted = attempt.admitted;
        let now = self.0.clock.now();
        let time_left = admitted.deadline.since(now);
        let request = self.build_request(assignment, attempt, time_left);
        let Some(connection) = pooled.connection() else {
            return ExchangeOutcome::Unsent;
        };
        // Recorded before sending: if this future is dropped, it is unknown how much was sent.
        past.reached += 1;
        past.counted += 1;
        assignment.on_sent(now);
        let ran_before = past.may_have_run;
        past.may_have_run = true;
        let result = {
            let sending = pin!(connection.send(request));
            match self.wait_for_head(sending, now, assignment, admitted, past).await {
                HeadWait::Ended(result) => Some(result),
                HeadWait::Abandoned => return ExchangeOutcome::Abandoned,
                HeadWait::TimedOut => None,
            }
        };
        let Some(result) = result else {
            return ExchangeOutcome::TimedOut { head_bytes: connection.partial_head_bytes() };
        };
        match result {
            Ok(response) => {
                let framing = Framing::of(&response);
                let (head, body) = response.into_parts();
                past.may_have_run = ran_before;
                ExchangeOutcome::Head(Box::new((head, framing)), body, pooled)
            }
            Err(SendError::Unsent) => {
                past.reached -= 1;
                past.counted -= 1;
                assignment.set_sent(false);
                past.may_have_run = ran_before;
                ExchangeOutcome::Unsent
            }
            Err(SendError::Lost(error)) => {
                log::debug!("event=answer_lost id={} error={error:?}", attempt.buffered.inbound.id);
                ExchangeOutcome::Lost
            }
        }
    }

    /// Waits for the head of a response to a request that was sent at `sent_at`. A silent upstream
    /// is tested. It is given up at once only if the whole service is not reached: one that accepts
    /// no connection may go on in a moment.
    async fn wait_for_head<F: Future>(
        &self,
        mut sending: Pin<&mut F>,
        sent_at: MonotonicInstant,
        assignment: &Assignment,
        admitted: &AdmittedRequest,
        past: &AttemptHistory,
    ) -> HeadWait<F::Output> {
        let silence_limit = silence_limit(&admitted.route);
        let mut next_check = test_after(&admitted.route);
        let mut is_tested = false;
        loop {
            let now = self.0.clock.now();
            let (left, silent_for) = (admitted.deadline.since(now), now.since(sent_at));
            let may_check = silent_for < silence_limit;
            let until = if may_check { next_check.min(silence_limit) } else { Duration::MAX };
            let wait = until.saturating_sub(silent_for).min(left);
            if let Ok(result) = tokio::time::timeout(wait, &mut sending).await {
                return HeadWait::Ended(result);
            }
            let now = self.0.clock.now();
            if admitted.deadline.since(now).is_zero() {
                return HeadWait::TimedOut;
            }
            if !std::mem::replace(&mut is_tested, true) && !assignment.is_heard_since(sent_at) {
                self.test(assignment);
            }
            let is_cut_off =
                self.0.balancer.has_lost(&admitted.service) && !assignment.is_heard_since(sent_at);
            let is_late = now.since(sent_at) >= silence_limit;
            if (is_late || is_cut_off) && self.may_switch_upstream(admitted, past) {
                return HeadWait::Abandoned;
            }
            next_check = now.since(sent_at) + CHECK_INTERVAL;
        }
    }

    /// Begins a test connection to an upstream.
    fn test(&self, assignment: &Assignment) {
        let (balancer, clock) = (self.0.balancer.clone(), self.0.clock.clone());
        let (key, address) = (assignment.key, assignment.address);
        tokio::spawn(async move { contact_test::test(&balancer, &clock, key, address).await });
    }

    /// Whether a request is to be moved from a silent upstream to another one. Takes a retry from
    /// the budget if so.
    pub(crate) fn may_switch_upstream(
        &self,
        admitted: &AdmittedRequest,
        past: &AttemptHistory,
    ) -> bool {
        let now = self.0.clock.now();
        let has_other = || {
            let eligible = self.eligible(now, admitted, past);
            self.0.balancer.has_untried(now, &admitted.service, past.restrictions(&eligible))
                || self.may_hand_over(admitted, past, Refusal::Lost)
        };
        admitted.route.repeat.allows_retry() && has_other() && self.may_retry(admitted, past)
    }

    fn build_request(
        &self,
        assignment: &Assignment,
        attempt: Attempt<'_>,
        time_left: Duration,
    ) -> Request<Full<Bytes>> {
        let Attempt { admitted, buffered, last_event_id } = attempt;
        let context = ForwardContext {
            upstream_id: &assignment.upstream_id,
            team: admitted.team.as_ref(),
            time_left,
            last_event_id: last_event_id.or(buffered.inbound.last_event_id.as_deref()),
            engine_priority: admitted.engine_priority,
        };
        let mut request = Request::new(Full::new(buffered.body.clone()));
        *request.method_mut() = buffered.inbound.method.clone();
        *request.uri_mut() = buffered.inbound.target.clone();
        *request.headers_mut() = self.0.protocol.request_headers(&buffered.inbound, &context);
        request
    }

    fn read_head(
        &self,
        assignment: Assignment,
        attempt: Attempt<'_>,
        past: &mut AttemptHistory,
        ((head, framing), body): ((response::Parts, Framing), Incoming),
        pooled: PooledConnection,
    ) -> AttemptOutcome {
        let now = self.0.clock.now();
        assignment.on_heard(now);
        let inbound = &attempt.buffered.inbound;
        let mut class = self.0.protocol.classify_response(inbound, &head);
        let says_not_run =
            matches!(class, ResponseClass::Refused { .. } | ResponseClass::WrongUpstream);
        // It may be a copy of the response to an earlier request on this connection.
        if says_not_run && pooled.is_kept() && !self.0.protocol.names_request(inbound, &head) {
            log::warn!(
                "event=refusal_unidentified id={} upstream={} status={}",
                inbound.id,
                assignment.upstream_id.instance,
                head.status.as_u16()
            );
            class = ResponseClass::Invalid;
        }
        notices::apply(now, &assignment, &class, self.0.protocol.notice(&head));
        match class {
            ResponseClass::Executed(executed) => {
                assignment.on_load(now, executed.load);
                assignment.on_capacity(now, false);
                self.0.ranks.on_load(now, &attempt.admitted.service, executed.load, false);
                let reusable = !executed.close
                    && framing != Framing::Close
                    && head.version >= Version::HTTP_11;
                AttemptOutcome::Answer(Box::new(UpstreamResponse {
                    head,
                    framing,
                    body,
                    keep_alive: executed.keep_alive,
                    reusable,
                    pooled,
                    source: ResponseSource::Upstream(assignment),
                }))
            }
            ResponseClass::Refused { load } => {
                assignment.on_load(now, load);
                assignment.on_capacity(now, true);
                self.0.ranks.on_load(now, &attempt.admitted.service, load, true);
                assignment.on_result(now, UpstreamResult::Refused);
                AttemptOutcome::Refused
            }
            ResponseClass::WrongUpstream => {
                assignment.on_leaving(now);
                past.counted -= 1;
                AttemptOutcome::WrongUpstream
            }
            ResponseClass::Invalid => {
                assignment.on_result(now, UpstreamResult::Failed);
                AttemptOutcome::Lost
            }
        }
    }
}

/// Silence of an upstream after which a test connection tells whether it is reached.
fn test_after(route: &Route) -> Duration {
    if route.repeat.is_stream() { route.target_latency.max(TEST_AFTER_MIN) } else { TEST_AFTER_MIN }
}

/// Longest time until the first event of a stream from an upstream in good order.
pub(crate) fn first_event_silence(route: &Route) -> Duration {
    (route.target_latency * STREAM_SILENCE_FACTOR).max(SILENCE_LIMIT_MIN)
}

/// How long an upstream may send nothing before a request that may be repeated is sent to another
/// one.
pub(crate) fn silence_limit(route: &Route) -> Duration {
    match route.repeat {
        RepeatPolicy::Safe => (route.target_latency * SAFE_SILENCE_FACTOR).max(SILENCE_LIMIT_MIN),
        RepeatPolicy::Resumable => first_event_silence(route),
        RepeatPolicy::Once | RepeatPolicy::StreamOnce => Duration::MAX,
    }
}
