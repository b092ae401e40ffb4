//! Wire types of the log service.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use spindle_types::{Offset, UtcInstant};

/// Maximum number of records in one append or one read.
pub const BATCH_MAX_RECORDS: usize = 1_000;

/// Maximum size of an answer of the log service, in bytes.
pub const ANSWER_MAX_BYTES: usize = 32 * 1024 * 1024;

/// `POST /streams/{stream}/records`: appends records.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records, in the order in which to append them.
    pub records: Vec<Box<RawValue>>,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the first appended record; the others follow without a gap.
    pub first: Offset,
}

/// A record as read from a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Position of the record in its stream.
    pub offset: Offset,
    /// Time at which the service appended it, by the service's clock.
    pub at: UtcInstant,
    /// Content of the record.
    pub body: Box<RawValue>,
}

/// The answer to `GET /streams/{stream}/records?from=N&limit=N&wait_ms=N`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Oldest offset that has not expired; equals `end` if there is none.
    pub oldest: Offset,
    /// Offset that the next appended record will get.
    pub end: Offset,
    /// Records from the requested offset on, in order.
    pub records: Vec<Record>,
}
