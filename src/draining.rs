//! Announces to every daemon, through the log, the instances that drain before they are stopped.

use crate::config_follower::stream_name;
use crate::context::Context;
use crate::upstreams::Upstreams;
use serde::{Deserialize, Serialize};
use spindle_log::{AppendError, Log, ReadError};
use spindle_types::{Instance, Offset};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Name of the log stream that holds the announced drains.
pub const DRAIN_STREAM: &str = "draining";

/// How long a read of the log waits for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A record of the drain stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
enum DrainRecord {
    /// An instance permanently takes no new work.
    Drain {
        /// The instance that drains.
        instance: Instance,
    },
}

/// Announces that an instance takes no new work from any daemon.
///
/// # Errors
///
/// The record was not appended, or it is unknown whether it was; repeating the call is harmless.
pub async fn announce<C: Context>(context: &C, instance: Instance) -> Result<(), AppendError> {
    let record = DrainRecord::Drain { instance };
    context.log().append_value(&stream_name(DRAIN_STREAM), &record).await.map(|_| ())
}

/// Starts the task that reads the stream and marks the announced instances as leaving.
pub fn start<C: Context>(context: C, upstreams: Upstreams) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut next = Offset(1);
        loop {
            if let Err(error) = read(&context, &upstreams, &mut next).await {
                log::warn!("event=drains_read_failed error={:?}", error.to_string());
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    })
}

async fn read<C: Context>(
    context: &C,
    upstreams: &Upstreams,
    next: &mut Offset,
) -> Result<(), ReadError> {
    let batch = context.log().read(&stream_name(DRAIN_STREAM), *next, READ_WAIT).await?;
    for record in batch.records {
        *next = record.offset.next();
        match serde_json::from_str(record.body.get()) {
            Ok(DrainRecord::Drain { instance }) => upstreams.mark_leaving(instance).await,
            Err(error) => {
                log::warn!("event=drain_invalid offset={} error={error:?}", record.offset);
            }
        }
    }
    Ok(())
}
