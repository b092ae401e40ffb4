//! When a checkpoint of the configuration is due. A checkpoint is the whole state, appended to the
//! stream, from which readers start.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// A checkpoint is repeated after the retention time divided by this, well before it expires.
const RETENTION_PARTS: u32 = 4;

/// The number of records after a checkpoint from which it is repeated, so that a daemon starts
/// quickly.
const RECORDS_AFTER_CHECKPOINT_MAX: u64 = 1_000;

/// When the next checkpoint is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckpointDue {
    /// At once.
    Now,
    /// At this instant, or earlier if many records follow.
    At(MonotonicInstant),
}

/// When the next checkpoint is due, given when this daemon saw the newest one appended and the
/// number of records after it. A daemon that has seen none appended can't tell the age of the
/// newest one, so one is due at once.
pub fn checkpoint_due(
    now: MonotonicInstant,
    newest: Option<MonotonicInstant>,
    records: u64,
    retention: Duration,
) -> CheckpointDue {
    match newest.map(|newest| newest + retention / RETENTION_PARTS) {
        Some(at) if now < at && records < RECORDS_AFTER_CHECKPOINT_MAX => CheckpointDue::At(at),
        _ => CheckpointDue::Now,
    }
}

#[cfg(test)]
mod tests;
