//! The log line and the metrics of each request, written when it ends in whatever way.

use crate::assignment::Assignment;
use crate::handoff::HandoffReply;
use crate::handoff_server::AcceptedHandoff;
use crate::limits::LimitUse;
use crate::metrics::METRICS;
use crate::request::Refusal;
use crate::request_phases::{RequestPhase, RequestPhases};
use crate::response_end::{Framing, ResponseEnd};
use opentelemetry::KeyValue;
use spindle_types::{Clock, Instance, MonotonicInstant, SoftwareVersion};
use std::fmt;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// How a request ended. The names of the variants are written to logs and metrics.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The caller got a complete response.
    Answered,
    /// The caller disconnected.
    CallerLeft,
    /// The response was cut off before its end.
    BrokenOff,
    /// The request was refused, or its response lost.
    Refused(Refusal),
}

/// Data for the log line and the metrics of one request, which are written when it is dropped. Text
/// fields hold `-` until they are known.
#[derive(Debug)]
pub(crate) struct RequestLog<K: Clock> {
    clock: K,
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) team: String,
    pub(crate) kind: &'static str,
    pub(crate) service: String,
    pub(crate) config_version: u64,
    pub(crate) upstream: String,
    /// Version of that upstream.
    pub(crate) version: String,
    /// Attempt whose stream the caller takes up.
    pub(crate) resumes: Option<String>,
    /// Where the version of that stream is known from.
    pub(crate) version_source: &'static str,
    /// Limit of that upstream, if it has named one.
    pub(crate) limit: Option<LimitUse>,
    pub(crate) sends: u32,
    pub(crate) status: u16,
    pub(crate) events: u64,
    /// How the end of the last response was marked, and how it ended.
    response_end: Option<(Framing, ResponseEnd)>,
    pub(crate) outcome: Outcome,
    pub(crate) cause: String,
    /// Daemon through which the request was sent.
    helper: Option<Instance>,
    /// Daemon that the caller connected to, if it handed the request over to this one.
    entry: Option<Instance>,
    accepted: Option<AcceptedHandoff>,
    received_at: MonotonicInstant,
    first_byte_at: Option<MonotonicInstant>,
    phases: RequestPhases,
}

impl<K: Clock> RequestLog<K> {
    /// Creates the log entry of a new request. Its outcome is [`Outcome::CallerLeft`] until it is
    /// set: if the caller disconnects, the future that serves the request is simply dropped.
    pub(crate) fn new(clock: K, id: &str, received_at: MonotonicInstant) -> Self {
        Self {
            clock,
            id: id.to_owned(),
            route: "-".to_owned(),
            team: "-".to_owned(),
            kind: "-",
            service: "-".to_owned(),
            config_version: 0,
            upstream: "-".to_owned(),
            version: "-".to_owned(),
            resumes: None,
            version_source: "-",
            limit: None,
            sends: 0,
            status: 0,
            events: 0,
            response_end: None,
            outcome: Outcome::CallerLeft,
            cause: "-".to_owned(),
            helper: None,
            entry: None,
            accepted: None,
            received_at,
            first_byte_at: None,
            phases: RequestPhases::new(received_at),
        }
    }

    /// Records the upstream that the request is assigned to.
    pub(crate) fn on_assigned(&mut self, now: MonotonicInstant, assignment: &Assignment) {
        let version = assignment.version.as_ref().map_or("-", SoftwareVersion::as_str);
        version.clone_into(&mut self.version);
        self.upstream = assignment.upstream_id.instance.to_string();
        self.limit = assignment.limit_use(now);
        self.phases.enter(now, RequestPhase::Connect);
    }

    /// Records that a connection to the upstream is available.
    pub(crate) fn on_connected(&mut self, now: MonotonicInstant) {
        self.phases.enter(now, RequestPhase::Upstream);
    }

    /// Records that an attempt ended without the head of a response.
    pub(crate) fn on_attempt_failed(&mut self, now: MonotonicInstant) {
        self.phases.enter(now, RequestPhase::Admit);
    }

    /// Records that another daemon has handed the request over.
    pub(crate) fn on_accepted(&mut self, entry: &Instance, accepted: AcceptedHandoff) {
        self.entry = Some(entry.clone());
        self.accepted = Some(accepted);
    }

    /// Records that the request is handed over to another daemon.
    pub(crate) fn on_handed_over(&mut self, now: MonotonicInstant, helper: &Instance) {
        self.helper = Some(helper.clone());
        self.phases.enter(now, RequestPhase::Upstream);
    }

    /// Records what that daemon tells of the upstream, after `sends` attempts reached one.
    pub(crate) fn on_handoff_reply(&mut self, reply: &HandoffReply, sends: u32) {
        self.upstream.clone_from(&reply.upstream);
        let version = reply.version.as_ref().map_or("-", SoftwareVersion::as_str);
        version.clone_into(&mut self.version);
        self.limit = None;
        self.sends = sends;
    }

    /// Whether a first byte of the response has arrived.
    pub(crate) const fn has_first_byte(&self) -> bool {
        self.first_byte_at.is_some()
    }

    /// The time from the request to the first byte of its response; zero before it.
    pub(crate) fn time_to_first_byte(&self) -> Duration {
        self.first_byte_at.map_or(Duration::ZERO, |at| at.since(self.received_at))
    }

    /// Records the time of the first byte of the response. Returns whether this was the first call.
    pub(crate) fn on_first_byte(&mut self, now: MonotonicInstant) -> bool {
        let first = self.first_byte_at.is_none();
        if first {
            self.first_byte_at = Some(now);
            self.phases.finish(now);
        }
        first
    }

    /// Records how the response of an upstream ended. `detail` tells what is not as it should be.
    pub(crate) fn on_response_end(&mut self, framing: Framing, end: ResponseEnd, detail: &str) {
        self.response_end = Some((framing, end));
        let (framing, ended): (&'static str, &'static str) = (framing.into(), end.into());
        let labels = [KeyValue::new("framing", framing), KeyValue::new("ended", ended)];
        METRICS.response_ends.add(1, &labels);
        if end != ResponseEnd::Complete || !detail.is_empty() {
            log::info!(
                "event=response_ended id={} upstream={} framing={framing} ended={ended} events={} \
                 detail={detail:?}",
                self.id,
                self.upstream,
                self.events,
            );
        }
    }

    /// Records and logs that the request is sent to another upstream.
    pub(crate) fn on_sent_again(&mut self, now: MonotonicInstant) {
        self.on_attempt_failed(now);
        log::info!(
            "event=sent_again id={} upstream={} cause={} sends={}",
            self.id,
            self.upstream,
            self.cause,
            self.sends,
        );
    }
}

impl<K: Clock> fmt::Display for RequestLog<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |span: Duration| span.as_millis();
        let now = self.clock.now();
        let phases = self.phases.times(now);
        let outcome = match self.outcome {
            Outcome::Refused(refusal) => <&'static str>::from(refusal),
            other => <&'static str>::from(other),
        };
        write!(
            f,
            "event=request id={} outcome={outcome} status={} route={} kind={} team={} service={} \
             upstream={} version={} sends={} events={} config={} first_ms={} admit_ms={} \
             connect_ms={} upstream_ms={} whole_ms={} cause={}",
            self.id,
            self.status,
            self.route,
            self.kind,
            self.team,
            self.service,
            self.upstream,
            self.version,
            self.sends,
            self.events,
            self.config_version,
            self.first_byte_at.map_or(-1, |at| millis(at.since(self.received_at)) as i64),
            millis(phases.admit),
            millis(phases.connect),
            millis(phases.upstream),
            millis(now.since(self.received_at)),
            self.cause,
        )?;
        if let Some((framing, end)) = self.response_end {
            let (framing, ended): (&'static str, &'static str) = (framing.into(), end.into());
            write!(f, " framing={framing} ended={ended}")?;
        }
        if let Some(helper) = &self.helper {
            write!(f, " helper={helper}")?;
        }
        if let Some(entry) = &self.entry {
            write!(f, " entry={entry}")?;
        }
        if let Some(resumes) = &self.resumes {
            write!(f, " resumes={resumes:?} version_source={}", self.version_source)?;
        }
        match &self.limit {
            Some(limit) => write!(f, " {limit}"),
            None => Ok(()),
        }
    }
}

impl<K: Clock> Drop for RequestLog<K> {
    fn drop(&mut self) {
        match self.outcome {
            Outcome::Answered => log::info!("{self}"),
            _ => log::warn!("{self}"),
        }
        let outcome = match self.outcome {
            Outcome::Refused(refusal) => <&'static str>::from(refusal),
            other => <&'static str>::from(other),
        };
        let labels = [
            KeyValue::new("kind", self.kind),
            KeyValue::new("team", self.team.clone()),
            KeyValue::new("outcome", outcome),
        ];
        METRICS.requests.add(1, &labels);
        let seconds = |at: MonotonicInstant| at.since(self.received_at).as_secs_f64();
        if let Some(first) = self.first_byte_at {
            METRICS.first_byte_seconds.record(seconds(first), &labels);
        }
        METRICS.total_seconds.record(seconds(self.clock.now()), &labels);
    }
}
