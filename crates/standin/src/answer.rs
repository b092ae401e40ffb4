//! The answers that engine stand-ins give: a pure function of model and prompt, so that any
//! receiver can check an answer by content.

use spindle_types::Model;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The shortest natural answer, in tokens.
const ANSWER_MIN_TOKENS: u64 = 16;

/// The spread of natural answer lengths, in tokens.
const ANSWER_SPREAD_TOKENS: u64 = 800;

/// The token at an offset of the answer to a prompt.
pub fn token(model: &Model, prompt: &str, offset: u32) -> String {
    let seed = xxh3_64_with_seed(model.as_str().as_bytes(), u64::from(offset));
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
    format!(" {:05x}", hash & 0xf_ffff)
}

/// The length at which the answer to a prompt ends by itself, in tokens.
pub fn natural_length(prompt: &str) -> u32 {
    let spread = xxh3_64_with_seed(prompt.as_bytes(), 1) % ANSWER_SPREAD_TOKENS;
    u32::try_from(ANSWER_MIN_TOKENS + spread).unwrap_or(u32::MAX)
}

/// The whole answer to a prompt, cut off at `max_tokens`.
pub fn whole_answer(model: &Model, prompt: &str, max_tokens: u32) -> String {
    (0..natural_length(prompt).min(max_tokens)).map(|offset| token(model, prompt, offset)).collect()
}
