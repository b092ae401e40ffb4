//! A whole deployment in one process: stand-ins of the platform and the upstreams, and daemons.

use crate::context::LiveContext;
use crate::daemon::Daemon;
use crate::follower::CONFIG_STREAM;
use crate::settings::{
    AdmissionSettings, CallerSettings, DrainSettings, IdentitySettings, LogSettings,
    MetricsSettings, PeerSettings, PlatformSettings, RoutingSettings, Settings, check_document,
};
use clap::ValueEnum;
use eyre::{WrapErr, eyre};
use serde_json::value::to_raw_value;
use spindle_cloud::Running;
use spindle_instances::{Entry, Kind, State};
use spindle_policy::membership::Member;
use spindle_standin::engine::EngineModel;
use spindle_standin::platform::PlatformEvent;
use spindle_standin::{EngineStandin, LogStandin, PlatformStandin, ServiceStandin, WeightsStandin};
use spindle_types::config::{FencingCheck, Market, PoolSpec};
use spindle_types::{
    ConfigRecord, Configuration, DataCentre, Instance, MachineClass, Operator, Pool, Region,
    Revision, Size, Span, UtcInstant,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use strum::Display;
use tokio::sync::mpsc;

/// The interval between two reads that the weight store grants.
const WEIGHT_READ_INTERVAL: Duration = Duration::from_millis(200);

/// The machine class of every instance of a deployment.
const CLASS: &str = "standin";

/// How long a deployment may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The deployments that can be started.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, ValueEnum)]
#[strum(serialize_all = "snake_case")]
pub enum Example {
    /// Vendimia Clara Sistemas in cr-central.
    #[default]
    Vendimia,
    /// The Kanem Schools Data Consortium in ng-north.
    Kanem,
}

impl Example {
    /// The shared configuration.
    ///
    /// # Errors
    ///
    /// The example holds mistakes.
    pub fn configuration(self) -> eyre::Result<Configuration> {
        let text = match self {
            Self::Vendimia => include_str!("../examples/vendimia/configuration.yaml"),
            Self::Kanem => include_str!("../examples/kanem/configuration.yaml"),
        };
        Ok(check_document(text)?)
    }

    /// The region.
    pub const fn region(self) -> &'static str {
        match self {
            Self::Vendimia => "cr-central",
            Self::Kanem => "ng-north",
        }
    }

    /// The data centres.
    pub const fn data_centres(self) -> [&'static str; 4] {
        match self {
            Self::Vendimia => ["heredia-a", "heredia-b", "alajuela-a", "cartago-a"],
            Self::Kanem => ["kano-a", "kano-b", "kaduna-a", "abuja-a"],
        }
    }

    /// The pools with the number of upstreams of each.
    pub const fn upstreams(self) -> [(&'static str, usize); 2] {
        match self {
            Self::Vendimia => [("sommelier-llm", 12), ("booking-desk", 4)],
            Self::Kanem => [("spindle-pool", 18), ("returns-app", 4)],
        }
    }
}

/// A running upstream.
#[derive(Clone, Debug)]
pub enum UpstreamStandin {
    /// A model engine.
    Engine(EngineStandin),
    /// A plain service.
    Service(ServiceStandin),
}

impl UpstreamStandin {
    async fn start(spec: &PoolSpec, timing: EngineModel) -> std::io::Result<Self> {
        let checks_fencing = spec.fencing == FencingCheck::Checked;
        match &spec.model {
            Some(model) => {
                let engine = EngineStandin::start(model.clone(), timing, checks_fencing).await?;
                Ok(Self::Engine(engine))
            }
            None => Ok(Self::Service(ServiceStandin::start().await?)),
        }
    }

    fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Service(service) => service.address(),
        }
    }

    fn kill(&self) {
        match self {
            Self::Engine(engine) => engine.kill(),
            Self::Service(service) => service.kill(),
        }
    }
}

/// The upstreams by instance.
pub type Fleet = Arc<Mutex<BTreeMap<Instance, UpstreamStandin>>>;

/// A running deployment; dropping it stops everything at once.
#[derive(Debug)]
pub struct Deployment {
    /// Which one.
    pub example: Example,
    /// Its configuration as published.
    pub configuration: Configuration,
    /// The log service.
    pub log: LogStandin,
    /// The instance list and the cloud API.
    pub platform: PlatformStandin,
    /// The weight store.
    pub weights: WeightsStandin,
    /// The daemons.
    pub daemons: Vec<Daemon<LiveContext>>,
    fleet: Fleet,
}

impl Deployment {
    /// Starts the stand-ins and a number of daemons on loopback ports, and waits until each daemon
    /// has the configuration and knows the upstreams.
    ///
    /// # Errors
    ///
    /// A port can't be bound, or the deployment does not get ready in time.
    pub async fn start(
        example: Example,
        daemons: usize,
        timing: EngineModel,
    ) -> eyre::Result<Self> {
        let configuration = example.configuration()?;
        let log = LogStandin::start().await?;
        let (platform, events) = PlatformStandin::start().await?;
        let weights = WeightsStandin::start(WEIGHT_READ_INTERVAL, Size::from_mib(1_024)).await?;
        publish(&log, &configuration)?;
        let fleet = Fleet::default();
        let launcher = Launcher {
            platform: platform.clone(),
            pools: configuration.pools.clone(),
            fleet: Arc::clone(&fleet),
            timing,
        };
        launcher.start_all(example).await?;
        tokio::spawn(launcher.run(events));
        let mut deployment =
            Self { example, configuration, log, platform, weights, daemons: Vec::new(), fleet };
        for index in 0..daemons {
            deployment.start_daemon(index).await?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Starts one more daemon; its data centre follows from the index.
    ///
    /// # Errors
    ///
    /// A port can't be bound.
    pub async fn start_daemon(&mut self, index: usize) -> eyre::Result<()> {
        let settings = self.settings(index)?;
        let context = LiveContext::new(&settings.platform);
        self.daemons.push(Daemon::start(context, settings).await?);
        Ok(())
    }

    /// The settings of the daemon with an index.
    ///
    /// # Errors
    ///
    /// A name is not valid.
    pub fn settings(&self, index: usize) -> eyre::Result<Settings> {
        let free_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let data_centres = self.example.data_centres();
        Ok(Settings {
            identity: IdentitySettings {
                instance: Instance::try_from(format!("entry-{}", index + 1))?,
                data_centre: DataCentre::try_from(data_centres[index % data_centres.len()])?,
                region: Region::try_from(self.example.region())?,
                class: MachineClass::try_from(CLASS)?,
            },
            platform: PlatformSettings {
                log: self.log.address(),
                instances: self.platform.list_address(),
                cloud: self.platform.cloud_address(),
                weights: self.weights.address(),
            },
            caller: CallerSettings { listen: free_port, ..CallerSettings::default() },
            peer: PeerSettings {
                listen: free_port,
                heartbeat: Span::from_millis(100),
                list_interval: Span::from_millis(200),
                notice_interval: Span::from_millis(100),
            },
            routing: RoutingSettings::default(),
            admission: AdmissionSettings::default(),
            drain: DrainSettings { linger: Span::from_millis(400) },
            logs: LogSettings::default(),
            metrics: MetricsSettings::default(),
        })
    }

    /// The upstreams of a pool that run.
    pub fn upstreams(&self, pool: &str) -> Vec<(Instance, UpstreamStandin)> {
        let entries = self.platform.entries();
        let in_pool = |instance: &Instance| {
            entries.iter().any(|entry| {
                entry.instance == *instance
                    && matches!(&entry.kind, Kind::Upstream { pool: name } if name.as_str() == pool)
            })
        };
        let fleet = lock(&self.fleet);
        fleet
            .iter()
            .filter(|(id, _)| in_pool(id))
            .map(|(id, up)| (id.clone(), up.clone()))
            .collect()
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let revision = Revision(self.configuration.clone().into_changes().len() as u64);
        let ready = async {
            for daemon in &self.daemons {
                let mut config = daemon.shared().config.clone();
                config.wait_for(|config| config.revision >= revision).await?;
                let mut members = daemon.shared().members.clone();
                let met = |members: &Arc<Vec<Member>>| {
                    let heard = members.iter().filter(|member| member.incarnation.is_some());
                    heard.count() >= self.daemons.len()
                };
                members.wait_for(met).await?;
            }
            Ok::<_, tokio::sync::watch::error::RecvError>(())
        };
        let ready = tokio::time::timeout(READY_TIMEOUT, ready).await;
        Ok(ready.wrap_err("the deployment did not get ready")??)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        lock(&self.fleet).values().for_each(UpstreamStandin::kill);
    }
}

fn publish(log: &LogStandin, configuration: &Configuration) -> eyre::Result<()> {
    let operator = Operator::try_from("demo")?;
    for (base, change) in (0..).zip(configuration.clone().into_changes()) {
        let record = ConfigRecord::Change {
            base: Revision(base),
            operator: operator.clone(),
            at: UtcInstant::default(),
            nonce: base,
            change: Box::new(change),
        };
        log.append(CONFIG_STREAM, to_raw_value(&record)?);
    }
    Ok(())
}

fn lock(fleet: &Fleet) -> MutexGuard<'_, BTreeMap<Instance, UpstreamStandin>> {
    fleet.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs upstreams as the cloud starts and stops their instances.
struct Launcher {
    platform: PlatformStandin,
    pools: BTreeMap<Pool, PoolSpec>,
    fleet: Fleet,
    timing: EngineModel,
}

impl Launcher {
    async fn start_all(&self, example: Example) -> eyre::Result<()> {
        let data_centres = example.data_centres();
        for (pool, count) in example.upstreams() {
            for index in 0..count {
                let instance = Instance::try_from(format!("{pool}-{index:02}"))?;
                let data_centre = DataCentre::try_from(data_centres[index % data_centres.len()])?;
                self.launch(instance, Pool::try_from(pool)?, data_centre).await?;
            }
        }
        Ok(())
    }

    async fn launch(
        &self,
        instance: Instance,
        pool: Pool,
        data_centre: DataCentre,
    ) -> eyre::Result<()> {
        let spec = self.pools.get(&pool).ok_or_else(|| eyre!("no pool {pool}"))?;
        let upstream = UpstreamStandin::start(spec, self.timing).await?;
        let entry = Entry {
            instance: instance.clone(),
            data_centre,
            class: MachineClass::try_from(CLASS)?,
            market: Market::Reclaimable,
            address: upstream.address(),
            kind: Kind::Upstream { pool },
            state: State::Live,
        };
        lock(&self.fleet).insert(instance, upstream);
        self.platform.put(entry);
        Ok(())
    }

    async fn run(self, mut events: mpsc::UnboundedReceiver<PlatformEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                PlatformEvent::Stopped(instance) => {
                    if let Some(upstream) = lock(&self.fleet).remove(&instance) {
                        upstream.kill();
                    }
                }
                PlatformEvent::Started(Running { instance, start }) => {
                    if let Err(error) = self.launch(instance, start.pool, start.data_centre).await {
                        log::warn!("event=launch_failed error={error:?}");
                    }
                }
            }
        }
    }
}
