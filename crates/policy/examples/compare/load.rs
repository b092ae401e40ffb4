//! Deployments and their seeded load.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use spindle_types::config::LatencyTarget;
use spindle_types::{BLOCK_TOKENS, BlockHash, MonotonicInstant};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// A deployment and its workload.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    /// The name in the table of results.
    pub(crate) name: &'static str,
    /// The number of engines, assigned to the data centres round-robin.
    pub(crate) engines: usize,
    /// The number of daemons, assigned to the data centres round-robin.
    pub(crate) daemons: usize,
    /// The number of data centres.
    pub(crate) centres: usize,
    /// The number of prefix families.
    pub(crate) families: usize,
    /// The length of the prefix of a family, in tokens.
    pub(crate) prefix: Range<u32>,
    /// The length of the remainder of a prompt, in tokens.
    pub(crate) rest: Range<u32>,
    /// The latency target.
    pub(crate) target: LatencyTarget,
}

/// The deployment of Vendimia Clara: many short prompts.
pub(crate) fn vendimia() -> Deployment {
    Deployment {
        name: "vendimia",
        engines: 12,
        daemons: 8,
        centres: 4,
        families: 300,
        prefix: 200..2_000,
        rest: 20..400,
        target: LatencyTarget::default(),
    }
}

/// The deployment of Kanem: fewer and longer prompts.
pub(crate) fn kanem() -> Deployment {
    Deployment {
        name: "kanem",
        engines: 18,
        families: 200,
        prefix: 1_000..5_000,
        rest: 50..1_000,
        ..vendimia()
    }
}

/// Log-normal distribution of the answer length in tokens: median, standard deviation of the
/// logarithm, and upper bound. The mean is near 412.
const ANSWER_MEDIAN: f64 = 330.0;
const ANSWER_SIGMA: f64 = 0.67;
const ANSWER_MAX: f64 = 2_000.0;

/// A request of the load.
#[derive(Clone, Debug)]
pub(crate) struct RequestSpec {
    /// When a daemon accepts the request.
    pub(crate) at: MonotonicInstant,
    /// The prefix family.
    pub(crate) family: u64,
    /// The length of the prompt, in tokens.
    pub(crate) tokens: u32,
    /// Block hashes of the prompt.
    pub(crate) blocks: Arc<[BlockHash]>,
    /// The length of the answer, in tokens.
    pub(crate) answer: u32,
}

/// Generates requests with Poisson arrivals at `rate` per second over `span`.
pub(crate) fn requests(
    deployment: &Deployment,
    rate: f64,
    span: Duration,
    generator: &mut ChaCha8Rng,
) -> Vec<RequestSpec> {
    let pause = Exp::new(rate).expect("the rate is positive");
    let family = Zipf::new(deployment.families as f64, 0.9).expect("there are families");
    let answer = LogNormal::new(ANSWER_MEDIAN.ln(), ANSWER_SIGMA).expect("the spread is valid");
    let mut requests = Vec::new();
    let mut secs = 0.0;
    loop {
        secs += pause.sample(generator);
        if secs > span.as_secs_f64() {
            return requests;
        }
        let family = family.sample(generator) as u64;
        let prefix = family_prefix(deployment, family);
        let rest = generator.random_range(deployment.rest.clone());
        let blocks = blocks(family, prefix, rest, generator);
        requests.push(RequestSpec {
            at: MonotonicInstant::from_micros((secs * 1e6) as u64),
            family,
            tokens: prefix + rest,
            blocks,
            answer: answer.sample(generator).clamp(1.0, ANSWER_MAX) as u32,
        });
    }
}

fn family_prefix(deployment: &Deployment, family: u64) -> u32 {
    let Range { start, end } = deployment.prefix;
    let spread = u64::from(end - start);
    start + (family.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as u32 % spread as u32
}

fn blocks(family: u64, prefix: u32, rest: u32, generator: &mut ChaCha8Rng) -> Arc<[BlockHash]> {
    let count = |tokens: u32| u64::from(tokens) / BLOCK_TOKENS as u64;
    let shared = (0..count(prefix)).map(|index| BlockHash(family << 32 | index));
    let own = (count(prefix)..count(prefix + rest)).map(|_| BlockHash(generator.random()));
    shared.chain(own).collect()
}
