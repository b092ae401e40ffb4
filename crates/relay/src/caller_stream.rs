//! A caller's connection with timeouts for idle times and for request heads, each of which must be
//! complete within some time after its first byte. Both follow the limits in force. It also sets how
//! long what is sent may stay unacknowledged, by how much of a response has been sent.

use crate::config::Limits;
use crate::metrics::METRICS;
use crate::unacknowledged::UnacknowledgedLimit;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use spindle_http::{Body, ResettableStream};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep};

/// The limits in force on the callers of a server, which open connections follow.
#[derive(Clone, Debug)]
pub struct CurrentLimits {
    limits: watch::Receiver<Limits>,
    head_factor: usize,
}

impl CurrentLimits {
    /// The limits as `limits` publishes them.
    pub const fn new(limits: watch::Receiver<Limits>) -> Self {
        Self { limits, head_factor: 1 }
    }

    /// The same with request heads of `head_factor` times the size.
    #[must_use]
    pub fn with_head_factor(self, head_factor: usize) -> Self {
        Self { head_factor, ..self }
    }

    pub(crate) fn get(&self) -> Limits {
        let limits = *self.limits.borrow();
        Limits { head_bytes_max: limits.head_bytes_max.saturating_mul(self.head_factor), ..limits }
    }

    /// Waits until the limits change; forever if they can't any more.
    pub(crate) async fn changed(&mut self) {
        if self.limits.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Whether a request is being served on the connection, and how many heads have been complete so far;
/// shared between the stream and the handler.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestInProgress(Arc<Progress>);

#[derive(Debug, Default)]
struct Progress {
    in_progress: AtomicBool,
    heads: AtomicU64,
}

/// A request whose head is complete and whose response has not been sent yet.
#[derive(Debug)]
pub(crate) struct ServedRequest(Arc<Progress>);

impl RequestInProgress {
    /// Records that a request head is complete.
    pub(crate) fn begin(&self) -> ServedRequest {
        self.0.in_progress.store(true, Ordering::Relaxed);
        self.0.heads.fetch_add(1, Ordering::Relaxed);
        ServedRequest(Arc::clone(&self.0))
    }

    fn get(&self) -> bool {
        self.0.in_progress.load(Ordering::Relaxed)
    }

    fn heads(&self) -> u64 {
        self.0.heads.load(Ordering::Relaxed)
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.0.in_progress.store(false, Ordering::Relaxed);
    }
}

/// The body of a response. The request counts as served until it is dropped.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    body: Body,
    _request: ServedRequest,
}

impl ResponseBody {
    pub(crate) const fn new(body: Body, request: ServedRequest) -> Self {
        Self { body, _request: request }
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What a connection waits for while no request is being served on it.
#[derive(Clone, Copy, Debug)]
enum Awaited {
    /// The rest of a request head, whose first byte arrived at the time.
    Head(Instant),
    /// The next request, since the time.
    Request(Instant),
}

/// A TCP stream that ends if it is idle for too long, and whose reads fail with
/// [`io::ErrorKind::TimedOut`] if a request head takes too long.
pub(crate) struct CallerStream {
    stream: ResettableStream,
    in_progress: RequestInProgress,
    limits: CurrentLimits,
    /// None while a request is being served.
    awaited: Option<Awaited>,
    /// Wakes the task when the time for what is awaited may be over.
    timer: Pin<Box<Sleep>>,
    /// Number of heads that were complete at the last read.
    heads: u64,
    unacknowledged: UnacknowledgedLimit,
}

impl CallerStream {
    /// Wraps a connection.
    pub(crate) fn new(
        stream: ResettableStream,
        in_progress: RequestInProgress,
        limits: CurrentLimits,
    ) -> Self {
        Self {
            stream,
            in_progress,
            limits,
            awaited: None,
            timer: Box::pin(tokio::time::sleep(Duration::ZERO)),
            heads: 0,
            unacknowledged: UnacknowledgedLimit::default(),
        }
    }

    fn on_written(&mut self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.unacknowledged.on_sent(self.stream.socket(), *bytes);
        }
        result
    }

    fn on_bytes(&mut self) {
        if !self.in_progress.get() && !matches!(self.awaited, Some(Awaited::Head(_))) {
            self.awaited = Some(Awaited::Head(Instant::now()));
            self.unacknowledged.on_request(self.stream.socket());
        }
    }

    /// Waits until the time for what is awaited is over. An idle connection ends then.
    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let awaited = *self.awaited.get_or_insert_with(|| Awaited::Request(Instant::now()));
        let limits = self.limits.get();
        let deadline = match awaited {
            Awaited::Head(since) => since + limits.head_timeout,
            Awaited::Request(since) => since + limits.idle_timeout,
        };
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        ready!(self.timer.as_mut().poll(context));
        Poll::Ready(match awaited {
            Awaited::Head(_) => Err(io::ErrorKind::TimedOut.into()),
            Awaited::Request(_) => {
                METRICS.idle_connections_closed.add(1, &[]);
                Ok(())
            }
        })
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A response may have been ready at once, so that no read saw the request in progress.
        let heads = self.in_progress.heads();
        if std::mem::replace(&mut self.heads, heads) != heads || self.in_progress.get() {
            self.awaited = None;
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if result.is_ready() {
            if buffer.filled().len() > before {
                self.on_bytes();
            }
            return result;
        }
        if self.in_progress.get() {
            return Poll::Pending;
        }
        self.poll_timeout(context)
    }
}

impl AsyncWrite for CallerStream {
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
