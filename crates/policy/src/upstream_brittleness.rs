//! Keeps the queue of an upstream empty that fails if it has to reject too many requests.
//!
//! The load is an upstream of 1 to 64 slots that 1 to 400 daemons send requests to, each of which
//! hears of the others' requests late. While the upstream says that it is brittle, its slots are
//! divided among the daemons, so that no news of the others' requests is needed, and what waits
//! waits in the daemons. A daemon that is rejected all the same sends nothing there for a time that
//! grows with the number of daemons: all together stay below the number of rejections a second that
//! the upstream bears.

use crate::rate_share::Position;
use spindle_types::MonotonicInstant;
use std::time::Duration;

/// Requests beyond the slots that all daemons together may have at the upstream.
const WAITING_MAX: u32 = 1;

/// The mean time between two rejections of all daemons together, as a multiple of the time in which
/// the upstream bears one.
const SPACING: f64 = 4.0;

/// The longest pause after a rejection.
const PAUSE_MAX: Duration = Duration::from_secs(20);

/// How long a place among the daemons is valid after it was set.
const VALID_TIME: Duration = Duration::from_secs(1);

/// After what time a request may be sent that was not permitted.
const RETRY_AFTER: Duration = Duration::from_millis(20);

/// What an upstream says of its brittleness, and this daemon's part of its slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct Brittleness {
    /// Rejections a second that it bears, and when it said so first.
    named: Option<(u32, MonotonicInstant)>,
    position: Option<(Position, MonotonicInstant)>,
    paused_until: Option<MonotonicInstant>,
}

impl Brittleness {
    /// Records what the response to a request says that was sent at `sent`: the number of rejections
    /// a second that the upstream bears, if it is brittle. Returns whether that is new.
    pub fn on_answer(
        &mut self,
        now: MonotonicInstant,
        sent: MonotonicInstant,
        rejections: Option<u32>,
    ) -> bool {
        let known = self.named;
        match (known, rejections) {
            (None, Some(rejections)) => self.named = Some((rejections, now)),
            (Some((_, since)), Some(rejections)) => self.named = Some((rejections, since)),
            // An answer that was on its way when it became brittle lifts nothing.
            (Some((_, since)), None) if sent > since => *self = Self::default(),
            (_, None) => {}
        }
        known.map(|(rejections, _)| rejections) != self.named.map(|(rejections, _)| rejections)
    }

    /// Whether the upstream is brittle.
    pub const fn is_named(&self) -> bool {
        self.named.is_some()
    }

    /// Sets this daemon's place among those that send there. To be called several times a second.
    pub fn set_position(&mut self, now: MonotonicInstant, position: Option<Position>) {
        self.position = position.map(|position| (position, now));
    }

    /// Records a rejection. `jitter` is between 0 and 1.
    pub fn on_rejected(&mut self, now: MonotonicInstant, jitter: f64) {
        let Some((rejections, _)) = self.named else { return };
        let daemons = self.position.map_or(1, |(position, _)| position.daemons);
        let mean = SPACING * f64::from(daemons) / f64::from(rejections.max(1));
        let pause = Duration::try_from_secs_f64(mean * (0.5 + jitter)).unwrap_or(PAUSE_MAX);
        self.paused_until = Some(now + pause.min(PAUSE_MAX));
    }

    /// The time until a request may be sent, if none may now. `running` requests of this daemon are
    /// there, which has so many slots.
    pub fn wait(&self, now: MonotonicInstant, running: u32, slots: u32) -> Option<Duration> {
        self.named?;
        if let Some(until) = self.paused_until.filter(|until| *until > now) {
            return Some(until.since(now));
        }
        let valid = self.position.filter(|(_, at)| now.since(*at) <= VALID_TIME);
        let places = valid.map_or(0, |(position, _)| position.places(slots + WAITING_MAX));
        (running >= places).then_some(RETRY_AFTER)
    }
}

#[cfg(test)]
mod tests;
