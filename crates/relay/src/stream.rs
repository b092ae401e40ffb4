//! Forwarding of the events of a streamed response, which may come from several upstreams in turn.
//!
//! Complete events are forwarded as they arrive. A resumable stream that breaks off or falls silent
//! is resumed at another upstream after its last complete event. Events whose ids don't increase are
//! not forwarded. A resumed stream that ends without a further event counts as complete only if a
//! second upstream says the same. A stream that can't be completed
//! is cut off without a proper end, so that the caller does not take it for complete. The end of
//! the connection completes a stream only between two events, and only if the upstream still listens.

use crate::admission::AdmittedRequest;
use crate::assignment::UpstreamResult;
use crate::attempt::{Attempt, first_event_silence};
use crate::events::EventSplitter;
use crate::metrics::METRICS;
use crate::protocol::UpstreamProtocol;
use crate::relay::{AttemptHistory, Relay, response_head};
use crate::request::BufferedRequest;
use crate::request_log::{Outcome, RequestLog};
use crate::response_end::{Framing, ResponseEnd};
use crate::upstream_response::{ResponseSource, UpstreamResponse};
use bytes::Bytes;
use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use spindle_http::{Body, BodySender, ReceiverGone};
use spindle_policy::stream_versions::PermittedVersions;
use spindle_types::{Clock, MonotonicInstant};
use std::time::Duration;

/// Number of chunks of complete events buffered for a slow caller before reading from the upstream
/// pauses.
const EVENT_BUFFER_CHUNKS: usize = 16;

/// Multiple of the target event interval after which a silent resumable stream is moved to another
/// upstream. Callers give up after eight times the target interval.
const EVENT_INTERVAL_FACTOR_MAX: u32 = 4;

/// Number of events of one upstream from which on its response has gone on. Before, it is beginning.
const EVENTS_BEGUN: u64 = 2;

/// Minimum silence before a resumable stream is moved to another upstream, which has to process the
/// prompt again.
const EVENT_SILENCE_MIN: Duration = Duration::from_millis(1_600);

/// Content type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Number of upstreams that have to end a resumed stream without a further event until it counts as
/// complete.
const EMPTY_ENDS_MIN: u32 = 2;

/// Starts a task that forwards a stream to the caller, and returns the response with its head.
pub(crate) fn start<P: UpstreamProtocol, K: Clock>(
    relay: Relay<P, K>,
    mut request_log: RequestLog<K>,
    upstream_response: UpstreamResponse,
    admitted: AdmittedRequest,
    buffered: BufferedRequest,
    past: AttemptHistory,
) -> Response<Body> {
    let (sender, body) = Body::channel(EVENT_BUFFER_CHUNKS);
    let head = response_head(upstream_response.head.clone());
    request_log.outcome = Outcome::BrokenOff;
    // Only resumable streams go on after an event; others begin again.
    let last_event_id =
        buffered.inbound.last_event_id.clone().filter(|_| admitted.route.repeat.allows_retry());
    let forwarder = StreamForwarder {
        relay,
        request_log,
        admitted,
        buffered,
        past,
        sender,
        splitter: EventSplitter::after(last_event_id.as_deref()),
        is_resumed: last_event_id.is_some(),
        empty_ends: 0,
        content_type: upstream_response.head.headers.get(CONTENT_TYPE).cloned(),
        detail: String::new(),
        progress_at: MonotonicInstant::default(),
        progress_bytes: 0,
        delivered_before: 0,
        held: Duration::ZERO,
    };
    tokio::spawn(forwarder.run(upstream_response));
    Response::from_parts(head, body)
}

struct StreamForwarder<P, K: Clock> {
    relay: Relay<P, K>,
    request_log: RequestLog<K>,
    admitted: AdmittedRequest,
    buffered: BufferedRequest,
    past: AttemptHistory,
    sender: BodySender,
    splitter: EventSplitter,
    /// Whether the current upstream goes on with a stream that another one began.
    is_resumed: bool,
    /// Number of upstreams that ended the resumed stream without a further event.
    empty_ends: u32,
    /// Content type of the first upstream's response.
    content_type: Option<HeaderValue>,
    /// Why the response of an upstream is not complete, for the log.
    detail: String,
    /// When the upstream last delivered an event, or was sent the request.
    progress_at: MonotonicInstant,
    /// Number of bytes that had arrived on the connection by then.
    progress_bytes: usize,
    /// Number of events that had been delivered before the current upstream.
    delivered_before: u64,
    /// How long the caller has delayed events.
    held: Duration,
}

impl<P: UpstreamProtocol, K: Clock> StreamForwarder<P, K> {
    async fn run(mut self, mut upstream_response: UpstreamResponse) {
        loop {
            let end = self.forward_events(&mut upstream_response).await;
            self.request_log.events = self.splitter.count();
            let detail = std::mem::take(&mut self.detail);
            self.request_log.on_response_end(upstream_response.framing, end, &detail);
            let now = self.relay.0.clock.now();
            match end {
                ResponseEnd::Complete => return self.finish(upstream_response, now).await,
                ResponseEnd::CallerLeft => {
                    self.on_interrupted(&upstream_response, now);
                    self.request_log.outcome = Outcome::CallerLeft;
                    return;
                }
                ResponseEnd::Expired => {
                    self.on_interrupted(&upstream_response, now);
                    self.request_log.cause = "time_passed".to_owned();
                    return;
                }
                ResponseEnd::Unconfirmed => {
                    upstream_response.source.on_result(now, UpstreamResult::Answered);
                    self.request_log.cause = "end_unconfirmed".to_owned();
                    if !self.relay.may_retry(&self.admitted, &self.past) {
                        return;
                    }
                }
                ResponseEnd::Disordered => {
                    upstream_response.source.on_result(now, UpstreamResult::Failed);
                    self.request_log.cause = "upstream_out_of_order".to_owned();
                    if !self.may_resume() {
                        return;
                    }
                }
                ResponseEnd::MidEvent
                | ResponseEnd::NoEvent
                | ResponseEnd::Broken
                | ResponseEnd::Oversized => {
                    upstream_response.source.on_result(now, UpstreamResult::Failed);
                    self.request_log.cause = "upstream_broke_off".to_owned();
                    if let Some(assignment) = upstream_response.source.assignment()
                        && end != ResponseEnd::Oversized
                        && self.is_beginning()
                    {
                        let (admitted, buffered) = (&self.admitted, &self.buffered);
                        self.relay.on_lost_beginning(assignment, admitted, buffered).await;
                    }
                    if !self.may_resume() {
                        return;
                    }
                }
                ResponseEnd::Silent => {
                    upstream_response.source.on_result(now, UpstreamResult::Failed);
                    self.request_log.cause = "upstream_silent".to_owned();
                }
            }
            // Closes the connection, which stops the upstream if it is still working.
            drop(upstream_response);
            let Some(next) = self.resume().await else { return };
            upstream_response = next;
        }
    }

    fn may_resume(&self) -> bool {
        self.admitted.route.repeat.allows_retry()
            && self.relay.may_retry(&self.admitted, &self.past)
    }

    /// Forwards the events of one upstream until they stop.
    async fn forward_events(&mut self, upstream_response: &mut UpstreamResponse) -> ResponseEnd {
        let mut last_data_at = self.relay.0.clock.now();
        // When to look for another upstream is counted from here.
        let mut waiting_since = last_data_at;
        self.progress_at = last_data_at;
        self.progress_bytes = upstream_response.pooled.received_bytes();
        self.delivered_before = self.splitter.delivered();
        loop {
            let now = self.relay.0.clock.now();
            if now >= self.admitted.deadline {
                return ResponseEnd::Expired;
            }
            let silence = upstream_response.source.patience(self.max_event_silence());
            if now.since(waiting_since) >= silence {
                if self.relay.may_switch_upstream(&self.admitted, &self.past) {
                    return ResponseEnd::Silent;
                }
                // No other upstream or no retry is available: keeps waiting, and checks again after
                // the same time.
                waiting_since = now;
            }
            let wait =
                silence.saturating_sub(now.since(waiting_since)).max(Duration::from_millis(1));
            let wait = wait.min(self.admitted.deadline.since(now));
            let frame = tokio::select! {
                biased;
                frame = tokio::time::timeout(wait, upstream_response.body.frame()) => frame,
                () = self.sender.closed() => return ResponseEnd::CallerLeft,
            };
            let data = match frame {
                Err(_) => continue,
                Ok(None) => return self.end_of_response(upstream_response).await,
                Ok(Some(Err(error))) => {
                    self.detail = error.to_string();
                    return ResponseEnd::Broken;
                }
                Ok(Some(Ok(frame))) => frame.into_data(),
            };
            let Ok(data) = data else { continue };
            let now = self.relay.0.clock.now();
            self.on_data(last_data_at, now, &upstream_response.source);
            upstream_response.source.on_heard(now);
            upstream_response.source.on_first_byte(now);
            last_data_at = now;
            let delivered = self.splitter.delivered();
            let Ok(events) = self.splitter.push(data) else {
                return ResponseEnd::Oversized;
            };
            match self.pass_on(events).await {
                Ok(duration) => waiting_since = waiting_since + duration,
                Err(end) => return end,
            }
            if self.splitter.is_disordered() {
                self.detail = format!("after={:?}", self.splitter.last_id());
                return ResponseEnd::Disordered;
            }
            // Comments and parts of events are no progress.
            if self.splitter.delivered() > delivered {
                self.on_progress(delivered, upstream_response);
                waiting_since = self.progress_at;
            }
        }
    }

    /// Passes events on to the caller within the deadline. Returns how long the caller took to make
    /// room for them, which is no silence of the upstream.
    async fn pass_on(&mut self, events: Bytes) -> Result<Duration, ResponseEnd> {
        if events.is_empty() {
            return Ok(Duration::ZERO);
        }
        let started = self.relay.0.clock.now();
        let left = self.admitted.deadline.since(started);
        let sent = tokio::time::timeout(left, self.sender.send(events)).await;
        let duration = self.relay.0.clock.now().since(started);
        self.progress_at = self.progress_at + duration;
        self.held += duration;
        match sent {
            Ok(Ok(())) => Ok(duration),
            Ok(Err(ReceiverGone)) => Err(ResponseEnd::CallerLeft),
            Err(_) => Err(ResponseEnd::Expired),
        }
    }

    /// Records that events have been passed on, after `delivered` before.
    fn on_progress(&mut self, delivered: u64, upstream_response: &mut UpstreamResponse) {
        self.progress_at = self.relay.0.clock.now();
        let events = self.splitter.delivered() - self.delivered_before;
        upstream_response.source.on_events(self.progress_at, events, self.held);
        self.progress_bytes = upstream_response.pooled.received_bytes();
        self.keep_version(upstream_response);
        let was_beginning = delivered - self.delivered_before < EVENTS_BEGUN;
        let is_own = upstream_response.source.assignment().is_some();
        if was_beginning && !self.is_beginning() && is_own {
            self.relay.0.crashes.on_sound(self.progress_at, &self.admitted.work_keys);
        }
    }

    /// Whether the response of the current upstream has not gone on yet.
    fn is_beginning(&self) -> bool {
        self.splitter.delivered() - self.delivered_before < EVENTS_BEGUN
    }

    /// How a response ended whose body is complete as far as its framing tells, unless its upstream was
    /// killed.
    async fn end_of_response(&mut self, upstream_response: &UpstreamResponse) -> ResponseEnd {
        let end = self.end_of_body(upstream_response.framing);
        if end != ResponseEnd::Complete
            || !upstream_response.source.is_cut_off(upstream_response.framing).await
        {
            return end;
        }
        self.detail = "upstream_gone".to_owned();
        ResponseEnd::Broken
    }

    /// How a response ended whose body is complete as far as its framing tells.
    fn end_of_body(&mut self, framing: Framing) -> ResponseEnd {
        if self.splitter.is_partial() {
            self.detail = format!("partial_bytes={}", self.splitter.partial_bytes());
            return ResponseEnd::MidEvent;
        }
        if framing == Framing::Close && self.splitter.delivered() == 0 {
            return ResponseEnd::NoEvent;
        }
        if self.is_resumed && self.splitter.delivered() == self.delivered_before {
            self.empty_ends += 1;
            if self.empty_ends < EMPTY_ENDS_MIN && self.admitted.route.repeat.allows_retry() {
                return ResponseEnd::Unconfirmed;
            }
        }
        ResponseEnd::Complete
    }

    fn on_data(
        &mut self,
        last_data_at: MonotonicInstant,
        now: MonotonicInstant,
        source: &ResponseSource,
    ) {
        if self.splitter.count() > 0 {
            METRICS.event_interval_seconds.record(now.since(last_data_at).as_secs_f64(), &[]);
        }
        self.relay.on_first_byte(&self.admitted, source, &mut self.request_log);
    }

    /// How long to wait for the next event before the stream is moved to another upstream.
    fn max_event_silence(&self) -> Duration {
        let moves = self.admitted.route.repeat.allows_retry();
        if moves { self.event_silence() } else { Duration::MAX }
    }

    /// Longest time without an event from an upstream in good order.
    fn event_silence(&self) -> Duration {
        let route = &self.admitted.route;
        let silence = match route.target_event_interval {
            Some(interval) if self.splitter.count() > 0 => interval * EVENT_INTERVAL_FACTOR_MAX,
            _ => first_event_silence(route),
        };
        silence.max(EVENT_SILENCE_MIN)
    }

    /// Counts a failure of an upstream that was sending bytes but no events when the caller left or
    /// the deadline passed. Mere silence may be a long queue.
    fn on_interrupted(&self, upstream_response: &UpstreamResponse, now: MonotonicInstant) {
        let idle = now.since(self.progress_at) >= self.event_silence();
        if idle && upstream_response.pooled.received_bytes() > self.progress_bytes {
            upstream_response.source.on_result(now, UpstreamResult::Failed);
        }
    }

    /// Once events have been passed on, only the version that wrote them may go on.
    fn keep_version(&mut self, upstream_response: &UpstreamResponse) {
        if self.past.versions.is_any() {
            let version = upstream_response.source.version().cloned();
            self.past.versions = PermittedVersions::Only(version);
        }
    }

    /// Resumes the stream at another upstream. Returns `None` if there is none that does.
    async fn resume(&mut self) -> Option<UpstreamResponse> {
        self.splitter.drop_partial();
        self.is_resumed |= self.splitter.delivered() > 0;
        loop {
            let upstream_response = self.send_again().await?;
            let status = upstream_response.head.status;
            if status == StatusCode::OK && self.is_same_content(&upstream_response) {
                return Some(upstream_response);
            }
            self.request_log.cause = format!("resume_status_{}", status.as_u16());
            let now = self.relay.0.clock.now();
            upstream_response.source.on_result(now, UpstreamResult::Failed);
            if !self.may_resume() {
                return None;
            }
        }
    }

    /// Whether a response may go on with the stream by its content type and encoding.
    fn is_same_content(&self, upstream_response: &UpstreamResponse) -> bool {
        let headers = &upstream_response.head.headers;
        let content_type = headers.get(CONTENT_TYPE);
        let is_events = content_type.is_none_or(|content_type| {
            content_type.as_bytes().starts_with(EVENT_STREAM.as_bytes())
                || self.content_type.as_ref() == Some(content_type)
        });
        is_events && !headers.contains_key(CONTENT_ENCODING)
    }

    /// Sends the request again, to go on after the last complete event.
    async fn send_again(&mut self) -> Option<UpstreamResponse> {
        let last_event_id = self.splitter.last_id().map(str::to_owned);
        log::info!(
            "event=stream_resumed id={} upstream={} version={} cause={} after={last_event_id:?}",
            self.request_log.id,
            self.request_log.upstream,
            self.request_log.version,
            self.request_log.cause,
        );
        let (relay, admitted, buffered) =
            (self.relay.clone(), self.admitted.clone(), &self.buffered);
        let attempt =
            Attempt { admitted: &admitted, buffered, last_event_id: last_event_id.as_deref() };
        let sending = relay.send(attempt, &mut self.past, &mut self.request_log);
        let result = tokio::select! {
            result = sending => result,
            () = self.sender.closed() => {
                self.request_log.outcome = Outcome::CallerLeft;
                return None;
            }
        };
        if let Err(refusal) = &result {
            self.request_log.cause = format!("resume_{refusal}");
        }
        result.ok()
    }

    async fn finish(mut self, upstream_response: UpstreamResponse, now: MonotonicInstant) {
        let UpstreamResponse { keep_alive, reusable, pooled, source, .. } = upstream_response;
        source.on_result(now, UpstreamResult::Answered);
        let is_own = source.assignment().is_some();
        drop(source);
        if self.is_beginning() && is_own {
            self.relay.0.crashes.on_sound(now, &self.admitted.work_keys);
        }
        if reusable {
            pooled.release(now, keep_alive);
        }
        let comments = self.splitter.take_partial();
        if !comments.is_empty() && self.sender.send(comments).await.is_err() {
            self.request_log.outcome = Outcome::CallerLeft;
            return;
        }
        self.request_log.outcome = Outcome::Answered;
        self.sender.finish().await;
    }
}
