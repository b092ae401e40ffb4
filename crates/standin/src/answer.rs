//! The completions that engine stand-ins generate. They are a pure function of model and prompt, so
//! that any receiver can verify the content of a completion.

use spindle_types::Model;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The shortest completion that ends by itself, in tokens.
const ANSWER_MIN_TOKENS: u64 = 16;

/// The range over which the lengths of completions that end by themselves are spread, in tokens.
const ANSWER_SPREAD_TOKENS: u64 = 800;

/// Returns the token at an offset of the completion of a prompt.
pub fn token(model: &Model, prompt: &str, offset: u32) -> String {
    let seed = xxh3_64_with_seed(model.as_str().as_bytes(), u64::from(offset));
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed);
    format!(" {:05x}", hash & 0xf_ffff)
}

/// Returns the length at which the completion of a prompt ends by itself, in tokens.
pub fn natural_length(prompt: &str) -> u32 {
    let spread = xxh3_64_with_seed(prompt.as_bytes(), 1) % ANSWER_SPREAD_TOKENS;
    u32::try_from(ANSWER_MIN_TOKENS + spread).unwrap_or(u32::MAX)
}

/// Returns the whole completion of a prompt, truncated to `max_tokens`.
pub fn whole_answer(model: &Model, prompt: &str, max_tokens: u32) -> String {
    (0..natural_length(prompt).min(max_tokens)).map(|offset| token(model, prompt, offset)).collect()
}
