//! Follows one request through the logs of several daemons: its own lines, and what the daemons
//! came to believe beforehand that bears on it.

use std::collections::BTreeSet;
use std::fmt;
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// How long before a request's first line a change of belief may bear on it: the longest window of
/// a quota, which is also how long silence takes until a daemon counts as dead.
const BEFORE: Duration = Duration::from_secs(8);

/// How long after its last line.
const AFTER: Duration = Duration::from_secs(1);

/// The events that change what a daemon believes of everything, as opposed to one upstream.
const OWN_BELIEFS: [&str; 12] = [
    "configuration_in_force",
    "configuration_current",
    "configuration_unreadable",
    "store_lost",
    "store_regained",
    "history_expired",
    "daemons_changed",
    "civil_time_changed",
    "log_lines_dropped",
    "starting",
    "stopping",
    "stopped",
];

/// The events that change how many upstreams of a service there are.
const FLEET_EVENTS: [&str; 2] = ["scale", "lease_lost"];

/// The log of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonLog {
    /// The name under which its lines are shown.
    pub name: String,
    /// Its lines.
    pub text: String,
}

/// Why nothing can be told of a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TraceError {
    /// No line names it.
    #[error("no line names the request; search the logs of all daemons, and those rotated away")]
    Unknown,
}

/// A line with its fields.
#[derive(Clone, Debug)]
struct Line<'a> {
    at: SystemTime,
    log: &'a str,
    text: &'a str,
}

impl<'a> Line<'a> {
    /// A line of a log; none if it does not begin with a time.
    fn parse(log: &'a str, text: &'a str) -> Option<Self> {
        let (time, text) = text.split_once(' ')?;
        Some(Self { at: humantime::parse_rfc3339(time).ok()?, log, text })
    }

    fn field(&self, name: &str) -> Option<&'a str> {
        let mut fields = self.text.split_whitespace().filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    fn is_of(&self, id: &str) -> bool {
        self.field("id") == Some(id) || self.field("request") == Some(id)
    }
}

/// What the logs tell of a request, in order of time.
#[derive(Debug)]
pub struct Trace<'a> {
    lines: Vec<Line<'a>>,
    verdict: String,
}

/// Follows a request through the logs.
///
/// # Errors
///
/// No line names it.
pub fn trace<'a>(id: &str, logs: &'a [DaemonLog]) -> Result<Trace<'a>, TraceError> {
    let all: Vec<Line<'a>> = logs
        .iter()
        .flat_map(|log| log.text.lines().filter_map(|text| Line::parse(&log.name, text)))
        .collect();
    let own: Vec<&Line<'a>> = all.iter().filter(|line| line.is_of(id)).collect();
    let first = own.iter().map(|line| line.at).min().ok_or(TraceError::Unknown)?;
    let last = own.iter().map(|line| line.at).max().ok_or(TraceError::Unknown)?;
    let (from, until) = (first - BEFORE, last + AFTER);
    let upstreams: BTreeSet<&str> = own.iter().filter_map(|line| line.field("upstream")).collect();
    let services: BTreeSet<&str> = own.iter().filter_map(|line| line.field("service")).collect();
    let daemons: BTreeSet<&str> = own.iter().map(|line| line.log).collect();
    let bears = |line: &Line<'a>| {
        let Some(event) = line.field("event") else { return false };
        let of = |name, values: &BTreeSet<&str>| {
            line.field(name).is_some_and(|value| value != "-" && values.contains(value))
        };
        let upstream = event != "request" && of("upstream", &upstreams);
        let daemon = OWN_BELIEFS.contains(&event) && daemons.contains(line.log);
        let fleet = FLEET_EVENTS.contains(&event) && of("service", &services);
        (from..=until).contains(&line.at) && (upstream || daemon || fleet)
    };
    let mut lines: Vec<Line<'a>> =
        all.iter().filter(|line| line.is_of(id) || bears(line)).cloned().collect();
    lines.sort_by_key(|line| line.at);
    let verdict = verdict(&own, &all, first);
    Ok(Trace { lines, verdict })
}

/// What became of the request, from its last line.
fn verdict(own: &[&Line<'_>], all: &[Line<'_>], first: SystemTime) -> String {
    let Some(end) = own.iter().find(|line| line.field("event") == Some("request")) else {
        return "it has not ended, or the line of its end was dropped".to_owned();
    };
    let field = |name| end.field(name).unwrap_or("-");
    let (outcome, upstream, cause) = (field("outcome"), field("upstream"), field("cause"));
    match outcome {
        "answered" => format!("answered with {} by {upstream}", field("status")),
        "over_quota" => {
            let team = field("team");
            let of_team = |line: &&Line<'_>| {
                line.field("event") == Some("request")
                    && line.field("team") == Some(team)
                    && (first - BEFORE..=first).contains(&line.at)
            };
            let refused = |line: &&Line<'_>| line.field("outcome") == Some("over_quota");
            let lines: Vec<&Line<'_>> = all.iter().filter(of_team).collect();
            let count = lines.iter().copied().filter(|line| refused(line)).count();
            format!(
                "refused early and not run: team {team} was over its quota ({} of its {} requests \
                 in the {} s before were refused so)",
                count,
                lines.len(),
                BEFORE.as_secs(),
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
            "of unknown outcome after {} sends, the last to {upstream}, whose own log tells whether it \
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
        writeln!(f, "{}", self.verdict)
    }
}

#[cfg(test)]
mod tests;
