//! Appends checkpoints, which hold the whole configuration, before the records that led to it
//! expire.
//!
//! Only the lease holder appends them, and only if it has missed no record.

use crate::config_follower::{CONFIG_STREAM, ConfigFollower, FollowedConfig, stream_name};
use crate::context::Context;
use crate::lease::Lease;
use spindle_log::Log;
use spindle_policy::checkpoint::{CheckpointDue, checkpoint_due};
use spindle_policy::config_state::SyncStatus;
use spindle_types::{Clock, ConfigRecord, Configuration};
use std::time::Duration;
use tokio::task::JoinHandle;

/// How often it is checked whether a checkpoint is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the task that appends checkpoints. `retention` is how long the log keeps records.
pub fn start<C: Context>(
    context: C,
    follower: ConfigFollower,
    lease: Lease,
    retention: Duration,
) -> JoinHandle<()> {
    tokio::spawn(run(context, follower, lease, retention))
}

async fn run<C: Context>(context: C, follower: ConfigFollower, lease: Lease, retention: Duration) {
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = context.clock().now();
        if lease.fencing(now).is_none() {
            continue;
        }
        let followed = follower.followed.borrow().clone();
        let state = &followed.state;
        let (at, offset) = followed.checkpoint.unzip();
        let records = offset.map_or(0, |offset| state.covers().0.saturating_sub(offset.0));
        if state.sync_status() == SyncStatus::Current
            && state.configuration().revision.0 > 0
            && checkpoint_due(now, at, records, retention) == CheckpointDue::Now
        {
            append(&context, &followed).await;
        }
    }
}

async fn append<C: Context>(context: &C, followed: &FollowedConfig) {
    let (covers, state) = (followed.state.covers(), followed.state.configuration());
    let state = Box::new(Configuration::clone(state));
    let record = ConfigRecord::Checkpoint { covers, state };
    match context.log().append_value(&stream_name(CONFIG_STREAM), &record).await {
        Ok(offset) => log::info!("event=checkpoint offset={offset} covers={covers}"),
        Err(error) => log::warn!("event=checkpoint_failed error={:?}", error.to_string()),
    }
}
