//! A caller's connection with a timeout for request heads: each head must be complete within this
//! time after its first byte. Idle connections are not affected. It also sets how long what is sent
//! may stay unacknowledged, by how much of a response has been sent.

use crate::unacknowledged::UnacknowledgedLimit;
use spindle_http::ResettableStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Whether a request is being served on the connection, and how many heads have been complete so far;
/// shared between the stream and the handler.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestInProgress(Arc<Progress>);

#[derive(Debug, Default)]
struct Progress {
    in_progress: AtomicBool,
    heads: AtomicU64,
}

impl RequestInProgress {
    /// Records that a request head is complete (`true`) or that its response is ready (`false`).
    pub(crate) fn set(&self, in_progress: bool) {
        self.0.in_progress.store(in_progress, Ordering::Relaxed);
        if in_progress {
            self.0.heads.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn get(&self) -> bool {
        self.0.in_progress.load(Ordering::Relaxed)
    }

    fn heads(&self) -> u64 {
        self.0.heads.load(Ordering::Relaxed)
    }
}

/// A TCP stream whose reads fail with [`io::ErrorKind::TimedOut`] if a request head takes too long.
pub(crate) struct HeadTimeoutStream {
    stream: ResettableStream,
    in_progress: RequestInProgress,
    head_timeout: Duration,
    /// Timer that runs while a request head is incomplete.
    head_deadline: Option<Pin<Box<Sleep>>>,
    /// Number of heads that were complete at the last read.
    heads: u64,
    unacknowledged: UnacknowledgedLimit,
}

impl HeadTimeoutStream {
    /// Wraps a connection on which each request head must arrive within `head_timeout` of its first
    /// byte.
    pub(crate) fn new(
        stream: ResettableStream,
        in_progress: RequestInProgress,
        head_timeout: Duration,
    ) -> Self {
        let unacknowledged = UnacknowledgedLimit::default();
        Self { stream, in_progress, head_timeout, head_deadline: None, heads: 0, unacknowledged }
    }

    fn on_written(&mut self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.unacknowledged.on_sent(self.stream.socket(), *bytes);
        }
        result
    }
}

impl AsyncRead for HeadTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A response may have been ready at once, so that no read saw the request in progress.
        let heads = self.in_progress.heads();
        if std::mem::replace(&mut self.heads, heads) != heads {
            self.head_deadline = None;
        }
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(result) => {
                if self.in_progress.get() {
                    self.head_deadline = None;
                } else if self.head_deadline.is_none() && buffer.filled().len() > before {
                    let deadline = tokio::time::sleep(self.head_timeout);
                    self.head_deadline = Some(Box::pin(deadline));
                    let this = &mut *self;
                    this.unacknowledged.on_request(this.stream.socket());
                }
                Poll::Ready(result)
            }
            Poll::Pending => {
                if self.in_progress.get() {
                    self.head_deadline = None;
                }
                let Some(deadline) = &mut self.head_deadline else {
                    return Poll::Pending;
                };
                ready!(deadline.as_mut().poll(context));
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

impl AsyncWrite for HeadTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, data);
        self.on_written(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, data);
        self.on_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
