//! Assembles one complete answer from the chunks of one or more attempts.
//!
//! Each token has an offset in the complete answer. Chunks of other requests or of abandoned
//! attempts are dropped, and so are repeated tokens. A chunk that would leave a gap is rejected. An
//! attempt that contradicts the tokens received, or itself, must be abandoned.

use spindle_types::{Attempt, RequestId};

/// A chunk of tokens from an attempt, as an engine sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerChunk {
    /// The request that the chunk answers.
    pub request: RequestId,
    /// The attempt that the chunk belongs to.
    pub attempt: Attempt,
    /// The offset of the first token in the complete answer.
    pub offset: u32,
    /// The tokens in order.
    pub tokens: Vec<String>,
    /// Whether this is the last chunk of the answer.
    pub last: bool,
}

/// The result of receiving a chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkOutcome {
    /// The chunk was accepted. It may have contained no new tokens.
    Tokens {
        /// The offset of the first new token.
        offset: u32,
        /// The number of new tokens.
        count: u32,
    },
    /// The answer is complete.
    Finished,
    /// The chunk was dropped as it belongs to another request or to an abandoned attempt.
    Foreign,
    /// Tokens before the chunk are missing. The attempt must be abandoned.
    Gap,
    /// The chunk contradicts the tokens received, ends the answer before tokens already received,
    /// or exceeds the requested length. The chunk is dropped and the attempt must be abandoned.
    Contradiction,
    /// The chunk was dropped as the answer was already complete.
    AfterEnd,
}

/// An answer with the tokens received so far.
#[derive(Clone, Debug)]
pub struct Answer {
    request: RequestId,
    attempt: Attempt,
    tokens: Vec<String>,
    /// The largest number of tokens.
    max: u32,
    finished: bool,
}

impl Answer {
    /// Creates an empty answer of at most `max` tokens, before its first attempt.
    pub const fn new(request: RequestId, max: u32) -> Self {
        Self::resumed(request, Attempt(0), Vec::new(), max)
    }

    /// Creates an answer from the tokens that another daemon received from attempts up to
    /// `attempt`.
    pub const fn resumed(
        request: RequestId,
        attempt: Attempt,
        tokens: Vec<String>,
        max: u32,
    ) -> Self {
        Self { request, attempt, tokens, max, finished: false }
    }

    /// The newest attempt.
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Starts the next attempt. Chunks of earlier attempts are dropped from now on.
    pub fn start_attempt(&mut self) -> Attempt {
        self.attempt = self.attempt.next();
        self.attempt
    }

    /// The tokens received so far.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// The number of tokens received so far, which is the offset of the next token.
    pub fn length(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Appends the new tokens of a chunk.
    pub fn receive(&mut self, chunk: AnswerChunk) -> ChunkOutcome {
        if chunk.request != self.request || chunk.attempt != self.attempt {
            return ChunkOutcome::Foreign;
        }
        if self.finished {
            return ChunkOutcome::AfterEnd;
        }
        let length = self.length();
        if chunk.offset > length {
            return ChunkOutcome::Gap;
        }
        let repeated = usize::try_from(length - chunk.offset).unwrap_or(usize::MAX);
        let end = usize::try_from(chunk.offset).unwrap_or(usize::MAX) + chunk.tokens.len();
        if !self.matches_received(&chunk, repeated)
            || end > usize::try_from(self.max).unwrap_or(usize::MAX)
        {
            return ChunkOutcome::Contradiction;
        }
        let before = self.tokens.len();
        if chunk.last && end < before {
            return ChunkOutcome::Contradiction;
        }
        self.tokens.extend(chunk.tokens.into_iter().skip(repeated));
        if chunk.last {
            self.finished = true;
            return ChunkOutcome::Finished;
        }
        let count = u32::try_from(self.tokens.len() - before).unwrap_or(u32::MAX);
        ChunkOutcome::Tokens { offset: length, count }
    }

    /// Whether a chunk that starts `repeated` tokens before the end of those received repeats them
    /// exactly.
    fn matches_received(&self, chunk: &AnswerChunk, repeated: usize) -> bool {
        let start = self.tokens.len() - repeated.min(self.tokens.len());
        self.tokens[start..].iter().zip(&chunk.tokens).all(|(received, sent)| received == sent)
    }
}

#[cfg(test)]
mod tests;
