//! Checks that the configuration revision in force at a daemon never decreases.

use crate::config_follower::ConfigWatch;
use crate::deployment::Deployment;
use serde::Serialize;
use spindle_types::Revision;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;

/// The interval at which all daemons are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts of checks of configuration revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RevisionChecks {
    /// How often a daemon's revision was read.
    pub looks: u64,
    /// Reads that returned a lower revision than an earlier read of the same daemon.
    pub reverts: u64,
}

/// The configuration watches of daemons, by daemon incarnation.
pub(super) type WatchedConfigs = Arc<Mutex<HashMap<u64, ConfigWatch>>>;

/// Polls all daemons until [`RevisionMonitor::finish`] is called.
#[derive(Debug)]
pub(super) struct RevisionMonitor {
    configs: WatchedConfigs,
    checks: Arc<Mutex<RevisionChecks>>,
    task: JoinHandle<()>,
}

impl RevisionMonitor {
    /// Starts polling the daemons of a deployment.
    pub(super) fn start(deployment: &Deployment) -> Self {
        let configs = WatchedConfigs::default();
        for daemon in &deployment.daemons {
            watch(&configs, daemon.shared().incarnation.0, daemon.shared().config.clone());
        }
        let checks = Arc::new(Mutex::new(RevisionChecks::default()));
        let task = tokio::spawn(poll(Arc::clone(&configs), Arc::clone(&checks)));
        Self { configs, checks, task }
    }

    /// Returns the shared map, to which daemons that start later are added with [`watch`].
    pub(super) fn configs(&self) -> WatchedConfigs {
        Arc::clone(&self.configs)
    }

    /// Stops polling and returns the counts.
    pub(super) fn finish(self) -> RevisionChecks {
        self.task.abort();
        *self.checks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds a daemon to the polled daemons.
pub(super) fn watch(configs: &WatchedConfigs, incarnation: u64, config: ConfigWatch) {
    configs.lock().unwrap_or_else(PoisonError::into_inner).insert(incarnation, config);
}

async fn poll(configs: WatchedConfigs, checks: Arc<Mutex<RevisionChecks>>) {
    let mut highest: HashMap<u64, Revision> = HashMap::new();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let configs = configs.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut checks = checks.lock().unwrap_or_else(PoisonError::into_inner);
        for (incarnation, config) in configs {
            let revision = config.borrow().revision;
            let highest = highest.entry(incarnation).or_default();
            checks.looks += 1;
            checks.reverts += u64::from(revision < *highest);
            *highest = revision.max(*highest);
        }
    }
}
