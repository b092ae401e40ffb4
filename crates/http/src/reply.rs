//! Construction of simple responses.

use crate::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// Creates a JSON response; status 500 with the error as text if `value` can't be encoded.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(content) => with_content_type(status, "application/json", Body::Whole(content.into())),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates a plain-text response.
pub fn text(status: StatusCode, content: impl Into<String>) -> Response<Body> {
    with_content_type(status, "text/plain; charset=utf-8", Body::from(content.into()))
}

/// Creates a response with a content type.
pub fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
