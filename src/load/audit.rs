//! Asks the plain services' stand-ins which submissions they ran.

use serde::Deserialize;
use spindle_http::{CallError, Client};
use spindle_standin::service::{CALLS_PATH, Call};
use std::net::SocketAddr;
use std::time::Duration;

/// The time within which a stand-in must answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 256 * 1024 * 1024;

/// The names of the submissions among calls that ran, each as often as it ran.
pub fn submission_names(calls: &[Call]) -> Vec<String> {
    #[derive(Deserialize)]
    struct Submission {
        submission: String,
    }
    let bodies = calls.iter().filter_map(|call| serde_json::from_str(&call.body).ok());
    bodies.map(|Submission { submission }| submission).collect()
}

/// The names of the submissions that stand-ins ran, each as often as it ran.
///
/// # Errors
///
/// A stand-in does not answer.
pub async fn fetch_submissions(services: &[SocketAddr]) -> Result<Vec<String>, CallError> {
    let client = Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES);
    let mut names = Vec::new();
    for service in services {
        let calls: Vec<Call> = client.get(*service, CALLS_PATH).await?;
        names.extend(submission_names(&calls));
    }
    Ok(names)
}
