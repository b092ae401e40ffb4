//! A client of the callers' interface, which checks streamed answers as it reads them.

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

/// The time within which short answers must arrive.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest short answer, in bytes.
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// The kind of event by which a daemon asks the caller to go on elsewhere.
const MOVE_EVENT: &str = "move";

/// Why a call brought no whole answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The daemon's answer was lost, or no connection to it was made.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The daemon refused.
    #[error("refused: {0:?}")]
    Refused(Refused),
    /// The daemon asks the caller to go on at another one.
    #[error("asked to move")]
    MoveRequested,
    /// The stream is not what the interface promises.
    #[error("stream is not valid: {0}")]
    Stream(String),
}

/// What a problem document says of the request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was not run.
    NotRun,
    /// It may have run.
    #[default]
    #[serde(other)]
    Unknown,
}

/// A refusal as a caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused {
    /// The status.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: Outcome,
    /// Why, as the problem document says.
    pub reason: Option<String>,
    /// When the caller may try again.
    pub retry_after: Option<Duration>,
    /// The document, cut off at a few kilobytes.
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

/// A generation to ask for.
#[derive(Clone, Copy, Debug)]
pub struct Chat<'a> {
    /// The model.
    pub model: &'a str,
    /// What is said to it.
    pub prompt: &'a str,
    /// The most tokens of the answer.
    pub max_tokens: u32,
    /// The order in which it is served.
    pub priority: Priority,
    /// The label of its prefix family, as in the address query.
    pub prefix: Option<&'a str>,
    /// How long the caller waits for the whole answer, if that is to be told.
    pub patience: Option<Duration>,
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
    /// As [`CallerClient::addresses_for`].
    pub async fn addresses(&self, daemon: SocketAddr) -> Result<AddressReply, ClientError> {
        self.addresses_for(daemon, "").await
    }

    /// Asks a daemon which addresses to use; `query` names what for, as in `model=NAME`.
    ///
    /// # Errors
    ///
    /// The daemon refused, or its answer was lost.
    pub async fn addresses_for(
        &self,
        daemon: SocketAddr,
        query: &str,
    ) -> Result<AddressReply, ClientError> {
        let path = format!("/v1/addresses?{query}");
        let request = self.request(Method::GET, daemon, &path, Body::Empty)?;
        let sending = tokio::time::timeout(CALL_TIMEOUT, self.client.send(request)).await;
        let response = sending.map_err(|_| CallError::Lost("no answer in time".to_owned()))??;
        let content = whole(response).await?;
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
    /// The daemon refused, or its answer was lost.
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
        let response = checked(self.client.send(request).await?).await?;
        Ok(ChatStream::new(response, 0))
    }

    /// Picks a streamed answer up after a lost connection, at any daemon.
    ///
    /// # Errors
    ///
    /// The daemon does not have the answer, or its own answer was lost.
    pub async fn pick_up(
        &self,
        daemon: SocketAddr,
        lost: &ChatStream,
    ) -> Result<ChatStream, ClientError> {
        let path = format!("/v1/requests/{}", lost.id);
        let mut request = self.request(Method::GET, daemon, &path, Body::Empty)?;
        let headers = request.headers_mut();
        headers.insert(header::ACCEPT, http::HeaderValue::from_static("text/event-stream"));
        if let Some(last) = lost.last.as_ref().and_then(|last| last.parse().ok()) {
            headers.insert("last-event-id", last);
        }
        let response = checked(self.client.send(request).await?).await?;
        Ok(ChatStream { id: lost.id.clone(), ..ChatStream::new(response, lost.next) })
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
        let response = self.send_call(daemon, call).await?;
        let status = response.status();
        let body = read_body(response.into_body(), ANSWER_MAX_BYTES, CALL_TIMEOUT).await;
        let body = body.map_err(|error| CallError::Lost(error.to_string()))?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Calls a plain service and returns its answer, or the refusal with what it says.
    ///
    /// # Errors
    ///
    /// The daemon or the service refused, or the answer was lost.
    pub async fn call_checked(
        &self,
        daemon: SocketAddr,
        call: ServiceCall<'_>,
    ) -> Result<String, ClientError> {
        let body = whole(self.send_call(daemon, call).await?).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

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

async fn checked(response: Response<Incoming>) -> Result<Response<Incoming>, ClientError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let headers = response.headers().clone();
    let document = error_body(response, CALL_TIMEOUT).await;
    Err(ClientError::Refused(Refused::new(status, &headers, document)))
}

async fn whole(response: Response<Incoming>) -> Result<bytes::Bytes, ClientError> {
    let body = checked(response).await?.into_body();
    let read = read_body(body, ANSWER_MAX_BYTES, CALL_TIMEOUT).await;
    read.map_err(|error| CallError::Lost(error.to_string()).into())
}

/// A streamed chat answer.
pub struct ChatStream {
    events: BodyEvents,
    id: String,
    last: Option<String>,
    next: u32,
    /// Offsets below this one may be repeated, as they are after a pick-up.
    known: u32,
    usage: Option<Usage>,
    steered: bool,
}

impl ChatStream {
    fn new(response: Response<Incoming>, next: u32) -> Self {
        let steered = response.headers().contains_key(PREFERRED_DAEMON_HEADER);
        let events = decode_events(response.into_body());
        Self { events, id: String::new(), last: None, next, known: next, usage: None, steered }
    }

    /// Whether the daemon names another one as the better one from now on.
    pub const fn has_redirect_hint(&self) -> bool {
        self.steered
    }

    /// The request's id, once an event has been read.
    pub fn id(&self) -> Option<&str> {
        (!self.id.is_empty()).then_some(self.id.as_str())
    }

    /// The number of tokens read.
    pub const fn tokens_read(&self) -> u32 {
        self.next
    }

    /// The new text of the next event, or none after the whole answer.
    ///
    /// # Errors
    ///
    /// The stream broke off, repeated or skipped an offset, or the daemon asks to move.
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

    fn on_event(&mut self, event: &Event) -> Result<String, ClientError> {
        let invalid = |text: String| ClientError::Stream(text);
        let reply: Reply =
            serde_json::from_str(&event.data).map_err(|error| invalid(error.to_string()))?;
        let offset: u32 =
            event.id.parse().map_err(|_| invalid(format!("event id {:?}", event.id)))?;
        if offset > self.next || (offset < self.next && offset >= self.known) {
            return Err(invalid(format!("offset {offset} in place of {}", self.next)));
        }
        self.id = reply.id;
        self.last = Some(event.id.clone());
        if reply.usage.is_some() {
            self.usage = reply.usage;
        }
        let delta = reply.choices.into_iter().next().and_then(|choice| choice.delta);
        let text = delta.and_then(|delta| delta.content).unwrap_or_default();
        let repeated = usize::try_from(self.next - offset).unwrap_or(usize::MAX);
        let new = after_tokens(&text, repeated);
        self.next += count_tokens(new);
        Ok(new.to_owned())
    }

    /// Reads the rest and returns it.
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

    /// Token counts, once the answer is whole.
    pub const fn usage(&self) -> Option<Usage> {
        self.usage
    }
}

/// The number of a stand-in's tokens in a text; each starts with a space.
fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.matches(' ').count()).unwrap_or(u32::MAX)
}

/// A text without its first tokens.
fn after_tokens(text: &str, count: usize) -> &str {
    let start = text.match_indices(' ').nth(count).map_or(text.len(), |(index, _)| index);
    if count == 0 { text } else { &text[start..] }
}
