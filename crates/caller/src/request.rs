//! Checked requests of callers.

use crate::wire::{ChatRequest, CompletionRequest, Message};
use http::{HeaderMap, header};
use serde::{Deserialize, Serialize};
use spindle_types::config::Priority;
use spindle_types::{Adapter, IdempotencyKey, Model, Problems, Span};
use std::time::Duration;

/// The length of an answer whose request names none, in tokens.
pub const MAX_TOKENS_DEFAULT: u32 = 1_024;

/// The longest answer that can be asked for, in tokens.
pub const MAX_TOKENS_LIMIT: u32 = 32_768;

/// The header by which a caller forbids repetition.
pub const REPEAT_HEADER: &str = "bronzespindle-repeat";

/// The header that names a call across retries.
pub const KEY_HEADER: &str = "idempotency-key";

/// The header that says how long the caller waits for the whole answer, as in `8s` or `500ms`.
pub const TIMEOUT_HEADER: &str = "bronzespindle-timeout";

/// Which interface a request came by, and so which form its answer takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// A checked request for a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// The interface used.
    pub form: Form,
    /// The model.
    pub model: Model,
    /// The prompt as the engine receives it.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream the answer.
    pub stream: bool,
    /// The adapter to apply.
    pub adapter: Option<Adapter>,
    /// The order in which queued work is served.
    pub priority: Priority,
}

fn check_model(text: &str, problems: &mut Problems) -> Option<Model> {
    let checked = Model::try_from(text);
    checked.inspect_err(|e| problems.add("model", e, "a model of the configuration")).ok()
}

fn check_length(asked: Option<u32>, problems: &mut Problems) -> u32 {
    let tokens = asked.unwrap_or(MAX_TOKENS_DEFAULT);
    if !(1..=MAX_TOKENS_LIMIT).contains(&tokens) {
        problems.add("max_tokens", tokens, format!("1 to {MAX_TOKENS_LIMIT}"));
    }
    tokens
}

fn render(messages: &[Message]) -> String {
    messages.iter().map(|message| format!("{}: {}\n", message.role, message.content)).collect()
}

impl TryFrom<ChatRequest> for Completion {
    type Error = Problems;

    fn try_from(raw: ChatRequest) -> Result<Self, Problems> {
        let mut problems = Problems::new();
        let model = check_model(&raw.model, &mut problems);
        let max_tokens = check_length(raw.max_tokens, &mut problems);
        if raw.messages.is_empty() {
            problems.add("messages", "no message", "at least one message");
        }
        let ChatRequest { messages, stream, adapter, priority, .. } = raw;
        let prompt = render(&messages);
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
        let max_tokens = check_length(raw.max_tokens, &mut problems);
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

/// The bearer key of a request.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

/// What a caller's headers say on repetition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// The caller forbids repetition.
    Never,
    /// The configuration decides.
    Unstated,
}

/// Whether a caller forbids repetition.
pub fn repeatability(headers: &HeaderMap) -> Repeatability {
    match headers.get(REPEAT_HEADER) {
        Some(value) if value.as_bytes().eq_ignore_ascii_case(b"never") => Repeatability::Never,
        _ => Repeatability::Unstated,
    }
}

/// The idempotency key of a request, if it has one.
///
/// # Errors
///
/// The key is not valid.
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

/// How long the caller waits for the whole answer, if it says so.
///
/// # Errors
///
/// The header holds no time span.
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
