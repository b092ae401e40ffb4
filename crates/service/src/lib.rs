//! Peer package for plain services: forwards a call and tells whether it may have run.

pub mod client;
pub mod headers;

pub use client::{CallOutcome, HttpService, Service};
