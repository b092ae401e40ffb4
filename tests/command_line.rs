//! The command line of the built binary.

use std::path::PathBuf;
use std::process::{Command, Output};

const INVALID_SETTINGS: &str = "\
identity: { instance: Entry 1, data_centre: heredia-a, region: cr-central, class: entry-small }
platform: { log: log.example:7000, instances: '10.0.0.2:7001', cloud: '10.0.0.3:7002' }
caller: { adress_ttl: 30s, body_timeout: 30 }
";

fn bronzespindle(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bronzespindle")).args(arguments).output().unwrap()
}

fn write_settings(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

#[test]
fn check_lists_five_mistakes_and_exits_with_2() {
    let path = write_settings("mistaken.yaml", INVALID_SETTINGS);
    let output = bronzespindle(&["check", "--settings", path.to_str().unwrap()]);
    let actual = String::from_utf8(output.stderr).unwrap();
    let actual = actual.replace(path.to_str().unwrap(), "FILE");
    insta::assert_snapshot!(actual);
    assert_eq!(Some(2), output.status.code());
}

#[test]
fn check_accepts_the_examples() {
    for example in ["vendimia", "kanem"] {
        let path = format!("{}/examples/{example}/settings.yaml", env!("CARGO_MANIFEST_DIR"));
        let output = bronzespindle(&["check", "--settings", &path]);
        assert_eq!(Some(0), output.status.code(), "{example}");
    }
}

#[test]
fn missing_settings_file_fails_with_its_path() {
    let output = bronzespindle(&["check", "--settings", "no/such/file.yaml"]);
    let actual = String::from_utf8(output.stderr).unwrap();
    assert!(actual.contains("no/such/file.yaml"), "{actual}");
    assert_eq!(Some(1), output.status.code());
}

#[test]
fn unknown_subcommand_exits_with_2() {
    assert_eq!(Some(2), bronzespindle(&["sreve"]).status.code());
}

#[test]
fn schema_is_json() {
    let output = bronzespindle(&["schema"]);
    let schema: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(schema["properties"]["identity"].is_object());
}

#[test]
fn trace_prints_the_outcome_of_a_request_and_fails_for_an_unknown_one() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/src/trace");
    let (one, two) = (format!("{folder}/d-1.log"), format!("{folder}/d-2.log"));
    let output = bronzespindle(&["trace", "0000000000000b01", &one, &two]);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.ends_with("broken off midway at i-7 after 71 events: upstream_broke_off\n"),
        "{text}"
    );
    let output = bronzespindle(&["trace", "nothing", &one]);
    assert_eq!(output.status.code(), Some(1));
}
