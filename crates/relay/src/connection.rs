//! One connection to an upstream, which carries one request at a time.

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

/// The time within which a connection must be made. A quarter of the time for which callers wait
/// for theirs; data centres of a region are a few milliseconds apart.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time for which sent bytes may stay unacknowledged. Longer than one loss and its repeat.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_500);

/// The time without traffic after which the peer is probed.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The probes without an answer after which the connection is dropped.
const PROBES_MAX: u32 = 2;

/// The time for which an unused connection is kept if the upstream names none.
const KEEP_DEFAULT: Duration = Duration::from_secs(4);

/// How much earlier than the upstream an unused connection is given up, so that no request meets
/// the closing.
const KEEP_MARGIN: Duration = Duration::from_millis(500);

/// Sets the bounds within which a silent peer is noticed.
///
/// # Errors
///
/// The system refuses an option.
pub fn bound_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&probes)
}

/// Why a request got no head of an answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it was written.
    Unsent,
    /// It was written, at least in part.
    Lost(hyper::Error),
}

/// A connection; dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    kept: MonotonicInstant,
    keep: Duration,
}

impl Connection {
    /// Connects to an upstream.
    ///
    /// # Errors
    ///
    /// No connection was made in time.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let late = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.map_err(late)??;
        bound_silence(&stream)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=upstream_connection_ended address={address} error={error:?}");
            }
        });
        let task = task.abort_handle();
        Ok(Self { sender, task, kept: MonotonicInstant::default(), keep: KEEP_DEFAULT })
    }

    /// Whether it can carry a request now.
    pub fn usable(&self, now: MonotonicInstant) -> bool {
        !self.sender.is_closed() && self.sender.is_ready() && now.since(self.kept) < self.keep
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendError::Unsent`] only if nothing was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        // A new connection becomes ready as soon as its task runs.
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(_) => SendError::Unsent,
                None => SendError::Lost(error.into_error()),
            }
        })
    }

    /// Notes that its request is done and for how long the upstream keeps it.
    pub fn rest(&mut self, now: MonotonicInstant, keep: Option<Duration>) {
        self.kept = now;
        if let Some(keep) = keep {
            self.keep = keep.saturating_sub(KEEP_MARGIN);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
