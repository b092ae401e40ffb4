//! One HTTP/1 connection to an upstream, which carries one request at a time.

use crate::response_stream::{ReceivedBytes, ResponseStream};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use spindle_types::MonotonicInstant;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Timeout for connecting to an upstream. A quarter of the time that callers wait for their own
/// connection; data centres of a region are a few milliseconds apart.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time that a test connection to an upstream is awaited. A few round
/// trips between data centres.
const LISTENING_TIMEOUT: Duration = Duration::from_millis(100);

/// Time within which the listening socket of a killed process is closed after its connections.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(10);

/// When the peer of a connection counts as dead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerTimeouts {
    /// How long sent data may stay unacknowledged (`TCP_USER_TIMEOUT`). Linux also applies it to
    /// keepalive probes, in place of their number.
    pub(crate) unacknowledged_max: Duration,
    /// Time without traffic after which the first keepalive probe is sent.
    probe_after: Duration,
    /// Interval between keepalive probes.
    probe_interval: Duration,
    /// Number of unanswered probes after which the connection is dropped, where the time above does
    /// not apply.
    probes_max: u32,
}

/// The timeouts of connections to upstreams, to other daemons and of callers.
pub(crate) const PEER_TIMEOUTS: PeerTimeouts = PeerTimeouts {
    unacknowledged_max: Duration::from_millis(2_500),
    probe_after: Duration::from_secs(1),
    probe_interval: Duration::from_secs(1),
    probes_max: 2,
};

/// How long an idle connection is kept if the upstream states no timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);

/// How much earlier than the upstream's own timeout an idle connection is given up, so that no
/// request is sent while the upstream closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Size of the buffer for a response head, in bytes.
const HEAD_BUFFER_BYTES: usize = 65_536;

/// Maximum number of headers of a response.
const HEADERS_MAX: usize = 128;

/// Sets the socket options by which a dead peer is detected within a few seconds, and disables
/// Nagle's algorithm.
///
/// # Errors
///
/// The operating system rejects an option.
pub fn set_dead_peer_timeouts(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(PEER_TIMEOUTS.unacknowledged_max))?;
    let probes = TcpKeepalive::new()
        .with_time(PEER_TIMEOUTS.probe_after)
        .with_interval(PEER_TIMEOUTS.probe_interval)
        .with_retries(PEER_TIMEOUTS.probes_max);
    socket.set_tcp_keepalive(&probes)
}

/// Why no response head arrived.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was written.
    Unsent,
    /// The request was written, at least in part.
    Lost(hyper::Error),
}

/// Whether nothing listens at an address. One that doesn't answer may be cut off.
pub async fn is_refused(address: SocketAddr) -> bool {
    match tokio::time::timeout(LISTENING_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Whether the process that has closed a connection in order has ended: nothing listens at its address.
/// Linux closes the connections of a process that was killed first, and its listening socket some
/// milliseconds later.
pub(crate) async fn has_ended(address: SocketAddr) -> bool {
    if is_refused(address).await {
        return true;
    }
    tokio::time::sleep(LISTENER_CLOSE_TIME).await;
    is_refused(address).await
}

/// A connection. Dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    received: ReceivedBytes,
    /// When the last request ended; zero for a new connection.
    idle_since: MonotonicInstant,
    /// How long the connection may stay idle before it is no longer used.
    idle_timeout: Duration,
}

impl Connection {
    /// Connects to an upstream.
    ///
    /// # Errors
    ///
    /// The connection fails or is not made within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.map_err(timed_out)??;
        set_dead_peer_timeouts(&stream)?;
        let received = ReceivedBytes::default();
        let stream = ResponseStream::new(stream, received.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_BUFFER_BYTES).max_headers(HEADERS_MAX);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=upstream_connection_ended address={address} error={error:?}");
            }
        });
        let task = task.abort_handle();
        Ok(Self {
            sender,
            task,
            received,
            idle_since: MonotonicInstant::default(),
            idle_timeout: IDLE_TIMEOUT_DEFAULT,
        })
    }

    /// Whether the connection is open, free, and not idle for too long.
    pub fn usable(&self, now: MonotonicInstant) -> bool {
        !self.sender.is_closed()
            && self.sender.is_ready()
            && now.since(self.idle_since) < self.idle_timeout
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// [`SendError::Unsent`] only if no byte was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        // A new connection is not ready until its task has run once.
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        self.received.start_head();
        let result = self.sender.try_send_request(request).await;
        result.inspect(|_| self.received.finish_head()).map_err(|mut error| {
            match error.take_message() {
                Some(_) => SendError::Unsent,
                None => SendError::Lost(error.into_error()),
            }
        })
    }

    /// Number of bytes that have arrived of a response head that is not complete.
    pub fn partial_head_bytes(&self) -> usize {
        self.received.partial_head()
    }

    /// Number of all bytes that have arrived on the connection.
    pub fn received_bytes(&self) -> usize {
        self.received.total()
    }

    /// Records that the connection has become idle. `idle_timeout` is how long the upstream keeps
    /// it open, if it says so.
    pub fn mark_idle(&mut self, now: MonotonicInstant, idle_timeout: Option<Duration>) {
        self.idle_since = now;
        if let Some(idle_timeout) = idle_timeout {
            self.idle_timeout = idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[cfg(test)]
mod tests;
