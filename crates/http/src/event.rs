//! Decoding and encoding of server-sent events, with a size limit.

use crate::client::CallError;
use bytes::Bytes;
use eventsource_stream::{EventStream, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};

pub use eventsource_stream::Event;

/// Maximum size of an event, in bytes.
pub const EVENT_MAX_BYTES: usize = 256 * 1024;

/// Stream of the events in a body. It ends with an error if the body is cut off or holds an event
/// larger than [`EVENT_MAX_BYTES`].
pub struct BodyEvents {
    events: Pin<Box<EventStream<SizeLimited<BodyDataStream<Incoming>>>>>,
}

/// Passes data through, and fails once an event exceeds [`EVENT_MAX_BYTES`].
struct SizeLimited<S> {
    data: S,
    partial: PartialEvent,
}

/// Size of the incomplete event at the end of the data seen so far, and of its last line, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct PartialEvent {
    length: usize,
    line: usize,
}

impl PartialEvent {
    /// Adds data. An empty line ends an event.
    fn add(&mut self, data: &[u8]) {
        for byte in data {
            self.length += 1;
            match byte {
                b'\n' if self.line == 0 => self.length = 0,
                b'\n' => self.line = 0,
                b'\r' => {}
                _ => self.line += 1,
            }
        }
    }
}

impl<S, E> Stream for SizeLimited<S>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
    E: std::fmt::Display,
{
    type Item = Result<Bytes, CallError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, CallError>>> {
        let data = match self.data.poll_next_unpin(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(Err(error))) => {
                return Poll::Ready(Some(Err(CallError::Lost(error.to_string()))));
            }
            Poll::Ready(Some(Ok(data))) => data,
        };
        self.partial.add(&data);
        if self.partial.length > EVENT_MAX_BYTES {
            let text = format!("event exceeds {EVENT_MAX_BYTES} bytes");
            return Poll::Ready(Some(Err(CallError::Form(text))));
        }
        Poll::Ready(Some(Ok(data)))
    }
}

impl Stream for BodyEvents {
    type Item = Result<Event, CallError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Event, CallError>>> {
        self.events.poll_next_unpin(context).map(|event| event.map(unwrap_transport_error))
    }
}

fn unwrap_transport_error(
    event: Result<Event, EventStreamError<CallError>>,
) -> Result<Event, CallError> {
    event.map_err(|error| match error {
        EventStreamError::Transport(error) => error,
        other => CallError::Form(other.to_string()),
    })
}

/// Decodes a body as server-sent events.
pub fn decode_events(body: Incoming) -> BodyEvents {
    let data = SizeLimited { data: BodyDataStream::new(body), partial: PartialEvent::default() };
    BodyEvents { events: Box::pin(data.eventsource()) }
}

/// Encodes an event. `data` must not contain line breaks.
pub fn encode_event(kind: Option<&str>, id: Option<&str>, data: &str) -> Bytes {
    let mut text = String::with_capacity(data.len() + 64);
    for (field, value) in [("event", kind), ("id", id)] {
        if let Some(value) = value {
            text.push_str(field);
            text.push_str(": ");
            text.push_str(value);
            text.push('\n');
        }
    }
    text.push_str("data: ");
    text.push_str(data);
    text.push_str("\n\n");
    text.into()
}

#[cfg(test)]
mod tests;
