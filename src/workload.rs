//! The mixes of work of both deployments, and arrivals drawn from them.
//!
//! All arrivals of a run are fixed in advance by its seed, so that a slow system can't delay them.

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

/// The prompt prefixes that a team shares among its requests of one kind.
const TEMPLATES: u32 = 4;

/// A kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestKind {
    /// Its name in reports.
    pub name: &'static str,
    /// Its part of the arrivals, relative to the other kinds.
    pub weight: u32,
    /// What it asks for.
    pub shape: RequestShape,
}

/// What a kind of work asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestShape {
    /// A streamed generation.
    Generation {
        /// Prompt words shared by a template.
        shared_words: u32,
        /// Prompt words of the request's own.
        own_words: u32,
        /// The most tokens of the answer.
        max_tokens: u32,
        /// The order in which it is served.
        priority: Priority,
    },
    /// A call that may be repeated.
    Read {
        /// The path below the service, to which a number is added.
        path: &'static str,
    },
    /// A call that must run at most once.
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

/// What one arrival asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestContent {
    /// A streamed generation.
    Generation {
        /// What is said to the model.
        prompt: String,
        /// The family of prompts that share a beginning.
        family: String,
        /// The most tokens of the answer.
        max_tokens: u32,
        /// The order in which it is served.
        priority: Priority,
    },
    /// A call to the plain service.
    Call {
        /// The method.
        method: Method,
        /// The path below the service.
        path: String,
        /// The idempotency key of a call that must run at most once.
        key: Option<String>,
        /// The body.
        body: String,
    },
}

/// One request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Who sends it.
    pub team: Team,
    /// The kind of work, by name.
    pub kind: &'static str,
    /// What it asks for.
    pub content: RequestContent,
}

impl Example {
    /// The kinds of work.
    pub const fn kinds(self) -> &'static [RequestKind] {
        match self {
            Self::Vendimia => &VENDIMIA,
            Self::Kanem => &KANEM,
        }
    }

    /// The name of the model.
    pub const fn model(self) -> &'static str {
        match self {
            Self::Vendimia => "sommelier-llm",
            Self::Kanem => "census-llm",
        }
    }

    /// The model, as a checked name.
    pub fn model_name(self) -> Model {
        // The name is a literal of the allowed form.
        Model::try_from(self.model()).expect("the example's model has a valid name")
    }

    /// The name of the plain service.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Vendimia => "booking-desk",
            Self::Kanem => "returns-app",
        }
    }
}

/// The arrivals of a run, in order of time.
///
/// A team's part of the traffic is its weight in the configuration; a flood adds to it and takes
/// nothing from the other teams.
pub fn arrivals(settings: &TrafficSettings, configuration: &Configuration) -> Vec<Arrival> {
    let weights: Vec<(&Team, f64)> = configuration
        .teams
        .iter()
        .map(|(team, spec)| (team, f64::from(spec.weight.max(1))))
        .collect();
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let mut all = Vec::new();
    for (index, (team, weight)) in (0..).zip(weights) {
        let factor = settings.floods.get(team).copied().unwrap_or(1.0);
        let rate = settings.rate * factor * weight / total;
        let mut draw = Draw::new(settings, team, index);
        draw.fill(rate, settings.duration.get(), &mut all);
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Draws the arrivals of one team.
struct Draw<'a> {
    kinds: Vec<RequestKind>,
    seed: u64,
    max_tokens: u32,
    team: &'a Team,
    random: ChaCha8Rng,
    count: u64,
}

impl<'a> Draw<'a> {
    fn new(settings: &TrafficSettings, team: &'a Team, index: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        random.set_stream(index);
        let mut kinds = settings.example.kinds().to_vec();
        kinds.retain(|kind| settings.kind.as_ref().is_none_or(|name| name == kind.name));
        let max_tokens = settings.max_tokens.unwrap_or(u32::MAX);
        Self { kinds, seed: settings.seed, max_tokens, team, random, count: 0 }
    }

    fn fill(&mut self, rate: f64, duration: Duration, all: &mut Vec<Arrival>) {
        let Ok(gaps) = Exp::new(rate) else {
            return;
        };
        let mut at = gaps.sample(&mut self.random);
        while at < duration.as_secs_f64() {
            all.push(self.arrival(Duration::from_secs_f64(at)));
            at += gaps.sample(&mut self.random);
        }
    }

    fn arrival(&mut self, at: Duration) -> Arrival {
        let kind = self.kind();
        self.count += 1;
        let content = match kind.shape {
            RequestShape::Generation { shared_words, own_words, max_tokens, priority } => {
                let family = format!(
                    "{}/{}/{}",
                    self.team,
                    kind.name,
                    self.random.random_range(0..TEMPLATES)
                );
                let prompt = self.prompt(&family, shared_words, own_words);
                let max_tokens = max_tokens.min(self.max_tokens);
                RequestContent::Generation { prompt, family, max_tokens, priority }
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

    fn kind(&mut self) -> RequestKind {
        let total: u32 = self.kinds.iter().map(|kind| kind.weight).sum();
        let mut drawn = self.random.random_range(0..total);
        for kind in &self.kinds {
            if drawn < kind.weight {
                return *kind;
            }
            drawn -= kind.weight;
        }
        self.kinds[0]
    }

    fn prompt(&mut self, family: &str, shared: u32, own: u32) -> String {
        let mut text = String::new();
        for word in 0..shared {
            // Writing to a string can't fail.
            let _ = write!(text, "{family}.{word} ");
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
