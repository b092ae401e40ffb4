use super::*;

/// Lines of two daemons as they write them, with one request of each kind that fails.
fn logs() -> [DaemonLog; 2] {
    let log = |name: &str, text: &str| DaemonLog { name: name.to_owned(), text: text.to_owned() };
    [log("d-1", include_str!("d-1.log")), log("d-2", include_str!("d-2.log"))]
}

fn told(id: &str) -> String {
    trace(id, &logs()).map_or_else(|error| error.to_string(), |trace| trace.to_string())
}

#[test]
fn refusal_by_quota_leads_to_what_the_team_sent() {
    insta::assert_snapshot!(told("0000000000000a01"));
}

#[test]
fn refusal_for_load_leads_to_the_instances_that_were_not_to_be_had() {
    insta::assert_snapshot!(told("0000000000000a02"));
}

#[test]
fn broken_stream_leads_to_its_upstream() {
    insta::assert_snapshot!(told("0000000000000b01"));
}

#[test]
fn unknown_outcome_leads_to_where_it_was_sent() {
    insta::assert_snapshot!(told("0000000000000c01"));
}

#[test]
fn a_request_that_no_line_names_is_said_to_be_unknown() {
    assert_eq!(trace("0000000000000d01", &logs()).unwrap_err(), TraceError::Unknown);
}

#[test]
fn any_text_is_read_without_a_fault() {
    bolero::check!().with_type::<(String, String)>().for_each(|(id, text)| {
        let logs = [DaemonLog { name: "d".to_owned(), text: text.clone() }];
        if let Ok(trace) = trace(id, &logs) {
            let _ = trace.to_string();
        }
    });
}
