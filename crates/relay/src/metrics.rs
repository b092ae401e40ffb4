//! Counters and latency histograms of the request path. All labels have a bounded number of values.

use opentelemetry::global;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use std::sync::LazyLock;

/// Metric instruments. They record nothing unless the metrics endpoint has been started.
#[derive(Debug)]
pub struct Metrics {
    /// Number of requests, by repeat policy (`kind`), team and outcome.
    pub requests: Counter<u64>,
    /// Number of attempts at upstreams, by service and result (`ended`).
    pub sends: Counter<u64>,
    /// Number of streams that callers took up, by where their version is known from (`source`).
    pub resumed_streams: Counter<u64>,
    /// Number of responses of upstreams that ended, by how their end is marked (`framing`) and how
    /// they ended (`ended`).
    pub response_ends: Counter<u64>,
    /// Number of responses that report a rate limit, by service.
    pub limited_sends: Counter<u64>,
    /// Number of pauses that upstreams have named, by whether the time was valid.
    pub pauses: Counter<u64>,
    /// Number of upstreams with a rate limit, by service.
    pub limited_upstreams: Gauge<u64>,
    /// Requests per second that may be sent to those upstreams, summed over all daemons, by service.
    pub limit_permitted: Gauge<f64>,
    /// This daemon's part of that rate, by service.
    pub limit_own: Gauge<f64>,
    /// The other daemons' part of that rate, by service.
    pub limit_peers: Gauge<f64>,
    /// Age of the oldest of these limits, in seconds, by service.
    pub limit_age_seconds: Gauge<f64>,
    /// Number of changes of what is known to crash upstreams, by kind (`event`).
    pub crash_changes: Counter<u64>,
    /// Number of requests that were not sent because of something that crashes upstreams.
    pub crash_refusals: Counter<u64>,
    /// Number of prompt parts and requests that are known to crash upstreams.
    pub crash_convicted: Gauge<u64>,
    /// How often this daemon has lost contact with all upstreams of a service.
    pub contact_losses: Counter<u64>,
    /// Number of requests handed over to another daemon, by how each ended (`ended`).
    pub handoffs: Counter<u64>,
    /// Number of requests sent to a service while a rollout runs, by service and `side`: `old` or
    /// `target`.
    pub rollout_requests: Counter<u64>,
    /// The stage of the newest rollout known, by service: 1 trial, 2 switch, 3 completed, 4 rolled
    /// back.
    pub rollout_stage: Gauge<u64>,
    /// Number of requests accepted from other daemons.
    pub accepted_handoffs: Counter<u64>,
    /// Number of connections of callers that were closed because they had been idle for too long.
    pub idle_connections_closed: Counter<u64>,
    /// Number of requests refused because of their rank, by service and rank.
    pub rank_refusals: Counter<u64>,
    /// Fraction of the requests of a rank that this daemon admits, by service and rank.
    pub rank_fraction: Gauge<f64>,
    /// Ratio of the time that prompt work takes to the time that is assumed, by service, when it last
    /// changed by a tenth.
    pub service_pace: Gauge<f64>,
    /// Time from the first byte of a request to the first byte of its response, in seconds.
    pub first_byte_seconds: Histogram<f64>,
    /// Time from the first byte of a request to the end of its response, in seconds.
    pub total_seconds: Histogram<f64>,
    /// Time between two chunks of events of a stream, in seconds.
    pub event_interval_seconds: Histogram<f64>,
    /// Time for which the daemon knew that it lacked a version of the configuration, in seconds, when
    /// a newer one came into force; by where it came from (`source`).
    pub configuration_behind_seconds: Histogram<f64>,
    /// Time for which the daemon may have missed that an upstream is leaving, in seconds, when a
    /// read from the store has ended that time; by the reason of the read.
    pub upstreams_age_seconds: Histogram<f64>,
}

/// Metric instruments of this process.
pub static METRICS: LazyLock<Metrics> = LazyLock::new(|| {
    let meter = global::meter("bronzespindle");
    Metrics {
        requests: meter.u64_counter("relay_requests").build(),
        sends: meter.u64_counter("relay_sends").build(),
        resumed_streams: meter.u64_counter("relay_resumed_streams").build(),
        response_ends: meter.u64_counter("relay_response_ends").build(),
        limited_sends: meter.u64_counter("relay_limited_sends").build(),
        pauses: meter.u64_counter("relay_upstream_pauses").build(),
        limited_upstreams: meter.u64_gauge("relay_limited_upstreams").build(),
        limit_permitted: meter.f64_gauge("relay_limit_permitted_per_second").build(),
        limit_own: meter.f64_gauge("relay_limit_own_per_second").build(),
        limit_peers: meter.f64_gauge("relay_limit_peers_per_second").build(),
        limit_age_seconds: meter.f64_gauge("relay_limit_age_seconds").build(),
        crash_changes: meter.u64_counter("relay_crash_changes").build(),
        crash_refusals: meter.u64_counter("relay_crash_refusals").build(),
        crash_convicted: meter.u64_gauge("relay_crash_convicted").build(),
        contact_losses: meter.u64_counter("relay_contact_losses").build(),
        handoffs: meter.u64_counter("relay_handoffs").build(),
        rollout_requests: meter.u64_counter("relay_rollout_requests").build(),
        rollout_stage: meter.u64_gauge("rollout_stage").build(),
        accepted_handoffs: meter.u64_counter("relay_accepted_handoffs").build(),
        idle_connections_closed: meter.u64_counter("relay_idle_connections_closed").build(),
        rank_refusals: meter.u64_counter("relay_rank_refusals").build(),
        rank_fraction: meter.f64_gauge("relay_rank_fraction").build(),
        service_pace: meter.f64_gauge("relay_service_pace").build(),
        first_byte_seconds: meter.f64_histogram("relay_first_byte_seconds").build(),
        total_seconds: meter.f64_histogram("relay_whole_seconds").build(),
        event_interval_seconds: meter.f64_histogram("relay_event_interval_seconds").build(),
        configuration_behind_seconds: meter
            .f64_histogram("relay_configuration_behind_seconds")
            .build(),
        upstreams_age_seconds: meter.f64_histogram("relay_upstreams_age_seconds").build(),
    }
});
