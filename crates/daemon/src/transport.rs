//! JSON-RPC transport between daemons, over TLS if a key is configured.

use crate::tls::Tls;
use jsonrpsee::Methods;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::server::{
    Server, ServerConfig, ServerHandle, StopHandle, TowerService, serve_with_graceful_shutdown,
    stop_channel,
};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_rustls::TlsAcceptor;
use tower::layer::util::Identity;

/// Timeout of a call to another daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a message between daemons, in bytes.
const MESSAGE_MAX_BYTES: u32 = 32 * 1024 * 1024;

/// Maximum number of concurrent connections from other daemons.
const CONNECTIONS_MAX: u32 = 2_048;

/// Delay after a failed accept, so that the loop does not spin when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A client of another daemon, which implements the client trait of each concern.
pub type PeerConnection = HttpClient;

/// A WebSocket connection to another daemon that stays open between calls.
pub type PersistentConnection = WsClient;

/// A server that is bound to its address but does not accept connections yet.
#[derive(Debug)]
pub struct BoundServer {
    listener: TcpListener,
    address: SocketAddr,
    tls: Option<Tls>,
}

impl BoundServer {
    /// The address that the server is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts answering calls of other daemons.
    ///
    /// # Errors
    ///
    /// The listener can't be handed over to the RPC server.
    pub fn start(self, methods: impl Into<Methods>) -> io::Result<ServerHandle> {
        let methods = methods.into();
        let server = Server::builder().set_config(config());
        let Some(tls) = self.tls else {
            return Ok(server.build_from_tcp(self.listener.into_std()?)?.start(methods));
        };
        let (stop, handle) = stop_channel();
        let builder = server.to_service_builder();
        let service = move |stop| builder.clone().build(methods.clone(), stop);
        tokio::spawn(accept_all(self.listener, tls, service, stop));
        Ok(handle)
    }
}

fn config() -> ServerConfig {
    ServerConfig::builder()
        .max_request_body_size(MESSAGE_MAX_BYTES)
        .max_response_body_size(MESSAGE_MAX_BYTES)
        .max_connections(CONNECTIONS_MAX)
        .set_tcp_no_delay(true)
        .build()
}

type Service = TowerService<Identity, Identity>;

async fn accept_all(
    listener: TcpListener,
    tls: Tls,
    service: impl Fn(StopHandle) -> Service,
    stop: StopHandle,
) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX as usize));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.clone().shutdown() => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (acceptor, service) = (TlsAcceptor::from(tls.server()), service(stop.clone()));
        let stop = stop.clone();
        tokio::spawn(async move {
            if let Err(error) = serve(stream, acceptor, service, stop).await {
                log::warn!("event=peer_refused peer={peer} error={error:?}");
            }
            drop(slot);
        });
    }
}

async fn serve(
    stream: TcpStream,
    acceptor: TlsAcceptor,
    service: Service,
    stop: StopHandle,
) -> Result<(), String> {
    // Disables Nagle's algorithm: small messages must not wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
    let stream = handshake
        .map_err(|_| "TLS handshake timed out".to_owned())?
        .map_err(|error| error.to_string())?;
    let served = serve_with_graceful_shutdown(stream, service, stop.shutdown()).await;
    served.map_err(|error| error.to_string())
}

/// Binds the address for calls of other daemons.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind_server(listen: SocketAddr, tls: Option<Tls>) -> io::Result<BoundServer> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    Ok(BoundServer { listener, address, tls })
}

/// Opens connections to other daemons, over TLS if it has a key.
#[derive(Clone, Debug, Default)]
pub struct Dialer {
    tls: Option<Tls>,
}

impl Dialer {
    /// Creates a dialer, with TLS if `tls` is given.
    pub const fn new(tls: Option<Tls>) -> Self {
        Self { tls }
    }

    /// Creates a client of the daemon at an address. It connects on the first call; each call times
    /// out after `timeout`.
    ///
    /// # Errors
    ///
    /// The client can't be built.
    pub fn connect(
        &self,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<PeerConnection, ClientError> {
        let mut builder = HttpClientBuilder::default()
            .request_timeout(timeout)
            .max_request_size(MESSAGE_MAX_BYTES)
            .max_response_size(MESSAGE_MAX_BYTES);
        if let Some(tls) = &self.tls {
            builder = builder.with_custom_cert_store(tls.client());
        }
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        builder.build(format!("{scheme}://{peer}"))
    }

    /// Opens a connection that stays open between calls.
    ///
    /// # Errors
    ///
    /// The daemon does not answer at the address, or one side's certificate is not valid.
    pub async fn open(&self, peer: SocketAddr) -> Result<PersistentConnection, ClientError> {
        let mut builder = WsClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .connection_timeout(CALL_TIMEOUT)
            .max_request_size(MESSAGE_MAX_BYTES)
            .max_response_size(MESSAGE_MAX_BYTES);
        if let Some(tls) = &self.tls {
            builder = builder.with_custom_cert_store(tls.client());
        }
        let scheme = if self.tls.is_some() { "wss" } else { "ws" };
        builder.build(format!("{scheme}://{peer}")).await
    }
}

/// Creates a client without TLS of the daemon at an address. It connects on the first call.
///
/// # Errors
///
/// The client can't be built.
pub fn connect(peer: SocketAddr) -> Result<PeerConnection, ClientError> {
    Dialer::default().connect(peer, CALL_TIMEOUT)
}
