//! Peer package for the weight store, which limits the rate of reads.

use http::Method;
use serde::{Deserialize, Serialize};
use spindle_http::{CallError, Client};
use spindle_types::{Instance, Model, Size, Version};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// The time within which a call must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// `GET /weights/{model}/{version}`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// The size of the weights.
    pub size: Size,
}

/// `POST /reads`: asks for a turn to read weights.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The model.
    pub model: Model,
    /// The version.
    pub version: Version,
    /// The instances that share the read.
    pub instances: Vec<Instance>,
}

/// The answer to a request for a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ReadReply {
    /// The read may start.
    Granted,
    /// The rate is used up; ask again after a while.
    Wait {
        /// Milliseconds after which to ask again.
        after_ms: u64,
    },
}

/// The weight store, as the system uses it.
pub trait WeightStore: Clone + Send + Sync + 'static {
    /// Reads the size of a model's weights.
    fn weights(
        &self,
        model: &Model,
        version: &Version,
    ) -> impl Future<Output = Result<Weights, CallError>> + Send;

    /// Asks for a turn to read weights.
    fn read(
        &self,
        request: &ReadRequest,
    ) -> impl Future<Output = Result<ReadReply, CallError>> + Send;
}

/// The weight store over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    address: SocketAddr,
    client: Client,
}

impl HttpWeightStore {
    /// A client of the store at an address.
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
