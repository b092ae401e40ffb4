//! Client library for the append-only log service.
//!
//! The records of a stream have consecutive offsets, starting at 1, and expire after a retention
//! time. The answer to an append may be lost although the records were appended.

pub mod client;
pub mod wire;

pub use client::{AppendError, HttpLog, Log, ReadError};
pub use wire::{AppendReply, AppendRequest, Batch, Record};
