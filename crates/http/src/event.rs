//! Server-sent events.

use crate::client::CallError;
use bytes::Bytes;
use eventsource_stream::{EventStream, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};

pub use eventsource_stream::Event;

/// The events of a body. A body that is cut off ends with an error.
pub struct BodyEvents {
    events: Pin<Box<EventStream<BodyDataStream<Incoming>>>>,
}

impl Stream for BodyEvents {
    type Item = Result<Event, CallError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Event, CallError>>> {
        self.events.poll_next_unpin(context).map(|event| event.map(checked))
    }
}

fn checked(event: Result<Event, EventStreamError<hyper::Error>>) -> Result<Event, CallError> {
    event.map_err(|error| match error {
        EventStreamError::Transport(error) => CallError::Lost(error.to_string()),
        other => CallError::Form(other.to_string()),
    })
}

/// Decodes a body as server-sent events.
pub fn events(body: Incoming) -> BodyEvents {
    BodyEvents { events: Box::pin(BodyDataStream::new(body).eventsource()) }
}

/// Encodes an event; `data` must hold no line break.
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
