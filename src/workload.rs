//! The workloads of the example deployments, and the random arrivals generated from them.
//!
//! The seed of a run fixes all arrivals in advance, so that a slow system can't delay them.

use crate::deployment::Example;
use crate::settings::TrafficSettings;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use spindle_types::config::Priority;
use spindle_types::{Configuration, Model, Team};
use std::fmt::Write;
use std::time::Duration;

/// The number of prompt templates per team and request kind. Requests with the same template share
/// a prompt prefix.
const TEMPLATES_PER_KIND: u32 = 4;

/// A kind of request in a workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestKind {
    /// The name in settings and reports.
    pub name: &'static str,
    /// The relative frequency among the kinds of a workload.
    pub weight: u32,
    /// The form of its requests.
    pub shape: RequestShape,
}

/// The parameters from which requests of a kind are generated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestShape {
    /// A streamed generation.
    Generation {
        /// The number of words in the shared prompt prefix.
        shared_words: u32,
        /// The number of words that are unique to the request.
        own_words: u32,
        /// The maximum number of tokens in the answer.
        max_tokens: u32,
        /// The scheduling priority.
        priority: Priority,
    },
    /// An idempotent call to the plain service.
    Read {
        /// The path below the service, to which a number is appended.
        path: &'static str,
    },
    /// A call that must run at most once, with an idempotency key.
    Submission {
        /// The path below the service.
        path: &'static str,
    },
}

const fn generation(
    name: &'static str,
    weight: u32,
    (shared_words, own_words): (u32, u32),
    max_tokens: u32,
    priority: Priority,
) -> RequestKind {
    let shape = RequestShape::Generation { shared_words, own_words, max_tokens, priority };
    RequestKind { name, weight, shape }
}

const VENDIMIA: [RequestKind; 5] = [
    generation("dossier", 20, (1_200, 300), 700, Priority::Batch),
    generation("offer_summary", 25, (500, 250), 250, Priority::Interactive),
    generation("enquiry", 35, (300, 60), 150, Priority::Interactive),
    RequestKind {
        name: "booking",
        weight: 15,
        shape: RequestShape::Submission { path: "/allocations" },
    },
    RequestKind {
        name: "booking_read",
        weight: 5,
        shape: RequestShape::Read { path: "/allocations/" },
    },
];

const KANEM: [RequestKind; 5] = [
    generation("narrative", 25, (2_000, 800), 800, Priority::Batch),
    generation("term_summary", 20, (700, 400), 300, Priority::Interactive),
    generation("field_check", 30, (250, 50), 80, Priority::Interactive),
    RequestKind {
        name: "enrolment",
        weight: 15,
        shape: RequestShape::Submission { path: "/enrolments" },
    },
    RequestKind {
        name: "record_read",
        weight: 10,
        shape: RequestShape::Read { path: "/enrolments/" },
    },
];

/// The content of a generated request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestContent {
    /// A streamed generation.
    Generation {
        /// The text of the user message.
        prompt: String,
        /// The name of the prompt family, whose prompts share a prefix.
        family: String,
        /// The maximum number of tokens in the answer.
        max_tokens: u32,
        /// The scheduling priority.
        priority: Priority,
    },
    /// A call to the plain service.
    Call {
        /// The HTTP method.
        method: Method,
        /// The path below the service.
        path: String,
        /// The idempotency key; `None` for idempotent calls.
        key: Option<String>,
        /// The request body; empty for reads.
        body: String,
    },
}

/// A request with its intended arrival time.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The intended arrival, relative to the start of the run.
    pub at: Duration,
    /// The team that sends the request.
    pub team: Team,
    /// The name of the request kind.
    pub kind: &'static str,
    /// The request to send.
    pub content: RequestContent,
}

impl Example {
    /// The request kinds of the example's workload.
    pub const fn kinds(self) -> &'static [RequestKind] {
        match self {
            Self::Vendimia => &VENDIMIA,
            Self::Kanem => &KANEM,
        }
    }

    /// The name of the model that generations use.
    pub const fn model(self) -> &'static str {
        match self {
            Self::Vendimia => "sommelier-llm",
            Self::Kanem => "census-llm",
        }
    }

    /// The model as a validated name.
    pub fn model_name(self) -> Model {
        // The name is a valid literal.
        Model::try_from(self.model()).expect("the example's model has a valid name")
    }

    /// The name of the plain service that calls use.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Vendimia => "booking-desk",
            Self::Kanem => "returns-app",
        }
    }
}

/// Generates the arrivals of a run, in order of time, as a Poisson process per team.
///
/// The arrival rate of a team is proportional to its weight in the configuration. A flood multiplies
/// the rate of its team and leaves those of the other teams unchanged.
pub fn arrivals(settings: &TrafficSettings, configuration: &Configuration) -> Vec<Arrival> {
    let weights: Vec<(&Team, f64)> = configuration
        .teams
        .iter()
        .map(|(team, spec)| (team, f64::from(spec.weight.max(1))))
        .collect();
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let mut arrivals = Vec::new();
    for (index, (team, weight)) in (0..).zip(weights) {
        let factor = settings.floods.get(team).copied().unwrap_or(1.0);
        let rate = settings.rate * factor * weight / total;
        let mut generator = ArrivalGenerator::new(settings, team, index);
        generator.generate(rate, settings.duration.get(), &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Generates the arrivals of one team.
struct ArrivalGenerator<'a> {
    kinds: Vec<RequestKind>,
    seed: u64,
    max_tokens: u32,
    team: &'a Team,
    random: ChaCha8Rng,
    count: u64,
}

impl<'a> ArrivalGenerator<'a> {
    fn new(settings: &TrafficSettings, team: &'a Team, index: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        random.set_stream(index);
        let mut kinds = settings.example.kinds().to_vec();
        kinds.retain(|kind| settings.kind.as_ref().is_none_or(|name| name == kind.name));
        let max_tokens = settings.max_tokens.unwrap_or(u32::MAX);
        Self { kinds, seed: settings.seed, max_tokens, team, random, count: 0 }
    }

    fn generate(&mut self, rate: f64, duration: Duration, arrivals: &mut Vec<Arrival>) {
        let Ok(intervals) = Exp::new(rate) else {
            return;
        };
        let mut at = intervals.sample(&mut self.random);
        while at < duration.as_secs_f64() {
            arrivals.push(self.draw_arrival(Duration::from_secs_f64(at)));
            at += intervals.sample(&mut self.random);
        }
    }

    fn draw_arrival(&mut self, at: Duration) -> Arrival {
        let kind = self.draw_kind();
        self.count += 1;
        let content = match kind.shape {
            RequestShape::Generation { shared_words, own_words, max_tokens, priority } => {
                let template = format!(
                    "{}/{}/{}",
                    self.team,
                    kind.name,
                    self.random.random_range(0..TEMPLATES_PER_KIND)
                );
                let prompt = self.draw_prompt(&template, shared_words, own_words);
                let max_tokens = max_tokens.min(self.max_tokens);
                RequestContent::Generation { prompt, family: template, max_tokens, priority }
            }
            RequestShape::Read { path } => {
                let path = format!("{path}{}", self.count);
                RequestContent::Call { method: Method::GET, path, key: None, body: String::new() }
            }
            RequestShape::Submission { path } => {
                let name = format!("{}-{}-{}", self.team, self.seed, self.count);
                let body = format!("{{\"submission\":\"{name}\"}}");
                let key = Some(name);
                RequestContent::Call { method: Method::POST, path: path.to_owned(), key, body }
            }
        };
        Arrival { at, team: self.team.clone(), kind: kind.name, content }
    }

    fn draw_kind(&mut self) -> RequestKind {
        let total: u32 = self.kinds.iter().map(|kind| kind.weight).sum();
        let mut remaining = self.random.random_range(0..total);
        for kind in &self.kinds {
            if remaining < kind.weight {
                return *kind;
            }
            remaining -= kind.weight;
        }
        self.kinds[0]
    }

    fn draw_prompt(&mut self, template: &str, shared: u32, own: u32) -> String {
        let mut text = String::new();
        for word in 0..shared {
            // Writing to a `String` never fails.
            let _ = write!(text, "{template}.{word} ");
        }
        let number = self.random.random::<u64>();
        for word in 0..own {
            let _ = write!(text, "{number:x}.{word} ");
        }
        text
    }
}

#[cfg(test)]
mod tests;
