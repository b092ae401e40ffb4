//! What runs, where it answers, what it has loaded, and what can be bought.

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

/// Engines that are asked at once.
const CALLS_MAX: usize = 32;

/// One look at the deployment.
#[derive(Debug)]
pub(super) struct Census {
    /// What runs.
    pub(super) running: Vec<RunningInstance>,
    /// Where instances answer.
    pub(super) addresses: BTreeMap<Instance, SocketAddr>,
    /// What can be bought.
    pub(super) offers: Vec<PricedOffer>,
}

impl Census {
    /// Where an instance runs.
    pub(super) fn data_centre(&self, instance: &Instance) -> Option<&DataCentre> {
        let found = self.running.iter().find(|running| running.instance == *instance);
        found.map(|running| &running.kind.data_centre)
    }
}

/// Looks at the deployment. Instances that the lagging list does not show have no address.
pub(super) async fn take_census<C: Context>(shared: &Shared<C>) -> Result<Census, CallError> {
    let cloud = shared.context.cloud();
    let (running, offers) = (cloud.running().await?.running, cloud.offers().await?);
    let entries = shared.context.instances().list().await?.entries;
    let entries: BTreeMap<_, _> = entries.into_iter().map(|e| (e.instance.clone(), e)).collect();
    let leaving: BTreeSet<Instance> = shared.upstreams.leaving().borrow().iter().cloned().collect();
    let config = shared.config.borrow().clone();
    let asked = running.into_iter().map(|running| {
        let entry = entries.get(&running.instance);
        let serves_model =
            config.pools.get(&running.start.pool).is_some_and(|spec| spec.model.is_some());
        let address = entry.filter(|_| serves_model).map(|entry| entry.address);
        let gone = entry.is_some_and(|entry| entry.state == State::Leaving);
        let leaving = gone || leaving.contains(&running.instance);
        async move {
            let load = match address {
                Some(address) => shared.context.engine().load(address).await.ok(),
                None => None,
            };
            running_instance(running, leaving, load)
        }
    });
    let running = stream::iter(asked).buffered(CALLS_MAX).collect().await;
    let addresses =
        entries.into_iter().map(|(id, InstanceEntry { address, .. })| (id, address)).collect();
    Ok(Census { running, addresses, offers })
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
