//! Assembly of one whole answer from the chunks of one or more attempts.
//!
//! Each token has an offset in the whole answer. Chunks of another request or of an attempt that
//! has been given up are dropped, repeated tokens are dropped, and a gap is never bridged.

use spindle_types::{Attempt, RequestId};

/// A chunk of an attempt, as an engine sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
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
pub enum Received {
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
    /// The chunk comes after the end.
    AfterEnd,
}

/// The part of an answer received so far.
#[derive(Clone, Debug)]
pub struct Answer {
    request: RequestId,
    attempt: Attempt,
    tokens: Vec<String>,
    finished: bool,
}

impl Answer {
    /// An answer without tokens, before its first attempt.
    pub const fn new(request: RequestId) -> Self {
        Self { request, attempt: Attempt(0), tokens: Vec::new(), finished: false }
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
    pub fn on_part(&mut self, part: Part) -> Received {
        if part.request != self.request || part.attempt != self.attempt {
            return Received::Foreign;
        }
        if self.finished {
            return Received::AfterEnd;
        }
        let length = self.length();
        if part.offset > length {
            return Received::Gap;
        }
        let known = usize::try_from(length - part.offset).unwrap_or(usize::MAX);
        let before = self.tokens.len();
        self.tokens.extend(part.tokens.into_iter().skip(known));
        if part.last {
            self.finished = true;
            return Received::Finished;
        }
        let count = u32::try_from(self.tokens.len() - before).unwrap_or(u32::MAX);
        Received::Tokens { offset: length, count }
    }
}

#[cfg(test)]
mod tests;
