//! Peer package for the instance list, which lags behind the truth.

use http::Method;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use spindle_http::{CallError, Client};
use spindle_types::config::Market;
use spindle_types::{DataCentre, Instance, MachineClass, Pool};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr};

/// The time within which the list must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Whether an instance takes new work.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    JsonSchema,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Live,
    /// It will stop soon and takes nothing new.
    Leaving,
}

/// What runs on an instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Workload {
    /// An upstream of a pool.
    Upstream {
        /// The pool.
        pool: Pool,
    },
    /// A daemon, with the address at which other daemons reach it.
    Daemon {
        /// The address for other daemons.
        peer: SocketAddr,
    },
}

/// One entry of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance.
    pub instance: Instance,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its machine class.
    pub class: MachineClass,
    /// How it was bought.
    pub market: Market,
    /// Where it answers: callers for a daemon, calls for an upstream.
    pub address: SocketAddr,
    /// What runs on it.
    pub kind: Workload,
    /// Whether it takes new work.
    pub state: State,
}

/// `GET /instances`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceListing {
    /// The live and leaving instances.
    pub entries: Vec<InstanceEntry>,
}

/// The instance list, as the system uses it.
pub trait Instances: Clone + Send + Sync + 'static {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<InstanceListing, CallError>> + Send;

    /// Adds or replaces the entry of a daemon that has started.
    fn register(&self, entry: &InstanceEntry)
    -> impl Future<Output = Result<(), CallError>> + Send;
}

/// The instance list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpInstances {
    address: SocketAddr,
    client: Client,
}

impl HttpInstances {
    /// A client of the list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: Client::new(CALL_TIMEOUT, ANSWER_MAX_BYTES) }
    }
}

impl Instances for HttpInstances {
    async fn list(&self) -> Result<InstanceListing, CallError> {
        self.client.get(self.address, "/instances").await
    }

    async fn register(&self, entry: &InstanceEntry) -> Result<(), CallError> {
        let path = format!("/instances/{}", entry.instance);
        self.client.call(Method::PUT, self.address, &path, Some(entry)).await
    }
}
