//! Validation of callers' requests and headers.

use crate::wire::{ChatRequest, CompletionRequest, Message};
use http::{HeaderMap, header};
use serde::{Deserialize, Serialize};
use spindle_types::config::Priority;
use spindle_types::{Adapter, IdempotencyKey, Model, Problems, Span};
use std::time::Duration;

/// Default of `max_tokens`: the maximum length of an answer, in tokens.
pub const MAX_TOKENS_DEFAULT: u32 = 1_024;

/// Largest value allowed for `max_tokens`.
pub const MAX_TOKENS_LIMIT: u32 = 32_768;

/// Header with which a caller forbids retries of its call, with the value `never`.
pub const REPEAT_HEADER: &str = "bronzespindle-repeat";

/// Header with the key that identifies a call across the caller's retries.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header that states how long the caller waits for the whole answer, for example `8s` or `500ms`.
pub const TIMEOUT_HEADER: &str = "bronzespindle-timeout";

/// The API endpoint of a request, which determines the format of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// A validated request for a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// API endpoint used.
    pub form: Form,
    /// Requested model.
    pub model: Model,
    /// Prompt text for the engine.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream the answer.
    pub stream: bool,
    /// Adapter to apply, if any.
    pub adapter: Option<Adapter>,
    /// Priority in queues.
    pub priority: Priority,
}

fn check_model(text: &str, problems: &mut Problems) -> Option<Model> {
    let checked = Model::try_from(text);
    checked.inspect_err(|e| problems.add("model", e, "a model of the configuration")).ok()
}

fn check_max_tokens(requested: Option<u32>, problems: &mut Problems) -> u32 {
    let tokens = requested.unwrap_or(MAX_TOKENS_DEFAULT);
    if !(1..=MAX_TOKENS_LIMIT).contains(&tokens) {
        problems.add("max_tokens", tokens, format!("1 to {MAX_TOKENS_LIMIT}"));
    }
    tokens
}

fn render_prompt(messages: &[Message]) -> String {
    messages.iter().map(|message| format!("{}: {}\n", message.role, message.content)).collect()
}

impl TryFrom<ChatRequest> for Completion {
    type Error = Problems;

    fn try_from(raw: ChatRequest) -> Result<Self, Problems> {
        let mut problems = Problems::new();
        let model = check_model(&raw.model, &mut problems);
        let max_tokens = check_max_tokens(raw.max_tokens, &mut problems);
        if raw.messages.is_empty() {
            problems.add("messages", "no message", "at least one message");
        }
        let ChatRequest { messages, stream, adapter, priority, .. } = raw;
        let prompt = render_prompt(&messages);
        let form = Form::Chat;
        let build = |model| Self { form, model, prompt, max_tokens, stream, adapter, priority };
        finish(problems, model, build)
    }
}

impl TryFrom<CompletionRequest> for Completion {
    type Error = Problems;

    fn try_from(raw: CompletionRequest) -> Result<Self, Problems> {
        let mut problems = Problems::new();
        let model = check_model(&raw.model, &mut problems);
        let max_tokens = check_max_tokens(raw.max_tokens, &mut problems);
        let CompletionRequest { prompt, stream, adapter, priority, .. } = raw;
        let form = Form::Text;
        let build = |model| Self { form, model, prompt, max_tokens, stream, adapter, priority };
        finish(problems, model, build)
    }
}

fn finish(
    problems: Problems,
    model: Option<Model>,
    build: impl FnOnce(Model) -> Completion,
) -> Result<Completion, Problems> {
    match model {
        Some(model) => problems.finish(|| build(model)),
        None => Err(problems),
    }
}

/// Returns the bearer token (API key) of a request, if it has one.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// What the headers of a call state about retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// The caller forbids retries.
    Never,
    /// The caller states nothing; the configuration decides.
    Unstated,
}

/// Reads from the headers whether the caller forbids retries.
pub fn repeatability(headers: &HeaderMap) -> Repeatability {
    match headers.get(REPEAT_HEADER) {
        Some(value) if value.as_bytes().eq_ignore_ascii_case(b"never") => Repeatability::Never,
        _ => Repeatability::Unstated,
    }
}

/// Returns the idempotency key of a request, if it has one.
///
/// # Errors
///
/// The key is invalid.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Problems> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
    IdempotencyKey::try_from(text).map(Some).map_err(|error| {
        let mut problems = Problems::new();
        problems.add(KEY_HEADER, error, "1 to 200 printable ASCII characters");
        problems
    })
}

/// Returns how long the caller waits for the whole answer, if it states so.
///
/// # Errors
///
/// The header is not a valid time span.
pub fn caller_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Problems> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let span: Result<Span, _> = String::from_utf8_lossy(value.as_bytes()).parse();
    span.map(|span| Some(span.get())).map_err(|error| {
        let mut problems = Problems::new();
        problems.add(TIMEOUT_HEADER, error, "a time span such as 8s or 500ms");
        problems
    })
}

#[cfg(test)]
mod tests;
