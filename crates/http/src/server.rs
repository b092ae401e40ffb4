//! An HTTP server that drains on shutdown: it accepts no new connections and finishes the requests
//! in progress.

use crate::body::Body;
use crate::resettable::{ResetOnFailure, ResettableStream};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handler of the requests to a server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request; `peer` is the address of the client.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Starts the drain of all servers that hold its [`Drain`] signal.
#[derive(Clone, Debug)]
pub struct DrainTrigger(Arc<watch::Sender<bool>>);

/// Signal that tells a server when to drain.
#[derive(Clone, Debug)]
pub struct Drain(watch::Receiver<bool>);

impl DrainTrigger {
    /// Creates a trigger whose drain has not started.
    pub fn new() -> Self {
        Self(Arc::new(watch::Sender::new(false)))
    }

    /// Starts the drain. Later calls have no effect.
    pub fn start(&self) {
        self.0.send_replace(true);
    }

    /// Creates a signal that follows this trigger.
    pub fn signal(&self) -> Drain {
        Drain(self.0.subscribe())
    }
}

impl Default for DrainTrigger {
    fn default() -> Self {
        Self::new()
    }
}

impl Drain {
    /// Whether the drain has started.
    pub fn started(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the drain starts. Also returns if the trigger is dropped.
    pub async fn wait(&mut self) {
        // An error means that the trigger has been dropped.
        let _ = self.0.wait_for(|started| *started).await;
    }
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones wait in the listen queue.
    pub connections: usize,
    /// Timeout for the headers of a request to arrive.
    pub header_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self { connections: 4_096, header_timeout: Duration::from_secs(10) }
    }
}

/// Binds a listener and returns it with its actual address; port 0 selects any free port.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Serves connections until `drain` starts, then finishes the requests in progress. Dropping the
/// future closes all connections at once.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: ServerLimits,
    mut drain: Drain,
) {
    let slots = Arc::new(Semaphore::new(limits.connections));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = drain.wait() => break,
            Some(_) = connections.join_next() => continue,
            accepted = accept(&listener, &slots) => accepted,
        };
        let Some((stream, peer, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (handler, drain) = (handler.clone(), drain.clone());
        connections.spawn(async move {
            serve_connection(stream, peer, handler, limits, drain).await;
            drop(slot);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => Some((stream, peer, slot)),
        Err(error) => {
            log::warn!("event=accept_failed error={error:?}");
            None
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: H,
    limits: ServerLimits,
    mut drain: Drain,
) {
    // Disables Nagle's algorithm, so that small frames don't wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(limits.header_timeout);
    builder.http2().timer(TokioTimer::new());
    let reset = ResetOnFailure::default();
    let stream = ResettableStream::new(stream, reset.clone());
    let requests = reset.clone();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        requests.on_request(&request);
        async move { Ok::<_, Infallible>(handler.handle(request, peer).await) }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = drain.wait() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=connection_failed peer={peer} error={error:?}");
        reset.on_failure();
    }
}

#[cfg(test)]
mod tests;
