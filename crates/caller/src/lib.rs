//! The caller-facing API: wire types, request validation, problem documents.

pub mod problem;
pub mod request;
pub mod wire;

pub use problem::{Refusal, problem_response};
pub use request::{
    Completion, Form, Repeatability, bearer_key, caller_timeout, idempotency_key, repeatability,
};
pub use wire::{AddressReply, ChatRequest, CompletionRequest, DaemonAddress};
