//! The byte stream of a connection to an upstream, with a limit on the size of response heads. It
//! discards what is unsent of a request that is given up.

use socket2::SockRef;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes until the head of a response is complete, informational responses
/// included.
const HEAD_BYTES_MAX: usize = 262_144;

/// What has arrived on a connection; shared between its stream and its user.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedBytes(Arc<State>);

#[derive(Debug, Default)]
struct State {
    total: AtomicUsize,
    /// Whether the head of a response is not complete.
    in_head: AtomicBool,
    /// Bytes of that head.
    head: AtomicUsize,
}

impl ReceivedBytes {
    /// Records that a request is about to be sent.
    pub(crate) fn start_head(&self) {
        self.0.head.store(0, Ordering::Relaxed);
        self.0.in_head.store(true, Ordering::Relaxed);
    }

    /// Records that the head has arrived.
    pub(crate) fn finish_head(&self) {
        self.0.in_head.store(false, Ordering::Relaxed);
    }

    /// Number of bytes that have arrived of a head that is not complete.
    pub(crate) fn partial_head(&self) -> usize {
        if self.in_head() { self.0.head.load(Ordering::Relaxed) } else { 0 }
    }

    /// Whether a request has been started whose response head is not complete.
    fn in_head(&self) -> bool {
        self.0.in_head.load(Ordering::Relaxed)
    }

    /// Number of all bytes that have arrived.
    pub(crate) fn total(&self) -> usize {
        self.0.total.load(Ordering::Relaxed)
    }

    /// Adds bytes that have arrived. Returns whether the head may go on.
    fn add(&self, bytes: usize) -> bool {
        self.0.total.fetch_add(bytes, Ordering::Relaxed);
        if !self.in_head() {
            return true;
        }
        self.0.head.fetch_add(bytes, Ordering::Relaxed) + bytes <= HEAD_BYTES_MAX
    }
}

/// A TCP stream whose reads fail once a response head is too large. The HTTP parser limits the size
/// of one head but not the number of informational responses before it.
#[derive(Debug)]
pub(crate) struct ResponseStream {
    stream: TcpStream,
    received: ReceivedBytes,
}

impl ResponseStream {
    pub(crate) const fn new(stream: TcpStream, received: ReceivedBytes) -> Self {
        Self { stream, received }
    }
}

impl Drop for ResponseStream {
    /// Without a response head, parts of the request may still be unsent. After an orderly close the
    /// kernel would deliver them whenever the link allows it; a reset discards them.
    fn drop(&mut self) {
        if self.received.in_head()
            && let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
        {
            log::warn!("event=reset_failed error={error:?}");
        }
    }
}

impl AsyncRead for ResponseStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let fits = self.received.add(buffer.filled().len() - before);
        let too_large = || io::Error::new(io::ErrorKind::InvalidData, "response head too large");
        Poll::Ready(if fits { Ok(()) } else { Err(too_large()) })
    }
}

impl AsyncWrite for ResponseStream {
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
