//! The HTTP/1 server that callers connect to: one request at a time on a connection, with limits on
//! the size and time of request heads and on idle times. Open connections follow the limits in force.

use crate::caller_stream::{CallerStream, CurrentLimits, RequestInProgress, ResponseBody};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
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

/// Serves connections until `drain` starts, then finishes the requests in progress. Connections beyond
/// `connections_max` wait in the listen queue.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    limits: CurrentLimits,
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
                connections.spawn(serve_connection(
                    stream,
                    peer,
                    handler.clone(),
                    limits.clone(),
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
    mut limits: CurrentLimits,
    mut drain: Drain,
) {
    if let Err(error) = crate::connection::set_dead_peer_timeouts(&stream) {
        log::debug!("event=socket_option_failed peer={peer} error={error:?}");
    }
    let in_progress = RequestInProgress::default();
    let reset = ResetOnFailure::default();
    let stream = ResettableStream::new(stream, reset.clone());
    let stream = CallerStream::new(stream, in_progress.clone(), limits.clone());
    let requests = reset.clone();
    // A connection can't grow its buffer once it is open.
    let buffer_bytes = head_buffer_bytes(&limits);
    let current_limits = limits.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, served) = (handler.clone(), in_progress.begin());
        requests.on_request(&request);
        let head_bytes_max = head_buffer_bytes(&current_limits);
        async move {
            let mut response = if head_bytes(&request) > head_bytes_max {
                let mut response = Response::new(Body::Empty);
                *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                response
            } else {
                handler.handle(request, peer).await
            };
            if head_bytes_max > buffer_bytes {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| ResponseBody::new(body, served)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None).max_buf_size(buffer_bytes).max_headers(HEADERS_MAX);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut is_draining = false;
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break result,
            () = drain.wait(), if !is_draining => {
                connection.as_mut().graceful_shutdown();
                is_draining = true;
            }
            // The connection is polled again and takes its timeouts from the new limits.
            () = limits.changed() => {}
        }
    };
    if let Err(error) = result {
        log::debug!("event=connection_failed peer={peer} error={error:?}");
        reset.on_failure();
    }
}

/// The size of the buffer for a request head under the limits in force, in bytes.
fn head_buffer_bytes(limits: &CurrentLimits) -> usize {
    limits.get().head_bytes_max.max(HEAD_BUFFER_MIN)
}

/// The size of the head of a request with its usual separators, in bytes.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + " HTTP/1.1\r\n".len() + 1;
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + fields.sum::<usize>() + "\r\n".len()
}
