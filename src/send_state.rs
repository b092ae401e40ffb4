//! A request over several attempts, with the proof of whether it may have run.
//!
//! Once an attempt has been lost, no later refusal makes the request unsent again.

use spindle_caller::Refusal;
use spindle_types::{RefusalReason, Sent, Unsent, UpstreamRefusal};
use std::time::Duration;

/// The delay after which a refused caller may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request between two attempts.
#[derive(Debug)]
pub enum SendState<R> {
    /// Nothing has been sent, or every upstream refused before starting.
    Unsent(Unsent<R>),
    /// An earlier attempt may have run.
    Sent(R, Sent),
}

/// The proof that an attempt holds while the request is on its way.
#[derive(Debug)]
pub enum InFlight {
    /// No earlier attempt may have run.
    First(Sent),
    /// An earlier attempt may have run.
    Repeated(Sent),
}

impl<R> SendState<R> {
    /// A request of which nothing has been sent.
    pub const fn new(request: R) -> Self {
        Self::Unsent(Unsent::new(request))
    }

    /// The request.
    pub const fn request(&self) -> &R {
        match self {
            Self::Unsent(unsent) => unsent.request(),
            Self::Sent(request, _) => request,
        }
    }

    /// Starts an attempt.
    pub fn send(self) -> (R, InFlight) {
        match self {
            Self::Unsent(unsent) => {
                let (request, sent) = unsent.send();
                (request, InFlight::First(sent))
            }
            Self::Sent(request, sent) => (request, InFlight::Repeated(sent)),
        }
    }

    /// Gives the request up.
    pub fn give_up(self, reason: RefusalReason) -> Refusal {
        match self {
            Self::Unsent(unsent) => Refusal::NotRun(unsent.refuse(reason, Some(RETRY_AFTER))),
            Self::Sent(_, sent) => Refusal::Unknown(sent.into_unknown()),
        }
    }

    /// Gives the request up unsent although another attempt under its key may have run.
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
    /// The attempt may have run.
    pub fn lost<R>(self, request: R) -> SendState<R> {
        match self {
            Self::First(sent) | Self::Repeated(sent) => SendState::Sent(request, sent),
        }
    }

    /// The upstream started nothing.
    pub fn refused<R>(self, proof: UpstreamRefusal, request: R) -> SendState<R> {
        match self {
            Self::First(sent) => SendState::Unsent(sent.restore(proof, request)),
            Self::Repeated(sent) => SendState::Sent(request, sent),
        }
    }
}

#[cfg(test)]
mod tests;
