//! Splits a stream of server-sent events at event boundaries and records the id of the last
//! complete event. The bytes themselves are not changed.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes. The same limit as that of the event decoder.
const EVENT_MAX_BYTES: usize = spindle_http::event::EVENT_MAX_BYTES;

/// An event, or what stands between two of them, exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLarge;

/// Checks that the ids of the events of one stream increase, and that none is left out where another
/// upstream takes over.
///
/// Ids that aren't numbers have no known order; of these only an immediate repeat is noticed.
#[derive(Debug, Default)]
struct EventOrder {
    last: Option<String>,
    /// The difference of consecutive ids, while it has always been the same.
    step: Option<u64>,
    has_varied: bool,
    /// Whether the next event is the first one of another upstream.
    is_taken_over: bool,
}

impl EventOrder {
    /// Whether an event with this id may come next. Records it if so.
    fn accept(&mut self, id: &str) -> bool {
        let is_taken_over = std::mem::take(&mut self.is_taken_over);
        if let Some(last) = &self.last {
            match (last.parse::<u64>(), id.parse::<u64>()) {
                (Ok(last), Ok(next)) => {
                    let Some(step) = next.checked_sub(last).filter(|step| *step > 0) else {
                        return false;
                    };
                    let is_gap = self.step.is_some_and(|known| step > known) && !self.has_varied;
                    if is_taken_over && is_gap {
                        return false;
                    }
                    self.has_varied |= self.step.is_some_and(|known| step != known);
                    self.step = Some(step);
                }
                _ if last == id => return false,
                _ => {}
            }
        }
        self.last = Some(id.to_owned());
        true
    }
}

/// Splitter for the events of one stream, which may come from several upstreams in turn.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Data after the last event boundary.
    partial: BytesMut,
    scanner: Scanner,
    order: EventOrder,
    /// Whether an event was out of order. It and what follows are not returned.
    is_disordered: bool,
    last_id: Option<String>,
    count: u64,
    delivered: u64,
    /// Number of bytes since the last complete event with an id or data.
    idle_bytes: usize,
}

/// How a line ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LineEnd {
    #[default]
    Lf,
    CrLf,
    Cr,
}

/// Position within the data after the last event boundary.
#[derive(Debug, Default)]
struct Scanner {
    /// Where the current line begins.
    line_start: usize,
    /// How the line before the current one ended.
    previous_end: LineEnd,
    /// Whether the last byte is a CR that may be the first half of a line end.
    after_cr: bool,
    event: EventFields,
}

/// What the complete lines of an event hold.
#[derive(Clone, Debug, Default)]
struct EventFields {
    id: Option<String>,
    has_data: bool,
    /// Whether there is any line that is not a comment.
    has_fields: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that goes on after the event with an id, if there is one.
    pub fn after(last_id: Option<&str>) -> Self {
        let last = last_id.map(str::to_owned);
        let order = EventOrder { last, ..EventOrder::default() };
        Self { order, ..Self::default() }
    }

    /// Whether the id of an event was not above the one before, or an event was left out where
    /// another upstream has taken over. The data returned ends before it.
    pub const fn is_disordered(&self) -> bool {
        self.is_disordered
    }

    /// Adds data and returns the complete events up to its last event boundary; empty if there is
    /// no boundary.
    ///
    /// # Errors
    ///
    /// An incomplete event, or the comments and empty events between two others, exceed the size
    /// limit.
    pub fn push(&mut self, mut data: Bytes) -> Result<Bytes, TooLarge> {
        self.idle_bytes += data.len();
        let complete = if self.partial.is_empty() {
            let end = self.scan(&data, 0);
            let complete = data.split_to(end);
            self.partial.extend_from_slice(&data);
            complete
        } else {
            let from = self.partial.len();
            self.partial.extend_from_slice(&data);
            let partial = std::mem::take(&mut self.partial);
            let end = self.scan(&partial, from);
            self.partial = partial;
            self.partial.split_to(end).freeze()
        };
        if self.idle_bytes > EVENT_MAX_BYTES { Err(TooLarge) } else { Ok(complete) }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events with an id so far.
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Number of complete events with an id or data so far.
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Whether an event or a line has begun but is not complete. Complete comment lines need no
    /// empty line after them.
    pub fn is_partial(&self) -> bool {
        self.scanner.event.has_fields || self.scanner.line_start < self.partial.len()
    }

    /// Size of the data after the last event boundary, in bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards an incomplete event, before the stream is resumed at another upstream.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.idle_bytes = 0;
        self.scanner = Scanner::default();
        self.is_disordered = false;
        self.order.is_taken_over = true;
    }

    /// Takes the data after the last event, when a stream ends properly.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanner = Scanner::default();
        self.partial.split().freeze()
    }

    /// Scans `data` from a position on, where all before has been scanned. Returns the position
    /// after the last event boundary, or 0 if there is none.
    fn scan(&mut self, data: &[u8], from: usize) -> usize {
        let mut end = 0;
        for (at, byte) in data.iter().enumerate().skip(from) {
            if self.is_disordered {
                break;
            }
            let after_cr = std::mem::take(&mut self.scanner.after_cr);
            match byte {
                b'\n' if after_cr => self.end_line(data, (at - 1, at + 1), LineEnd::CrLf, &mut end),
                b'\n' => self.end_line(data, (at, at + 1), LineEnd::Lf, &mut end),
                b'\r' => {
                    if after_cr {
                        self.end_line(data, (at - 1, at), LineEnd::Cr, &mut end);
                    }
                    // Only after a line that ended with a lone CR is another one complete by itself:
                    // elsewhere the LF that belongs to it may be still to come.
                    let is_empty = self.scanner.line_start == at;
                    if is_empty && self.scanner.previous_end == LineEnd::Cr {
                        self.end_line(data, (at, at + 1), LineEnd::Cr, &mut end);
                    } else {
                        self.scanner.after_cr = true;
                    }
                }
                _ if after_cr => self.end_line(data, (at - 1, at), LineEnd::Cr, &mut end),
                _ => {}
            }
        }
        self.scanner.line_start -= end;
        end
    }

    /// Handles the end of a line: its text ends at `stop`, and the next line begins at `next`.
    fn end_line(
        &mut self,
        data: &[u8],
        (stop, next): (usize, usize),
        line_end: LineEnd,
        end: &mut usize,
    ) {
        let line = &data[self.scanner.line_start..stop];
        self.scanner.line_start = next;
        self.scanner.previous_end = line_end;
        if !line.is_empty() {
            self.scanner.event.add(line);
            return;
        }
        let event = std::mem::take(&mut self.scanner.event);
        if event.id.as_deref().is_some_and(|id| !self.order.accept(id)) {
            self.is_disordered = true;
            return;
        }
        *end = next;
        if event.has_data || event.id.is_some() {
            self.delivered += 1;
            self.idle_bytes = data.len() - next;
        }
        if event.id.is_some() {
            self.last_id = event.id;
            self.count += 1;
        }
    }
}

impl EventFields {
    fn add(&mut self, line: &[u8]) {
        self.has_fields |= !line.starts_with(b":");
        self.has_data |= line.starts_with(b"data");
        if let Some(id) = line.strip_prefix(b"id:") {
            let id = id.strip_prefix(b" ").unwrap_or(id);
            self.id = Some(String::from_utf8_lossy(id).into_owned());
        }
    }
}

#[cfg(test)]
mod tests;
