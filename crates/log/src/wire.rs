//! Wire types of the log service.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use spindle_types::{Offset, UtcInstant};

/// The most records that one append or one read carries.
pub const BATCH_MAX_RECORDS: usize = 1_000;

/// The largest answer of the log service, in bytes.
pub const ANSWER_MAX_BYTES: usize = 32 * 1024 * 1024;

/// `POST /streams/{stream}/records`.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The records, in the order in which they are to stand.
    pub records: Vec<Box<RawValue>>,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The offset of the first record appended; the others follow without a gap.
    pub first: Offset,
}

/// One record as read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The record's place in its stream.
    pub offset: Offset,
    /// When the service appended it, by the service's clock.
    pub at: UtcInstant,
    /// The content.
    pub body: Box<RawValue>,
}

/// The answer to `GET /streams/{stream}/records?from=N&limit=N&wait_ms=N`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// The oldest offset still kept; equals `end` if nothing is kept.
    pub oldest: Offset,
    /// The offset that the next append will get.
    pub end: Offset,
    /// The records from the offset asked for, in order.
    pub records: Vec<Record>,
}
