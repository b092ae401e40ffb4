//! Settings of the load generator.

use crate::deployment::Example;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span, Team};
use std::collections::BTreeMap;

/// The maximum arrival rate, in requests per second.
const RATE_MAX: f64 = 20_000.0;

/// The maximum duration of a run.
const DURATION_MAX: Span = Span::from_secs(3_600);

/// The load that is generated in a run.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// The example deployment whose mix of requests is sent.
    pub example: Example,
    /// The seed of the random numbers that determine arrival times, teams, kinds of requests and
    /// prompts.
    pub seed: u64,
    /// Arrivals per second.
    #[schemars(extend("x-allowed" = "a number above 0, at most 20000"))]
    pub rate: f64,
    /// The period in which requests arrive.
    pub duration: Span,
    /// The time after the arrival of a request at which its caller gives up.
    pub patience: Span,
    /// The maximum number of tokens of any answer. Without it, the mix decides.
    pub max_tokens: Option<u32>,
    /// The name of the only kind of request to send. Without it, the whole mix is sent.
    pub kind: Option<String>,
    /// Teams that send more than usual, each with the multiple of its ordinary share of the load.
    pub floods: BTreeMap<Team, f64>,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            example: Example::default(),
            seed: 1,
            rate: 20.0,
            duration: Span::from_secs(10),
            patience: Span::from_secs(30),
            max_tokens: None,
            kind: None,
            floods: BTreeMap::new(),
        }
    }
}

impl TrafficSettings {
    /// Checks the rules that the JSON schema can't express.
    pub fn check(&self, problems: &mut Problems) {
        if !(self.rate > 0.0 && self.rate <= RATE_MAX) {
            problems.add("rate", self.rate, "more than 0, at most 20000");
        }
        if self.duration.get().is_zero() || self.duration > DURATION_MAX {
            problems.add("duration", self.duration, "more than 0s, at most 1h");
        }
        if self.max_tokens == Some(0) {
            problems.add("max_tokens", 0, "1 or more");
        }
        let names: Vec<&str> = self.example.kinds().iter().map(|kind| kind.name).collect();
        if let Some(kind) = self.kind.as_deref().filter(|kind| !names.contains(kind)) {
            problems.add("kind", kind, names.join(", "));
        }
        for (team, factor) in &self.floods {
            if !(1.0..=1_000.0).contains(factor) {
                problems.add(format!("floods.{team}"), factor, "a number from 1 to 1000");
            }
        }
    }
}
