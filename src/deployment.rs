//! A complete deployment in one process: daemons, and stand-ins of the platform and the upstreams.

use crate::config_follower::CONFIG_STREAM;
use crate::context::LiveContext;
use crate::daemon::Daemon;
use crate::launcher::{
    Launcher, MACHINE_CLASS, UpstreamStandin, UpstreamsByInstance, lock_upstreams,
};
use crate::settings::{
    CallerSettings, DrainSettings, IdentitySettings, OperatorSettings, PeerSettings,
    PlannerSettings, PlatformSettings, RoutingSettings, Settings, check_document,
};
use clap::ValueEnum;
use eyre::WrapErr;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::value::to_raw_value;
use spindle_cloud::{Cloud, HttpCloud, Offer, StartRequest};
use spindle_instances::Workload;
use spindle_policy::membership::{Member, MemberStatus};
use spindle_standin::EngineModel;
use spindle_standin::{CloudStandin, LogStandin, WeightsStandin};
use spindle_types::config::{Change, KeyHash, Market, TeamSpec};
use spindle_types::{
    ClientToken, ConfigRecord, Configuration, DataCentre, Instance, MachineClass, Money, Operator,
    Pool, Region, Revision, Size, Span, Team, UtcInstant,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use strum::Display;
use tokio::runtime::Handle;

/// The interval at which the weight store stand-in grants reads.
const WEIGHT_READ_INTERVAL: Duration = Duration::from_millis(200);

/// The name of the only operator who has a key.
pub const DEMO_OPERATOR: &str = "ana";

/// The API key of [`DEMO_OPERATOR`].
pub const DEMO_OPERATOR_KEY: &str = "ana-key";

/// How long a deployment may take until all daemons are ready.
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
    /// Parses the initial shared configuration.
    ///
    /// # Errors
    ///
    /// The example document is invalid.
    pub fn configuration(self) -> eyre::Result<Configuration> {
        let text = match self {
            Self::Vendimia => include_str!("../examples/vendimia/configuration.yaml"),
            Self::Kanem => include_str!("../examples/kanem/configuration.yaml"),
        };
        Ok(check_document(text)?)
    }

    /// Parses the offers of the cloud stand-in.
    ///
    /// # Errors
    ///
    /// The example document is invalid.
    pub fn offers(self) -> eyre::Result<Vec<Offer>> {
        let text = match self {
            Self::Vendimia => include_str!("../examples/vendimia/offers.yaml"),
            Self::Kanem => include_str!("../examples/kanem/offers.yaml"),
        };
        Ok(serde_norway::from_str(text)?)
    }

    /// The operators' intent document, in YAML.
    pub const fn intent(self) -> &'static str {
        match self {
            Self::Vendimia => include_str!("../examples/vendimia/intent.yaml"),
            Self::Kanem => include_str!("../examples/kanem/intent.yaml"),
        }
    }

    /// The name of the region that holds all data centres.
    pub const fn region(self) -> &'static str {
        match self {
            Self::Vendimia => "cr-central",
            Self::Kanem => "ng-north",
        }
    }

    /// The names of the data centres.
    pub const fn data_centres(self) -> [&'static str; 4] {
        match self {
            Self::Vendimia => ["heredia-a", "heredia-b", "alajuela-a", "cartago-a"],
            Self::Kanem => ["kano-a", "kano-b", "kaduna-a", "abuja-a"],
        }
    }

    /// The names of the pools, each with its number of upstreams.
    pub const fn upstreams(self) -> [(&'static str, usize); 2] {
        match self {
            Self::Vendimia => [("sommelier-llm", 12), ("booking-desk", 4)],
            Self::Kanem => [("spindle-pool", 18), ("returns-app", 4)],
        }
    }
}

/// The intervals of the daemons' periodic tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum IntervalPreset {
    /// Shorter intervals than the defaults, which shortens tests.
    #[default]
    Short,
    /// The settings' default intervals.
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

/// The size of a deployment and options of its daemons.
#[derive(Clone, Debug, Default)]
pub struct DeploymentOptions {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of engines; `None` uses the example's number.
    pub engines: Option<usize>,
    /// The routing settings of all daemons.
    pub routing: RoutingSettings,
    /// The intervals of the daemons' periodic tasks.
    pub intervals: IntervalPreset,
    /// The runtime on which daemons run; `None` uses the current runtime, as the stand-ins do.
    pub runtime: Option<Handle>,
}

/// A running deployment. Dropping it stops everything immediately, without draining.
#[derive(Debug)]
pub struct Deployment {
    /// The example that the deployment runs.
    pub example: Example,
    /// The initial configuration. Changes published later aren't reflected here.
    pub configuration: Configuration,
    /// The stand-in of the log service.
    pub log: LogStandin,
    /// The stand-in of the instance list and the cloud API.
    pub platform: CloudStandin,
    /// The stand-in of the weight store.
    pub weights: WeightsStandin,
    /// The running daemons.
    pub daemons: Vec<Daemon<LiveContext>>,
    running: UpstreamsByInstance,
    /// Every upstream ever launched, so that the records of stopped ones remain available.
    launched: UpstreamsByInstance,
    /// The latest configuration revision that this deployment published.
    published: Mutex<Revision>,
    routing: RoutingSettings,
    intervals: IntervalPreset,
    runtime: Option<Handle>,
}

impl Deployment {
    /// Starts the stand-ins and daemons on loopback ports, and waits until each daemon has the
    /// configuration and sees all daemons as live.
    ///
    /// # Errors
    ///
    /// A port can't be bound, or the deployment does not get ready in time.
    pub async fn start(
        example: Example,
        daemons: usize,
        engine_model: EngineModel,
    ) -> eyre::Result<Self> {
        Self::start_with(
            example,
            DeploymentOptions { daemons, ..DeploymentOptions::default() },
            engine_model,
        )
        .await
    }

    /// Starts a deployment with options other than the defaults.
    ///
    /// # Errors
    ///
    /// As [`Deployment::start`].
    pub async fn start_with(
        example: Example,
        options: DeploymentOptions,
        engine_model: EngineModel,
    ) -> eyre::Result<Self> {
        let configuration = example.configuration()?;
        let log = LogStandin::start().await?;
        let (platform, events) = CloudStandin::start().await?;
        let weights = WeightsStandin::start(WEIGHT_READ_INTERVAL, Size::from_mib(1_024)).await?;
        platform.set_offers(example.offers()?);
        let published = Mutex::new(publish_configuration(&log, &configuration)?);
        let (running, launched) = (UpstreamsByInstance::default(), UpstreamsByInstance::default());
        let launcher = Launcher {
            platform: platform.clone(),
            pools: configuration.pools.clone(),
            running: Arc::clone(&running),
            launched: Arc::clone(&launched),
            engine_model,
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
            running,
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

    /// Starts another daemon. The index determines its instance name and data centre.
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

    /// Returns the settings of the daemon with an index.
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
            class: MachineClass::try_from(MACHINE_CLASS)?,
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

    /// Returns the running upstreams of a pool.
    pub fn upstreams(&self, pool: &str) -> Vec<(Instance, UpstreamStandin)> {
        let entries = self.platform.entries();
        let in_pool = |instance: &Instance| {
            entries.iter().any(|entry| {
                entry.instance == *instance
                    && matches!(&entry.kind, Workload::Upstream { pool: name } if name.as_str() == pool)
            })
        };
        let running = lock_upstreams(&self.running);
        running
            .iter()
            .filter(|(id, _)| in_pool(id))
            .map(|(id, upstream)| (id.clone(), upstream.clone()))
            .collect()
    }

    /// Returns all running upstreams.
    pub fn all_upstreams(&self) -> Vec<(Instance, UpstreamStandin)> {
        lock_upstreams(&self.running)
            .iter()
            .map(|(id, upstream)| (id.clone(), upstream.clone()))
            .collect()
    }

    /// Returns the running upstreams of a data centre.
    pub fn upstreams_in(&self, data_centre: &DataCentre) -> Vec<(Instance, UpstreamStandin)> {
        let entries = self.platform.entries();
        let in_data_centre = |id: &Instance| {
            entries.iter().any(|entry| entry.instance == *id && entry.data_centre == *data_centre)
        };
        self.all_upstreams().into_iter().filter(|(id, _)| in_data_centre(id)).collect()
    }

    /// Returns every upstream ever launched, including stopped ones.
    pub fn launched(&self) -> Vec<(Instance, UpstreamStandin)> {
        lock_upstreams(&self.launched)
            .iter()
            .map(|(id, upstream)| (id.clone(), upstream.clone()))
            .collect()
    }

    /// Starts as many new upstreams in a data centre as the example initially has there.
    ///
    /// # Errors
    ///
    /// The cloud stand-in rejects a start request.
    pub async fn refill(&self, data_centre: usize) -> eyre::Result<()> {
        let cloud = HttpCloud::new(self.platform.cloud_address());
        let data_centres = self.example.data_centres();
        let started = self.platform.running().len();
        for (pool, count) in self.example.upstreams() {
            let in_data_centre =
                (0..count).filter(|index| index % data_centres.len() == data_centre);
            for index in in_data_centre {
                let start = StartRequest {
                    token: ClientToken::try_from(format!("refill-{started}-{pool}-{index}"))?,
                    data_centre: DataCentre::try_from(data_centres[data_centre])?,
                    class: MachineClass::try_from(MACHINE_CLASS)?,
                    market: Market::Reclaimable,
                    pool: Pool::try_from(pool)?,
                };
                cloud.start(&start).await?;
            }
        }
        Ok(())
    }

    /// Sets the hourly instance price of each data centre, for both markets.
    pub fn set_prices(&self, prices: &BTreeMap<DataCentre, Money>) {
        let Ok(class) = MachineClass::try_from(MACHINE_CLASS) else {
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

    /// Publishes a change of a team's weight and returns the new revision.
    ///
    /// # Errors
    ///
    /// A name is not valid.
    pub fn publish_weight(&self, team: &Team, weight: u32) -> eyre::Result<Revision> {
        let spec = self.configuration.teams.get(team).cloned().unwrap_or_default();
        let change = Change::PutTeam { team: team.clone(), spec: TeamSpec { weight, ..spec } };
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        *published = append_change(&self.log, *published, change)?;
        Ok(*published)
    }

    /// Returns the names of the submissions that plain services executed, repeated for each
    /// execution.
    pub fn submissions(&self) -> Vec<String> {
        let calls = |upstream: &UpstreamStandin| match upstream {
            UpstreamStandin::Service(service) => service.calls(),
            UpstreamStandin::Engine(_) => Vec::new(),
        };
        let calls: Vec<_> = lock_upstreams(&self.launched).values().flat_map(calls).collect();
        crate::load::submission_names(&calls)
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let revision = *self.published.lock().unwrap_or_else(PoisonError::into_inner);
        let ready = async {
            for daemon in &self.daemons {
                let mut config = daemon.shared().config.clone();
                config.wait_for(|config| config.revision >= revision).await?;
                let mut members = daemon.shared().members.clone();
                let all_members_live = |members: &Arc<Vec<Member>>| {
                    let live = members.iter().filter(|member| {
                        member.incarnation.is_some() && member.status == MemberStatus::Live
                    });
                    live.count() >= self.daemons.len()
                };
                members.wait_for(all_members_live).await?;
            }
            Ok::<_, tokio::sync::watch::error::RecvError>(())
        };
        let ready = tokio::time::timeout(READY_TIMEOUT, ready).await;
        Ok(ready.wrap_err("the deployment did not become ready in time")??)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        lock_upstreams(&self.running).values().for_each(UpstreamStandin::kill);
    }
}

fn publish_configuration(
    log: &LogStandin,
    configuration: &Configuration,
) -> eyre::Result<Revision> {
    let mut changes = configuration.clone().into_changes().into_iter();
    changes.try_fold(Revision(0), |base, change| append_change(log, base, change))
}

fn append_change(log: &LogStandin, base: Revision, change: Change) -> eyre::Result<Revision> {
    let record = ConfigRecord::Change {
        base,
        operator: Operator::try_from("demo")?,
        at: UtcInstant::default(),
        nonce: base.0,
        change: Box::new(change),
    };
    Ok(Revision(log.append(CONFIG_STREAM, to_raw_value(&record)?).0))
}
