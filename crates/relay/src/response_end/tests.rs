use super::Framing;
use http::{HeaderValue, Response, header};
use spindle_http::Body;

fn response(codings: &[&'static str], body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    for coding in codings {
        let value = HeaderValue::from_static(coding);
        response.headers_mut().append(header::TRANSFER_ENCODING, value);
    }
    response
}

#[test]
fn framing_is_told_by_the_length_and_the_last_transfer_coding() {
    let streamed = || Body::channel(1).1;
    let cases = [
        (response(&[], Body::from("abc".to_owned())), Framing::Length),
        (response(&[], Body::Empty), Framing::Length),
        (response(&[], streamed()), Framing::Close),
        (response(&["chunked"], streamed()), Framing::Chunked),
        (response(&["gzip, Chunked"], streamed()), Framing::Chunked),
        (response(&["gzip", "chunked"], streamed()), Framing::Chunked),
        (response(&["chunked, gzip"], streamed()), Framing::Close),
    ];
    for (response, expected) in cases {
        assert_eq!(Framing::of(&response), expected, "{:?}", response.headers());
    }
}
