//! Client of the cloud API.

use crate::wire::{Notices, Offer, RunningList, StartReply, StartRequest};
use http::Method;
use spindle_http::{CallError, Client};
use spindle_types::Instance;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of an answer, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// The start of an instance was not acknowledged.
#[derive(Debug, Error)]
pub enum StartError {
    /// The cloud started nothing.
    #[error("start refused: {0}")]
    Refused(String),
    /// The instance may have been started; the list of running instances shows whether it was.
    #[error("start not acknowledged: {0}")]
    Unknown(String),
}

/// The calls to the cloud API.
pub trait Cloud: Clone + Send + Sync + 'static {
    /// Starts an instance. Idempotent for the same client token.
    fn start(
        &self,
        request: &StartRequest,
    ) -> impl Future<Output = Result<StartReply, StartError>> + Send;

    /// Stops an instance. Has no effect if the instance does not run.
    fn stop(&self, instance: &Instance) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Lists the instances that run and are billed.
    fn running(&self) -> impl Future<Output = Result<RunningList, CallError>> + Send;

    /// Lists the kinds of instances that can be bought.
    fn offers(&self) -> impl Future<Output = Result<Vec<Offer>, CallError>> + Send;

    /// Reads the reclaim notices from a sequence number on.
    fn notices(&self, from: u64) -> impl Future<Output = Result<Notices, CallError>> + Send;
}

/// Calls to the cloud API over HTTP.
#[derive(Clone, Debug)]
pub struct HttpCloud {
    address: SocketAddr,
    client: Client,
}

impl HttpCloud {
    /// Creates a client of the cloud API at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES) }
    }
}

impl Cloud for HttpCloud {
    async fn start(&self, request: &StartRequest) -> Result<StartReply, StartError> {
        let reply = self.client.call(Method::POST, self.address, "/instances", Some(request)).await;
        reply.map_err(|error| match error {
            CallError::NotSent(text) => StartError::Refused(text),
            CallError::Status { status, body } if status.is_client_error() => {
                StartError::Refused(body)
            }
            error => StartError::Unknown(error.to_string()),
        })
    }

    async fn stop(&self, instance: &Instance) -> Result<(), CallError> {
        let path = format!("/instances/{instance}");
        self.client.call::<(), ()>(Method::DELETE, self.address, &path, None).await
    }

    async fn running(&self) -> Result<RunningList, CallError> {
        self.client.get(self.address, "/instances").await
    }

    async fn offers(&self) -> Result<Vec<Offer>, CallError> {
        self.client.get(self.address, "/offers").await
    }

    async fn notices(&self, from: u64) -> Result<Notices, CallError> {
        self.client.get(self.address, &format!("/notices?from={from}")).await
    }
}
