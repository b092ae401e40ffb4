//! Client library for the store of model weights, which limits the rate of reads.

use http::Method;
use serde::{Deserialize, Serialize};
use spindle_http::{CallError, Client};
use spindle_types::{Instance, Model, Size, Version};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of an answer, in bytes.
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// `GET /weights/{model}/{version}`: properties of a model's weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Total size of the weights.
    pub size: Size,
}

/// `POST /reads`: asks for permission to read weights, subject to the rate limit.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Model whose weights are to be read.
    pub model: Model,
    /// Version of the weights.
    pub version: Version,
    /// Instances that share the read.
    pub instances: Vec<Instance>,
}

/// The answer to a read request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ReadReply {
    /// The read may start.
    Granted,
    /// The rate limit is reached; the request must be repeated later.
    Wait {
        /// Milliseconds after which to repeat the request.
        after_ms: u64,
    },
}

/// The calls to the weight store.
pub trait WeightStore: Clone + Send + Sync + 'static {
    /// Reads the size of a model's weights.
    fn weights(
        &self,
        model: &Model,
        version: &Version,
    ) -> impl Future<Output = Result<Weights, CallError>> + Send;

    /// Asks for permission to read weights.
    fn read(
        &self,
        request: &ReadRequest,
    ) -> impl Future<Output = Result<ReadReply, CallError>> + Send;
}

/// Calls to the weight store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    address: SocketAddr,
    client: Client,
}

impl HttpWeightStore {
    /// Creates a client of the weight store at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES) }
    }
}

impl WeightStore for HttpWeightStore {
    async fn weights(&self, model: &Model, version: &Version) -> Result<Weights, CallError> {
        self.client.get(self.address, &format!("/weights/{model}/{version}")).await
    }

    async fn read(&self, request: &ReadRequest) -> Result<ReadReply, CallError> {
        self.client.call(Method::POST, self.address, "/reads", Some(request)).await
    }
}
