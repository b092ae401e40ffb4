//! The JSON-RPC transport between daemons.

use jsonrpsee::Methods;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The time within which a call to another daemon must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest message between daemons, in bytes.
const MESSAGE_MAX_BYTES: u32 = 32 * 1024 * 1024;

/// The most connections of other daemons.
const CONNECTIONS_MAX: u32 = 2_048;

/// A client of one other daemon, on which the client trait of each concern can be called.
pub type PeerConnection = HttpClient;

/// A connection to one other daemon that stays open between calls.
pub type KeptConnection = WsClient;

/// A server that has its address and does not answer yet.
#[derive(Debug)]
pub struct BoundServer {
    server: Server,
    address: SocketAddr,
}

impl BoundServer {
    /// The address bound.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to answer calls of other daemons.
    pub fn start(self, methods: impl Into<Methods>) -> ServerHandle {
        self.server.start(methods)
    }
}

/// Binds the address on which calls of other daemons are to be answered.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind_server(listen: SocketAddr) -> io::Result<BoundServer> {
    let config = ServerConfig::builder()
        .max_request_body_size(MESSAGE_MAX_BYTES)
        .max_response_body_size(MESSAGE_MAX_BYTES)
        .max_connections(CONNECTIONS_MAX)
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder().set_config(config).build(listen).await?;
    let address = server.local_addr()?;
    Ok(BoundServer { server, address })
}

/// Starts to answer calls of other daemons.
///
/// # Errors
///
/// The address can't be bound.
pub async fn start_server(
    listen: SocketAddr,
    methods: impl Into<Methods>,
) -> io::Result<(SocketAddr, ServerHandle)> {
    let server = bind_server(listen).await?;
    Ok((server.address(), server.start(methods)))
}

/// A client of the daemon at an address; it connects with the first call.
///
/// # Errors
///
/// The client can't be built.
pub fn connect(peer: SocketAddr) -> Result<PeerConnection, ClientError> {
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MESSAGE_MAX_BYTES)
        .max_response_size(MESSAGE_MAX_BYTES)
        .build(format!("http://{peer}"))
}

/// Opens a connection that is kept.
///
/// # Errors
///
/// The daemon does not answer at the address.
pub async fn open(peer: SocketAddr) -> Result<KeptConnection, ClientError> {
    WsClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .connection_timeout(CALL_TIMEOUT)
        .max_request_size(MESSAGE_MAX_BYTES)
        .max_response_size(MESSAGE_MAX_BYTES)
        .build(format!("ws://{peer}"))
        .await
}
