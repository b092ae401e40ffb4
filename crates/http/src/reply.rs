//! Construction of simple responses.

use crate::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(content) => with_type(status, "application/json", Body::Whole(content.into())),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// A plain-text response.
pub fn text(status: StatusCode, content: impl Into<String>) -> Response<Body> {
    with_type(status, "text/plain; charset=utf-8", Body::from(content.into()))
}

/// A response with a content type.
pub fn with_type(status: StatusCode, kind: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
