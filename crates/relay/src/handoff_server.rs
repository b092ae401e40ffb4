//! Accepts requests that other daemons hand over.

use crate::handoff::{HANDOFF_HEADER, Handoff, HandoffRefusal, HandoffReply, decode, encode};
use crate::metrics::METRICS;
use crate::protocol::UpstreamProtocol;
use crate::relay::Relay;
use crate::request::{Refusal, read_request_body};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use spindle_http::{Body, Drain, Handler, ReadError, text};
use spindle_types::Clock;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Delay after which a daemon that is shutting down is asked again. Another one is asked at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time within which the body must arrive; the other daemon holds it complete.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles the requests that other daemons hand over.
#[derive(Debug)]
pub struct HandoffHandler<P, K> {
    relay: Relay<P, K>,
    draining: Drain,
    in_flight: Arc<AtomicUsize>,
    in_flight_max: usize,
}

impl<P, K> Clone for HandoffHandler<P, K> {
    fn clone(&self) -> Self {
        Self {
            relay: self.relay.clone(),
            draining: self.draining.clone(),
            in_flight: Arc::clone(&self.in_flight),
            in_flight_max: self.in_flight_max,
        }
    }
}

/// One request of another daemon in flight, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct AcceptedHandoff(Arc<AtomicUsize>);

impl Drop for AcceptedHandoff {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<P, K> HandoffHandler<P, K> {
    /// Serves up to `in_flight_max` requests at a time, until `draining` starts.
    pub fn new(relay: Relay<P, K>, draining: Drain, in_flight_max: usize) -> Self {
        Self { relay, draining, in_flight: Arc::default(), in_flight_max }
    }

    fn accept(&self) -> Result<AcceptedHandoff, HandoffRefusal> {
        if self.draining.started() {
            let retry_after = LEAVING_RETRY_AFTER;
            return Err(HandoffRefusal::Refused(Refusal::Leaving { retry_after }));
        }
        let accepted = AcceptedHandoff(Arc::clone(&self.in_flight));
        if self.in_flight.fetch_add(1, Ordering::Relaxed) >= self.in_flight_max {
            return Err(HandoffRefusal::Busy);
        }
        Ok(accepted)
    }
}

impl<P: UpstreamProtocol, K: Clock> Handler for HandoffHandler<P, K> {
    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let Some(handoff) = decode::<Handoff>(request.headers()) else {
            log::warn!("event=handoff_invalid peer={peer}");
            return text(StatusCode::BAD_REQUEST, "not a handoff");
        };
        let accepted = match self.accept() {
            Ok(accepted) => accepted,
            Err(refusal) => {
                log::info!(
                    "event=handoff_refused id={} entry={} cause={refusal:?}",
                    handoff.id,
                    handoff.entry
                );
                return refused(refusal);
            }
        };
        METRICS.accepted_handoffs.add(1, &[]);
        let inbound = handoff.clone().inbound(&request, self.relay.0.clock.now());
        let body_bytes_max = self.relay.0.config.borrow().limits.body_bytes_max;
        let memory = &self.relay.0.request_memory;
        let read = read_request_body(request.into_body(), body_bytes_max, BODY_TIMEOUT, memory);
        let body = match read.await {
            Ok(body) => body,
            Err(ReadError::Memory { .. }) => return refused(HandoffRefusal::Busy),
            Err(_) => return refused(HandoffRefusal::Refused(Refusal::SlowBody)),
        };
        let (result, mut reply) =
            self.relay.serve_handed_over(inbound, body, &handoff, accepted).await;
        let response = result.map_err(|refusal| {
            reply.refusal = Some(HandoffRefusal::Refused(refusal));
        });
        with_reply(response.unwrap_or_default(), &reply)
    }
}

fn refused(refusal: HandoffRefusal) -> Response<Body> {
    let reply = HandoffReply {
        refusal: Some(refusal),
        upstream: "-".to_owned(),
        version: None,
        config: 0,
        sends: 0,
        attempts: 0,
    };
    with_reply(Response::default(), &reply)
}

fn with_reply(mut response: Response<Body>, reply: &HandoffReply) -> Response<Body> {
    match encode(reply) {
        Some(value) => drop(response.headers_mut().insert(HANDOFF_HEADER, value)),
        // The other daemon takes a response without the header for lost.
        None => log::warn!("event=handoff_reply_unencodable"),
    }
    response
}
