//! Cuts a stream of server-sent events at the ends of events and notes the id of the last whole
//! one. Content is passed on as it came.

use bytes::{Bytes, BytesMut};

/// The largest event, in bytes. The same bound as that of the JSON decoder of events.
const EVENT_MAX_BYTES: usize = spindle_http::event::EVENT_MAX_BYTES;

/// An event is larger than the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLarge;

/// The events of one stream, over all upstreams that take part in it.
#[derive(Debug, Default)]
pub struct EventCutter {
    rest: BytesMut,
    last: Option<String>,
    count: u64,
}

impl EventCutter {
    /// Takes in content and gives the whole events that it completes.
    ///
    /// # Errors
    ///
    /// An event exceeds the limit.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, TooLarge> {
        if self.rest.is_empty() && data.ends_with(b"\n\n") {
            self.note(&data);
            return Ok(data);
        }
        self.rest.extend_from_slice(&data);
        let Some(end) = end_of_events(&self.rest) else {
            let fits = self.rest.len() <= EVENT_MAX_BYTES;
            return if fits { Ok(Bytes::new()) } else { Err(TooLarge) };
        };
        let whole = self.rest.split_to(end).freeze();
        self.note(&whole);
        Ok(whole)
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// The whole events so far.
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops an event that has not ended, before the stream goes on elsewhere.
    pub fn drop_partial(&mut self) {
        self.rest.clear();
    }

    /// Gives up what is left, at an orderly end.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    fn note(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                continue;
            }
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = id.strip_prefix(b" ").unwrap_or(id);
                self.last = Some(String::from_utf8_lossy(id).into_owned());
                self.count += 1;
            }
        }
    }
}

/// Where the last whole event ends.
fn end_of_events(data: &[u8]) -> Option<usize> {
    let plain = data.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = data.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(carriage)
}

#[cfg(test)]
mod tests;
