//! RFC 9457 problem documents, which state whether the refused request may have run.

use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use spindle_http::Body;
use spindle_http::reply::with_content_type;
use spindle_types::{NotRun, Problems, RefusalReason, Unknown};
use std::time::Duration;

/// A refusal that is sent to a caller.
#[derive(Debug)]
pub enum Refusal {
    /// The request was not run.
    NotRun(NotRun),
    /// The request may or may not have run.
    Unknown(Unknown),
    /// The request is invalid and was not run.
    Invalid(Problems),
    /// The API key is missing or unknown; the request was not run.
    Unauthorized,
    /// The resource does not exist for this team; the request was not run.
    NotFound,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    problems: Option<&'a Problems>,
}

fn status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::KeyExpired => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn unknown_status(unknown: &Unknown) -> StatusCode {
    match unknown.reason() {
        Some(RefusalReason::KeyExpired) => StatusCode::CONFLICT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Builds the HTTP response for a refusal.
pub fn problem_response(refusal: &Refusal) -> Response<Body> {
    match refusal {
        Refusal::NotRun(not_run) => {
            let reason = not_run.reason();
            let document =
                Document { reason: Some(reason.into()), ..document("not run", "not_run") };
            let mut response = respond(status(reason), document);
            add_retry_after(&mut response, not_run.retry_after());
            response
        }
        Refusal::Unknown(unknown) => {
            let reason = unknown.reason().map(Into::into);
            let document = Document { reason, ..document("outcome unknown", "unknown") };
            let mut response = respond(unknown_status(unknown), document);
            add_retry_after(&mut response, unknown.retry_after());
            response
        }
        Refusal::Invalid(problems) => {
            let document =
                Document { problems: Some(problems), ..document("not valid", "not_run") };
            respond(StatusCode::BAD_REQUEST, document)
        }
        Refusal::Unauthorized => {
            respond(StatusCode::UNAUTHORIZED, document("key missing or not known", "not_run"))
        }
        Refusal::NotFound => respond(StatusCode::NOT_FOUND, document("not found", "not_run")),
    }
}

fn document(title: &'static str, outcome: &'static str) -> Document<'static> {
    Document { r#type: "about:blank", title, status: 0, outcome, reason: None, problems: None }
}

fn respond(status: StatusCode, document: Document<'_>) -> Response<Body> {
    let document = Document { status: status.as_u16(), ..document };
    let content = serde_json::to_vec(&document).unwrap_or_default();
    with_content_type(status, "application/problem+json", Body::Whole(content.into()))
}

fn add_retry_after(response: &mut Response<Body>, delay: Option<Duration>) {
    let Some(delay) = delay else {
        return;
    };
    let seconds = delay.as_millis().div_ceil(1_000);
    if let Ok(value) = HeaderValue::try_from(seconds.to_string()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
