//! Measures one generation. Reports its progress to the router, and its latency and tokens to
//! admission.

use crate::admission::Permit;
use crate::upstreams::Upstreams;
use spindle_policy::limit::LatencyOutcome;
use spindle_policy::routing::{AttemptKey, Demand};
use spindle_policy::service_time::{self, Stage};
use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The number of tokens after which progress is reported again.
const REPORT_TOKENS: u32 = 32;

/// The current attempt. `start_length` is the number of tokens that earlier attempts delivered, and
/// `reported` the instant and the length of the answer at the last report.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    key: AttemptKey,
    dispatched: MonotonicInstant,
    start_length: u32,
    reported: Option<(MonotonicInstant, u32)>,
}

/// Measures one generation across its attempts at different upstreams.
#[derive(Debug)]
pub(crate) struct Meter {
    permit: Option<Permit>,
    upstreams: Upstreams,
    first_token_max: Duration,
    token_interval_max: Duration,
    charged: u32,
    attempt: Option<Attempt>,
}

impl Meter {
    /// Creates a meter for a demand. `prefill` is the time that computing the prompt alone takes.
    /// It is added to the latency target of the first token, so that a long prompt doesn't count
    /// as slow.
    pub(crate) fn new(
        permit: Option<Permit>,
        upstreams: Upstreams,
        demand: &Demand,
        prefill: Duration,
    ) -> Self {
        Self {
            permit,
            upstreams,
            first_token_max: demand.latency_target.first_token.get() + prefill,
            token_interval_max: demand.latency_target.token_interval.get(),
            charged: 0,
            attempt: None,
        }
    }

    /// The admission permit of the generation; none if it was admitted by another daemon.
    pub(crate) const fn permit(&self) -> Option<&Permit> {
        self.permit.as_ref()
    }

    /// Starts to measure an attempt that continues the answer after `length` tokens.
    pub(crate) fn on_dispatch(&mut self, now: MonotonicInstant, key: AttemptKey, length: u32) {
        self.attempt = Some(Attempt { key, dispatched: now, start_length: length, reported: None });
    }

    /// Records the length of the answer in tokens. Reports progress with the first new length of an
    /// attempt and then after every `REPORT_TOKENS` tokens.
    pub(crate) fn on_length(&mut self, now: MonotonicInstant, length: u32) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if length <= attempt.start_length {
            return;
        }
        let measured = match attempt.reported {
            None => measurement(Stage::First, now.since(attempt.dispatched), self.first_token_max),
            Some((_, reported)) if length - reported < REPORT_TOKENS => return,
            Some((at, reported)) => measurement(
                Stage::Interval,
                now.since(at) / (length - reported),
                self.token_interval_max,
            ),
        };
        attempt.reported = Some((now, length));
        if let Some(permit) = &self.permit {
            permit.measured(measured);
        }
        self.upstreams.progress(attempt.key, length - attempt.start_length);
        self.charge(length);
    }

    /// Records that the answer is complete, with its length in tokens.
    pub(crate) fn on_finished(&mut self, length: u32) {
        self.charge(length);
        if let Some(permit) = &self.permit {
            permit.success();
        }
    }

    fn charge(&mut self, length: u32) {
        let new = length.saturating_sub(self.charged);
        if new > 0 {
            if let Some(permit) = &self.permit {
                permit.tokens(new);
            }
            self.charged = length;
        }
    }
}

fn measurement(stage: Stage, duration: Duration, max: Duration) -> service_time::Measurement {
    let latency = if duration <= max { LatencyOutcome::Met } else { LatencyOutcome::Missed };
    service_time::Measurement { stage, duration, latency }
}
