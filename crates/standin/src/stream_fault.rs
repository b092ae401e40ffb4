//! Fault injection for an engine's stream of chunks. An engine must not do any of this, but its
//! receivers must tolerate it.

use spindle_engine::Chunk;
use spindle_types::{Attempt, RequestId};
use std::sync::atomic::{AtomicU32, Ordering};
use strum::FromRepr;

/// A violation of the protocol of a stream of chunks.
#[derive(Clone, Copy, Debug, Default, Eq, FromRepr, PartialEq)]
#[repr(u32)]
pub enum StreamFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk is sent twice.
    Duplicate,
    /// The two chunks of each consecutive pair are swapped.
    Reorder,
    /// A chunk of another request precedes each chunk.
    OtherRequest,
    /// A chunk of another attempt precedes each chunk.
    OtherAttempt,
    /// The last chunk follows after a few tokens, with a wrong offset.
    EarlyEnd,
    /// One chunk is far larger than any valid one.
    Oversized,
}

/// The offset of the token at which [`StreamFault::EarlyEnd`] and [`StreamFault::Oversized`] occur.
const FAULT_OFFSET: u32 = 5;

/// The size of the token of an oversized chunk, in bytes.
const OVERSIZED_TOKEN_BYTES: usize = 1024 * 1024;

/// The fault to inject into a limited number of streams that start from now on.
#[derive(Debug, Default)]
pub struct StreamFaults {
    kind: AtomicU32,
    remaining_streams: AtomicU32,
}

impl StreamFaults {
    /// Injects a fault into each of the next `streams` streams.
    pub fn set(&self, kind: StreamFault, streams: u32) {
        self.kind.store(kind as u32, Ordering::SeqCst);
        self.remaining_streams.store(streams, Ordering::SeqCst);
    }

    /// Creates the injector for a stream that starts now.
    pub(crate) fn start(&self) -> FaultInjector {
        let left = self
            .remaining_streams
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
        let kind = left.ok().and_then(|_| StreamFault::from_repr(self.kind.load(Ordering::SeqCst)));
        FaultInjector { kind: kind.unwrap_or_default(), held_back: None }
    }
}

/// Injects a fault into one stream.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    kind: StreamFault,
    held_back: Option<Chunk>,
}

impl FaultInjector {
    /// Returns the chunks to send instead of the given one.
    pub(crate) fn on_chunk(&mut self, chunk: Chunk) -> Vec<Chunk> {
        let at_fault = chunk.offset == FAULT_OFFSET;
        match self.kind {
            StreamFault::None => vec![chunk],
            StreamFault::Duplicate => vec![chunk.clone(), chunk],
            StreamFault::Reorder => self.reorder(chunk),
            StreamFault::OtherRequest => {
                let request = RequestId(chunk.request.0 ^ 1);
                vec![with_foreign_tokens(Chunk { request, ..chunk.clone() }), chunk]
            }
            StreamFault::OtherAttempt => {
                let attempt = Attempt(chunk.attempt.0 + 1);
                vec![with_foreign_tokens(Chunk { attempt, ..chunk.clone() }), chunk]
            }
            StreamFault::EarlyEnd if at_fault => {
                let finish = Some(spindle_engine::Finish::Stop);
                vec![Chunk { tokens: Vec::new(), finish, offset: 2, ..chunk }]
            }
            StreamFault::Oversized if at_fault => {
                vec![Chunk { tokens: vec!["x".repeat(OVERSIZED_TOKEN_BYTES)], ..chunk }]
            }
            StreamFault::EarlyEnd | StreamFault::Oversized => vec![chunk],
        }
    }

    fn reorder(&mut self, chunk: Chunk) -> Vec<Chunk> {
        if chunk.finish.is_some() {
            return self.held_back.take().into_iter().chain([chunk]).collect();
        }
        match self.held_back.take() {
            Some(previous) => vec![chunk, previous],
            None => {
                self.held_back = Some(chunk);
                Vec::new()
            }
        }
    }
}

fn with_foreign_tokens(chunk: Chunk) -> Chunk {
    let tokens = chunk.tokens.iter().map(|_| " FOREIGN".to_owned()).collect();
    Chunk { tokens, ..chunk }
}
