//! Counters and latency histograms of the request path, by bounded labels.

use opentelemetry::global;
use opentelemetry::metrics::{Counter, Histogram};
use std::sync::LazyLock;

/// The instruments; without a started page they record nothing.
#[derive(Debug)]
pub struct Measures {
    /// Requests by kind, team and outcome.
    pub requests: Counter<u64>,
    /// Sends to upstreams by service and how they ended.
    pub sends: Counter<u64>,
    /// Seconds from the first byte to the first byte of the answer.
    pub first: Histogram<f64>,
    /// Seconds from the first byte to the end.
    pub whole: Histogram<f64>,
    /// Seconds between two events of a stream.
    pub pause: Histogram<f64>,
}

/// The instruments of this process.
pub static MEASURES: LazyLock<Measures> = LazyLock::new(|| {
    let meter = global::meter("bronzespindle");
    Measures {
        requests: meter.u64_counter("relay_requests").build(),
        sends: meter.u64_counter("relay_sends").build(),
        first: meter.f64_histogram("relay_first_byte_seconds").build(),
        whole: meter.f64_histogram("relay_whole_seconds").build(),
        pause: meter.f64_histogram("relay_event_interval_seconds").build(),
    }
});
