//! Faults of a stream of chunks: what an engine must not do, and what a receiver must survive.

use spindle_engine::Chunk;
use spindle_types::{Attempt, RequestId};
use std::sync::atomic::{AtomicU32, Ordering};
use strum::FromRepr;

/// A fault of a stream of chunks.
#[derive(Clone, Copy, Debug, Default, Eq, FromRepr, PartialEq)]
#[repr(u32)]
pub enum StreamFault {
    /// None.
    #[default]
    None,
    /// Each chunk is sent twice.
    Duplicate,
    /// Pairs of chunks change places.
    Reorder,
    /// A chunk of another request precedes each chunk.
    OtherRequest,
    /// A chunk of another attempt precedes each chunk.
    OtherAttempt,
    /// The last chunk comes after a few tokens.
    EarlyEnd,
    /// A chunk is far too large.
    Oversized,
}

/// The tokens after which [`StreamFault::EarlyEnd`] and [`StreamFault::Oversized`] show.
const ONSET_TOKENS: u32 = 5;

/// The size of an oversized token, in bytes.
const OVERSIZE_BYTES: usize = 1024 * 1024;

/// The stream_fault of streams that start from now on, for a limited number of streams.
#[derive(Debug, Default)]
pub struct StreamFaults {
    kind: AtomicU32,
    streams: AtomicU32,
}

impl StreamFaults {
    /// Distorts the next `streams` streams.
    pub fn set(&self, kind: StreamFault, streams: u32) {
        self.kind.store(kind as u32, Ordering::SeqCst);
        self.streams.store(streams, Ordering::SeqCst);
    }

    /// The injector of a stream that starts now.
    pub(crate) fn start(&self) -> FaultInjector {
        let left =
            self.streams.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
        let kind = left.ok().and_then(|_| StreamFault::from_repr(self.kind.load(Ordering::SeqCst)));
        FaultInjector { kind: kind.unwrap_or_default(), held: None }
    }
}

/// Distorts one stream.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    kind: StreamFault,
    held: Option<Chunk>,
}

impl FaultInjector {
    /// The chunks to send in place of one.
    pub(crate) fn on_chunk(&mut self, chunk: Chunk) -> Vec<Chunk> {
        let onset = chunk.offset == ONSET_TOKENS;
        match self.kind {
            StreamFault::None => vec![chunk],
            StreamFault::Duplicate => vec![chunk.clone(), chunk],
            StreamFault::Reorder => self.reorder(chunk),
            StreamFault::OtherRequest => {
                let request = RequestId(chunk.request.0 ^ 1);
                vec![foreign(Chunk { request, ..chunk.clone() }), chunk]
            }
            StreamFault::OtherAttempt => {
                let attempt = Attempt(chunk.attempt.0 + 1);
                vec![foreign(Chunk { attempt, ..chunk.clone() }), chunk]
            }
            StreamFault::EarlyEnd if onset => {
                let finish = Some(spindle_engine::Finish::Stop);
                vec![Chunk { tokens: Vec::new(), finish, offset: 2, ..chunk }]
            }
            StreamFault::Oversized if onset => {
                vec![Chunk { tokens: vec!["x".repeat(OVERSIZE_BYTES)], ..chunk }]
            }
            StreamFault::EarlyEnd | StreamFault::Oversized => vec![chunk],
        }
    }

    fn reorder(&mut self, chunk: Chunk) -> Vec<Chunk> {
        if chunk.finish.is_some() {
            return self.held.take().into_iter().chain([chunk]).collect();
        }
        match self.held.take() {
            Some(held) => vec![chunk, held],
            None => {
                self.held = Some(chunk);
                Vec::new()
            }
        }
    }
}

fn foreign(chunk: Chunk) -> Chunk {
    let tokens = chunk.tokens.iter().map(|_| " FOREIGN".to_owned()).collect();
    Chunk { tokens, ..chunk }
}
