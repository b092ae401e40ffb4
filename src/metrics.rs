//! Metrics, recorded through `opentelemetry` and served in the Prometheus text format.

use eyre::WrapErr;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use opentelemetry::global;
use opentelemetry::metrics::{Counter, Histogram};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use spindle_http::{Body, Drain, Handler, ServerLimits, bind, serve, text};
use std::net::SocketAddr;
use std::sync::LazyLock;

/// The name of the OpenTelemetry meter.
const METER_NAME: &str = "bronzespindle";

/// The instruments of the request path.
#[derive(Debug)]
pub struct Instruments {
    /// The number of requests, by team and outcome.
    pub requests: Counter<u64>,
    /// The number of tokens sent to callers.
    pub tokens: Counter<u64>,
    /// The number of tokens computed again after an upstream was lost.
    pub recomputed: Counter<u64>,
    /// The time from the acceptance of a request to its first token, in seconds.
    pub first_token: Histogram<f64>,
    /// The time between two tokens of an answer, in seconds.
    pub token_interval: Histogram<f64>,
}

/// The instruments of this process. They record nothing unless [`start`] has been called.
pub static INSTRUMENTS: LazyLock<Instruments> = LazyLock::new(|| {
    let meter = global::meter(METER_NAME);
    Instruments {
        requests: meter.u64_counter("requests").build(),
        tokens: meter.u64_counter("tokens").build(),
        recomputed: meter.u64_counter("tokens_recomputed").build(),
        first_token: meter.f64_histogram("first_token_seconds").build(),
        token_interval: meter.f64_histogram("token_interval_seconds").build(),
    }
});

#[derive(Clone)]
struct ScrapePage(Registry);

impl Handler for ScrapePage {
    async fn handle(&self, _request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let mut content = Vec::new();
        match TextEncoder::new().encode(&self.0.gather(), &mut content) {
            Ok(()) => text(StatusCode::OK, String::from_utf8_lossy(&content)),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

/// Starts the HTTP server that Prometheus scrapes, and returns its address.
///
/// # Errors
///
/// The address can't be bound, or the exporter can't be built.
pub async fn start(listen: SocketAddr, drain: Drain) -> eyre::Result<SocketAddr> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
    global::set_meter_provider(SdkMeterProvider::builder().with_reader(exporter).build());
    let (listener, address) =
        bind(listen).await.wrap_err_with(|| format!("can't bind metrics.listen {listen}"))?;
    tokio::spawn(serve(listener, ScrapePage(registry), ServerLimits::default(), drain));
    Ok(address)
}
