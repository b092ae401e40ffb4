//! Measures one generation: tells the router its progress, and admission its latency and tokens.

use crate::admission::Permit;
use crate::upstreams::Upstreams;
use spindle_policy::limit::LatencyOutcome;
use spindle_policy::routing::{AttemptKey, Demand};
use spindle_policy::service_time::{self, Stage};
use spindle_types::MonotonicInstant;
use std::time::Duration;

/// Tokens between two reports of progress.
const REPORT_TOKENS: u32 = 32;

/// The attempt that is measured.
#[derive(Clone, Copy, Debug)]
struct Measured {
    key: AttemptKey,
    dispatched: MonotonicInstant,
    base: u32,
    reported: Option<(MonotonicInstant, u32)>,
}

/// Measures one generation over its attempts.
#[derive(Debug)]
pub(crate) struct Meter {
    permit: Option<Permit>,
    upstreams: Upstreams,
    first_max: Duration,
    interval_max: Duration,
    charged: u32,
    attempt: Option<Measured>,
}

impl Meter {
    /// A meter for a demand; computing its prompt alone takes `prefill`, which does not count as
    /// slow.
    pub(crate) fn new(
        permit: Option<Permit>,
        upstreams: Upstreams,
        demand: &Demand,
        prefill: Duration,
    ) -> Self {
        Self {
            permit,
            upstreams,
            first_max: demand.latency_target.first_token.get() + prefill,
            interval_max: demand.latency_target.token_interval.get(),
            charged: 0,
            attempt: None,
        }
    }

    /// The permit under which the generation runs; none if it was admitted at another daemon.
    pub(crate) const fn permit(&self) -> Option<&Permit> {
        self.permit.as_ref()
    }

    /// Starts to measure an attempt that goes on after `length` tokens.
    pub(crate) fn on_dispatch(&mut self, now: MonotonicInstant, key: AttemptKey, length: u32) {
        self.attempt = Some(Measured { key, dispatched: now, base: length, reported: None });
    }

    /// Records that the answer has a length. Does nothing until enough is new to be reported.
    pub(crate) fn on_length(&mut self, now: MonotonicInstant, length: u32) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if length <= attempt.base {
            return;
        }
        let measured = match attempt.reported {
            None => judge(Stage::First, now.since(attempt.dispatched), self.first_max),
            Some((_, reported)) if length - reported < REPORT_TOKENS => return,
            Some((at, reported)) => {
                judge(Stage::Interval, now.since(at) / (length - reported), self.interval_max)
            }
        };
        attempt.reported = Some((now, length));
        if let Some(permit) = &self.permit {
            permit.measured(measured);
        }
        self.upstreams.progress(attempt.key, length - attempt.base);
        self.charge(length);
    }

    /// Records that the answer is whole.
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

fn judge(stage: Stage, took: Duration, max: Duration) -> service_time::Measurement {
    let latency = if took <= max { LatencyOutcome::Met } else { LatencyOutcome::Missed };
    service_time::Measurement { stage, duration: took, latency }
}
