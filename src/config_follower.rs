//! Follows the operators' stream and publishes the configuration.
//!
//! Peers hand over what they have read, so that neither an outage of the log nor a slow reader
//! holds a daemon back. Without news the newest revision stays in force.

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

/// The stream that holds the configuration.
pub const CONFIG_STREAM: &str = "configuration";

/// How long a read waits for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The time between two looks whether the peers still tell what the log holds.
const RELY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Updates that may wait for the task.
const MAILBOX: usize = 64;

/// The configuration in force at this daemon.
pub type ConfigWatch = watch::Receiver<Arc<Configuration>>;

/// What this daemon has read of the operators' stream.
#[derive(Clone, Debug, Default)]
pub struct FollowedConfig {
    /// The fold of the records.
    pub fold: ConfigState,
    /// When a checkpoint was seen appended, and its offset.
    pub checkpoint: Option<(MonotonicInstant, Offset)>,
}

/// Talks to the task that follows the stream.
#[derive(Clone, Debug)]
pub struct ConfigFollower {
    /// The configuration in force.
    pub config: ConfigWatch,
    /// What has been read.
    pub followed: watch::Receiver<Arc<FollowedConfig>>,
    /// When the log and peers were last heard.
    pub contacts: ContactState,
    updates: mpsc::Sender<ConfigUpdate>,
    duty: Arc<watch::Sender<LogAccess>>,
}

impl ConfigFollower {
    /// Sets whether this daemon reads the log itself.
    pub fn set_duty(&self, duty: LogAccess) {
        self.duty.send_if_modified(|old| std::mem::replace(old, duty) != duty);
    }

    /// Whether this daemon reads the log itself.
    pub fn duty(&self) -> watch::Receiver<LogAccess> {
        self.duty.subscribe()
    }

    /// Hands over what another reader has folded.
    pub async fn update(&self, update: ConfigUpdate) {
        // Without the task there is nothing to bring forward.
        let _ = self.updates.send(update).await;
    }
}

/// Starts to follow the stream.
pub fn start<C: Context>(context: C) -> (ConfigFollower, JoinHandle<()>) {
    let (sender, config) = watch::channel(Arc::default());
    let (followed_sender, followed) = watch::channel(Arc::default());
    let (updates, receiver) = mpsc::channel(MAILBOX);
    let contacts = ContactState::default();
    let duty = Arc::new(watch::Sender::new(LogAccess::Direct));
    let duty_watch = duty.subscribe();
    let follower = ConfigFollower { config, followed, contacts: contacts.clone(), updates, duty };
    let task = Task {
        context,
        contacts,
        state: FollowedConfig::default(),
        caught_up: false,
        duty: duty_watch,
        sender,
        followed: followed_sender,
    };
    (follower, tokio::spawn(task.run(receiver)))
}

/// The name of a stream that is known to be valid.
pub fn stream_name(name: &'static str) -> StreamName {
    StreamName::try_from(name).expect("stream names in the program are valid")
}

struct Task<C> {
    context: C,
    contacts: ContactState,
    state: FollowedConfig,
    caught_up: bool,
    duty: watch::Receiver<LogAccess>,
    sender: watch::Sender<Arc<Configuration>>,
    followed: watch::Sender<Arc<FollowedConfig>>,
}

impl<C: Context> Task<C> {
    async fn run(mut self, mut updates: mpsc::Receiver<ConfigUpdate>) {
        let stream = stream_name(CONFIG_STREAM);
        while !self.sender.is_closed() {
            let context = self.context.clone();
            let next = self.state.fold.next();
            let relies = self.relies();
            tokio::select! {
                Some(update) = updates.recv() => self.on_update(update),
                sent = read(&context, &stream, next), if !relies => self.on_read(sent),
                () = tokio::time::sleep(RELY_CHECK_INTERVAL), if relies => {}
            }
        }
    }

    /// Whether peers tell what the log holds, so that it need not be read here.
    fn relies(&self) -> bool {
        let known = self.contacts.age(&self.context).is_some_and(|age| age <= FRESH_MAX_AGE);
        *self.duty.borrow() == LogAccess::ViaPeers && known && self.caught_up
    }

    fn on_read(&mut self, (sent, batch): Read) {
        let batch = match batch {
            Ok(batch) => batch,
            Err(error) => {
                log::warn!("event=config_read_failed error={error:?}");
                return;
            }
        };
        let standing = self.state.fold.sync_status();
        self.state.fold.on_oldest(batch.oldest);
        for record in batch.records {
            self.on_record(sent, record.offset, record.body.get());
        }
        let now_standing = self.state.fold.sync_status();
        if standing != now_standing {
            log::warn!("event=config_standing standing={now_standing} oldest={}", batch.oldest);
        }
        let at_end = self.state.fold.next() >= batch.end;
        self.caught_up |= at_end;
        if now_standing == SyncStatus::Current && at_end {
            self.contacts.on_log(sent);
        }
        self.publish();
    }

    fn on_record(&mut self, sent: MonotonicInstant, offset: Offset, body: &str) {
        let record: ConfigRecord = match serde_json::from_str(body) {
            Ok(record) => record,
            Err(error) => {
                log::warn!("event=config_record_invalid offset={offset} error={error:?}");
                self.state.fold.skip(offset);
                return;
            }
        };
        if matches!(record, ConfigRecord::Checkpoint { .. }) && self.caught_up {
            self.state.checkpoint = Some((sent, offset));
        }
        let folded = self.state.fold.on_record(offset, record);
        report(offset, &folded);
    }

    fn on_update(&mut self, update: ConfigUpdate) {
        let folded = self.state.fold.on_update(update);
        report(self.state.fold.covers(), &folded);
        self.publish();
    }

    fn publish(&self) {
        let state = self.state.fold.configuration();
        self.followed.send_replace(Arc::new(self.state.clone()));
        self.sender.send_if_modified(|config| {
            let newer = state.revision > config.revision;
            if newer {
                *config = Arc::clone(state);
            }
            newer
        });
    }
}

/// The instant before a read was sent, and what it brought.
type Read = (MonotonicInstant, Result<Batch, ReadError>);

/// Reads once; gives the instant before the read was sent, so that a pause of this process never
/// makes the answer look fresher than it is.
async fn read<C: Context>(context: &C, stream: &StreamName, from: Offset) -> Read {
    let sent = context.clock().now();
    let batch = context.log().read(stream, from, READ_WAIT).await;
    if batch.is_err() {
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
    (sent, batch)
}

fn report(offset: Offset, folded: &ApplyOutcome) {
    match folded {
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
