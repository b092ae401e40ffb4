//! A server's connection that is reset instead of closed in order when it fails, where that is the
//! only way to tell the peer that the last response is not complete.

use http::{Request, Version};
use socket2::SockRef;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a connection is to be reset when it is dropped; shared between the stream and its server.
#[derive(Clone, Debug, Default)]
pub struct ResetOnFailure(Arc<State>);

#[derive(Debug, Default)]
struct State {
    ends_responses: AtomicBool,
    failed: AtomicBool,
}

impl ResetOnFailure {
    /// Records a request. The response to HTTP/1.0 has no chunks, so it may end with its connection.
    pub fn on_request<B>(&self, request: &Request<B>) {
        self.0.ends_responses.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
    }

    /// Records that the connection has failed.
    pub fn on_failure(&self) {
        self.0.failed.store(true, Ordering::Relaxed);
    }

    fn applies(&self) -> bool {
        self.0.ends_responses.load(Ordering::Relaxed) && self.0.failed.load(Ordering::Relaxed)
    }
}

/// A TCP stream that is reset when it is dropped after a failure.
#[derive(Debug)]
pub struct ResettableStream {
    stream: TcpStream,
    reset: ResetOnFailure,
}

impl ResettableStream {
    /// Wraps a connection.
    pub const fn new(stream: TcpStream, reset: ResetOnFailure) -> Self {
        Self { stream, reset }
    }

    /// The socket, for setting its options.
    pub fn socket(&self) -> SockRef<'_> {
        SockRef::from(&self.stream)
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.reset.applies()
            && let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
        {
            log::warn!("event=reset_failed error={error:?}");
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ResettableStream {
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
