//! When the folded state is to be appended again.

use spindle_types::MonotonicInstant;
use std::time::Duration;

/// The part of the retention time after which a checkpoint is repeated.
const RETENTION_PARTS: u32 = 4;

/// The number of records behind a checkpoint after which it is repeated, so that a start is quick.
const RECORDS_MAX: u64 = 1_000;

/// Whether a checkpoint is to be appended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// It is.
    Now,
    /// Not before this instant, unless many records follow.
    At(MonotonicInstant),
}

/// Decides at `now`, given when this daemon saw the newest checkpoint appended and the number of
/// records behind it. A daemon that has seen none appended can't tell its age.
pub fn due(
    now: MonotonicInstant,
    newest: Option<MonotonicInstant>,
    records: u64,
    retention: Duration,
) -> Due {
    match newest.map(|newest| newest + retention / RETENTION_PARTS) {
        Some(at) if now < at && records < RECORDS_MAX => Due::At(at),
        _ => Due::Now,
    }
}

#[cfg(test)]
mod tests;
