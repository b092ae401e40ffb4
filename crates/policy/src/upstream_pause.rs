//! The pause that an overloaded upstream asks of one daemon.
//!
//! The load is an upstream that rejects requests for a moment and says for how long. Sending to it
//! meanwhile only adds to its load; requests go elsewhere or are refused with the time left. Requests
//! that were on their way are rejected too, and may name a shorter pause: the latest end counts.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The longest pause that is observed. An upstream that needs more names it again.
pub const PAUSE_MAX: Duration = Duration::from_secs(60);

/// Until when an upstream accepts no requests of this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamPause {
    until: Option<MonotonicInstant>,
}

impl UpstreamPause {
    /// Records a pause that a response has named. Returns the time that it counts for.
    pub fn on_named(&mut self, now: MonotonicInstant, pause: Duration) -> Duration {
        let pause = pause.min(PAUSE_MAX);
        self.until = self.until.max(Some(now + pause));
        pause
    }

    /// The time left of the pause; none if requests may be sent.
    pub fn left(&self, now: MonotonicInstant) -> Option<Duration> {
        self.until.map(|until| until.since(now)).filter(|left| !left.is_zero())
    }
}

#[cfg(test)]
mod tests;
