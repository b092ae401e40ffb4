//! A client of the API for callers, which validates streamed answers while it reads them.

use crate::addresses::{PREFERRED_DAEMON_HEADER, PREFIX_HEADER};
use futures_util::StreamExt;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use spindle_caller::AddressReply;
use spindle_caller::request::{KEY_HEADER, TIMEOUT_HEADER};
use spindle_caller::wire::{Reply, Usage};
use spindle_http::client::error_body;
use spindle_http::event::BodyEvents;
use spindle_http::{Body, CallError, Client, Event, decode_events, read_body};
use spindle_types::config::Priority;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The timeout for answers that are not streamed.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum size of an answer that is not streamed, in bytes.
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// The type of the event with which a daemon asks the caller to continue at another daemon.
const MOVE_EVENT: &str = "move";

/// Why a call did not return a complete answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection failed, or the daemon's answer was lost or has an invalid format.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The daemon refused the request.
    #[error("refused: {0:?}")]
    Refused(Refused),
    /// The daemon asks the caller to continue at another daemon.
    #[error("the daemon asks the caller to continue at another daemon")]
    MoveRequested,
    /// The stream violates the protocol.
    #[error("invalid stream: {0}")]
    Stream(String),
}

/// The outcome of a request according to a problem document.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was not run.
    NotRun,
    /// The request may have run.
    #[default]
    #[serde(other)]
    Unknown,
}

/// A refusal, parsed from the response to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// The reason given in the problem document.
    pub reason: Option<String>,
    /// The delay after which the caller may retry, from the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// The text of the problem document, truncated to a few kilobytes.
    pub document: String,
}

impl Refused {
    fn new(status: StatusCode, headers: &HeaderMap, document: String) -> Self {
        #[derive(Deserialize)]
        struct Problem {
            #[serde(default)]
            outcome: Outcome,
            #[serde(default)]
            reason: Option<String>,
        }
        let problem: Option<Problem> = serde_json::from_str(&document).ok();
        let (outcome, reason) =
            problem.map(|problem| (problem.outcome, problem.reason)).unwrap_or_default();
        let after = headers.get(header::RETRY_AFTER);
        let seconds = after.and_then(|value| value.to_str().ok()?.parse().ok());
        Self { status, outcome, reason, retry_after: seconds.map(Duration::from_secs), document }
    }
}

/// A chat request.
#[derive(Clone, Copy, Debug)]
pub struct Chat<'a> {
    /// The name of the model.
    pub model: &'a str,
    /// The content of the user message.
    pub prompt: &'a str,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// The priority class of the request.
    pub priority: Priority,
    /// The label of the request's prefix family, the same as in the address query. Requests of a family
    /// share a prompt prefix.
    pub prefix: Option<&'a str>,
    /// How long the caller waits for the whole answer. Sent to the daemon if it is set.
    pub patience: Option<Duration>,
}

/// A call to a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The HTTP method.
    pub method: &'a Method,
    /// The path within the service, starting with `/`.
    pub path: &'a str,
    /// The idempotency key, if any.
    pub key: Option<&'a str>,
    /// The request body.
    pub body: &'a str,
}

/// A client that authenticates as one team.
#[derive(Clone, Debug)]
pub struct CallerClient {
    client: Client,
    key: String,
}

impl CallerClient {
    /// Creates a client with the bearer key of a team.
    pub fn new(key: impl Into<String>) -> Self {
        Self { client: Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES), key: key.into() }
    }

    /// Asks a daemon for the addresses of the daemons to use.
    ///
    /// # Errors
    ///
    /// As [`CallerClient::addresses_for`].
    pub async fn addresses(&self, daemon: SocketAddr) -> Result<AddressReply, ClientError> {
        self.addresses_for(daemon, "").await
    }

    /// Asks a daemon for the addresses of the daemons to use for what `query` names, such as
    /// `model=NAME`.
    ///
    /// # Errors
    ///
    /// The daemon refused the request, or its answer was lost.
    pub async fn addresses_for(
        &self,
        daemon: SocketAddr,
        query: &str,
    ) -> Result<AddressReply, ClientError> {
        let path = format!("/v1/addresses?{query}");
        let request = self.request(Method::GET, daemon, &path, Body::Empty)?;
        let sending = tokio::time::timeout(CALL_TIMEOUT, self.client.send(request)).await;
        let response =
            sending.map_err(|_| CallError::Lost("timeout without an answer".to_owned()))??;
        let content = success_body(response).await?;
        serde_json::from_slice(&content).map_err(|e| CallError::Form(e.to_string()).into())
    }

    /// Starts a streamed chat of interactive priority.
    ///
    /// # Errors
    ///
    /// As [`CallerClient::start_chat`].
    pub async fn chat(
        &self,
        daemon: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<ChatStream, ClientError> {
        let priority = Priority::Interactive;
        let chat = Chat { model, prompt, max_tokens, priority, prefix: None, patience: None };
        self.start_chat(daemon, chat).await
    }

    /// Starts a streamed chat.
    ///
    /// # Errors
    ///
    /// The daemon refused the request, or its answer was lost.
    pub async fn start_chat(
        &self,
        daemon: SocketAddr,
        chat: Chat<'_>,
    ) -> Result<ChatStream, ClientError> {
        let body = json!({
            "model": chat.model,
            "messages": [{ "role": "user", "content": chat.prompt }],
            "max_tokens": chat.max_tokens,
            "priority": chat.priority,
            "stream": true,
        });
        let body = Body::from(body.to_string());
        let mut request = self.request(Method::POST, daemon, "/v1/chat/completions", body)?;
        if let Some(prefix) = chat.prefix.and_then(|prefix| prefix.parse().ok()) {
            request.headers_mut().insert(PREFIX_HEADER, prefix);
        }
        if let Some(patience) = chat.patience {
            let text = format!("{}ms", patience.as_millis());
            if let Ok(value) = http::HeaderValue::try_from(text) {
                request.headers_mut().insert(TIMEOUT_HEADER, value);
            }
        }
        let response = require_success(self.client.send(request).await?).await?;
        Ok(ChatStream::new(response, 0))
    }

    /// Continues to read a streamed answer after its connection was lost, at any daemon.
    ///
    /// # Errors
    ///
    /// The daemon does not have the answer, or the connection to it failed.
    pub async fn pick_up(
        &self,
        daemon: SocketAddr,
        lost: &ChatStream,
    ) -> Result<ChatStream, ClientError> {
        let path = format!("/v1/requests/{}", lost.id);
        let mut request = self.request(Method::GET, daemon, &path, Body::Empty)?;
        let headers = request.headers_mut();
        headers.insert(header::ACCEPT, http::HeaderValue::from_static("text/event-stream"));
        if let Some(id) = lost.last_event_id.as_ref().and_then(|id| id.parse().ok()) {
            headers.insert("last-event-id", id);
        }
        let response = require_success(self.client.send(request).await?).await?;
        Ok(ChatStream { id: lost.id.clone(), ..ChatStream::new(response, lost.next_offset) })
    }

    /// Calls a plain service and returns the status and the body, also if the status is an error.
    ///
    /// # Errors
    ///
    /// The daemon's answer was lost.
    pub async fn call(
        &self,
        daemon: SocketAddr,
        call: ServiceCall<'_>,
    ) -> Result<(StatusCode, String), ClientError> {
        let response = self.send_call(daemon, call).await?;
        let status = response.status();
        let body = read_body(response.into_body(), ANSWER_MAX_BYTES, CALL_TIMEOUT).await;
        let body = body.map_err(|error| CallError::Lost(error.to_string()))?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Calls a plain service and returns the body. An error status is returned as a
    /// [`ClientError::Refused`].
    ///
    /// # Errors
    ///
    /// The daemon or the service refused the call, or the answer was lost.
    pub async fn call_checked(
        &self,
        daemon: SocketAddr,
        call: ServiceCall<'_>,
    ) -> Result<String, ClientError> {
        let body = success_body(self.send_call(daemon, call).await?).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Sends a call to a plain service and returns the response with any status.
    async fn send_call(
        &self,
        daemon: SocketAddr,
        call: ServiceCall<'_>,
    ) -> Result<Response<Incoming>, CallError> {
        let path = format!("/v1/services/{}{}", call.service, call.path);
        let body = Body::from(call.body.to_owned());
        let mut request = self.request(call.method.clone(), daemon, &path, body)?;
        if let Some(key) = call.key.and_then(|key| key.parse().ok()) {
            request.headers_mut().insert(KEY_HEADER, key);
        }
        self.client.send(request).await
    }

    /// Builds a request with the team's bearer key.
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

/// Returns a successful response, or the refusal that it contains.
async fn require_success(response: Response<Incoming>) -> Result<Response<Incoming>, ClientError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let headers = response.headers().clone();
    let document = error_body(response, CALL_TIMEOUT).await;
    Err(ClientError::Refused(Refused::new(status, &headers, document)))
}

/// Reads the whole body of a successful response.
async fn success_body(response: Response<Incoming>) -> Result<bytes::Bytes, ClientError> {
    let body = require_success(response).await?.into_body();
    let read = read_body(body, ANSWER_MAX_BYTES, CALL_TIMEOUT).await;
    read.map_err(|error| CallError::Lost(error.to_string()).into())
}

/// A streamed chat answer.
pub struct ChatStream {
    events: BodyEvents,
    id: String,
    /// The id of the last event that was read.
    last_event_id: Option<String>,
    /// The offset of the next token; equal to the number of tokens read.
    next_offset: u32,
    /// The offset at which this connection started. After a reconnection, the daemon may repeat events
    /// with lower offsets.
    start_offset: u32,
    usage: Option<Usage>,
    has_redirect_hint: bool,
}

impl ChatStream {
    fn new(response: Response<Incoming>, start_offset: u32) -> Self {
        let has_redirect_hint = response.headers().contains_key(PREFERRED_DAEMON_HEADER);
        let events = decode_events(response.into_body());
        Self {
            events,
            id: String::new(),
            last_event_id: None,
            next_offset: start_offset,
            start_offset,
            usage: None,
            has_redirect_hint,
        }
    }

    /// Whether the response names another daemon that the caller should use from now on.
    pub const fn has_redirect_hint(&self) -> bool {
        self.has_redirect_hint
    }

    /// The request's id. `None` until an event has been read.
    pub fn id(&self) -> Option<&str> {
        (!self.id.is_empty()).then_some(self.id.as_str())
    }

    /// The number of tokens read.
    pub const fn tokens_read(&self) -> u32 {
        self.next_offset
    }

    /// The new text of the next event. `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// The stream ended early, repeated or skipped an offset, or the daemon asks the caller to continue
    /// at another daemon.
    pub async fn next(&mut self) -> Result<Option<String>, ClientError> {
        let Some(event) = self.events.next().await else {
            return Err(ClientError::Stream("it ended before [DONE]".to_owned()));
        };
        let event = event?;
        if event.event == MOVE_EVENT {
            return Err(ClientError::MoveRequested);
        }
        if event.data == "[DONE]" {
            return match self.usage {
                Some(_) => Ok(None),
                None => Err(ClientError::Stream("[DONE] without a finish".to_owned())),
            };
        }
        self.on_event(&event).map(Some)
    }

    /// Validates the offset of an event and returns the part of its text that is new.
    fn on_event(&mut self, event: &Event) -> Result<String, ClientError> {
        let invalid = |text: String| ClientError::Stream(text);
        let reply: Reply =
            serde_json::from_str(&event.data).map_err(|error| invalid(error.to_string()))?;
        let offset: u32 =
            event.id.parse().map_err(|_| invalid(format!("event id {:?}", event.id)))?;
        if offset > self.next_offset || (offset < self.next_offset && offset >= self.start_offset) {
            return Err(invalid(format!("offset {offset} in place of {}", self.next_offset)));
        }
        self.id = reply.id;
        self.last_event_id = Some(event.id.clone());
        if reply.usage.is_some() {
            self.usage = reply.usage;
        }
        let delta = reply.choices.into_iter().next().and_then(|choice| choice.delta);
        let text = delta.and_then(|delta| delta.content).unwrap_or_default();
        let repeated = usize::try_from(self.next_offset - offset).unwrap_or(usize::MAX);
        let new = skip_tokens(&text, repeated);
        self.next_offset += count_tokens(new);
        Ok(new.to_owned())
    }

    /// Reads the rest of the answer and returns its text.
    ///
    /// # Errors
    ///
    /// As [`ChatStream::next`].
    pub async fn read_to_end(&mut self) -> Result<String, ClientError> {
        let mut content = String::new();
        while let Some(text) = self.next().await? {
            content.push_str(&text);
        }
        Ok(content)
    }

    /// The token counts. `None` until they have been read near the end of the stream.
    pub const fn usage(&self) -> Option<Usage> {
        self.usage
    }
}

/// The number of tokens in a text generated by a stand-in, whose tokens each start with a space.
fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.matches(' ').count()).unwrap_or(u32::MAX)
}

/// The text without its first `count` tokens.
fn skip_tokens(text: &str, count: usize) -> &str {
    let start = text.match_indices(' ').nth(count).map_or(text.len(), |(index, _)| index);
    if count == 0 { text } else { &text[start..] }
}
