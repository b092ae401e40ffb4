//! Publishes changes of the configuration: appends a record to the log and reads the log until the
//! effect of the record is known.
//!
//! A record whose append was not acknowledged is appended again. Only the first copy can take
//! effect, as it makes a new revision and the others are then based on an older one.

use crate::config_follower::{CONFIG_STREAM, ConfigFollower, stream_name};
use crate::context::Context;
use crate::members::InForceWatch;
use serde_json::value::{RawValue, to_raw_value};
use spindle_log::{AppendError, Batch, Log};
use spindle_policy::config_state::{ApplyOutcome, ConfigState, SyncStatus};
use spindle_policy::validation::check_change;
use spindle_types::{Change, Clock, ConfigRecord, MonotonicInstant, Operator, Problems, Revision};
use std::time::Duration;

/// The long-poll timeout: how long a read waits for the first record.
const READ_WAIT: Duration = Duration::from_millis(200);

/// The delay before a failed append or read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long to wait until a change is in force at every live daemon before a warning is logged.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum size of a record, in bytes.
const RECORD_MAX_BYTES: usize = 1024 * 1024;

/// The outcome of publishing a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    /// The change was appended and read back, and took effect.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The change was not based on the newest revision and has no effect.
    Conflict {
        /// The newest revision.
        winner: Revision,
    },
    /// The change is not valid and has no effect.
    Invalid {
        /// What is wrong with it.
        problems: Problems,
    },
    /// Nothing was appended: the log can't be reached, or this daemon has missed records of it.
    Unavailable,
    /// The change may or may not take effect. If it does, the configuration shows it later.
    Unknown,
}

/// Whether the record of a change has been appended to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AppendStatus {
    No,
    /// An append was not acknowledged, so it may have been made.
    Maybe,
    Yes,
}

/// Publishes changes of the configuration from one daemon.
#[derive(Clone, Debug)]
pub struct Publisher<C> {
    context: C,
    follower: ConfigFollower,
    in_force: InForceWatch,
    timeout: Duration,
}

impl<C: Context> Publisher<C> {
    /// Creates a publisher that starts from what the follower has read. A change whose effect is
    /// not known within `timeout` is reported as unknown or unavailable.
    pub const fn new(
        context: C,
        follower: ConfigFollower,
        in_force: InForceWatch,
        timeout: Duration,
    ) -> Self {
        Self { context, follower, in_force, timeout }
    }

    /// Publishes a change that is based on the revision `base`.
    pub async fn publish(
        &self,
        base: Revision,
        operator: Operator,
        change: Change,
    ) -> PublishOutcome {
        let state = self.follower.followed.borrow().state.clone();
        if let Some(outcome) = refuse_early(&state, base, &change) {
            return outcome;
        }
        let nonce = u64::try_from(self.context.random() >> 64).unwrap_or_default();
        let at = self.context.clock().utc();
        let record = ConfigRecord::Change { base, operator, at, nonce, change: Box::new(change) };
        let Ok(body) = to_raw_value(&record) else {
            return PublishOutcome::Unavailable;
        };
        if body.get().len() > RECORD_MAX_BYTES {
            let mut problems = Problems::new();
            let allowed = format!("at most {RECORD_MAX_BYTES} bytes");
            problems.add("change", format!("{} bytes", body.get().len()), allowed);
            return PublishOutcome::Invalid { problems };
        }
        let deadline = self.context.clock().now() + self.timeout;
        let mut pending = PendingChange { state, nonce, appended: AppendStatus::No };
        let outcome = self.append_and_read(&mut pending, &body, deadline).await;
        log::info!("event=config_published base={base} nonce={nonce} outcome={outcome:?}");
        if let PublishOutcome::Accepted { revision } = outcome {
            self.report_in_force(revision);
        }
        outcome
    }

    /// Logs the time until a revision is in force at every live daemon, in the background.
    fn report_in_force(&self, revision: Revision) {
        let (context, mut in_force) = (self.context.clone(), self.in_force.clone());
        let start = context.clock().now();
        tokio::spawn(async move {
            let reached = in_force.wait_for(|reached| *reached >= revision);
            let reached = tokio::time::timeout(IN_FORCE_TIMEOUT, reached).await;
            let ms = context.clock().now().since(start).as_millis();
            match reached {
                Ok(_) => log::info!("event=config_in_force_everywhere revision={revision} ms={ms}"),
                Err(_) => log::warn!("event=config_not_in_force revision={revision} ms={ms}"),
            }
        });
    }

    /// Appends and reads in turn until the effect of the change is known or the deadline has
    /// passed.
    async fn append_and_read(
        &self,
        pending: &mut PendingChange,
        body: &RawValue,
        deadline: MonotonicInstant,
    ) -> PublishOutcome {
        while self.context.clock().now() < deadline {
            if pending.appended != AppendStatus::Yes {
                self.append(pending, body).await;
            }
            if let Some(outcome) = self.read(pending).await {
                return outcome;
            }
        }
        match pending.appended {
            AppendStatus::No => PublishOutcome::Unavailable,
            AppendStatus::Maybe | AppendStatus::Yes => PublishOutcome::Unknown,
        }
    }

    async fn append(&self, pending: &mut PendingChange, body: &RawValue) {
        let stream = stream_name(CONFIG_STREAM);
        match self.context.log().append(&stream, vec![body.to_owned()]).await {
            Ok(_) => pending.appended = AppendStatus::Yes,
            Err(AppendError::Unknown(text)) => {
                log::warn!("event=config_append_unknown error={text:?}");
                pending.appended = AppendStatus::Maybe;
            }
            Err(AppendError::NotAppended(text)) => {
                log::warn!("event=config_append_failed error={text:?}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn read(&self, pending: &mut PendingChange) -> Option<PublishOutcome> {
        if pending.appended == AppendStatus::No {
            return None;
        }
        let stream = stream_name(CONFIG_STREAM);
        let outcome = match self.context.log().read(&stream, pending.state.next(), READ_WAIT).await
        {
            Ok(batch) => pending.on_batch(batch)?,
            Err(error) => {
                log::warn!("event=config_read_failed error={error:?}");
                tokio::time::sleep(RETRY_DELAY).await;
                return None;
            }
        };
        let known = self.follower.config.borrow().revision;
        self.follower.send_update(pending.state.update_since(known)).await;
        Some(outcome)
    }
}

/// The outcome of a change that can be refused without appending it; none if it must be appended.
/// A base newer than the revision known here can only be checked against the log.
fn refuse_early(state: &ConfigState, base: Revision, change: &Change) -> Option<PublishOutcome> {
    let winner = state.configuration().revision;
    if state.sync_status() == SyncStatus::Behind {
        return Some(PublishOutcome::Unavailable);
    }
    if base < winner {
        return Some(PublishOutcome::Conflict { winner });
    }
    if base > winner {
        return None;
    }
    check_change(state.configuration(), change)
        .err()
        .map(|problems| PublishOutcome::Invalid { problems })
}

/// A change whose effect is not known yet, and the state of the stream as read so far.
struct PendingChange {
    state: ConfigState,
    nonce: u64,
    appended: AppendStatus,
}

impl PendingChange {
    fn on_batch(&mut self, batch: Batch) -> Option<PublishOutcome> {
        self.state.on_oldest(batch.oldest);
        for record in batch.records {
            let Ok(body) = serde_json::from_str::<ConfigRecord>(record.body.get()) else {
                self.state.skip(record.offset);
                continue;
            };
            let own = matches!(body, ConfigRecord::Change { nonce, .. } if nonce == self.nonce);
            let applied = self.state.on_record(record.offset, body);
            if own {
                return Some(publish_outcome(applied));
            }
        }
        None
    }
}

fn publish_outcome(applied: ApplyOutcome) -> PublishOutcome {
    match applied {
        ApplyOutcome::Applied { revision } => PublishOutcome::Accepted { revision },
        ApplyOutcome::Conflict { winner } => PublishOutcome::Conflict { winner },
        ApplyOutcome::Rejected { problems } => PublishOutcome::Invalid { problems },
        ApplyOutcome::Restored { .. } | ApplyOutcome::Deferred | ApplyOutcome::Ignored => {
            PublishOutcome::Unknown
        }
    }
}

#[cfg(test)]
mod tests;
