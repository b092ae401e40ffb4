use super::*;
use http::{Method, Version};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[tokio::test]
async fn an_answer_has_the_version_of_the_callers_connection_not_the_services() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_u8().await.unwrap();
        stream.write_all(b"HTTP/1.0 200 OK\r\n\r\npart").await.unwrap();
    });
    let request = Request::builder().method(Method::GET).uri("/x").body(Body::Empty).unwrap();
    let outcome = HttpService::new().call(address, request).await;
    let CallOutcome::Answered(response) = outcome else { panic!("{outcome:?}") };
    assert_eq!(response.version(), Version::HTTP_11);
}
