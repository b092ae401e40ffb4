//! Metrics through `opentelemetry`, served as a Prometheus scrape page.

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

/// The name of the meter.
const METER: &str = "bronzespindle";

/// The instruments of the request path.
#[derive(Debug)]
pub struct Instruments {
    /// Requests by team and outcome.
    pub requests: Counter<u64>,
    /// Tokens sent to callers.
    pub tokens: Counter<u64>,
    /// Tokens computed again after an upstream was lost.
    pub recomputed: Counter<u64>,
    /// Seconds from acceptance to the first token.
    pub first_token: Histogram<f64>,
    /// Seconds between two tokens.
    pub token_interval: Histogram<f64>,
}

/// The instruments; without a started page they record nothing.
pub static INSTRUMENTS: LazyLock<Instruments> = LazyLock::new(|| {
    let meter = global::meter(METER);
    Instruments {
        requests: meter.u64_counter("requests").build(),
        tokens: meter.u64_counter("tokens").build(),
        recomputed: meter.u64_counter("tokens_recomputed").build(),
        first_token: meter.f64_histogram("first_token_seconds").build(),
        token_interval: meter.f64_histogram("token_interval_seconds").build(),
    }
});

#[derive(Clone)]
struct Page(Registry);

impl Handler for Page {
    async fn handle(&self, _request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let mut content = Vec::new();
        match TextEncoder::new().encode(&self.0.gather(), &mut content) {
            Ok(()) => text(StatusCode::OK, String::from_utf8_lossy(&content)),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

/// Starts the scrape page and returns its address.
///
/// # Errors
///
/// The address can't be bound, or the exporter can't be built.
pub async fn start(listen: SocketAddr, drain: Drain) -> eyre::Result<SocketAddr> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
    global::set_meter_provider(SdkMeterProvider::builder().with_reader(exporter).build());
    let (listener, address) =
        bind(listen).await.wrap_err_with(|| format!("metrics.listen {listen}"))?;
    tokio::spawn(serve(listener, Page(registry), ServerLimits::default(), drain));
    Ok(address)
}
