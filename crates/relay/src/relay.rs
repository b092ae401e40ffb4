//! The path of one request: admission, choice of an upstream, attempts and retries, and delivery of
//! the response.

use crate::admission::AdmittedRequest;
use crate::assignment::{Assignment, UpstreamResult};
use crate::attempt::{Attempt, AttemptOutcome, silence_limit};
use crate::balancer::{Balancer, Restrictions};
use crate::config::ActiveConfig;
use crate::config_versions::ConfigVersions;
use crate::crash_keeper::CrashKeeper;
use crate::handoff::{Handoff, HandoffReply};
use crate::handoff_server::AcceptedHandoff;
use crate::helpers::Helpers;
use crate::metrics::METRICS;
use crate::next_attempt::NextAttempt;
use crate::protocol::UpstreamProtocol;
use crate::rank_room::RankRoom;
use crate::request::{BufferedRequest, Inbound, Refusal};
use crate::request_log::{Outcome, RequestLog};
use crate::response_body::{BodyMemory, PartialBody};
use crate::response_end::ResponseEnd;
use crate::rollout_watch::{Eligible, RolloutWatch};
use crate::stream;
use crate::stream_keeper::StreamKeeper;
use crate::upstream_response::{ResponseSource, UpstreamResponse};
use crate::usage::UsageTracker;
use bytes::Bytes;
use http::{Response, Version, header, response};
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use rand::RngExt;
use spindle_http::{Body, Drain, ReadError};
use spindle_policy::stream_versions::PermittedVersions;
use spindle_policy::upstream_registry::UpstreamKey;
use spindle_service::headers::remove_hop_by_hop;
use spindle_types::{Clock, Instance, MonotonicInstant, SoftwareVersion};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::time::Duration;
use tokio::sync::watch;

/// A request is sent only if more than this is left until its deadline: one round trip between data
/// centres.
pub(crate) const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// Shortest delay after which a refused request may be retried. Capacity frees up by then: requests
/// at an engine end every few hundred milliseconds.
pub(crate) const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);

/// Upper bound of the random jitter added to the retry delay, so that refused requests are not
/// retried all at once.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(500);

/// How long a request that was handed over waits for the configuration by which it was admitted.
const HANDOFF_CONFIG_WAIT: Duration = Duration::from_millis(250);

/// Dependencies and shared state of a [`Relay`].
#[derive(Debug)]
pub struct RelayParts<P, K> {
    /// Source of monotonic time.
    pub clock: K,
    /// Translation to and from the headers of the upstreams.
    pub protocol: P,
    /// Known upstreams and the load balancing among them.
    pub balancer: Balancer,
    /// Quotas, retry budgets and usage counts.
    pub usage: UsageTracker,
    /// Configuration in force.
    pub config: watch::Receiver<Arc<ActiveConfig>>,
    /// Whether the configuration in force can be the newest one. While it is false, no request is
    /// refused for a missing route or key, as a newer configuration may hold it.
    pub config_is_current: Arc<AtomicBool>,
    /// Versions of the configuration that this daemon has and has heard of.
    pub versions: ConfigVersions,
    /// Number of live daemons, which divide the connection limit of each upstream among them.
    pub daemon_count: Arc<AtomicU32>,
    /// Set shortly before the daemon shuts down: new streams are refused from then on.
    pub refuse_streams: Arc<AtomicBool>,
    /// Started at the end of the shutdown period: requests without a response are given up.
    pub give_up: Drain,
    /// Memory of the request bodies that are being read or held until their responses end.
    pub request_memory: BodyMemory,
    /// Memory of the response bodies that are being read or sent.
    pub body_memory: BodyMemory,
    /// Versions that streams were sent to.
    pub keeper: StreamKeeper,
    /// Crashes of upstreams and their causes.
    pub crashes: CrashKeeper,
    /// Daemons through which requests can be sent that have no way to the upstreams from here.
    pub helpers: Helpers,
    /// Rollouts as this daemon follows them.
    pub rollouts: RolloutWatch,
    /// Instance that the daemon runs on.
    pub instance: Instance,
    /// Admission of requests by their priority ranks.
    pub ranks: RankRoom,
}

/// The request path. Clones share all state.
#[derive(Debug)]
pub struct Relay<P, K>(pub(crate) Arc<RelayParts<P, K>>);

impl<P, K> Clone for Relay<P, K> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

/// Counts of the attempts of one request so far, and what is known of their effect.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Upstreams that the request has been assigned to.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Attempts that did not reach an upstream.
    pub(crate) unreached: usize,
    /// Time that these attempts took.
    pub(crate) unreached_time: Duration,
    /// Attempts that reached an upstream.
    pub(crate) reached: u32,
    /// Attempts that count against the route's limit.
    pub(crate) counted: u32,
    /// Attempts within the route's limit that are left to the daemon that handed the request over.
    pub(crate) reserved: u32,
    /// Whether an upstream may have executed the request.
    pub(crate) may_have_run: bool,
    /// Versions of the upstreams' software that may serve the next attempt.
    pub(crate) versions: PermittedVersions,
    /// Version that the stream was last sent to.
    pub(crate) recorded_version: Option<SoftwareVersion>,
    /// Daemons that the request was handed over to.
    pub(crate) helpers: Vec<SocketAddr>,
    /// Whether the request goes through another daemon, as it can't be sent from here.
    pub(crate) prefers_helper: bool,
    /// Whether no other daemon is left that may serve the request.
    pub(crate) helpers_exhausted: bool,
    /// Whether it has been sent to the target of a rollout's trial.
    pub(crate) left_trial: bool,
}

impl AttemptHistory {
    /// Records an attempt that did not reach an upstream within `time`.
    fn on_unreached(&mut self, time: Duration) {
        self.unreached += 1;
        self.unreached_time += time;
    }

    /// Attempts that a helper leaves to this daemon: one, if there are two or more.
    pub(crate) fn reserved_for_entry(&self, attempts_max: u32) -> u32 {
        u32::from(attempts_max.saturating_sub(self.counted) >= 2)
    }

    /// Records that a helper has not answered: it may have made all attempts that were not reserved.
    pub(crate) fn on_helper_lost(&mut self, attempts_max: u32) {
        self.counted =
            self.counted.max(attempts_max.saturating_sub(self.reserved_for_entry(attempts_max)));
    }

    /// Whether another attempt is within the route's limit.
    pub(crate) const fn has_attempts(&self, attempts_max: u32) -> bool {
        self.counted + self.reserved < attempts_max
    }

    /// Which upstreams the next attempt may use.
    pub(crate) fn restrictions<'a>(&'a self, eligible: &'a Eligible) -> Restrictions<'a> {
        Restrictions { tried: &self.tried, versions: &self.versions, eligible }
    }
}

impl<P: UpstreamProtocol, K: Clock> Relay<P, K> {
    /// Creates a relay from its dependencies.
    pub fn new(parts: RelayParts<P, K>) -> Self {
        Self(Arc::new(parts))
    }

    /// Serves a request. Dropping the future closes the connection to the upstream, which cancels
    /// the work there.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no response of an upstream can be returned.
    pub async fn serve(&self, inbound: Inbound, body: Incoming) -> Result<Response<Body>, Refusal> {
        let mut request_log =
            RequestLog::new(self.0.clock.clone(), &inbound.id, inbound.received_at);
        let mut past = AttemptHistory::default();
        let result = async {
            let limits = self.0.config.borrow().limits;
            let body = inbound.read_body(body, &limits, &self.0.request_memory).await?;
            let buffered = BufferedRequest { inbound, body };
            self.serve_buffered(buffered, None, &mut past, &mut request_log).await
        };
        let result = self.unless_given_up(result).await;
        self.respond(result, past, request_log)
    }

    /// Serves a request that another daemon has handed over. Also returns what that daemon is told.
    pub(crate) async fn serve_handed_over(
        &self,
        inbound: Inbound,
        body: Bytes,
        handoff: &Handoff,
        accepted: AcceptedHandoff,
    ) -> (Result<Response<Body>, Refusal>, HandoffReply) {
        let mut request_log =
            RequestLog::new(self.0.clock.clone(), &inbound.id, inbound.received_at);
        request_log.on_accepted(&handoff.entry, accepted);
        let mut past = AttemptHistory {
            counted: handoff.attempts,
            reserved: handoff.reserved,
            left_trial: handoff.left_trial,
            ..AttemptHistory::default()
        };
        let buffered = BufferedRequest { inbound, body };
        self.0.versions.on_heard(self.0.clock.now(), handoff.config, "handoff");
        let newer = self.0.versions.wait_for(handoff.config);
        // Afterwards, admission checks whether the version has arrived.
        let _ = tokio::time::timeout(HANDOFF_CONFIG_WAIT, newer).await;
        let result = self.serve_buffered(buffered, Some(handoff), &mut past, &mut request_log);
        let result = self.unless_given_up(result).await;
        let version = match &result {
            Ok(ServeResult::Stream(response, ..)) => {
                let version = response.source.version().cloned();
                // The other daemon is told this version, so it must not change before the first
                // event either.
                past.versions = PermittedVersions::Only(version.clone());
                version
            }
            _ => None,
        };
        let reply = HandoffReply {
            refusal: None,
            upstream: request_log.upstream.clone(),
            version,
            config: request_log.config_version,
            sends: past.reached,
            attempts: past.counted,
        };
        (self.respond(result, past, request_log), reply)
    }

    async fn unless_given_up(
        &self,
        serving: impl Future<Output = Result<ServeResult, Refusal>>,
    ) -> Result<ServeResult, Refusal> {
        let mut give_up = self.0.give_up.clone();
        tokio::select! {
            biased;
            result = serving => result,
            () = give_up.wait() => Err(Refusal::Lost),
        }
    }

    fn respond(
        &self,
        result: Result<ServeResult, Refusal>,
        past: AttemptHistory,
        mut request_log: RequestLog<K>,
    ) -> Result<Response<Body>, Refusal> {
        match result {
            Ok(ServeResult::Complete(response)) => {
                request_log.outcome = Outcome::Answered;
                Ok(response)
            }
            Ok(ServeResult::Stream(response, admitted, buffered)) => {
                let relay = self.clone();
                Ok(stream::start(relay, request_log, *response, *admitted, *buffered, past))
            }
            Err(refusal) => {
                request_log.outcome = Outcome::Refused(refusal);
                Err(refusal)
            }
        }
    }

    /// Serves a request whose body has been read.
    async fn serve_buffered(
        &self,
        buffered: BufferedRequest,
        handoff: Option<&Handoff>,
        past: &mut AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> Result<ServeResult, Refusal> {
        let inbound = &buffered.inbound;
        request_log.resumes.clone_from(&inbound.resumes);
        // Read after the body: a slow upload must not be admitted under a configuration that has
        // been replaced meanwhile.
        let config = self.0.config.borrow().clone();
        let mut admitted = self.admit(inbound, config, handoff, request_log).await?;
        let work_keys = buffered.work_keys(&admitted.service, admitted.team.as_ref());
        admitted.work_keys = work_keys.into();
        let known = handoff.map(|handoff| &handoff.versions).filter(|known| !known.is_any());
        let versions = match known {
            Some(known) => Ok(known.clone()),
            None => self.permitted_versions(&admitted, inbound, request_log).await,
        };
        let is_new = handoff.is_none() && inbound.last_event_id.is_none();
        let permitted = versions.and_then(|versions| {
            if is_new {
                self.admit_by_rank(&mut admitted, &buffered, request_log)?;
            }
            Ok(versions)
        });
        let result = match permitted {
            Ok(versions) => {
                past.versions = versions;
                self.forward(&admitted, &buffered, past, request_log).await
            }
            Err(refusal) => Err(refusal),
        };
        if matches!(result, Err(Refusal::Overloaded { .. })) && has_scale(&admitted) {
            self.0.usage.on_first_byte(&admitted.service, true);
        }
        if !past.may_have_run
            && let (Err(_), Some(team)) = (&result, &admitted.team)
        {
            self.0.usage.refund(self.0.clock.now(), team, admitted.cost);
        }
        match result? {
            ForwardResult::Complete(response) => Ok(ServeResult::Complete(response)),
            ForwardResult::Stream(response) => {
                Ok(ServeResult::Stream(response, Box::new(admitted), Box::new(buffered)))
            }
        }
    }

    /// Sends a request, with retries, until there is a response to return or no retry is allowed.
    async fn forward(
        &self,
        admitted: &AdmittedRequest,
        buffered: &BufferedRequest,
        past: &mut AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> Result<ForwardResult, Refusal> {
        loop {
            let attempt = Attempt { admitted, buffered, last_event_id: None };
            let upstream_response = self.send(attempt, past, request_log).await?;
            let now = self.0.clock.now();
            request_log.status = upstream_response.head.status.as_u16();
            let failed = upstream_response.head.status.is_server_error();
            // A helper has itself sent the request again as far as it was allowed.
            let may_repeat = admitted.route.repeat.allows_retry();
            if failed && may_repeat && self.may_retry(admitted, past) {
                upstream_response.source.on_result(now, UpstreamResult::Failed);
                self.on_first_byte(admitted, &upstream_response.source, request_log);
                request_log.cause = format!("status_{}", request_log.status);
                continue;
            }
            if admitted.route.repeat.is_stream() && upstream_response.head.status.is_success() {
                return Ok(ForwardResult::Stream(Box::new(upstream_response)));
            }
            let request = (admitted, buffered);
            match self.read_response(request, upstream_response, past, request_log).await {
                Ok(response) => return Ok(ForwardResult::Complete(response)),
                Err(ResponseEnd::Silent) => {}
                Err(_)
                    if admitted.route.repeat.allows_retry() && self.may_retry(admitted, past) => {}
                Err(_) => return Err(Refusal::Lost),
            }
        }
    }

    /// Whether a request that has reached an upstream may be sent again: the route's limit, the
    /// time left and the retry budget must allow it. Takes a retry from the budget if so.
    pub(crate) fn may_retry(&self, admitted: &AdmittedRequest, past: &AttemptHistory) -> bool {
        let now = self.0.clock.now();
        past.has_attempts(admitted.route.attempts_max)
            && admitted.deadline.since(now) > TIME_LEFT_MIN
            && self.0.usage.take_retry(now, &admitted.service)
    }

    /// Sends a request to one upstream after another until the head of a response arrives. A stream
    /// is resumed after the event that `attempt` names.
    pub(crate) async fn send(
        &self,
        attempt: Attempt<'_>,
        past: &mut AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> Result<UpstreamResponse, Refusal> {
        let Attempt { admitted, buffered, .. } = attempt;
        loop {
            let mut assignment = match self.next_attempt(attempt, past, request_log).await? {
                NextAttempt::Upstream(assignment) => *assignment,
                NextAttempt::Helper(upstream_response) => return Ok(*upstream_response),
            };
            let now = self.0.clock.now();
            self.on_assigned(now, admitted, past, &mut assignment);
            self.record_version(admitted, &buffered.inbound, past, assignment.version.as_ref());
            request_log.on_assigned(now, &assignment);
            let assigned_at = assignment.assigned_at;
            let sent = self.send_to(assignment, attempt, past, request_log).await;
            count_send(&request_log.service, &sent);
            request_log.sends = past.reached;
            match sent {
                AttemptOutcome::Answer(upstream_response) => {
                    past.may_have_run = true;
                    return Ok(*upstream_response);
                }
                AttemptOutcome::Unreached(cause) => {
                    past.on_unreached(self.0.clock.now().since(assigned_at));
                    request_log.cause = format!("upstream_unreached:{cause}");
                }
                AttemptOutcome::Limited => {
                    past.on_unreached(Duration::ZERO);
                    request_log.cause = "upstream_limited".to_owned();
                }
                AttemptOutcome::Refused => {
                    request_log.cause = "upstream_full".to_owned();
                    if !self.may_try_another(attempt, past) || !self.may_retry(admitted, past) {
                        return Err(refuse(past, Refusal::Overloaded { retry_after: backoff() }));
                    }
                }
                AttemptOutcome::WrongUpstream => {
                    request_log.cause = "upstream_replaced".to_owned();
                    if !self.may_retry(admitted, past) {
                        return Err(refuse(past, Refusal::NoUpstream { retry_after: backoff() }));
                    }
                }
                AttemptOutcome::Lost => {
                    past.may_have_run = true;
                    request_log.cause = "answer_lost".to_owned();
                    if !admitted.route.repeat.allows_retry() || !self.may_retry(admitted, past) {
                        return Err(Refusal::Lost);
                    }
                }
                AttemptOutcome::Abandoned => {
                    past.may_have_run = true;
                    request_log.cause = "upstream_silent".to_owned();
                }
                AttemptOutcome::TimedOut => {
                    past.may_have_run = true;
                    return Err(Refusal::TimedOut);
                }
            }
            request_log.on_sent_again(self.0.clock.now());
        }
    }

    /// Records that a request is assigned to an upstream.
    fn on_assigned(
        &self,
        now: MonotonicInstant,
        admitted: &AdmittedRequest,
        past: &mut AttemptHistory,
        assignment: &mut Assignment,
    ) {
        let (work, is_first) = ((&admitted.service, &admitted.route), past.tried.is_empty());
        assignment.observation = self.0.rollouts.begin(now, work, assignment, is_first);
        past.left_trial |= assignment.observation.as_ref().is_some_and(|seen| seen.is_trial);
        past.tried.push(assignment.key);
    }

    /// Reads a response that is not a stream to its end.
    ///
    /// # Errors
    ///
    /// It breaks off, is too large or exceeds the deadline, or takes too long and a retry has been
    /// taken from the budget.
    async fn read_response(
        &self,
        (admitted, buffered): (&AdmittedRequest, &BufferedRequest),
        upstream_response: UpstreamResponse,
        past: &AttemptHistory,
        request_log: &mut RequestLog<K>,
    ) -> Result<Response<Body>, ResponseEnd> {
        let UpstreamResponse { head, framing, mut body, keep_alive, reusable, pooled, mut source } =
            upstream_response;
        let now = self.0.clock.now();
        source.on_whole_response();
        source.on_first_byte(now);
        self.on_first_byte(admitted, &source, request_log);
        let limit = source.patience(silence_limit(&admitted.route));
        let mut read = self.read_whole(admitted, &mut body, limit, past).await;
        if read.is_ok() && source.is_cut_off(framing).await {
            read = Err((ResponseEnd::Broken, "upstream_gone".to_owned()));
        }
        let now = self.0.clock.now();
        let content = match read {
            Ok(content) => content,
            Err((end, detail)) => {
                request_log.on_response_end(framing, end, &detail);
                request_log.cause = "answer_broke_off".to_owned();
                source.on_result(now, UpstreamResult::Failed);
                if let Some(assignment) = source.assignment()
                    && end == ResponseEnd::Broken
                {
                    self.on_lost_beginning(assignment, admitted, buffered).await;
                }
                return Err(end);
            }
        };
        request_log.on_response_end(framing, ResponseEnd::Complete, "");
        if source.assignment().is_some() {
            self.0.crashes.on_sound(now, &admitted.work_keys);
        }
        let failed = head.status.is_server_error();
        let result = if failed { UpstreamResult::Failed } else { UpstreamResult::Answered };
        source.on_result(now, result);
        if reusable {
            pooled.release(now, keep_alive);
        }
        Ok(Response::from_parts(response_head(head), Body::Whole(content)))
    }

    /// Reads a body within the deadline, or within `limit` if the request may be sent to another
    /// upstream.
    async fn read_whole(
        &self,
        admitted: &AdmittedRequest,
        body: &mut Incoming,
        limit: Duration,
        past: &AttemptHistory,
    ) -> Result<Bytes, (ResponseEnd, String)> {
        let describe = |error: ReadError| (ResponseEnd::of_read(&error), error.to_string());
        let left = || admitted.deadline.since(self.0.clock.now());
        let mut partial = PartialBody::new(&self.0.body_memory);
        let reading = partial.read_rest(body);
        if let Ok(read) = tokio::time::timeout(limit.min(left()), reading).await {
            return read.map_err(describe);
        }
        if limit < left() && self.may_switch_upstream(admitted, past) {
            return Err((ResponseEnd::Silent, format!("body not complete within {limit:?}")));
        }
        match tokio::time::timeout(left(), partial.read_rest(body)).await {
            Ok(read) => read.map_err(describe),
            Err(_) => Err((ResponseEnd::Expired, "deadline passed".to_owned())),
        }
    }

    /// Records the first byte of the response, at which the request counts as usage of its team.
    /// A helper has counted its own. Later calls have no effect.
    pub(crate) fn on_first_byte(
        &self,
        admitted: &AdmittedRequest,
        source: &ResponseSource,
        request_log: &mut RequestLog<K>,
    ) {
        if let Some(ranked) = &admitted.ranked {
            ranked.on_first_byte(self.0.clock.now());
        }
        let now = self.0.clock.now();
        if !request_log.on_first_byte(now) || source.assignment().is_none() {
            return;
        }
        if has_scale(admitted) {
            let is_late = request_log.time_to_first_byte() > admitted.route.target_latency;
            self.0.usage.on_first_byte(&admitted.service, is_late);
        }
        if !admitted.is_counted
            && let Some(team) = &admitted.team
        {
            self.0.usage.on_response_start(now, team);
        }
    }
}

/// Whether instances of a request's service can be ordered.
fn has_scale(admitted: &AdmittedRequest) -> bool {
    admitted.config.services.get(&admitted.service).is_some_and(|spec| spec.scale.is_some())
}

/// Result of forwarding a request: a complete response, or a stream whose head has been read.
enum ForwardResult {
    Complete(Response<Body>),
    Stream(Box<UpstreamResponse>),
}

/// Result of serving a request: a complete response, or a stream with the state for resuming it.
enum ServeResult {
    Complete(Response<Body>),
    Stream(Box<UpstreamResponse>, Box<AdmittedRequest>, Box<BufferedRequest>),
}

/// Converts the head of an upstream's response to that for the caller. Framing and version belong to
/// one connection: with the version of an upstream of HTTP/1.0, the caller would get no chunks, and
/// take a stream that is cut off for complete.
pub(crate) fn response_head(mut head: response::Parts) -> response::Parts {
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    head.version = Version::HTTP_11;
    head
}

fn count_send(service: &str, outcome: &AttemptOutcome) {
    let ended = KeyValue::new("ended", <&'static str>::from(outcome));
    METRICS.sends.add(1, &[KeyValue::new("service", service.to_owned()), ended]);
}

/// Turns `refusal` into one that does not claim that the request has not run, if it may have run.
pub(crate) fn refuse(past: &AttemptHistory, refusal: Refusal) -> Refusal {
    match (past.may_have_run, refusal) {
        (false, refusal) => refusal,
        (true, Refusal::Expired) => Refusal::TimedOut,
        (true, _) => Refusal::Lost,
    }
}

/// Delay after which a refused request may be retried, with jitter.
pub(crate) fn backoff() -> Duration {
    RETRY_AFTER_MIN + RETRY_AFTER_JITTER.mul_f64(rand::rng().random::<f64>())
}
