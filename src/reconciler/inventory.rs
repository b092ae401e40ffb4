//! Lists the running instances, their addresses, the state of their engines, and the offers of the
//! cloud.

use crate::context::Context;
use crate::daemon::Shared;
use futures_util::{StreamExt, stream};
use spindle_cloud::{Cloud, CloudInstance};
use spindle_engine::{Engine, Load};
use spindle_http::CallError;
use spindle_instances::{InstanceEntry, Instances, State};
use spindle_policy::reconcile::{EngineState, InstanceKind, RunningInstance};
use spindle_types::{DataCentre, Instance, PricedOffer};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The maximum number of concurrent requests for the load of engines.
const CALLS_MAX: usize = 32;

/// The instances and offers of the deployment at one moment.
#[derive(Debug)]
pub(super) struct Inventory {
    /// The running instances, as listed by the cloud.
    pub(super) running: Vec<RunningInstance>,
    /// The addresses of instances, from the instance list.
    pub(super) addresses: BTreeMap<Instance, SocketAddr>,
    /// The machine classes that the cloud offers, with their prices.
    pub(super) offers: Vec<PricedOffer>,
}

impl Inventory {
    /// The data centre that an instance runs in; none if it is not running.
    pub(super) fn data_centre(&self, instance: &Instance) -> Option<&DataCentre> {
        let found = self.running.iter().find(|running| running.instance == *instance);
        found.map(|running| &running.kind.data_centre)
    }
}

/// Queries the cloud, the instance list and the engines. The instance list lags behind, so new
/// instances may have no address yet.
pub(super) async fn take_inventory<C: Context>(shared: &Shared<C>) -> Result<Inventory, CallError> {
    let cloud = shared.context.cloud();
    let (running, offers) = (cloud.running().await?.running, cloud.offers().await?);
    let entries = shared.context.instances().list().await?.entries;
    let entries: BTreeMap<_, _> = entries.into_iter().map(|e| (e.instance.clone(), e)).collect();
    let leaving: BTreeSet<Instance> = shared.upstreams.leaving().borrow().iter().cloned().collect();
    let config = shared.config.borrow().clone();
    let queries = running.into_iter().map(|running| {
        let entry = entries.get(&running.instance);
        let serves_model =
            config.pools.get(&running.start.pool).is_some_and(|spec| spec.model.is_some());
        let address = entry.filter(|_| serves_model).map(|entry| entry.address);
        let listed_leaving = entry.is_some_and(|entry| entry.state == State::Leaving);
        let leaving = listed_leaving || leaving.contains(&running.instance);
        async move {
            let load = match address {
                Some(address) => shared.context.engine().load(address).await.ok(),
                None => None,
            };
            running_instance(running, leaving, load)
        }
    });
    let running = stream::iter(queries).buffered(CALLS_MAX).collect().await;
    let addresses =
        entries.into_iter().map(|(id, InstanceEntry { address, .. })| (id, address)).collect();
    Ok(Inventory { running, addresses, offers })
}

fn running_instance(running: CloudInstance, leaving: bool, load: Option<Load>) -> RunningInstance {
    let start = running.start;
    RunningInstance {
        instance: running.instance,
        token: start.token,
        kind: InstanceKind {
            pool: start.pool,
            data_centre: start.data_centre,
            class: start.class,
            market: start.market,
        },
        leaving,
        busy: load.as_ref().map(|load| load.running + load.waiting),
        engine: load.map(|load| EngineState {
            model: load.model,
            version: load.version,
            adapters: load.adapters.into_iter().collect(),
            role: load.role,
        }),
    }
}
