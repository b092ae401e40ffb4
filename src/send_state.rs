//! Tracks over several attempts whether a request may have run.
//!
//! Once an attempt has been lost, the request counts as sent for good: a later refusal by an
//! upstream proves nothing about the lost attempt.

use spindle_caller::Refusal;
use spindle_types::{RefusalReason, Sent, Unsent, UpstreamRefusal};
use std::time::Duration;

/// Retry delay sent with a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request between two attempts, with whether an earlier attempt may have run.
#[derive(Debug)]
pub enum SendState<R> {
    /// Nothing has been sent, or every upstream refused before starting.
    Unsent(Unsent<R>),
    /// An earlier attempt may have run.
    Sent(R, Sent),
}

/// State of a request while an attempt is in flight.
#[derive(Debug)]
pub enum InFlight {
    /// No earlier attempt may have run.
    First(Sent),
    /// An earlier attempt may have run.
    Repeated(Sent),
}

impl<R> SendState<R> {
    /// Creates the state of a request of which nothing has been sent.
    pub const fn new(request: R) -> Self {
        Self::Unsent(Unsent::new(request))
    }

    /// The request to send.
    pub const fn request(&self) -> &R {
        match self {
            Self::Unsent(unsent) => unsent.request(),
            Self::Sent(request, _) => request,
        }
    }

    /// Starts an attempt; from now on the request may have run.
    pub fn send(self) -> (R, InFlight) {
        match self {
            Self::Unsent(unsent) => {
                let (request, sent) = unsent.send();
                (request, InFlight::First(sent))
            }
            Self::Sent(request, sent) => (request, InFlight::Repeated(sent)),
        }
    }

    /// Gives the request up: refused as `not_run` if no attempt may have run, else as `unknown`.
    pub fn give_up(self, reason: RefusalReason) -> Refusal {
        self.give_up_until(reason, RETRY_AFTER)
    }

    /// The same with the time after which the caller may retry.
    pub fn give_up_until(self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        match self {
            Self::Unsent(unsent) => Refusal::NotRun(unsent.refuse(reason, Some(retry_after))),
            Self::Sent(_, sent) => Refusal::Unknown(sent.into_unknown()),
        }
    }

    /// Gives the request up as `unknown`, even if unsent, because another attempt under the same
    /// idempotency key may have run.
    pub fn give_up_as_unknown(self, reason: RefusalReason) -> Refusal {
        match self {
            Self::Unsent(unsent) => {
                Refusal::Unknown(unsent.into_unknown(reason, Some(RETRY_AFTER)))
            }
            Self::Sent(_, sent) => Refusal::Unknown(sent.into_unknown()),
        }
    }
}

impl InFlight {
    /// Ends the attempt without an answer: it may have run.
    pub fn lost<R>(self, request: R) -> SendState<R> {
        match self {
            Self::First(sent) | Self::Repeated(sent) => SendState::Sent(request, sent),
        }
    }

    /// Ends the attempt with the proof that the upstream started nothing.
    pub fn refused<R>(self, proof: UpstreamRefusal, request: R) -> SendState<R> {
        match self {
            Self::First(sent) => SendState::Unsent(sent.restore(proof, request)),
            Self::Repeated(sent) => SendState::Sent(request, sent),
        }
    }
}

#[cfg(test)]
mod tests;
