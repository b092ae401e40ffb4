//! The protocol between daemon and upstreams, as a trait: the adapter of a platform knows the names
//! of the headers, this crate what they mean.

use crate::request::Inbound;
use http::{HeaderMap, response};
use spindle_policy::upstream_limit::RequestRate;
use spindle_policy::upstream_registry::UpstreamId;
use spindle_types::Team;
use std::time::Duration;

/// What the daemon adds to a caller's request when it forwards it to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ForwardContext<'a> {
    /// Upstream that the request is meant for; any other refuses it.
    pub upstream_id: &'a UpstreamId,
    /// Team of the caller; `None` if the route needs no API key.
    pub team: Option<&'a Team>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Id of the last event received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// Priority at an engine, from 0, the highest, to 9; `None` if the upstream is no engine.
    pub engine_priority: Option<u32>,
}

/// Load that an upstream reports in a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Number of requests running or waiting there.
    pub requests: u32,
    /// Number of requests of these that are waiting.
    pub waiting: u32,
    /// Number of requests that it runs at a time; 0 if it doesn't say.
    pub slots: u32,
}

/// What the head of the response to an executed request says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExecutedResponse {
    /// Load that the upstream reports.
    pub load: Option<ReportedLoad>,
    /// How long the upstream keeps the connection open while it is idle, if it says so.
    pub keep_alive: Option<Duration>,
    /// Whether the upstream closes the connection after the response.
    pub close: bool,
}

/// What the head of a response means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// The upstream has executed the request, and this is its response.
    Executed(ExecutedResponse),
    /// The upstream has not executed the request. It may be sent there again.
    Refused {
        /// Load that the upstream reports.
        load: Option<ReportedLoad>,
    },
    /// The address now belongs to another upstream, which has not executed the request.
    WrongUpstream,
    /// The response belongs to another request or does not come from the upstream.
    Invalid,
}

/// The rate limit that a response reports. It applies to the sum over all daemons.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The response reports no limit.
    #[default]
    None,
    /// The upstream accepts requests up to this rate.
    Rate(RequestRate),
    /// The reported value is not a valid rate; this is its text.
    Invalid(String),
}

/// What the head of a response says of the upstream's own state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Whether the upstream is shutting down and accepts no new requests.
    pub leaving: bool,
    /// How long the upstream accepts no requests of this daemon.
    pub pause: NamedPause,
    /// The rate of requests that the upstream accepts.
    pub limit: NamedLimit,
    /// The number of rejections in a second at which the upstream fails, if it says that it is
    /// brittle.
    pub brittle: Option<u32>,
}

/// How long an upstream that has rejected a request accepts no further ones of this daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum NamedPause {
    /// The response names no pause.
    #[default]
    None,
    /// It accepts none for this time.
    For(Duration),
    /// The reported value is not a valid time; this is its text.
    Invalid(String),
}

/// Translation to and from the headers of the upstreams.
pub trait UpstreamProtocol: Clone + Send + Sync + 'static {
    /// Returns the headers of the request that is sent to an upstream.
    fn request_headers(&self, inbound: &Inbound, context: &ForwardContext<'_>) -> HeaderMap;

    /// Tells what the head of the response to a request means.
    fn classify_response(&self, inbound: &Inbound, head: &response::Parts) -> ResponseClass;

    /// Whether the head of a response names the request that it belongs to, or the request has no name.
    fn names_request(&self, inbound: &Inbound, head: &response::Parts) -> bool;

    /// Returns what the head of a response says of the upstream's own state.
    fn notice(&self, head: &response::Parts) -> UpstreamNotice;
}
