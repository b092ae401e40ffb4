//! bronzespindle serves language models and companion services on reclaimable instances.

pub mod addresses;
pub mod call;
pub mod checkpoints;
pub mod claims;
pub mod cli;
pub mod client;
pub mod context;
pub mod custody;
pub mod daemon;
pub mod demo;
pub mod deployment;
pub mod follower;
pub mod freshness;
pub mod front;
pub mod generation;
pub mod lease;
pub mod load;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod mix;
pub mod once;
pub mod publisher;
pub mod reply;
pub mod settings;
pub mod upstreams;
mod demand;
