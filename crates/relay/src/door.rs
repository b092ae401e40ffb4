//! The server that callers connect to: one request at a time on a connection, bounded heads.

use crate::paced::{Busy, Paced};
use crate::serving::Limits;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use spindle_http::{Body, Drain, Handler};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The least size of the buffer for a head, in bytes; the library takes no less.
const HEAD_BUFFER_MIN: usize = 8_192;

/// The most headers of a request. Far over what callers send; further ones get 431.
const HEADERS_MAX: usize = 128;

/// The pause after a failed accept, so that exhausted file descriptors don't spin the loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves until `drain` starts, then finishes what is in progress. Connections beyond `most` wait
/// in the listen queue.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: watch::Receiver<Limits>,
    most: usize,
    mut drain: Drain,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = drain.wait() => break,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept(), if connections.len() < most => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                let now = *limits.borrow();
                connections.spawn(serve_connection(
                    stream,
                    peer,
                    handler.clone(),
                    now,
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
    if let Err(error) = crate::connection::bound_silence(&stream) {
        log::debug!("event=socket_option_failed peer={peer} error={error:?}");
    }
    let busy = Busy::default();
    let stream = Paced::new(stream, busy.clone(), limits.head_time);
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, busy) = (handler.clone(), busy.clone());
        async move {
            busy.set(true);
            let response: Response<Body> = handler.handle(request, peer).await;
            busy.set(false);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.head.max(HEAD_BUFFER_MIN))
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
    }
}
