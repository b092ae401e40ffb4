//! A client whose connections may go silent without ending, as behind a link that drops packets. Its
//! reads go on at once on a new connection, also those that wait for news on another silent one.

use crate::body::Body;
use crate::client::{CallError, Client};
use http::{Request, Response};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::sync::watch;

/// A client that gives up all its connections when one of them has gone silent. Clones share them.
#[derive(Clone, Debug)]
pub struct RenewableClient {
    current: watch::Sender<Generation>,
    timeout: Duration,
    max_body_bytes: usize,
}

/// A client and the number of those before it.
#[derive(Clone, Debug)]
struct Generation {
    number: u64,
    client: Client,
}

impl RenewableClient {
    /// Creates a client; see [`Client::new`].
    pub fn new(timeout: Duration, max_body_bytes: usize) -> Self {
        let first = Generation { number: 0, client: Client::new(timeout, max_body_bytes) };
        Self { current: watch::Sender::new(first), timeout, max_body_bytes }
    }

    /// Sends a request and returns the response once its headers have arrived.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], or they don't arrive within `timeout`.
    pub async fn send(
        &self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let client = self.current.borrow().client.clone();
        let sending = tokio::time::timeout(timeout, client.send(request));
        sending.await.map_err(|_| no_answer(timeout))?
    }

    /// Sends a request that may be sent again, and returns the response once its headers have arrived.
    /// If they don't arrive within `patience`, or another call has found a connection silent, the
    /// request is sent again on a new connection.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], or the headers don't arrive within `timeout` of the last time.
    pub async fn send_repeatably(
        &self,
        request: impl Fn() -> Request<Body>,
        timeout: Duration,
        mut patience: Option<Duration>,
    ) -> Result<Response<Incoming>, CallError> {
        let mut generations = self.current.subscribe();
        loop {
            let Generation { number, client } = generations.borrow_and_update().clone();
            tokio::select! {
                result = client.send(request()) => return result,
                Ok(()) = generations.changed() => {}
                () = tokio::time::sleep(patience.unwrap_or(timeout)) => {
                    if patience.take().is_none() {
                        return Err(no_answer(timeout));
                    }
                    self.renew_after(number, "silent");
                }
            }
        }
    }

    /// Gives up all connections. Reads that wait on them are sent again.
    pub fn renew(&self, cause: &'static str) {
        let number = self.current.borrow().number;
        self.renew_after(number, cause);
    }

    /// Gives up the connections of a generation, unless that has happened.
    fn renew_after(&self, number: u64, cause: &'static str) {
        let is_renewed = self.current.send_if_modified(|current| {
            let is_same = current.number == number;
            if is_same {
                let client = Client::new(self.timeout, self.max_body_bytes);
                *current = Generation { number: number + 1, client };
            }
            is_same
        });
        if is_renewed {
            log::info!("event=connections_renewed generation={} cause={cause}", number + 1);
        }
    }
}

fn no_answer(timeout: Duration) -> CallError {
    CallError::Lost(format!("no answer within {timeout:?}"))
}
