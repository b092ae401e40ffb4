//! Starts and stops the stand-ins of a deployment's upstreams.

use crate::deployment::Example;
use eyre::eyre;
use spindle_cloud::{CloudInstance, StartRequest};
use spindle_instances::{InstanceEntry, State, Workload};
use spindle_policy::reconcile::InstanceKind;
use spindle_standin::cloud::InstanceEvent;
use spindle_standin::{CloudStandin, EngineModel, EngineStandin, ServiceStandin};
use spindle_types::config::{FencingCheck, Market, PoolSpec};
use spindle_types::{DataCentre, Instance, MachineClass, Pool};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// The machine class of every instance in a deployment.
pub(crate) const MACHINE_CLASS: &str = "standin";

/// A shared map of upstreams by instance.
pub type UpstreamsByInstance = Arc<Mutex<BTreeMap<Instance, UpstreamStandin>>>;

/// The stand-in of an upstream.
#[derive(Clone, Debug)]
pub enum UpstreamStandin {
    /// A stand-in of a model engine.
    Engine(EngineStandin),
    /// A stand-in of a plain service.
    Service(ServiceStandin),
}

impl UpstreamStandin {
    async fn start(spec: &PoolSpec, engine_model: EngineModel) -> std::io::Result<Self> {
        let checks_fencing = spec.fencing == FencingCheck::Checked;
        match &spec.model {
            Some(model) => {
                let engine =
                    EngineStandin::start(model.clone(), engine_model, checks_fencing).await?;
                Ok(Self::Engine(engine))
            }
            None => Ok(Self::Service(ServiceStandin::start().await?)),
        }
    }

    /// Returns `engine` or `service`.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Engine(_) => "engine",
            Self::Service(_) => "service",
        }
    }

    /// The address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Service(service) => service.address(),
        }
    }

    pub(crate) fn kill(&self) {
        match self {
            Self::Engine(engine) => engine.kill(),
            Self::Service(service) => service.kill(),
        }
    }
}

/// Locks a map of upstreams.
pub(crate) fn lock_upstreams(
    running: &UpstreamsByInstance,
) -> MutexGuard<'_, BTreeMap<Instance, UpstreamStandin>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts and stops upstreams as the cloud stand-in starts and stops their instances.
pub(crate) struct Launcher {
    pub(crate) platform: CloudStandin,
    pub(crate) pools: BTreeMap<Pool, PoolSpec>,
    pub(crate) running: UpstreamsByInstance,
    pub(crate) launched: UpstreamsByInstance,
    pub(crate) engine_model: EngineModel,
}

impl Launcher {
    pub(crate) async fn start_all(
        &self,
        example: Example,
        engines: Option<usize>,
    ) -> eyre::Result<()> {
        let data_centres = example.data_centres();
        for (pool, count) in example.upstreams() {
            let serves_model = self.pools.get(pool).is_some_and(|spec| spec.model.is_some());
            let count = engines.filter(|_| serves_model).unwrap_or(count);
            for index in 0..count {
                let instance = Instance::try_from(format!("{pool}-{index:02}"))?;
                let data_centre = DataCentre::try_from(data_centres[index % data_centres.len()])?;
                let kind = InstanceKind {
                    pool: Pool::try_from(pool)?,
                    data_centre,
                    class: MachineClass::try_from(MACHINE_CLASS)?,
                    market: Market::Reclaimable,
                };
                self.launch(instance, kind).await?;
            }
        }
        Ok(())
    }

    async fn launch(&self, instance: Instance, kind: InstanceKind) -> eyre::Result<()> {
        let InstanceKind { pool, data_centre, class, market } = kind;
        let spec = self.pools.get(&pool).ok_or_else(|| eyre!("pool {pool} is not configured"))?;
        let upstream = UpstreamStandin::start(spec, self.engine_model).await?;
        let entry = InstanceEntry {
            instance: instance.clone(),
            data_centre,
            class,
            market,
            address: upstream.address(),
            kind: Workload::Upstream { pool },
            state: State::Live,
        };
        lock_upstreams(&self.launched).insert(instance.clone(), upstream.clone());
        lock_upstreams(&self.running).insert(instance, upstream);
        self.platform.put(entry);
        Ok(())
    }

    pub(crate) async fn run(self, mut events: mpsc::UnboundedReceiver<InstanceEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                InstanceEvent::Stopped(instance) => {
                    if let Some(upstream) = lock_upstreams(&self.running).remove(&instance) {
                        upstream.kill();
                    }
                }
                InstanceEvent::Started(CloudInstance { instance, start }) => {
                    let StartRequest { pool, data_centre, class, market, .. } = start;
                    let kind = InstanceKind { pool, data_centre, class, market };
                    if let Err(error) = self.launch(instance, kind).await {
                        log::warn!("event=launch_failed error={error:?}");
                    }
                }
            }
        }
    }
}
