//! bronzespindle serves language models and companion services on reclaimable instances.

pub mod addresses;
pub mod admission;
pub mod call;
pub mod claims;
pub mod cli;
pub mod client;
pub mod context;
pub mod daemon;
mod demand;
pub mod demo;
pub mod deployment;
pub mod follower;
pub mod front;
pub mod generation;
pub mod logs;
pub mod members;
mod meter;
pub mod metrics;
pub mod reply;
pub mod settings;
pub mod upstreams;
