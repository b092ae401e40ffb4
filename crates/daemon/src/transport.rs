//! The JSON-RPC transport between daemons, over TLS where keys are given.

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

/// The time within which a call to another daemon must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The time within which a TLS handshake must be done.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest message between daemons, in bytes.
const MESSAGE_MAX_BYTES: u32 = 32 * 1024 * 1024;

/// The most connections of other daemons.
const CONNECTIONS_MAX: u32 = 2_048;

/// The pause after a failed accept, so that exhausted file descriptors don't spin the loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A client of one other daemon, on which the client trait of each concern can be called.
pub type PeerConnection = HttpClient;

/// A connection to one other daemon that stays open between calls.
pub type PersistentConnection = WsClient;

/// A server that has its address and does not answer yet.
#[derive(Debug)]
pub struct BoundServer {
    listener: TcpListener,
    address: SocketAddr,
    tls: Option<Tls>,
}

impl BoundServer {
    /// The address bound.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to answer calls of other daemons.
    ///
    /// # Errors
    ///
    /// The listener can't be handed over.
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
    // Small messages must not wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
    let stream = handshake
        .map_err(|_| "no handshake in time".to_owned())?
        .map_err(|error| error.to_string())?;
    let served = serve_with_graceful_shutdown(stream, service, stop.shutdown()).await;
    served.map_err(|error| error.to_string())
}

/// Binds the address on which calls of other daemons are to be answered.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind_server(listen: SocketAddr, tls: Option<Tls>) -> io::Result<BoundServer> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    Ok(BoundServer { listener, address, tls })
}

/// Opens connections to other daemons, over TLS if it has keys.
#[derive(Clone, Debug, Default)]
pub struct Dialer {
    tls: Option<Tls>,
}

impl Dialer {
    /// A dialer with or without keys.
    pub const fn new(tls: Option<Tls>) -> Self {
        Self { tls }
    }

    /// A client of the daemon at an address, whose calls must be answered within `timeout`; it
    /// connects with the first call.
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

    /// Opens a connection that is kept.
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

/// A client without TLS of the daemon at an address; it connects with the first call.
///
/// # Errors
///
/// The client can't be built.
pub fn connect(peer: SocketAddr) -> Result<PeerConnection, ClientError> {
    Dialer::default().connect(peer, CALL_TIMEOUT)
}
