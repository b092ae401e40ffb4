//! Connection pool: idle connections to upstreams and to other daemons, and the limit on the number
//! of connections to each.

use crate::connection::Connection;
use spindle_policy::upstream_registry::UpstreamKey;
use spindle_types::MonotonicInstant;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use strum::Display;

/// What connections lead to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Endpoint {
    /// An upstream. Its address may be used again by another one later.
    Upstream(UpstreamKey),
    /// Another daemon, at its address for requests that are handed over.
    Daemon(SocketAddr),
}

/// Connections to one endpoint.
#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Connection>,
    open: u32,
    /// The maximum number of open connections at the last lease.
    max: u32,
}

/// Connections to all endpoints. Clones share all state.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool(Arc<Mutex<HashMap<Endpoint, Connections>>>);

/// A connection taken from the pool. Dropping it without [`PooledConnection::release`] closes it at
/// once, which cancels the work of the upstream.
#[derive(Debug)]
pub struct PooledConnection {
    pool: ConnectionPool,
    /// None once the connection has been returned to the pool.
    endpoint: Option<Endpoint>,
    connection: Option<Connection>,
    /// Whether it carried another request before.
    is_kept: bool,
}

/// Why the pool could provide no connection. The names of the variants are written to logs.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PoolError {
    /// This daemon's share of the connections to the endpoint is in use.
    ConnectionsFull,
    /// The connection was not made in time.
    ConnectTimedOut,
    /// The connection was refused or failed otherwise.
    ConnectFailed,
}

impl ConnectionPool {
    /// Takes an idle connection to an endpoint, or opens a new one if fewer than `connections_max`
    /// are open.
    ///
    /// # Errors
    ///
    /// See [`PoolError`].
    pub async fn lease(
        &self,
        now: MonotonicInstant,
        endpoint: Endpoint,
        address: SocketAddr,
        connections_max: u32,
    ) -> Result<PooledConnection, PoolError> {
        if let Some(connection) = self.take_idle(now, endpoint, connections_max) {
            return Ok(PooledConnection {
                pool: self.clone(),
                endpoint: Some(endpoint),
                connection: Some(connection),
                is_kept: true,
            });
        }
        // Counts as open while connecting; dropping it frees the place again, whether the connect
        // fails or is cancelled.
        let mut pooled =
            self.reserve(endpoint, connections_max).ok_or(PoolError::ConnectionsFull)?;
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

    /// Closes the idle connections to an endpoint, and forgets the endpoint if none is in use.
    pub fn close(&self, endpoint: Endpoint) {
        let closed = {
            let mut endpoints = self.endpoints();
            let Some(connections) = endpoints.get_mut(&endpoint) else { return };
            let idle = std::mem::take(&mut connections.idle);
            connections.open -= u32::try_from(idle.len()).unwrap_or(connections.open);
            if connections.open == 0 {
                endpoints.remove(&endpoint);
            }
            idle
        };
        drop(closed);
    }

    /// Number of open connections, idle or in use.
    pub fn open(&self) -> u32 {
        self.endpoints().values().map(|connections| connections.open).sum()
    }

    /// Takes an idle connection, and closes those beyond the limit, which may have been lowered.
    fn take_idle(
        &self,
        now: MonotonicInstant,
        endpoint: Endpoint,
        connections_max: u32,
    ) -> Option<Connection> {
        let mut endpoints = self.endpoints();
        let connections = endpoints.get_mut(&endpoint)?;
        connections.max = connections_max;
        let excess = connections.open.saturating_sub(connections_max);
        let closed = connections.idle.len().min(usize::try_from(excess).unwrap_or(usize::MAX));
        connections.idle.drain(..closed);
        connections.open -= u32::try_from(closed).unwrap_or(connections.open);
        while let Some(connection) = connections.idle.pop() {
            if connection.usable(now) {
                return Some(connection);
            }
            connections.open -= 1;
        }
        None
    }

    fn reserve(&self, endpoint: Endpoint, connections_max: u32) -> Option<PooledConnection> {
        let mut endpoints = self.endpoints();
        let connections = endpoints.entry(endpoint).or_default();
        if connections.open >= connections_max {
            return None;
        }
        connections.open += 1;
        connections.max = connections_max;
        Some(PooledConnection {
            pool: self.clone(),
            endpoint: Some(endpoint),
            connection: None,
            is_kept: false,
        })
    }

    fn endpoints(&self) -> MutexGuard<'_, HashMap<Endpoint, Connections>> {
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

    /// Whether the connection carried another request before.
    pub(crate) const fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Number of all bytes that have arrived on the connection.
    pub fn received_bytes(&self) -> usize {
        self.connection.as_ref().map_or(0, Connection::received_bytes)
    }

    /// Returns the connection to the pool for another request. `idle_timeout` is how long the
    /// upstream keeps it open while it is idle, if it says so.
    pub fn release(mut self, now: MonotonicInstant, idle_timeout: Option<std::time::Duration>) {
        let Some(mut connection) = self.connection.take() else { return };
        // Without the endpoint, `drop` doesn't subtract the connection, which stays open.
        let Some(endpoint) = self.endpoint.take() else { return };
        connection.mark_idle(now, idle_timeout);
        match self.pool.endpoints().get_mut(&endpoint) {
            Some(connections) if connections.open > connections.max => connections.open -= 1,
            Some(connections) => connections.idle.push(connection),
            None => log::debug!("event=connection_dropped reason=endpoint_forgotten"),
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let Some(endpoint) = self.endpoint else { return };
        let mut endpoints = self.pool.endpoints();
        if let Some(connections) = endpoints.get_mut(&endpoint) {
            connections.open = connections.open.saturating_sub(1);
            if connections.open == 0 {
                endpoints.remove(&endpoint);
            }
        }
    }
}

#[cfg(test)]
mod tests;
