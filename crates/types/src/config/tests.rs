use super::*;

#[test]
fn first_matching_route_decides_whether_a_call_may_be_retried() {
    let route = |path: &str, repeat| RouteSpec { method: "POST".into(), path: path.into(), repeat };
    let spec = ServiceSpec {
        pool: Pool::try_from("booking-desk").unwrap(),
        routes: vec![route("/quotes", Repeat::Allowed), route("/", Repeat::Never)],
    };
    let calls = [("POST", "/quotes/1"), ("POST", "/allocations"), ("GET", "/x"), ("PUT", "/x")];
    let actual: Vec<_> = calls.iter().map(|(method, path)| spec.repeat(method, path)).collect();
    let expected = vec![Repeat::Allowed, Repeat::Never, Repeat::Allowed, Repeat::Never];
    assert_eq!(expected, actual);
}

#[test]
fn keys_are_compared_by_hash() {
    let hash = KeyHash::of("secret");
    let text = String::from(hash.clone());
    assert_eq!(Ok(hash), KeyHash::try_from(text));
    assert!(KeyHash::try_from("secret".to_owned()).is_err());
}
