//! Sends one request as a careful caller would: retries only what may be retried, waits as long as
//! it is told to, picks lost streams up, and checks the answer by content.

use crate::client::{CallerClient, Chat, ChatStream, ClientError, Outcome, Refused, ServiceCall};
use crate::load::Targets;
use crate::load::address_cache::AddressCache;
use crate::load::direct::Direct;
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

/// The wait before a retry when the refusal names none.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The reason of a refusal whose answer would come too late.
const UNREACHABLE: &str = "deadline_unreachable";

/// What became of a request.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The whole answer, as expected.
    Whole,
    /// Refused as not run, to the end of the caller's patience.
    NotRun,
    /// The outcome is not known, and the system said so.
    Unknown,
    /// The caller's patience ended while it waited for an answer.
    Late,
    /// The answer broke off, or no answer came, without a statement of the outcome.
    Lost,
    /// An answer that is not the one expected.
    Wrong,
}

/// What became of one request, with its times from the intended arrival.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The intended arrival, from the start of the run.
    pub arrival: Duration,
    /// Who sent it.
    pub team: Team,
    /// The kind of work.
    pub kind: &'static str,
    /// The name of the submission, if it was one.
    pub submission: Option<String>,
    /// What became of it.
    pub outcome: RequestOutcome,
    /// What was wrong, if anything was.
    pub detail: String,
    /// The time to the first token.
    pub first_token: Option<Duration>,
    /// The times between two events of the stream, each with the number of tokens it brought.
    pub intervals: Vec<(Duration, u32)>,
    /// The time to the newest token.
    pub last_token: Duration,
    /// The time to the end.
    pub total: Duration,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Tokens computed again.
    pub recomputed: u32,
    /// Times that it was sent again.
    pub retries: u32,
    /// Times that a lost stream was picked up.
    pub pickups: u32,
}

/// The caller of one team.
#[derive(Debug)]
pub struct Caller {
    client: CallerClient,
    address_cache: AddressCache,
    model: Model,
    service: &'static str,
    patience: Duration,
    direct: Option<Direct>,
}

/// What to do after one try.
pub(super) enum Next {
    End(RequestOutcome, String),
    Retry(Duration, RequestOutcome, String),
}

/// A generation to ask for.
#[derive(Clone, Copy)]
pub(super) struct Prompt<'a> {
    pub(super) text: &'a str,
    pub(super) family: &'a str,
    pub(super) max_tokens: u32,
    pub(super) priority: Priority,
}

impl Caller {
    /// A caller that knows only a first few addresses.
    pub fn new(team: &Team, settings: &TrafficSettings, targets: &Targets) -> Self {
        let first = team.as_str().len();
        let engines = targets.engines.clone();
        Self {
            client: CallerClient::new(format!("{team}-key")),
            address_cache: AddressCache::new(targets.daemons.clone(), first),
            model: settings.example.model_name(),
            service: settings.example.service(),
            patience: settings.patience.get(),
            direct: (!engines.is_empty()).then(|| Direct::new(engines)),
        }
    }

    /// Sends a request, and again as often as that is allowed and there is time.
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
        let began = start + at;
        let tries = self.tries(&content, began, &mut record);
        // When the caller's patience ends, the record holds the end of the newest try.
        let _ = tokio::time::timeout_at(began + self.patience, tries).await;
        record.total = began.elapsed();
        record
    }

    /// Tries until an end is reached; the record holds the end of the newest try at all times.
    async fn tries(&self, content: &RequestContent, began: Instant, record: &mut RequestRecord) {
        loop {
            record.outcome = RequestOutcome::Late;
            "waiting for an answer".clone_into(&mut record.detail);
            let next = match content {
                RequestContent::Generation { prompt, family, max_tokens, priority } => {
                    let query = format!("model={}&prefix={}", self.model, encoded(family));
                    let (text, priority) = (prompt.as_str(), *priority);
                    let prompt = Prompt { text, family, max_tokens: *max_tokens, priority };
                    self.generate(&query, prompt, began, record).await
                }
                RequestContent::Call { method, path, key, body } => {
                    let (service, key) = (self.service, key.as_deref());
                    self.call(ServiceCall { service, method, path, key, body }).await
                }
            };
            match next {
                Next::End(end, detail) => {
                    record.outcome = end;
                    record.detail = detail;
                    return;
                }
                Next::Retry(delay, end, detail) => {
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
        began: Instant,
        record: &mut RequestRecord,
    ) -> Next {
        record.first_token = None;
        record.intervals.clear();
        let Prompt { text, family, max_tokens, priority } = prompt;
        let (model, prefix) = (self.model.as_str(), Some(family));
        let patience = Some(self.patience.saturating_sub(began.elapsed()));
        let chat = Chat { model, prompt: text, max_tokens, priority, prefix, patience };
        if let Some(direct) = &self.direct {
            return direct.generate(&self.model, prompt, began, record).await;
        }
        let mut failure = Next::Retry(RETRY_DELAY, RequestOutcome::Lost, "no address".to_owned());
        for daemon in self.address_cache.addresses(&self.client, query).await {
            match self.client.start_chat(daemon, chat).await {
                Ok(stream) => {
                    if stream.has_redirect_hint() {
                        self.address_cache.forget(query).await;
                    }
                    return self.follow(query, prompt, stream, began, record).await;
                }
                Err(ClientError::Call(CallError::NotSent(error))) => {
                    self.address_cache.forget(query).await;
                    failure = Next::Retry(RETRY_DELAY, RequestOutcome::NotRun, error);
                }
                Err(error) => return after_error(error, Repeats::Allowed),
            }
        }
        failure
    }

    /// Reads a stream to its end, and picks it up wherever it breaks off.
    async fn follow(
        &self,
        query: &str,
        prompt: Prompt<'_>,
        mut stream: ChatStream,
        began: Instant,
        record: &mut RequestRecord,
    ) -> Next {
        let mut content = String::new();
        loop {
            let Err(error) = read(&mut stream, &mut content, began, record).await else {
                break;
            };
            let detail = error.to_string();
            if matches!(&error, ClientError::Stream(text) if text.starts_with("offset")) {
                return Next::End(RequestOutcome::Wrong, detail);
            }
            self.address_cache.forget(query).await;
            match self.pick_up(query, &stream).await {
                Some(picked) => stream = picked,
                // A generation is repeatable, so it may be asked for anew.
                None => return Next::Retry(RETRY_DELAY, RequestOutcome::Lost, detail),
            }
            record.pickups += 1;
        }
        let usage = stream.usage().unwrap_or_default();
        record.tokens = usage.completion_tokens;
        record.recomputed += usage.recomputed_tokens;
        check_answer(&self.model, prompt, &content)
    }

    async fn pick_up(&self, query: &str, lost: &ChatStream) -> Option<ChatStream> {
        lost.id()?;
        for daemon in self.address_cache.addresses(&self.client, query).await {
            if let Ok(stream) = self.client.pick_up(daemon, lost).await {
                return Some(stream);
            }
        }
        None
    }

    async fn call(&self, call: ServiceCall<'_>) -> Next {
        let query = format!("service={}", call.service);
        let mut failure = Next::Retry(RETRY_DELAY, RequestOutcome::NotRun, "no address".to_owned());
        for daemon in self.address_cache.addresses(&self.client, &query).await {
            match self.client.call_checked(daemon, call).await {
                Ok(echo) => return check_echo(call, &echo),
                Err(ClientError::Call(CallError::NotSent(error))) => {
                    self.address_cache.forget(&query).await;
                    failure = Next::Retry(RETRY_DELAY, RequestOutcome::NotRun, error);
                }
                Err(error) => {
                    let repeats = Repeats::of(call.method);
                    return after_error(error, repeats);
                }
            }
        }
        failure
    }
}

/// Whether a request whose outcome is not known may be sent again.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Repeats {
    Allowed,
    Never,
}

impl Repeats {
    fn of(method: &Method) -> Self {
        if *method == Method::GET { Self::Allowed } else { Self::Never }
    }
}

fn after_error(error: ClientError, repeats: Repeats) -> Next {
    let detail = error.to_string();
    let ClientError::Refused(Refused { status, outcome, retry_after, reason, .. }) = error else {
        return match repeats {
            Repeats::Allowed => Next::Retry(RETRY_DELAY, RequestOutcome::Lost, detail),
            Repeats::Never => Next::End(RequestOutcome::Lost, detail),
        };
    };
    // Without a time to come back, the answer can't be whole within the caller's patience.
    let hopeless = retry_after.is_none() && reason.as_deref() == Some(UNREACHABLE);
    let detail = format!("{status} {}", reason.unwrap_or_default());
    let delay = retry_after.unwrap_or(RETRY_DELAY);
    let may_help = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
    match (outcome, repeats) {
        (Outcome::NotRun, _) if may_help && !hopeless => {
            Next::Retry(delay, RequestOutcome::NotRun, detail)
        }
        (Outcome::NotRun, _) => Next::End(RequestOutcome::NotRun, detail),
        (Outcome::Unknown, Repeats::Allowed) => Next::Retry(delay, RequestOutcome::Unknown, detail),
        (Outcome::Unknown, Repeats::Never) => Next::End(RequestOutcome::Unknown, detail),
    }
}

/// Compares an answer with the one expected.
pub(super) fn check_answer(model: &Model, prompt: Prompt<'_>, content: &str) -> Next {
    let expected = whole_answer(model, &prompt.heard(), prompt.max_tokens);
    if content == expected {
        return Next::End(RequestOutcome::Whole, String::new());
    }
    let (actual, expected) = (content.len(), expected.len());
    Next::End(RequestOutcome::Wrong, format!("{actual} bytes differ from the {expected} expected"))
}

impl Prompt<'_> {
    /// The prompt as the engine receives it.
    pub(super) fn heard(&self) -> String {
        format!("user: {}\n", self.text)
    }
}

fn check_echo(call: ServiceCall<'_>, echo: &str) -> Next {
    #[derive(serde::Deserialize)]
    struct Echo {
        method: String,
        path: String,
        body: String,
    }
    let same = serde_json::from_str(echo).is_ok_and(|echo: Echo| {
        echo.method == call.method.as_str() && echo.path == call.path && echo.body == call.body
    });
    if same {
        return Next::End(RequestOutcome::Whole, String::new());
    }
    Next::End(RequestOutcome::Wrong, format!("echo {echo:?}"))
}

async fn read(
    stream: &mut ChatStream,
    content: &mut String,
    began: Instant,
    record: &mut RequestRecord,
) -> Result<(), ClientError> {
    loop {
        let length = stream.tokens_read();
        let Some(text) = stream.next().await? else {
            return Ok(());
        };
        content.push_str(&text);
        record.on_tokens(began.elapsed(), stream.tokens_read() - length);
    }
}

impl RequestRecord {
    /// Notes that tokens came at a time after the intended arrival.
    pub(super) fn on_tokens(&mut self, at: Duration, count: u32) {
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

/// A text as part of a query.
fn encoded(text: &str) -> String {
    text.replace('/', "%2F")
}
