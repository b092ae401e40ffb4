//! Reading of whole bodies, with a limit on the memory that all of them use together.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use spindle_http::ReadError;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest response body that is read whole, in bytes; streams are not subject to it. Equals the
/// largest request body of the users' example configuration.
const BODY_MAX_BYTES: usize = 4_194_304;

/// Memory that all response bodies being read or sent may use together, in bytes, beyond
/// [`BODY_FREE_BYTES`] each.
const BODIES_MAX_BYTES: usize = 33_554_432;

/// Part of each body that doesn't count, in bytes: large bodies don't keep small ones from being
/// read.
const BODY_FREE_BYTES: usize = 16_384;

/// Memory of the bodies that are being read or sent. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    used: Arc<AtomicUsize>,
    max: usize,
}

impl BodyMemory {
    /// Creates the memory of bodies that may use `max` bytes together, beyond a small part of each.
    pub fn new(max: usize) -> Self {
        Self { used: Arc::default(), max }
    }
}

impl Default for BodyMemory {
    /// The memory of response bodies.
    fn default() -> Self {
        Self::new(BODIES_MAX_BYTES)
    }
}

/// The part of the memory that a body uses; given back when it is dropped.
#[derive(Debug)]
struct Reservation {
    memory: BodyMemory,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body of which a part has been read.
#[derive(Debug)]
pub(crate) struct PartialBody {
    content: BytesMut,
    body_max: usize,
    reservation: Reservation,
}

/// A whole body. It counts against the memory until it has been sent to the caller.
struct WholeBody {
    content: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for WholeBody {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl PartialBody {
    pub(crate) fn new(memory: &BodyMemory) -> Self {
        let reservation = Reservation { memory: memory.clone(), bytes: 0 };
        Self { content: BytesMut::new(), body_max: BODY_MAX_BYTES, reservation }
    }

    /// A body of a request, of up to `body_max` bytes, that states its length if `length` is given.
    ///
    /// # Errors
    ///
    /// That length is more than one body or all together may have.
    pub(crate) fn of_request(
        memory: &BodyMemory,
        body_max: usize,
        length: Option<u64>,
    ) -> Result<Self, ReadError> {
        let mut partial = Self { body_max, ..Self::new(memory) };
        let length = length.map_or(0, |length| usize::try_from(length).unwrap_or(usize::MAX));
        partial.reserve(length)?;
        partial.content.reserve(length);
        Ok(partial)
    }

    /// Reads the rest of the body. If this future is dropped, another call goes on where it stopped.
    ///
    /// # Errors
    ///
    /// The body breaks off, or is larger than one body or all together may be.
    pub(crate) async fn read_rest(&mut self, body: &mut Incoming) -> Result<Bytes, ReadError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.add(&data)?;
            }
        }
        Ok(self.finish())
    }

    /// The whole body. What it counts for is given back once the last copy of it is dropped.
    fn finish(&mut self) -> Bytes {
        let content = self.content.split().freeze();
        let memory = self.reservation.memory.clone();
        let bytes = std::mem::take(&mut self.reservation.bytes);
        if bytes == 0 {
            return content;
        }
        let _reservation = Reservation { memory, bytes };
        Bytes::from_owner(WholeBody { content, _reservation })
    }

    fn add(&mut self, data: &[u8]) -> Result<(), ReadError> {
        self.reserve(self.content.len() + data.len())?;
        self.content.extend_from_slice(data);
        Ok(())
    }

    /// Counts a body of at least `length` bytes against the memory.
    fn reserve(&mut self, length: usize) -> Result<(), ReadError> {
        if length > self.body_max {
            return Err(ReadError::Size { max: self.body_max });
        }
        let counted = length.saturating_sub(BODY_FREE_BYTES);
        let added = counted.saturating_sub(self.reservation.bytes);
        self.reservation.bytes += added;
        let memory = &self.reservation.memory;
        let all = memory.used.fetch_add(added, Ordering::Relaxed) + added;
        if added > 0 && all > memory.max {
            return Err(ReadError::Memory { max: memory.max });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
