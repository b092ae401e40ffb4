//! The HTTP server of a stand-in, which can be killed without draining.

use spindle_http::{DrainTrigger, Handler, ServerLimits, bind, serve};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::task::JoinHandle;

/// A running HTTP server. Dropping it closes all connections at once.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    task: JoinHandle<()>,
    _drain: DrainTrigger,
}

impl StandinServer {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start<H: Handler>(handler: H) -> io::Result<Self> {
        Self::start_at(handler, SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
    }

    /// Starts a server at an address.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start_at<H: Handler>(handler: H, address: SocketAddr) -> io::Result<Self> {
        let (listener, address) = bind(address).await?;
        let drain = DrainTrigger::new();
        let server = serve(listener, handler, ServerLimits::default(), drain.signal());
        Ok(Self { address, task: tokio::spawn(server), _drain: drain })
    }

    /// The address that the server is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the value of a query parameter, without percent-decoding it.
pub fn query<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the value of a numeric query parameter.
pub fn query_number(uri: &http::Uri, name: &str) -> Option<u64> {
    query(uri, name)?.parse().ok()
}
