//! A client of the callers' interface, which checks streamed answers as it reads them.

use futures_util::StreamExt;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde_json::json;
use spindle_caller::AddressReply;
use spindle_caller::request::KEY_HEADER;
use spindle_caller::wire::{Reply, Usage};
use spindle_http::client::error_body;
use spindle_http::event::BodyEvents;
use spindle_http::{Body, CallError, Client, Event, events, read_body};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The time within which short answers must arrive.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest short answer, in bytes.
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// Why a call brought no whole answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The daemon refused, or its answer was lost.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The stream is not what the interface promises.
    #[error("stream is not valid: {0}")]
    Stream(String),
}

/// A call to a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// The service.
    pub service: &'a str,
    /// The method.
    pub method: &'a Method,
    /// The path below the service.
    pub path: &'a str,
    /// The idempotency key, if any.
    pub key: Option<&'a str>,
    /// The body.
    pub body: &'a str,
}

/// A caller of one team.
#[derive(Clone, Debug)]
pub struct CallerClient {
    client: Client,
    key: String,
}

impl CallerClient {
    /// A caller with a team's bearer key.
    pub fn new(key: impl Into<String>) -> Self {
        Self { client: Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES), key: key.into() }
    }

    /// Asks a daemon which addresses to use.
    ///
    /// # Errors
    ///
    /// The daemon refused, or its answer was lost.
    pub async fn addresses(&self, daemon: SocketAddr) -> Result<AddressReply, ClientError> {
        let request = self.request(Method::GET, daemon, "/v1/addresses", Body::Empty)?;
        let response = self.client.send(request).await?;
        let content = whole(response).await?;
        serde_json::from_slice(&content).map_err(|e| CallError::Form(e.to_string()).into())
    }

    /// Starts a streamed chat.
    ///
    /// # Errors
    ///
    /// The daemon refused, or its answer was lost.
    pub async fn chat(
        &self,
        daemon: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<ChatStream, ClientError> {
        let body = json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "stream": true,
        });
        let body = Body::from(body.to_string());
        let request = self.request(Method::POST, daemon, "/v1/chat/completions", body)?;
        let response = checked(self.client.send(request).await?).await?;
        Ok(ChatStream { events: events(response.into_body()), next: 0, usage: None })
    }

    /// Calls a plain service and returns the status and the body, whatever the status.
    ///
    /// # Errors
    ///
    /// The daemon's answer was lost.
    pub async fn call(
        &self,
        daemon: SocketAddr,
        call: ServiceCall<'_>,
    ) -> Result<(StatusCode, String), ClientError> {
        let path = format!("/v1/services/{}{}", call.service, call.path);
        let body = Body::from(call.body.to_owned());
        let mut request = self.request(call.method.clone(), daemon, &path, body)?;
        if let Some(key) = call.key.and_then(|key| key.parse().ok()) {
            request.headers_mut().insert(KEY_HEADER, key);
        }
        let response = self.client.send(request).await?;
        let status = response.status();
        let body = read_body(response.into_body(), ANSWER_MAX_BYTES, CALL_TIMEOUT).await;
        let body = body.map_err(|error| CallError::Lost(error.to_string()))?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    fn request(
        &self,
        method: Method,
        daemon: SocketAddr,
        path: &str,
        body: Body,
    ) -> Result<Request<Body>, CallError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{daemon}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(body)
            .map_err(|error| CallError::Form(error.to_string()))
    }
}

async fn checked(response: Response<Incoming>) -> Result<Response<Incoming>, CallError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = error_body(response, CALL_TIMEOUT).await;
    Err(CallError::Status { status, body })
}

async fn whole(response: Response<Incoming>) -> Result<bytes::Bytes, CallError> {
    let body = checked(response).await?.into_body();
    let read = read_body(body, ANSWER_MAX_BYTES, CALL_TIMEOUT).await;
    read.map_err(|error| CallError::Lost(error.to_string()))
}

/// A streamed chat answer.
pub struct ChatStream {
    events: BodyEvents,
    next: u32,
    usage: Option<Usage>,
}

impl ChatStream {
    /// The text of the next event, or none after the whole answer.
    ///
    /// # Errors
    ///
    /// The stream broke off, repeated or skipped an offset.
    pub async fn next(&mut self) -> Result<Option<String>, ClientError> {
        let Some(event) = self.events.next().await else {
            return Err(ClientError::Stream("it ended before [DONE]".to_owned()));
        };
        let event = event?;
        if event.data == "[DONE]" {
            return match self.usage {
                Some(_) => Ok(None),
                None => Err(ClientError::Stream("[DONE] without a finish".to_owned())),
            };
        }
        self.on_event(&event).map(Some)
    }

    fn on_event(&mut self, event: &Event) -> Result<String, ClientError> {
        let invalid = |text: String| ClientError::Stream(text);
        let reply: Reply =
            serde_json::from_str(&event.data).map_err(|error| invalid(error.to_string()))?;
        if event.id.parse() != Ok(self.next) {
            return Err(invalid(format!("offset {} in place of {}", event.id, self.next)));
        }
        if reply.usage.is_some() {
            self.usage = reply.usage;
        }
        let delta = reply.choices.into_iter().next().and_then(|choice| choice.delta);
        let text = delta.and_then(|delta| delta.content).unwrap_or_default();
        // Each token of a stand-in starts with a space.
        self.next += u32::try_from(text.matches(' ').count()).unwrap_or(u32::MAX);
        Ok(text)
    }

    /// Reads the rest and returns it.
    ///
    /// # Errors
    ///
    /// As [`ChatStream::next`].
    pub async fn rest(&mut self) -> Result<String, ClientError> {
        let mut content = String::new();
        while let Some(text) = self.next().await? {
            content.push_str(&text);
        }
        Ok(content)
    }

    /// Token counts, once the answer is whole.
    pub const fn usage(&self) -> Option<Usage> {
        self.usage
    }
}
