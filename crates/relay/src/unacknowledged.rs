//! How long data sent to a caller may stay unacknowledged before its connection is dropped.
//!
//! Linux also counts the time in which the receiver's window is closed (`TCP_USER_TIMEOUT`), so with
//! the short limit a caller that pauses its reading counts as gone. A window can only be closed after
//! more has been sent than a receiver buffers; from there on the long limit applies.

use crate::connection::PEER_TIMEOUTS;
use socket2::SockRef;
use std::time::Duration;

/// Bytes of a response from which on the receiver's window may be closed; less than callers buffer.
const BUFFERED_MIN_BYTES: usize = 16_384;

/// The limit from there on. Equals the longest time of a route in the users' deployments.
const SLOW_READER_MAX: Duration = Duration::from_secs(15);

/// The limit that applies to a connection.
#[derive(Debug, Default)]
pub(crate) struct UnacknowledgedLimit {
    /// Bytes sent since the last request began.
    sent: usize,
}

impl UnacknowledgedLimit {
    /// Records that bytes of a response were sent.
    pub(crate) fn on_sent(&mut self, socket: SockRef<'_>, bytes: usize) {
        let before = self.sent;
        self.sent = self.sent.saturating_add(bytes);
        if before < BUFFERED_MIN_BYTES && self.sent >= BUFFERED_MIN_BYTES {
            set(socket, SLOW_READER_MAX);
        }
    }

    /// Records that the caller has begun another request, so it has read the response before.
    pub(crate) fn on_request(&mut self, socket: SockRef<'_>) {
        if std::mem::take(&mut self.sent) >= BUFFERED_MIN_BYTES {
            set(socket, PEER_TIMEOUTS.unacknowledged_max);
        }
    }
}

fn set(socket: SockRef<'_>, limit: Duration) {
    if let Err(error) = socket.set_tcp_user_timeout(Some(limit)) {
        log::debug!("event=socket_option_failed error={error:?}");
    }
}
