//! Tells every daemon, through the log, which instances drain before they are stopped.

use crate::config_follower::stream_name;
use crate::context::Context;
use crate::upstreams::Upstreams;
use serde::{Deserialize, Serialize};
use spindle_log::{AppendError, Log, ReadError};
use spindle_types::{Instance, Offset};
use std::time::Duration;
use tokio::task::JoinHandle;

/// The stream that holds the drains.
pub const DRAIN_STREAM: &str = "draining";

/// How long a read waits for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The pause after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A record of the stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
enum DrainRecord {
    /// An instance takes no new work, for good.
    Drain {
        /// The instance.
        instance: Instance,
    },
}

/// Lets an instance take no new work from any daemon.
///
/// # Errors
///
/// Nothing was appended, or it is not known; a repetition does no harm.
pub async fn announce<C: Context>(context: &C, instance: Instance) -> Result<(), AppendError> {
    let record = DrainRecord::Drain { instance };
    context.log().append_value(&stream_name(DRAIN_STREAM), &record).await.map(|_| ())
}

/// Starts to follow the stream.
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
