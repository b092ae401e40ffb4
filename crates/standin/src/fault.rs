//! Fault injection for the stand-ins.

use spindle_http::Body;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// The faults that one stand-in injects. All are off initially. The methods `take_…` consume one
/// injected fault of their kind.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    delay_ms: AtomicU64,
    lost_answers: AtomicU32,
    refusals: AtomicU32,
}

impl Faults {
    /// Starts or ends an outage, during which every call gets status 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Whether an outage is in progress.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Delays every call from now on, before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// The delay of each call; zero by default.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }

    /// Loses the responses of the next `count` calls that take effect.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Refuses the next `count` calls that would take effect.
    pub fn refuse(&self, count: u32) {
        self.refusals.store(count, Ordering::SeqCst);
    }

    /// Whether the response of the current call must be lost.
    pub fn take_lost_answer(&self) -> bool {
        take_one(&self.lost_answers)
    }

    /// Whether the current call must be refused.
    pub fn take_refusal(&self) -> bool {
        take_one(&self.refusals)
    }
}

fn take_one(counter: &AtomicU32) -> bool {
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

/// A response whose body is aborted at once, so that the receiver doesn't learn the outcome of its
/// call.
pub fn truncated_response() -> http::Response<Body> {
    let (sender, body) = Body::channel(1);
    drop(sender);
    http::Response::new(body)
}
