//! The administration API for operators, and its client.

pub mod client;
pub mod wire;

pub use client::{AdminClient, AdminError};
pub use wire::{AdminRefusal, ChangeRequest, Confirmed, PlanSummary, PlanView, StatusView};
