use super::*;

/// Logs of two daemons in their real format, with one failed request of each kind.
fn logs() -> [DaemonLog; 2] {
    let log = |name: &str, text: &str| DaemonLog { name: name.to_owned(), text: text.to_owned() };
    [log("d-1", include_str!("d-1.log")), log("d-2", include_str!("d-2.log"))]
}

fn trace_text(id: &str) -> String {
    trace(id, &logs()).map_or_else(|error| error.to_string(), |trace| trace.to_string())
}

#[test]
fn over_quota_refusal_shows_the_requests_of_the_team() {
    insta::assert_snapshot!(trace_text("0000000000000a01"));
}

#[test]
fn overload_refusal_shows_the_failed_scaling() {
    insta::assert_snapshot!(trace_text("0000000000000a02"));
}

#[test]
fn broken_stream_shows_the_state_of_its_upstream() {
    insta::assert_snapshot!(trace_text("0000000000000b01"));
}

#[test]
fn unknown_outcome_shows_the_upstream_it_was_sent_to() {
    insta::assert_snapshot!(trace_text("0000000000000c01"));
}

#[test]
fn request_without_log_lines_is_unknown() {
    assert_eq!(trace("0000000000000d01", &logs()).unwrap_err(), TraceError::Unknown);
}

#[test]
fn arbitrary_text_does_not_panic() {
    bolero::check!().with_type::<(String, String)>().for_each(|(id, text)| {
        let logs = [DaemonLog { name: "d".to_owned(), text: text.clone() }];
        if let Ok(trace) = trace(id, &logs) {
            let _ = trace.to_string();
        }
    });
}
