//! Peer package for model engines.
//!
//! An engine answers a generation as a stream of tokens, each with its offset in the whole answer
//! and the attempt to which it belongs.

pub mod client;
pub mod wire;

pub use client::{Engine, GenerateError, Generation, GenerationEvent, HttpEngine};
pub use wire::{
    CacheEvent, CacheEvents, Chunk, Finish, GenerateRequest, KvExport, KvExportRequest, KvHandle,
    KvImport, KvImportRequest, Load, Order, OrderReply,
};
