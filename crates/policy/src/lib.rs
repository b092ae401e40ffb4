//! Decisions: routing, admission, retry, leases, membership, configuration.
//!
//! Nothing here does I/O, reads a clock or draws a random number of its own: the present time and,
//! where one is needed, a seeded generator are arguments.

#[cfg(test)]
mod cases;

pub mod answer;
pub mod breaker;
pub mod burn;
pub mod capacity;
pub mod checkpoint;
pub mod claim;
pub mod exchange;
pub mod fold;
pub mod freshness;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod plan;
pub mod proposal;
pub mod reconcile;
pub mod roster;
pub mod routing;
pub mod signal;
pub mod solve;
pub mod survival;
pub mod update;
pub mod validation;
pub mod view;
