//! Outcomes of requests, with types that prove whether a request can have run.
//!
//! Code that has not yet sent a request holds an [`Unsent`]. A [`NotRun`] can only be made by
//! consuming an [`Unsent`] or an [`UpstreamRefusal`], so a request that may have run can't be
//! reported as not run.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr};

/// Why a request was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The deadline can no longer be met.
    DeadlineUnreachable,
    /// The team's quota is used up.
    QuotaExceeded,
    /// The queue is full.
    QueueFull,
    /// No upstream of the pool can accept work.
    NoUpstream,
    /// The retry budget is used up.
    RetryBudget,
    /// The daemon is shutting down and accepts no new work.
    Leaving,
    /// The daemon may not have the newest configuration and accepts no new work.
    Stale,
    /// The log service can't decide the claim on the idempotency key that the call needs.
    ClaimUnavailable,
    /// No replica holds the request.
    ReplicaUnavailable,
    /// Another attempt has claimed the same idempotency key, and its answer is not known.
    KeyClaimed,
    /// The idempotency key is older than the replay window.
    KeyExpired,
    /// The upstream refused the request before it started it.
    UpstreamRefused,
    /// The request holds something that crashes the upstreams that run it.
    CrashesUpstreams,
}

/// A request of which no byte has been sent to an upstream.
#[derive(Debug)]
pub struct Unsent<R> {
    request: R,
}

impl<R> Unsent<R> {
    /// Wraps a request that has just been accepted from a caller.
    pub const fn new(request: R) -> Self {
        Self { request }
    }

    /// The wrapped request.
    pub const fn request(&self) -> &R {
        &self.request
    }

    /// Refuses the request without sending it.
    pub fn refuse(self, reason: RefusalReason, retry_after: Option<Duration>) -> NotRun {
        NotRun { reason, retry_after }
    }

    /// Abandons the unsent request with an unknown outcome, because another attempt under the same
    /// idempotency key may have run.
    pub fn into_unknown(self, reason: RefusalReason, retry_after: Option<Duration>) -> Unknown {
        Unknown { reason: Some(reason), retry_after }
    }

    /// Marks the request as sent. Must be called before its first byte is sent.
    pub fn send(self) -> (R, Sent) {
        (self.request, Sent { _private: () })
    }
}

/// Proof that a request may have reached an upstream.
#[derive(Debug)]
pub struct Sent {
    _private: (),
}

impl Sent {
    /// Abandons the request after its answer was lost; the outcome is unknown.
    pub fn into_unknown(self) -> Unknown {
        Unknown::without_reason()
    }

    /// Refuses the request, given proof that the upstream started nothing.
    pub fn refused(self, proof: UpstreamRefusal, retry_after: Option<Duration>) -> NotRun {
        let UpstreamRefusal { reachability: _ } = proof;
        NotRun { reason: RefusalReason::UpstreamRefused, retry_after }
    }

    /// Makes the request unsent again, so that it can be retried, given proof that the upstream
    /// started nothing.
    pub fn restore<R>(self, proof: UpstreamRefusal, request: R) -> Unsent<R> {
        let UpstreamRefusal { reachability: _ } = proof;
        Unsent { request }
    }
}

/// Whether an upstream was reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// The upstream answered.
    Reached,
    /// No connection to the upstream was established.
    Unreachable,
}

/// Proof that an upstream started nothing: it said so, or no connection to it was established.
#[derive(Debug)]
pub struct UpstreamRefusal {
    reachability: Reachability,
}

impl UpstreamRefusal {
    /// The connection was never established. Only for the crates that talk to upstreams.
    pub const fn never_connected() -> Self {
        Self { reachability: Reachability::Unreachable }
    }

    /// The upstream answered that it refuses the request before starting it. Only for the crates
    /// that talk to upstreams.
    pub const fn stated() -> Self {
        Self { reachability: Reachability::Reached }
    }

    /// Whether the upstream was reached.
    pub const fn reachability(&self) -> Reachability {
        self.reachability
    }
}

/// The outcome of a request that was certainly not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRun {
    reason: RefusalReason,
    retry_after: Option<Duration>,
}

impl NotRun {
    /// Why the request was not run.
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Time after which the caller may retry, if known.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// The outcome of a request that may or may not have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unknown {
    reason: Option<RefusalReason>,
    retry_after: Option<Duration>,
}

impl Unknown {
    /// The outcome of a request whose answer was lost or whose task ended without a result. This
    /// claims nothing and therefore needs no proof.
    pub const fn without_reason() -> Self {
        Self { reason: None, retry_after: None }
    }

    /// Why the outcome is unknown; none if the answer was lost.
    pub const fn reason(&self) -> Option<RefusalReason> {
        self.reason
    }

    /// Time after which the caller may retry with the same idempotency key, if known.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

#[cfg(test)]
mod tests;
