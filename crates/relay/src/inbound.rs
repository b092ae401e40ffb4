//! A request of a caller, checked, and the ways in which it can be turned down.

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use spindle_policy::upstream_selection::Prompt;
use spindle_types::MonotonicInstant;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The same for the same text.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A request whose head has been read and checked.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// The caller's name for this attempt.
    pub id: String,
    /// The method.
    pub method: Method,
    /// The host that the caller named.
    pub host: String,
    /// The path and query, as sent.
    pub target: Uri,
    /// The headers to be passed on, without those that concern one connection or are the system's.
    pub headers: HeaderMap,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits, from the first byte.
    pub patience: Option<Duration>,
    /// The event after which a stream is to go on.
    pub after: Option<String>,
    /// Prompt tokens, and the most tokens to be generated.
    pub tokens: Option<(u32, u32)>,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// When its first byte came.
    pub began: MonotonicInstant,
}

impl Inbound {
    /// What is known of the prompt, if there is one.
    pub fn prompt(&self) -> Option<Prompt> {
        let (tokens, _) = self.tokens?;
        // The last part belongs to the request itself.
        let shared = &self.parts[..self.parts.len().saturating_sub(1)];
        Some(Prompt {
            tokens,
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
            prefix_id: shared.last().map(|part| part.id),
        })
    }
}

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Work {
    /// The head.
    pub inbound: Inbound,
    /// The body.
    pub body: Bytes,
}

/// Why a request gets no answer of an upstream.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// Not a request that can be served.
    Invalid,
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// No route takes it.
    NoRoute,
    /// No team holds its key.
    UnknownKey,
    /// No configuration is known, or it may be out of date where that matters.
    NoConfiguration {
        /// When to come back.
        after: Duration,
    },
    /// The team's quota is used up.
    OverQuota {
        /// When to come back.
        after: Duration,
    },
    /// Nothing can take it in time.
    Overloaded {
        /// When to come back.
        after: Duration,
    },
    /// No upstream of the service is known or answers.
    NoUpstream {
        /// When to come back.
        after: Duration,
    },
    /// The daemon stops.
    Leaving {
        /// When to come back.
        after: Duration,
    },
    /// Its time passed before it was sent.
    Expired,
    /// Its time passed after it was sent.
    TimedOut,
    /// It was sent and may have run; its answer is lost.
    Lost,
}

impl Refusal {
    /// Whether the request has not run and never will.
    pub const fn not_run(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Lost)
    }

    /// When to come back, where that helps.
    pub const fn after(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration { after }
            | Self::OverQuota { after }
            | Self::Overloaded { after }
            | Self::NoUpstream { after }
            | Self::Leaving { after } => Some(after),
            _ => None,
        }
    }
}
