//! The JSON-RPC transport between daemons.

use jsonrpsee::Methods;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The time within which a call to another daemon must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest message between daemons, in bytes.
const MESSAGE_MAX_BYTES: u32 = 32 * 1024 * 1024;

/// A client of one other daemon, on which the client trait of each concern can be called.
pub type PeerConnection = HttpClient;

/// Starts to answer calls of other daemons.
///
/// # Errors
///
/// The address can't be bound.
pub async fn start_server(
    listen: SocketAddr,
    methods: impl Into<Methods>,
) -> io::Result<(SocketAddr, ServerHandle)> {
    let config = ServerConfig::builder()
        .max_request_body_size(MESSAGE_MAX_BYTES)
        .max_response_body_size(MESSAGE_MAX_BYTES)
        .build();
    let server = Server::builder().set_config(config).build(listen).await?;
    let address = server.local_addr()?;
    Ok((address, server.start(methods)))
}

/// A client of the daemon at an address; it connects with the first call.
///
/// # Errors
///
/// The client can't be built.
pub fn connect(peer: SocketAddr) -> Result<PeerConnection, jsonrpsee::core::ClientError> {
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MESSAGE_MAX_BYTES)
        .max_response_size(MESSAGE_MAX_BYTES)
        .build(format!("http://{peer}"))
}
