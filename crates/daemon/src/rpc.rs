//! The calls that daemons make to each other, over JSON-RPC.

use jsonrpsee::core::RpcResult;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{Server, ServerHandle};
use serde::{Deserialize, Serialize};
use spindle_types::{Incarnation, Instance, Revision};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The time within which a call to another daemon must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest message between daemons, in bytes.
const MESSAGE_MAX_BYTES: u32 = 16 * 1024 * 1024;

/// What daemons tell each other when they meet.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    /// The instance of the sender.
    pub instance: Instance,
    /// The life of the sender.
    pub incarnation: Incarnation,
    /// The configuration revision in force at the sender.
    pub revision: Revision,
}

/// The calls that a daemon answers.
#[rpc(client, server)]
pub trait Peer {
    /// Exchanges greetings.
    #[method(name = "greet")]
    async fn greet(&self, greeting: Greeting) -> RpcResult<Greeting>;
}

/// Starts to answer calls of other daemons.
///
/// # Errors
///
/// The address can't be bound.
pub async fn start_server<P: PeerServer>(
    listen: SocketAddr,
    peer: P,
) -> io::Result<(SocketAddr, ServerHandle)> {
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(MESSAGE_MAX_BYTES)
        .max_response_body_size(MESSAGE_MAX_BYTES)
        .build();
    let server = Server::builder().set_config(config).build(listen).await?;
    let address = server.local_addr()?;
    Ok((address, server.start(peer.into_rpc())))
}

/// A client of the daemon at an address; it connects with the first call.
///
/// # Errors
///
/// The client can't be built.
pub fn connect(peer: SocketAddr) -> Result<HttpClient, jsonrpsee::core::ClientError> {
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MESSAGE_MAX_BYTES)
        .max_response_size(MESSAGE_MAX_BYTES)
        .build(format!("http://{peer}"))
}
