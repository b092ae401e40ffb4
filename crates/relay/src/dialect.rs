//! How upstreams are spoken to: the names of headers are theirs, the meaning is ours.

use crate::inbound::Inbound;
use http::{HeaderMap, response};
use spindle_policy::upstream_registry::UpstreamId;
use spindle_types::Team;
use std::time::Duration;

/// What a request carries to an upstream beside what its caller sent.
#[derive(Clone, Copy, Debug)]
pub struct Onward<'a> {
    /// The upstream that must take it, and no other.
    pub life: &'a UpstreamId,
    /// The team, unless the route asks for no key.
    pub team: Option<&'a Team>,
    /// The time left.
    pub left: Duration,
    /// The event after which the stream is to go on.
    pub after: Option<&'a str>,
    /// The rank at an engine, from 0, which is first, to 9.
    pub rank: Option<u32>,
}

/// What an upstream tells of its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reported {
    /// Requests at work or waiting.
    pub requests: u32,
}

/// An answer of an upstream that worked on the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ran {
    /// Its load.
    pub load: Option<Reported>,
    /// How long it keeps the connection open unused, if it says so.
    pub keep: Option<Duration>,
    /// Whether it closes the connection.
    pub close: bool,
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heading {
    /// The upstream worked on the request, and this is its answer.
    Ran(Ran),
    /// The upstream has not run the request, and may be asked again.
    Refused {
        /// Its load.
        load: Option<Reported>,
    },
    /// Another upstream has the address; the request has not run.
    Elsewhere,
    /// The answer is not to this request, or can't be the upstream's.
    Foreign,
}

/// The headers of the upstreams.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// The headers of a request to an upstream.
    fn onward(&self, inbound: &Inbound, onward: &Onward<'_>) -> HeaderMap;

    /// What the head of an answer to the request means.
    fn heading(&self, inbound: &Inbound, head: &response::Parts) -> Heading;
}
