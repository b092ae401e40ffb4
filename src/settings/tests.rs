use super::*;

const INVALID_SETTINGS: &str = r"
identity: { instance: Entry 1, data_centre: heredia-a, region: cr-central, class: entry-small }
platform: { log: log.example:7000, instances: '10.0.0.2:7001', cloud: '10.0.0.3:7002' }
caller: { adress_ttl: 30s, body_timeout: 30, connections: 100 }
logs: { level: loud }
";

#[test]
fn every_mistake_is_reported_with_its_path() {
    let problems = check_document::<Settings>(INVALID_SETTINGS).unwrap_err();
    insta::assert_snapshot!(problems);
}

#[test]
fn semantic_mistakes_are_reported() {
    let mut settings: Settings =
        check_document(include_str!("../../examples/vendimia/settings.yaml")).unwrap();
    settings.caller.connections = 0;
    settings.drain.linger = spindle_types::Span::from_secs(600);
    insta::assert_snapshot!(settings.check());
}
