//! Outcomes of requests that carry their own proof.
//!
//! [`Unsent`] is held by exactly the code that has not yet sent a request. Only consuming it, or an
//! [`UpstreamRefusal`], yields a [`NotRun`]; so a request that may have run can't be reported as
//! not run.

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
    /// The deadline can't be met any more.
    DeadlineUnreachable,
    /// The team's quota is used up.
    QuotaExceeded,
    /// The queue is full.
    QueueFull,
    /// No upstream of the pool can take work.
    NoUpstream,
    /// The retry budget is used up.
    RetryBudget,
    /// The daemon is leaving and takes no new work.
    Leaving,
    /// The daemon can't know the newest configuration and takes no new work.
    Stale,
    /// The log can't settle the claim that the call needs.
    ClaimUnavailable,
    /// No replica holds the request.
    ReplicaUnavailable,
    /// Another attempt under the same key has the right to run, and its answer is not known.
    KeyClaimed,
    /// The key is older than the replay window.
    KeyExpired,
    /// The upstream refused the request before starting it.
    UpstreamRefused,
}

/// A request of which no byte has been sent to an upstream.
#[derive(Debug)]
pub struct Unsent<R> {
    request: R,
}

impl<R> Unsent<R> {
    /// Takes charge of a request that has just been accepted from a caller.
    pub const fn new(request: R) -> Self {
        Self { request }
    }

    /// The request.
    pub const fn request(&self) -> &R {
        &self.request
    }

    /// Gives the request up without sending it.
    pub fn refuse(self, reason: RefusalReason, retry_after: Option<Duration>) -> NotRun {
        NotRun { reason, retry_after }
    }

    /// Gives the request up unsent although another attempt under the same key may have run.
    pub fn into_unknown(self, reason: RefusalReason, retry_after: Option<Duration>) -> Unknown {
        Unknown { reason: Some(reason), retry_after }
    }

    /// Marks the request as sent, from just before its first byte leaves.
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
    /// Gives the request up after its answer was lost.
    pub fn into_unknown(self) -> Unknown {
        Unknown::without_reason()
    }

    /// Turns back into a refusal, given the upstream's own word that nothing was started.
    pub fn refused(self, proof: UpstreamRefusal, retry_after: Option<Duration>) -> NotRun {
        let UpstreamRefusal { reachability: _ } = proof;
        NotRun { reason: RefusalReason::UpstreamRefused, retry_after }
    }

    /// Gets the request back, given proof that the upstream started nothing.
    pub fn restore<R>(self, proof: UpstreamRefusal, request: R) -> Unsent<R> {
        let UpstreamRefusal { reachability: _ } = proof;
        Unsent { request }
    }
}

/// Whether an upstream was reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// It answered.
    Reached,
    /// No connection to it was made.
    Unreachable,
}

/// An upstream's own word that it started nothing, or that no connection to it was made.
#[derive(Debug)]
pub struct UpstreamRefusal {
    reachability: Reachability,
}

impl UpstreamRefusal {
    /// For peer packages alone: the connection was never established.
    pub const fn never_connected() -> Self {
        Self { reachability: Reachability::Unreachable }
    }

    /// For peer packages alone: the upstream answered that it refuses before starting.
    pub const fn stated() -> Self {
        Self { reachability: Reachability::Reached }
    }

    /// Whether the upstream was reached.
    pub const fn reachability(&self) -> Reachability {
        self.reachability
    }
}

/// The request was not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRun {
    reason: RefusalReason,
    retry_after: Option<Duration>,
}

impl NotRun {
    /// Why it was not run.
    pub const fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// When the caller may try again, if that is known.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// The request may or may not have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unknown {
    reason: Option<RefusalReason>,
    retry_after: Option<Duration>,
}

impl Unknown {
    /// The outcome of a request whose task ended without telling one. This needs no proof.
    pub const fn without_reason() -> Self {
        Self { reason: None, retry_after: None }
    }

    /// Why it can't be told whether the request ran, if there is more to say than a lost answer.
    pub const fn reason(&self) -> Option<RefusalReason> {
        self.reason
    }

    /// When the caller may ask again with the same key, if that is known.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

#[cfg(test)]
mod tests;
