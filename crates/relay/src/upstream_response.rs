//! The response of an upstream, which arrives from the upstream itself or through another daemon.

use crate::assignment::{Assignment, UpstreamResult};
use crate::connection::has_ended;
use crate::helpers::HelperUse;
use crate::pool::PooledConnection;
use crate::response_end::Framing;
use http::response;
use hyper::body::Incoming;
use spindle_types::{MonotonicInstant, SoftwareVersion};
use std::time::Duration;

/// A helper notices a silent upstream and sends the request elsewhere. This daemon waits for a
/// multiple of that time before it takes the helper itself for lost.
const HELPER_PATIENCE: u32 = 2;

/// Head of an upstream's response, with its unread body and the connection it arrives on.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    pub(crate) framing: Framing,
    pub(crate) body: Incoming,
    /// How long the peer keeps the connection open while it is idle, if it says so.
    pub(crate) keep_alive: Option<Duration>,
    /// Whether the connection stays open after the response.
    pub(crate) reusable: bool,
    pub(crate) pooled: PooledConnection,
    pub(crate) source: ResponseSource,
}

/// Where a response comes from.
#[derive(Debug)]
pub(crate) enum ResponseSource {
    /// From the upstream that the request was assigned to.
    Upstream(Assignment),
    /// Through another daemon.
    Helper(HelperResponse),
}

/// A response through another daemon.
#[derive(Debug)]
pub(crate) struct HelperResponse {
    /// Counts the request as in flight there.
    pub(crate) _in_use: HelperUse,
    /// Version of the upstream's software, which stays the same to the end of the response.
    pub(crate) version: Option<SoftwareVersion>,
}

impl ResponseSource {
    /// The upstream, unless another daemon is in between, which itself records what it observes.
    pub(crate) const fn assignment(&self) -> Option<&Assignment> {
        match self {
            Self::Upstream(assignment) => Some(assignment),
            Self::Helper(_) => None,
        }
    }

    /// Whether a body that is complete by its framing was cut off. The connections of a process that was
    /// killed are closed in order too, so the end of the connection completes a body only if its
    /// upstream still listens or leaves by plan.
    pub(crate) async fn is_cut_off(&self, framing: Framing) -> bool {
        let Some(assignment) = self.assignment().filter(|_| framing == Framing::Close) else {
            return false;
        };
        !assignment.is_leaving() && has_ended(assignment.address).await
    }

    pub(crate) fn version(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Upstream(assignment) => assignment.version.as_ref(),
            Self::Helper(response) => response.version.as_ref(),
        }
    }

    /// How long to wait for the next part of the response, given how long for one of an upstream.
    pub(crate) fn patience(&self, limit: Duration) -> Duration {
        match self {
            Self::Upstream(_) => limit,
            Self::Helper(_) => limit.saturating_mul(HELPER_PATIENCE),
        }
    }

    pub(crate) fn on_first_byte(&mut self, now: MonotonicInstant) {
        if let Self::Upstream(assignment) = self {
            assignment.on_first_byte(now);
        }
    }

    /// Records that the response is no stream.
    pub(crate) const fn on_whole_response(&mut self) {
        if let Self::Upstream(assignment) = self {
            assignment.on_whole_response();
        }
    }

    /// Records how many events have been passed on, and how long the caller has delayed them.
    pub(crate) fn on_events(&mut self, now: MonotonicInstant, delivered: u64, held: Duration) {
        if let Self::Upstream(assignment) = self
            && let Some(observation) = &mut assignment.observation
        {
            observation.on_events(now, delivered, held);
        }
    }

    pub(crate) fn on_heard(&self, now: MonotonicInstant) {
        if let Self::Upstream(assignment) = self {
            assignment.on_heard(now);
        }
    }

    pub(crate) fn on_result(&self, now: MonotonicInstant, result: UpstreamResult) {
        if let Self::Upstream(assignment) = self {
            assignment.on_result(now, result);
        }
    }
}
