//! Client library for the instance list, which is eventually consistent: it lags behind the real
//! state.

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

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Whether an instance accepts new work.
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
    /// The instance runs and accepts work.
    Live,
    /// The instance will stop soon and accepts no new work.
    Leaving,
}

/// What runs on an instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Workload {
    /// An upstream of a pool.
    Upstream {
        /// Pool that the upstream belongs to.
        pool: Pool,
    },
    /// A daemon.
    Daemon {
        /// Address at which other daemons reach it.
        peer: SocketAddr,
    },
}

/// An entry of the instance list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Id of the instance.
    pub instance: Instance,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Machine class of the instance.
    pub class: MachineClass,
    /// Whether it is reclaimable or on demand.
    pub market: Market,
    /// Address at which it accepts requests: from callers if it is a daemon, from daemons if it is
    /// an upstream.
    pub address: SocketAddr,
    /// What runs on it.
    pub kind: Workload,
    /// Whether it accepts new work.
    pub state: State,
}

/// `GET /instances`: the instance list.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceListing {
    /// Entries of the live and leaving instances.
    pub entries: Vec<InstanceEntry>,
}

/// The calls to the instance list.
pub trait Instances: Clone + Send + Sync + 'static {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<InstanceListing, CallError>> + Send;

    /// Adds or replaces the entry of a daemon that has started.
    fn register(&self, entry: &InstanceEntry)
    -> impl Future<Output = Result<(), CallError>> + Send;
}

/// Calls to the instance list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpInstances {
    address: SocketAddr,
    client: Client,
}

impl HttpInstances {
    /// Creates a client of the instance list at an address.
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
