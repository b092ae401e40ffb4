//! Unused connections to upstreams, and the bound on all connections to each of them.

use crate::connection::Connection;
use slotmap::SecondaryMap;
use spindle_policy::upstream_registry::UpstreamKey;
use spindle_types::MonotonicInstant;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// The connections to one upstream.
#[derive(Debug, Default)]
struct Slot {
    idle: Vec<Connection>,
    open: u32,
}

/// The connections to all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Pool(Arc<Mutex<SecondaryMap<UpstreamKey, Slot>>>);

/// The right to a connection; dropping it without [`Leased::keep`] closes the connection at once,
/// which cancels whatever its upstream still does.
#[derive(Debug)]
pub struct Leased {
    pool: Pool,
    key: UpstreamKey,
    connection: Option<Connection>,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolError {
    /// The daemon's share of the upstream's connections is used up.
    Full,
    /// The upstream can't be connected to.
    Unreachable,
}

impl Pool {
    /// A connection to an upstream, a used one if there is one, of at most `most`.
    ///
    /// # Errors
    ///
    /// See [`PoolError`].
    pub async fn lease(
        &self,
        now: MonotonicInstant,
        key: UpstreamKey,
        address: SocketAddr,
        most: u32,
    ) -> Result<Leased, PoolError> {
        if let Some(connection) = self.take_idle(now, key) {
            return Ok(Leased { pool: self.clone(), key, connection: Some(connection) });
        }
        // Holds the place while connecting, and gives it back on every way out.
        let mut leased = self.reserve(key, most).ok_or(PoolError::Full)?;
        match Connection::open(address).await {
            Ok(connection) => {
                leased.connection = Some(connection);
                Ok(leased)
            }
            Err(error) => {
                log::debug!("event=connect_failed address={address} error={error:?}");
                Err(PoolError::Unreachable)
            }
        }
    }

    /// Closes the unused connections to an upstream, and forgets it once none is in use.
    pub fn close(&self, key: UpstreamKey) {
        let closed = {
            let mut slots = self.slots();
            let Some(slot) = slots.get_mut(key) else { return };
            let idle = std::mem::take(&mut slot.idle);
            slot.open -= u32::try_from(idle.len()).unwrap_or(slot.open);
            if slot.open == 0 {
                slots.remove(key);
            }
            idle
        };
        drop(closed);
    }

    /// Connections open, in use or not.
    pub fn open(&self) -> u32 {
        self.slots().values().map(|slot| slot.open).sum()
    }

    fn take_idle(&self, now: MonotonicInstant, key: UpstreamKey) -> Option<Connection> {
        let mut slots = self.slots();
        let slot = slots.get_mut(key)?;
        while let Some(connection) = slot.idle.pop() {
            if connection.usable(now) {
                return Some(connection);
            }
            slot.open -= 1;
        }
        None
    }

    fn reserve(&self, key: UpstreamKey, most: u32) -> Option<Leased> {
        let mut slots = self.slots();
        let slot = slots.entry(key)?.or_default();
        if slot.open >= most {
            return None;
        }
        slot.open += 1;
        Some(Leased { pool: self.clone(), key, connection: None })
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, SecondaryMap<UpstreamKey, Slot>> {
        // No code that holds the lock panics halfway through a change.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Leased {
    /// The connection.
    pub const fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Keeps the connection for another request.
    pub fn keep(mut self, now: MonotonicInstant, keep: Option<std::time::Duration>) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.rest(now, keep);
        let mut slots = self.pool.slots();
        match slots.get_mut(self.key) {
            Some(slot) => slot.idle.push(connection),
            None => log::debug!("event=connection_dropped reason=upstream_forgotten"),
        }
        drop(slots);
        // The place goes with the connection.
        self.key = UpstreamKey::default();
    }
}

impl Drop for Leased {
    fn drop(&mut self) {
        let mut slots = self.pool.slots();
        if let Some(slot) = slots.get_mut(self.key) {
            slot.open = slot.open.saturating_sub(1);
        }
    }
}
