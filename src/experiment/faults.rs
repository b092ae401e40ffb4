//! Causes the faults of an experiment at their times.

use super::Prices;
use super::monitor::{WatchedConfigs, watch};
use crate::deployment::{Deployment, UpstreamStandin};
use crate::settings::{Fault, FaultSettings};
use serde::Serialize;
use spindle_standin::Faults;
use spindle_types::{DataCentre, Instance, Revision, Team};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// The time after a notice within which an upstream may still get new work.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// The time within which a change must be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(16);

/// The time between two looks at the daemons' revisions.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// The highest weight that is published.
const WEIGHT_MAX: u32 = 8;

/// The index of the first daemon that replaces another.
const REPLACEMENTS_FROM: usize = 100;

/// What went wrong on purpose, and what was seen of it at once.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FaultCounts {
    /// Upstreams taken back after a notice.
    pub reclaims: u64,
    /// Generations and calls started at a leaving upstream later than the grace after its notice.
    pub late_starts: u64,
    /// Upstreams observed for late starts.
    pub observed: u64,
    /// Upstreams stopped without notice.
    pub losses: u64,
    /// Outages of the log and of the list.
    pub outages: u64,
    /// Daemons replaced as planned.
    pub replacements: u64,
    /// Prices changed.
    pub prices: u64,
    /// Configuration changes accepted by the log.
    pub changes: u64,
    /// Changes that were not in force at every daemon in time.
    pub late_changes: u64,
    /// The longest time until a change was in force at every daemon, in milliseconds.
    pub in_force_max: f64,
}

impl FaultCounts {
    fn add(&mut self, other: &Self) {
        self.reclaims += other.reclaims;
        self.late_starts += other.late_starts;
        self.observed += other.observed;
        self.losses += other.losses;
        self.outages += other.outages;
        self.replacements += other.replacements;
        self.prices += other.prices;
        self.changes += other.changes;
        self.late_changes += other.late_changes;
        self.in_force_max = self.in_force_max.max(other.in_force_max);
    }

    /// The sum over several runs.
    pub fn sum<'a>(all: impl Iterator<Item = &'a Self>) -> Self {
        all.fold(Self::default(), |mut sum, caused| {
            sum.add(caused);
            sum
        })
    }
}

/// Causes faults in a deployment.
#[derive(Clone, Debug)]
pub(super) struct FaultInjector {
    deployment: Arc<Mutex<Deployment>>,
    prices: Prices,
    watched: WatchedConfigs,
    faults: Vec<FaultSettings>,
    /// The index of the next daemon to start.
    next: Arc<AtomicUsize>,
}

impl FaultInjector {
    pub(super) fn new(
        deployment: Arc<Mutex<Deployment>>,
        prices: Prices,
        watched: WatchedConfigs,
        faults: &[FaultSettings],
    ) -> Self {
        Self {
            deployment,
            prices,
            watched,
            faults: faults.to_vec(),
            next: Arc::new(AtomicUsize::new(REPLACEMENTS_FROM)),
        }
    }

    /// Causes every fault at its time, side by side, and waits for the last one's end.
    ///
    /// # Errors
    ///
    /// A daemon does not start.
    pub(super) async fn play(self) -> eyre::Result<FaultCounts> {
        let start = Instant::now();
        let plays = self.faults.clone().into_iter().map(|FaultSettings { at, fault }| {
            let mut player = self.clone();
            async move {
                tokio::time::sleep_until(start + at.get()).await;
                player.cause(fault).await
            }
        });
        let mut sum = FaultCounts::default();
        for caused in futures_util::future::join_all(plays).await {
            sum.add(&caused?);
        }
        Ok(sum)
    }

    async fn cause(&mut self, fault: Fault) -> eyre::Result<FaultCounts> {
        match fault {
            Fault::Reclaim { data_centre, notice } => self.reclaim(data_centre, notice.get()).await,
            Fault::Loss { data_centre } => self.lose(data_centre).await,
            Fault::Refill { data_centre } => {
                self.deployment.lock().await.refill(data_centre).await?;
                Ok(FaultCounts::default())
            }
            Fault::LogOutage { lasting } => {
                let log = self.deployment.lock().await.log.clone();
                Ok(outage(log.faults(), lasting.get()).await)
            }
            Fault::ListOutage { lasting } => {
                let platform = self.deployment.lock().await.platform.clone();
                Ok(outage(platform.list_faults(), lasting.get()).await)
            }
            Fault::ReplaceDaemons => self.replace().await,
            Fault::Price { data_centre, price } => {
                let deployment = self.deployment.lock().await;
                let name = data_centre_name(&deployment, data_centre)?;
                self.prices.set(&name, price);
                self.prices.publish(&deployment);
                Ok(FaultCounts { prices: 1, ..FaultCounts::default() })
            }
            Fault::Changes { count, every } => self.change(count, every.get()).await,
        }
    }

    async fn upstreams(&self, index: usize) -> eyre::Result<Vec<(Instance, UpstreamStandin)>> {
        let deployment = self.deployment.lock().await;
        let name = data_centre_name(&deployment, index)?;
        Ok(deployment.upstreams_in(&name))
    }

    async fn reclaim(&self, data_centre: usize, notice: Duration) -> eyre::Result<FaultCounts> {
        let upstreams = self.upstreams(data_centre).await?;
        let platform = self.deployment.lock().await.platform.clone();
        for (instance, _) in &upstreams {
            platform.reclaim(instance, notice);
        }
        let mut caused = FaultCounts { reclaims: upstreams.len() as u64, ..FaultCounts::default() };
        if notice > LEAVING_GRACE {
            tokio::time::sleep(LEAVING_GRACE).await;
            let before: Vec<u64> = upstreams.iter().map(|(_, up)| starts(up)).collect();
            tokio::time::sleep(notice - LEAVING_GRACE).await;
            let after = upstreams.iter().map(|(_, up)| starts(up));
            caused.late_starts = after.zip(before).map(|(after, before)| after - before).sum();
            caused.observed = upstreams.len() as u64;
        }
        Ok(caused)
    }

    async fn lose(&self, data_centre: usize) -> eyre::Result<FaultCounts> {
        let upstreams = self.upstreams(data_centre).await?;
        let platform = self.deployment.lock().await.platform.clone();
        for (instance, _) in &upstreams {
            platform.fail(instance);
        }
        Ok(FaultCounts { losses: upstreams.len() as u64, ..FaultCounts::default() })
    }

    async fn replace(&self) -> eyre::Result<FaultCounts> {
        let count = self.deployment.lock().await.daemons.len();
        for _ in 0..count {
            let index = self.next.fetch_add(1, Ordering::Relaxed);
            let mut deployment = self.deployment.lock().await;
            deployment.start_daemon(index).await?;
            if let Some(daemon) = deployment.daemons.last() {
                let shared = daemon.shared();
                watch(&self.watched, shared.incarnation.0, shared.config.clone());
            }
            let old = deployment.daemons.remove(0);
            drop(deployment);
            old.stop().await;
        }
        Ok(FaultCounts { replacements: count as u64, ..FaultCounts::default() })
    }

    async fn change(&self, count: u32, every: Duration) -> eyre::Result<FaultCounts> {
        let mut caused = FaultCounts::default();
        for number in 0..count {
            let began = Instant::now();
            let revision = self.publish(number).await?;
            caused.changes += 1;
            let in_force = self.in_force(revision);
            match tokio::time::timeout(IN_FORCE_LIMIT, in_force).await {
                Ok(()) => {
                    let millis = began.elapsed().as_secs_f64() * 1e3;
                    caused.in_force_max = caused.in_force_max.max(millis);
                }
                Err(_) => caused.late_changes += 1,
            }
            tokio::time::sleep_until(began + every).await;
        }
        Ok(caused)
    }

    async fn publish(&self, number: u32) -> eyre::Result<Revision> {
        let deployment = self.deployment.lock().await;
        let teams: Vec<Team> = deployment.configuration.teams.keys().cloned().collect();
        let team = &teams[usize::try_from(number)? % teams.len()];
        deployment.publish_weight(team, number % WEIGHT_MAX + 1)
    }

    /// Waits until every daemon that takes work has a revision or a newer one.
    async fn in_force(&self, revision: Revision) {
        loop {
            let deployment = self.deployment.lock().await;
            let mut daemons = deployment.daemons.iter();
            if daemons.all(|daemon| daemon.shared().config.borrow().revision >= revision) {
                return;
            }
            drop(deployment);
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}

async fn outage(faults: &Faults, lasting: Duration) -> FaultCounts {
    faults.set_down(true);
    tokio::time::sleep(lasting).await;
    faults.set_down(false);
    FaultCounts { outages: 1, ..FaultCounts::default() }
}

fn data_centre_name(deployment: &Deployment, index: usize) -> eyre::Result<DataCentre> {
    Ok(DataCentre::try_from(deployment.example.data_centres()[index])?)
}

/// The generations or calls that an upstream has started.
fn starts(upstream: &UpstreamStandin) -> u64 {
    match upstream {
        UpstreamStandin::Engine(engine) => engine.counts().started,
        UpstreamStandin::Service(service) => service.calls().len() as u64,
    }
}
