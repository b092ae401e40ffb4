//! Identifiers, units, outcomes and the configuration, shared by all crates.
//!
//! Raw input is validated through `TryFrom` or `FromStr`, so a validated type never holds a value
//! that its documentation excludes.

pub mod config;
pub mod id;
pub mod intent;
pub mod outcome;
pub mod prefix;
pub mod problem;
pub mod time;
pub mod unit;

pub use config::{Change, ConfigRecord, Configuration, PoolSpec, ServiceSpec, TeamSpec};
pub use id::{
    Adapter, Attempt, ClientToken, DataCentre, Fencing, IdempotencyKey, Incarnation, Instance,
    MachineClass, Model, Offset, Operator, Pool, Region, RequestId, Revision, Service,
    SoftwareVersion, StreamName, Team, Version,
};
pub use intent::{Intent, PricedOffer};
pub use outcome::{NotRun, Reachability, RefusalReason, Sent, Unknown, Unsent, UpstreamRefusal};
pub use prefix::{BLOCK_TOKENS, BlockHash, PromptBlocks, block_tokens};
pub use problem::{Problem, Problems};
pub use time::{Clock, MonotonicInstant, SystemClock, UtcInstant};
pub use unit::{Money, Share, Size, Span, Tokens};
