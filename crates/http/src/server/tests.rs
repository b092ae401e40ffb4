use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Streams a part of a response and then drops it.
#[derive(Clone)]
struct CutOff;

impl Handler for CutOff {
    async fn handle(&self, _request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let (sender, body) = Body::channel(1);
        sender.send("part".into()).await.unwrap();
        Response::new(body)
    }
}

#[tokio::test]
async fn a_response_that_is_cut_off_resets_the_connection_of_a_caller_of_http_1_0() {
    let (listener, address) = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let drain = DrainTrigger::new();
    tokio::spawn(serve(listener, CutOff, ServerLimits::default(), drain.signal()));
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.0\r\n\r\n").await.unwrap();
    let mut received = Vec::new();
    let error = stream.read_to_end(&mut received).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}
