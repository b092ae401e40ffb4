//! An HTTP client whose errors distinguish a call that was never sent from one whose response was
//! lost.

use crate::body::Body;
use crate::read::{ReadError, read_body};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of the body of an error response that is read, in bytes.
const ERROR_BODY_MAX_BYTES: usize = 4_096;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[error("connect failed: {0}")]
    NotSent(String),
    /// The call was or may have been sent, but its response was lost or did not arrive in time.
    #[error("response lost: {0}")]
    Lost(String),
    /// The peer responded with a status other than 2xx.
    #[error("status {status}: {body}")]
    Status {
        /// HTTP status of the response.
        status: StatusCode,
        /// Body of the response, or why it could not be read; a body over a few kilobytes is not
        /// read.
        body: String,
    },
    /// The response arrived but could not be decoded.
    #[error("invalid response: {0}")]
    Form(String),
}

/// HTTP client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Body>,
    timeout: Duration,
    max_body_bytes: usize,
}

impl Client {
    /// Creates a client. JSON calls time out after `timeout` and fail if the response exceeds `max`
    /// bytes.
    pub fn new(timeout: Duration, max_body_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { inner, timeout, max_body_bytes }
    }

    /// Sends a request and returns the response once its headers have arrived. Has no timeout.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] if no connection was made, else [`CallError::Lost`].
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Incoming>, CallError> {
        self.inner.request(request).await.map_err(|error| {
            let text = format!("{error:?}");
            if error.is_connect() { CallError::NotSent(text) } else { CallError::Lost(text) }
        })
    }

    /// Sends a JSON value and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], or the response is late, has an error status, or can't be decoded.
    pub async fn call<Q, A>(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        value: Option<&Q>,
    ) -> Result<A, CallError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let request = json_request(method, peer, path, value)?;
        let content = self.exchange(request).await?;
        serde_json::from_slice(&content).map_err(|error| CallError::Form(error.to_string()))
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
    ) -> Result<A, CallError> {
        self.call::<(), A>(Method::GET, peer, path, None).await
    }

    async fn exchange(&self, request: Request<Body>) -> Result<Bytes, CallError> {
        let sending = self.send(request);
        let timed_out = |_| CallError::Lost(format!("no response within {:?}", self.timeout));
        let response = tokio::time::timeout(self.timeout, sending).await.map_err(timed_out)??;
        let status = response.status();
        if !status.is_success() {
            let body = error_body(response, self.timeout).await;
            return Err(CallError::Status { status, body });
        }
        read_body(response.into_body(), self.max_body_bytes, self.timeout).await.map_err(|error| {
            match error {
                ReadError::Size { .. } => CallError::Form(error.to_string()),
                _ => CallError::Lost(error.to_string()),
            }
        })
    }
}

/// Reads the body of an error response for use in a message. Returns the read error as text if the
/// body is too large or late.
pub async fn error_body(response: Response<Incoming>, timeout: Duration) -> String {
    match read_body(response.into_body(), ERROR_BODY_MAX_BYTES, timeout).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => error.to_string(),
    }
}

/// Builds a request with an optional JSON body.
///
/// # Errors
///
/// [`CallError::Form`] if the value can't be encoded or the path is not valid.
pub fn json_request<Q: Serialize>(
    method: Method,
    peer: SocketAddr,
    path: &str,
    value: Option<&Q>,
) -> Result<Request<Body>, CallError> {
    let body = match value {
        Some(value) => serde_json::to_vec(value).map(|content| Body::Whole(content.into())),
        None => Ok(Body::Empty),
    };
    let body = body.map_err(|error| CallError::Form(error.to_string()))?;
    Request::builder()
        .method(method)
        .uri(format!("http://{peer}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|error| CallError::Form(error.to_string()))
}
