//! Splits a stream of server-sent events at event boundaries and records the id of the last
//! complete event. The bytes themselves are not changed.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes. The same limit as that of the event decoder.
const EVENT_MAX_BYTES: usize = spindle_http::event::EVENT_MAX_BYTES;

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLarge;

/// Splitter for the events of one stream, which may come from several upstreams in turn.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Data after the last event boundary.
    partial: BytesMut,
    last_id: Option<String>,
    count: u64,
}

impl EventSplitter {
    /// Adds data and returns the complete events up to its last event boundary; empty if there is
    /// no boundary.
    ///
    /// # Errors
    ///
    /// An incomplete event exceeds the size limit.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, TooLarge> {
        if self.partial.is_empty() && data.ends_with(b"\n\n") {
            self.record_ids(&data);
            return Ok(data);
        }
        self.partial.extend_from_slice(&data);
        let Some(end) = end_of_events(&self.partial) else {
            let fits = self.partial.len() <= EVENT_MAX_BYTES;
            return if fits { Ok(Bytes::new()) } else { Err(TooLarge) };
        };
        let complete = self.partial.split_to(end).freeze();
        self.record_ids(&complete);
        Ok(complete)
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events with an id so far.
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Whether an event has begun but is not complete.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Size of the data after the last event boundary, in bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards an incomplete event, before the stream is resumed at another upstream.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes the incomplete event that is left when a stream ends properly.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    fn record_ids(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                continue;
            }
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = id.strip_prefix(b" ").unwrap_or(id);
                self.last_id = Some(String::from_utf8_lossy(id).into_owned());
                self.count += 1;
            }
        }
    }
}

/// Position after the last event boundary: an empty line, with either kind of line end.
fn end_of_events(data: &[u8]) -> Option<usize> {
    let lf_end = data.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf_end = data.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    lf_end.max(crlf_end)
}

#[cfg(test)]
mod tests;
