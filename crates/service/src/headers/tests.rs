use super::*;

#[test]
fn listed_and_standard_hop_by_hop_headers_are_removed() {
    let mut headers = HeaderMap::new();
    for (name, value) in
        [("connection", "close, x-hop"), ("x-hop", "1"), ("te", "trailers"), ("x-kept", "2")]
    {
        headers.insert(name, value.parse().unwrap());
    }
    remove_hop_by_hop(&mut headers);
    let actual: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
    assert_eq!(vec!["x-kept"], actual);
}
