//! Settings of the load generator.

use crate::deployment::Example;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_types::{Problems, Span, Team};
use std::collections::BTreeMap;

/// The highest arrival rate, in requests a second.
const RATE_MAX: f64 = 20_000.0;

/// The longest run.
const DURATION_MAX: Span = Span::from_secs(3_600);

/// The load that a run offers.
#[derive(Clone, Debug, JsonSchema, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Whose mix of work is sent.
    pub example: Example,
    /// The seed of arrival times, teams, kinds of work and prompts.
    pub seed: u64,
    /// Arrivals a second.
    #[schemars(extend("x-allowed" = "a number above 0, at most 20000"))]
    pub rate: f64,
    /// The time over which requests arrive.
    pub duration: Span,
    /// The time after its arrival at which a caller gives a request up.
    pub patience: Span,
    /// The most tokens of any answer; none leaves the mix as it is.
    pub max_tokens: Option<u32>,
    /// The one kind of work that is sent, by name; none sends the whole mix.
    pub kind: Option<String>,
    /// Extra traffic of single teams, as a multiple of their ordinary share.
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
    /// Checks what the schema can't express.
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
