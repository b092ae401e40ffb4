//! Client of plain services.

use crate::headers::remove_hop_by_hop;
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Request, Response, Uri, Version, header};
use hyper::body::Incoming;
use spindle_http::{Body, CallError, Client};
use spindle_types::UpstreamRefusal;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the calls of [`Client`]'s own helper methods. Forwarded calls have their own timeouts.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the answers to those helper calls, in bytes.
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// The outcome of a forwarded call.
#[derive(Debug)]
pub enum CallOutcome<R> {
    /// The service answered; the body has not been read yet.
    Answered(Response<R>),
    /// The call was never sent to the service.
    NotSent {
        /// Proof that nothing was sent.
        proof: UpstreamRefusal,
        /// Message of the transport.
        text: String,
    },
    /// The answer was lost; the call may have run.
    Lost(String),
}

/// The calls to plain services.
pub trait Service: Clone + Send + Sync + 'static {
    /// The body type of an answer.
    type Answer: http_body::Body<Data = bytes::Bytes, Error: std::fmt::Display + Send>
        + Send
        + Unpin;

    /// Forwards a call. The path of its URI is relative to the service.
    fn call(
        &self,
        service: SocketAddr,
        request: Request<Body>,
    ) -> impl Future<Output = CallOutcome<Self::Answer>> + Send;
}

/// Calls to plain services over HTTP.
#[derive(Clone, Debug)]
pub struct HttpService {
    client: Client,
}

impl HttpService {
    /// Creates a client with its own connection pool.
    pub fn new() -> Self {
        Self { client: Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES) }
    }
}

impl Default for HttpService {
    fn default() -> Self {
        Self::new()
    }
}

impl Service for HttpService {
    type Answer = Incoming;

    async fn call(&self, service: SocketAddr, mut request: Request<Body>) -> CallOutcome<Incoming> {
        let proof = UpstreamRefusal::never_connected;
        let uri = match upstream_uri(service, request.uri()) {
            Ok(uri) => uri,
            Err(error) => {
                return CallOutcome::NotSent { proof: proof(), text: error.to_string() };
            }
        };
        *request.uri_mut() = uri;
        remove_hop_by_hop(request.headers_mut());
        request.headers_mut().remove(header::HOST);
        match self.client.send(request).await {
            Ok(mut response) => {
                remove_hop_by_hop(response.headers_mut());
                // With the version of a service of HTTP/1.0, the caller would get no chunks, and take
                // an answer that is cut off for complete.
                *response.version_mut() = Version::HTTP_11;
                CallOutcome::Answered(response)
            }
            Err(CallError::NotSent(text)) => CallOutcome::NotSent { proof: proof(), text },
            Err(error) => CallOutcome::Lost(error.to_string()),
        }
    }
}

fn upstream_uri(service: SocketAddr, uri: &Uri) -> Result<Uri, http::Error> {
    let path = uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
    let authority = Authority::try_from(service.to_string())?;
    Uri::builder().scheme(Scheme::HTTP).authority(authority).path_and_query(path).build()
}

#[cfg(test)]
mod tests;
