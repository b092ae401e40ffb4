//! Client library for model engines.
//!
//! An engine streams the tokens of a generation. Each event states the attempt that it belongs to and
//! the offset of its first token in the whole answer.

pub mod client;
pub mod wire;

pub use client::{Engine, GenerateError, Generation, GenerationEvent, HttpEngine};
pub use wire::{
    CacheEvent, CacheEvents, Chunk, Finish, GenerateRequest, KvExport, KvExportRequest, KvHandle,
    KvImport, KvImportRequest, Load, Order, OrderReply,
};
