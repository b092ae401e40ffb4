//! Decisions: routing, admission, retry, leases, membership, configuration.
//!
//! Nothing here does I/O, reads a clock or draws a random number of its own: the present time and,
//! where one is needed, a seeded generator are arguments.

pub mod admission;
pub mod answer;
pub mod breaker;
pub mod burn;
pub mod capacity;
#[cfg(test)]
mod cases;
pub mod checkpoint;
pub mod civil;
pub mod claim;
pub mod exchange;
pub mod fleet;
pub mod fold;
pub mod freshness;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod listing;
pub mod membership;
pub mod placing;
pub mod plan;
pub mod presence;
pub mod proposal;
pub mod quota;
pub mod reconcile;
pub mod replica;
pub mod retry;
pub mod roster;
pub mod routing;
pub mod service_time;
pub mod shared_limits;
pub mod signal;
pub mod solve;
pub mod spend;
pub mod steering;
pub mod survival;
pub mod told;
pub mod update;
pub mod validation;
pub mod view;
pub mod windows;
