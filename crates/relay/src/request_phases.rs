//! How long a request spent in each phase until the first byte of its response.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// What a request without a first byte waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestPhase {
    /// The selection of an upstream, in this daemon.
    Admit,
    /// A connection to the selected upstream.
    Connect,
    /// The first byte from the upstream, or from the daemon that it was handed over to.
    Upstream,
}

/// Time spent in each phase. A request that is sent again passes through the phases again, and the
/// times add up; together they are the time until the first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PhaseTimes {
    pub(crate) admit: Duration,
    pub(crate) connect: Duration,
    pub(crate) upstream: Duration,
}

/// The phases of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestPhases {
    /// Current phase and when it began; none after the first byte.
    current: Option<(RequestPhase, MonotonicInstant)>,
    /// Time spent in the phases that ended.
    past: PhaseTimes,
}

impl RequestPhases {
    /// The phases of a request that was received at `received_at`.
    pub(crate) const fn new(received_at: MonotonicInstant) -> Self {
        let zero = Duration::ZERO;
        Self {
            current: Some((RequestPhase::Admit, received_at)),
            past: PhaseTimes { admit: zero, connect: zero, upstream: zero },
        }
    }

    /// Ends the current phase and begins another one. After the first byte it has no effect.
    pub(crate) fn enter(&mut self, now: MonotonicInstant, phase: RequestPhase) {
        self.past = self.times(now);
        self.current = self.current.map(|_| (phase, now));
    }

    /// Records the first byte, which ends the last phase.
    pub(crate) fn finish(&mut self, now: MonotonicInstant) {
        self.past = self.times(now);
        self.current = None;
    }

    /// Time spent in each phase until now.
    pub(crate) fn times(&self, now: MonotonicInstant) -> PhaseTimes {
        let mut times = self.past;
        let Some((phase, since)) = self.current else { return times };
        let spent = match phase {
            RequestPhase::Admit => &mut times.admit,
            RequestPhase::Connect => &mut times.connect,
            RequestPhase::Upstream => &mut times.upstream,
        };
        *spent += now.since(since);
        times
    }
}

#[cfg(test)]
mod tests;
