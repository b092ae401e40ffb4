//! A client whose errors tell a call that was never sent from one whose answer was lost.

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

/// The time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The longest part of an error body that is kept, in bytes.
const ERROR_BODY_MAX_BYTES: usize = 4_096;

/// Why a call brought no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The call was sent, or may have been; its answer was lost or late.
    #[error("answer lost: {0}")]
    Lost(String),
    /// The peer answered with a status other than success.
    #[error("status {status}: {body}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body, cut off at a few kilobytes.
        body: String,
    },
    /// The answer arrived but is not of the expected form.
    #[error("answer is not valid: {0}")]
    Form(String),
}

/// An HTTP client that keeps connections open.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Body>,
    timeout: Duration,
    max: usize,
}

impl Client {
    /// A client whose JSON calls take at most `timeout` and bring at most `max` bytes.
    pub fn new(timeout: Duration, max: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { inner, timeout, max }
    }

    /// Sends a request and returns the response once its headers have arrived, with no time limit.
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

    /// Sends a JSON value and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], or the answer is late, an error status, or not of the expected form.
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

    /// Reads a JSON answer.
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
        let late = |_| CallError::Lost(format!("no answer within {:?}", self.timeout));
        let response = tokio::time::timeout(self.timeout, sending).await.map_err(late)??;
        let status = response.status();
        if !status.is_success() {
            let body = error_body(response, self.timeout).await;
            return Err(CallError::Status { status, body });
        }
        read_body(response.into_body(), self.max, self.timeout).await.map_err(|error| match error {
            ReadError::Size { .. } => CallError::Form(error.to_string()),
            _ => CallError::Lost(error.to_string()),
        })
    }
}

/// The first part of an error answer's body, for messages.
pub async fn error_body(response: Response<Incoming>, timeout: Duration) -> String {
    match read_body(response.into_body(), ERROR_BODY_MAX_BYTES, timeout).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => error.to_string(),
    }
}

/// A request with an optional JSON body.
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
