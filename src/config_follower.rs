//! Follows the log stream of the configuration and passes each new revision to the other tasks.
//!
//! Peers also send what they have read, so that a daemon stays current during an outage of the log
//! or when its own reads are slow. Without updates the newest known revision stays in force.

use crate::context::Context;
use crate::freshness::ContactState;
use spindle_log::{Batch, Log, ReadError};
use spindle_policy::config_state::{ApplyOutcome, ConfigState, SyncStatus};
use spindle_policy::config_update::ConfigUpdate;
use spindle_policy::freshness::FRESH_MAX_AGE;
use spindle_policy::membership::LogAccess;
use spindle_types::{Clock, ConfigRecord, Configuration, MonotonicInstant, Offset, StreamName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// The name of the log stream that holds operators' changes and checkpoints of the configuration.
pub const CONFIG_STREAM: &str = "configuration";

/// The long-poll timeout: how long a read waits for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How often a daemon that doesn't read the log checks whether it may still rely on its peers.
const RELIANCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The capacity of the queue of updates to the follower's task.
const UPDATE_QUEUE_CAPACITY: usize = 64;

/// The configuration in force at this daemon.
pub type ConfigWatch = watch::Receiver<Arc<Configuration>>;

/// What this daemon has read of the configuration stream.
#[derive(Clone, Debug, Default)]
pub struct FollowedConfig {
    /// The configuration and the position in the stream that the records read so far lead to.
    pub state: ConfigState,
    /// When the newest checkpoint appended since this daemon caught up was read, and its offset.
    pub checkpoint: Option<(MonotonicInstant, Offset)>,
}

/// A handle to the task that follows the stream.
#[derive(Clone, Debug)]
pub struct ConfigFollower {
    /// The configuration in force.
    pub config: ConfigWatch,
    /// What has been read of the stream.
    pub followed: watch::Receiver<Arc<FollowedConfig>>,
    /// When this daemon was last in contact with the log and with peers.
    pub contacts: ContactState,
    updates: mpsc::Sender<ConfigUpdate>,
    log_access: Arc<watch::Sender<LogAccess>>,
}

impl ConfigFollower {
    /// Sets whether this daemon reads the log itself.
    pub fn set_log_access(&self, access: LogAccess) {
        self.log_access.send_if_modified(|old| std::mem::replace(old, access) != access);
    }

    /// Whether this daemon reads the log itself.
    pub fn log_access(&self) -> watch::Receiver<LogAccess> {
        self.log_access.subscribe()
    }

    /// Sends the task an update that another reader of the stream has derived.
    pub async fn send_update(&self, update: ConfigUpdate) {
        // An error means that the task has ended, so there is no state to update.
        let _ = self.updates.send(update).await;
    }
}

/// Starts the task that follows the stream.
pub fn start<C: Context>(context: C) -> (ConfigFollower, JoinHandle<()>) {
    let (config_sender, config) = watch::channel(Arc::default());
    let (followed_sender, followed) = watch::channel(Arc::default());
    let (updates, receiver) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
    let contacts = ContactState::default();
    let log_access = Arc::new(watch::Sender::new(LogAccess::Direct));
    let access_watch = log_access.subscribe();
    let follower =
        ConfigFollower { config, followed, contacts: contacts.clone(), updates, log_access };
    let task = Task {
        context,
        contacts,
        followed: FollowedConfig::default(),
        caught_up: false,
        log_access: access_watch,
        config_sender,
        followed_sender,
    };
    (follower, tokio::spawn(task.run(receiver)))
}

/// Converts a stream name from the source code, which must be valid.
pub fn stream_name(name: &'static str) -> StreamName {
    StreamName::try_from(name).expect("stream names in the program are valid")
}

struct Task<C> {
    context: C,
    contacts: ContactState,
    followed: FollowedConfig,
    /// Whether the end of the stream has been reached at least once.
    caught_up: bool,
    log_access: watch::Receiver<LogAccess>,
    config_sender: watch::Sender<Arc<Configuration>>,
    followed_sender: watch::Sender<Arc<FollowedConfig>>,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut updates: mpsc::Receiver<ConfigUpdate>) {
        let stream = stream_name(CONFIG_STREAM);
        while !self.config_sender.is_closed() {
            let context = self.context.clone();
            let next = self.followed.state.next();
            let relies = self.relies_on_peers();
            tokio::select! {
                Some(update) = updates.recv() => self.on_update(update),
                sent = read(&context, &stream, next), if !relies => self.on_read(sent),
                () = tokio::time::sleep(RELIANCE_CHECK_INTERVAL), if relies => {}
            }
        }
    }

    /// Whether this daemon learns the configuration from peers and doesn't need to read the log.
    fn relies_on_peers(&self) -> bool {
        let known = self.contacts.age(&self.context).is_some_and(|age| age <= FRESH_MAX_AGE);
        *self.log_access.borrow() == LogAccess::ViaPeers && known && self.caught_up
    }

    fn on_read(&mut self, (sent, batch): ReadResult) {
        let batch = match batch {
            Ok(batch) => batch,
            Err(error) => {
                log::warn!("event=config_read_failed error={error:?}");
                return;
            }
        };
        let old_status = self.followed.state.sync_status();
        self.followed.state.on_oldest(batch.oldest);
        for record in batch.records {
            self.on_record(sent, record.offset, record.body.get());
        }
        let status = self.followed.state.sync_status();
        if old_status != status {
            log::warn!("event=config_standing standing={status} oldest={}", batch.oldest);
        }
        let at_end = self.followed.state.next() >= batch.end;
        self.caught_up |= at_end;
        if status == SyncStatus::Current && at_end {
            self.contacts.on_log(sent);
        }
        self.publish();
    }

    fn on_record(&mut self, sent: MonotonicInstant, offset: Offset, body: &str) {
        let record: ConfigRecord = match serde_json::from_str(body) {
            Ok(record) => record,
            Err(error) => {
                log::warn!("event=config_record_invalid offset={offset} error={error:?}");
                self.followed.state.skip(offset);
                return;
            }
        };
        if matches!(record, ConfigRecord::Checkpoint { .. }) && self.caught_up {
            self.followed.checkpoint = Some((sent, offset));
        }
        let outcome = self.followed.state.on_record(offset, record);
        log_outcome(offset, &outcome);
    }

    fn on_update(&mut self, update: ConfigUpdate) {
        let outcome = self.followed.state.on_update(update);
        log_outcome(self.followed.state.covers(), &outcome);
        self.publish();
    }

    fn publish(&self) {
        let state = self.followed.state.configuration();
        self.followed_sender.send_replace(Arc::new(self.followed.clone()));
        self.config_sender.send_if_modified(|config| {
            let newer = state.revision > config.revision;
            if newer {
                *config = Arc::clone(state);
            }
            newer
        });
    }
}

/// The instant before a read was sent, and its result.
type ReadResult = (MonotonicInstant, Result<Batch, ReadError>);

/// Reads once. Returns the instant before the read was sent rather than the one of the answer, so
/// that a pause of this process in between doesn't make the configuration seem fresher than it is.
async fn read<C: Context>(context: &C, stream: &StreamName, from: Offset) -> ReadResult {
    let sent = context.clock().now();
    let batch = context.log().read(stream, from, READ_WAIT).await;
    if batch.is_err() {
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
    (sent, batch)
}

fn log_outcome(offset: Offset, outcome: &ApplyOutcome) {
    match outcome {
        ApplyOutcome::Applied { revision } | ApplyOutcome::Restored { revision } => {
            log::info!("event=config_in_force revision={revision}");
        }
        ApplyOutcome::Conflict { winner } => {
            log::info!("event=config_conflict offset={offset} winner={winner}");
        }
        ApplyOutcome::Rejected { problems } => {
            log::info!("event=config_rejected offset={offset} problems={:?}", problems.to_string());
        }
        ApplyOutcome::Deferred | ApplyOutcome::Ignored => {}
    }
}

#[cfg(test)]
pub(crate) mod tests;
