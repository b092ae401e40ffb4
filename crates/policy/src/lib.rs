//! Decisions: routing, admission, retry, leases, membership, configuration.
//!
//! Nothing here does I/O, reads a clock or draws a random number of its own: the present time and,
//! where one is needed, a seeded generator are arguments.

pub mod admission;
pub mod answer;
pub mod breaker;
pub mod claim;
pub mod fold;
pub mod limit;
pub mod membership;
pub mod quota;
pub mod retry;
pub mod routing;
pub mod steering;
