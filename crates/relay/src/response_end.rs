//! How the end of an upstream's response is marked, and how responses end.

use http::{Response, header};
use hyper::body::Body;
use spindle_http::ReadError;
use strum::IntoStaticStr;

/// How the end of a response body is marked. The names of the variants are written to logs and
/// metrics.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// By its length, or there can be no body.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, so a body that was cut off may look complete.
    Close,
}

impl Framing {
    /// Returns how the end of the body of `response` is marked, as its HTTP parser understood it.
    pub fn of<B: Body>(response: &Response<B>) -> Self {
        if response.body().size_hint().exact().is_some() {
            return Self::Length;
        }
        let codings = response.headers().get_all(header::TRANSFER_ENCODING);
        let last = codings.iter().next_back().and_then(|value| value.to_str().ok());
        let last = last.and_then(|codings| codings.rsplit(',').next()).unwrap_or_default();
        if last.trim().eq_ignore_ascii_case("chunked") { Self::Chunked } else { Self::Close }
    }
}

/// How an upstream's response ended. The names of the variants are written to logs and metrics.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ResponseEnd {
    /// It is complete, as far as its framing tells.
    Complete,
    /// It ended inside an event.
    MidEvent,
    /// Its connection ended before the first event.
    NoEvent,
    /// It goes on with a stream that broke off, and ended without any further event.
    Unconfirmed,
    /// The ids of its events don't increase, or one is left out.
    Disordered,
    /// The transfer broke off, or its framing is invalid.
    Broken,
    /// It holds an event that exceeds the size limit.
    Oversized,
    /// The upstream sent nothing for too long.
    Silent,
    /// The deadline of the request passed.
    Expired,
    /// The caller disconnected.
    CallerLeft,
}

impl ResponseEnd {
    /// How a response ended whose body could not be read.
    pub(crate) const fn of_read(error: &ReadError) -> Self {
        match error {
            ReadError::Size { .. } | ReadError::Memory { .. } => Self::Oversized,
            ReadError::Timeout(_) => Self::Expired,
            ReadError::Broken(_) | ReadError::Form(_) => Self::Broken,
        }
    }
}

#[cfg(test)]
mod tests;
