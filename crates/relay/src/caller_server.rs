//! The HTTP/1 server that callers connect to: one request at a time on a connection, with limits on
//! the size and time of request heads.

use crate::config::Limits;
use crate::head_timeout::{HeadTimeoutStream, RequestInProgress};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use spindle_http::{Body, Drain, Handler, ResetOnFailure, ResettableStream};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Minimum size of the buffer for a request head, in bytes; hyper accepts no smaller one.
const HEAD_BUFFER_MIN: usize = 8_192;

/// Maximum number of headers of a request, far above what callers send. A request with more gets
/// status 431.
const HEADERS_MAX: usize = 128;

/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves connections until `drain` starts, then finishes the requests in progress. A connection keeps
/// the limits that `limits` returns when it is accepted. Connections beyond `connections_max` wait in
/// the listen queue.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: impl Fn() -> Limits,
    connections_max: usize,
    mut drain: Drain,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = drain.wait() => break,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept(), if connections.len() < connections_max => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                let current_limits = limits();
                connections.spawn(serve_connection(
                    stream,
                    peer,
                    handler.clone(),
                    current_limits,
                    drain.clone(),
                ));
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: H,
    limits: Limits,
    mut drain: Drain,
) {
    if let Err(error) = crate::connection::set_dead_peer_timeouts(&stream) {
        log::debug!("event=socket_option_failed peer={peer} error={error:?}");
    }
    let in_progress = RequestInProgress::default();
    let reset = ResetOnFailure::default();
    let stream = ResettableStream::new(stream, reset.clone());
    let stream = HeadTimeoutStream::new(stream, in_progress.clone(), limits.head_timeout);
    let requests = reset.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, in_progress) = (handler.clone(), in_progress.clone());
        requests.on_request(&request);
        async move {
            in_progress.set(true);
            let response: Response<Body> = handler.handle(request, peer).await;
            in_progress.set(false);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes_max.max(HEAD_BUFFER_MIN))
        .max_headers(HEADERS_MAX);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = drain.wait() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=connection_failed peer={peer} error={error:?}");
        reset.on_failure();
    }
}
