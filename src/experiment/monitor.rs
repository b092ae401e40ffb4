//! Watches the configuration that daemons have in force, in search of a revision that goes back.

use crate::config_follower::ConfigWatch;
use crate::deployment::Deployment;
use serde::Serialize;
use spindle_types::Revision;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;

/// The time between two looks at all daemons.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What was seen of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RevisionChecks {
    /// Looks at a daemon's revision.
    pub looks: u64,
    /// Looks that found a lower revision than an earlier one at the same daemon.
    pub reverts: u64,
}

/// The configurations of daemons by incarnation.
pub(super) type WatchedConfigs = Arc<Mutex<HashMap<u64, ConfigWatch>>>;

/// Looks at all daemons until it is finished.
#[derive(Debug)]
pub(super) struct RevisionMonitor {
    watched: WatchedConfigs,
    seen: Arc<Mutex<RevisionChecks>>,
    task: JoinHandle<()>,
}

impl RevisionMonitor {
    /// Starts to watch the daemons of a deployment.
    pub(super) fn start(deployment: &Deployment) -> Self {
        let watched = WatchedConfigs::default();
        for daemon in &deployment.daemons {
            watch(&watched, daemon.shared().incarnation.0, daemon.shared().config.clone());
        }
        let seen = Arc::new(Mutex::new(RevisionChecks::default()));
        let task = tokio::spawn(look(Arc::clone(&watched), Arc::clone(&seen)));
        Self { watched, seen, task }
    }

    /// Where daemons that start later are added.
    pub(super) fn watched(&self) -> WatchedConfigs {
        Arc::clone(&self.watched)
    }

    /// Stops, and returns what was seen.
    pub(super) fn finish(self) -> RevisionChecks {
        self.task.abort();
        *self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds a daemon.
pub(super) fn watch(watched: &WatchedConfigs, incarnation: u64, config: ConfigWatch) {
    watched.lock().unwrap_or_else(PoisonError::into_inner).insert(incarnation, config);
}

async fn look(watched: WatchedConfigs, seen: Arc<Mutex<RevisionChecks>>) {
    let mut highest: HashMap<u64, Revision> = HashMap::new();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let watched = watched.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
        for (incarnation, config) in watched {
            let revision = config.borrow().revision;
            let highest = highest.entry(incarnation).or_default();
            seen.looks += 1;
            seen.reverts += u64::from(revision < *highest);
            *highest = revision.max(*highest);
        }
    }
}
