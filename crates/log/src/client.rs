//! Client of the log service.

use crate::wire::{ANSWER_MAX_BYTES, AppendReply, AppendRequest, BATCH_MAX_RECORDS, Batch};
use http::Method;
use serde::Serialize;
use serde_json::value::RawValue;
use spindle_http::{CallError, Client};
use spindle_types::{Offset, StreamName};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a call. A read waits for at most half of it.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An append was not acknowledged.
#[derive(Debug, Error)]
pub enum AppendError {
    /// Nothing was appended.
    #[error("not appended: {0}")]
    NotAppended(String),
    /// The records may have been appended; reading the stream shows whether they were.
    #[error("append not acknowledged: {0}")]
    Unknown(String),
}

/// A read failed.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The log service can't be reached or did not answer in time.
    #[error("log unavailable: {0}")]
    Unavailable(String),
    /// The answer is not in the expected format.
    #[error("invalid answer of the log: {0}")]
    Form(String),
}

/// The calls to the log service.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends records at consecutive offsets and returns the first offset.
    fn append(
        &self,
        stream: &StreamName,
        records: Vec<Box<RawValue>>,
    ) -> impl Future<Output = Result<Offset, AppendError>> + Send;

    /// Reads records from an offset on. If there are none, waits up to `wait` for the first one.
    fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, ReadError>> + Send;

    /// Appends one value as a JSON record.
    fn append_value<T: Serialize + Sync>(
        &self,
        stream: &StreamName,
        value: &T,
    ) -> impl Future<Output = Result<Offset, AppendError>> + Send {
        async move {
            let record = serde_json::value::to_raw_value(value)
                .map_err(|error| AppendError::NotAppended(error.to_string()))?;
            self.append(stream, vec![record]).await
        }
    }
}

/// Calls to the log service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    address: SocketAddr,
    client: Client,
}

impl HttpLog {
    /// Creates a client of the log service at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES) }
    }
}

impl Log for HttpLog {
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<Box<RawValue>>,
    ) -> Result<Offset, AppendError> {
        let path = format!("/streams/{stream}/records");
        let request = AppendRequest { records };
        let reply = self.client.call(Method::POST, self.address, &path, Some(&request)).await;
        match reply {
            Ok(AppendReply { first }) => Ok(first),
            Err(CallError::NotSent(text)) => Err(AppendError::NotAppended(text)),
            Err(CallError::Status { status, body }) if status.is_client_error() => {
                Err(AppendError::NotAppended(body))
            }
            Err(error) => Err(AppendError::Unknown(error.to_string())),
        }
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, ReadError> {
        let wait = wait.min(CALL_TIMEOUT / 2).as_millis();
        let path = format!(
            "/streams/{stream}/records?from={from}&limit={BATCH_MAX_RECORDS}&wait_ms={wait}"
        );
        match self.client.get(self.address, &path).await {
            Ok(batch) => Ok(batch),
            Err(CallError::Form(text)) => Err(ReadError::Form(text)),
            Err(error) => Err(ReadError::Unavailable(error.to_string())),
        }
    }
}
