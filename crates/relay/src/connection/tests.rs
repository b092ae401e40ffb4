use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// What is unsent in a connection that is closed in order still reaches the upstream once a cut link
/// is back, seconds after the request was given up; a reset discards it. Found on others.toml of
/// trapeza-langar, seed 97132239028.
#[tokio::test]
async fn a_connection_whose_request_is_given_up_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut connection = Connection::open(listener.local_addr().unwrap()).await.unwrap();
    let (mut upstream, _) = listener.accept().await.unwrap();
    let request = Request::get("/").header("host", "h.example").body(Full::default()).unwrap();
    let mut received = [0; 1_024];
    tokio::select! {
        _ = connection.send(request) => panic!("there is no response"),
        count = upstream.read(&mut received) => assert!(count.unwrap() > 0),
    }
    drop(connection);
    let end = upstream.read(&mut received).await;
    assert_eq!(end.map_err(|error| error.kind()), Err(io::ErrorKind::ConnectionReset));
}

/// The upstream has the whole request then, and an orderly close is repeated if it gets lost.
#[tokio::test]
async fn a_connection_whose_response_has_begun_is_closed_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut connection = Connection::open(listener.local_addr().unwrap()).await.unwrap();
    let (mut upstream, _) = listener.accept().await.unwrap();
    let request = Request::get("/").header("host", "h.example").body(Full::default()).unwrap();
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
    let answer = async {
        assert!(upstream.read(&mut [0; 1_024]).await.unwrap() > 0);
        upstream.write_all(head).await.unwrap();
    };
    let (response, ()) = tokio::join!(connection.send(request), answer);
    drop((response.unwrap(), connection));
    assert_eq!(upstream.read(&mut [0; 1_024]).await.unwrap(), 0);
}

/// After how many unanswered keepalive probes, and how long after the last bytes, Linux drops a
/// connection: the limit on unacknowledged data also decides when probes give up.
fn unanswered_probes(timeouts: &PeerTimeouts) -> (u32, Duration) {
    let (mut probes, mut idle) = (0, timeouts.probe_after);
    while probes == 0 || idle < timeouts.unacknowledged_max {
        probes += 1;
        idle += timeouts.probe_interval;
    }
    (probes, idle)
}

#[test]
fn one_lost_keepalive_probe_drops_no_connection() {
    let (probes, idle) = unanswered_probes(&PEER_TIMEOUTS);
    assert!(probes >= 2, "dropped after {probes} probe, {idle:?} after the last bytes");
    assert!(idle <= Duration::from_secs(4), "a dead peer is noticed after {idle:?}");
}
