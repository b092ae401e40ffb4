//! What is told of a request in the log and the measures, when it ends in whatever way.

use crate::inbound::Refusal;
use crate::measures::MEASURES;
use opentelemetry::KeyValue;
use spindle_types::{Clock, MonotonicInstant};
use std::fmt;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// How a request ended.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The caller got a whole answer.
    Answered,
    /// The caller went away.
    CallerLeft,
    /// The answer broke off midway.
    BrokenOff,
    /// The request was turned down.
    Refused(Refusal),
}

/// What is known of a request so far; dropping it writes its line.
#[derive(Debug)]
pub(crate) struct Trail<K: Clock> {
    clock: K,
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) team: String,
    pub(crate) kind: &'static str,
    pub(crate) service: String,
    pub(crate) config: u64,
    pub(crate) upstream: String,
    pub(crate) sends: u32,
    pub(crate) status: u16,
    pub(crate) events: u64,
    pub(crate) outcome: Outcome,
    pub(crate) cause: String,
    began: MonotonicInstant,
    first: Option<MonotonicInstant>,
}

impl<K: Clock> Trail<K> {
    /// The trail of a request that has just come; it ends as left by its caller unless told
    /// otherwise.
    pub(crate) fn new(clock: K, id: &str, began: MonotonicInstant) -> Self {
        Self {
            clock,
            id: id.to_owned(),
            route: "-".to_owned(),
            team: "-".to_owned(),
            kind: "-",
            service: "-".to_owned(),
            config: 0,
            upstream: "-".to_owned(),
            sends: 0,
            status: 0,
            events: 0,
            outcome: Outcome::CallerLeft,
            cause: "-".to_owned(),
            began,
            first: None,
        }
    }

    /// Notes a byte of an answer; whether it was the first.
    pub(crate) const fn on_first(&mut self, now: MonotonicInstant) -> bool {
        let first = self.first.is_none();
        if first {
            self.first = Some(now);
        }
        first
    }
}

impl<K: Clock> fmt::Display for Trail<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |span: Duration| span.as_millis();
        let outcome = match self.outcome {
            Outcome::Refused(refusal) => <&'static str>::from(refusal),
            other => <&'static str>::from(other),
        };
        write!(
            f,
            "event=request id={} outcome={outcome} status={} route={} kind={} team={} service={} \
             upstream={} sends={} events={} config={} first_ms={} whole_ms={} cause={}",
            self.id,
            self.status,
            self.route,
            self.kind,
            self.team,
            self.service,
            self.upstream,
            self.sends,
            self.events,
            self.config,
            self.first.map_or(-1, |at| millis(at.since(self.began)) as i64),
            millis(self.clock.now().since(self.began)),
            self.cause,
        )
    }
}

impl<K: Clock> Drop for Trail<K> {
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
        MEASURES.requests.add(1, &labels);
        let seconds = |at: MonotonicInstant| at.since(self.began).as_secs_f64();
        if let Some(first) = self.first {
            MEASURES.first.record(seconds(first), &labels);
        }
        MEASURES.whole.record(seconds(self.clock.now()), &labels);
    }
}
