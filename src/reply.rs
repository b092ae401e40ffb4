//! Turns the events of a generation into the caller's HTTP response.

use crate::answer_reader::AnswerEvent;
use bytes::Bytes;
use http::{Response, StatusCode};
use spindle_caller::wire::{Choice, Delta, Message, Reply, Usage};
use spindle_caller::{Completion, Form, Refusal};
use spindle_http::reply::with_content_type;
use spindle_http::{Body, BodySender, encode_event, json};
use spindle_types::{Model, RequestId, Unknown};
use tokio::sync::mpsc;

/// Server-sent events that are buffered for a slow caller.
const EVENT_BUFFER: usize = 64;

/// Fields that all events of one answer share.
#[derive(Clone, Debug)]
pub struct ReplyHead {
    id: RequestId,
    model: Model,
    form: Form,
}

impl ReplyHead {
    /// The shared fields of the answer to `completion`.
    pub fn new(id: RequestId, completion: &Completion) -> Self {
        Self { id, model: completion.model.clone(), form: completion.form }
    }

    fn reply(&self, streamed: bool, choice: Choice, usage: Option<Usage>) -> Reply {
        let object = match (self.form, streamed) {
            (Form::Chat, true) => "chat.completion.chunk",
            (Form::Chat, false) => "chat.completion",
            (Form::Text, _) => "text_completion",
        };
        Reply {
            id: self.id.to_string(),
            object: object.to_owned(),
            model: self.model.to_string(),
            choices: vec![choice],
            usage,
        }
    }

    fn chunk_choice(&self, text: String) -> Choice {
        match self.form {
            Form::Chat => {
                Choice { delta: Some(Delta { content: Some(text) }), ..Choice::default() }
            }
            Form::Text => Choice { text: Some(text), ..Choice::default() },
        }
    }

    fn message_choice(&self, text: String) -> Choice {
        match self.form {
            Form::Chat => {
                let message = Message { role: "assistant".to_owned(), content: text };
                Choice { message: Some(message), ..Choice::default() }
            }
            Form::Text => Choice { text: Some(text), ..Choice::default() },
        }
    }
}

/// Collects a complete answer into one JSON response.
///
/// # Errors
///
/// The generation was given up, or its outcome is unknown.
pub async fn complete_response(
    head: ReplyHead,
    first: AnswerEvent,
    mut rest: mpsc::Receiver<AnswerEvent>,
) -> Result<Response<Body>, Refusal> {
    let mut content = String::new();
    let mut next = Some(first);
    while let Some(answer_event) = next {
        match answer_event {
            AnswerEvent::Text { text, .. } => content.push_str(&text),
            AnswerEvent::Refused(refusal) => return Err(refusal),
            AnswerEvent::Finished { finish, length, recomputed } => {
                let usage = Usage { completion_tokens: length, recomputed_tokens: recomputed };
                let finish_reason = Some(finish.to_string());
                let choice = Choice { finish_reason, ..head.message_choice(content) };
                return Ok(json(StatusCode::OK, &head.reply(false, choice, Some(usage))));
            }
        }
        next = rest.recv().await;
    }
    Err(Refusal::Unknown(Unknown::without_reason()))
}

/// Streams an answer as server-sent events whose ids are token offsets, so that a caller can resume
/// after the last one it received.
pub fn streaming_response(
    head: ReplyHead,
    first: AnswerEvent,
    rest: mpsc::Receiver<AnswerEvent>,
) -> Response<Body> {
    let (sender, body) = Body::channel(EVENT_BUFFER);
    tokio::spawn(forward_events(head, first, rest, sender));
    with_content_type(StatusCode::OK, "text/event-stream", body)
}

async fn forward_events(
    head: ReplyHead,
    first: AnswerEvent,
    mut rest: mpsc::Receiver<AnswerEvent>,
    sender: BodySender,
) {
    let mut next = Some(first);
    while let Some(answer_event) = next {
        let finished = matches!(answer_event, AnswerEvent::Finished { .. });
        let Some(event) = encode_answer_event(&head, answer_event) else {
            return;
        };
        if sender.send(event).await.is_err() {
            return;
        }
        if finished {
            if sender.send(encode_event(None, None, "[DONE]")).await.is_ok() {
                sender.finish().await;
            }
            return;
        }
        next = rest.recv().await;
    }
}

/// Encodes one server-sent event; `None` if the answer was given up, which breaks the stream off.
fn encode_answer_event(head: &ReplyHead, answer_event: AnswerEvent) -> Option<Bytes> {
    let (offset, reply) = match answer_event {
        AnswerEvent::Text { offset, text } => {
            (offset, head.reply(true, head.chunk_choice(text), None))
        }
        AnswerEvent::Finished { finish, length, recomputed } => {
            let usage = Usage { completion_tokens: length, recomputed_tokens: recomputed };
            let finish_reason = Some(finish.to_string());
            let choice = Choice { finish_reason, ..head.chunk_choice(String::new()) };
            (length, head.reply(true, choice, Some(usage)))
        }
        AnswerEvent::Refused(_) => return None,
    };
    let data = serde_json::to_string(&reply).ok()?;
    Some(encode_event(None, Some(&offset.to_string()), &data))
}

#[cfg(test)]
mod tests;
