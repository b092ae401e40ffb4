//! Follows the log stream of plans and appends to it.

use crate::config_follower::stream_name;
use crate::context::Context;
use spindle_log::{AppendError, Log, ReadError};
use spindle_policy::proposal::{PlanIndex, PlanRecord};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The name of the log stream that holds proposed and rejected plans.
pub const PLAN_STREAM: &str = "plans";

/// The long-poll timeout: how long a read waits for the first record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The newest plans that have been read from the stream.
pub type PlanWatch = watch::Receiver<Arc<PlanIndex>>;

/// Starts the task that follows the stream. It ends when the last receiver is dropped.
pub fn start<C: Context>(context: C) -> (PlanWatch, JoinHandle<()>) {
    let (sender, receiver) = watch::channel(Arc::default());
    (receiver, tokio::spawn(run(context, sender)))
}

/// Appends a record. An append that was not acknowledged is not retried, because the plans read
/// from the stream show whether it was made.
///
/// # Errors
///
/// The record was not appended, or its append was not acknowledged.
pub async fn append<C: Context>(context: &C, record: &PlanRecord) -> Result<(), AppendError> {
    context.log().append_value(&stream_name(PLAN_STREAM), record).await.map(|_| ())
}

async fn run<C: Context>(context: C, sender: watch::Sender<Arc<PlanIndex>>) {
    while !sender.is_closed() {
        if let Err(error) = read(&context, &sender).await {
            log::warn!("event=plans_read_failed error={:?}", error.to_string());
            tokio::time::sleep(READ_RETRY_DELAY).await;
        }
    }
}

async fn read<C: Context>(
    context: &C,
    sender: &watch::Sender<Arc<PlanIndex>>,
) -> Result<(), ReadError> {
    let next = sender.borrow().next();
    let batch = context.log().read(&stream_name(PLAN_STREAM), next, READ_WAIT).await?;
    if batch.records.is_empty() {
        return Ok(());
    }
    sender.send_modify(|index| {
        let index = Arc::make_mut(index);
        for record in batch.records {
            match serde_json::from_str(record.body.get()) {
                Ok(body) => index.on_record(record.offset, body),
                Err(error) => {
                    log::warn!("event=plan_invalid offset={} error={error:?}", record.offset);
                    index.skip(record.offset);
                }
            }
        }
    });
    Ok(())
}
