//! Faults that a stand-in can be told to show.

use spindle_http::Body;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// The faults of one stand-in; all are off at first.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    delay_ms: AtomicU64,
    lost_answers: AtomicU32,
    refusals: AtomicU32,
}

impl Faults {
    /// Starts or ends an outage, in which every call is answered with status 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Whether an outage is on.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Delays every call from now on, before it acts.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// The delay of each call.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }

    /// Loses the answers of the next `count` calls that act.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Refuses the next `count` calls that would act.
    pub fn refuse(&self, count: u32) {
        self.refusals.store(count, Ordering::SeqCst);
    }

    /// Whether this call's answer is to be lost.
    pub fn take_lost_answer(&self) -> bool {
        take(&self.lost_answers)
    }

    /// Whether this call is to be refused.
    pub fn take_refusal(&self) -> bool {
        take(&self.refusals)
    }
}

fn take(counter: &AtomicU32) -> bool {
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

/// A response whose body breaks off at once: the receiver learns nothing from it.
pub fn truncated_response() -> http::Response<Body> {
    let (sender, body) = Body::channel(1);
    drop(sender);
    http::Response::new(body)
}
