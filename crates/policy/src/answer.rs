//! Assembly of one whole answer from the chunks of one or more attempts.
//!
//! Each token has an offset in the whole answer. Chunks of another request or of an attempt that
//! has been given up are dropped, repeated tokens are dropped, and a gap is never bridged. An
//! attempt that contradicts what was received, or itself, is given up.

use spindle_types::{Attempt, RequestId};

/// A chunk of an attempt, as an engine sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerChunk {
    /// The request that the chunk answers.
    pub request: RequestId,
    /// The attempt that sent it.
    pub attempt: Attempt,
    /// The offset of its first token.
    pub offset: u32,
    /// Its tokens.
    pub tokens: Vec<String>,
    /// Whether the answer ends after it.
    pub last: bool,
}

/// What a chunk brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkOutcome {
    /// New tokens from an offset on; possibly none.
    Tokens {
        /// The offset of the first new token.
        offset: u32,
        /// How many are new.
        count: u32,
    },
    /// The answer is whole.
    Finished,
    /// The chunk belongs to another request or to an attempt that was given up.
    Foreign,
    /// Tokens before the chunk are missing; the attempt must be given up.
    Gap,
    /// The chunk contradicts the tokens received, its end is not theirs, or the answer would exceed
    /// the length asked for; nothing of it is taken and the attempt must be given up.
    Contradiction,
    /// The chunk comes after the end.
    AfterEnd,
}

/// The part of an answer received so far.
#[derive(Clone, Debug)]
pub struct Answer {
    request: RequestId,
    attempt: Attempt,
    tokens: Vec<String>,
    max: u32,
    finished: bool,
}

impl Answer {
    /// An answer without tokens, before its first attempt, of at most `max` tokens.
    pub const fn new(request: RequestId, max: u32) -> Self {
        Self::resumed(request, Attempt(0), Vec::new(), max)
    }

    /// An answer of which another daemon received the first tokens, by attempts up to one.
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

    /// Starts the next attempt; chunks of earlier ones are foreign from now on.
    pub fn start_attempt(&mut self) -> Attempt {
        self.attempt = self.attempt.next();
        self.attempt
    }

    /// The tokens received so far.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// The number of tokens received so far, which is the offset of the next.
    pub fn length(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Takes a chunk.
    pub fn receive(&mut self, part: AnswerChunk) -> ChunkOutcome {
        if part.request != self.request || part.attempt != self.attempt {
            return ChunkOutcome::Foreign;
        }
        if self.finished {
            return ChunkOutcome::AfterEnd;
        }
        let length = self.length();
        if part.offset > length {
            return ChunkOutcome::Gap;
        }
        let known = usize::try_from(length - part.offset).unwrap_or(usize::MAX);
        let end = usize::try_from(part.offset).unwrap_or(usize::MAX) + part.tokens.len();
        if !self.agrees(&part, known) || end > usize::try_from(self.max).unwrap_or(usize::MAX) {
            return ChunkOutcome::Contradiction;
        }
        let before = self.tokens.len();
        if part.last && end < before {
            return ChunkOutcome::Contradiction;
        }
        self.tokens.extend(part.tokens.into_iter().skip(known));
        if part.last {
            self.finished = true;
            return ChunkOutcome::Finished;
        }
        let count = u32::try_from(self.tokens.len() - before).unwrap_or(u32::MAX);
        ChunkOutcome::Tokens { offset: length, count }
    }

    /// Whether the tokens that were already received are the same in a chunk that starts `known`
    /// tokens before the end.
    fn agrees(&self, part: &AnswerChunk, known: usize) -> bool {
        let start = self.tokens.len() - known.min(self.tokens.len());
        self.tokens[start..].iter().zip(&part.tokens).all(|(ours, theirs)| ours == theirs)
    }
}

#[cfg(test)]
mod tests;
