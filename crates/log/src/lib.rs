//! Peer package for the append-only log service.
//!
//! Records of a stream carry offsets from 1. They are kept for a limited time only; the answer to
//! an append may be lost though the records were appended.

pub mod client;
pub mod wire;

pub use client::{AppendError, HttpLog, Log, ReadError};
pub use wire::{AppendReply, AppendRequest, Batch, Record};
