use super::*;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        services: vec![("desk".try_into().unwrap(), 1)],
        repeat: RepeatPolicy::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_event_interval: None,
        attempts_max: 1,
        priority: 0,
        public: true,
    }
}

#[test]
fn longest_matching_path_prefix_wins() {
    let routes = vec![
        route("root", "a.example", "/"),
        route("x", "a.example", "/x/"),
        route("xy", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    let config = ActiveConfig::new(1, Limits::default(), HashMap::new(), routes, Vec::new());
    let found = |host, path| config.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found("a.example", "/x/y/z"), Some("xy"));
    assert_eq!(found("A.Example:80", "/x/y"), Some("x"));
    assert_eq!(found("a.example", "/xy"), Some("root"));
    assert_eq!(found("b.example", "/y"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn api_key_identifies_its_team() {
    let spec = TeamSpec {
        team: "cava".try_into().unwrap(),
        priority: None,
        quota: None,
        counts_tokens: false,
        default_tokens: 1.0,
    };
    let teams = vec![(spec, vec!["k1".to_owned(), "k2".to_owned()])];
    let config = ActiveConfig::new(1, Limits::default(), HashMap::new(), Vec::new(), teams);
    assert_eq!(config.team_of("k2").unwrap().team.as_str(), "cava");
    assert!(config.team_of("k3").is_none());
}

/// Guards against less urgent requests that wait where more urgent ones are refused, and against
/// services with one rank whose requests are shed.
#[test]
fn targets_of_more_urgent_ranks_bound_those_of_others() {
    let ranked = |name: &str, priority: u32, target_ms: u64| Route {
        priority,
        target_latency: Duration::from_millis(target_ms),
        public: false,
        ..route(name, "a.example", &format!("/{name}/"))
    };
    let routes = vec![ranked("x", 2, 2_000), ranked("y", 0, 500), ranked("z", 1, 600)];
    let service = routes[0].services[0].0.clone();
    let build =
        |routes| ActiveConfig::new(1, Limits::default(), HashMap::new(), routes, Vec::new());
    let config = build(routes);
    let ranks = config.ranks(&service).unwrap();
    let found = [0_u32, 1, 2].map(|rank| ranks.target_up_to(rank.into()).unwrap().as_millis());
    assert_eq!(found, [500, 500, 500]);
    assert_eq!(ranks.shortest_target, Duration::from_millis(500));
    let config = build(vec![ranked("x", 2, 500), ranked("y", 0, 2_000)]);
    let ranks = config.ranks(&service).unwrap();
    let found = [0_u32, 2].map(|rank| ranks.target_up_to(rank.into()).unwrap().as_millis());
    assert_eq!(found, [2_000, 500]);
    assert_eq!(build(vec![ranked("x", 2, 500), ranked("y", 2, 900)]).ranks(&service), None);
}
