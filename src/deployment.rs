//! A whole deployment in one process: stand-ins of the platform and the upstreams, and daemons.

use crate::config_follower::CONFIG_STREAM;
use crate::context::LiveContext;
use crate::daemon::Daemon;
use crate::settings::{
    CallerSettings, DrainSettings, IdentitySettings, OperatorSettings, PeerSettings,
    PlannerSettings, PlatformSettings, RoutingSettings, Settings, check_document,
};
use clap::ValueEnum;
use eyre::{WrapErr, eyre};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::value::to_raw_value;
use spindle_cloud::{Cloud, CloudInstance, HttpCloud, Offer, StartRequest};
use spindle_instances::{InstanceEntry, State, Workload};
use spindle_policy::membership::{Member, MemberStatus};
use spindle_policy::reconcile::InstanceKind;
use spindle_standin::EngineModel;
use spindle_standin::cloud::InstanceEvent;
use spindle_standin::{CloudStandin, EngineStandin, LogStandin, ServiceStandin, WeightsStandin};
use spindle_types::config::{Change, FencingCheck, KeyHash, Market, PoolSpec, TeamSpec};
use spindle_types::{
    ClientToken, ConfigRecord, Configuration, DataCentre, Instance, MachineClass, Money, Operator,
    Pool, Region, Revision, Size, Span, Team, UtcInstant,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use strum::Display;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

/// The interval between two reads that the weight store grants.
const WEIGHT_READ_INTERVAL: Duration = Duration::from_millis(200);

/// The machine class of every instance of a deployment.
const CLASS: &str = "standin";

/// The operator of a deployment.
pub const DEMO_OPERATOR: &str = "ana";

/// The key of the operator of a deployment.
pub const DEMO_OPERATOR_KEY: &str = "ana-key";

/// How long a deployment may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The deployments that can be started.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    ValueEnum,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
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

    /// What the cloud stand-in sells.
    ///
    /// # Errors
    ///
    /// The example holds mistakes.
    pub fn offers(self) -> eyre::Result<Vec<Offer>> {
        let text = match self {
            Self::Vendimia => include_str!("../examples/vendimia/offers.yaml"),
            Self::Kanem => include_str!("../examples/kanem/offers.yaml"),
        };
        Ok(serde_norway::from_str(text)?)
    }

    /// The intent of its operators, in YAML.
    pub const fn intent(self) -> &'static str {
        match self {
            Self::Vendimia => include_str!("../examples/vendimia/intent.yaml"),
            Self::Kanem => include_str!("../examples/kanem/intent.yaml"),
        }
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

    /// Whether it is an engine or a service, as a word.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Engine(_) => "engine",
            Self::Service(_) => "service",
        }
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
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

/// How often daemons of a deployment look around.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum IntervalPreset {
    /// More often than ordinarily, so that tests are short.
    #[default]
    Short,
    /// As the settings' defaults say.
    Standard,
}

impl IntervalPreset {
    fn peer(self, listen: SocketAddr) -> PeerSettings {
        match self {
            Self::Standard => PeerSettings { listen, ..PeerSettings::default() },
            Self::Short => PeerSettings {
                listen,
                heartbeat: Span::from_millis(100),
                list_interval: Span::from_millis(200),
                notice_interval: Span::from_millis(100),
                ..PeerSettings::default()
            },
        }
    }
}

/// How large a deployment is, and how its daemons run.
#[derive(Clone, Debug, Default)]
pub struct DeploymentOptions {
    /// Daemons.
    pub daemons: usize,
    /// Engines; none takes the example's number.
    pub engines: Option<usize>,
    /// How daemons choose upstreams.
    pub routing: RoutingSettings,
    /// How often daemons look around.
    pub intervals: IntervalPreset,
    /// The runtime on which daemons run; none takes that of the stand-ins.
    pub runtime: Option<Handle>,
}

/// The upstreams by instance.
pub type UpstreamsByInstance = Arc<Mutex<BTreeMap<Instance, UpstreamStandin>>>;

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
    pub platform: CloudStandin,
    /// The weight store.
    pub weights: WeightsStandin,
    /// The daemons.
    pub daemons: Vec<Daemon<LiveContext>>,
    fleet: UpstreamsByInstance,
    /// Every upstream ever launched, so that what a stopped one ran is still known.
    launched: UpstreamsByInstance,
    /// The newest revision published here.
    published: Mutex<Revision>,
    routing: RoutingSettings,
    intervals: IntervalPreset,
    runtime: Option<Handle>,
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
        Self::start_with(
            example,
            DeploymentOptions { daemons, ..DeploymentOptions::default() },
            timing,
        )
        .await
    }

    /// Starts a deployment of another size than the example's.
    ///
    /// # Errors
    ///
    /// As [`Deployment::start`].
    pub async fn start_with(
        example: Example,
        options: DeploymentOptions,
        timing: EngineModel,
    ) -> eyre::Result<Self> {
        let configuration = example.configuration()?;
        let log = LogStandin::start().await?;
        let (platform, events) = CloudStandin::start().await?;
        let weights = WeightsStandin::start(WEIGHT_READ_INTERVAL, Size::from_mib(1_024)).await?;
        platform.set_offers(example.offers()?);
        let published = Mutex::new(publish(&log, &configuration)?);
        let (fleet, launched) = (UpstreamsByInstance::default(), UpstreamsByInstance::default());
        let launcher = Launcher {
            platform: platform.clone(),
            pools: configuration.pools.clone(),
            fleet: Arc::clone(&fleet),
            launched: Arc::clone(&launched),
            timing,
        };
        launcher.start_all(example, options.engines).await?;
        tokio::spawn(launcher.run(events));
        let mut deployment = Self {
            example,
            configuration,
            log,
            platform,
            weights,
            daemons: Vec::new(),
            fleet,
            launched,
            published,
            routing: options.routing,
            intervals: options.intervals,
            runtime: options.runtime,
        };
        for index in 0..options.daemons {
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
        let starting = Daemon::start(context, settings);
        let daemon = match &self.runtime {
            Some(runtime) => runtime.spawn(starting).await??,
            None => starting.await?,
        };
        self.daemons.push(daemon);
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
        let identity = IdentitySettings {
            instance: Instance::try_from(format!("entry-{}", index + 1))?,
            data_centre: DataCentre::try_from(data_centres[index % data_centres.len()])?,
            region: Region::try_from(self.example.region())?,
            class: MachineClass::try_from(CLASS)?,
        };
        let platform = PlatformSettings {
            log: self.log.address(),
            instances: self.platform.list_address(),
            cloud: self.platform.cloud_address(),
            weights: self.weights.address(),
        };
        Ok(Settings {
            caller: CallerSettings { listen: free_port, ..CallerSettings::default() },
            peer: self.intervals.peer(free_port),
            routing: self.routing.clone(),
            drain: DrainSettings { linger: Span::from_millis(400) },
            planner: PlannerSettings { interval: Span::from_millis(200) },
            operator: OperatorSettings {
                listen: Some(free_port),
                keys: BTreeMap::from([(
                    Operator::try_from(DEMO_OPERATOR)?,
                    BTreeSet::from([KeyHash::of(DEMO_OPERATOR_KEY)]),
                )]),
                report_interval: Span::from_millis(500),
            },
            ..Settings::new(identity, platform)
        })
    }

    /// The upstreams of a pool that run.
    pub fn upstreams(&self, pool: &str) -> Vec<(Instance, UpstreamStandin)> {
        let entries = self.platform.entries();
        let in_pool = |instance: &Instance| {
            entries.iter().any(|entry| {
                entry.instance == *instance
                    && matches!(&entry.kind, Workload::Upstream { pool: name } if name.as_str() == pool)
            })
        };
        let fleet = lock(&self.fleet);
        fleet
            .iter()
            .filter(|(id, _)| in_pool(id))
            .map(|(id, up)| (id.clone(), up.clone()))
            .collect()
    }

    /// Every upstream that runs.
    pub fn all_upstreams(&self) -> Vec<(Instance, UpstreamStandin)> {
        lock(&self.fleet).iter().map(|(id, upstream)| (id.clone(), upstream.clone())).collect()
    }

    /// Every upstream of a data centre that runs.
    pub fn upstreams_in(&self, data_centre: &DataCentre) -> Vec<(Instance, UpstreamStandin)> {
        let entries = self.platform.entries();
        let here = |id: &Instance| {
            entries.iter().any(|entry| entry.instance == *id && entry.data_centre == *data_centre)
        };
        self.all_upstreams().into_iter().filter(|(id, _)| here(id)).collect()
    }

    /// Every upstream ever launched, stopped ones included.
    pub fn launched(&self) -> Vec<(Instance, UpstreamStandin)> {
        lock(&self.launched).iter().map(|(id, upstream)| (id.clone(), upstream.clone())).collect()
    }

    /// Starts as many upstreams in a data centre as the example places there.
    ///
    /// # Errors
    ///
    /// The cloud does not start one.
    pub async fn refill(&self, data_centre: usize) -> eyre::Result<()> {
        let cloud = HttpCloud::new(self.platform.cloud_address());
        let data_centres = self.example.data_centres();
        let started = self.platform.running().len();
        for (pool, count) in self.example.upstreams() {
            let here = (0..count).filter(|index| index % data_centres.len() == data_centre);
            for index in here {
                let start = StartRequest {
                    token: ClientToken::try_from(format!("refill-{started}-{pool}-{index}"))?,
                    data_centre: DataCentre::try_from(data_centres[data_centre])?,
                    class: MachineClass::try_from(CLASS)?,
                    market: Market::Reclaimable,
                    pool: Pool::try_from(pool)?,
                };
                cloud.start(&start).await?;
            }
        }
        Ok(())
    }

    /// Sets what an instance costs an hour in each data centre, in both markets.
    pub fn set_prices(&self, prices: &BTreeMap<DataCentre, Money>) {
        let Ok(class) = MachineClass::try_from(CLASS) else {
            return;
        };
        let offers = prices.iter().flat_map(|(data_centre, price)| {
            [Market::Reclaimable, Market::OnDemand].map(|market| Offer {
                data_centre: data_centre.clone(),
                class: class.clone(),
                market,
                hourly_price: *price,
                available: None,
            })
        });
        self.platform.set_offers(offers.collect());
    }

    /// Publishes a change of a team's weight, and returns the revision that it makes.
    ///
    /// # Errors
    ///
    /// A name is not valid.
    pub fn publish_weight(&self, team: &Team, weight: u32) -> eyre::Result<Revision> {
        let spec = self.configuration.teams.get(team).cloned().unwrap_or_default();
        let change = Change::PutTeam { team: team.clone(), spec: TeamSpec { weight, ..spec } };
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        *published = append(&self.log, *published, change)?;
        Ok(*published)
    }

    /// The names of the submissions that the plain services ran, each as often as it ran.
    pub fn submissions(&self) -> Vec<String> {
        let calls = |upstream: &UpstreamStandin| match upstream {
            UpstreamStandin::Service(service) => service.calls(),
            UpstreamStandin::Engine(_) => Vec::new(),
        };
        let calls: Vec<_> = lock(&self.launched).values().flat_map(calls).collect();
        crate::load::submission_names(&calls)
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let revision = *self.published.lock().unwrap_or_else(PoisonError::into_inner);
        let ready = async {
            for daemon in &self.daemons {
                let mut config = daemon.shared().config.clone();
                config.wait_for(|config| config.revision >= revision).await?;
                let mut members = daemon.shared().members.clone();
                let met = |members: &Arc<Vec<Member>>| {
                    let heard = members.iter().filter(|member| {
                        member.incarnation.is_some() && member.status == MemberStatus::Live
                    });
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

fn publish(log: &LogStandin, configuration: &Configuration) -> eyre::Result<Revision> {
    let mut changes = configuration.clone().into_changes().into_iter();
    changes.try_fold(Revision(0), |base, change| append(log, base, change))
}

fn append(log: &LogStandin, base: Revision, change: Change) -> eyre::Result<Revision> {
    let record = ConfigRecord::Change {
        base,
        operator: Operator::try_from("demo")?,
        at: UtcInstant::default(),
        nonce: base.0,
        change: Box::new(change),
    };
    Ok(Revision(log.append(CONFIG_STREAM, to_raw_value(&record)?).0))
}

fn lock(fleet: &UpstreamsByInstance) -> MutexGuard<'_, BTreeMap<Instance, UpstreamStandin>> {
    fleet.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs upstreams as the cloud starts and stops their instances.
struct Launcher {
    platform: CloudStandin,
    pools: BTreeMap<Pool, PoolSpec>,
    fleet: UpstreamsByInstance,
    launched: UpstreamsByInstance,
    timing: EngineModel,
}

impl Launcher {
    async fn start_all(&self, example: Example, engines: Option<usize>) -> eyre::Result<()> {
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
                    class: MachineClass::try_from(CLASS)?,
                    market: Market::Reclaimable,
                };
                self.launch(instance, kind).await?;
            }
        }
        Ok(())
    }

    async fn launch(&self, instance: Instance, kind: InstanceKind) -> eyre::Result<()> {
        let InstanceKind { pool, data_centre, class, market } = kind;
        let spec = self.pools.get(&pool).ok_or_else(|| eyre!("no pool {pool}"))?;
        let upstream = UpstreamStandin::start(spec, self.timing).await?;
        let entry = InstanceEntry {
            instance: instance.clone(),
            data_centre,
            class,
            market,
            address: upstream.address(),
            kind: Workload::Upstream { pool },
            state: State::Live,
        };
        lock(&self.launched).insert(instance.clone(), upstream.clone());
        lock(&self.fleet).insert(instance, upstream);
        self.platform.put(entry);
        Ok(())
    }

    async fn run(self, mut events: mpsc::UnboundedReceiver<InstanceEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                InstanceEvent::Stopped(instance) => {
                    if let Some(upstream) = lock(&self.fleet).remove(&instance) {
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
