//! Injects the faults of an experiment at their scheduled times.

use super::Prices;
use super::monitor::{WatchedConfigs, watch};
use crate::deployment::Deployment;
use crate::launcher::UpstreamStandin;
use crate::settings::{Fault, FaultSettings};
use serde::Serialize;
use spindle_standin::Faults;
use spindle_types::{DataCentre, Instance, Revision, Team};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// How long after a reclaim notice an upstream may still receive new work.
const DRAIN_REACTION_LIMIT: Duration = Duration::from_secs(2);

/// How long a configuration change may take until it is in force at every daemon.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(16);

/// The interval at which the daemons' configuration revisions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The maximum team weight in published changes. Weights cycle from 1 to this value.
const WEIGHT_MAX: u32 = 8;

/// The index of the first replacement daemon, above the indices of the original daemons.
const FIRST_REPLACEMENT_INDEX: usize = 100;

/// Counts of injected faults and of their immediate effects.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FaultCounts {
    /// Upstreams reclaimed with notice.
    pub reclaims: u64,
    /// Generations and calls started at a reclaimed upstream too long after its notice.
    pub late_starts: u64,
    /// Reclaimed upstreams that were checked for late starts.
    pub observed: u64,
    /// Upstreams stopped without notice.
    pub losses: u64,
    /// Outages of the log and of the instance list.
    pub outages: u64,
    /// Daemons replaced by a planned stop.
    pub replacements: u64,
    /// Price changes.
    pub prices: u64,
    /// Configuration changes appended to the log.
    pub changes: u64,
    /// Changes that were not in force at every daemon within the limit.
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

    /// Sums the counts of several runs.
    pub fn sum<'a>(all: impl Iterator<Item = &'a Self>) -> Self {
        all.fold(Self::default(), |mut sum, caused| {
            sum.add(caused);
            sum
        })
    }
}

/// Injects faults into a running deployment.
#[derive(Clone, Debug)]
pub(super) struct FaultInjector {
    deployment: Arc<Mutex<Deployment>>,
    prices: Prices,
    watched: WatchedConfigs,
    faults: Vec<FaultSettings>,
    /// The index of the next daemon to start.
    next_daemon_index: Arc<AtomicUsize>,
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
            next_daemon_index: Arc::new(AtomicUsize::new(FIRST_REPLACEMENT_INDEX)),
        }
    }

    /// Injects all faults concurrently, each at its scheduled time, and waits until all have ended.
    ///
    /// # Errors
    ///
    /// A daemon does not start.
    pub(super) async fn inject_all(self) -> eyre::Result<FaultCounts> {
        let start = Instant::now();
        let injections = self.faults.clone().into_iter().map(|FaultSettings { at, fault }| {
            let mut injector = self.clone();
            async move {
                tokio::time::sleep_until(start + at.get()).await;
                injector.inject(fault).await
            }
        });
        let mut sum = FaultCounts::default();
        for caused in futures_util::future::join_all(injections).await {
            sum.add(&caused?);
        }
        Ok(sum)
    }

    async fn inject(&mut self, fault: Fault) -> eyre::Result<FaultCounts> {
        match fault {
            Fault::Reclaim { data_centre, notice } => {
                self.reclaim_upstreams(data_centre, notice.get()).await
            }
            Fault::Loss { data_centre } => self.fail_upstreams(data_centre).await,
            Fault::Refill { data_centre } => {
                self.deployment.lock().await.refill(data_centre).await?;
                Ok(FaultCounts::default())
            }
            Fault::LogOutage { lasting } => {
                let log = self.deployment.lock().await.log.clone();
                Ok(inject_outage(log.faults(), lasting.get()).await)
            }
            Fault::ListOutage { lasting } => {
                let platform = self.deployment.lock().await.platform.clone();
                Ok(inject_outage(platform.list_faults(), lasting.get()).await)
            }
            Fault::ReplaceDaemons => self.replace_daemons().await,
            Fault::Price { data_centre, price } => {
                let deployment = self.deployment.lock().await;
                let name = data_centre_name(&deployment, data_centre)?;
                self.prices.set(&name, price);
                self.prices.publish(&deployment);
                Ok(FaultCounts { prices: 1, ..FaultCounts::default() })
            }
            Fault::Changes { count, every } => self.publish_changes(count, every.get()).await,
        }
    }

    async fn upstreams(&self, index: usize) -> eyre::Result<Vec<(Instance, UpstreamStandin)>> {
        let deployment = self.deployment.lock().await;
        let name = data_centre_name(&deployment, index)?;
        Ok(deployment.upstreams_in(&name))
    }

    async fn reclaim_upstreams(
        &self,
        data_centre: usize,
        notice: Duration,
    ) -> eyre::Result<FaultCounts> {
        let upstreams = self.upstreams(data_centre).await?;
        let platform = self.deployment.lock().await.platform.clone();
        for (instance, _) in &upstreams {
            platform.reclaim(instance, notice);
        }
        let mut caused = FaultCounts { reclaims: upstreams.len() as u64, ..FaultCounts::default() };
        if notice > DRAIN_REACTION_LIMIT {
            tokio::time::sleep(DRAIN_REACTION_LIMIT).await;
            let before: Vec<u64> = upstreams.iter().map(|(_, up)| started_work(up)).collect();
            tokio::time::sleep(notice - DRAIN_REACTION_LIMIT).await;
            let after = upstreams.iter().map(|(_, up)| started_work(up));
            caused.late_starts = after.zip(before).map(|(after, before)| after - before).sum();
            caused.observed = upstreams.len() as u64;
        }
        Ok(caused)
    }

    async fn fail_upstreams(&self, data_centre: usize) -> eyre::Result<FaultCounts> {
        let upstreams = self.upstreams(data_centre).await?;
        let platform = self.deployment.lock().await.platform.clone();
        for (instance, _) in &upstreams {
            platform.fail(instance);
        }
        Ok(FaultCounts { losses: upstreams.len() as u64, ..FaultCounts::default() })
    }

    async fn replace_daemons(&self) -> eyre::Result<FaultCounts> {
        let count = self.deployment.lock().await.daemons.len();
        for _ in 0..count {
            let index = self.next_daemon_index.fetch_add(1, Ordering::Relaxed);
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

    async fn publish_changes(&self, count: u32, every: Duration) -> eyre::Result<FaultCounts> {
        let mut caused = FaultCounts::default();
        for number in 0..count {
            let published_at = Instant::now();
            let revision = self.publish(number).await?;
            caused.changes += 1;
            let in_force = self.wait_until_in_force(revision);
            match tokio::time::timeout(IN_FORCE_LIMIT, in_force).await {
                Ok(()) => {
                    let millis = published_at.elapsed().as_secs_f64() * 1e3;
                    caused.in_force_max = caused.in_force_max.max(millis);
                }
                Err(_) => caused.late_changes += 1,
            }
            tokio::time::sleep_until(published_at + every).await;
        }
        Ok(caused)
    }

    async fn publish(&self, number: u32) -> eyre::Result<Revision> {
        let deployment = self.deployment.lock().await;
        let teams: Vec<Team> = deployment.configuration.teams.keys().cloned().collect();
        let team = &teams[usize::try_from(number)? % teams.len()];
        deployment.publish_weight(team, number % WEIGHT_MAX + 1)
    }

    /// Waits until every running daemon has at least this configuration revision.
    async fn wait_until_in_force(&self, revision: Revision) {
        loop {
            let deployment = self.deployment.lock().await;
            let mut daemons = deployment.daemons.iter();
            if daemons.all(|daemon| daemon.shared().config.borrow().revision >= revision) {
                return;
            }
            drop(deployment);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn inject_outage(faults: &Faults, duration: Duration) -> FaultCounts {
    faults.set_down(true);
    tokio::time::sleep(duration).await;
    faults.set_down(false);
    FaultCounts { outages: 1, ..FaultCounts::default() }
}

fn data_centre_name(deployment: &Deployment, index: usize) -> eyre::Result<DataCentre> {
    Ok(DataCentre::try_from(deployment.example.data_centres()[index])?)
}

/// Returns how many generations or calls an upstream has started so far.
fn started_work(upstream: &UpstreamStandin) -> u64 {
    match upstream {
        UpstreamStandin::Engine(engine) => engine.counts().started,
        UpstreamStandin::Service(service) => service.calls().len() as u64,
    }
}
