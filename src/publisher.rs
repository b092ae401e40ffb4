//! Publishes changes of the configuration: appends a record, and reads on until its effect is
//! known. A record whose append was not acknowledged is appended again; only the first one counts.

use crate::config_follower::{CONFIG_STREAM, ConfigFollower, stream_name};
use crate::context::Context;
use crate::members::InForceWatch;
use serde_json::value::{RawValue, to_raw_value};
use spindle_log::{AppendError, Batch, Log};
use spindle_policy::config_state::{ApplyOutcome, ConfigState, SyncStatus};
use spindle_policy::validation::check_change;
use spindle_types::{Change, Clock, ConfigRecord, MonotonicInstant, Operator, Problems, Revision};
use std::time::Duration;

/// How long a read waits for the first record.
const READ_WAIT: Duration = Duration::from_millis(200);

/// The pause after a failed append or read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The time after which it is reported that a change is not in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

/// The largest record, in bytes.
const RECORD_MAX_BYTES: usize = 1024 * 1024;

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    /// It was appended, read back, and took effect.
    Accepted {
        /// The revision that it made.
        revision: Revision,
    },
    /// It was based on another revision than the newest one, and has no effect.
    Conflict {
        /// The newest revision.
        winner: Revision,
    },
    /// It is not valid, and has no effect.
    Invalid {
        /// What is wrong with it.
        problems: Problems,
    },
    /// Nothing was appended; the log or this daemon's knowledge of it is not available.
    Unavailable,
    /// It may take effect; the configuration shows it if it does.
    Unknown,
}

/// Whether the record of a change can be in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Appended {
    No,
    Maybe,
    Yes,
}

/// Publishes changes from one daemon.
#[derive(Clone, Debug)]
pub struct Publisher<C> {
    context: C,
    follower: ConfigFollower,
    in_force: InForceWatch,
    timeout: Duration,
}

impl<C: Context> Publisher<C> {
    /// A publisher that starts from what the follower has read; the effect of a change must be
    /// known within `timeout`.
    pub const fn new(
        context: C,
        follower: ConfigFollower,
        in_force: InForceWatch,
        timeout: Duration,
    ) -> Self {
        Self { context, follower, in_force, timeout }
    }

    /// Publishes a change that was based on a revision.
    pub async fn publish(
        &self,
        base: Revision,
        operator: Operator,
        change: Change,
    ) -> PublishOutcome {
        let fold = self.follower.followed.borrow().fold.clone();
        if let Some(outcome) = refusal(&fold, base, &change) {
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
        let mut settling = Settling { fold, nonce, appended: Appended::No };
        let outcome = self.settle(&mut settling, &body, deadline).await;
        log::info!("event=config_published base={base} nonce={nonce} outcome={outcome:?}");
        if let PublishOutcome::Accepted { revision } = outcome {
            self.report_in_force(revision);
        }
        outcome
    }

    /// Logs when a revision is in force at every live daemon.
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

    async fn settle(
        &self,
        settling: &mut Settling,
        body: &RawValue,
        deadline: MonotonicInstant,
    ) -> PublishOutcome {
        while self.context.clock().now() < deadline {
            if settling.appended != Appended::Yes {
                self.append(settling, body).await;
            }
            if let Some(outcome) = self.read(settling).await {
                return outcome;
            }
        }
        match settling.appended {
            Appended::No => PublishOutcome::Unavailable,
            Appended::Maybe | Appended::Yes => PublishOutcome::Unknown,
        }
    }

    async fn append(&self, settling: &mut Settling, body: &RawValue) {
        let stream = stream_name(CONFIG_STREAM);
        match self.context.log().append(&stream, vec![body.to_owned()]).await {
            Ok(_) => settling.appended = Appended::Yes,
            Err(AppendError::Unknown(text)) => {
                log::warn!("event=config_append_unknown error={text:?}");
                settling.appended = Appended::Maybe;
            }
            Err(AppendError::NotAppended(text)) => {
                log::warn!("event=config_append_failed error={text:?}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn read(&self, settling: &mut Settling) -> Option<PublishOutcome> {
        if settling.appended == Appended::No {
            return None;
        }
        let stream = stream_name(CONFIG_STREAM);
        let outcome = match self.context.log().read(&stream, settling.fold.next(), READ_WAIT).await
        {
            Ok(batch) => settling.on_batch(batch)?,
            Err(error) => {
                log::warn!("event=config_read_failed error={error:?}");
                tokio::time::sleep(RETRY_DELAY).await;
                return None;
            }
        };
        let known = self.follower.config.borrow().revision;
        self.follower.update(settling.fold.update_since(known)).await;
        Some(outcome)
    }
}

/// The outcome of a change that needs no append.
fn refusal(fold: &ConfigState, base: Revision, change: &Change) -> Option<PublishOutcome> {
    let winner = fold.configuration().revision;
    if fold.sync_status() == SyncStatus::Behind {
        return Some(PublishOutcome::Unavailable);
    }
    if base < winner {
        return Some(PublishOutcome::Conflict { winner });
    }
    if base > winner {
        return None;
    }
    check_change(fold.configuration(), change)
        .err()
        .map(|problems| PublishOutcome::Invalid { problems })
}

/// A change whose effect is not known yet.
struct Settling {
    fold: ConfigState,
    nonce: u64,
    appended: Appended,
}

impl Settling {
    fn on_batch(&mut self, batch: Batch) -> Option<PublishOutcome> {
        self.fold.on_oldest(batch.oldest);
        for record in batch.records {
            let Ok(body) = serde_json::from_str::<ConfigRecord>(record.body.get()) else {
                self.fold.skip(record.offset);
                continue;
            };
            let own = matches!(body, ConfigRecord::Change { nonce, .. } if nonce == self.nonce);
            let folded = self.fold.on_record(record.offset, body);
            if own {
                return Some(outcome(folded));
            }
        }
        None
    }
}

fn outcome(folded: ApplyOutcome) -> PublishOutcome {
    match folded {
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
