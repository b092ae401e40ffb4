//! Connection pool: idle connections to upstreams, and the limit on the number of connections to
//! each.

use crate::connection::Connection;
use slotmap::SecondaryMap;
use spindle_policy::upstream_registry::UpstreamKey;
use spindle_types::MonotonicInstant;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use strum::Display;

/// Connections to one upstream.
#[derive(Debug, Default)]
struct UpstreamConnections {
    idle: Vec<Connection>,
    open: u32,
}

/// Connections to all upstreams. Clones share all state.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool(Arc<Mutex<SecondaryMap<UpstreamKey, UpstreamConnections>>>);

/// A connection taken from the pool. Dropping it without [`PooledConnection::release`] closes it at
/// once, which cancels the work of the upstream.
#[derive(Debug)]
pub struct PooledConnection {
    pool: ConnectionPool,
    key: UpstreamKey,
    connection: Option<Connection>,
}

/// Why the pool could provide no connection. The names of the variants are written to logs.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PoolError {
    /// This daemon's share of the connections to the upstream is in use.
    ConnectionsFull,
    /// The connection was not made in time.
    ConnectTimedOut,
    /// The connection was refused or failed otherwise.
    ConnectFailed,
}

impl ConnectionPool {
    /// Takes an idle connection to an upstream, or opens a new one if fewer than `connections_max`
    /// are open.
    ///
    /// # Errors
    ///
    /// See [`PoolError`].
    pub async fn lease(
        &self,
        now: MonotonicInstant,
        key: UpstreamKey,
        address: SocketAddr,
        connections_max: u32,
    ) -> Result<PooledConnection, PoolError> {
        if let Some(connection) = self.take_idle(now, key) {
            return Ok(PooledConnection { pool: self.clone(), key, connection: Some(connection) });
        }
        // Counts as open while connecting; dropping it frees the place again, whether the connect
        // fails or is cancelled.
        let mut pooled = self.reserve(key, connections_max).ok_or(PoolError::ConnectionsFull)?;
        match Connection::open(address).await {
            Ok(connection) => {
                pooled.connection = Some(connection);
                Ok(pooled)
            }
            Err(error) => {
                log::debug!("event=connect_failed address={address} error={error:?}");
                Err(match error.kind() {
                    io::ErrorKind::TimedOut => PoolError::ConnectTimedOut,
                    _ => PoolError::ConnectFailed,
                })
            }
        }
    }

    /// Closes the idle connections to an upstream, and forgets the upstream if none is in use.
    pub fn close(&self, key: UpstreamKey) {
        let closed = {
            let mut upstreams = self.upstreams();
            let Some(connections) = upstreams.get_mut(key) else { return };
            let idle = std::mem::take(&mut connections.idle);
            connections.open -= u32::try_from(idle.len()).unwrap_or(connections.open);
            if connections.open == 0 {
                upstreams.remove(key);
            }
            idle
        };
        drop(closed);
    }

    /// Number of open connections, idle or in use.
    pub fn open(&self) -> u32 {
        self.upstreams().values().map(|connections| connections.open).sum()
    }

    fn take_idle(&self, now: MonotonicInstant, key: UpstreamKey) -> Option<Connection> {
        let mut upstreams = self.upstreams();
        let connections = upstreams.get_mut(key)?;
        while let Some(connection) = connections.idle.pop() {
            if connection.usable(now) {
                return Some(connection);
            }
            connections.open -= 1;
        }
        None
    }

    fn reserve(&self, key: UpstreamKey, connections_max: u32) -> Option<PooledConnection> {
        let mut upstreams = self.upstreams();
        let connections = upstreams.entry(key)?.or_default();
        if connections.open >= connections_max {
            return None;
        }
        connections.open += 1;
        Some(PooledConnection { pool: self.clone(), key, connection: None })
    }

    fn upstreams(
        &self,
    ) -> std::sync::MutexGuard<'_, SecondaryMap<UpstreamKey, UpstreamConnections>> {
        // The state behind a poisoned lock is still consistent: no code that holds the lock panics
        // in the middle of a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PooledConnection {
    /// The connection; `None` only while it is being opened.
    pub const fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Number of all bytes that have arrived on the connection.
    pub fn received_bytes(&self) -> usize {
        self.connection.as_ref().map_or(0, Connection::received_bytes)
    }

    /// Returns the connection to the pool for another request. `idle_timeout` is how long the
    /// upstream keeps it open while it is idle, if it says so.
    pub fn release(mut self, now: MonotonicInstant, idle_timeout: Option<std::time::Duration>) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.mark_idle(now, idle_timeout);
        let mut upstreams = self.pool.upstreams();
        match upstreams.get_mut(self.key) {
            Some(connections) => connections.idle.push(connection),
            None => log::debug!("event=connection_dropped reason=upstream_forgotten"),
        }
        drop(upstreams);
        // The connection still counts as open, so `drop` must not subtract it: the default key
        // matches no upstream.
        self.key = UpstreamKey::default();
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut upstreams = self.pool.upstreams();
        if let Some(connections) = upstreams.get_mut(self.key) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}
