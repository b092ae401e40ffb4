//! Reads which submissions the stand-ins of plain services executed.

use serde::Deserialize;
use spindle_http::{CallError, Client};
use spindle_standin::service::{CALLS_PATH, Call};
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of a request to a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest response, in bytes.
const ANSWER_MAX_BYTES: usize = 256 * 1024 * 1024;

/// Returns the names of the submissions among executed calls, repeated for each execution.
pub fn submission_names(calls: &[Call]) -> Vec<String> {
    #[derive(Deserialize)]
    struct Submission {
        submission: String,
    }
    let bodies = calls.iter().filter_map(|call| serde_json::from_str(&call.body).ok());
    bodies.map(|Submission { submission }| submission).collect()
}

/// Fetches the names of the submissions that stand-ins executed, repeated for each execution.
///
/// # Errors
///
/// A stand-in can't be reached or doesn't respond correctly.
pub async fn fetch_submissions(services: &[SocketAddr]) -> Result<Vec<String>, CallError> {
    let client = Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES);
    let mut names = Vec::new();
    for service in services {
        let calls: Vec<Call> = client.get(*service, CALLS_PATH).await?;
        names.extend(submission_names(&calls));
    }
    Ok(names)
}
