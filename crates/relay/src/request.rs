//! A caller's request, and the reasons for which it can be refused.

use crate::config::Limits;
use crate::relay::backoff;
use crate::response_body::{BodyMemory, PartialBody};
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Uri};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use serde::{Deserialize, Serialize};
use spindle_http::ReadError;
use spindle_policy::crash_ledger::WorkKey;
use spindle_policy::upstream_selection::Prompt;
use spindle_types::{MonotonicInstant, Service, Team};
use std::collections::BTreeSet;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// A part of a prompt. Requests whose prompts begin with the same parts share a prefix in an
/// engine's cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of the text; equal texts have equal ids.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// Head of a request, decoded and validated.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Request id that the caller has given to this attempt.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Host named by the caller, with its port if there is one.
    pub host: String,
    /// Path and query, as sent by the caller.
    pub target: Uri,
    /// Headers to forward, without hop-by-hop headers and those that only this system sets.
    pub headers: HeaderMap,
    /// API key of the caller.
    pub key: Option<String>,
    /// How long the caller waits for the response, from the first byte of the request.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// Attempt that brought the first event of the stream that the caller resumes, if it names
    /// exactly one.
    pub resumes: Option<String>,
    /// Number of prompt tokens, and the maximum number of tokens to generate.
    pub tokens: Option<(u32, u32)>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// When the first byte of the request arrived.
    pub received_at: MonotonicInstant,
}

impl Inbound {
    /// Reads the body of the request within the caller's time and the configured limits.
    pub(crate) async fn read_body(
        &self,
        body: Incoming,
        limits: &Limits,
        memory: &BodyMemory,
    ) -> Result<Bytes, Refusal> {
        let timeout = self.timeout.unwrap_or(limits.idle_timeout).min(limits.idle_timeout);
        let read = read_request_body(body, limits.body_bytes_max, timeout, memory).await;
        read.map_err(|error| match error {
            ReadError::Size { .. } => Refusal::TooLarge,
            ReadError::Memory { .. } => Refusal::Overloaded { retry_after: backoff() },
            ReadError::Timeout(_) => Refusal::SlowBody,
            _ => Refusal::Invalid,
        })
    }

    /// Size of the prompt and the prefix that it shares with other requests; `None` if the caller
    /// gives no token count.
    pub fn prompt(&self) -> Option<Prompt> {
        let (tokens, _) = self.tokens?;
        // The last part is specific to the request, so it is not shared.
        let shared = &self.parts[..self.parts.len().saturating_sub(1)];
        Some(Prompt {
            tokens,
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
            prefix_id: shared.last().map(|part| part.id),
        })
    }
}

/// Reads the body of a request, which counts against `memory` until its last copy is dropped.
///
/// # Errors
///
/// The body is larger than `body_max` bytes, takes longer than `timeout` or breaks off, or all bodies
/// together are too large. What its head states is too large at once.
pub(crate) async fn read_request_body(
    mut body: Incoming,
    body_max: usize,
    timeout: Duration,
    memory: &BodyMemory,
) -> Result<Bytes, ReadError> {
    let reading = async {
        let length = body.size_hint().exact();
        let read = match PartialBody::of_request(memory, body_max, length) {
            Ok(mut partial) => partial.read_rest(&mut body).await,
            Err(error) => Err(error),
        };
        if matches!(read, Err(ReadError::Memory { .. })) {
            // A connection that is closed with unread data is reset, and the caller would not get the
            // refusal.
            while let Some(Ok(_)) = body.frame().await {}
        }
        read
    };
    tokio::time::timeout(timeout, reading).await.map_err(|_| ReadError::Timeout(timeout))?
}

/// A request whose body has been read completely, so that it can be sent more than once.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// Head of the request.
    pub inbound: Inbound,
    /// Complete body of the request.
    pub body: Bytes,
}

impl BufferedRequest {
    /// What the request holds that may crash an upstream of a service: the parts of its prompt but
    /// for the last one, which is specific to the request, and the request as a whole.
    pub fn work_keys(&self, service: &Service, team: Option<&Team>) -> Vec<WorkKey> {
        let Inbound { parts, method, host, target, .. } = &self.inbound;
        let shared = &parts[..parts.len().saturating_sub(1)];
        let ids: BTreeSet<u64> = shared.iter().map(|part| part.id).collect();
        let target = target.path_and_query().map_or("/", PathAndQuery::as_str);
        let all_ids = parts.iter().map(|part| part.id);
        let head = [host, method.as_str(), target];
        let request = WorkKey::request(team, head, all_ids, &self.body);
        let parts = ids.into_iter().map(|id| WorkKey::part(service, id));
        parts.chain([request]).collect()
    }
}

/// Why a request is refused, or its response lost. The names of the variants are sent to callers
/// and appear in logs and metrics.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The request is malformed.
    Invalid,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or belongs to no team.
    UnknownKey,
    /// No configuration has been read, or the one in force has no matching route or key but
    /// may be out of date.
    NoConfiguration {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The quota of the team is used up.
    OverQuota {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// No upstream can serve the request in time.
    Overloaded {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// No upstream of the service is known or can be reached.
    NoUpstream {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// At which version of the software the stream began that the caller resumes is not known.
    UnknownVersion {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The request holds something that crashes the upstreams that run it.
    CrashesUpstreams {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The daemon is shutting down.
    Leaving {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The deadline passed before the request was sent.
    Expired,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The request was sent and may have been executed, but the response is lost.
    Lost,
}

impl Refusal {
    /// Whether the request has not been executed and never will be.
    pub const fn not_run(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Lost)
    }

    /// Delay after which the caller may retry, if a retry can help.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration { retry_after }
            | Self::OverQuota { retry_after }
            | Self::Overloaded { retry_after }
            | Self::NoUpstream { retry_after }
            | Self::UnknownVersion { retry_after }
            | Self::CrashesUpstreams { retry_after }
            | Self::Leaving { retry_after } => Some(retry_after),
            _ => None,
        }
    }
}
