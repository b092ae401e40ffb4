//! Connections between daemons over TLS: who is let in, and keys that change without a restart.

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::ServerHandle;
use spindle_daemon::{
    ConfigurationSourceClient, ConfigurationSourceServer, Dialer, Tls, TlsError, bind_server,
};
use spindle_policy::config_state::ConfigState;
use spindle_policy::config_update::ConfigUpdate;
use spindle_standin::authority::AuthorityStandin;
use spindle_types::Revision;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(5);

struct Source;

#[async_trait]
impl ConfigurationSourceServer for Source {
    async fn since(&self, revision: Revision) -> RpcResult<ConfigUpdate> {
        Ok(ConfigState::new().update_since(revision))
    }
}

fn authority() -> AuthorityStandin {
    AuthorityStandin::new().unwrap()
}

fn tls(signer: &AuthorityStandin, address: &str, trusted: &AuthorityStandin) -> (Tls, TempDir) {
    let directory = tempfile::tempdir().unwrap();
    let files = signer.write(directory.path(), address, trusted).unwrap();
    (Tls::load(files).unwrap(), directory)
}

async fn server(tls: Tls) -> (SocketAddr, ServerHandle) {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = bind_server(listen, Some(tls)).await.unwrap();
    (server.address(), server.start(Source.into_rpc()).unwrap())
}

async fn kept_call(dialer: &Dialer, peer: SocketAddr) -> bool {
    match dialer.open(peer).await {
        Ok(connection) => connection.since(Revision(0)).await.is_ok(),
        Err(_) => false,
    }
}

async fn single_call(dialer: &Dialer, peer: SocketAddr) -> bool {
    dialer.connect(peer, TIMEOUT).unwrap().since(Revision(0)).await.is_ok()
}

async fn calls(dialer: &Dialer, peer: SocketAddr) -> [bool; 2] {
    [kept_call(dialer, peer).await, single_call(dialer, peer).await]
}

#[tokio::test]
async fn only_peers_with_a_valid_certificate_are_accepted() {
    let (ours, theirs) = (authority(), authority());
    let (server_tls, _server_files) = tls(&ours, "127.0.0.1", &ours);
    let (peer, _handle) = server(server_tls).await;
    let (valid, _valid_files) = tls(&ours, "127.0.0.1", &ours);
    let (foreign, _foreign_files) = tls(&theirs, "127.0.0.1", &ours);
    assert_eq!([true; 2], calls(&Dialer::new(Some(valid)), peer).await);
    assert_eq!([false; 2], calls(&Dialer::new(Some(foreign)), peer).await, "foreign authority");
    assert_eq!([false; 2], calls(&Dialer::default(), peer).await, "no TLS");
}

#[tokio::test]
async fn server_whose_certificate_is_for_another_address_is_refused() {
    let authority = authority();
    let (server_tls, _server_files) = tls(&authority, "10.0.0.9", &authority);
    let (peer, _handle) = server(server_tls).await;
    let (valid, _valid_files) = tls(&authority, "127.0.0.1", &authority);
    assert_eq!([false; 2], calls(&Dialer::new(Some(valid)), peer).await);
}

#[tokio::test]
async fn keys_are_reloaded_without_a_restart() {
    let (old, new) = (authority(), authority());
    let (server_tls, server_files) = tls(&old, "127.0.0.1", &old);
    let (peer, _handle) = server(server_tls.clone()).await;
    let (dialer_tls, dialer_files) = tls(&old, "127.0.0.1", &old);
    let dialer = Dialer::new(Some(dialer_tls.clone()));
    let kept = dialer.open(peer).await.unwrap();
    new.write(server_files.path(), "127.0.0.1", &new).unwrap();
    server_tls.reload().unwrap();
    assert_eq!([false; 2], calls(&dialer, peer).await);
    assert!(kept.since(Revision(0)).await.is_ok(), "an open connection was cut off");
    new.write(dialer_files.path(), "127.0.0.1", &new).unwrap();
    dialer_tls.reload().unwrap();
    assert_eq!([true; 2], calls(&dialer, peer).await);
}

#[tokio::test]
async fn invalid_files_leave_the_old_keys_in_use() {
    let authority = authority();
    let (server_tls, files) = tls(&authority, "127.0.0.1", &authority);
    let (peer, _handle) = server(server_tls.clone()).await;
    std::fs::write(files.path().join("key.pem"), "no key").unwrap();
    assert!(matches!(server_tls.reload(), Err(TlsError::File { .. })));
    let (valid, _valid_files) = tls(&authority, "127.0.0.1", &authority);
    assert_eq!([true; 2], calls(&Dialer::new(Some(valid)), peer).await);
}
