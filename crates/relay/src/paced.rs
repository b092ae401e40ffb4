//! A caller's connection on which a head that has begun must arrive within a time.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Whether a request is being served on the connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Busy(Arc<AtomicBool>);

impl Busy {
    /// Notes that a head is whole, or that its request is done.
    pub(crate) fn set(&self, busy: bool) {
        self.0.store(busy, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The connection.
pub(crate) struct Paced {
    stream: TcpStream,
    busy: Busy,
    head_time: Duration,
    head_end: Option<Pin<Box<Sleep>>>,
}

impl Paced {
    /// A connection whose heads must arrive within `head_time` of their first byte.
    pub(crate) const fn new(stream: TcpStream, busy: Busy, head_time: Duration) -> Self {
        Self { stream, busy, head_time, head_end: None }
    }
}

impl AsyncRead for Paced {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(result) => {
                if self.busy.get() {
                    self.head_end = None;
                } else if self.head_end.is_none() && buffer.filled().len() > before {
                    let end = tokio::time::sleep(self.head_time);
                    self.head_end = Some(Box::pin(end));
                }
                Poll::Ready(result)
            }
            Poll::Pending => {
                if self.busy.get() {
                    self.head_end = None;
                }
                let Some(end) = &mut self.head_end else {
                    return Poll::Pending;
                };
                ready!(end.as_mut().poll(context));
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

impl AsyncWrite for Paced {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
