//! Decision logic: routing, admission, retries, leases, membership and configuration.
//!
//! Nothing here does I/O, reads a clock or creates a random generator. The current time and, where
//! needed, a seeded generator are passed as arguments.

pub mod admission;
pub mod answer;
pub mod breaker;
pub mod burn;
pub mod capacity;
#[cfg(test)]
mod cases;
pub mod checkpoint;
pub mod claim;
pub mod claim_ledger;
pub mod cluster_clock;
pub mod config_news;
pub mod config_source;
pub mod config_state;
pub mod config_update;
pub mod crash_ledger;
pub mod engine_capacity;
pub mod evacuation;
pub mod exchange;
pub mod fleet;
pub mod freshness;
pub mod helper_selection;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod neighbours;
pub mod plan;
pub mod presence;
pub mod proposal;
pub mod quota;
pub mod rank_admission;
pub mod rank_limit;
pub mod rate_share;
pub mod read_schedule;
pub mod reconcile;
pub mod replica;
pub mod retry;
pub mod rollout;
pub mod rollout_status;
pub mod roster;
pub mod routing;
pub mod service_pace;
pub mod service_time;
pub mod shared_limits;
pub mod signal;
pub mod solve;
pub mod spend;
pub mod steering;
pub mod store_era;
pub mod stream_versions;
pub mod upstream_brittleness;
pub mod upstream_contact;
pub mod upstream_limit;
pub mod upstream_pace;
pub mod upstream_pause;
pub mod upstream_registry;
pub mod upstream_selection;
pub mod usage_windows;
pub mod validation;
pub mod versioned_map;
