//! Message bodies: empty, whole, or sent piece by piece with an explicit end.

use bytes::Bytes;
use http_body::Frame;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A message body.
#[derive(Debug, Default)]
pub enum Body {
    /// No content.
    #[default]
    Empty,
    /// The whole content.
    Whole(Bytes),
    /// Content that arrives from a [`BodySender`].
    Pieces(mpsc::Receiver<Piece>),
}

/// A part of a body that is sent piece by piece.
#[derive(Debug)]
pub enum Piece {
    /// Content.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// Sends a body piece by piece. Dropping it without [`BodySender::finish`] cuts the transfer off,
/// so that the receiver can tell a part from the whole.
#[derive(Debug)]
pub struct BodySender {
    pieces: mpsc::Sender<Piece>,
}

/// The receiver of a body has gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceiverGone;

impl BodySender {
    /// Sends content, waiting while the receiver is slow.
    ///
    /// # Errors
    ///
    /// The receiver has gone.
    pub async fn send(&self, data: Bytes) -> Result<(), ReceiverGone> {
        self.pieces.send(Piece::Data(data)).await.map_err(|_| ReceiverGone)
    }

    /// Ends the body as whole.
    pub async fn finish(self) {
        // A receiver that has gone does not need the end.
        let _ = self.pieces.send(Piece::End).await;
    }

    /// Waits until the receiver has gone.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }
}

impl Body {
    /// A body and its sender, which may run `capacity` pieces ahead of the receiver.
    pub fn pieces(capacity: usize) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (BodySender { pieces: sender }, Self::Pieces(receiver))
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
            Self::Pieces(receiver) => match receiver.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Piece::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
                Poll::Ready(Some(Piece::End)) => {
                    *self = Self::Empty;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    Poll::Ready(Some(Err(io::Error::other("body cut off before its end"))))
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
            Self::Pieces(_) => http_body::SizeHint::default(),
        }
    }
}
