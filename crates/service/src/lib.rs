//! Client library for plain services: forwards calls and reports whether they may have run.

pub mod client;
pub mod headers;

pub use client::{CallOutcome, HttpService, Service};
