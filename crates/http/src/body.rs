//! Message bodies: empty, complete, or streamed in chunks with an explicit end.

use bytes::Bytes;
use http_body::Frame;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Body of a request or response.
#[derive(Debug, Default)]
pub enum Body {
    /// No content.
    #[default]
    Empty,
    /// The complete content.
    Whole(Bytes),
    /// Content that a [`BodySender`] streams.
    Streamed(mpsc::Receiver<BodyChunk>),
}

/// Part of a streamed body.
#[derive(Debug)]
pub enum BodyChunk {
    /// Content.
    Data(Bytes),
    /// End of the body, which is complete.
    End,
}

/// Sends a body in chunks. Dropping it without [`BodySender::finish`] aborts the transfer, so that
/// the receiver does not take the part for a complete body.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<BodyChunk>,
}

/// The receiver of a body has disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceiverGone;

impl BodySender {
    /// Sends a chunk; waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// The receiver has disconnected.
    pub async fn send(&self, data: Bytes) -> Result<(), ReceiverGone> {
        self.chunks.send(BodyChunk::Data(data)).await.map_err(|_| ReceiverGone)
    }

    /// Ends the body properly.
    pub async fn finish(self) {
        // Fails only if the receiver has disconnected, which then needs no end.
        let _ = self.chunks.send(BodyChunk::End).await;
    }

    /// Waits until the receiver has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl Body {
    /// Creates a streamed body and its sender, with a buffer of `capacity` chunks.
    pub fn channel(capacity: usize) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (BodySender { chunks: sender }, Self::Streamed(receiver))
    }
}

impl From<Bytes> for Body {
    fn from(content: Bytes) -> Self {
        Self::Whole(content)
    }
}

impl From<String> for Body {
    fn from(content: String) -> Self {
        Self::Whole(content.into())
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Whole(content) => {
                let content = std::mem::take(content);
                *self = Self::Empty;
                Poll::Ready(Some(Ok(Frame::data(content))))
            }
            Self::Streamed(receiver) => match receiver.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(BodyChunk::Data(data))) => {
                    Poll::Ready(Some(Ok(Frame::data(data))))
                }
                Poll::Ready(Some(BodyChunk::End)) => {
                    *self = Self::Empty;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    Poll::Ready(Some(Err(io::Error::other("body ended before it was complete"))))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Empty => http_body::SizeHint::with_exact(0),
            Self::Whole(content) => http_body::SizeHint::with_exact(content.len() as u64),
            Self::Streamed(_) => http_body::SizeHint::default(),
        }
    }
}
