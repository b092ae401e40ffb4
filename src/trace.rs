//! Collects the lines about one request from the logs of several daemons: the lines that name the
//! request, and the state changes of daemons and upstreams that may have affected it.

use std::collections::BTreeSet;
use std::fmt;
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// How long before the first line of a request a state change may have affected it. It is the longest
/// window of a quota, which is also the time without messages after which a daemon counts as dead.
const LOOKBACK: Duration = Duration::from_secs(8);

/// How long after the last line of a request state changes are included.
const LOOKAHEAD: Duration = Duration::from_secs(1);

/// Events that change the state of a whole daemon, as opposed to its view of one upstream.
const DAEMON_STATE_EVENTS: [&str; 14] = [
    "configuration_in_force",
    "configuration_current",
    "configuration_unreadable",
    "store_lost",
    "store_regained",
    "history_expired",
    "daemons_changed",
    "contact_lost",
    "contact_regained",
    "civil_time_changed",
    "log_lines_dropped",
    "starting",
    "stopping",
    "stopped",
];

/// Events that change the number of upstreams of a service, or which of them get new requests.
const SERVICE_EVENTS: [&str; 5] =
    ["scale", "lease_lost", "rollout_heard", "rollout_convicted", "version_held"];

/// The log of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonLog {
    /// The daemon's name, shown before each of its lines.
    pub name: String,
    /// The content of the log.
    pub text: String,
}

/// Why a request can't be traced.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TraceError {
    /// No line in any of the logs names the request.
    #[error("no line names the request; search the logs of all daemons, including rotated logs")]
    Unknown,
}

/// A log line, whose text contains `key=value` fields.
#[derive(Clone, Debug)]
struct Line<'a> {
    at: SystemTime,
    log: &'a str,
    text: &'a str,
}

impl<'a> Line<'a> {
    /// Parses a line of the log named `log`. `None` if the line does not start with an RFC 3339 time.
    fn parse(log: &'a str, text: &'a str) -> Option<Self> {
        let (time, text) = text.split_once(' ')?;
        Some(Self { at: humantime::parse_rfc3339(time).ok()?, log, text })
    }

    /// The value of the first field with this name.
    fn field(&self, name: &str) -> Option<&'a str> {
        let mut fields = self.text.split_whitespace().filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Whether the line names the request with this id.
    fn names_request(&self, id: &str) -> bool {
        self.field("id") == Some(id) || self.field("request") == Some(id)
    }
}

/// The lines about a request in order of time, with a summary of its outcome.
#[derive(Debug)]
pub struct Trace<'a> {
    lines: Vec<Line<'a>>,
    summary: String,
}

/// Collects the lines about a request and summarises its outcome.
///
/// # Errors
///
/// No line names the request.
pub fn trace<'a>(id: &str, logs: &'a [DaemonLog]) -> Result<Trace<'a>, TraceError> {
    let all: Vec<Line<'a>> = logs
        .iter()
        .flat_map(|log| log.text.lines().filter_map(|text| Line::parse(&log.name, text)))
        .collect();
    let request_lines: Vec<&Line<'a>> = all.iter().filter(|line| line.names_request(id)).collect();
    let first = request_lines.iter().map(|line| line.at).min().ok_or(TraceError::Unknown)?;
    let last = request_lines.iter().map(|line| line.at).max().ok_or(TraceError::Unknown)?;
    let (from, until) = (first - LOOKBACK, last + LOOKAHEAD);
    let upstreams: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.field("upstream")).collect();
    let services: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.field("service")).collect();
    let daemons: BTreeSet<&str> = request_lines.iter().map(|line| line.log).collect();
    let is_relevant = |line: &Line<'a>| {
        let Some(event) = line.field("event") else { return false };
        let has_one_of = |name, values: &BTreeSet<&str>| {
            line.field(name).is_some_and(|value| value != "-" && values.contains(value))
        };
        let upstream = event != "request" && has_one_of("upstream", &upstreams);
        let daemon = DAEMON_STATE_EVENTS.contains(&event) && daemons.contains(line.log);
        let of_service = SERVICE_EVENTS.contains(&event) && has_one_of("service", &services);
        (from..=until).contains(&line.at) && (upstream || daemon || of_service)
    };
    let mut lines: Vec<Line<'a>> =
        all.iter().filter(|line| line.names_request(id) || is_relevant(line)).cloned().collect();
    lines.sort_by_key(|line| line.at);
    let summary = summarise(&request_lines, &all, first);
    Ok(Trace { lines, summary })
}

/// Summarises the outcome of a request, taken from the line that is logged at its end.
fn summarise(request_lines: &[&Line<'_>], all: &[Line<'_>], first: SystemTime) -> String {
    let Some(end) = request_lines.iter().find(|line| line.field("event") == Some("request")) else {
        return "it has not ended, or the log line of its end was dropped".to_owned();
    };
    let field = |name| end.field(name).unwrap_or("-");
    let (outcome, upstream, cause) = (field("outcome"), field("upstream"), field("cause"));
    match outcome {
        "answered" => format!("answered with {} by {upstream}", field("status")),
        "over_quota" => {
            let team = field("team");
            let is_request_of_team = |line: &&Line<'_>| {
                line.field("event") == Some("request")
                    && line.field("team") == Some(team)
                    && (first - LOOKBACK..=first).contains(&line.at)
            };
            let is_over_quota = |line: &&Line<'_>| line.field("outcome") == Some("over_quota");
            let lines: Vec<&Line<'_>> = all.iter().filter(is_request_of_team).collect();
            let count = lines.iter().copied().filter(|line| is_over_quota(line)).count();
            format!(
                "refused early and not run: team {team} was over its quota ({} of its {} requests \
                 in the {} s before were refused for this reason)",
                count,
                lines.len(),
                LOOKBACK.as_secs(),
            )
        }
        "overloaded" | "no_upstream" | "no_configuration" | "leaving" | "no_route"
        | "unknown_key" | "expired" | "invalid" | "too_large" | "slow_body" => {
            format!("refused early and not run: {outcome}")
        }
        "broken_off" => {
            format!("broken off midway at {upstream} after {} events: {cause}", field("events"))
        }
        "lost" | "timed_out" => format!(
            "of unknown outcome after {} sends, the last to {upstream}, whose own log shows whether it \
             ran ({outcome}, {cause})",
            field("sends")
        ),
        _ => format!("ended as {outcome}: {cause}"),
    }
}

impl fmt::Display for Trace<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let time = humantime::format_rfc3339_millis(line.at);
            writeln!(f, "{time} {} {}", line.log, line.text)?;
        }
        writeln!(f, "{}", self.summary)
    }
}

#[cfg(test)]
mod tests;
