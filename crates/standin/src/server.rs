//! A stand-in's listener, which can be killed at once.

use spindle_http::{DrainTrigger, Handler, ServerLimits, bind, serve};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::task::JoinHandle;

/// A running listener; dropping it closes all connections at once.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    task: JoinHandle<()>,
    _drain: DrainTrigger,
}

impl StandinServer {
    /// Starts a listener on a free loopback port.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn start<H: Handler>(handler: H) -> io::Result<Self> {
        Self::start_at(handler, SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
    }

    /// Starts a listener at an address.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start_at<H: Handler>(handler: H, address: SocketAddr) -> io::Result<Self> {
        let (listener, address) = bind(address).await?;
        let drain = DrainTrigger::new();
        let serving = serve(listener, handler, ServerLimits::default(), drain.signal());
        Ok(Self { address, task: tokio::spawn(serving), _drain: drain })
    }

    /// The address bound.
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

/// The value of a parameter of a query string.
pub fn query<'a>(request: &'a http::Uri, name: &str) -> Option<&'a str> {
    let pairs = request.query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}

/// The value of a numeric parameter of a query string.
pub fn query_number(request: &http::Uri, name: &str) -> Option<u64> {
    query(request, name)?.parse().ok()
}
