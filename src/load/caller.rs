//! Sends one request as a careful client does: it retries only what is safe to retry, honours
//! `Retry-After`, resumes broken streams, and compares the answer with the expected content.

use crate::client::{CallerClient, Chat, ChatStream, ClientError, Outcome, Refused, ServiceCall};
use crate::load::Targets;
use crate::load::address_cache::AddressCache;
use crate::load::direct::DirectEngines;
use crate::settings::TrafficSettings;
use crate::workload::{Arrival, RequestContent};
use http::{Method, StatusCode};
use serde::Serialize;
use spindle_http::CallError;
use spindle_standin::whole_answer;
use spindle_types::config::Priority;
use spindle_types::{Model, Team};
use std::time::Duration;
use strum::{Display, IntoStaticStr};
use tokio::time::Instant;

/// The delay before a retry when the response has no `Retry-After`.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The refusal reason of a daemon that can't answer before the caller's deadline.
const DEADLINE_UNREACHABLE: &str = "deadline_unreachable";

/// The final outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The complete answer arrived and has the expected content.
    Whole,
    /// Reported as not run, and either not retryable or still not run when the caller gave up.
    NotRun,
    /// The system reported that the outcome is unknown.
    Unknown,
    /// The caller timed out while it waited for an answer.
    Late,
    /// The answer was cut off or never came, and the system didn't report an outcome.
    Lost,
    /// The answer differs from the expected content.
    Wrong,
}

/// The outcome of one request. Times are measured from its intended arrival.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The intended arrival, relative to the start of the run.
    pub arrival: Duration,
    /// The team that sent the request.
    pub team: Team,
    /// The name of the request kind.
    pub kind: &'static str,
    /// The unique name of a submission; `None` for other requests.
    pub submission: Option<String>,
    /// The final outcome.
    pub outcome: RequestOutcome,
    /// Why the request did not complete; empty if it did.
    pub detail: String,
    /// The time to the first token; `None` if no token arrived.
    pub first_token: Option<Duration>,
    /// The times between successive stream events, each with the number of tokens in the event.
    pub intervals: Vec<(Duration, u32)>,
    /// The time to the last token received.
    pub last_token: Duration,
    /// The time until the final outcome.
    pub total: Duration,
    /// The number of tokens in the answer.
    pub tokens: u32,
    /// The number of tokens that were computed again after an upstream was lost.
    pub recomputed: u32,
    /// How often the request was sent again.
    pub retries: u32,
    /// How often a broken stream was resumed.
    pub pickups: u32,
}

/// Sends the requests of one team.
#[derive(Debug)]
pub struct Caller {
    client: CallerClient,
    address_cache: AddressCache,
    model: Model,
    service: &'static str,
    timeout: Duration,
    direct: Option<DirectEngines>,
}

/// The result of one attempt.
pub(super) enum AttemptResult {
    /// The final outcome and its reason.
    Final(RequestOutcome, String),
    /// The delay before the next attempt, and the outcome and reason if there is no time for it.
    Retry(Duration, RequestOutcome, String),
}

/// The parameters of a generation.
#[derive(Clone, Copy)]
pub(super) struct Prompt<'a> {
    pub(super) text: &'a str,
    pub(super) family: &'a str,
    pub(super) max_tokens: u32,
    pub(super) priority: Priority,
}

impl Caller {
    /// Creates a caller that knows only the initial addresses in `targets`.
    pub fn new(team: &Team, settings: &TrafficSettings, targets: &Targets) -> Self {
        // Spreads the first address queries of the teams over the daemons.
        let first_seed = team.as_str().len();
        let engines = targets.engines.clone();
        Self {
            client: CallerClient::new(format!("{team}-key")),
            address_cache: AddressCache::new(targets.daemons.clone(), first_seed),
            model: settings.example.model_name(),
            service: settings.example.service(),
            timeout: settings.patience.get(),
            direct: (!engines.is_empty()).then(|| DirectEngines::new(engines)),
        }
    }

    /// Sends a request at most until its timeout, with retries where they are allowed.
    pub async fn send(&self, arrival: Arrival, start: Instant) -> RequestRecord {
        let Arrival { at, team, kind, content } = arrival;
        let submission = match &content {
            RequestContent::Call { key, .. } => key.clone(),
            RequestContent::Generation { .. } => None,
        };
        let mut record = RequestRecord {
            arrival: at,
            team,
            kind,
            submission,
            outcome: RequestOutcome::Late,
            detail: String::new(),
            first_token: None,
            intervals: Vec::new(),
            last_token: Duration::ZERO,
            total: Duration::ZERO,
            tokens: 0,
            recomputed: 0,
            retries: 0,
            pickups: 0,
        };
        let intended_start = start + at;
        let attempts = self.attempt_until_final(&content, intended_start, &mut record);
        // On a timeout the record holds the result of the latest attempt.
        let _ = tokio::time::timeout_at(intended_start + self.timeout, attempts).await;
        record.total = intended_start.elapsed();
        record
    }

    /// Repeats attempts until one is final. The record always holds the result of the latest one, so
    /// that it is valid if this future is dropped.
    async fn attempt_until_final(
        &self,
        content: &RequestContent,
        intended_start: Instant,
        record: &mut RequestRecord,
    ) {
        loop {
            record.outcome = RequestOutcome::Late;
            "waiting for an answer".clone_into(&mut record.detail);
            let next = match content {
                RequestContent::Generation { prompt, family, max_tokens, priority } => {
                    let query =
                        format!("model={}&prefix={}", self.model, encode_query_value(family));
                    let (text, priority) = (prompt.as_str(), *priority);
                    let prompt = Prompt { text, family, max_tokens: *max_tokens, priority };
                    self.generate(&query, prompt, intended_start, record).await
                }
                RequestContent::Call { method, path, key, body } => {
                    let (service, key) = (self.service, key.as_deref());
                    self.call(ServiceCall { service, method, path, key, body }).await
                }
            };
            match next {
                AttemptResult::Final(end, detail) => {
                    record.outcome = end;
                    record.detail = detail;
                    return;
                }
                AttemptResult::Retry(delay, end, detail) => {
                    record.outcome = end;
                    record.detail = detail;
                    tokio::time::sleep(delay).await;
                    record.retries += 1;
                }
            }
        }
    }

    async fn generate(
        &self,
        query: &str,
        prompt: Prompt<'_>,
        intended_start: Instant,
        record: &mut RequestRecord,
    ) -> AttemptResult {
        record.first_token = None;
        record.intervals.clear();
        let Prompt { text, family, max_tokens, priority } = prompt;
        let (model, prefix) = (self.model.as_str(), Some(family));
        let patience = Some(self.timeout.saturating_sub(intended_start.elapsed()));
        let chat = Chat { model, prompt: text, max_tokens, priority, prefix, patience };
        if let Some(direct) = &self.direct {
            return direct.generate(&self.model, prompt, intended_start, record).await;
        }
        let mut failure =
            AttemptResult::Retry(RETRY_DELAY, RequestOutcome::Lost, "no address".to_owned());
        for daemon in self.address_cache.addresses(&self.client, query).await {
            match self.client.start_chat(daemon, chat).await {
                Ok(stream) => {
                    if stream.has_redirect_hint() {
                        self.address_cache.expire(query).await;
                    }
                    return self.read_resuming(query, prompt, stream, intended_start, record).await;
                }
                Err(ClientError::Call(CallError::NotSent(error))) => {
                    self.address_cache.expire(query).await;
                    failure = AttemptResult::Retry(RETRY_DELAY, RequestOutcome::NotRun, error);
                }
                Err(error) => return classify_error(error, RetryPolicy::Allowed),
            }
        }
        failure
    }

    /// Reads a stream to its end and resumes it whenever it breaks.
    async fn read_resuming(
        &self,
        query: &str,
        prompt: Prompt<'_>,
        mut stream: ChatStream,
        intended_start: Instant,
        record: &mut RequestRecord,
    ) -> AttemptResult {
        let mut content = String::new();
        loop {
            let Err(error) = read_to_end(&mut stream, &mut content, intended_start, record).await
            else {
                break;
            };
            let detail = error.to_string();
            if matches!(&error, ClientError::Stream(text) if text.starts_with("offset")) {
                return AttemptResult::Final(RequestOutcome::Wrong, detail);
            }
            self.address_cache.expire(query).await;
            match self.resume(query, &stream).await {
                Some(resumed) => stream = resumed,
                // A generation has no side effects, so it is safe to send again.
                None => return AttemptResult::Retry(RETRY_DELAY, RequestOutcome::Lost, detail),
            }
            record.pickups += 1;
        }
        let usage = stream.usage().unwrap_or_default();
        record.tokens = usage.completion_tokens;
        record.recomputed += usage.recomputed_tokens;
        check_answer(&self.model, prompt, &content)
    }

    async fn resume(&self, query: &str, lost: &ChatStream) -> Option<ChatStream> {
        lost.id()?;
        for daemon in self.address_cache.addresses(&self.client, query).await {
            if let Ok(stream) = self.client.pick_up(daemon, lost).await {
                return Some(stream);
            }
        }
        None
    }

    async fn call(&self, call: ServiceCall<'_>) -> AttemptResult {
        let query = format!("service={}", call.service);
        let mut failure =
            AttemptResult::Retry(RETRY_DELAY, RequestOutcome::NotRun, "no address".to_owned());
        for daemon in self.address_cache.addresses(&self.client, &query).await {
            match self.client.call_checked(daemon, call).await {
                Ok(echo) => return check_echo(call, &echo),
                Err(ClientError::Call(CallError::NotSent(error))) => {
                    self.address_cache.expire(&query).await;
                    failure = AttemptResult::Retry(RETRY_DELAY, RequestOutcome::NotRun, error);
                }
                Err(error) => {
                    let retry_policy = RetryPolicy::of(call.method);
                    return classify_error(error, retry_policy);
                }
            }
        }
        failure
    }
}

/// Whether a request with an unknown outcome may be sent again.
#[derive(Clone, Copy, Eq, PartialEq)]
enum RetryPolicy {
    Allowed,
    Forbidden,
}

impl RetryPolicy {
    fn of(method: &Method) -> Self {
        if *method == Method::GET { Self::Allowed } else { Self::Forbidden }
    }
}

fn classify_error(error: ClientError, retry_policy: RetryPolicy) -> AttemptResult {
    let detail = error.to_string();
    let ClientError::Refused(Refused { status, outcome, retry_after, reason, .. }) = error else {
        return match retry_policy {
            RetryPolicy::Allowed => AttemptResult::Retry(RETRY_DELAY, RequestOutcome::Lost, detail),
            RetryPolicy::Forbidden => AttemptResult::Final(RequestOutcome::Lost, detail),
        };
    };
    // This refusal without `Retry-After` means that no retry can complete before the timeout.
    let deadline_unreachable =
        retry_after.is_none() && reason.as_deref() == Some(DEADLINE_UNREACHABLE);
    let detail = format!("{status} {}", reason.unwrap_or_default());
    let delay = retry_after.unwrap_or(RETRY_DELAY);
    let transient = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
    match (outcome, retry_policy) {
        (Outcome::NotRun, _) if transient && !deadline_unreachable => {
            AttemptResult::Retry(delay, RequestOutcome::NotRun, detail)
        }
        (Outcome::NotRun, _) => AttemptResult::Final(RequestOutcome::NotRun, detail),
        (Outcome::Unknown, RetryPolicy::Allowed) => {
            AttemptResult::Retry(delay, RequestOutcome::Unknown, detail)
        }
        (Outcome::Unknown, RetryPolicy::Forbidden) => {
            AttemptResult::Final(RequestOutcome::Unknown, detail)
        }
    }
}

/// Compares the content of an answer with the expected answer of the model stand-in.
pub(super) fn check_answer(model: &Model, prompt: Prompt<'_>, content: &str) -> AttemptResult {
    let expected = whole_answer(model, &prompt.as_received(), prompt.max_tokens);
    if content == expected {
        return AttemptResult::Final(RequestOutcome::Whole, String::new());
    }
    let (actual, expected) = (content.len(), expected.len());
    AttemptResult::Final(
        RequestOutcome::Wrong,
        format!("{actual} bytes differ from the {expected} expected"),
    )
}

impl Prompt<'_> {
    /// Returns the prompt in the form in which the engine receives it.
    pub(super) fn as_received(&self) -> String {
        format!("user: {}\n", self.text)
    }
}

fn check_echo(call: ServiceCall<'_>, echo: &str) -> AttemptResult {
    #[derive(serde::Deserialize)]
    struct Echo {
        method: String,
        path: String,
        body: String,
    }
    let matches = serde_json::from_str(echo).is_ok_and(|echo: Echo| {
        echo.method == call.method.as_str() && echo.path == call.path && echo.body == call.body
    });
    if matches {
        return AttemptResult::Final(RequestOutcome::Whole, String::new());
    }
    AttemptResult::Final(RequestOutcome::Wrong, format!("echo {echo:?}"))
}

async fn read_to_end(
    stream: &mut ChatStream,
    content: &mut String,
    intended_start: Instant,
    record: &mut RequestRecord,
) -> Result<(), ClientError> {
    loop {
        let length = stream.tokens_read();
        let Some(text) = stream.next().await? else {
            return Ok(());
        };
        content.push_str(&text);
        record.record_tokens(intended_start.elapsed(), stream.tokens_read() - length);
    }
}

impl RequestRecord {
    /// Records the receipt of `count` tokens at a time relative to the intended arrival.
    pub(super) fn record_tokens(&mut self, at: Duration, count: u32) {
        if count == 0 {
            return;
        }
        if self.first_token.is_none() {
            self.first_token = Some(at);
        } else {
            self.intervals.push((at.saturating_sub(self.last_token), count));
        }
        self.last_token = at;
    }
}

/// Escapes slashes in a query value.
fn encode_query_value(text: &str) -> String {
    text.replace('/', "%2F")
}
